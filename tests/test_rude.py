"""Clients that are rude or lost: each is answered in time, and none takes the place of a usual one."""

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

SOON_S = 3.0


@pytest.mark.parametrize("said", [b"", b"OPEN 9b1f", b"PING\r\nOPEN 9b1f"])
def test_who_owes_a_first_line_is_answered_in_time(deployment: Deployment, said: bytes) -> None:
    """A line that is dripped has no more time than one that stands still."""
    client = deployment.start().connect(said)
    began = time.monotonic()
    if said.startswith(b"PING"):
        assert client.read_line() == b"PONG\r\n"
    while said and not select.select([client.socket], [], [], 0.2)[0]:
        with contextlib.suppress(OSError):
            client.send(b"0")
    assert client.read_line() == b"BUSY 500\r\n" and client.wait_for_close() == "end"
    assert time.monotonic() - began < SOON_S


@pytest.mark.parametrize("said", [b"", STREAM_HEADER])
def test_who_owes_an_xmpp_header_is_answered_in_time_and_who_sent_it_stays(
    deployment: Deployment, said: bytes
) -> None:
    client = XmppDeployment(deployment).connect(said)
    if said:
        client.read_until(b"</stream:features>")
        assert not select.select([client.socket], [], [], SOON_S)[0]
    else:
        assert (
            b"<connection-timeout " in client.read_until(b"</stream:stream>")
            and client.wait_for_close() == "end"
        )


def test_a_front_that_had_its_pong_may_stay(deployment: Deployment) -> None:
    front = deployment.start().connect(b"PING\r\n")
    assert front.read_line() == b"PONG\r\n"
    assert not select.select([front.socket], [], [], SOON_S)[0]
    front.send(b"PING\r\n")
    assert front.read_line() == b"PONG\r\n"


@pytest.mark.parametrize("said", [b"", b"PING\r\n"])
def test_the_silent_take_no_place_of_others(deployment: Deployment, said: bytes) -> None:
    """More connections than descriptors: the oldest go, and a usual client is served at once."""
    node = deployment.start(sockets=80)
    silent = [node.connect(said) for _ in range(150)]
    began = time.monotonic()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    relay = establish_request(deployment, client)
    assert time.monotonic() - began < 1
    ended = [peer for peer in silent if select.select([peer.socket], [], [], 0)[0]]
    assert len(ended) >= 100
    relay.close()


@pytest.mark.parametrize("leaves", [False, True])
def test_a_slow_line_is_served_in_a_crowd_of_the_mute(deployment: Deployment, leaves: bool) -> None:
    """It takes 2 s to write; meanwhile others come by the hundred, and the process may be told to end."""
    node = deployment.start(sockets=80)
    slow, line = node.connect(), with_new_id(OPEN_LINE % 3000)
    crowd: list[SocketPeer] = []
    for at in range(0, len(line), 4):
        slow.send(line[at : at + 4])
        if not leaves or at == 0:
            crowd += [node.connect(said) for said in (b"", b"OPEN 9b1f") for _ in range(4)]
        if leaves and at == 0:
            node.process.terminate()
        assert not select.select([slow.socket], [], [], 2.0 * 4 / len(line))[0]  # neither answered nor closed
    relay = establish_request(deployment, slow)
    assert len(crowd) > (7 if leaves else 100) and relay


def rude(node: NodeProcess, data: bytes) -> SocketPeer:
    """A client that sends all it has before it reads."""
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
    ids=["lines", "no end", "commands", "empty"],
)
def test_an_answer_survives_what_was_sent_behind_the_error(deployment: Deployment, data: bytes) -> None:
    """A close on unread input is a reset, which would destroy the answer on its way."""
    client = rude(deployment.start(), data)
    assert client.wait_for_close() == "end" and client.buffer == b"ERR\r\n"
    assert not any(
        server.has_pending_connection()
        and server.accept().wait_for_close()
        and server.has_pending_connection()
        for server in deployment.endpoints
    )


def test_what_has_no_end_is_cut_off(deployment: Deployment) -> None:
    node = deployment.start()
    began = time.monotonic()
    client = rude(node, b"x" * 60_000_000)
    with contextlib.suppress(ConnectionResetError):
        client.wait_for_close()
    assert time.monotonic() - began < SOON_S
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"


def test_the_id_of_an_open_message_is_an_error_until_that_ends(deployment: Deployment) -> None:
    node = deployment.start()
    line = with_new_id(OPEN_LINE % 3000)
    client = node.connect(line)
    _, waiting = accept_attempt(deployment.endpoints)
    waiting.read_line()
    assert node.connect(line).read_line() == b"ERR\r\n"
    waiting.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    for again in (line, line.replace(line.split()[1], line.split()[1].upper())):
        assert node.connect(again).read_line() == b"ERR\r\n"
    assert (
        not any(server.has_pending_connection() for server in deployment.endpoints)
        and node.read_counters()["duplicates"] == 3
    )
    client.close()
    assert waiting.wait_for_close() == "end"
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
def test_a_field_against_the_protocol_goes_nowhere(deployment: Deployment, old: bytes, new: bytes) -> None:
    line = OPEN_LINE % 9
    assert old in line
    client = deployment.start().connect(line.replace(old, new, 1))
    assert client.read_line() == b"ERR\r\n" and client.wait_for_close() == "end"
    assert not any(server.has_pending_connection() for server in deployment.endpoints)


def test_many_short_lines_before_a_connection_stands_cost_little(deployment: Deployment) -> None:
    """They are kept in order up to a bound, and all come to the transcriber once it is there."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    _, relay = accept_attempt(deployment.endpoints)
    relay.read_line()
    began = time.monotonic()
    client.send(b"".join(b"%d\r\n" % number for number in range(20000)))
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"
    relay.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    assert [int(relay.read_line()) for _ in range(20000)] == list(range(20000))
    assert time.monotonic() - began < WAIT_TIMEOUT_S / 2


@pytest.mark.parametrize(("request_class", "answer"), [(b"live-text", b"BUSY\r\n"), (b"once", b"ERR\r\n")])
def test_a_client_that_only_half_closes_reads_its_answer(
    deployment: Deployment, request_class: bytes, answer: bytes
) -> None:
    client = deployment.start().connect((OPEN_LINE % 3000).replace(b"live-text", request_class))
    _, relay = accept_attempt(deployment.endpoints)
    relay.read_line()
    client.socket.shutdown(socket.SHUT_WR)
    assert (
        client.read_line() == answer and client.wait_for_close() == "end" and relay.wait_for_close() == "end"
    )
    assert not any(server.has_pending_connection() for server in deployment.endpoints)


def test_half_a_line_and_an_end_is_an_error(deployment: Deployment) -> None:
    client = deployment.start().connect(b"OPEN 9b1f03aa5c7e2d41 7f3a")
    client.socket.shutdown(socket.SHUT_WR)
    assert client.read_line() == b"ERR\r\n" and client.wait_for_close() == "end"
