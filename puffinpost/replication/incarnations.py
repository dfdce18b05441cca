"""Incarnations of nodes: numbers this node's own incarnation, and takes over from earlier ones.

A new incarnation catches up with its neighbours first, then adopts what earlier ones wrote and announces the
takeover; replicas of superseded incarnations are deleted on all nodes. `Member` owns the manager.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from puffinpost.replication.gossip import Gossip
from puffinpost.replication.local_writer import LocalWriter
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import ReplicaPosition
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import INCARNATION, MULTI_WRITER_KINDS, Incarnation, decode_value
from puffinpost.replication.rows import Origin

RANDOM_BITS = 20
MAX_TAKEOVER_DELAYS = 10  # postponements of a takeover while rows of earlier incarnations are missing


def next_incarnation(wall_clock_ms: int, latest_incarnation: int, rng: random.Random) -> int:
    """The number of a new incarnation, higher than the latest known one: its start in ms, and random bits.

    The random bits distinguish two incarnations if the wall clock was set back and the earlier one is not
    known yet.
    """
    start_ms = max(wall_clock_ms, (latest_incarnation >> RANDOM_BITS) + 1)
    return start_ms << RANDOM_BITS | rng.getrandbits(RANDOM_BITS)


class IncarnationManager:
    """Takes over from this node's earlier incarnations, and applies takeovers of other nodes' incarnations.

    ``is_read_only`` is set when a later incarnation of this node appears after the takeover or a renumbering,
    which means that another process runs under the node's name.
    """

    def __init__(
        self,
        config: MemberConfig,
        replicas: ReplicaSet,
        writer: LocalWriter,
        gossip: Gossip,
        rng: random.Random,
        count: Callable[[str], None],
        now_ns: int,
    ) -> None:
        self.config = config
        self.replicas = replicas
        self.writer = writer
        self.gossip = gossip
        self.rng = rng
        self.count = count
        self.takeover_at: int | None = None
        if not config.neighbours():
            self.takeover_at = now_ns + config.takeover_delay_ns
        self.has_taken_over = False
        self.is_read_only = False
        self.renumbered = False
        self.takeover_delays = 0

    def on_caught_up(self, now_ns: int) -> None:
        """A neighbour has announced all its positions: schedules the takeover."""
        if self.takeover_at is None:
            self.takeover_at = now_ns + self.config.takeover_delay_ns

    def on_positions(self, positions: Iterable[ReplicaPosition]) -> None:
        """Checks a neighbour's positions for later incarnations of this node.

        Before the takeover, this incarnation gets a higher number, once: the clock was set back between two
        starts. Otherwise another process writes under this node's name, and this one stops writing.
        """
        incarnations = [each.origin.incarnation for each in positions if each.origin.node == self.config.name]
        latest = max(incarnations, default=0)
        if latest <= self.writer.origin.incarnation or self.is_read_only:
            return
        if self.has_taken_over or self.renumbered:
            self.is_read_only = True
            self.count("replica_same_name")
            return
        self._renumber(latest)

    def _renumber(self, latest_incarnation: int) -> None:
        self.renumbered = True
        previous = self.writer.origin
        number = next_incarnation(self.writer.clock.wall_clock_ms(), latest_incarnation, self.rng)
        self.writer.origin = Origin(self.config.name, number)
        replica = self.replicas.by_origin.get(previous)
        for row in list(replica.rows_by_sequence.values()) if replica is not None else ():
            self.writer.append(row.kind, row.key, row.timestamp, row.value)

    def next_deadline(self) -> int | None:
        """When `tick` has something to do next."""
        return None if self.has_taken_over else self.takeover_at

    def tick(self, now_ns: int) -> None:
        """Takes over when it is due; postponed while a neighbour has more of the earlier incarnations."""
        if self.has_taken_over or self.takeover_at is None or now_ns < self.takeover_at:
            return
        if self.gossip.is_missing_rows_of(self.config.name) and self.takeover_delays < MAX_TAKEOVER_DELAYS:
            self.takeover_delays += 1
            self.takeover_at = now_ns + self.config.response_timeout_ns
            return
        self._take_over()

    def _take_over(self) -> None:
        self.has_taken_over = True
        origin = self.writer.origin
        adopted_through: dict[int, int] = {}
        for earlier, replica in sorted(self.replicas.by_origin.items()):
            if earlier.node == origin.node and earlier.incarnation < origin.incarnation:
                adopted_through[earlier.incarnation] = replica.intact_through()
                self.writer.adopt(list(replica.rows_by_sequence.values()))
        if not self.is_read_only:
            self.writer.write(INCARNATION, origin.node, Incarnation(adopted_through))
            self.replicas.supersede(origin.node, origin.incarnation, adopted_through)

    def apply_takeovers(self) -> None:
        """Deletes the replicas of incarnations that a later one has taken over from.

        Rows that the later one has not adopted become this node's own if any node may write their kind.
        """
        takeovers = [row_key for row_key in self.replicas.rows_by_key if row_key[0] == INCARNATION]
        for kind, node in takeovers:
            for origin, row in list(self.replicas.rows_at(kind, node).items()):
                takeover = decode_value(row, Incarnation)
                if takeover is None or origin.node != node:
                    continue
                not_adopted = self.replicas.supersede(node, origin.incarnation, takeover.adopted_through)
                self.writer.adopt([row for row in not_adopted if row.kind in MULTI_WRITER_KINDS])
