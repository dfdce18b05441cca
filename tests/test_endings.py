"""Races at the end of connections, attempts and processes; each is forced by what a stand-in withholds.

docs/acceptance.md lists the races, with the test of each.
"""

from __future__ import annotations

import asyncio
import json
import os
import select
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import World
from standins import ROOT, SETTINGS, WAIT_S, Discovery, Node, Peer, Server, free_port
from test_node import OPEN, first_of, fresh, served

from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.cluster.replication_writer import ReplicaWriter
from puffinpost.net.admission import FIRST_MESSAGE_TIMEOUT_S, ConnectionAdmission
from puffinpost.observability.counters import Counters
from puffinpost.runtime.graceful_shutdown import GracefulShutdown

MS = 1_000_000
PATIENT = [{**item, "AimNs": 8000 * MS, "HardLimitNs": 9000 * MS} for item in SETTINGS["Classes"]]
SLOW_DIALS = {"Classes": PATIENT, "Limits": {**SETTINGS["Limits"], "DialTimeoutNs": 6000 * MS}}


class UnacceptingServer(Server):
    """An endpoint to which no connection is established: its backlog is full, and the kernel drops SYNs."""

    def __init__(self) -> None:
        super().__init__()
        self.socket.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))

    def accept_pending(self) -> Peer:
        """Makes room in the backlog; returns the connection that is established by the next SYN."""
        self.accept().close()
        self.filler.close()
        return self.accept()


def wait_for_list(discovery: Discovery) -> None:
    """Waits until a node has all of discovery's changes: it polls for later ones."""
    with discovery.changed:
        assert discovery.changed.wait_for(lambda: discovery.index in discovery.asked, WAIT_S)


def have_no_attempts(*servers: Server) -> bool:
    return not any(server.asked() for server in servers)


def establish_at(node: Node, server: Server, count: int) -> list[Peer]:
    """Establishes so many clients one after another at this endpoint; the upstream connections."""
    kept = []
    for _ in range(count):
        client = node.client(fresh(OPEN % 3000))
        kept.append(server.accept())
        kept[-1].line()
        kept[-1].send(b"UP 1\r\n")
        assert client.line() == b"UP 1\r\n"
    return kept


# --- between the choice and the first byte ----------------------------------------------------------


@pytest.mark.parametrize("change", ["draining", "removed", "left out", "moved", "banned"])
def test_list_change_during_a_connect_holds_before_the_first_byte(world: World, change: str) -> None:
    held, other = world.servers[0], world.servers[1] = UnacceptingServer(), Server()
    world.servers[0] = held
    node = world.start(transcribers=1, settings=SLOW_DIALS)
    wait_for_list(world.discovery)
    client = node.client(fresh(OPEN % 8000))
    node.wait_counts("relays", 1)
    world.discovery.tell("s-1", other.address)
    if change in ("draining", "removed"):
        world.discovery.tell("s-0", held.address, change)
    elif change == "left out":
        del world.discovery.entries["s-0"]
        world.discovery.tell("s-1", other.address)
    elif change == "moved":
        world.discovery.tell("s-0", other.address)
        world.discovery.tell("s-1", other.address, "draining")
    else:
        assert node.call("POST", "/transcribers/disable/s-0")[0] == 200
    wait_for_list(world.discovery)
    peer = held.accept_pending()
    assert peer.ending() == "end" and peer.buffer == b""
    upstream = other.accept()
    assert upstream.line().startswith(b"OPEN ")
    upstream.send(b"UP 1\r\n")
    assert client.line() == b"UP 1\r\n"


def test_retry_whose_window_ends_while_connecting_is_not_sent(world: World) -> None:
    """The window counts from the first attempt that may have run; the client is answered all the same."""
    keyed = [{**PATIENT[0], "Repeat": "keyed", "WindowNs": 1500 * MS, "HardLimitNs": 4000 * MS}]
    held, first = UnacceptingServer(), world.servers[1]
    world.servers[0] = first
    node = world.start(transcribers=1, settings={**SLOW_DIALS, "Classes": keyed})
    began = time.monotonic()
    client = node.client(fresh(OPEN % 3900))
    upstream = first.accept()
    upstream.line()
    world.discovery.tell("s-1", held.address)
    wait_for_list(world.discovery)
    upstream.send(b"ERR\r\n")
    node.wait_counts("relays", 2)
    while time.monotonic() - began < 1.6:
        select.select([], [], [], 0.05)
    peer = held.accept_pending()
    assert peer.ending() == "end" and peer.buffer == b""
    assert client.line().startswith(b"BUSY") and have_no_attempts(first)


def test_client_that_disconnects_during_the_connect_is_not_forwarded(world: World) -> None:
    held = world.servers[0] = UnacceptingServer()
    node = world.start(transcribers=1, settings=SLOW_DIALS)
    client = node.client(fresh(OPEN % 8000))
    node.wait_counts("relays", 1)
    client.close()
    node.wait_counts("gone", 1)
    held.accept().close()
    assert node.counts()["relays"] == 1 and node.counts().get("relayed", 0) == 0


# --- the client has gone ----------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("behind", [b"", b"more\r\n" * 4000])
def test_client_that_disconnected_after_writing_gets_no_further_attempt(
    world: World, how: str, behind: bytes
) -> None:
    """Also after it wrote much: if that were left unread, the end of the connection would not be seen."""
    node = world.start()
    client = node.client(fresh(OPEN % 3000) + behind)
    _, upstream = first_of(world.servers)
    upstream.line()
    client.close(how)
    assert upstream.ending() in ("end", how)
    node.wait_counts("gone", 1)
    assert have_no_attempts(*world.servers) and node.counts()["relays"] == 1


def test_final_bytes_of_a_client_reach_an_endpoint_that_writes_at_that_moment(world: World) -> None:
    """The node is stopped while both sides write and the client closes, so that unread bytes are pending."""
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    _, upstream = first_of(world.servers)
    upstream.line()
    upstream.send(b"UP 1\r\n")
    assert client.line() == b"UP 1\r\n"
    node.process.send_signal(signal.SIGSTOP)
    client.send(b"last words\r\n")
    client.socket.shutdown(socket.SHUT_WR)  # were it closed, what the node writes would make it a reset
    upstream.send((b"x" * 98 + b"\r\n") * 600)
    node.process.send_signal(signal.SIGCONT)
    assert upstream.line() == b"last words\r\n" and upstream.ending() == "end"


def test_client_that_sends_without_end_before_its_answer_is_answered(world: World) -> None:
    """The buffer of one client is bounded, and its connection ends with an answer."""
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    _, upstream = first_of(world.servers)
    upstream.line()
    client.socket.setblocking(False)
    sent = 0
    while not select.select([client.socket], [], [], 0)[0]:
        if select.select([], [client.socket], [], 0.05)[1]:
            sent += client.socket.send(b"x" * 98 + b"\r\n")
        assert sent < 8_000_000
    client.socket.settimeout(WAIT_S)
    assert client.line() == b"ERR\r\n" and upstream.ending() == "end"
    assert node.client(b"PING\r\n").line() == b"PONG\r\n"


# --- SIGTERM ----------------------------------------------------------------------------------------


def test_idle_client_that_sends_a_request_at_shutdown_is_answered(world: World) -> None:
    """Its line is read after the final answer: it is not forwarded, and no reset discards that answer."""
    node = world.start()
    rests = [node.client(b"PING\r\n") for _ in range(3)]
    assert all(it.line() == b"PONG\r\n" for it in rests)
    node.process.terminate()
    for it in rests:
        assert it.line().startswith(b"BUSY")
        it.send(fresh(OPEN % 3000))
        assert it.ending() == "end" and it.buffer == b""
    assert node.process.wait(WAIT_S) == 0 and have_no_attempts(*world.servers)


@pytest.mark.parametrize("said", [b"", b"OPEN 9b1f03aa5c7e2d41 7f3a"])
def test_client_with_an_incomplete_request_at_shutdown_is_answered(world: World, said: bytes) -> None:
    """Where deadlines are short the process ends before the time-out of a first message."""
    classes = [{**item, "HardLimitNs": 800 * MS, "AimNs": 300 * MS} for item in SETTINGS["Classes"]]
    node = world.start(settings={"Classes": classes})
    client = node.client(said)
    began = time.monotonic()
    node.process.terminate()
    assert client.line() == b"BUSY 500\r\n" and client.ending() == "end"
    assert node.process.wait(WAIT_S) == 0 and time.monotonic() - began < FIRST_MESSAGE_TIMEOUT_S


class SkippingSelector(selectors.DefaultSelector):
    """A selector with a clock that skips the time in which nothing is ready."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        self.now += 0.0 if ready or timeout is None else timeout
        return ready


class PendingClient:
    """A client with an incomplete request, and when it was timed out; it does not read the answer."""

    def __init__(self, places: ConnectionAdmission, now: Callable[[], float]) -> None:
        self.timed_out_at_s, self.admission, self.now = 0.0, places, now
        places.admit_pending(self, 1e9)

    def on_timeout(self) -> None:
        self.timed_out_at_s = self.now()
        self.admission.closing[object()] = None  # type: ignore[index]


@pytest.mark.parametrize("heard_it", [False, True])
@pytest.mark.parametrize("deadline_ms", [800, 1_300, 3_000, 9_000])
def test_shutdown_ends_well_before_sigkill(heard_it: bool, deadline_ms: int) -> None:
    """On a clock that is independent of load: 0.2 s of the 0.7 after the deadline are left for the exit."""
    selector = SkippingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    places = ConnectionAdmission(100, Counters(), lambda after_s, call: None)
    settings = SimpleNamespace(classes=[SimpleNamespace(deadline_ns=deadline_ms * MS)])
    core: Any = SimpleNamespace(settings=settings, exchanges={}, established_exchanges=list)
    front: Any = SimpleNamespace(draining=False, pending_connection_type=PendingClient)
    client = PendingClient(places, loop.time)
    if heard_it:
        places.on_progress(client)
    handover: Any = SimpleNamespace(has_successor=False, has_pending_sessions=False)

    async def shut_down() -> None:
        await GracefulShutdown(core, front, [], places, [], handover).run()

    loop.run_until_complete(shut_down())
    loop.close()
    deadline_s = min(deadline_ms / 1000, 3.0)
    assert 0.5 <= client.timed_out_at_s <= deadline_s + 0.42 and front.draining
    assert (client.timed_out_at_s >= deadline_s + 0.3) is heard_it  # who has begun has the time that there is
    assert selector.now <= deadline_s + 0.5


def test_exit_skips_interpreter_finalization(world: World) -> None:
    """Finalization took a good part of the time until SIGKILL. All that the node wrote is still sent."""
    code = (
        "import atexit, sys; atexit.register(print, 'taken down', file=sys.stderr); "
        "from puffinpost.__main__ import main; sys.exit(main())"
    )
    node = world.start(run=f'exec {sys.executable} -c "{code}"')
    assert node.stop() == 0
    assert (
        "node stopped node=n0 counters=" in node.log.read_text() and "taken down" not in node.log.read_text()
    )


def test_complete_line_that_is_unread_at_shutdown_is_answered(world: World) -> None:
    """The process is stopped while the client connects and writes, and has SIGTERM before it continues."""
    node = world.start()
    node.process.send_signal(signal.SIGSTOP)
    client = node.client(fresh(OPEN % 2000))
    node.process.terminate()
    node.process.send_signal(signal.SIGCONT)
    upstream = served(world, client)
    assert client.line() == b"MOVE\r\n" and client.ending() == "end" and upstream.ending() == "end"
    assert node.process.wait(WAIT_S) == 0


def test_repeated_sigterm_has_no_effect(world: World) -> None:
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    upstream = served(world, client)
    node.process.terminate()
    assert select.select([client.socket], [], [], 0.6)[0] == []
    node.process.terminate()
    client.send(b"still here\r\n")
    assert upstream.line() == b"still here\r\n"
    node.process.terminate()
    assert client.line() == b"MOVE\r\n" and client.ending() == "end"
    assert node.process.wait(WAIT_S) == 0


def test_move_is_sent_between_lines_while_both_sides_are_mid_line(world: World) -> None:
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    upstream = served(world, client)
    client.send(b"half a line")
    upstream.send(b"whole\r\nhalf of the answer")
    assert client.line() == b"whole\r\n"
    node.process.terminate()
    assert client.line() == b"MOVE\r\n" and client.ending() == "end" and client.buffer == b""
    assert upstream.ending() == "end" and upstream.buffer == b"" and node.process.wait(WAIT_S) == 0


def start_unready(world: World) -> tuple[subprocess.Popen[bytes], int, dict[str, Any]]:
    """A node that waits for its configuration on a pipe; its port and configuration."""
    pipe, port = world.folder / "config.pipe", free_port()
    os.mkfifo(pipe)
    world.discovery.tell("s-0", world.servers[0].address)
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": world.discovery.server.address,
        "seed": "1",
        "limits": {"sockets": 256},
        "known": world.discovery.told(),
        "settings": SETTINGS,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "puffinpost"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(pipe), "TMPDIR": str(world.folder)},
    )
    return process, port, told


@pytest.mark.parametrize("early", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_the_start_is_handled_once_the_node_is_ready(
    world: World, early: signal.Signals
) -> None:
    process, port, told = start_unready(world)
    with (world.folder / "config.pipe").open("wb") as pipe:  # open once the node has opened its end
        process.send_signal(early)
        again = world.folder / "again.json"
        again.write_text(json.dumps(told))
        again.replace(world.folder / "config.pipe")  # for the second reading
        pipe.write(json.dumps(told).encode())
    if early is signal.SIGHUP:
        until = time.monotonic() + WAIT_S
        while not accepts_connections(port):
            assert process.poll() is None and time.monotonic() < until
        process.terminate()
    assert process.wait(WAIT_S) == 0


def accepts_connections(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 0.2).close()
    except OSError:
        return False
    return True


def test_load_report_at_the_end_of_a_connection_is_used(world: World) -> None:
    """Where answers hold load reports, most arrive with the final answer of established connections."""
    report = {"Source": "inline", "Fields": ["x0", "concurrent"]}
    node = world.start(settings={"Report": report}, edge="[log]\ntrace = true\n")
    client = node.client(fresh(OPEN % 3000))
    upstream = served(world, client)
    upstream.send(b"BYE x0=0.5,concurrent=3\r\n")
    upstream.close()
    assert client.line() == b"BYE x0=0.5,concurrent=3\r\n" and client.ending() == "end"
    node.wait_log("report=(0.5, 3.0)")


def test_write_that_fails_while_its_node_stops_fails_nothing_else(tmp_path: Path) -> None:
    """Seen under load: the process exited with an error in place of 0."""
    writer = ReplicaWriter(ReplicaStore(tmp_path, pytest.fail), dict, lambda counter: None)

    async def write() -> None:
        await asyncio.sleep(0)
        writer.task = None

    async def play() -> None:
        writer.task = asyncio.get_running_loop().create_task(write())
        await writer.close()

    asyncio.run(play())
