"""Misbehaving and stalled clients are answered in time and do not take capacity from other clients."""

from __future__ import annotations

import contextlib
import select
import socket
import time

import pytest
from conftest import Deployment
from stand_ins import WAIT_TIMEOUT_S, NodeProcess, SocketPeer
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id
from xmpp_stand_ins import STREAM_HEADER, XmppDeployment

ANSWER_LIMIT_S = 3.0


@pytest.mark.parametrize("data", [b"", b"OPEN 9b1f", b"PING\r\nOPEN 9b1f"])
def test_client_without_a_complete_first_line_is_answered_in_time(
    deployment: Deployment, data: bytes
) -> None:
    """A line that arrives byte by byte has no more time than one that has stalled."""
    client = deployment.start().connect(data)
    started_at = time.monotonic()
    if data.startswith(b"PING"):
        assert client.read_line() == b"PONG\r\n"
    while data and not select.select([client.socket], [], [], 0.2)[0]:
        with contextlib.suppress(OSError):
            client.send(b"0")
    assert client.read_line() == b"BUSY 500\r\n" and client.wait_for_close() == "end"
    assert time.monotonic() - started_at < ANSWER_LIMIT_S


@pytest.mark.parametrize("data", [b"", STREAM_HEADER])
def test_xmpp_client_is_timed_out_only_without_a_stream_header(deployment: Deployment, data: bytes) -> None:
    client = XmppDeployment(deployment).connect(data)
    if data:
        client.read_until(b"</stream:features>")
        assert not select.select([client.socket], [], [], ANSWER_LIMIT_S)[0]
    else:
        assert (
            b"<connection-timeout " in client.read_until(b"</stream:stream>")
            and client.wait_for_close() == "end"
        )


def test_frontend_that_was_answered_a_ping_stays_connected(deployment: Deployment) -> None:
    frontend = deployment.start().connect(b"PING\r\n")
    assert frontend.read_line() == b"PONG\r\n"
    assert not select.select([frontend.socket], [], [], ANSWER_LIMIT_S)[0]
    frontend.send(b"PING\r\n")
    assert frontend.read_line() == b"PONG\r\n"


@pytest.mark.parametrize("data", [b"", b"PING\r\n"])
def test_oldest_idle_connections_are_evicted_to_serve_a_new_client(
    deployment: Deployment, data: bytes
) -> None:
    """With more connections than descriptors the oldest are evicted, and a new client is served at once."""
    node = deployment.start(sockets=80)
    idle_clients = [node.connect(data) for _ in range(150)]
    started_at = time.monotonic()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    assert time.monotonic() - started_at < 1
    ended = [peer for peer in idle_clients if select.select([peer.socket], [], [], 0)[0]]
    assert len(ended) >= 100
    upstream.close()


@pytest.mark.parametrize("shuts_down", [False, True])
def test_slow_request_line_is_served_among_many_stalled_clients(
    deployment: Deployment, shuts_down: bool
) -> None:
    """Writing the line takes 2 s. Meanwhile, over a hundred others connect, or the node shuts down."""
    node = deployment.start(sockets=80)
    slow_client, line = node.connect(), with_new_id(OPEN_LINE % 3000)
    stalled_clients: list[SocketPeer] = []
    for offset in range(0, len(line), 4):
        slow_client.send(line[offset : offset + 4])
        if not shuts_down or offset == 0:
            stalled_clients += [node.connect(data) for data in (b"", b"OPEN 9b1f") for _ in range(4)]
        if shuts_down and offset == 0:
            node.process.terminate()
        # Neither answered nor closed.
        assert not select.select([slow_client.socket], [], [], 2.0 * 4 / len(line))[0]
    upstream = establish_request(deployment, slow_client)
    assert len(stalled_clients) > (7 if shuts_down else 100) and upstream


def connect_and_send_all(node: NodeProcess, data: bytes) -> SocketPeer:
    """Connects a client that sends all data before it reads."""
    client = node.connect()
    with contextlib.suppress(ConnectionResetError, BrokenPipeError):
        client.send(data)
    return client


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n" * 6000,
        b"x" * 100_000,
        OPEN_LINE % 3000 * 300,
        b"OPEN " + b"\r\n" * 5000,
    ],
    ids=["lines", "unterminated line", "commands", "empty"],
)
def test_error_answer_arrives_although_data_follows_the_invalid_line(
    deployment: Deployment, data: bytes
) -> None:
    """A close with unread input causes a reset, which would discard the answer in transit."""
    client = connect_and_send_all(deployment.start(), data)
    assert client.wait_for_close() == "end" and client.buffer == b"ERR\r\n"
    assert not any(
        endpoint.has_pending_connection()
        and endpoint.accept().wait_for_close()
        and endpoint.has_pending_connection()
        for endpoint in deployment.endpoints
    )


def test_connection_that_sends_endless_data_is_closed_in_time(deployment: Deployment) -> None:
    node = deployment.start()
    started_at = time.monotonic()
    client = connect_and_send_all(node, b"x" * 60_000_000)
    with contextlib.suppress(ConnectionResetError):
        client.wait_for_close()
    assert time.monotonic() - started_at < ANSWER_LIMIT_S
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"


def test_request_with_the_id_of_an_open_request_is_an_error_until_that_one_ends(
    deployment: Deployment,
) -> None:
    node = deployment.start()
    line = with_new_id(OPEN_LINE % 3000)
    client = node.connect(line)
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    assert node.connect(line).read_line() == b"ERR\r\n"
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    for repeated_line in (line, line.replace(line.split()[1], line.split()[1].upper())):
        assert node.connect(repeated_line).read_line() == b"ERR\r\n"
    assert (
        not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)
        and node.read_counters()["duplicates"] == 3
    )
    client.close()
    assert upstream.wait_for_close() == "end"
    establish_request(deployment, node.connect(line))


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b"d=9", b"d=0"),
        (b"d=9", b"d=600001"),
        (b"d=9", b"d=9.5"),
        (b"d=9", b"d=+9"),
        (b"d=9", b"d=" + b"9" * 4000),
        (b"9b1f", b"0x1f"),
        (b"9b1f", b"00009b1f"),
        (b"9b1f", b"9b_f"),
        (b"9b1f03aa5c7e2d41 ", b" "),
        (b"7f3a", b"-f3a"),
        (b"c=", b"c=live-text,c="),
        (b"c=", b"c=,x="),
        (b"c=", b"=x,c="),
        (b"c=", b"x,c="),
        (b"g=5c", b"g=zz"),
        (b"g=", b"h=-1,g="),
        (b"g=", b"h=1e9,g="),
        (b"\r\n", b"\n"),
        (b"\r\n", b"\r\r\n"),
        (b"g=", b"x=\x00,g="),
        (b"g=", b"x=\xc3\xa9,g="),
        (b" c=", b"  c="),
        (b"OPEN", b"open"),
    ],
)
def test_request_line_that_violates_the_protocol_is_an_error_and_not_forwarded(
    deployment: Deployment, old: bytes, new: bytes
) -> None:
    line = OPEN_LINE % 9
    assert old in line
    client = deployment.start().connect(line.replace(old, new, 1))
    assert client.read_line() == b"ERR\r\n" and client.wait_for_close() == "end"
    assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)


def test_many_short_lines_before_the_session_is_established_are_forwarded_quickly(
    deployment: Deployment,
) -> None:
    """They are buffered in order up to a limit and sent to the endpoint once the session is established."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    started_at = time.monotonic()
    client.send(b"".join(b"%d\r\n" % number for number in range(20000)))
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    assert [int(upstream.read_line()) for _ in range(20000)] == list(range(20000))
    assert time.monotonic() - started_at < WAIT_TIMEOUT_S / 2


@pytest.mark.parametrize(("request_class", "answer"), [(b"live-text", b"BUSY\r\n"), (b"once", b"ERR\r\n")])
def test_half_closed_client_gets_its_answer_and_no_further_attempt(
    deployment: Deployment, request_class: bytes, answer: bytes
) -> None:
    client = deployment.start().connect((OPEN_LINE % 3000).replace(b"live-text", request_class))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    client.socket.shutdown(socket.SHUT_WR)
    assert (
        client.read_line() == answer
        and client.wait_for_close() == "end"
        and upstream.wait_for_close() == "end"
    )
    assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)


def test_incomplete_line_before_the_end_of_input_is_an_error(deployment: Deployment) -> None:
    client = deployment.start().connect(b"OPEN 9b1f03aa5c7e2d41 7f3a")
    client.socket.shutdown(socket.SHUT_WR)
    assert client.read_line() == b"ERR\r\n" and client.wait_for_close() == "end"
