"""All replicas at a node: what each origin has written, as far as it is known here.

R. van Renesse et al., Efficient Reconciliation and Flow Control for Anti-Entropy Protocols (2008): each
origin numbers its writes, a replica is a prefix of them in which only the last write under a key is live, and
one sequence number describes all that a replica is missing. `catch_up` and `repair` apply what peers send.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from puffinpost.replication.messages import ReplicaPosition
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.replica import Replica
from puffinpost.replication.rows import Origin, Row, RowKey, is_intact


class ReplicaSet:
    """Replicas by origin, and an index of their rows by key.

    Replicas of one origin never conflict; rows that several origins write under one key are merged when they
    are read (`merge`). ``is_plausible`` returns whether a row's timestamp can be accepted now; ``count``
    increments a counter by name.
    """

    def __init__(self, is_plausible: Callable[[Row], bool], count: Callable[[str], None]) -> None:
        self.is_plausible = is_plausible
        self.count = count
        self.by_origin: dict[Origin, Replica] = {}
        self.rows_by_key: dict[RowKey, dict[Origin, Row]] = {}
        self.latest_incarnations: dict[str, int] = {}  # by node, the one that has superseded all earlier ones
        self.changes = PendingChanges()  # taken by the member for the driver to store
        self.unannounced: set[Origin] = set()  # whose positions have changed; cleared by the announcement
        self.changed_keys: set[RowKey] = set()  # taken by the member for the driver to report

    # --- local writes -------------------------------------------------------------------------------

    def append(self, origin: Origin, row: Row) -> None:
        """Applies the next write of this node's own origin."""
        replica = self.get_or_create(origin)
        assert row.sequence == replica.sequence + 1, (row.sequence, replica.sequence)
        self.put_row(origin, replica, row)
        replica.sequence = row.sequence
        self.mark_position_changed(origin)

    def discard_tombstones(self, origin: Origin, before_ms: int) -> int:
        """Discards this node's own tombstones from before ``before_ms``, and returns their number."""
        replica = self.get_or_create(origin)
        expired = [
            row.sequence
            for row in replica.rows_by_sequence.values()
            if row.value is None and row.timestamp.physical_ms < before_ms
        ]
        if expired:
            self.raise_tombstone_floor(origin, replica, expired[-1])
        return len(expired)

    def supersede(self, node: str, incarnation: int, adopted_through: dict[int, int]) -> list[Row]:
        """Deletes the replicas of a node's earlier incarnations permanently.

        Returns their rows after the sequence numbers in ``adopted_through``. The new incarnation has not
        adopted these: a node that has them must write them again, or a write that reached only that node
        would be lost.
        """
        if incarnation <= self.latest_incarnations.get(node, 0):
            return []
        self.latest_incarnations[node] = incarnation
        earlier = [
            origin for origin in self.by_origin if origin.node == node and origin.incarnation < incarnation
        ]
        not_adopted: list[Row] = []
        for origin in earlier:
            replica = self.by_origin.pop(origin)
            not_adopted += replica.rows_between(adopted_through.get(origin.incarnation, 0), replica.sequence)
            for row in replica.rows.values():
                self._unindex(origin, row)
            self.changes.deleted_origins.add(origin)
            self.unannounced.discard(origin)
        return not_adopted

    # --- queries ------------------------------------------------------------------------------------

    def positions(self) -> list[ReplicaPosition]:
        """The positions of all replicas, as announced to peers."""
        return [self.position(origin) for origin in self.by_origin]

    def position(self, origin: Origin) -> ReplicaPosition:
        """The position of one replica, as announced to peers: it ends before the first damaged row."""
        replica = self.by_origin.get(origin)
        if replica is None:
            return ReplicaPosition(origin, 0, 0)
        return ReplicaPosition(origin, replica.intact_through(), replica.tombstone_floor)

    def last_sequence(self, origin: Origin) -> int:
        """The sequence number of the origin's last write that was applied here."""
        replica = self.by_origin.get(origin)
        return replica.sequence if replica is not None else 0

    def stored_positions(self) -> dict[Origin, ReplicaPosition]:
        """Positions as stored on disk, not limited by damaged rows, which stay there until repaired."""
        return {
            origin: ReplicaPosition(origin, replica.sequence, replica.tombstone_floor)
            for origin, replica in self.by_origin.items()
        }

    def digest(self) -> int:
        """A digest of all positions; nodes with equal positions have equal digests."""
        text = "".join(
            f"{position.origin.node}\0{position.origin.incarnation}\0"
            f"{position.sequence}\0{position.tombstone_floor}\0"
            for position in sorted(self.positions(), key=lambda each: each.origin)
        )
        return xxhash.xxh3_64_intdigest(text.encode())

    def is_superseded(self, origin: Origin) -> bool:
        """Whether a later incarnation of the origin's node has taken over."""
        return origin.incarnation < self.latest_incarnations.get(origin.node, 0)

    def rows_at(self, kind: str, key: str) -> dict[Origin, Row]:
        """The rows of all origins under a key, tombstones included."""
        return self.rows_by_key.get((kind, key), {})

    def row_count(self) -> int:
        """The number of live rows and tombstones in all replicas."""
        return sum(len(replica.rows) for replica in self.by_origin.values())

    # --- persistence --------------------------------------------------------------------------------

    def load(self, positions: list[ReplicaPosition], rows: list[tuple[Origin, Row]]) -> None:
        """Restores what was stored on disk. Damaged rows are left out and requested from peers again."""
        for position in positions:
            replica = self.get_or_create(position.origin)
            replica.sequence = position.sequence
            replica.tombstone_floor = position.tombstone_floor
        for origin, row in rows:
            self._load_row(origin, row)
        self.changes = PendingChanges()
        self.unannounced |= self.by_origin.keys()

    def _load_row(self, origin: Origin, row: Row) -> None:
        replica = self.by_origin.get(origin)
        if replica is not None and row.sequence <= replica.sequence and is_intact(origin, row):
            self.put_row(origin, replica, row)
            return
        self.count("replica_damaged")
        if replica is not None:
            replica.damaged.add(row.sequence)

    # --- changes, for this package only -------------------------------------------------------------

    def get_or_create(self, origin: Origin) -> Replica:
        """The replica of an origin; a new, empty one if there is none."""
        replica = self.by_origin.get(origin)
        if replica is None:
            replica = self.by_origin[origin] = Replica()
        return replica

    def accepts(self, origin: Origin, row: Row) -> bool:
        """Whether a row from a peer is intact and its timestamp plausible; counts rejected rows."""
        if not is_intact(origin, row):
            self.count("replica_damaged")
            return False
        if not self.is_plausible(row):
            self.count("replica_ahead")
            return False
        return True

    def put_row(self, origin: Origin, replica: Replica, row: Row) -> None:
        """Stores a row in its origin's replica and in the index."""
        previous = replica.rows.get(row.row_key)
        replica.put(row)
        self.rows_by_key.setdefault(row.row_key, {})[origin] = row
        self.changed_keys.add(row.row_key)
        self.changes.inserted.append((origin, row))
        if previous is not None:
            self.changes.deleted.append((origin, previous.sequence))

    def remove_row(self, origin: Origin, replica: Replica, sequence: int) -> None:
        """Removes a row from its origin's replica and from the index, if it is there."""
        row = replica.remove(sequence)
        if row is not None:
            self._unindex(origin, row)
            self.changes.deleted.append((origin, sequence))

    def raise_tombstone_floor(self, origin: Origin, replica: Replica, floor: int) -> None:
        """Raises the tombstone floor to a sequence number, and discards the tombstones up to it."""
        for row in [each for each in replica.rows_between(0, floor) if each.value is None]:
            self.remove_row(origin, replica, row.sequence)
        replica.tombstone_floor = floor
        self.mark_position_changed(origin)

    def mark_position_changed(self, origin: Origin) -> None:
        """Marks the position of a replica to be announced and stored."""
        self.unannounced.add(origin)
        self.changes.changed_origins.add(origin)

    def _unindex(self, origin: Origin, row: Row) -> None:
        rows = self.rows_by_key[row.row_key]
        del rows[origin]
        if not rows:
            del self.rows_by_key[row.row_key]
        self.changed_keys.add(row.row_key)
