"""The configuration of one member of the cluster, and the tree along which leases are renewed.

`config.cluster` creates it from the operator's file. Times are in ns.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from puffinpost.consensus.lease import lease_duration_ns
from puffinpost.consensus.rollout import RolloutTimeouts

RENEWALS_PER_LEASE = 8  # so that a few may be lost before a lease expires


class InjectedFault(StrEnum):
    """Faults that rehearsals inject into a member, by the names in their files."""

    LEASE_IGNORED = "lease_ignored"
    STALE_READ = "stale_read"
    LOST_VERSION = "lost_version"


@dataclass(frozen=True, slots=True)
class MemberConfig:
    """``members``: all names in the file's order; ``fanout``: the maximum number of followers of a node.

    ``faults`` may contain names that are not in `InjectedFault`; other parts of a rehearsal inject those.
    """

    cluster: str
    name: str
    members: tuple[str, ...]
    voters: tuple[str, ...]
    agree_within_ns: int = 2_000_000_000
    heartbeat_interval_ns: int = 50_000_000
    fanout: int = 16
    lost_lease_policy: str = "narrow"
    decision_timeout_ns: int = 10_000_000_000
    staging_duration_ns: int = 10_000_000_000
    max_failure_share: float = 0.1
    faults: frozenset[str] = frozenset()

    @property
    def lease_duration_ns(self) -> int:
        """How long a leader's lease lasts."""
        return lease_duration_ns(self.agree_within_ns)

    @property
    def renewal_interval_ns(self) -> int:
        """How often a node renews its lease, on average."""
        return self.lease_duration_ns // RENEWALS_PER_LEASE

    @property
    def rollout_timeouts(self) -> RolloutTimeouts:
        """How long a leader waits in a rollout; every node reports within two renewals."""
        return RolloutTimeouts(
            2 * self.renewal_interval_ns,
            self.decision_timeout_ns,
            self.staging_duration_ns,
            self.max_failure_share,
        )

    @property
    def preferred_follower_limit(self) -> int:
        """The maximum number of followers that prefer one source.

        The rest of its fan-out is for followers whose preferred source is unresponsive.
        """
        return max(1, self.fanout // 2)

    def preferred_source(self, name: str) -> str:
        """Returns the source that a follower tries first; empty for a voter.

        The tree has a bounded fan-out: it lists the voters, then the followers, and the i-th follower prefers
        the member at ``i / preferred_follower_limit``.
        """
        tree_order = self._tree_order()
        index = tree_order.index(name) if name in tree_order else 0
        if index < len(self.voters):
            return ""
        return tree_order[(index - len(self.voters)) // self.preferred_follower_limit]

    def sources(self) -> tuple[str, ...]:
        """Returns the sources of this node, the preferred one first.

        All of a follower's sources precede it in the tree order, so that followers never form a cycle in
        which each extends its lease from the next.
        """
        tree_order = self._tree_order()
        index = tree_order.index(self.name)
        if index < len(self.voters):
            return tuple(name for name in self.voters if name != self.name)
        preferred = tree_order.index(self.preferred_source(self.name))
        alternative_count = min(index, 1 + len(self.voters))
        alternatives = [tree_order[(preferred + step) % index] for step in range(1, alternative_count)]
        return tuple(dict.fromkeys([tree_order[preferred], *alternatives, *self.voters]))

    def _tree_order(self) -> list[str]:
        voters = set(self.voters)
        return list(self.voters) + [name for name in self.members if name not in voters]
