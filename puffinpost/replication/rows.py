"""Rows of replicated state: a value under a key, numbered and checksummed by the origin that wrote it.

Rows are created here and never change afterwards; replicas store them and pass them on as they were written.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec
import xxhash

from puffinpost.replication.hybrid_clock import Timestamp

ROW_OVERHEAD_BYTES = 40  # of a row's encoding, besides its strings and its value

RowKey: TypeAlias = tuple[str, str]  # a row's kind, and its key among the rows of that kind


class Origin(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One incarnation of a node, which is the only writer of its rows.

    Each start of the process is a new incarnation, so a node whose data folder was restored from a backup
    never uses a sequence number twice. Later incarnations of a node have higher numbers.
    """

    node: str
    incarnation: int

    def __hash__(self) -> int:
        return hash((self.node, self.incarnation))


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One write of an origin. A row without a value is a tombstone.

    ``sequence`` is the origin's number of the write, from 1; ``value`` is MessagePack. Unknown kinds, and
    unknown fields at the end of a value, come from newer versions and are stored and passed on unchanged.
    """

    sequence: int
    kind: str
    key: str
    timestamp: Timestamp
    value: bytes | None
    checksum: int  # XXH3, 64 bits, of the origin and all other fields

    @property
    def row_key(self) -> RowKey:
        """The kind and the key, by which the row is found."""
        return self.kind, self.key

    def wire_size(self) -> int:
        """The approximate size of the encoded row, in bytes."""
        strings = len(self.kind) + len(self.key) + len(self.timestamp.node)
        return ROW_OVERHEAD_BYTES + strings + len(self.value or b"")


def row_checksum(
    origin: Origin, sequence: int, kind: str, key: str, timestamp: Timestamp, value: bytes | None
) -> int:
    """The checksum that accompanies a row from its origin to the disk of each replica."""
    prefix = (
        f"{origin.node}\0{origin.incarnation}\0{sequence}\0{kind}\0{key}\0"
        f"{timestamp.physical_ms}\0{timestamp.logical}\0{timestamp.node}\0"
    )
    return xxhash.xxh3_64_intdigest(prefix.encode() + (b"-" if value is None else b"+" + value))


def create_row(
    origin: Origin, sequence: int, kind: str, key: str, timestamp: Timestamp, value: bytes | None
) -> Row:
    """A new row of an origin, with its checksum."""
    checksum = row_checksum(origin, sequence, kind, key, timestamp, value)
    return Row(sequence, kind, key, timestamp, value, checksum)


def is_intact(origin: Origin, row: Row) -> bool:
    """Whether the row's checksum matches, that is, the row is what its origin wrote."""
    return row.checksum == row_checksum(origin, row.sequence, row.kind, row.key, row.timestamp, row.value)
