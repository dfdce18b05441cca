"""Catch-up: determines which rows a replica is missing, and reads and applies the chunks that contain them.

A replica that lags behind the tombstone floor of the sender first learns which of its rows are still live and
prunes the others, because the tombstones that would have removed them were discarded. `Gossip` and
`RowServer` call these functions.
"""

from __future__ import annotations

from puffinpost.replication.messages import MissingRows, ReplicaPosition, RowChunk
from puffinpost.replication.replica import Replica
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.rows import Origin, Row

SEQUENCE_BYTES = 4  # approximate size of one live sequence number in a chunk


def missing_rows(replicas: ReplicaSet, remote: ReplicaPosition) -> MissingRows | None:
    """What to request from a peer that is at a position; None if it has nothing new.

    If only the peer's tombstone floor is ahead, the floor of this node's replica is raised immediately.
    """
    origin = remote.origin
    replica = replicas.by_origin.get(origin)
    if replicas.is_superseded(origin):
        return None
    if replica is None:
        return MissingRows(origin, 0, 0) if remote.sequence else None
    if remote.tombstone_floor > replica.tombstone_floor and replica.sequence >= remote.tombstone_floor:
        replicas.raise_tombstone_floor(origin, replica, remote.tombstone_floor)
    if remote.sequence <= replica.sequence:
        return None
    return MissingRows(
        origin, replica.sequence, replica.tombstone_floor, replica.pruning_floor, replica.pruned_through
    )


def read_chunk(replicas: ReplicaSet, missing: MissingRows, max_bytes: int) -> RowChunk | None:
    """The next chunk for a peer, of about ``max_bytes`` and at least one row; None if nothing is missing."""
    origin = missing.origin
    replica = replicas.by_origin.get(origin)
    last = replica.intact_through() if replica is not None else 0
    if replica is None or last <= missing.after:
        return None
    floor = replica.tombstone_floor
    if 0 < missing.after < floor and missing.tombstone_floor < floor:
        pruned_through = missing.pruned_through if missing.pruning_floor == floor else 0
        if pruned_through < missing.after:
            return _live_sequences_chunk(origin, replica, pruned_through, missing.after, max_bytes)
    rows, through = _rows_up_to(replica, missing.after, last, max_bytes)
    return RowChunk(origin, missing.after, through, floor, rows)


def _rows_up_to(replica: Replica, after: int, last: int, max_bytes: int) -> tuple[list[Row], int]:
    """Rows of about ``max_bytes``, and the sequence number up to which they include all live rows."""
    rows: list[Row] = []
    bytes_left = max_bytes
    for row in replica.rows_between(after, last):
        if rows and bytes_left < row.wire_size():
            return rows, rows[-1].sequence
        bytes_left -= row.wire_size()
        rows.append(row)
    return rows, last


def _live_sequences_chunk(
    origin: Origin, replica: Replica, after: int, through: int, max_bytes: int
) -> RowChunk:
    sequences: list[int] = []
    for row in replica.rows_between(after, through):
        if SEQUENCE_BYTES * len(sequences) >= max_bytes:
            through = sequences[-1]
            break
        sequences.append(row.sequence)
    return RowChunk(origin, after, through, replica.tombstone_floor, [], sequences)


def apply_chunk(replicas: ReplicaSet, chunk: RowChunk) -> bool:
    """Applies a chunk from a peer; returns whether the replica advanced.

    A chunk that is late, duplicated or out of order, or that requires pruning not done yet, changes nothing.
    """
    origin = chunk.origin
    if replicas.is_superseded(origin):
        return False
    replica = replicas.get_or_create(origin)
    if chunk.live_sequences is not None:
        return _prune(replicas, replica, chunk)
    if chunk.after > replica.sequence or chunk.through <= replica.sequence:
        return False
    sequence_before = replica.sequence
    if not _advance_floor(replicas, replica, chunk):
        return False
    if _apply_rows(replicas, replica, chunk):
        replica.sequence = max(replica.sequence, chunk.through)
        if chunk.tombstone_floor > replica.tombstone_floor:
            replicas.raise_tombstone_floor(origin, replica, chunk.tombstone_floor)
    if replica.sequence > sequence_before:
        replicas.mark_position_changed(origin)
    return replica.sequence > sequence_before


def _advance_floor(replicas: ReplicaSet, replica: Replica, chunk: RowChunk) -> bool:
    """Raises the tombstone floor if the chunk's is ahead of this replica; False while pruning is incomplete.

    The chunk contains no tombstones up to its floor, so the replica must not wait for them.
    """
    if not replica.sequence < chunk.tombstone_floor > replica.tombstone_floor:
        return True
    pruned = replica.pruning_floor, replica.pruned_through
    if replica.sequence and pruned != (chunk.tombstone_floor, replica.sequence):
        return False
    replica.pruning_floor = replica.pruned_through = 0
    replicas.raise_tombstone_floor(chunk.origin, replica, chunk.tombstone_floor)
    return True


def _apply_rows(replicas: ReplicaSet, replica: Replica, chunk: RowChunk) -> bool:
    """Applies the chunk's rows in order; returns False if one was rejected, which skips the rows after it."""
    for row in chunk.rows:
        if row.sequence <= replica.sequence:
            continue
        if not replicas.accepts(chunk.origin, row):
            return False
        replicas.put_row(chunk.origin, replica, row)
        replica.sequence = row.sequence
        if row.value is None and row.sequence <= replica.tombstone_floor:
            replicas.remove_row(chunk.origin, replica, row.sequence)
    return True


def _prune(replicas: ReplicaSet, replica: Replica, chunk: RowChunk) -> bool:
    """Removes rows in the chunk's range that are no longer live; returns whether the chunk was in order."""
    pruned_through = replica.pruned_through if replica.pruning_floor == chunk.tombstone_floor else 0
    if chunk.after != pruned_through or not pruned_through < chunk.through <= replica.sequence:
        return False
    live = set(chunk.live_sequences or ())
    dead = [row for row in replica.rows_between(chunk.after, chunk.through) if row.sequence not in live]
    for row in dead:
        replicas.remove_row(chunk.origin, replica, row.sequence)
    replica.pruning_floor = chunk.tombstone_floor
    replica.pruned_through = chunk.through
    return True
