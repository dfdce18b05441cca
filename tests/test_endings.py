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
from conftest import Deployment
from stand_ins import (
    ROOT,
    SETTINGS,
    WAIT_TIMEOUT_S,
    NodeProcess,
    SocketPeer,
    StandInDiscovery,
    StandInEndpoint,
    free_port,
)
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id

from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.cluster.replication_writer import ReplicaWriter
from puffinpost.net.admission import FIRST_MESSAGE_TIMEOUT_S, ConnectionAdmission
from puffinpost.observability.counters import Counters
from puffinpost.runtime.graceful_shutdown import GracefulShutdown

MS = 1_000_000
PATIENT = [{**item, "AimNs": 8000 * MS, "HardLimitNs": 9000 * MS} for item in SETTINGS["Classes"]]
SLOW_DIALS = {"Classes": PATIENT, "Limits": {**SETTINGS["Limits"], "DialTimeoutNs": 6000 * MS}}


class UnacceptingServer(StandInEndpoint):
    """An endpoint to which no connection is established: its backlog is full, and the kernel drops SYNs."""

    def __init__(self) -> None:
        super().__init__()
        self.socket.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))

    def accept_pending(self) -> SocketPeer:
        """Makes room in the backlog; returns the connection that is established by the next SYN."""
        self.accept().close()
        self.filler.close()
        return self.accept()


def wait_for_list(discovery: StandInDiscovery) -> None:
    """Waits until a node has all of discovery's changes: it polls for later ones."""
    with discovery.changed:
        assert discovery.changed.wait_for(
            lambda: discovery.index in discovery.polled_versions, WAIT_TIMEOUT_S
        )


def have_no_attempts(*servers: StandInEndpoint) -> bool:
    return not any(server.has_pending_connection() for server in servers)


def establish_at(node: NodeProcess, server: StandInEndpoint, count: int) -> list[SocketPeer]:
    """Establishes so many clients one after another at this endpoint; the upstream connections."""
    kept = []
    for _ in range(count):
        client = node.connect(with_new_id(OPEN_LINE % 3000))
        kept.append(server.accept())
        kept[-1].read_line()
        kept[-1].send(b"UP 1\r\n")
        assert client.read_line() == b"UP 1\r\n"
    return kept


# --- between the choice and the first byte ----------------------------------------------------------


@pytest.mark.parametrize("change", ["draining", "removed", "left out", "moved", "banned"])
def test_list_change_during_a_connect_holds_before_the_first_byte(
    deployment: Deployment, change: str
) -> None:
    held, other = deployment.endpoints[0], deployment.endpoints[1] = UnacceptingServer(), StandInEndpoint()
    deployment.endpoints[0] = held
    node = deployment.start(endpoint_count=1, settings=SLOW_DIALS)
    wait_for_list(deployment.discovery)
    client = node.connect(with_new_id(OPEN_LINE % 8000))
    node.wait_for_counter("relays", 1)
    deployment.discovery.set_endpoint("s-1", other.address)
    if change in ("draining", "removed"):
        deployment.discovery.set_endpoint("s-0", held.address, change)
    elif change == "left out":
        del deployment.discovery.entries["s-0"]
        deployment.discovery.set_endpoint("s-1", other.address)
    elif change == "moved":
        deployment.discovery.set_endpoint("s-0", other.address)
        deployment.discovery.set_endpoint("s-1", other.address, "draining")
    else:
        assert node.request_admin("POST", "/transcribers/disable/s-0")[0] == 200
    wait_for_list(deployment.discovery)
    peer = held.accept_pending()
    assert peer.wait_for_close() == "end" and peer.buffer == b""
    upstream = other.accept()
    assert upstream.read_line().startswith(b"OPEN ")
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"


def test_retry_whose_window_ends_while_connecting_is_not_sent(deployment: Deployment) -> None:
    """The window counts from the first attempt that may have run; the client is answered all the same."""
    keyed = [{**PATIENT[0], "Repeat": "keyed", "WindowNs": 1500 * MS, "HardLimitNs": 4000 * MS}]
    held, first = UnacceptingServer(), deployment.endpoints[1]
    deployment.endpoints[0] = first
    node = deployment.start(endpoint_count=1, settings={**SLOW_DIALS, "Classes": keyed})
    began = time.monotonic()
    client = node.connect(with_new_id(OPEN_LINE % 3900))
    upstream = first.accept()
    upstream.read_line()
    deployment.discovery.set_endpoint("s-1", held.address)
    wait_for_list(deployment.discovery)
    upstream.send(b"ERR\r\n")
    node.wait_for_counter("relays", 2)
    while time.monotonic() - began < 1.6:
        select.select([], [], [], 0.05)
    peer = held.accept_pending()
    assert peer.wait_for_close() == "end" and peer.buffer == b""
    assert client.read_line().startswith(b"BUSY") and have_no_attempts(first)


def test_client_that_disconnects_during_the_connect_is_not_forwarded(deployment: Deployment) -> None:
    held = deployment.endpoints[0] = UnacceptingServer()
    node = deployment.start(endpoint_count=1, settings=SLOW_DIALS)
    client = node.connect(with_new_id(OPEN_LINE % 8000))
    node.wait_for_counter("relays", 1)
    client.close()
    node.wait_for_counter("gone", 1)
    held.accept().close()
    assert node.read_counters()["relays"] == 1 and node.read_counters().get("relayed", 0) == 0


# --- the client has gone ----------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("behind", [b"", b"more\r\n" * 4000])
def test_client_that_disconnected_after_writing_gets_no_further_attempt(
    deployment: Deployment, how: str, behind: bytes
) -> None:
    """Also after it wrote much: if that were left unread, the end of the connection would not be seen."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000) + behind)
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    client.close(how)
    assert upstream.wait_for_close() in ("end", how)
    node.wait_for_counter("gone", 1)
    assert have_no_attempts(*deployment.endpoints) and node.read_counters()["relays"] == 1


def test_final_bytes_of_a_client_reach_an_endpoint_that_writes_at_that_moment(deployment: Deployment) -> None:
    """The node is stopped while both sides write and the client closes, so that unread bytes are pending."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    node.process.send_signal(signal.SIGSTOP)
    client.send(b"last words\r\n")
    client.socket.shutdown(socket.SHUT_WR)  # were it closed, what the node writes would make it a reset
    upstream.send((b"x" * 98 + b"\r\n") * 600)
    node.process.send_signal(signal.SIGCONT)
    assert upstream.read_line() == b"last words\r\n" and upstream.wait_for_close() == "end"


def test_client_that_sends_without_end_before_its_answer_is_answered(deployment: Deployment) -> None:
    """The buffer of one client is bounded, and its connection ends with an answer."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    client.socket.setblocking(False)
    sent = 0
    while not select.select([client.socket], [], [], 0)[0]:
        if select.select([], [client.socket], [], 0.05)[1]:
            sent += client.socket.send(b"x" * 98 + b"\r\n")
        assert sent < 8_000_000
    client.socket.settimeout(WAIT_TIMEOUT_S)
    assert client.read_line() == b"ERR\r\n" and upstream.wait_for_close() == "end"
    assert node.connect(b"PING\r\n").read_line() == b"PONG\r\n"


# --- SIGTERM ----------------------------------------------------------------------------------------


def test_idle_client_that_sends_a_request_at_shutdown_is_answered(deployment: Deployment) -> None:
    """Its line is read after the final answer: it is not forwarded, and no reset discards that answer."""
    node = deployment.start()
    rests = [node.connect(b"PING\r\n") for _ in range(3)]
    assert all(it.read_line() == b"PONG\r\n" for it in rests)
    node.process.terminate()
    for it in rests:
        assert it.read_line().startswith(b"BUSY")
        it.send(with_new_id(OPEN_LINE % 3000))
        assert it.wait_for_close() == "end" and it.buffer == b""
    assert node.process.wait(WAIT_TIMEOUT_S) == 0 and have_no_attempts(*deployment.endpoints)


@pytest.mark.parametrize("said", [b"", b"OPEN 9b1f03aa5c7e2d41 7f3a"])
def test_client_with_an_incomplete_request_at_shutdown_is_answered(
    deployment: Deployment, said: bytes
) -> None:
    """Where deadlines are short the process ends before the time-out of a first message."""
    classes = [{**item, "HardLimitNs": 800 * MS, "AimNs": 300 * MS} for item in SETTINGS["Classes"]]
    node = deployment.start(settings={"Classes": classes})
    client = node.connect(said)
    began = time.monotonic()
    node.process.terminate()
    assert client.read_line() == b"BUSY 500\r\n" and client.wait_for_close() == "end"
    assert node.process.wait(WAIT_TIMEOUT_S) == 0 and time.monotonic() - began < FIRST_MESSAGE_TIMEOUT_S


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


def test_exit_skips_interpreter_finalization(deployment: Deployment) -> None:
    """Finalization took a good part of the time until SIGKILL. All that the node wrote is still sent."""
    code = (
        "import atexit, sys; atexit.register(print, 'taken down', file=sys.stderr); "
        "from puffinpost.__main__ import main; sys.exit(main())"
    )
    node = deployment.start(shell_command=f'exec {sys.executable} -c "{code}"')
    assert node.stop() == 0
    assert (
        "node stopped node=n0 counters=" in node.log_path.read_text()
        and "taken down" not in node.log_path.read_text()
    )


def test_complete_line_that_is_unread_at_shutdown_is_answered(deployment: Deployment) -> None:
    """The process is stopped while the client connects and writes, and has SIGTERM before it continues."""
    node = deployment.start()
    node.process.send_signal(signal.SIGSTOP)
    client = node.connect(with_new_id(OPEN_LINE % 2000))
    node.process.terminate()
    node.process.send_signal(signal.SIGCONT)
    upstream = establish_request(deployment, client)
    assert (
        client.read_line() == b"MOVE\r\n"
        and client.wait_for_close() == "end"
        and upstream.wait_for_close() == "end"
    )
    assert node.process.wait(WAIT_TIMEOUT_S) == 0


def test_repeated_sigterm_has_no_effect(deployment: Deployment) -> None:
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    node.process.terminate()
    assert select.select([client.socket], [], [], 0.6)[0] == []
    node.process.terminate()
    client.send(b"still here\r\n")
    assert upstream.read_line() == b"still here\r\n"
    node.process.terminate()
    assert client.read_line() == b"MOVE\r\n" and client.wait_for_close() == "end"
    assert node.process.wait(WAIT_TIMEOUT_S) == 0


def test_move_is_sent_between_lines_while_both_sides_are_mid_line(deployment: Deployment) -> None:
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    client.send(b"half a line")
    upstream.send(b"whole\r\nhalf of the answer")
    assert client.read_line() == b"whole\r\n"
    node.process.terminate()
    assert client.read_line() == b"MOVE\r\n" and client.wait_for_close() == "end" and client.buffer == b""
    assert (
        upstream.wait_for_close() == "end"
        and upstream.buffer == b""
        and node.process.wait(WAIT_TIMEOUT_S) == 0
    )


def start_unready(deployment: Deployment) -> tuple[subprocess.Popen[bytes], int, dict[str, Any]]:
    """A node that waits for its configuration on a pipe; its port and configuration."""
    pipe, port = deployment.folder / "config.pipe", free_port()
    os.mkfifo(pipe)
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address)
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": deployment.discovery.listener.address,
        "seed": "1",
        "limits": {"sockets": 256},
        "known": deployment.discovery.snapshot(),
        "settings": SETTINGS,
    }
    process = subprocess.Popen(
        [sys.executable, "-m", "puffinpost"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env={**os.environ, "GW_CONFIG": str(pipe), "TMPDIR": str(deployment.folder)},
    )
    return process, port, told


@pytest.mark.parametrize("early", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_the_start_is_handled_once_the_node_is_ready(
    deployment: Deployment, early: signal.Signals
) -> None:
    process, port, told = start_unready(deployment)
    with (deployment.folder / "config.pipe").open("wb") as pipe:  # open once the node has opened its end
        process.send_signal(early)
        again = deployment.folder / "again.json"
        again.write_text(json.dumps(told))
        again.replace(deployment.folder / "config.pipe")  # for the second reading
        pipe.write(json.dumps(told).encode())
    if early is signal.SIGHUP:
        until = time.monotonic() + WAIT_TIMEOUT_S
        while not accepts_connections(port):
            assert process.poll() is None and time.monotonic() < until
        process.terminate()
    assert process.wait(WAIT_TIMEOUT_S) == 0


def accepts_connections(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 0.2).close()
    except OSError:
        return False
    return True


def test_load_report_at_the_end_of_a_connection_is_used(deployment: Deployment) -> None:
    """Where answers hold load reports, most arrive with the final answer of established connections."""
    report = {"Source": "inline", "Fields": ["x0", "concurrent"]}
    node = deployment.start(settings={"Report": report}, edge="[log]\ntrace = true\n")
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    upstream.send(b"BYE x0=0.5,concurrent=3\r\n")
    upstream.close()
    assert client.read_line() == b"BYE x0=0.5,concurrent=3\r\n" and client.wait_for_close() == "end"
    node.wait_for_log("report=(0.5, 3.0)")


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
