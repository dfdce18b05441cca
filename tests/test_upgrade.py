"""Hot restart: a second process takes over the sessions of the first without interrupting them."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator

import pytest
from balancer_harness import BALANCER_SETTINGS, BalancerHarness, endpoint_entry
from conftest import Deployment
from stand_ins import ALWAYS_HAND_OVER, SETTINGS, WAIT_TIMEOUT_S, NodeProcess, SocketPeer, free_port
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id

from puffinpost.balancing.events import AttemptResult, HealthCheckCompleted

# Long enough that no attempt is abandoned while another process starts, even on a busy machine.
LONG_DEADLINES = {
    "Classes": [
        {**request_class, "AimNs": 8_000_000_000, "HardLimitNs": 9_000_000_000}
        for request_class in SETTINGS["Classes"]
    ]
}


@pytest.fixture
def inherited_listener() -> Iterator[socket.socket]:
    """The listening socket that the platform holds for both processes."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        yield listener


def establish_requests(
    deployment: Deployment, node: NodeProcess, count: int
) -> list[tuple[SocketPeer, SocketPeer]]:
    established = []
    for _ in range(count):
        client = node.connect(with_new_id(OPEN_LINE % 3000))
        established.append((client, establish_request(deployment, client)))
    return established


def exchange_line(pairs: list[tuple[SocketPeer, SocketPeer]], text: bytes) -> None:
    for client, upstream in pairs:
        client.send(text + b"\r\n")
        assert upstream.read_line() == text + b"\r\n"
        upstream.send(b"back " + text + b"\r\n")
        assert client.read_line() == b"back " + text + b"\r\n"


@pytest.mark.parametrize("listener_is_inherited", [True, False])
def test_sessions_are_handed_over_in_the_middle_of_a_line(
    deployment: Deployment, inherited_listener: socket.socket, listener_is_inherited: bool
) -> None:
    shared = inherited_listener if listener_is_inherited else None
    old = deployment.start(inherited_listener=shared, edge="" if listener_is_inherited else ALWAYS_HAND_OVER)
    pairs = establish_requests(deployment, old, 4)
    exchange_line(pairs, b"before")
    for client, upstream in pairs:  # half a line in each direction
        client.send(b"half a ")
        upstream.send(b"LOAD 4")
    new = deployment.start(
        inherited_listener=shared, same_port_as=old, edge="" if listener_is_inherited else ALWAYS_HAND_OVER
    )
    new.wait_until_ready()
    new.wait_for_metric("open_requests", 4)
    old.wait_for_metric("open_requests", 0)
    assert old.request_admin("GET", "/ready")[0] == 503
    assert old.stop() == 0
    for client, upstream in pairs:
        client.send(b"line\r\n")
        assert upstream.read_line() == b"half a line\r\n"
        upstream.send(b"1.5\r\n")
        assert client.read_line() == b"LOAD 41.5\r\n"
    exchange_line(pairs, b"after")
    assert new.read_counters()["load_notes"] == 4 and new.read_metrics()["relayed"] == 0
    late = new.connect(with_new_id(OPEN_LINE % 3000))
    assert establish_request(deployment, late)
    client, upstream = pairs[0]
    upstream.send(b"BYE\r\n")
    upstream.close()
    assert client.read_line() == b"BYE\r\n" and client.wait_for_close() == "end"
    pairs[1][0].close("reset")
    assert pairs[1][1].wait_for_close() == "reset"


def test_predecessor_serves_its_accepted_requests_and_successor_rejects_their_ids(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    old = deployment.start(inherited_listener=inherited_listener, settings=LONG_DEADLINES)
    open_line = with_new_id(OPEN_LINE % 8000)
    waiting_client = old.connect(open_line)
    slow_client = old.connect(b"OPEN ")
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    new = deployment.start(inherited_listener=inherited_listener, settings=LONG_DEADLINES)
    new.wait_until_ready()
    # The predecessor has an active request with this id.
    assert new.connect(open_line).read_line() == b"ERR\r\n"
    old.process.terminate()
    slow_client.send(with_new_id(OPEN_LINE % 8000)[5:])
    slow_upstream = accept_attempt(deployment.endpoints)[1]
    for each, client in ((slow_upstream, slow_client), (upstream, waiting_client)):
        line = each.read_line() if each is slow_upstream else b""
        each.send(b"UP 5\r\n")
        assert client.read_line() == b"UP 5\r\n", line
    assert old.process.wait(WAIT_TIMEOUT_S) == 0
    exchange_line([(waiting_client, upstream), (slow_client, slow_upstream)], b"still here")
    duplicate = new.connect(open_line)
    assert duplicate.read_line() == b"ERR\r\n"
    waiting_client.close()
    assert upstream.wait_for_close() == "end"
    new.wait_for_metric("open_requests", 1)
    assert establish_request(deployment, new.connect(open_line))


def test_successor_is_ready_only_with_its_own_list_and_the_predecessor_serves_until_then(
    deployment: Deployment,
    inherited_listener: socket.socket,
) -> None:
    old = deployment.start(inherited_listener=inherited_listener)
    old.wait_until_ready()
    deployment.discovery.reply_format = "503"
    new = deployment.start(inherited_listener=inherited_listener, wait_until_listening=False)
    new.wait_for_log("admin server listening address=")
    poll_count = deployment.discovery.poll_count
    deployment.discovery.wait_for_polls(poll_count + 1)
    assert new.request_admin("GET", "/ready")[0] == 503 and old.request_admin("GET", "/ready")[0] == 200
    pairs = establish_requests(deployment, old, 1)
    deployment.discovery.reply_format = ""
    new.wait_until_ready()
    assert old.request_admin("GET", "/ready")[0] == 503
    new.wait_for_metric("open_requests", 1)
    exchange_line(pairs, b"still here")


def test_predecessor_serves_again_when_the_successor_ends(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    old = deployment.start(inherited_listener=inherited_listener)
    for _ in range(2):
        new = deployment.start(inherited_listener=inherited_listener)
        new.wait_until_ready()
        new.process.kill()
        new.process.wait()
        old.wait_until_ready()
        assert establish_requests(deployment, old, 1)


def test_process_starts_despite_a_stale_socket_or_an_unresponsive_predecessor(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    old = deployment.start(inherited_listener=inherited_listener)
    old.process.kill()
    old.process.wait()
    node = deployment.start(inherited_listener=inherited_listener)
    node.wait_until_ready()
    node.process.send_signal(signal.SIGSTOP)
    third = deployment.start(inherited_listener=inherited_listener, wait_until_listening=False)
    third.wait_for_log("listening for clients")
    third.wait_until_ready()
    node.process.send_signal(signal.SIGCONT)
    assert third.process.poll() is None


def test_bans_and_a_removed_class_are_handed_over(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    old = deployment.start(1, inherited_listener=inherited_listener)
    pairs = establish_requests(deployment, old, 1)
    deployment.discovery.set_endpoint("s-1", deployment.endpoints[1].address)
    old.wait_for_metric("registry_entries", 2)
    assert old.request_admin("POST", "/transcribers/disable/s-1")[0] == 200
    new = deployment.start(
        inherited_listener=inherited_listener, settings={"Classes": SETTINGS["Classes"][1:]}
    )
    new.wait_until_ready()
    new.wait_for_metric("out_of_rotation", 1)
    new.wait_for_metric("open_requests", 1)
    exchange_line(pairs, b"still here")
    assert new.connect(with_new_id(OPEN_LINE % 3000)).read_line() == b"ERR\r\n"
    assert new.read_metrics()["operations.live-text.faulted"] == 1


def test_sessions_survive_repeated_hot_restarts(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    nodes = [deployment.start(inherited_listener=inherited_listener)]
    pairs = establish_requests(deployment, nodes[0], 3)
    for _ in range(3):
        nodes.append(deployment.start(inherited_listener=inherited_listener))
        nodes[-1].wait_until_ready()
        nodes[-1].wait_for_metric("open_requests", 3)
        assert nodes[-2].stop() == 0
        exchange_line(pairs, b"still here")


def test_predecessor_watches_discovery_until_it_ends(
    deployment: Deployment, inherited_listener: socket.socket
) -> None:
    old = deployment.start(1, inherited_listener=inherited_listener, settings=LONG_DEADLINES)
    waiting_client = old.connect(with_new_id(OPEN_LINE % 8000))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    new = deployment.start(1, inherited_listener=inherited_listener, settings=LONG_DEADLINES)
    new.wait_until_ready()
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    old.wait_for_metric("out_of_rotation", 1)
    upstream.send(b"BUSY\r\n")
    assert (
        waiting_client.read_line().startswith(b"BUSY")
        and not deployment.endpoints[0].has_pending_connection()
    )


def test_xmpp_listening_socket_is_handed_over_too(deployment: Deployment) -> None:
    port = free_port()
    edge = f'{ALWAYS_HAND_OVER}[xmpp]\nlisten = "127.0.0.1:{port}"\nmechanisms = ["ANONYMOUS"]\n'
    old = deployment.start(edge=edge)
    new = deployment.start(edge=edge, same_port_as=old)
    new.wait_until_ready()
    peer = new.connect(
        b"<stream:stream xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams' "
        b"to='localhost' version='1.0'>",
        port,
    )
    assert b"features" in peer.read_until(b"</stream:features>")
    assert old.stop() == 0


def test_balancer_starts_with_the_learned_state_of_its_predecessor() -> None:
    first = BalancerHarness(
        BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2, started_ns=5), endpoint_entry(3)
    )
    for _ in range(6):
        first.establish_request()
    first.report_load(1, 0.5, 8.0)
    first.report_load(2, 0.4, 8.0)
    first.handle(HealthCheckCompleted(3, AttemptResult.TIMEOUT, 1, ()))
    learned_state = first.balancer.learned_state()
    second = BalancerHarness(
        BALANCER_SETTINGS,
        endpoint_entry(1),
        endpoint_entry(2, started_ns=6),
        endpoint_entry(3),
        endpoint_entry(4),
    )
    second.now_ns = first.now_ns
    second.handle(learned_state)
    endpoints = second.balancer.state.endpoints
    assert (endpoints[1].reported_load, endpoints[1].connection_capacity) == (0.5, 16.0)
    # Endpoint 2 was restarted, and endpoint 4 was unknown to the predecessor.
    assert endpoints[2].reported_load is None and endpoints[4].reported_load is None
    assert endpoints[3].ejected_until_ns == first.balancer.state.endpoints[3].ejected_until_ns > second.now_ns
    assert second.balancer.excluded_count() == 1
