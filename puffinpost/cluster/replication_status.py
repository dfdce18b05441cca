"""The status of replicated state for operators: the status of a node, and rows of an origin or of a kind.

The keys of these answers are part of the operators' interface and keep their names, which differ from the
code's: ``life`` is an incarnation, ``settled`` whether it has taken over, ``mute`` whether it is read-only,
``seq`` a sequence number, ``floor`` the tombstone floor, ``holes`` damaged rows, ``copies`` replicas,
``places`` the number of keys by kind, ``contested`` that of keys with conflicting rows, ``lacks`` origins of
which a neighbour has more rows, ``taken_back`` a tombstone.
"""

from __future__ import annotations

from collections import Counter
from typing import TypedDict

from puffinpost.replication import catch_up, merge
from puffinpost.replication.gossip import Peer
from puffinpost.replication.hybrid_clock import Timestamp
from puffinpost.replication.member import Member
from puffinpost.replication.range_checksum import checksum_range
from puffinpost.replication.replica import Replica
from puffinpost.replication.replica_set import ReplicaSet
from puffinpost.replication.row_values import MULTI_WRITER_KINDS
from puffinpost.replication.rows import Origin, Row

MAX_ROWS = 20_000  # in one answer
NS_PER_MS = 1_000_000


class ReplicaStatus(TypedDict):
    """The status of one replica."""

    node: str
    life: int
    seq: int
    floor: int
    rows: int
    check: str
    holes: int


class NeighbourStatus(TypedDict):
    """The status of a neighbour; ``heard_ms`` is the time since its last message."""

    heard_ms: int | None
    lacks: int


class NodeStatus(TypedDict):
    """The status of a node, its replicas and its neighbours."""

    node: str
    life: int
    settled: bool
    mute: bool
    check: str
    copies: list[ReplicaStatus]
    places: dict[str, int]
    contested: dict[str, int]
    neighbours: dict[str, NeighbourStatus]


class RowStatus(TypedDict):
    """One row, without its value."""

    node: str
    life: int
    seq: int
    kind: str
    key: str
    at_ms: int
    stamp: Timestamp
    check: str
    taken_back: bool


def node_status(member: Member, now_ns: int) -> NodeStatus:
    """Returns the status of a node, as values for JSON."""
    replicas = member.replicas
    return {
        "node": member.config.name,
        "life": member.origin.incarnation,
        "settled": member.has_taken_over,
        "mute": member.is_read_only,
        "check": f"{replicas.digest():016x}",
        "copies": [_replica_status(*each) for each in sorted(replicas.by_origin.items())],
        "places": Counter(kind for kind, _ in replicas.rows_by_key),
        "contested": _conflicts_by_kind(replicas),
        "neighbours": {
            name: _neighbour_status(replicas, peer, now_ns) for name, peer in member.gossip.peers.items()
        },
    }


def _replica_status(origin: Origin, replica: Replica) -> ReplicaStatus:
    full_range = checksum_range(replica, 0, replica.sequence)
    return {
        "node": origin.node,
        "life": origin.incarnation,
        "seq": replica.sequence,
        "floor": replica.tombstone_floor,
        "rows": full_range.row_count,
        "check": f"{full_range.checksum:016x}",
        "holes": len(replica.damaged),
    }


def _conflicts_by_kind(replicas: ReplicaSet) -> dict[str, int]:
    return Counter(
        kind
        for (kind, _), rows in replicas.rows_by_key.items()
        if kind in MULTI_WRITER_KINDS and merge.has_conflict(rows)
    )


def _neighbour_status(replicas: ReplicaSet, peer: Peer, now_ns: int) -> NeighbourStatus:
    missing_by_position = [catch_up.missing_rows(replicas, position) for position in peer.positions.values()]
    return {
        "heard_ms": (now_ns - peer.last_message_at) // NS_PER_MS if peer.last_message_at > 0 else None,
        "lacks": sum(missing is not None for missing in missing_by_position),
    }


def matching_rows(replicas: ReplicaSet, subject: str) -> list[RowStatus]:
    """Returns the rows of one origin (``node/incarnation``) or of one kind, up to `MAX_ROWS`."""
    matches: list[RowStatus] = []
    for origin, replica in sorted(replicas.by_origin.items()):
        for row in replica.rows_by_sequence.values():
            if subject in (f"{origin.node}/{origin.incarnation}", row.kind) and len(matches) < MAX_ROWS:
                matches.append(_row_status(origin, row))
    return matches


def _row_status(origin: Origin, row: Row) -> RowStatus:
    return {
        "node": origin.node,
        "life": origin.incarnation,
        "seq": row.sequence,
        "kind": row.kind,
        "key": row.key,
        "at_ms": row.timestamp.physical_ms,
        "stamp": row.timestamp,
        "check": f"{row.checksum:016x}",
        "taken_back": row.value is None,
    }
