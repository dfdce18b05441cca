"""The followers of one node: the nodes that request leases from it, with their latest summaries.

`member` records each request here and sends changed documents to these followers. Voters may request leases
too, but get documents from the log.
"""

from __future__ import annotations

from typing import Any

from puffinpost.consensus.member_config import MemberConfig
from puffinpost.consensus.messages import Summary

NS_PER_MS = 1_000_000


class Followers:
    """Tracks the followers by name. Times are ns of this node's clock."""

    def __init__(self, config: MemberConfig) -> None:
        self.config = config
        self.summaries: dict[str, tuple[int, Summary]] = {}  # with the time of the request
        self.links: dict[str, Any] = {}
        self.preferred_sources: dict[str, str] = {}

    def at_capacity(self, sender: str) -> bool:
        """Whether a request is rejected to bound the fan-out.

        Voters and followers whose preferred source is this node are always accepted. The limit applies to
        followers whose preferred source does not respond.
        """
        if sender in self.config.voters or self._preferred_source(sender) == self.config.name:
            return False
        non_preferring = [
            name
            for name in self.summaries
            if self._preferred_source(name) not in ("", self.config.name) and name != sender
        ]
        return len(non_preferring) >= self.config.fanout - self.config.preferred_follower_limit

    def record_request(self, sender: str, summary: Summary, now: int, link: Any) -> bool:
        """Records a request; returns whether the number of nodes or the ready ones have changed."""
        _, before = self.summaries.get(sender, (now, None))
        self.summaries[sender], self.links[sender] = (now, summary), link
        if before is None:
            return False
        return (before.node_count, before.ready_counts) != (summary.node_count, summary.ready_counts)

    def withdraw(self, sender: str) -> bool:
        """Drops the summary of a node that reports to another source now; returns whether there was one."""
        self.links.pop(sender, None)
        return self.summaries.pop(sender, None) is not None

    def notification_links(self) -> list[Any]:
        """Returns the links on which changed documents are sent."""
        return [self.links[name] for name in self.summaries if name not in self.config.voters]

    def recent_summaries(self, now: int) -> list[tuple[Summary, int]]:
        """Returns the summaries from the last lease duration, with their ages in ms; drops older ones."""
        cutoff_ns = now - self.config.lease_duration_ns
        self.summaries = {name: entry for name, entry in self.summaries.items() if entry[0] > cutoff_ns}
        return [
            (summary, (now - received_at) // NS_PER_MS) for received_at, summary in self.summaries.values()
        ]

    def _preferred_source(self, name: str) -> str:
        if name not in self.preferred_sources:
            self.preferred_sources[name] = self.config.preferred_source(name)
        return self.preferred_sources[name]
