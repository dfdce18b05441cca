"""Messages between members about replicated state, sent as MessagePack arrays.

Tags and the order of fields are the wire format and must not change; names of classes and fields may. Ranges
of sequence numbers are half open: (``after``, ``through``]. Sizes are in bytes.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from puffinpost.replication.rows import Origin, Row


class ReplicationMessage(msgspec.Struct, array_like=True):
    """The base of all messages about replicated state."""


class ReplicaPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a node's replica of an origin has advanced: all writes up to ``sequence`` are applied.

    Tombstones up to ``tombstone_floor`` have been discarded.
    """

    origin: Origin
    sequence: int
    tombstone_floor: int


class VersionVector(ReplicationMessage, tag="Have"):
    """The sender's positions: all of them if ``complete``, otherwise those that have changed."""

    positions: list[ReplicaPosition]
    complete: bool = False


class DigestRequest(ReplicationMessage, tag="Look"):
    """A digest of all the sender's positions; if the receiver's differs, it answers with a version vector."""

    digest: int


class MissingRows(msgspec.Struct, frozen=True, array_like=True):
    """The rows of an origin that the sender is missing: those after ``after``.

    The other fields are the state of the sender's replica, see `Replica`.
    """

    origin: Origin
    after: int
    tombstone_floor: int
    pruning_floor: int = 0
    pruned_through: int = 0


class RowsRequest(ReplicationMessage, tag="Want"):
    """Asks for rows; answered by one `RowsResponse` when the receiver's rate limit allows."""

    missing: list[MissingRows]


class RowChunk(msgspec.Struct, frozen=True, array_like=True):
    """The live rows of an origin in a range of sequence numbers, in order.

    If ``live_sequences`` is not None, the chunk has no rows: it lists the sequence numbers in the range that
    are still live as of ``tombstone_floor``, so that the receiver can prune all others.
    """

    origin: Origin
    after: int
    through: int
    tombstone_floor: int
    rows: list[Row]
    live_sequences: list[int] | None = None


class RowsResponse(ReplicationMessage, tag="Rows"):
    """The answer to a `RowsRequest`, as far as the rate limit and the maximum message size allow."""

    chunks: list[RowChunk]


class RangeChecksum(msgspec.Struct, frozen=True, array_like=True):
    """The number of an origin's live rows in a range, and the exclusive or of their checksums."""

    after: int
    through: int
    row_count: int
    checksum: int


class RangeChecksums(ReplicationMessage, tag="Audit"):
    """Compares one replica by ranges; ignored by a receiver whose position differs."""

    position: ReplicaPosition
    ranges: list[RangeChecksum]


class LiveRows(ReplicationMessage, tag="Standing"):
    """All live sequence numbers in a range at the sender.

    A receiver at the same position requests the rows that it is missing.
    """

    position: ReplicaPosition
    after: int
    through: int
    sequences: list[int]


class ResendRequest(ReplicationMessage, tag="Fetch"):
    """Asks for rows by their sequence numbers; answered by `RowsResend`."""

    origin: Origin
    sequences: list[int]


class RowsResend(ReplicationMessage, tag="Again"):
    """The answer to a `ResendRequest`: the requested sequence numbers, and the rows live at the sender."""

    position: ReplicaPosition
    sequences: list[int]
    rows: list[Row]


Message: TypeAlias = (
    VersionVector
    | DigestRequest
    | RowsRequest
    | RowsResponse
    | RangeChecksums
    | LiveRows
    | ResendRequest
    | RowsResend
)
