"""Schedules lease renewal: when a node sends the next request, and to which source.

`member` sends the requests and passes in the replies. It extends the lease itself, once the documents of a
reply are on disk.
"""

from __future__ import annotations

import random

from puffinpost.consensus.member_config import MemberConfig
from puffinpost.consensus.messages import LeaseReply
from puffinpost.consensus.raft import Raft

NOTIFICATION_DELAY_NS = 20_000_000  # batches reports of changes in many followers
MAX_EMPTY_REPLIES = 3  # replies without a lease before another source is chosen
PREFERRED_SOURCE_PROBABILITY = 0.05  # per request, of returning to it from another source


class LeaseRenewal:
    """The schedule of one node's lease requests. Times are ns of this node's clock."""

    def __init__(self, config: MemberConfig, rng: random.Random, now: int) -> None:
        self.rng = rng
        self.interval_ns = config.renewal_interval_ns
        self.sources = config.sources()
        self.source_index = 0
        self.due_ns = self.requested_at_ns = now
        self.source_responsive = self.last_source_responsive = True
        self.empty_replies = 0
        self.reported_to = ""  # the source that may hold this node's last report; empty if none does

    def schedule_next(self, now: int) -> None:
        """Draws the time of the next request."""
        self.due_ns = now + self.interval_ns * 3 // 4 + self.rng.randrange(self.interval_ns // 2)

    def renew_soon(self, now: int) -> None:
        """Brings the next request forward, because there is something new to report."""
        self.due_ns = min(self.due_ns, now + NOTIFICATION_DELAY_NS)

    def begin_request(self, raft: Raft | None, now: int) -> str:
        """Returns the source to send a request to now; empty if there is none."""
        self.last_source_responsive = self.source_responsive
        if not self.source_responsive:
            self.source_index, self.empty_replies = self.source_index + 1, 0
        elif self.rng.random() < PREFERRED_SOURCE_PROBABILITY:
            self.source_index = 0
        self.source_responsive, self.requested_at_ns = False, now
        sources = self.sources
        if raft is not None and raft.is_voter() and raft.leader:
            # The leader comes first. Other sources follow, as it may be reachable in one direction only.
            sources = tuple(dict.fromkeys([raft.leader, *sources]))
        return sources[self.source_index % len(sources)] if sources else ""

    def report_to(self, source: str) -> str:
        """Records the source of the next report, empty for none; returns one to withdraw the last from.

        A report is not withdrawn from a source that did not answer in time: its notifications may be all that
        reaches this node.
        """
        previous, self.reported_to = self.reported_to, source
        return previous if previous != source and self.last_source_responsive else ""

    def accept_reply(self, reply: LeaseReply) -> bool:
        """Whether a reply grants a lease: it answers the last request, and its source holds a lease."""
        if reply.requested_at_ns != self.requested_at_ns or reply.at_capacity:
            return False
        granted = reply.remaining_ns > 0
        self.empty_replies = 0 if granted else self.empty_replies + 1
        self.source_responsive = self.empty_replies < MAX_EMPTY_REPLIES
        return granted
