"""The configuration files of a process cluster's nodes, and the loopback addresses that they use.

`ProcessCluster` asks it for each node's files; it starts nothing.
"""

from __future__ import annotations

import contextlib
import os
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from puffinpost.consensus.member_config import MemberConfig
from puffinpost.emulator.mesh.network import ProxiedNetwork
from puffinpost.emulator.platform_settings import PLATFORM_SETTINGS
from puffinpost.replication.topology import neighbours

CLUSTER_ID = "mesh"
# Below the range that the kernel assigns, on addresses that are this cluster's alone.
RESERVATION_PORT, CLUSTER_PORT, FRONTEND_PORT, CONSOLE_PORT = 12_000, 12_001, 12_002, 12_003
LOOPBACK_NETWORKS = 128  # 127.64.0.0/16 to 127.191.0.0/16
FIRST_LOOPBACK_NETWORK = 64
HOSTS_PER_NETWORK = 200

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """How a process cluster is configured.

    ``cluster_config``: lines for the ``[cluster]`` table of all nodes; ``replication_config``: for its table
    of replication; ``rehearsal_config``: for one node's rehearsal table. ``settings``: one node's own
    platform settings. Without ``history`` the nodes write none.
    """

    seed: int = 1
    agree_within_s: float = 2.0
    fanout: int = 16
    clustered: bool = True
    history: bool = True
    cluster_config: str = ""
    replication_config: str = ""
    rehearsal_config: dict[str, str] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)


DEFAULT_OPTIONS = ClusterOptions()


def reserve_loopback_network() -> tuple[socket.socket, str]:
    """Reserves a part of loopback until the socket closes, so that several clusters can run at once.

    Returns the socket and the first two numbers of the network. Raises ``RuntimeError``.
    """
    for attempt in range(LOOPBACK_NETWORKS):
        number = FIRST_LOOPBACK_NETWORK + (os.getpid() + attempt) % LOOPBACK_NETWORKS
        network = f"127.{number}"
        with contextlib.suppress(OSError):
            return socket.create_server((f"{network}.0.1", RESERVATION_PORT)), network
    raise RuntimeError("too many clusters at once")


def host_address(network: str, number: int) -> str:
    """The address of the ``number``-th node."""
    return f"{network}.{1 + number // HOSTS_PER_NETWORK}.{1 + number % HOSTS_PER_NETWORK}"


@dataclass(frozen=True, slots=True)
class ClusterLayout:
    """The nodes of a cluster, and where they listen."""

    names: list[str]
    voters: list[str]
    hosts: dict[str, str]
    options: ClusterOptions

    def cluster_address(self, name: str) -> Address:
        """Where a node listens for the others."""
        return self.hosts[name], CLUSTER_PORT

    def node_config(self, name: str, discovery_port: int, endpoint_list: dict[str, Any]) -> dict[str, Any]:
        """A node's configuration, in the platform's form."""
        host = self.hosts[name]
        return {
            "name": name,
            "listen": f"{host}:{FRONTEND_PORT}",
            "console": f"{host}:{CONSOLE_PORT}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": f"{self.options.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": endpoint_list,
            "settings": {
                **PLATFORM_SETTINGS,
                "FleetSize": len(self.names),
                **self.options.settings.get(name, {}),
            },
        }

    def operator_config(self, name: str, folder: Path, network: ProxiedNetwork) -> str:
        """A node's operator file; empty outside a cluster."""
        options = self.options
        if not options.clustered:
            return ""
        host, port = self.cluster_address(name)
        lines = [
            "[cluster]",
            f'id = "{CLUSTER_ID}"',
            f'listen = "{host}:{port}"',
            f"voters = {self.voters!r}",
            f'folder = "{folder / "kept"}"',
            f'history = "{folder / "history" if options.history else ""}"',
            f"agree_within_s = {options.agree_within_s}",
            f"fanout = {options.fanout}",
            options.cluster_config,
            "[cluster.members]",
            *self._member_lines(name, network),
            "[cluster.replica]",
            options.replication_config,
            "[cluster.rehearsal]",
            f'knobs = "{folder}"',
            options.rehearsal_config.get(name, ""),
            "",
        ]
        return "\n".join(lines)

    def _member_lines(self, name: str, network: ProxiedNetwork) -> list[str]:
        """All members in their order, which decides whom each follows; peers by their link's address."""
        peers = self._peers(name)
        lines = []
        for other in self.names:
            host, port = network.address(name, other) if other in peers else self.cluster_address(other)
            lines.append(f'{other} = "{host}:{port}"')
        return lines

    def _peers(self, name: str) -> set[str]:
        """The nodes that this one connects to."""
        options = self.options
        config = MemberConfig(CLUSTER_ID, name, tuple(self.names), tuple(self.voters), fanout=options.fanout)
        peers = {*self.voters, *config.sources()}
        if options.replication_config:
            peers |= set(neighbours(name, self.names))
        return peers - {name}
