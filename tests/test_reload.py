"""SIGHUP: the configuration is read again, and whoever is connected does not notice."""

from __future__ import annotations

import time

import pytest
from conftest import World
from standins import Discovery, Peer
from test_node import OPEN, first_of, fresh, served


def moved(client: Peer) -> bool:
    return client.line() == b"MOVE\r\n" and client.ending() == "end"


def test_a_new_discovery_is_asked_at_once_and_the_old_one_left(world: World) -> None:
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
    assert moved(client)
    assert successor.asked == [-1, 2, 3] and world.discovery.calls == calls
    assert node.counts()["cfg_accepted"] == 2


@pytest.mark.parametrize("form", ["503", "silent"])
def test_a_discovery_that_comes_late_is_asked_until_it_answers(world: World, form: str) -> None:
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
    assert set(successor.asked[:successor.asked.index(1)]) == {-1}


@pytest.mark.parametrize(("text", "names"), [
    ("{", "GW_CONFIG"), ("[]", "GW_CONFIG"), ('{"settings": {}}', "Classes.count"),
])
def test_a_bad_file_is_named_and_the_old_one_stays_in_force(world: World, text: str, names: str) -> None:
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    relay = served(world, client)
    world.discovery.wait_calls(1)
    node.reload(text)
    assert names in node.log.read_text().rsplit("reload: ", 1)[1]
    for number, server in enumerate(world.servers):
        world.discovery.tell(f"s-{number}", server.address, "draining")
    assert moved(client) and relay.ending() == "end"


def test_what_cannot_change_is_named(world: World) -> None:
    node = world.start()
    node.reload(limits={"sockets": 500}, name="other", discovery="nowhere")
    assert "discovery" in node.log.read_text().rsplit("reload: ", 1)[1]
    node.reload(discovery=world.discovery.server.address)
    said = node.log.read_text().rsplit("reload: ", 1)[1]
    assert "cannot change while running: name, sockets" in said
    assert node.process.poll() is None and node.stop() == 0
