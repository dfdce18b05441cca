"""Repair of rows that are missing from a replica: damaged on disk, or found missing by anti-entropy.

`AntiEntropy` and `Member` call these functions; peers' rows are verified before they are stored.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffinpost.replication.messages import RowsResend
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.rows import Origin


def damaged_rows(replicas: ReplicaSet) -> dict[Origin, set[int]]:
    """Sequence numbers of rows that were damaged on disk and are not repaired yet."""
    return {origin: replica.damaged for origin, replica in replicas.by_origin.items() if replica.damaged}


def apply_resend(replicas: ReplicaSet, message: RowsResend) -> int:
    """Stores the rows that a peer resent; returns how many were restored."""
    origin = message.position.origin
    replica = replicas.by_origin.get(origin)
    if replica is None or replicas.is_superseded(origin):
        return 0
    restored = 0
    for row in message.rows:
        present = replica.rows.get(row.row_key)
        is_newer = present is None or present.sequence < row.sequence
        if row.sequence <= replica.sequence and is_newer and replicas.accepts(origin, row):
            replicas.put_row(origin, replica, row)
            restored += 1
    # A row that is not live at a peer that has applied all writes up to it has been overwritten.
    resolved = [
        sequence
        for sequence in message.sequences
        if sequence in replica.rows_by_sequence or sequence <= message.position.sequence
    ]
    resolve_damaged(replicas, origin, resolved)
    return restored


def resolve_damaged(replicas: ReplicaSet, origin: Origin, sequences: Iterable[int]) -> None:
    """Ends the repair of rows that were restored, are known to be overwritten, or are given up."""
    replica = replicas.by_origin[origin]
    resolved = replica.damaged & set(sequences)
    if not resolved:
        return
    replicas.changes.deleted += [
        (origin, sequence) for sequence in resolved if sequence not in replica.rows_by_sequence
    ]
    replica.damaged -= resolved
    replicas.mark_position_changed(origin)
