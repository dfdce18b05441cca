"""Changes to replicated state that have not been written to disk yet.

`ReplicaSet` collects them; a driver merges them and stores them in transactions.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from puffinpost.replication.rows import Origin, Row


@dataclass(slots=True)
class PendingChanges:
    """What one transaction has to store; false in a boolean context if there is nothing.

    ``deleted`` has the origin and sequence number of each deleted row, ``changed_origins`` the origins whose
    position has changed, and ``deleted_origins`` the origins whose whole replica was deleted.
    """

    inserted: list[tuple[Origin, Row]] = field(default_factory=list)
    deleted: list[tuple[Origin, int]] = field(default_factory=list)
    changed_origins: set[Origin] = field(default_factory=set)
    deleted_origins: set[Origin] = field(default_factory=set)

    def __bool__(self) -> bool:
        return bool(self.inserted or self.deleted or self.changed_origins or self.deleted_origins)

    def extend(self, later: PendingChanges) -> None:
        """Appends changes that were made after these."""
        self.inserted += later.inserted
        self.deleted += later.deleted
        self.changed_origins |= later.changed_origins
        self.deleted_origins |= later.deleted_origins

    def compacted(self) -> PendingChanges:
        """Equivalent changes that store each row at most once: rows deleted later are not inserted."""
        deleted = set(self.deleted)
        inserted = {
            (origin, row.sequence): (origin, row)
            for origin, row in self.inserted
            if (origin, row.sequence) not in deleted and origin not in self.deleted_origins
        }
        return PendingChanges(
            list(inserted.values()), list(deleted), self.changed_origins, self.deleted_origins
        )
