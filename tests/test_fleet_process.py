"""Checks on loopback that the process that ``run`` starts meets the requirements of the fleet's days.

The days (issue 17) refuse fork, other programs, io_uring, splice and sendfile, and allow only TCP and UDP
over IPv4. They require that ``run`` becomes a single process by ``exec``, linked against the C library. A
thread that neither waits nor ends for 20 s counts as a crash. Python's audit hooks record the node's calls.
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
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


def _start_audited(deployment: Deployment, tmp_path: Path) -> tuple[NodeProcess, Path]:
    records = tmp_path / "audit.jsonl"
    node = deployment.start(
        shell_command=RUN_COMMAND,
        extra_environ={
            "PYTHONPATH": str(ROOT / "tests" / "data" / "fleet_audit"),
            "PUFFINPOST_AUDIT": str(records),
        },
    )
    return node, records


def _socket_inodes(pid: int) -> set[str]:
    inodes = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed since the folder was read, so not open
            link = str(descriptor.readlink())
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
    return inodes


def _unix_inodes() -> set[str]:
    rows = Path("/proc/net/unix").read_text().splitlines()[1:]
    return {row.split()[6] for row in rows if len(row.split()) > 6}


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _serve_one_request(deployment: Deployment, node: NodeProcess) -> None:
    client = node.connect(OPEN)
    sockets = [endpoint.socket for endpoint in deployment.endpoints]
    ready = select.select(sockets, [], [], WAIT_TIMEOUT_S)[0]  # any endpoint may be selected
    assert ready, "no upstream connection was opened"
    upstream: SocketPeer = next(
        endpoint for endpoint in deployment.endpoints if endpoint.socket in ready
    ).accept()
    assert upstream.read_line().startswith(b"OPEN ")
    upstream.send(b"UP 77\r\n")
    assert client.read_line() == b"UP 77\r\n"
    upstream.send(b"DONE\r\n")
    client.close()


def test_run_command_becomes_one_process_that_uses_only_tcp_over_ipv4(
    deployment: Deployment, tmp_path: Path
) -> None:
    node, records = _start_audited(deployment, tmp_path)
    pid = node.process.pid
    # The shell that the platform starts is replaced by the node (`exec`) and has no child process.
    assert "python" in Path(f"/proc/{pid}/exe").readlink().name
    assert all(not (task / "children").read_text().split() for task in Path(f"/proc/{pid}/task").iterdir())
    assert "libc.so" in Path(f"/proc/{pid}/maps").read_text()  # linked dynamically against the C library
    _serve_one_request(deployment, node)
    node.reload()
    _serve_one_request(deployment, node)
    assert not _socket_inodes(pid) & _unix_inodes()  # no Unix socket is open, whatever created it
    assert not list(node.folder.glob("*.sock"))  # nor bound in $TMPDIR, so there is no other process
    assert node.stop() == 0
    audit_records = [json.loads(line) for line in records.read_text().splitlines()]
    assert audit_records, "the audit hook was not loaded"
    families = {record["family"] for record in audit_records if record["what"] == "socket"}
    assert families == {int(socket.AF_INET)}
    assert not [record for record in audit_records if record["what"] in ("start", "refused")]


def test_idle_node_does_not_spin(deployment: Deployment, tmp_path: Path) -> None:
    node, _ = _start_audited(deployment, tmp_path)
    node.wait_until_ready()
    cpu_before_s, started_at = _cpu_s(node.process.pid), time.monotonic()
    time.sleep(1.5)  # timers run meanwhile: for the bans file, the watch of discovery and admission
    share = (_cpu_s(node.process.pid) - cpu_before_s) / (time.monotonic() - started_at)
    assert share < 0.2, f"an idle node used {share:.0%} of a core"
    assert node.stop() == 0


def test_handover_is_used_only_where_configured_or_with_an_inherited_listener() -> None:
    assert handover_folder("inherited", "/tmp/n", None) == ""
    assert handover_folder("inherited", "/tmp/n", 5) == "/tmp/n"
    assert handover_folder("always", "/tmp/n", None) == "/tmp/n"
    assert handover_folder("never", "/tmp/n", 5) == ""
    assert handover_folder("always", "", None) == ""


def test_event_loop_is_woken_by_its_pipe_from_a_thread_and_from_a_signal() -> None:
    async def collect_wakeups() -> list[str]:
        loop, wakeups = asyncio.get_running_loop(), []
        thread_result = loop.create_future()
        loop.add_signal_handler(signal.SIGUSR2, lambda: wakeups.append("signal"))
        # Without the pipe the loop would stay in its selector for up to an hour.
        loop.call_later(3600, lambda: None)
        threading.Thread(target=lambda: loop.call_soon_threadsafe(thread_result.set_result, "thread")).start()
        wakeups.append(await asyncio.wait_for(thread_result, WAIT_TIMEOUT_S))
        os.kill(os.getpid(), signal.SIGUSR2)
        give_up_at = loop.time() + WAIT_TIMEOUT_S
        while "signal" not in wakeups and loop.time() < give_up_at:
            await asyncio.sleep(0.01)
        loop.remove_signal_handler(signal.SIGUSR2)
        return wakeups

    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        assert runner.run(collect_wakeups()) == ["thread", "signal"]
        assert isinstance(runner.get_loop(), PipeEventLoop)


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_trace_lines_of_a_request_have_its_id(deployment: Deployment, log_format: str) -> None:
    node = deployment.start(edge=f'[log]\ntrace = true\nformat = "{log_format}"\n')
    _serve_one_request(deployment, node)
    node.wait_for_log("AttemptEnded", 1)
    log_lines = node.log_path.read_text().splitlines()
    if log_format == "json":  # each line is an object, also trace lines
        log_lines = ["puffinpost: " + json.loads(line)["event"] for line in log_lines]
    trace_lines = [line for line in log_lines if re.search(r"trace ms=\d+ n=", line)]
    request_events = [line.split()[5] for line in trace_lines if "id=9b1f03aa5c7e2d41" in line]
    assert request_events[:3] == ["RequestReceived", "StartAttempt", "AttemptEstablished"], trace_lines
    # The id is traced up to the request's last outcome.
    assert "AttemptEnded" in request_events and "AttemptEnded" in trace_lines[-1], trace_lines
    list_lines = [line for line in log_lines if re.search(r"trace ms=\d+ list ", line)]
    # The list that the decisions are based on.
    assert list_lines and "s-0=READY@" in list_lines[0], list_lines
    assert node.stop() == 0


def test_nothing_is_traced_by_default(deployment: Deployment) -> None:
    node = deployment.start()
    _serve_one_request(deployment, node)
    assert node.stop() == 0
    assert "trace " not in node.log_path.read_text()
