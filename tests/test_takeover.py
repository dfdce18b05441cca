"""The takeover at an upgrade: what does not arrive, or is not answered for, stays with the predecessor."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest
from conftest import Deployment
from hypothesis import given
from hypothesis import strategies as st
from stand_ins import ALWAYS_HAND_OVER, WAIT_TIMEOUT_S, NodeProcess, SocketPeer, free_port
from test_handover_form import STORED_MESSAGES, HandoverPeer
from test_node import OPEN_LINE, establish_request, with_new_id
from test_upgrade import establish_requests, exchange_line

from puffinpost.net.handover_framing import (
    FRAGMENT_HEADER,
    FRAGMENT_MARK,
    MAX_DATAGRAM_BYTES,
    HandoverFormatError,
    MessageAssembler,
    fits_one_datagram,
    fragments,
)
from puffinpost.runtime.handover_messages import EstablishedSessionHandover, SessionMessage
from puffinpost.runtime.unacknowledged_sessions import UnacknowledgedSessions

NO_WORK_S = 3.0  # for how long nothing may be sent to draining endpoints
SESSION_COUNT = 60
MANY_ENDPOINTS = 3200
MAX_KILL_DELAY_S = 0.15  # by then a successor has received most sessions


@pytest.fixture
def inherited_listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        yield listener


def edge_with_frontends() -> str:
    xmpp = f'[xmpp]\nlisten = "127.0.0.1:{free_port()}"\nmechanisms = ["ANONYMOUS"]\n'
    return xmpp + f'[mqtt]\nlisten = "127.0.0.1:{free_port()}"\nanonymous = true\n'


def stop_discovery(deployment: Deployment) -> None:
    """Refuses new calls of nodes, and ends the open ones."""
    deployment.discovery.listener.socket.shutdown(socket.SHUT_RDWR)
    deployment.discovery.listener.socket.close()
    for connection in deployment.discovery.connections:
        connection.close()


def wait_until_polled(deployment: Deployment) -> None:
    """Waits until a node has all of discovery's changes, which it shows by asking for later ones."""
    discovery = deployment.discovery
    with discovery.changed:
        assert discovery.changed.wait_for(
            lambda: discovery.index in discovery.polled_versions, WAIT_TIMEOUT_S
        )


# An upgrade with three listeners lost all sessions: of three sockets in one message the successor took two.
# With a long list the takeover was cut off, and while discovery was down the successor forgot a drain.
@pytest.mark.parametrize("endpoint_count", [3, MANY_ENDPOINTS])
def test_a_node_with_all_frontends_is_replaced_while_discovery_is_down(
    deployment: Deployment, inherited_listener: socket.socket, endpoint_count: int
) -> None:
    edge, discovery = edge_with_frontends(), deployment.discovery
    draining = deployment.endpoints[1]
    for number in range(2, endpoint_count):
        discovery.set_endpoint(f"s-{number}", "127.0.0.1:9", "draining")
    old = deployment.start(inherited_listener=inherited_listener, edge=edge)
    started_with = discovery.snapshot()
    discovery.set_endpoint("s-1", draining.address, "draining")
    wait_until_polled(deployment)
    pairs = establish_requests(deployment, old, SESSION_COUNT)
    exchange_line(pairs, b"before")
    stop_discovery(deployment)

    discovery.snapshot = lambda: started_with  # type: ignore[method-assign]
    new = deployment.start(inherited_listener=inherited_listener, edge=edge)
    new.wait_until_ready()
    new.wait_for_metric("open_requests", SESSION_COUNT)
    assert old.stop() == 0
    exchange_line(pairs, b"after")
    assert new.read_metrics()["registry_entries"] == len(started_with["endpoints"])
    until = time.monotonic() + NO_WORK_S
    while time.monotonic() < until:
        assert establish_request(deployment, new.connect(with_new_id(OPEN_LINE % 3000)))
        assert not draining.has_pending_connection()
        time.sleep(0.1)
    assert new.process.poll() is None


class AcknowledgingSuccessor(HandoverPeer):
    """The test's end of the channel, as a successor that answers for each session."""

    def __init__(self, folder: Path) -> None:
        channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        channel.connect(str(folder / "puffinpost-n0.sock"))
        super().__init__(channel)
        self.send({"do": "forms", "highest": 2})
        self.send(STORED_MESSAGES["ready"])

    def serve(self) -> None:
        """Takes over, and requests the sessions."""
        self.receive("yours")
        self.send({"do": "serving"})

    def receive_session(self) -> tuple[int, list[socket.socket]]:
        """Returns the next session's number and its sockets."""
        data, sockets = self.receive("session")
        return json.loads(data)["seq"], sockets


def start_with_sessions(
    deployment: Deployment, count: int
) -> tuple[NodeProcess, list[tuple[SocketPeer, SocketPeer]]]:
    node = deployment.start(edge=ALWAYS_HAND_OVER + edge_with_frontends())
    return node, establish_requests(deployment, node, count)


def test_no_session_is_sent_before_the_successor_serves(deployment: Deployment) -> None:
    node, pairs = start_with_sessions(deployment, 4)
    successor = AcknowledgingSuccessor(deployment.folder)
    told = json.loads(successor.receive("list")[0])
    assert [each["name"] for each in told["answer"]["endpoints"]] == ["s-0", "s-1"] and told["is_current"]
    data, sockets = successor.receive("yours")
    assert len(sockets) == len(json.loads(data)["listening"]) == 3
    successor.channel.setblocking(False)
    with pytest.raises(BlockingIOError):
        successor.channel.recv(1)
    successor.channel.close()
    node.wait_until_ready()
    exchange_line(pairs, b"still here")


def test_sessions_that_the_successor_does_not_answer_for_go_on_at_the_predecessor(
    deployment: Deployment,
) -> None:
    node, pairs = start_with_sessions(deployment, 4)
    for text in (b"first", b"second"):
        successor = AcknowledgingSuccessor(deployment.folder)
        successor.serve()
        sockets = [each for _ in pairs for each in successor.receive_session()[1]]
        for client, _ in pairs:
            client.send(text[:2])
        for each in (*sockets, successor.channel):
            each.close()
        node.wait_until_ready()
        for client, upstream in pairs:
            client.send(text[2:] + b"\r\n")
            assert upstream.read_line() == text + b"\r\n"
        exchange_line(pairs, b"and on")
    assert node.read_metrics()["open_requests"] == len(pairs)


def test_a_session_that_the_successor_refuses_goes_on_at_the_predecessor(deployment: Deployment) -> None:
    node, pairs = start_with_sessions(deployment, 2)
    successor = AcknowledgingSuccessor(deployment.folder)
    successor.serve()
    adopted, adopted_sockets = successor.receive_session()
    refused, refused_sockets = successor.receive_session()
    successor.send({"do": "received", "seq": adopted, "adopted": True})
    for each in refused_sockets:
        each.close()
    successor.send({"do": "received", "seq": refused, "adopted": False})
    node.wait_for_metric("open_requests", 1)
    exchange_line(pairs[1:], b"still here")
    assert adopted_sockets[0].getpeername() == pairs[0][0].socket.getsockname()


def test_another_successor_is_refused_while_sessions_are_under_way(deployment: Deployment) -> None:
    node, pairs = start_with_sessions(deployment, 1)
    first = AcknowledgingSuccessor(deployment.folder)
    first.serve()
    number, _sockets = first.receive_session()
    second = AcknowledgingSuccessor(deployment.folder)
    assert second.channel.recv(1) == b""
    first.send({"do": "received", "seq": number, "adopted": True})
    node.wait_for_metric("open_requests", 0)
    assert pairs


def test_an_earlier_successor_that_cannot_take_all_sockets_gets_nothing(deployment: Deployment) -> None:
    node, pairs = start_with_sessions(deployment, 2)
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.connect(str(deployment.folder / "puffinpost-n0.sock"))
    earlier = HandoverPeer(channel)
    earlier.send(STORED_MESSAGES["ready"])
    assert channel.recv(1) == b""
    node.wait_until_ready()
    exchange_line(pairs, b"still here")


@pytest.mark.parametrize(
    "datagram",
    [
        b"SSH-2.0-x",
        b"{not json",
        b'{"do": "ready", "x"',
        b'{"no": "kind"}',
        b'{"do": "received", "seq": "many", "adopted": 4}',
        FRAGMENT_HEADER.pack(FRAGMENT_MARK, 0, 0, 0),
        FRAGMENT_HEADER.pack(FRAGMENT_MARK, 2**32 - 1, 0, 0) + b"{",
        FRAGMENT_HEADER.pack(FRAGMENT_MARK, 20, 4, 0) + b"{",
        FRAGMENT_HEADER.pack(FRAGMENT_MARK, 20, 0, 9) + b'{"do": "ready"',
    ],
)
def test_an_invalid_message_of_a_successor_changes_nothing(deployment: Deployment, datagram: bytes) -> None:
    node, pairs = start_with_sessions(deployment, 2)
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.connect(str(deployment.folder / "puffinpost-n0.sock"))
    channel.send(datagram)
    exchange_line(pairs, b"still here")
    channel.close()
    assert node.request_admin("GET", "/ready")[0] == 200
    exchange_line(pairs, b"and on")


def echo_lines(upstream: SocketPeer) -> None:
    with contextlib.suppress(OSError, EOFError):
        while True:
            upstream.send(b"back " + upstream.read_line())


def outcome(client: SocketPeer) -> str:
    """Whether a session goes on or has ended; any other outcome is nobody's session."""
    try:
        client.send(b"hello\r\n")
        assert client.read_line() == b"back hello\r\n"
    except TimeoutError:
        return "silent"
    except (EOFError, ConnectionError):
        return "ended"
    return "goes on"


@pytest.mark.parametrize("seed", range(4))
def test_after_a_successor_is_killed_no_session_is_without_a_process(
    deployment: Deployment, seed: int
) -> None:
    """The killed process ends the sessions that it had answered for; all others go on at the predecessor."""
    edge = ALWAYS_HAND_OVER + edge_with_frontends()
    old = deployment.start(edge=edge)
    pairs = establish_requests(deployment, old, SESSION_COUNT)
    for _, upstream in pairs:
        threading.Thread(target=echo_lines, args=(upstream,), daemon=True).start()
    successor = deployment.start(edge=edge, same_port_as=old, wait_until_listening=False)
    old.wait_for_log("successor takes over")
    time.sleep(random.Random(seed).uniform(0, MAX_KILL_DELAY_S))
    successor.process.kill()
    successor.process.wait()
    old.wait_until_ready()
    outcomes = Counter(outcome(client) for client, _ in pairs)
    assert set(outcomes) <= {"goes on", "ended"}
    assert old.read_metrics()["open_requests"] == outcomes["goes on"]


def test_a_session_that_cannot_be_continued_does_not_keep_the_others_back() -> None:
    continued: list[str] = []

    def restore(message: SessionMessage, _sockets: list[socket.socket]) -> bool:
        if message.state["name"] == "defective":
            raise RuntimeError("a defect")
        continued.append(message.state["name"])
        return True

    sessions = UnacknowledgedSessions(restore)
    for name in ("defective", "sound"):
        sessions.add(EstablishedSessionHandover({"name": name}), [])
    assert sessions.restore_all() == 2 and continued == ["sound"] and not sessions


# --- framing ------------------------------------------------------------------------------------------


@given(st.integers(1, 5), st.integers(-20, 20))
def test_a_message_of_any_length_arrives_whole(parts: int, difference: int) -> None:
    message = b"{" + b"x" * (parts * (MAX_DATAGRAM_BYTES - FRAGMENT_HEADER.size) + difference)
    datagrams = list(fragments(message, []))
    assembler = MessageAssembler()
    results = [assembler.feed(each.data, []) for each in datagrams]
    assert results[:-1] == [None] * (len(datagrams) - 1)
    last = results[-1]
    assert last is not None and last.data == message
    assert all(len(each.data) <= MAX_DATAGRAM_BYTES for each in datagrams)


def test_any_number_of_sockets_arrives_with_a_short_message() -> None:
    pairs = [socket.socketpair() for _ in range(100)]
    sockets = [each for pair in pairs for each in pair]
    assert not fits_one_datagram(b"{}", sockets)
    assembler = MessageAssembler()
    results = [assembler.feed(each.data, list(each.sockets)) for each in fragments(b"{}", sockets)]
    last = results[-1]
    assert last is not None and (last.data, list(last.sockets)) == (b"{}", sockets)
    for each in sockets:
        each.close()


@pytest.mark.parametrize(
    "change", ["repeated", "left out", "truncated", "foreign", "interrupted", "too long"]
)
def test_a_changed_sequence_of_fragments_is_an_error(change: str) -> None:
    data = [each.data for each in fragments(b"{" + b"x" * 3 * MAX_DATAGRAM_BYTES, [])]
    changed = {
        "repeated": [data[0], data[0]],
        "left out": [data[0], data[2]],
        "truncated": [data[0], data[1][:100], data[2]],
        "foreign": [data[0], b"GET / HTTP/1.1\r\n\r\n"],
        "interrupted": [data[0], b'{"do": "ready"}'],
        "too long": [*data[:-1], data[-1] + b"x"],
    }[change]
    assembler = MessageAssembler()
    with pytest.raises(HandoverFormatError):
        for each in changed:
            assembler.feed(each, [])
