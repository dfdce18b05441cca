"""Race conditions at the end of connections, attempts and processes.

Each is forced by a stand-in that delays a step. docs/acceptance.md lists them with the test for each.
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

NS_PER_MS = 1_000_000
LONG_DEADLINE_CLASSES = [
    {**item, "AimNs": 8000 * NS_PER_MS, "HardLimitNs": 9000 * NS_PER_MS} for item in SETTINGS["Classes"]
]
LONG_CONNECT_TIMEOUT = {
    "Classes": LONG_DEADLINE_CLASSES,
    "Limits": {**SETTINGS["Limits"], "DialTimeoutNs": 6000 * NS_PER_MS},
}


class UnacceptingEndpoint(StandInEndpoint):
    """An endpoint that no client can connect to: its backlog is full, and the kernel drops SYNs."""

    def __init__(self) -> None:
        super().__init__()
        self.socket.listen(0)
        self.filler = socket.create_connection(("127.0.0.1", self.port))

    def accept_pending(self) -> SocketPeer:
        """Empties the backlog and returns the connection that the next SYN establishes."""
        self.accept().close()
        self.filler.close()
        return self.accept()


def wait_for_endpoint_list(discovery: StandInDiscovery) -> None:
    """Waits until a node has all of discovery's changes, which it shows by polling for later ones."""
    with discovery.changed:
        assert discovery.changed.wait_for(
            lambda: discovery.index in discovery.polled_versions, WAIT_TIMEOUT_S
        )


def have_no_attempts(*endpoints: StandInEndpoint) -> bool:
    return not any(endpoint.has_pending_connection() for endpoint in endpoints)


def establish_at(node: NodeProcess, endpoint: StandInEndpoint, count: int) -> list[SocketPeer]:
    """Establishes ``count`` sessions at this endpoint one after another; returns the upstream connections."""
    upstreams = []
    for _ in range(count):
        client = node.connect(with_new_id(OPEN_LINE % 3000))
        upstreams.append(endpoint.accept())
        upstreams[-1].read_line()
        upstreams[-1].send(b"UP 1\r\n")
        assert client.read_line() == b"UP 1\r\n"
    return upstreams


# --- between endpoint selection and first byte ------------------------------------------------------


@pytest.mark.parametrize("change", ["draining", "removed", "left out", "moved", "banned"])
def test_endpoint_list_change_during_a_connect_applies_before_the_first_byte(
    deployment: Deployment, change: str
) -> None:
    unaccepting, other = deployment.endpoints[0], deployment.endpoints[1] = (
        UnacceptingEndpoint(),
        StandInEndpoint(),
    )
    deployment.endpoints[0] = unaccepting
    node = deployment.start(endpoint_count=1, settings=LONG_CONNECT_TIMEOUT)
    wait_for_endpoint_list(deployment.discovery)
    client = node.connect(with_new_id(OPEN_LINE % 8000))
    node.wait_for_counter("relays", 1)
    deployment.discovery.set_endpoint("s-1", other.address)
    if change in ("draining", "removed"):
        deployment.discovery.set_endpoint("s-0", unaccepting.address, change)
    elif change == "left out":
        del deployment.discovery.entries["s-0"]
        deployment.discovery.set_endpoint("s-1", other.address)
    elif change == "moved":
        deployment.discovery.set_endpoint("s-0", other.address)
        deployment.discovery.set_endpoint("s-1", other.address, "draining")
    else:
        assert node.request_admin("POST", "/transcribers/disable/s-0")[0] == 200
    wait_for_endpoint_list(deployment.discovery)
    peer = unaccepting.accept_pending()
    assert peer.wait_for_close() == "end" and peer.buffer == b""
    upstream = other.accept()
    assert upstream.read_line().startswith(b"OPEN ")
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"


def test_retry_whose_window_ends_during_the_connect_is_not_sent(deployment: Deployment) -> None:
    """The window starts with the first attempt that may have run. The client is answered nevertheless."""
    keyed_classes = [
        {
            **LONG_DEADLINE_CLASSES[0],
            "Repeat": "keyed",
            "WindowNs": 1500 * NS_PER_MS,
            "HardLimitNs": 4000 * NS_PER_MS,
        }
    ]
    unaccepting, first_endpoint = UnacceptingEndpoint(), deployment.endpoints[1]
    deployment.endpoints[0] = first_endpoint
    node = deployment.start(endpoint_count=1, settings={**LONG_CONNECT_TIMEOUT, "Classes": keyed_classes})
    started_at = time.monotonic()
    client = node.connect(with_new_id(OPEN_LINE % 3900))
    upstream = first_endpoint.accept()
    upstream.read_line()
    deployment.discovery.set_endpoint("s-1", unaccepting.address)
    wait_for_endpoint_list(deployment.discovery)
    upstream.send(b"ERR\r\n")
    node.wait_for_counter("relays", 2)
    while time.monotonic() - started_at < 1.6:
        select.select([], [], [], 0.05)
    peer = unaccepting.accept_pending()
    assert peer.wait_for_close() == "end" and peer.buffer == b""
    assert client.read_line().startswith(b"BUSY") and have_no_attempts(first_endpoint)


def test_client_that_disconnects_during_the_connect_is_not_forwarded(deployment: Deployment) -> None:
    unaccepting = deployment.endpoints[0] = UnacceptingEndpoint()
    node = deployment.start(endpoint_count=1, settings=LONG_CONNECT_TIMEOUT)
    client = node.connect(with_new_id(OPEN_LINE % 8000))
    node.wait_for_counter("relays", 1)
    client.close()
    node.wait_for_counter("gone", 1)
    unaccepting.accept().close()
    assert node.read_counters()["relays"] == 1 and node.read_counters().get("relayed", 0) == 0


# --- client disconnects -----------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("trailing_data", [b"", b"more\r\n" * 4000])
def test_client_that_disconnected_after_writing_gets_no_further_attempt(
    deployment: Deployment, how: str, trailing_data: bytes
) -> None:
    """Also after a long input: if it stayed unread, the node would not notice the end of the connection."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000) + trailing_data)
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    client.close(how)
    assert upstream.wait_for_close() in ("end", how)
    node.wait_for_counter("gone", 1)
    assert have_no_attempts(*deployment.endpoints) and node.read_counters()["relays"] == 1


def test_final_bytes_of_a_client_reach_an_endpoint_that_writes_meanwhile(deployment: Deployment) -> None:
    """The node is suspended while both sides write and the client closes, so that input is left unread."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    _, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    upstream.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    node.process.send_signal(signal.SIGSTOP)
    client.send(b"last words\r\n")
    client.socket.shutdown(socket.SHUT_WR)  # after a full close, the node's writes would cause a reset
    upstream.send((b"x" * 98 + b"\r\n") * 600)
    node.process.send_signal(signal.SIGCONT)
    assert upstream.read_line() == b"last words\r\n" and upstream.wait_for_close() == "end"


def test_client_that_sends_without_limit_before_its_answer_gets_an_error(deployment: Deployment) -> None:
    """The buffer for one client is bounded. On overflow the client gets an answer before the close."""
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
    """The line is read after the final answer but not forwarded. Left unread, it would cause a reset, which
    discards that answer.
    """
    node = deployment.start()
    idle_clients = [node.connect(b"PING\r\n") for _ in range(3)]
    assert all(client.read_line() == b"PONG\r\n" for client in idle_clients)
    node.process.terminate()
    for client in idle_clients:
        assert client.read_line().startswith(b"BUSY")
        client.send(with_new_id(OPEN_LINE % 3000))
        assert client.wait_for_close() == "end" and client.buffer == b""
    assert node.process.wait(WAIT_TIMEOUT_S) == 0 and have_no_attempts(*deployment.endpoints)


@pytest.mark.parametrize("data", [b"", b"OPEN 9b1f03aa5c7e2d41 7f3a"])
def test_client_with_an_incomplete_request_at_shutdown_is_answered(
    deployment: Deployment, data: bytes
) -> None:
    """With short deadlines the process exits before the timeout for a first message ends."""
    classes = [
        {**item, "HardLimitNs": 800 * NS_PER_MS, "AimNs": 300 * NS_PER_MS} for item in SETTINGS["Classes"]
    ]
    node = deployment.start(settings={"Classes": classes})
    client = node.connect(data)
    started_at = time.monotonic()
    node.process.terminate()
    assert client.read_line() == b"BUSY 500\r\n" and client.wait_for_close() == "end"
    assert node.process.wait(WAIT_TIMEOUT_S) == 0 and time.monotonic() - started_at < FIRST_MESSAGE_TIMEOUT_S


class SkippingSelector(selectors.DefaultSelector):
    """A selector with a clock that skips time in which no descriptor is ready."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        self.now += 0.0 if ready or timeout is None else timeout
        return ready


class PendingClient:
    """A client with an incomplete request that does not read the answer; records when it was timed out."""

    def __init__(self, admission: ConnectionAdmission, now: Callable[[], float]) -> None:
        self.timed_out_at_s, self.admission, self.now = 0.0, admission, now
        admission.admit_pending(self, 1e9)

    def on_timeout(self) -> None:
        self.timed_out_at_s = self.now()
        self.admission.closing[object()] = None  # type: ignore[index]


@pytest.mark.parametrize("has_progressed", [False, True])
@pytest.mark.parametrize("deadline_ms", [800, 1_300, 3_000, 9_000])
def test_shutdown_leaves_time_for_the_exit_before_sigkill(has_progressed: bool, deadline_ms: int) -> None:
    """SIGKILL follows 0.7 s after the deadline, of which 0.2 s are left for the exit. The clock is virtual,
    so that the machine's load does not matter.
    """
    selector = SkippingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    admission = ConnectionAdmission(100, Counters(), lambda after_s, call: None)
    settings = SimpleNamespace(classes=[SimpleNamespace(deadline_ns=deadline_ms * NS_PER_MS)])
    coordinator: Any = SimpleNamespace(settings=settings, exchanges={}, established_exchanges=list)
    frontend: Any = SimpleNamespace(draining=False, pending_connection_type=PendingClient)
    client = PendingClient(admission, loop.time)
    if has_progressed:
        admission.on_progress(client)
    handover: Any = SimpleNamespace(has_successor=False, has_pending_sessions=False)

    async def shut_down() -> None:
        await GracefulShutdown(coordinator, frontend, [], admission, [], handover).run()

    loop.run_until_complete(shut_down())
    loop.close()
    deadline_s = min(deadline_ms / 1000, 3.0)
    assert 0.5 <= client.timed_out_at_s <= deadline_s + 0.42 and frontend.draining
    # A client that has sent something has all the time that is available.
    assert (client.timed_out_at_s >= deadline_s + 0.3) is has_progressed
    assert selector.now <= deadline_s + 0.5


def test_exit_skips_interpreter_finalization(deployment: Deployment) -> None:
    """Finalization took a large part of the time until SIGKILL. All that the node wrote is still sent."""
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


def test_complete_request_that_is_unread_at_sigterm_is_answered(deployment: Deployment) -> None:
    """The process is suspended while the client connects and writes, and gets SIGTERM before it continues."""
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
    """Starts a node that reads its configuration from a pipe; returns it, its port and the configuration."""
    pipe, port = deployment.folder / "config.pipe", free_port()
    os.mkfifo(pipe)
    deployment.discovery.set_endpoint("s-0", deployment.endpoints[0].address)
    config = {
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
    return process, port, config


@pytest.mark.parametrize("early_signal", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_startup_is_handled_once_the_node_is_ready(
    deployment: Deployment, early_signal: signal.Signals
) -> None:
    process, port, config = start_unready(deployment)
    with (deployment.folder / "config.pipe").open("wb") as pipe:  # returns once the node has opened its end
        process.send_signal(early_signal)
        second_config_path = deployment.folder / "again.json"
        second_config_path.write_text(json.dumps(config))
        second_config_path.replace(deployment.folder / "config.pipe")  # for the read on reload
        pipe.write(json.dumps(config).encode())
    if early_signal is signal.SIGHUP:
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while not accepts_connections(port):
            assert process.poll() is None and time.monotonic() < give_up_at
        process.terminate()
    assert process.wait(WAIT_TIMEOUT_S) == 0


def accepts_connections(port: int) -> bool:
    try:
        socket.create_connection(("127.0.0.1", port), 0.2).close()
    except OSError:
        return False
    return True


def test_load_report_at_the_end_of_a_connection_is_used(deployment: Deployment) -> None:
    """Where answers contain load reports, most arrive with the final answer of an established session."""
    report = {"Source": "inline", "Fields": ["x0", "concurrent"]}
    node = deployment.start(settings={"Report": report}, edge="[log]\ntrace = true\n")
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    upstream = establish_request(deployment, client)
    upstream.send(b"BYE x0=0.5,concurrent=3\r\n")
    upstream.close()
    assert client.read_line() == b"BYE x0=0.5,concurrent=3\r\n" and client.wait_for_close() == "end"
    node.wait_for_log("report=(0.5, 3.0)")


def test_replica_write_that_ends_while_its_writer_closes_raises_no_error(tmp_path: Path) -> None:
    """Under load the writer's task was cleared during the wait for it, and the process exited with an error
    instead of 0.
    """
    writer = ReplicaWriter(ReplicaStore(tmp_path, pytest.fail), dict, lambda counter: None)

    async def write() -> None:
        await asyncio.sleep(0)
        writer.task = None

    async def play() -> None:
        writer.task = asyncio.get_running_loop().create_task(write())
        await writer.close()

    asyncio.run(play())
