"""Bans by operators: a banned endpoint gets no attempt until the ban is lifted, whatever the list says."""

from __future__ import annotations

import json
import time
from pathlib import Path

import pytest
from balancer_harness import (
    BALANCER_SETTINGS,
    BalancerHarness,
    S,
    actions_of_type,
    endpoint_entry,
    single_action,
)
from conftest import Deployment
from stand_ins import NodeProcess
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id

from puffinpost.admin.ban_file import BanFile
from puffinpost.balancing.actions import CheckHealth, Migrate, StartAttempt
from puffinpost.balancing.events import EndpointBanChanged, EndpointListUpdate, ListUpdateKind


def set_ban(node: NodeProcess, number: int, operation: str = "disable") -> int:
    return node.request_admin("POST", f"/transcribers/{operation}/s-{number}")[0]


def assert_rejected(node: NodeProcess) -> None:
    """A client is rejected, because no endpoint may serve it."""
    assert node.connect(with_new_id(OPEN_LINE % 700)).read_line().startswith(b"BUSY")


def test_banned_endpoint_gets_no_attempt_until_the_ban_is_lifted(deployment: Deployment) -> None:
    node = deployment.start(1)
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    assert set_ban(node, 0) == 200 and set_ban(node, 0) == 200
    assert client.read_line() == b"MOVE\r\n" and upstream.wait_for_close() == "end"
    # An update of the endpoint list does not lift the ban.
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address)
    assert_rejected(node)
    assert (
        not deployment.endpoints[0].has_pending_connection() and node.read_metrics()["out_of_rotation"] == 1
    )
    assert set_ban(node, 0, "enable") == 200 and set_ban(node, 0, "enable") == 200
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    assert establish_request(deployment, client) and node.read_metrics()["out_of_rotation"] == 0


def test_ban_of_an_unknown_endpoint_is_rejected(deployment: Deployment) -> None:
    node = deployment.start(1)
    for name in ("s-9", "s-%39"):
        assert node.request_admin("POST", f"/transcribers/disable/{name}")[0] == 404
    assert node.request_admin("GET", "/transcribers/disable/s-0")[0] == 405
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    assert establish_request(deployment, client)


def test_ban_survives_removal_from_the_list_and_a_process_restart(deployment: Deployment) -> None:
    node = deployment.start()
    assert set_ban(node, 0) == 200
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address, "removed")
    node.wait_for_metric("registry_entries", 1)
    assert node.stop() == 0
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address)
    restarted = deployment.start()
    clients = [restarted.connect(with_new_id(OPEN_LINE % 3000)) for _ in range(8)]
    upstreams = [establish_request(deployment, client) for client in clients]
    assert not deployment.endpoints[0].has_pending_connection() and len(upstreams) == 8
    assert set_ban(restarted, 0, "enable") == 200 and set_ban(restarted, 1) == 200
    late = restarted.connect(with_new_id(OPEN_LINE % 3000))
    assert accept_attempt(deployment.endpoints[:1]) and late


def test_two_processes_follow_one_ban_file(deployment: Deployment) -> None:
    nodes = [deployment.start(1), deployment.start(1)]
    assert set_ban(nodes[0], 0) == 200
    nodes[1].wait_for_metric("out_of_rotation", 1)
    assert_rejected(nodes[1])
    assert set_ban(nodes[1], 0, "enable") == 200
    nodes[0].wait_for_metric("out_of_rotation", 0)


@pytest.mark.parametrize("damage", ["", "{", "[]", '{"s-0": "x"}', "gone"])
def test_damaged_ban_file_is_repaired_from_memory(deployment: Deployment, damage: str) -> None:
    node = deployment.start(1)
    assert set_ban(node, 0) == 200
    path = next(deployment.folder.glob("*.bans"))
    if damage == "gone":
        path.unlink()
    else:
        path.write_text(damage)
    deadline = time.monotonic() + 10
    while not path.exists() or path.read_text() == damage:
        assert time.monotonic() < deadline
        time.sleep(0.01)
    assert list(json.loads(path.read_text())) == ["s-0"]
    assert_rejected(node)


def test_ban_file_that_is_damaged_at_startup_is_replaced_by_an_empty_one(tmp_path: Path) -> None:
    BanFile(str(tmp_path), "n0").change("s-0", 5)
    path = next(tmp_path.glob("*.bans"))
    path.write_bytes(b"\xff\x00")
    bans = BanFile(str(tmp_path), "n0")
    assert bans.banned_since_ns == {} and path.read_bytes() == b"{}"
    bans.change("s-1", 7)
    assert BanFile(str(tmp_path), "n0").banned_since_ns == {"s-1": 7}


def test_ban_that_cannot_be_written_is_rejected(deployment: Deployment) -> None:
    node = deployment.start(1)
    (deployment.folder / "puffinpost-n0.lock").mkdir()
    assert set_ban(node, 0) == 500 and node.read_metrics()["out_of_rotation"] == 0


# --- the balancer -----------------------------------------------------------------------------------


def test_banned_endpoint_gets_no_request_and_no_health_check_and_its_connections_migrate() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    seen = {harness.establish_request().endpoint for _ in range(8)}
    assert seen == {1, 2}
    harness.handle(EndpointBanChanged(1, True, harness.now_ns))
    actions = harness.advance(3 * S)
    assert actions_of_type(actions, Migrate) and not any(
        check.endpoint == 1 for check in actions_of_type(actions, CheckHealth)
    )
    harness.handle(
        EndpointListUpdate(
            ListUpdateKind.FULL, (endpoint_entry(1, started_ns=harness.now_ns), endpoint_entry(2))
        )
    )
    assert {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(8)} == {2}
    assert harness.balancer.excluded_count() == 1


@pytest.mark.parametrize("list_change", ["nothing", "a start", "a start later"])
def test_endpoint_whose_ban_is_lifted_is_warming_up_and_gets_the_first_connection(list_change: str) -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2, zone=1))
    for endpoint in (1, 2):
        harness.report_load(endpoint, 0.5, 4.0)
    harness.handle(EndpointBanChanged(2, True, harness.now_ns))
    harness.advance(3 * S)
    started_ns = harness.now_ns
    if list_change == "a start":
        harness.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, zone=1, started_ns=started_ns),))
        )
    harness.advance(4 * S)
    harness.handle(EndpointBanChanged(2, False, 0))
    lifted_ns = harness.now_ns
    assert harness.establish_request().endpoint == 2
    assert harness.establish_request().endpoint == 1  # one connection shows that it serves again
    if list_change == "a start later":
        harness.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, zone=1, started_ns=started_ns),))
        )
    assert harness.balancer.state.endpoints[2].warming_since_ns == (
        lifted_ns if list_change == "nothing" else started_ns
    )


def test_ban_of_an_unlisted_endpoint_applies_once_it_is_listed() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    harness.handle(EndpointBanChanged(3, True, harness.now_ns))
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(3),)))
    assert {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(8)} == {1}
    harness.handle(EndpointBanChanged(3, False, 0))
    assert single_action(harness.send_request(), StartAttempt).endpoint == 3


def test_restarted_endpoint_keeps_its_learned_capacity() -> None:
    """Guards against an endpoint that is limited to a dozen connections until its reports show more."""
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    for _ in range(12):
        harness.establish_request()
    for number, connections in ((1, 80.0), (2, 5.0)):
        harness.report_load(number, 0.5, connections)
    harness.advance(S)
    endpoints = harness.balancer.state.endpoints
    for number, capacity in ((1, 160.0), (2, 0.0)):
        harness.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(number, started_ns=harness.now_ns),))
        )
        assert (
            endpoints[number].reported_load,
            endpoints[number].reported_connections,
            endpoints[number].connection_capacity,
        ) == (None, 0.0, capacity)
    # Warm-up factor 0.6; the fleet's rate is three times 160 connections over 20 s, of which 0.6 is used as
    # a margin; tokens accumulate for half a second.
    harness.advance(10 * S)
    rate = 160 / 20 * 0.6 * 3 * 0.6
    assert harness.balancer.slow_start.has_capacity(endpoints[1])
    assert 4 <= endpoints[1].admission_tokens <= 0.5 * rate + 1
    whole_tokens, fraction = divmod(endpoints[1].admission_tokens, 1.0)
    assert whole_tokens == int(0.5 * rate - fraction) + 1
    for _ in range(int(whole_tokens)):
        assert harness.balancer.slow_start.has_capacity(endpoints[1])
        harness.balancer.slow_start.on_attempt_started(endpoints[1])
    assert not harness.balancer.slow_start.has_capacity(endpoints[1])
