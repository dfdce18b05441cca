"""What the fleet's days ask of the process that ``run`` starts, proved on a short day on loopback.

The days (issue 17) refuse fork, other programs, io_uring, splice and sendfile, allow TCP and UDP over IPv4
alone, want one process that ``run`` ends in by ``exec``, linked against the C library, and count a thread
that neither waits nor ends for 20 s as a crash. Python's audit hooks record what the node makes.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import select
import signal
import socket
import threading
import time
import tomllib
from pathlib import Path

import pytest
from conftest import Deployment
from stand_ins import ROOT, WAIT_TIMEOUT_S, NodeProcess, SocketPeer

from puffinpost.config.node import handover_folder
from puffinpost.net.event_loop import PipeEventLoop

OPEN = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=live-text,d=3000,g=5c0f6e1a2b3d4c59\r\n"
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def _audited(deployment: Deployment, tmp_path: Path) -> tuple[NodeProcess, Path]:
    records = tmp_path / "audit.jsonl"
    node = deployment.start(
        shell_command=RUN,
        extra_environ={
            "PYTHONPATH": str(ROOT / "tests" / "data" / "fleet_audit"),
            "PUFFINPOST_AUDIT": str(records),
        },
    )
    return node, records


def _socket_inodes(pid: int) -> set[str]:
    found = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed since the folder was read: it holds nothing
            link = str(descriptor.readlink())
            if link.startswith("socket:["):
                found.add(link[8:-1])
    return found


def _unix_inodes() -> set[str]:
    rows = Path("/proc/net/unix").read_text().splitlines()[1:]
    return {row.split()[6] for row in rows if len(row.split()) > 6}


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _serve_one(deployment: Deployment, node: NodeProcess) -> None:
    client = node.connect(OPEN)
    sockets = [server.socket for server in deployment.endpoints]
    ready = select.select(sockets, [], [], WAIT_TIMEOUT_S)[0]  # whichever transcriber the upstream comes to
    assert ready, "no upstream came"
    upstream: SocketPeer = next(server for server in deployment.endpoints if server.socket in ready).accept()
    assert upstream.read_line().startswith(b"OPEN ")
    upstream.send(b"UP 77\r\n")
    assert client.read_line() == b"UP 77\r\n"
    upstream.send(b"DONE\r\n")
    client.close()


def test_run_is_one_process_with_tcp_over_ipv4_only(deployment: Deployment, tmp_path: Path) -> None:
    node, records = _audited(deployment, tmp_path)
    pid = node.process.pid
    # `exec`: the shell that the platform starts has become the node, and has no child.
    assert "python" in Path(f"/proc/{pid}/exe").readlink().name
    assert all(not (task / "children").read_text().split() for task in Path(f"/proc/{pid}/task").iterdir())
    assert "libc.so" in Path(f"/proc/{pid}/maps").read_text()  # linked dynamically against the C library
    _serve_one(deployment, node)
    node.reload()
    _serve_one(deployment, node)
    assert not _socket_inodes(pid) & _unix_inodes()  # no Unix socket is held, whoever made it
    assert not list(node.folder.glob("*.sock"))  # nor bound in $TMPDIR: no process is beside it
    assert node.stop() == 0
    told = [json.loads(line) for line in records.read_text().splitlines()]
    assert told, "the audit hook was not loaded"
    families = {record["family"] for record in told if record["what"] == "socket"}
    assert families == {int(socket.AF_INET)}
    assert not [record for record in told if record["what"] in ("start", "refused")]


def test_idle_node_does_not_spin(deployment: Deployment, tmp_path: Path) -> None:
    node, _ = _audited(deployment, tmp_path)
    node.wait_until_ready()
    before, began = _cpu_s(node.process.pid), time.monotonic()
    time.sleep(1.5)  # timers are pending all along: the bans file, the watch of discovery, the places
    share = (_cpu_s(node.process.pid) - before) / (time.monotonic() - began)
    assert share < 0.2, f"an idle node used {share:.0%} of a core"
    assert node.stop() == 0


def test_handover_only_where_configured_or_where_the_listener_is_inherited() -> None:
    assert handover_folder("inherited", "/tmp/n", None) == ""
    assert handover_folder("inherited", "/tmp/n", 5) == "/tmp/n"
    assert handover_folder("always", "/tmp/n", None) == "/tmp/n"
    assert handover_folder("never", "/tmp/n", 5) == ""
    assert handover_folder("always", "", None) == ""


def test_pipe_wakes_the_loop_from_a_thread_and_from_a_signal() -> None:
    async def woken() -> list[str]:
        loop, seen = asyncio.get_running_loop(), []
        done = loop.create_future()
        loop.add_signal_handler(signal.SIGUSR2, lambda: seen.append("signal"))
        # The loop sleeps in its selector for up to an hour here; only the pipe can wake it in time.
        loop.call_later(3600, lambda: None)
        threading.Thread(target=lambda: loop.call_soon_threadsafe(done.set_result, "thread")).start()
        seen.append(await asyncio.wait_for(done, WAIT_TIMEOUT_S))
        os.kill(os.getpid(), signal.SIGUSR2)
        until = loop.time() + WAIT_TIMEOUT_S
        while "signal" not in seen and loop.time() < until:
            await asyncio.sleep(0.01)
        loop.remove_signal_handler(signal.SIGUSR2)
        return seen

    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        assert runner.run(woken()) == ["thread", "signal"]
        assert isinstance(runner.get_loop(), PipeEventLoop)


@pytest.mark.parametrize("form", ["text", "json"])
def test_trace_follows_one_request_by_its_id(deployment: Deployment, form: str) -> None:
    node = deployment.start(edge=f'[log]\ntrace = true\nformat = "{form}"\n')
    _serve_one(deployment, node)
    node.wait_for_log("AttemptEnded", 1)
    said = node.log_path.read_text().splitlines()
    if form == "json":  # each line is an object, the trace's too
        said = ["puffinpost: " + json.loads(line)["event"] for line in said]
    lines = [line for line in said if re.search(r"trace ms=\d+ n=", line)]
    ours = [line.split()[5] for line in lines if "id=9b1f03aa5c7e2d41" in line]
    assert ours[:3] == ["RequestReceived", "StartAttempt", "AttemptEstablished"], lines
    assert "AttemptEnded" in ours and "AttemptEnded" in lines[-1], (
        lines
    )  # its id is known to its last outcome
    listed = [line for line in said if re.search(r"trace ms=\d+ list ", line)]
    assert listed and "s-0=READY@" in listed[0], listed  # the list as the decisions were given it
    assert node.stop() == 0


def test_nothing_is_traced_by_default(deployment: Deployment) -> None:
    node = deployment.start()
    _serve_one(deployment, node)
    assert node.stop() == 0
    assert "trace " not in node.log_path.read_text()
