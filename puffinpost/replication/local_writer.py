"""Writes rows of this node's own incarnation, an origin under which no other node writes.

`Member` uses it to write new values, and `IncarnationManager` to adopt rows of other incarnations.
"""

from __future__ import annotations

from puffinpost.replication import merge
from puffinpost.replication.hybrid_clock import HybridClock, Timestamp
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import (
    BAN,
    INHERITED_KINDS,
    MULTI_WRITER_KINDS,
    Ban,
    RowValue,
    decode_value,
    encode_value,
)
from puffinpost.replication.rows import Origin, Row, create_row


class LocalWriter:
    """Appends rows to the replica of ``origin``."""

    def __init__(self, origin: Origin, replicas: ReplicaSet, clock: HybridClock) -> None:
        self.origin = origin
        self.replicas = replicas
        self.clock = clock

    def write(self, kind: str, key: str, value: RowValue | None) -> None:
        """Writes a value with a new timestamp; None writes a tombstone."""
        encoded = encode_value(value) if value is not None else None
        self.append(kind, key, self.clock.now(), encoded)

    def append(self, kind: str, key: str, timestamp: Timestamp, value: bytes | None) -> None:
        """Appends a row with an encoded value."""
        sequence = self.replicas.last_sequence(self.origin) + 1
        row = create_row(self.origin, sequence, kind, key, timestamp, value)
        self.replicas.append(self.origin, row)

    def current_row(self, kind: str, key: str) -> Row | None:
        """The row of this origin under a key."""
        return self.replicas.rows_at(kind, key).get(self.origin)

    def adopt(self, rows: list[Row]) -> None:
        """Writes rows of other incarnations as this origin's own, and keeps their timestamps.

        Skips rows of kinds that are not inherited, tombstones, and rows older than this origin's own.
        """
        for row in rows:
            if row.kind not in INHERITED_KINDS or row.value is None:
                continue
            current = self.current_row(row.kind, row.key)
            if current is None or current.value is None or current.timestamp < row.timestamp:
                self.append(row.kind, row.key, row.timestamp, row.value)

    def collect_garbage(self, tombstone_retention_ms: int) -> None:
        """Replaces obsolete rows with tombstones, and discards tombstones older than the retention."""
        replica = self.replicas.by_origin.get(self.origin)
        if replica is None:
            return
        expired_before_ms = self.clock.wall_clock_ms() - tombstone_retention_ms
        multi_writer_rows = [
            row for row in replica.rows.values() if row.kind in MULTI_WRITER_KINDS and row.value is not None
        ]
        for row in multi_writer_rows:
            if self._is_obsolete(row, expired_before_ms):
                self.append(row.kind, row.key, self.clock.now(), None)
        self.replicas.discard_tombstones(self.origin, expired_before_ms)

    def _is_obsolete(self, row: Row, expired_before_ms: int) -> bool:
        """Whether another origin's later write wins, or the row is the only one and an old lifted ban."""
        other_rows = {
            origin: other
            for origin, other in self.replicas.rows_at(row.kind, row.key).items()
            if origin != self.origin and other.value is not None
        }
        winner = merge.last_write(other_rows)
        if winner is not None and winner[1].timestamp > row.timestamp:
            return True
        is_old = row.timestamp.physical_ms < expired_before_ms
        return not other_rows and is_old and _is_lifted_ban(row)


def _is_lifted_ban(row: Row) -> bool:
    ban = decode_value(row, Ban) if row.kind == BAN else None
    return ban is not None and ban.since_ns == 0
