"""Operators' bans as replicated state: written at one node, and in force at each node that receives them.

`ReplicatedState` owns them if the settings replicate bans; otherwise bans go through consensus.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from puffinpost.cluster.replication_driver import ReplicationDriver
from puffinpost.observability import log
from puffinpost.replication import merge
from puffinpost.replication.row_values import BAN, Ban

if TYPE_CHECKING:
    from puffinpost.runtime.node_services import ClusterServices, NodeServices

REASON_BANNED = "ban"
REASON_LIFTED = "call back"
REASON_BANNED_BEFORE = "banned before"  # a node had the ban before it replicated any state


class ReplicatedBans:
    """Applies the merged bans of all nodes to this one, and writes those that are requested here."""

    def __init__(self, node: NodeServices, cluster: ClusterServices, replication: ReplicationDriver) -> None:
        self.node = node
        self.cluster = cluster
        self.replication = replication

    def apply(self) -> None:
        """Puts the merged bans in force.

        Until this incarnation has taken over, bans that were in force at its start stay unless a row says
        otherwise. If nothing was ever replicated here, they become this node's own rows at the takeover.
        """
        merged = self._merged_bans()
        banned = {name: ban.since_ns for name, ban in merged.items() if ban is not None}
        in_force = self.node.coordinator.endpoints.banned
        if not self.replication.member.has_taken_over:
            banned |= {name: since_ns for name, since_ns in in_force.items() if name not in merged}
        elif self.replication.is_first_start:
            self.replication.is_first_start = False
            for name in in_force.keys() - merged.keys():
                banned[name] = in_force[name]
                ban = Ban(banned[name], self.node.config.name, REASON_BANNED_BEFORE)
                self.replication.write(BAN, name, ban)
        if banned != in_force:
            self._set_banned(banned)

    def _merged_bans(self) -> dict[str, Ban | None]:
        """By endpoint name, the ban that is in force according to the rows; None if it was lifted."""
        replicas = self.replication.member.replicas
        return {
            key: merge.effective_ban(replicas.rows_at(kind, key))
            for kind, key in list(replicas.rows_by_key)
            if kind == BAN
        }

    def _set_banned(self, banned: dict[str, int]) -> None:
        for name in sorted(banned.keys() ^ self.node.coordinator.endpoints.banned.keys()):
            self.cluster.history.record("bans" if name in banned else "lifts", ident=name)
        self.cluster.apply_bans(banned)
        log.info("replicated bans changed", banned=",".join(sorted(banned)) or "none")

    def request(self, name: str, since_ns: int | None) -> str:
        """Bans an endpoint, or lifts its ban if ``since_ns`` is None; returns an id for the answer.

        The change is in force here at once, and at each other node when the row arrives there.
        """
        reason = REASON_BANNED if since_ns else REASON_LIFTED
        ban = Ban(since_ns or 0, self.node.config.name, reason)
        self.replication.write(BAN, name, ban)
        self.apply()
        if since_ns:
            log.info("endpoint banned by operator", endpoint=name)
        else:
            log.info("endpoint ban lifted by operator", endpoint=name)
        return f"{ban.issued_by}-{time.time_ns():x}"
