"""A cluster of three nodes on loopback, for the cases about agreement."""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from pathlib import Path
from typing import Any

from rig_2 import (
    LOOPBACK,
    PROCESSES,
    ROOT,
    SETTINGS,
    CannotRunError,
    Client,
    Discovery,
    Node,
    Record,
    Transcriber,
    free_port,
)

NAMES = ("n0", "n1", "n2")
DRAIN_GRACE_S = 0.5 + 0.05  # Rules.DrainGraceNs, and the 50 ms by which each limit is longer on sockets
# What the stand-in may be late in noting a first byte: in the node's favour.
STAND_IN_LAG_S = 0.1
START_TIMEOUT_S = 30.0
IN_USE_AFTER_S = 1.5  # "Classes appear (in use after 1.2 s [...])"


class Cluster:
    """Three nodes that agree on bans and on the list of transcribers, within the default time."""

    def __init__(self, record: Record, work: Path) -> None:
        self.record, self.work = record, work
        self.discovery = Discovery(record)
        self.transcribers: list[Transcriber] = []
        self.nodes = {name: Node(name, work, record) for name in NAMES}
        self._addresses: dict[str, str] = {}
        ports = {name: free_port() for name in NAMES}
        self._members = "".join(f'{name} = "{LOOPBACK}:{port}"\n' for name, port in ports.items())

    async def add_transcriber(self, listed: bool = True) -> Transcriber:
        """Starts a transcriber, and lists it unless it is to come later."""
        transcriber = Transcriber(f"s-{len(self.transcribers)}", self.record)
        self.transcribers.append(transcriber)
        await transcriber.start()
        if listed:
            self.discovery.set(transcriber.name, transcriber.address)
        return transcriber

    async def start(self, *names: str) -> None:
        """Starts processes of these nodes, and waits until all nodes serve."""
        known = self.discovery.snapshot()
        for name in names:
            if name not in self._addresses:
                self._addresses[name] = await self.discovery.listen(name)
            edge = (
                '[cluster]\nid = "east"\nvoters = ["n0", "n1", "n2"]\n'
                f'folder = "{self.work}/{name}/agreement"\n'
                f"[cluster.members]\n{self._members}"
            )
            settings = {
                "FleetSize": len(NAMES),
                "Me": NAMES.index(name),
                "Limits": {**SETTINGS["Limits"], "Peers": True},
            }
            self.nodes[name].empty_tmp()
            await self.nodes[name].start(self._addresses[name], known, settings, edge)
        for node in self.nodes.values():
            await node.wait_until_ready(START_TIMEOUT_S)
            await self._wait_until_serving(node)

    async def _wait_until_serving(self, node: Node) -> None:
        """A node without a lease refuses; it has one once a client is served."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            client = Client(self.record)
            answer = await client.open(node.port)
            client.close()
            if answer.startswith(b"UP"):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{node.name} serves nobody")

    async def kill(self, *names: str) -> None:
        """Kills the processes of these nodes outright."""
        for name in names:
            process = self.nodes[name].process
            assert process is not None
            self.record(f"{name} is killed")
            process.kill()
        for name in names:
            await self.nodes[name].process.wait()  # type: ignore[union-attr]

    async def agree_on_settings(self, content: dict[str, Any]) -> None:
        """Proposes shared settings at the first node, with the operators' command, until all act on them."""
        file = self.work / "settings.json"
        file.write_text(json.dumps(content))
        node = self.nodes[NAMES[0]]
        command = ["-m", "puffinpost", "settings", "--node", node.name, "propose", str(file), "--why", "case"]
        process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"),
            *command,
            cwd=ROOT,
            env={**os.environ, "GW_EDGE": str(node.folder / "edge.toml")},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        PROCESSES.append(process)
        output, _ = await process.communicate()
        self.record(f"settings propose: {process.returncode} {output.decode().strip()}")
        if process.returncode:
            raise CannotRunError("the settings were not agreed on")
        await asyncio.sleep(IN_USE_AFTER_S)

    async def load(self, name: str, rate: float, for_s: float) -> None:
        """Clients that come to a node at a rate, whatever it answers, and stay for the time."""

        async def come(stay_s: float) -> None:
            client = Client(self.record, f"client of {name}")
            if (await client.open(self.nodes[name].port)).startswith(b"UP"):
                await client.stay(stay_s)
            client.close()

        deadline = time.monotonic() + for_s
        clients = []
        while (left_s := deadline - time.monotonic()) > 0:
            clients.append(asyncio.ensure_future(come(left_s)))
            await asyncio.sleep(random.uniform(0.5, 1.5) / rate)
        await asyncio.gather(*clients)


def sent_late(record: Record, transcriber: Transcriber, since: float) -> bool:
    """Whether a transcriber was sent anything new later than the grace allows, ``since`` it was to stop."""
    after = [moment - since for moment, _ in transcriber.opened if moment > since]
    late = [moment for moment in after if moment > DRAIN_GRACE_S + STAND_IN_LAG_S]
    record(f"{transcriber.name}: new work after it was to stop: {[round(moment, 3) for moment in after]} s")
    record(f"{transcriber.name}: of these later than the grace: {len(late)}")
    return bool(late)
