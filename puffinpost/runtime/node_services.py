"""Protocols of a node and of its cluster state, for the parts that act on them.

Cluster state, replicated state, the ban follower and the reload use these protocols, so that they need not
import the modules that create them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from puffinpost.admin.ban_file import BanFile
from puffinpost.config import Config
from puffinpost.net.discovery_client import DiscoveryClient
from puffinpost.net.health_checker import HealthChecker
from puffinpost.observability.counters import Counters
from puffinpost.proxy.coordinator import Coordinator

if TYPE_CHECKING:  # a node without a cluster does not import these
    from puffinpost.config.cluster import ClusterConfig
    from puffinpost.runtime.history import History


class NodeServices(Protocol):
    """A node's shared parts. ``config`` is the configuration in force; it is replaced as a whole."""

    config: Config
    counters: Counters
    coordinator: Coordinator
    health_checker: HealthChecker
    discovery_client: DiscoveryClient
    ban_file: BanFile

    def apply_configuration(self) -> None:
        """Passes the settings and classes of ``config`` to the coordinator."""

    def apply_bans(self, banned: dict[str, int]) -> None:
        """Bans exactly these endpoints: by name, the time of the ban (Unix time, ns)."""


class ClusterServices(Protocol):
    """What replicated state needs from the cluster state."""

    config: ClusterConfig
    history: History

    def apply_bans(self, banned: dict[str, int]) -> None:
        """Bans exactly these endpoints on this node, and updates its ban file."""
