"""Anti-entropy: compares replicas periodically with a neighbour's, and requests the rows that are missing.

`Member` calls it at intervals and for each message of a comparison; `range_checksum` finds the differences.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from puffinpost.replication import range_checksum, repair
from puffinpost.replication.gossip import Gossip
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import LiveRows, Message, RangeChecksums, ResendRequest, RowsResend
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.rows import Origin

MAX_RESENT_ROWS = 512  # rows in one message
MAX_REPAIR_ROUNDS = 20  # rounds in which damaged rows are requested before they are given up


class AntiEntropy:
    """One node's anti-entropy. Each round compares one replica with a random neighbour's.

    A pass over all replicas takes them in random order.
    """

    def __init__(
        self,
        config: MemberConfig,
        replicas: ReplicaSet,
        gossip: Gossip,
        rng: random.Random,
        count: Callable[[str], None],
    ) -> None:
        self.config = config
        self.replicas = replicas
        self.gossip = gossip
        self.rng = rng
        self.count = count
        self.remaining: list[Origin] = []  # not yet compared in this pass over all replicas
        self.repair_rounds = 0

    def run_round(self, now_ns: int) -> bool:
        """Compares one replica and requests damaged rows.

        Returns whether there are damaged rows, in which case the next round should follow sooner.
        """
        reachable = [
            name
            for name, peer in self.gossip.peers.items()
            if now_ns - peer.last_message_at <= self.config.peer_timeout_ns
        ]
        if not reachable:
            return False
        self._compare_next(reachable)
        return self._request_damaged(reachable)

    def _compare_next(self, reachable: list[str]) -> None:
        if not self.remaining:
            self.remaining = sorted(self.replicas.by_origin)
            self.rng.shuffle(self.remaining)
        while self.remaining:
            origin = self.remaining.pop()
            replica = self.replicas.by_origin.get(origin)
            if replica is not None and replica.sequence:
                full_range = range_checksum.checksum_range(replica, 0, replica.sequence)
                message = RangeChecksums(self.replicas.position(origin), [full_range])
                self._send(self.rng.choice(reachable), message)
                return

    def _request_damaged(self, reachable: list[str]) -> bool:
        """Requests damaged rows; returns whether there are any.

        The number of rounds is limited because it is possible that no other node has the rows.
        """
        damaged = repair.damaged_rows(self.replicas)
        self.repair_rounds += bool(damaged)
        for origin, sequences in damaged.items():
            if self.repair_rounds > MAX_REPAIR_ROUNDS:
                self.count("replica_lost")
                repair.resolve_damaged(self.replicas, origin, list(sequences))
            else:
                request = ResendRequest(origin, sorted(sequences)[:MAX_RESENT_ROWS])
                self._send(self.rng.choice(reachable), request)
        return bool(damaged)

    def on_range_checksums(self, sender: str, message: RangeChecksums) -> None:
        """Handles a neighbour's range checksums: splits ranges that differ, and lists the rows of small ones.

        Nothing is compared if the positions differ: that means updates on their way and not a lost row.
        """
        position = message.position
        replica = self.replicas.by_origin.get(position.origin)
        if replica is None or position != self.replicas.position(position.origin):
            return
        subranges = []
        for remote, local in range_checksum.differing_ranges(replica, message.ranges):
            if range_checksum.is_small_enough_to_list(remote, local):
                live = range_checksum.live_sequences(replica, local.after, local.through)
                self._send(sender, LiveRows(position, local.after, local.through, live))
            else:
                subranges += range_checksum.split_range(replica, local)
        if subranges:
            self._send(sender, RangeChecksums(position, subranges))

    def on_live_rows(self, sender: str, message: LiveRows) -> None:
        """Handles a neighbour's list of the live rows in a range: requests those that are missing here.

        The neighbour requests rows that only this node has when it starts a comparison itself; if this node
        answered with a list of its own, the two could exchange lists forever.
        """
        origin = message.position.origin
        replica = self.replicas.by_origin.get(origin)
        if replica is None or message.position != self.replicas.position(origin):
            return
        missing = [sequence for sequence in message.sequences if sequence not in replica.rows_by_sequence]
        if missing:
            self._send(sender, ResendRequest(origin, missing[:MAX_RESENT_ROWS]))

    def on_resend_request(self, sender: str, message: ResendRequest) -> None:
        """Answers a neighbour's request for rows by sequence number."""
        replica = self.replicas.by_origin.get(message.origin)
        requested = message.sequences[:MAX_RESENT_ROWS]
        rows = []
        if replica is not None:
            by_sequence = replica.rows_by_sequence
            rows = [by_sequence[sequence] for sequence in requested if sequence in by_sequence]
        self._send(sender, RowsResend(self.replicas.position(message.origin), requested, rows))

    def _send(self, peer: str, message: Message) -> None:
        self.gossip.outbox.append((peer, message))
