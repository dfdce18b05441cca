"""One node process of a cluster: its files, its start and end, signals, and an operator's queries to it.

`ProcessCluster` creates it; tests kill, stop and query it. It does not restart a process that has exited.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson

from puffinpost.cluster.operator import OperatorQueryError, propose_and_wait, query_node
from puffinpost.consensus.messages import OperatorQuery, Propose
from puffinpost.emulator.mesh.cluster_config import CONSOLE_PORT

TERMINATE_TIMEOUT_S = 10.0
LOG_TAIL_CHARS = 400
Address = tuple[str, int]


class NodeProcess:
    """A node, which may have a process. Its two files are written when this is created."""

    def __init__(
        self,
        name: str,
        folder: Path,
        node_config: dict[str, Any],
        operator_config: str,
        cluster: str,
        cluster_address: Address,
    ) -> None:
        self.name, self.folder, self.cluster, self.cluster_address = name, folder, cluster, cluster_address
        self.store_folder, self.history = folder / "kept", folder / "history"
        host, _, port = str(node_config["listen"]).rpartition(":")
        self.frontend = host, int(port)
        self.child: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.began = 0.0
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "config.json").write_bytes(orjson.dumps(node_config))
        (folder / "edge.toml").write_text(operator_config)

    def start(self) -> None:
        """Starts a process; does not wait for it."""
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment = {
            **inherited,
            "GW_CONFIG": str(self.folder / "config.json"),
            "GW_EDGE": str(self.folder / "edge.toml"),
            "TMPDIR": str(self.folder),
        }
        self.began = time.monotonic()
        with (self.folder / "log").open("ab") as log:
            command = [sys.executable, "-m", "puffinpost"]
            self.child = subprocess.Popen(command, env=environment, stderr=log)
        self.stopped = False

    @property
    def exited(self) -> bool:
        """Whether its process has exited by itself."""
        return self.child is not None and self.child.poll() is not None

    @property
    def running(self) -> bool:
        """Whether it has a process that is not stopped."""
        return self.child is not None and self.child.poll() is None and not self.stopped

    def signal(self, number: int) -> None:
        """Sends a signal to its process, if it has one."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def log_tail(self) -> str:
        """The end of its log."""
        return (self.folder / "log").read_text()[-LOG_TAIL_CHARS:]

    def kill(self, folder: bool = True) -> None:
        """Kills the process and waits for its end; without ``folder`` its store is deleted too."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()
        self.child, self.stopped = None, False
        if not folder:
            shutil.rmtree(self.store_folder, ignore_errors=True)

    def set_clock_offset(self, off_ms: int) -> None:
        """Shifts its time of day by so much from now on."""
        (self.folder / "wall-off").write_text(str(off_ms))

    def set_write_load(self, per_s: float, places: int) -> None:
        """Makes it write so many meaningless rows a second, over ``places`` keys, into replicated state."""
        (self.folder / "writes").write_text(f"{per_s} {places}")

    async def console(self, path: str, method: str = "POST") -> bytes:
        """Calls its console; returns the first line of the answer."""
        reader, writer = await asyncio.open_connection(self.frontend[0], CONSOLE_PORT)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
        try:
            return await reader.readline()
        finally:
            writer.close()

    def limit_disk(self) -> None:
        """Makes its disk full: no file of the process may grow over the size of its store (EFBIG)."""
        assert self.child is not None
        size = (self.store_folder / "agreement.sqlite-wal").stat().st_size
        resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def unlimit_disk(self) -> None:
        """Ends `limit_disk`."""
        assert self.child is not None
        unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, unlimited)

    def stop(self) -> None:
        """Stops the process with SIGSTOP; its connections stay open."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues a stopped process."""
        self.signal(signal.SIGCONT)
        self.stopped = False

    async def terminate(self) -> int:
        """Ends the process with SIGTERM; returns its exit code, or that of SIGKILL after a timeout."""
        self.resume()
        self.signal(signal.SIGTERM)
        code: int | None = None
        if self.child is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):
                code = await asyncio.to_thread(self.child.wait, TERMINATE_TIMEOUT_S)
        self.kill()
        return -signal.SIGKILL if code is None else code

    async def query(self, subject: str, name: str = "") -> dict[str, Any]:
        """Queries the node as an operator; empty if it does not answer."""
        try:
            answer = await query_node(
                self.cluster_address, self.cluster, self.store_folder, OperatorQuery(subject, name)
            )
        except OperatorQueryError:
            return {}
        return dict(answer)

    async def propose(self, proposal: Propose, within_s: float = 15.0) -> dict[str, str]:
        """Proposes at this node; returns the outcome, or nothing if it is not known in time."""
        try:
            return await propose_and_wait(
                self.cluster_address, self.cluster, self.store_folder, proposal, within_s
            )
        except OperatorQueryError:
            return {}
