"""One member of the cluster that replicates state: a node's entire part, without I/O.

The driver passes in messages and the time, stores the changes that `Member.take_output` returns, and sends
its messages. Received rows take effect at once; those not yet on disk are requested again after a crash.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from puffinpost.replication import repair
from puffinpost.replication.anti_entropy import AntiEntropy
from puffinpost.replication.gossip import Gossip
from puffinpost.replication.hybrid_clock import HybridClock
from puffinpost.replication.incarnations import IncarnationManager, next_incarnation
from puffinpost.replication.local_writer import LocalWriter
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import (
    DigestRequest,
    LiveRows,
    Message,
    RangeChecksums,
    ReplicaPosition,
    ResendRequest,
    RowsRequest,
    RowsResend,
    RowsResponse,
    VersionVector,
)
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import INCARNATION, RowValue
from puffinpost.replication.rows import Origin, Row, RowKey

GARBAGE_COLLECTION_ROUNDS = 5  # anti-entropy rounds between two collections


@dataclass(slots=True)
class Output:
    """Changes to store, messages to send (each with its receiver), and keys whose rows have changed."""

    changes: PendingChanges
    messages: list[tuple[str, Message]]
    changed_keys: set[RowKey]


class Member:
    """This node as a member. ``wall_clock_ms`` returns Unix time; ``count`` increments a counter by name."""

    def __init__(
        self,
        config: MemberConfig,
        rng: random.Random,
        now_ns: int,
        wall_clock_ms: Callable[[], int],
        count: Callable[[str], None],
        positions: list[ReplicaPosition] | None = None,
        rows: list[tuple[Origin, Row]] | None = None,
    ) -> None:
        self.config = config
        self.now_ns = now_ns
        self.count = count
        self.clock = HybridClock(config.name, wall_clock_ms)
        self.replicas = ReplicaSet(lambda row: self.clock.is_plausible(row.timestamp), count)
        self.replicas.load(positions or [], rows or [])
        for _, row in rows or []:
            self._observe_timestamp(row)
        stored = [each.incarnation for each in self.replicas.by_origin if each.node == config.name]
        origin = Origin(config.name, next_incarnation(wall_clock_ms(), max(stored, default=0), rng))
        self.writer = LocalWriter(origin, self.replicas, self.clock)
        self.gossip = Gossip(config, self.replicas, rng, now_ns)
        self.incarnations = IncarnationManager(
            config, self.replicas, self.writer, self.gossip, rng, count, now_ns
        )
        self.anti_entropy = AntiEntropy(config, self.replicas, self.gossip, rng, count)
        self.anti_entropy_at = now_ns + config.anti_entropy_interval_ns
        self.anti_entropy_rounds = 0
        self.updated_at: dict[Origin, int] = {}  # when each replica last advanced, in ns
        self.incarnations.apply_takeovers()

    # --- for the rest of the node -------------------------------------------------------------------

    @property
    def origin(self) -> Origin:
        """This node's incarnation."""
        return self.writer.origin

    @property
    def has_taken_over(self) -> bool:
        """Whether this incarnation has caught up and taken over from earlier ones."""
        return self.incarnations.has_taken_over

    @property
    def is_read_only(self) -> bool:
        """Whether another process runs under this node's name, so that this one has stopped writing."""
        return self.incarnations.is_read_only

    def write(self, kind: str, key: str, value: RowValue | None) -> None:
        """Writes this node's value under a key; None deletes it."""
        if not self.is_read_only:
            self.writer.write(kind, key, value)

    def recently_updated(self, within_ns: int) -> set[Origin]:
        """Origins whose replicas have advanced in the last ``within_ns``."""
        return {origin for origin, at_ns in self.updated_at.items() if self.now_ns - at_ns <= within_ns}

    # --- for the driver -----------------------------------------------------------------------------

    def receive(self, sender: str, message: Message, now_ns: int) -> None:
        """Handles a message. A message from a node that is not a neighbour is counted and dropped."""
        self.now_ns = now_ns
        if sender not in self.gossip.peers:
            self.count("replica_no_neighbour")
            return
        self.gossip.on_message(sender, now_ns)
        match message:
            case VersionVector():
                self._on_version_vector(sender, message)
            case DigestRequest():
                if self.gossip.on_digest_request(sender, message):
                    self.incarnations.on_caught_up(now_ns)
            case RowsRequest():
                self._on_rows_request(sender, message)
            case RowsResponse():
                self._on_rows_response(sender, message)
            case RangeChecksums():
                self.anti_entropy.on_range_checksums(sender, message)
            case LiveRows():
                self.anti_entropy.on_live_rows(sender, message)
            case ResendRequest():
                self.anti_entropy.on_resend_request(sender, message)
            case RowsResend():
                self._on_rows_resend(message)

    def on_connected(self, name: str, now_ns: int) -> None:
        """A link to a node was established."""
        if name in self.gossip.peers:
            self.gossip.on_message(name, now_ns)
            self.gossip.on_connected(name)

    def tick(self, now_ns: int) -> None:
        """Does what is due; called at each deadline and after each write."""
        self.now_ns = now_ns
        self.incarnations.tick(now_ns)
        if now_ns >= self.anti_entropy_at:
            self._run_anti_entropy()
        self.gossip.tick(now_ns)

    def next_deadline(self) -> int:
        """When `tick` has something to do next, in ns."""
        deadlines = [self.gossip.next_deadline(), self.anti_entropy_at]
        takeover_at = self.incarnations.next_deadline()
        if takeover_at is not None:
            deadlines.append(takeover_at)
        return min(deadlines)

    def take_output(self) -> Output:
        """Returns and clears what has accumulated since the last call."""
        output = Output(self.replicas.changes, self.gossip.outbox, self.replicas.changed_keys)
        self.replicas.changes = PendingChanges()
        self.gossip.outbox = []
        self.replicas.changed_keys = set()
        return output

    # --- messages -----------------------------------------------------------------------------------

    def _on_version_vector(self, sender: str, message: VersionVector) -> None:
        self.incarnations.on_positions(message.positions)
        self.gossip.on_version_vector(sender, message)
        if message.complete:
            self.incarnations.on_caught_up(self.now_ns)

    def _on_rows_request(self, sender: str, message: RowsRequest) -> None:
        requested = [each.origin for each in message.missing if each.origin.node == self.config.name]
        if any(origin.incarnation > self.origin.incarnation for origin in requested):
            self.count("replica_same_name")  # another process runs under this node's name
        self.gossip.on_rows_request(sender, message)

    def _on_rows_response(self, sender: str, message: RowsResponse) -> None:
        advanced = self.gossip.on_rows_response(sender, message)
        for origin in advanced:
            self.updated_at[origin] = self.now_ns
        has_takeover = False
        for chunk in message.chunks:
            for row in chunk.rows if chunk.origin in advanced else ():
                self._observe_timestamp(row)
                has_takeover = has_takeover or row.kind == INCARNATION
        if has_takeover:
            self.incarnations.apply_takeovers()
            self.updated_at = {
                origin: at_ns
                for origin, at_ns in self.updated_at.items()
                if origin in self.replicas.by_origin
            }

    def _on_rows_resend(self, message: RowsResend) -> None:
        for _ in range(repair.apply_resend(self.replicas, message)):
            self.count("replica_mended")
        self.incarnations.apply_takeovers()

    def _observe_timestamp(self, row: Row) -> None:
        if self.clock.is_plausible(row.timestamp):
            self.clock.observe(row.timestamp)

    # --- periodic work ------------------------------------------------------------------------------

    def _run_anti_entropy(self) -> None:
        self.anti_entropy_at = self.now_ns + self.config.anti_entropy_interval_ns
        self.anti_entropy_rounds += 1
        if self.anti_entropy_rounds % GARBAGE_COLLECTION_ROUNDS == 0 and not self.is_read_only:
            self.writer.collect_garbage(self.config.tombstone_retention_ms)
        if self.anti_entropy.run_round(self.now_ns):
            self.anti_entropy_at = self.now_ns + self.config.response_timeout_ns
