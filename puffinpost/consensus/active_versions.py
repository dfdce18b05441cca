"""The versions that this node acts on, and whether it may act on them at a given moment.

`member` updates them once a change is on disk. Callers check at the start of each request, never in advance.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec

from puffinpost.consensus.documents import SETTINGS, Document, Version, proposal_id_of, version_for_node
from puffinpost.consensus.lease import Lease
from puffinpost.consensus.retained_classes import retained_classes_of


class LostLeasePolicy(StrEnum):
    """Which requests a node without a lease starts; the values are those of the configuration file."""

    RETAINED_CLASSES = "narrow"
    NOTHING = "refuse"
    EVERYTHING = "keep"


class ActiveVersions:
    """One node's documents and its lease.

    ``validate`` returns the problem that keeps this node from acting on a document's content, or nothing.
    ``lost_lease_policy`` is the value of a `LostLeasePolicy`.
    """

    def __init__(self, node: str, lost_lease_policy: str, validate: Callable[[str, Any], str]) -> None:
        self.node, self.validate = node, validate
        self.lost_lease_policy = LostLeasePolicy(lost_lease_policy)
        self.lease = Lease()
        self.documents: dict[str, Document] = {}
        self.problems: dict[str, str] = {}  # by document: why this node cannot act on its version
        self.change_listeners: list[Callable[[str, Version], None]] = []

    def update(self, document: Document) -> bool:
        """Stores a document from the log or a source; returns whether it is newer than the stored one."""
        existing = self.documents.get(document.name)
        if existing is not None and existing.changed_index >= document.changed_index:
            return False
        before = version_for_node(self.node, existing) if existing is not None else None
        self.documents[document.name] = document
        after = version_for_node(self.node, document)
        if after is not None and (before is None or after.number != before.number):
            self._activate(document.name, after)
        return True

    def _activate(self, name: str, version: Version) -> None:
        problem = self.validate(name, version.content)
        self.problems.pop(name, None)
        if problem:
            self.problems[name] = problem
            return
        for listener in self.change_listeners:
            listener(name, version)

    def version(self, name: str = SETTINGS) -> Version | None:
        """Returns the version of a document that this node acts on."""
        document = self.documents.get(name)
        return version_for_node(self.node, document) if document is not None else None

    def versions(self) -> dict[str, Version]:
        """Returns by document the version that this node acts on."""
        versions = ((name, self.version(name)) for name in self.documents)
        return {name: version for name, version in versions if version is not None}

    def encoded_documents_newer_than(self, indexes: dict[str, int]) -> tuple[bytes, ...]:
        """Returns the documents that changed after the given log indexes, encoded for a follower."""
        return tuple(
            msgspec.msgpack.encode(document)
            for document in self.documents.values()
            if document.changed_index > indexes.get(document.name, 0)
        )

    def changed_indexes(self) -> dict[str, int]:
        """Returns by document the log index of its last change."""
        return {name: document.changed_index for name, document in self.documents.items()}

    def undecided_proposals(self) -> set[str]:
        """Returns the ids of pending and staged proposals; the empty id stands for none."""
        return {
            proposal_id_of(version)
            for document in self.documents.values()
            for version in (document.staged, document.pending)
        }

    def is_current(self, now: int) -> bool:
        """Whether this node holds a lease and can act on its version of every document."""
        return self.lease.is_held(now) and not self.problems

    def can_start(self, request_class: str, now: int) -> bool:
        """Whether a new request of a class may be started now."""
        if self.is_current(now):
            return True
        if self.problems or self.lost_lease_policy is LostLeasePolicy.NOTHING:
            return False
        return self.lost_lease_policy is LostLeasePolicy.EVERYTHING or self._is_retained(request_class, now)

    def _is_retained(self, request_class: str, now: int) -> bool:
        version = self.version()
        if version is None:
            return False
        classes, duration_ns = retained_classes_of(version.content)
        return request_class in classes and now < self.lease.expires_at_ns + duration_ns
