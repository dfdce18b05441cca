"""Applies a voter's committed log entries to the documents, and compacts the applied log.

`member` calls it after each step of the voter. Only entries that are on disk here are applied.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from puffinpost.consensus.documents import Document, decode_documents
from puffinpost.consensus.messages import command_proposal_id
from puffinpost.consensus.raft import Raft

COMPACTION_INTERVAL = 256  # applied entries after which the log is compacted


class AppliedEntry(NamedTuple):
    """An applied entry: the id of its proposal, if any, and the document before and after it."""

    proposal_id: str
    before: Document | None
    after: Document | None  # None: the entry changed no document


class DocumentApplier:
    """The documents that result from one voter's log."""

    def __init__(self, raft: Raft) -> None:
        self.raft = raft
        self.documents = decode_documents(raft.log.snapshot.state)
        self.documents.state.applied_index = raft.log.snapshot.index

    def load_snapshot(self) -> list[Document]:
        """Loads a leader's snapshot that is newer than the documents and on disk; returns its documents."""
        snapshot = self.raft.log.snapshot
        if snapshot.index <= self.documents.state.applied_index:
            return []
        self.documents = decode_documents(snapshot.state)
        return list(self.documents.documents.values())

    def apply_committed(self) -> Iterator[AppliedEntry]:
        """Applies the entries that are committed and on disk one by one, and then compacts the log if due."""
        raft, state = self.raft, self.documents.state
        # A leader's snapshot that is newer than the documents has to be loaded first.
        can_apply = raft.log.snapshot.index <= state.applied_index
        last_index = min(raft.commit_index, raft.stable_index) if can_apply else 0
        while state.applied_index < last_index:
            index = state.applied_index + 1
            entry = raft.log.entry(index)
            before = self.documents.documents.copy()
            after = self.documents.apply(index, entry.term, entry.command)
            yield AppliedEntry(
                command_proposal_id(entry.command),
                before.get(after.name) if after is not None else None,
                after,
            )
        if state.applied_index - raft.log.snapshot.index >= COMPACTION_INTERVAL:
            raft.compact(state.applied_index, self.documents.encode())
