"""One origin's rows as a node has them, by key and by sequence number.

`ReplicaSet` owns the replicas; no other package changes them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

from puffinpost.replication.rows import Row, RowKey


@dataclass(slots=True)
class Replica:
    """The live rows of an origin, of which all writes up to ``sequence`` have been applied.

    Tombstones up to ``tombstone_floor`` have been discarded. While a replica that lags behind the floor of a
    peer learns which of its rows are still live, ``pruning_floor`` is that floor and ``pruned_through`` the
    sequence number up to which rows have been pruned.
    """

    sequence: int = 0
    tombstone_floor: int = 0
    pruning_floor: int = 0
    pruned_through: int = 0
    rows: dict[RowKey, Row] = field(default_factory=dict)
    rows_by_sequence: Any = field(default_factory=SortedDict)  # int to Row; sortedcontainers has no types
    checksum: int = 0  # exclusive or of the checksums of all rows
    damaged: set[int] = field(default_factory=set)  # damaged on disk, until repaired or given up

    def put(self, row: Row) -> None:
        """Stores a row that is newer than the one under its key."""
        previous = self.rows.get(row.row_key)
        if previous is not None:
            del self.rows_by_sequence[previous.sequence]
            self.checksum ^= previous.checksum
        self.rows[row.row_key] = row
        self.rows_by_sequence[row.sequence] = row
        self.checksum ^= row.checksum

    def remove(self, sequence: int) -> Row | None:
        """Removes the row with the sequence number, and returns it; None if there is none."""
        row: Row | None = self.rows_by_sequence.pop(sequence, None)
        if row is not None:
            del self.rows[row.row_key]
            self.checksum ^= row.checksum
        return row

    def intact_through(self) -> int:
        """The sequence number up to which no row is known to be damaged."""
        return min(self.damaged, default=self.sequence + 1) - 1

    def rows_between(self, after: int, through: int) -> Iterator[Row]:
        """Rows with sequence numbers in (``after``, ``through``], in order."""
        for sequence in self.rows_by_sequence.irange(after, through, inclusive=(False, True)):
            yield self.rows_by_sequence[sequence]
