"""SIGHUP: the configuration is read again, and whoever is connected does not notice."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest
from conftest import World
from standins import SETTINGS, Discovery, Node, Peer
from test_endings import establish_at, have_no_attempts, wait_for_list
from test_node import OPEN, first_of, fresh, served


def is_migrated(client: Peer) -> bool:
    return client.line() == b"MOVE\r\n" and client.ending() == "end"


def test_a_redirect_requests_the_full_list_at_once_and_closes_the_old_watch(world: World) -> None:
    """The new one counts from the start again, so its list is asked for whole."""
    world.discovery.index = 40
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    first, relay = first_of(world.servers)
    relay.line()
    relay.send(b"UP 1\r\n")
    assert client.line() == b"UP 1\r\n"
    world.discovery.wait_calls(2)
    old = Peer(world.discovery.links[0])
    successor = Discovery()
    for number, server in enumerate(world.servers):
        successor.tell(f"s-{number}", server.address)
    began = time.monotonic()
    node.reload(discovery=successor.server.address)
    successor.wait_calls(2)  # the whole list, and the watch that goes on from there
    assert time.monotonic() - began < 1 and successor.asked[:2] == [-1, 2]
    assert old.ending() == "end"
    node.reload()  # once more, with nothing new: the watch goes on
    client.send(b"still here\r\n")
    assert relay.line() == b"still here\r\n"
    calls = world.discovery.calls
    successor.tell(f"s-{world.servers.index(first)}", first.address, "draining")
    assert is_migrated(client)
    assert successor.asked == [-1, 2, 3] and world.discovery.calls == calls
    assert node.counts()["cfg_accepted"] == 2


def test_a_large_fleet_watches_the_new_discovery_once_the_old_watch_ends(world: World) -> None:
    """Whole lists for 200 nodes would take it longer than the 4 s after which it counts as told."""
    for number, server in enumerate(world.servers):
        world.discovery.tell(f"s-{number}", server.address)
    successor = Discovery()
    successor.index, successor.entries = world.discovery.index, dict(world.discovery.entries)
    node = world.start(transcribers=0, settings={"FleetSize": 200})
    wait_for_list(world.discovery)
    world.discovery.server.socket.close()  # it takes no new connection ...
    began = time.monotonic()
    node.reload(discovery=successor.server.address)
    Peer(world.discovery.links[-1]).close("reset")  # ... and ends the one that there is
    successor.tell("s-0", world.servers[0].address, "draining")
    successor.wait_calls(2)
    assert time.monotonic() - began < 1.5 and successor.asked[:2] == [2, 3]
    assert establish_at(node, world.servers[1], 3) and have_no_attempts(world.servers[0])


@pytest.mark.parametrize("form", ["503", "silent"])
def test_a_discovery_that_is_not_up_yet_is_polled_until_it_answers(world: World, form: str) -> None:
    """What it has to tell counts as told 4 s after the signal: a call without an answer ends before."""
    node = world.start()
    successor = Discovery()
    successor.form = form
    successor.tell("s-0", world.servers[0].address)
    began = time.monotonic()
    node.reload(discovery=successor.server.address)
    successor.wait_calls(2)
    assert time.monotonic() - began < 4
    successor.form = ""
    while 1 not in successor.asked:  # the watch that goes on from its list
        successor.wait_calls(len(successor.asked) + 1)
    assert set(successor.asked[: successor.asked.index(1)]) == {-1}


@pytest.mark.parametrize(
    ("text", "names"),
    [
        ("", "GW_CONFIG"),
        ("{", "GW_CONFIG"),
        ("[]", "GW_CONFIG"),
        ('{"settings": {}}', "Classes.count"),
    ],
)
def test_an_invalid_file_is_rejected_and_the_old_one_stays_in_force(
    world: World, text: str, names: str
) -> None:
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    relay = served(world, client)
    world.discovery.wait_calls(1)
    node.reload(text)
    assert names in node.log.read_text().rsplit("reload: ", 1)[1]
    for number, server in enumerate(world.servers):
        world.discovery.tell(f"s-{number}", server.address, "draining")
    assert is_migrated(client) and relay.ending() == "end"


def test_settings_that_cannot_be_reloaded_are_logged(world: World) -> None:
    node = world.start()
    node.reload(limits={"cores": 1.0, "memory_mb": 192, "sockets": 500}, name="other", discovery="nowhere")
    assert "discovery" in node.log.read_text().rsplit("reload: ", 1)[1]
    node.reload(discovery=world.discovery.server.address)
    said = node.log.read_text().rsplit("reload: ", 1)[1]
    assert "needs_restart=name,sockets" in said
    assert node.process.poll() is None and node.stop() == 0


LIVE, ONCE = SETTINGS["Classes"]


def reload_settings(node: Node, classes: list[dict[str, Any]], **limits: Any) -> str:
    """Has new settings read; what the log says of it."""
    node.reload(settings={**SETTINGS, "Classes": classes, "Limits": {**SETTINGS["Limits"], **limits}})
    return node.log.read_text().rsplit("reload: ", 1)[1]


def opening_of_class(name: str, wait: int = 3000) -> bytes:
    return fresh(OPEN % wait).replace(b"live-text", name.encode())


def test_classes_are_added_and_removed_while_connections_continue(world: World) -> None:
    node = world.start()
    client = node.client(opening_of_class("live-text"))
    relay = served(world, client)
    assert node.client(opening_of_class("new")).line() == b"ERR\r\n"
    reload_settings(node, [ONCE, {**LIVE, "Name": "new"}])
    client.send(b"still here\r\n")
    assert relay.line() == b"still here\r\n"
    newcomer = node.client(opening_of_class("new"))
    assert served(world, newcomer)
    assert node.client(opening_of_class("live-text")).line() == b"ERR\r\n"
    figures = node.figures()
    assert figures["operations.new.fulfilled"] == 1 and figures["operations.once.fulfilled"] == 0
    assert figures["operations.live-text.fulfilled"] == figures["operations.live-text.faulted"] == 1
    reload_settings(node, [LIVE, ONCE])
    again = node.client(opening_of_class("live-text"))
    assert served(world, again) and node.client(opening_of_class("new")).line() == b"ERR\r\n"


def test_a_stricter_idempotency_applies_to_new_requests_and_fewer_attempts_to_all(world: World) -> None:
    """One that came before may run again; one that came after may not."""
    node = world.start()
    clients, ends = [], []
    for effect in ("safe", "unsafe"):
        if effect == "unsafe":
            reload_settings(node, [{**LIVE, "Repeat": "unsafe"}, ONCE])
        clients.append(node.client(opening_of_class("live-text")))
        _, relay = first_of(world.servers)
        relay.line()
        ends.append(relay)
    ends[1].send(b"ERR\r\n")
    assert clients[1].line() == b"ERR\r\n"
    ends[0].send(b"ERR\r\n")
    _, second = first_of(world.servers)
    second.line()
    reload_settings(node, [LIVE, ONCE], AttemptsCap=2)
    second.send(b"ERR\r\n")
    assert clients[0].line().startswith(b"BUSY")
    assert node.figures()["relayed"] == 3


@pytest.mark.parametrize(
    ("classes", "limits", "names"),
    [
        ([{**LIVE, "HardLimitNs": 0}], {}, "classes[0]"),
        ([{**LIVE, "HardLimitNs": "soon"}], {}, "HardLimitNs"),
        ([{**LIVE, "HardLimitNs": [5]}], {}, "HardLimitNs"),
        ([{**LIVE, "HardLimitNs": None}], {}, "HardLimitNs"),
        ([LIVE], {"AttemptsCap": 0}, "max_attempts"),
        ([LIVE], {"AttemptsCap": "many"}, "AttemptsCap"),
        ([LIVE], {"AttemptsCap": True}, "AttemptsCap"),
        ([LIVE], {"AttemptsCap": None}, "AttemptsCap"),
        ([LIVE, LIVE], {}, "Classes"),
        ([{"Name": "new"}], {}, "AimNs"),
        ([], {}, "Classes.count"),
        ([{key: value for key, value in LIVE.items() if key != "Repeat"}], {}, "Repeat"),
    ],
)
def test_an_invalid_file_changes_nothing(
    world: World, classes: list[dict[str, Any]], limits: dict[str, Any], names: str
) -> None:
    """Not its discovery either, though that could be right."""
    node = world.start()
    path = node.folder / "config.json"
    before = path.read_text()
    path.write_text(json.dumps({**json.loads(before), "discovery": "127.0.0.1:1"}))
    assert names in reload_settings(node, classes, **limits)
    world.discovery.tell("s-9", world.servers[1].address)
    node.figure("registry_entries", 3)
    assert node.figures()["cfg_invalid"] == 1


@pytest.mark.parametrize("key", ["name", "listen", "seed", "limits", "settings"])
def test_a_file_that_lacks_a_key_is_rejected_with_its_name(world: World, key: str) -> None:
    node = world.start()
    whole = json.loads((node.folder / "config.json").read_text())
    node.reload(json.dumps({name: value for name, value in whole.items() if name != key}))
    assert key in node.log.read_text().rsplit("reload: ", 1)[1] and node.figures()["cfg_invalid"] == 1
