"""One real node on loopback between stand-in transcribers and a stand-in discovery, in a folder.

The demo and measurements start it, and connect clients to its frontends' ports.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from pathlib import Path

import orjson

from puffinpost.emulator.platform_settings import PLATFORM_SETTINGS
from puffinpost.emulator.stand_ins import (
    HOST,
    StandInDiscovery,
    StandInEndpoint,
    StandInXmppEndpoint,
    ignore_event,
)

LISTENING_POLL_S = 0.02


def free_port() -> int:
    """A port of loopback that nothing listens on just now."""
    with socket.create_server((HOST, 0)) as server:
        return int(server.getsockname()[1])


async def _accepts_connections(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    writer.close()
    return True


class LocalDeployment:
    """The node and its stand-ins. ``extra_config``: tables for the operator's file."""

    def __init__(
        self,
        folder: Path,
        endpoints: int = 2,
        extra_config: str = "",
        on_event: Callable[[str], None] = ignore_event,
    ) -> None:
        self.folder = folder
        self.extra_config = extra_config
        self.endpoints = [StandInEndpoint(f"s-{number}", on_event) for number in range(endpoints)]
        self.xmpp_endpoint = StandInXmppEndpoint(on_event)
        self.discovery = StandInDiscovery(self.endpoints)
        self.lines_port, self.xmpp_port, self.mqtt_port, self.console_port = (free_port() for _ in range(4))
        self.node: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts everything; the node accepts clients once this returns. Raises ``RuntimeError``."""
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.xmpp_endpoint.start()
        await self.discovery.start()
        self.node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "puffinpost",
            env=self._environment(),
            stderr=asyncio.subprocess.PIPE,
        )
        assert self.node.stderr is not None
        self._log_task = asyncio.ensure_future(self._copy_log(self.node.stderr))
        await self._wait_listening(self.node)

    async def stop(self) -> None:
        """Terminates the node, and waits for its end."""
        if self.node is not None and self.node.returncode is None:
            self.node.terminate()
            await self.node.wait()

    def _environment(self) -> dict[str, str]:
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        return {
            **inherited,
            "GW_CONFIG": str(self._write_node_config()),
            "GW_EDGE": str(self._write_operator_config()),
            "TMPDIR": str(self.folder),
        }

    def _write_node_config(self) -> Path:
        path = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.lines_port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": "1",
            "console": f"{HOST}:{self.console_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "known": self.discovery.endpoint_list(),
            "settings": PLATFORM_SETTINGS,
        }
        path.write_bytes(orjson.dumps(config))
        return path

    def _write_operator_config(self) -> Path:
        path = self.folder / "edge.toml"
        path.write_text(
            f'[xmpp]\nlisten = "{HOST}:{self.xmpp_port}"\nmechanisms = ["ANONYMOUS"]\n'
            f"[xmpp.transcribers]\nport = {self.xmpp_endpoint.port}\n"
            f'[mqtt]\nlisten = "{HOST}:{self.mqtt_port}"\nanonymous = true\n{self.extra_config}'
        )
        return path

    async def _wait_listening(self, node: asyncio.subprocess.Process) -> None:
        """Waits until all frontends accept connections."""
        for port in (self.lines_port, self.xmpp_port, self.mqtt_port):
            while not await _accepts_connections(port):
                if node.returncode is not None:
                    raise RuntimeError("the node did not start")
                await asyncio.sleep(LISTENING_POLL_S)

    async def _copy_log(self, log: asyncio.StreamReader) -> None:
        """Reads the node's log to a file, so that the pipe never fills."""
        with (self.folder / "log").open("ab") as file:
            while line := await log.readline():
                file.write(line)
                file.flush()
