"""SIGHUP: the node reloads its configuration without interrupting established sessions."""

from __future__ import annotations

import json
import time
from typing import Any

import pytest
from conftest import Deployment
from stand_ins import SETTINGS, NodeProcess, SocketPeer, StandInDiscovery
from test_lifecycle_races import establish_at, have_no_attempts, wait_for_endpoint_list
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id


def is_migrated(client: SocketPeer) -> bool:
    return client.read_line() == b"MOVE\r\n" and client.wait_for_close() == "end"


def test_a_redirect_requests_the_full_list_at_once_and_closes_the_old_watch(deployment: Deployment) -> None:
    """The new service numbers its versions from the start, so the node requests its full list."""
    deployment.discovery.index = 40
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    first, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    deployment.discovery.wait_for_polls(2)
    old_watch = SocketPeer(deployment.discovery.connections[0])
    successor = StandInDiscovery()
    for number, endpoint in enumerate(deployment.endpoints):
        successor.set_endpoint(f"s-{number}", endpoint.address)
    began = time.monotonic()
    node.reload(discovery=successor.listener.address)
    successor.wait_for_polls(2)  # the full list, and the watch that continues from its version
    assert time.monotonic() - began < 1 and successor.polled_versions[:2] == [-1, 2]
    assert old_watch.wait_for_close() == "end"
    node.reload()  # a second reload without a change leaves the watch alone
    client.send(b"still here\r\n")
    assert upstream.read_line() == b"still here\r\n"
    old_poll_count = deployment.discovery.poll_count
    successor.set_endpoint(f"s-{deployment.endpoints.index(first)}", first.address, "draining")
    assert is_migrated(client)
    assert successor.polled_versions == [-1, 2, 3] and deployment.discovery.poll_count == old_poll_count
    assert node.read_counters()["cfg_accepted"] == 2


def test_a_large_fleet_watches_the_new_discovery_once_the_old_watch_ends(deployment: Deployment) -> None:
    """Full lists for 200 nodes would take it longer than the 4 s after which they count as known."""
    for number, endpoint in enumerate(deployment.endpoints):
        deployment.discovery.set_endpoint(f"s-{number}", endpoint.address)
    successor = StandInDiscovery()
    successor.index, successor.entries = deployment.discovery.index, dict(deployment.discovery.entries)
    node = deployment.start(endpoint_count=0, settings={"FleetSize": 200})
    wait_for_endpoint_list(deployment.discovery)
    deployment.discovery.listener.socket.close()  # the old service accepts no new connection ...
    began = time.monotonic()
    node.reload(discovery=successor.listener.address)
    SocketPeer(deployment.discovery.connections[-1]).close("reset")  # ... and resets the existing one
    successor.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    successor.wait_for_polls(2)
    assert time.monotonic() - began < 1.5 and successor.polled_versions[:2] == [2, 3]
    assert establish_at(node, deployment.endpoints[1], 3) and have_no_attempts(deployment.endpoints[0])


@pytest.mark.parametrize("form", ["503", "silent"])
def test_a_discovery_that_is_not_up_yet_is_polled_until_it_answers(deployment: Deployment, form: str) -> None:
    """Its list counts as known 4 s after the signal, so a poll without a response times out earlier."""
    node = deployment.start()
    successor = StandInDiscovery()
    successor.reply_format = form
    successor.set_endpoint("s-0", deployment.endpoints[0].address)
    began = time.monotonic()
    node.reload(discovery=successor.listener.address)
    successor.wait_for_polls(2)
    assert time.monotonic() - began < 4
    successor.reply_format = ""
    while 1 not in successor.polled_versions:  # the watch that continues from its list
        successor.wait_for_polls(len(successor.polled_versions) + 1)
    assert set(successor.polled_versions[: successor.polled_versions.index(1)]) == {-1}


@pytest.mark.parametrize(
    ("text", "named_key"),
    [
        ("", "GW_CONFIG"),
        ("{", "GW_CONFIG"),
        ("[]", "GW_CONFIG"),
        ('{"settings": {}}', "Classes.count"),
    ],
)
def test_an_invalid_file_is_rejected_and_the_old_one_stays_in_force(
    deployment: Deployment, text: str, named_key: str
) -> None:
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    deployment.discovery.wait_for_polls(1)
    node.reload(text)
    assert named_key in node.log_path.read_text().rsplit("reload: ", 1)[1]
    for number, endpoint in enumerate(deployment.endpoints):
        deployment.discovery.set_endpoint(f"s-{number}", endpoint.address, "draining")
    assert is_migrated(client) and upstream.wait_for_close() == "end"


def test_settings_that_cannot_be_reloaded_are_logged(deployment: Deployment) -> None:
    node = deployment.start()
    node.reload(limits={"cores": 1.0, "memory_mb": 192, "sockets": 500}, name="other", discovery="nowhere")
    assert "discovery" in node.log_path.read_text().rsplit("reload: ", 1)[1]
    node.reload(discovery=deployment.discovery.listener.address)
    output = node.log_path.read_text().rsplit("reload: ", 1)[1]
    assert "needs_restart=name,sockets" in output
    assert node.process.poll() is None and node.stop() == 0


LIVE, ONCE = SETTINGS["Classes"]


def reload_settings(node: NodeProcess, classes: list[dict[str, Any]], **limits: Any) -> str:
    """Reloads with these request classes and limits; returns what the node logs about the reload."""
    node.reload(settings={**SETTINGS, "Classes": classes, "Limits": {**SETTINGS["Limits"], **limits}})
    return node.log_path.read_text().rsplit("reload: ", 1)[1]


def open_line_of_class(name: str, time_left_ms: int = 3000) -> bytes:
    return with_new_id(OPEN_LINE % time_left_ms).replace(b"live-text", name.encode())


def test_classes_are_added_and_removed_while_connections_continue(deployment: Deployment) -> None:
    node = deployment.start()
    client = node.connect(open_line_of_class("live-text"))
    upstream = establish_request(deployment, client)
    assert node.connect(open_line_of_class("new")).read_line() == b"ERR\r\n"
    reload_settings(node, [ONCE, {**LIVE, "Name": "new"}])
    client.send(b"still here\r\n")
    assert upstream.read_line() == b"still here\r\n"
    new_class_client = node.connect(open_line_of_class("new"))
    assert establish_request(deployment, new_class_client)
    assert node.connect(open_line_of_class("live-text")).read_line() == b"ERR\r\n"
    metrics = node.read_metrics()
    assert metrics["operations.new.fulfilled"] == 1 and metrics["operations.once.fulfilled"] == 0
    assert metrics["operations.live-text.fulfilled"] == metrics["operations.live-text.faulted"] == 1
    reload_settings(node, [LIVE, ONCE])
    restored_class_client = node.connect(open_line_of_class("live-text"))
    assert (
        establish_request(deployment, restored_class_client)
        and node.connect(open_line_of_class("new")).read_line() == b"ERR\r\n"
    )


def test_a_stricter_idempotency_applies_to_new_requests_and_fewer_attempts_to_all(
    deployment: Deployment,
) -> None:
    """A request that arrived before the reload may be retried; one that arrives after it may not."""
    node = deployment.start()
    clients, upstreams = [], []
    for idempotency in ("safe", "unsafe"):
        if idempotency == "unsafe":
            reload_settings(node, [{**LIVE, "Repeat": "unsafe"}, ONCE])
        clients.append(node.connect(open_line_of_class("live-text")))
        _, upstream = accept_attempt(deployment.endpoints)
        upstream.read_line()
        upstreams.append(upstream)
    upstreams[1].send(b"ERR\r\n")
    assert clients[1].read_line() == b"ERR\r\n"
    upstreams[0].send(b"ERR\r\n")
    _, retry = accept_attempt(deployment.endpoints)
    retry.read_line()
    reload_settings(node, [LIVE, ONCE], AttemptsCap=2)
    retry.send(b"ERR\r\n")
    assert clients[0].read_line().startswith(b"BUSY")
    assert node.read_metrics()["relayed"] == 3


@pytest.mark.parametrize(
    ("classes", "limits", "named_key"),
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
    deployment: Deployment, classes: list[dict[str, Any]], limits: dict[str, Any], named_key: str
) -> None:
    """Its discovery address is not applied either, although that could be valid."""
    node = deployment.start()
    path = node.folder / "config.json"
    before = path.read_text()
    path.write_text(json.dumps({**json.loads(before), "discovery": "127.0.0.1:1"}))
    assert named_key in reload_settings(node, classes, **limits)
    deployment.discovery.set_endpoint("s-9", deployment.endpoints[1].address)
    node.wait_for_metric("registry_entries", 3)
    assert node.read_metrics()["cfg_invalid"] == 1


@pytest.mark.parametrize("key", ["name", "listen", "seed", "limits", "settings"])
def test_a_file_that_lacks_a_key_is_rejected_with_its_name(deployment: Deployment, key: str) -> None:
    node = deployment.start()
    complete = json.loads((node.folder / "config.json").read_text())
    node.reload(json.dumps({name: value for name, value in complete.items() if name != key}))
    assert (
        key in node.log_path.read_text().rsplit("reload: ", 1)[1] and node.read_metrics()["cfg_invalid"] == 1
    )
