"""A cluster of node processes on loopback: nodes, links, discovery, transcribers and clients.

Scenarios, measurements and tests start it, inject faults into its processes and links, and check its history.
It never restarts a process by itself.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from puffinpost.consensus.merged_documents import BANS, ENDPOINT_LIST
from puffinpost.consensus.messages import Propose
from puffinpost.emulator.mesh.cluster_config import (
    CLUSTER_ID,
    DEFAULT_OPTIONS,
    ClusterLayout,
    ClusterOptions,
    host_address,
    reserve_loopback_network,
)
from puffinpost.emulator.mesh.history import EventRecorder, read_history
from puffinpost.emulator.mesh.history_checker import Event, EventKind, Violation, check_history
from puffinpost.emulator.mesh.load_generator import LoadGenerator
from puffinpost.emulator.mesh.network import ProxiedNetwork
from puffinpost.emulator.mesh.node_process import NodeProcess
from puffinpost.emulator.platform_settings import PLATFORM_SETTINGS
from puffinpost.emulator.stand_ins import StandInDiscovery, StandInEndpoint

__all__ = ["CLUSTER_ID", "ClusterOptions", "ProcessCluster"]

POLL_S = 0.05
POLLED_NODES_PER_S = 200  # by `wait_until`: this process carries the links too
START_TIMEOUT_S = 60.0
LEADER_TIMEOUT_S = 20.0
NEVER_SETTLED_NS = 2**63
MAX_STATUS_TEXT = 2000

Result = TypeVar("Result")


class ProcessCluster:
    """The cluster. ``voters``: how many of the nodes vote."""

    def __init__(
        self, folder: Path, nodes: int, voters: int, options: ClusterOptions = DEFAULT_OPTIONS
    ) -> None:
        self.folder, self.options = folder, options
        self.names = [f"n{number}" for number in range(nodes)]
        self.voters = self.names[:voters]
        self._reservation, loopback = reserve_loopback_network()
        hosts = {name: host_address(loopback, number) for number, name in enumerate(self.names)}
        self.layout = ClusterLayout(self.names, self.voters, hosts, options)
        self.cluster_addresses = {name: self.layout.cluster_address(name) for name in self.names}
        self.recorder = EventRecorder()
        self.proposals = itertools.count(1)
        self.nodes: dict[str, NodeProcess] = {}
        self.load: LoadGenerator | None = None

    async def start(self, endpoints: int = 2, per_s: float = 10.0, wait: bool = True) -> None:
        """Starts everything, with ``per_s`` requests a second at each node.

        With ``wait``, all nodes hold a lease and act on one version once it returns.
        """
        self.network = ProxiedNetwork(self.options.seed, self.cluster_addresses)
        self.endpoints = [StandInEndpoint(f"s-{number}") for number in range(endpoints)]
        for endpoint in self.endpoints:
            await endpoint.start()
        self.discovery = StandInDiscovery(self.endpoints)
        await self.discovery.start()
        for name in self.names:
            self.nodes[name] = self._create_process(name)
        for node in self.nodes.values():
            node.start()
        if per_s:
            self.load = LoadGenerator(self.nodes, self.recorder, per_s, self.options.seed)
        if wait and self.options.clustered:
            await self.wait_until_agreed(START_TIMEOUT_S)

    def _create_process(self, name: str) -> NodeProcess:
        endpoint_list = self.discovery.endpoint_list()
        folder = self.folder / name
        return NodeProcess(
            name,
            folder,
            self.layout.node_config(name, self.discovery.port, endpoint_list),
            self.operator_config(name, folder),
            CLUSTER_ID,
            self.cluster_addresses[name],
        )

    def operator_config(self, name: str, folder: Path) -> str:
        """The text of a node's operator file."""
        return self.layout.operator_config(name, folder, self.network)

    # --- status ---------------------------------------------------------------------------------------

    @property
    def running(self) -> list[NodeProcess]:
        """The nodes whose processes run and are not stopped."""
        return [node for node in self.nodes.values() if node.running]

    async def status(self, names: list[str] | None = None) -> dict[str, dict[str, Any]]:
        """The status of each running node that answers, or of some of them."""
        return await self._query([node for node in self.running if not names or node.name in names], "status")

    async def replica_status(self) -> dict[str, dict[str, Any]]:
        """The replicas of each running node that answers."""
        return await self._query(self.running, "replica")

    @staticmethod
    async def _query(nodes: list[NodeProcess], subject: str) -> dict[str, dict[str, Any]]:
        answers = await asyncio.gather(*(node.query(subject) for node in nodes))
        return {node.name: answer for node, answer in zip(nodes, answers, strict=True) if answer}

    async def leader(self) -> str:
        """The leader's name by its own status; waits for one."""

        async def find_leader() -> str:
            for name, status in (await self.status(self.voters)).items():
                if status["role"] == "leader" and status["sure"]:
                    return name
            return ""

        return await self.wait_until(find_leader, LEADER_TIMEOUT_S, "a leader")

    async def wait_until(
        self, condition: Callable[[], Awaitable[Result]], within_s: float, description: str
    ) -> Result:
        """Waits until a condition's result is true, and returns it.

        Raises ``TimeoutError``, and ``RuntimeError`` where a process has exited by itself.
        """
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if exited := [node for node in self.nodes.values() if node.exited]:
                names = [node.name for node in exited]
                raise RuntimeError(f"{names} ended by themselves: {exited[0].log_tail()}")
            if result := await condition():
                return result
            await asyncio.sleep(max(POLL_S, len(self.names) / POLLED_NODES_PER_S))
        status = {
            name: (each["role"], each["sure"], each["documents"])
            for name, each in (await self.status()).items()
        }
        raise TimeoutError(f"no {description} in {within_s:g} s: {str(status)[:MAX_STATUS_TEXT]}")

    async def wait_until_equal(self, within_s: float) -> float:
        """Waits until all running nodes have taken over and have equal replicas; returns how long, in s."""
        began = time.monotonic()

        async def are_equal() -> bool:
            running = {node.name for node in self.running}
            status = await self.replica_status()
            replicas = {
                str([(it["node"], it["life"], it["seq"], it["check"]) for it in each["copies"]])
                for each in status.values()
            }
            settled = all(each["settled"] for each in status.values())
            return set(status) == running and len(replicas) == 1 and settled

        await self.wait_until(are_equal, within_s, "equal copies")
        return time.monotonic() - began

    async def wait_until_agreed(self, within_s: float) -> None:
        """Waits until all running nodes hold a lease and act on one version."""

        async def have_agreed() -> bool:
            running = {node.name for node in self.running}
            status = await self.status()
            versions = {
                repr(sorted((name, it["all_act_on"]) for name, it in each["documents"].items()))
                for each in status.values()
            }
            have_leases = all(each["sure"] for each in status.values())
            return set(status) == running and have_leases and len(versions) == 1

        await self.wait_until(have_agreed, within_s, "agreement of all")

    # --- operations -----------------------------------------------------------------------------------

    async def propose(
        self,
        node: str = "",
        content: Any = None,
        document: str = "settings",
        share: float = 1.0,
        within_s: float = 15.0,
    ) -> dict[str, str]:
        """Proposes a content, at the leader where no node is named, and records the outcome.

        Without a content, a version of the settings is made up.
        """
        number = next(self.proposals)
        if content is None:
            content = _settings_version(number)
        is_ban_change = document == BANS and isinstance(content, dict)
        name = node or await self.leader()
        for endpoint in content.get("lift", []) if is_ban_change else ():
            self.recorder.record(name, EventKind.LIFTED, endpoint)
        proposal = Propose(
            f"p{number}", document, content, "mesh", f"proposal {number}", int(time.time()), share
        )
        result = await self.nodes[name].propose(proposal, within_s)
        outcome = result.get("outcome")
        if outcome == EventKind.REJECTED:
            self.recorder.record(name, EventKind.REJECTED, proposal.proposal_id, document)
        elif outcome == EventKind.ACCEPTED:
            await self._record_accepted(name, proposal, content if is_ban_change else {})
        return result

    async def _record_accepted(self, name: str, proposal: Propose, ban_change: dict[str, Any]) -> None:
        status = await self.nodes[name].query("status")
        version = status.get("documents", {}).get(proposal.document, {}).get("all_act_on", 0)
        self.recorder.record(name, EventKind.ACCEPTED, proposal.proposal_id, proposal.document, version)
        for endpoint in ban_change.get("ban", {}):
            self.recorder.record(name, EventKind.BANNED, endpoint)

    async def set_endpoint_status(self, endpoint: str, status: str, within_s: float = 20.0) -> None:
        """Changes an endpoint's status at discovery; returns once a node has that as agreed on."""
        if status == "up":  # a node may learn of it, and send to it, before this returns
            self.recorder.record("", EventKind.LIFTED, endpoint)
        self.discovery.set_status(endpoint, status)

        async def is_agreed() -> bool:
            for node in self.running:
                document = await node.query("document", ENDPOINT_LIST)
                entry = (document.get("active") or {}).get("content", {}).get(endpoint, {})
                if entry.get("status") == status:
                    return True
            return False

        await self.wait_until(is_agreed, within_s, f"list with {endpoint} {status}")
        if status != "up":
            self.recorder.record("", EventKind.BANNED, endpoint)

    def record_fault(self, node: str, fault: str) -> None:
        """Records a fault in the history."""
        self.recorder.record(node, EventKind.FAULT, fault)

    def events(self) -> list[Event]:
        """The whole history, in the order of time."""
        of_nodes = read_history([node.history for node in self.nodes.values()])
        return sorted([*self.recorder.events, *of_nodes], key=lambda event: event.time_ns)

    async def check(self, settled_ns: int = NEVER_SETTLED_NS) -> list[Violation]:
        """Ends the load, waits for the open requests, and checks the history.

        A process that nobody has ended must still run: its exit is a violation too.
        """
        if self.load is not None:
            await self.load.close()
        exited = [
            Violation(f"{node.name} ended by itself: {node.log_tail()}", ())
            for node in self.nodes.values()
            if node.exited
        ]
        return exited + check_history(self.events(), int(self.options.agree_within_s * 1e9), settled_ns)

    async def close(self) -> None:
        """Ends everything that was started."""
        if self.load is not None:
            await self.load.close()
        for node in self.nodes.values():
            node.resume()
            node.kill()
        self.network.close()
        self._reservation.close()


def _settings_version(number: int) -> dict[str, Any]:
    """Settings that differ from those of another number."""
    return {
        "Limits": {**PLATFORM_SETTINGS["Limits"], "AttemptsCap": 2 + number % 4},
        "Rules": {**PLATFORM_SETTINGS["Rules"], "DrainGraceNs": 500_000_000 + number},
    }
