"""The replicated log, and the state that a voter keeps on disk. Indexes start at 1.

`raft_state` holds the log of a voter. Applied entries are replaced by a snapshot of the resulting state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from puffinpost.consensus.messages import Entry, Voters


class HardState(NamedTuple):
    """The state that is on disk before a message of its term is sent; stored as an array in this order."""

    term: int
    voted_for: str


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after applying the entries up to ``index``, and the voters at that index."""

    index: int = 0
    term: int = 0
    voters: dict[str, str] = {}
    state: bytes = b""


class Log:
    """A snapshot and the entries after it."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = entries

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def term(self, index: int) -> int | None:
        """Returns the term of an entry; 0 before the first; None if it was compacted or is not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def entry(self, index: int) -> Entry:
        """Returns an entry, which must not have been compacted."""
        return self.entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, limit: int) -> tuple[Entry, ...]:
        """Returns at most ``limit`` entries after an index, which must not be older than the snapshot."""
        offset = index - self.snapshot.index
        return tuple(self.entries[offset : offset + limit])

    def append(self, entry: Entry) -> int:
        """Appends an entry and returns its index."""
        self.entries.append(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all entries after it."""
        del self.entries[index - self.snapshot.index - 1 :]

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to an applied index with a snapshot of ``state``."""
        term = self.term(index)
        assert term is not None
        snapshot = Snapshot(index, term, self.voters(index), state)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = snapshot

    def voters(self, up_to: int | None = None) -> dict[str, str]:
        """Returns the voters of the last `Voters` entry, effective once it is in the log (thesis, 4.1)."""
        end = len(self.entries) if up_to is None else up_to - self.snapshot.index
        for entry in reversed(self.entries[:end]):
            if isinstance(entry.command, Voters):
                return entry.command.voters
        return self.snapshot.voters


@dataclass(slots=True)
class PersistentState:
    """The state that a voter keeps on disk (Raft, figure 2)."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=lambda: Log(Snapshot(), []))
