"""The replicated documents and their versions: the state machine that the log's commands drive.

`document_applier` feeds it. All nodes that have applied the log up to the same index have the same documents.
A document contains its active and its staged version, with the share of nodes that act on the latter, so that
all nodes agree on a staged rollout too.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from puffinpost.consensus.merged_documents import MERGED_DOCUMENTS, change_problem, merge
from puffinpost.consensus.messages import Command, Decide, ProposalOutcome, Propose

SETTINGS = "settings"
MAX_PREVIOUS_VERSIONS = 20  # of each document, which operators can inspect, compare and roll back to
MAX_OUTCOMES = 256
PENDING_OUTCOMES = (ProposalOutcome.ACCEPTED, ProposalOutcome.REJECTED)
STAGED_OUTCOMES = (ProposalOutcome.PROMOTED, ProposalOutcome.WITHDRAWN)


class Version(msgspec.Struct, frozen=True):
    """A version of a document. ``number``: its log index; ``hash``: see `digest`; ``share``: see `Propose`.

    On disk and between nodes it is a map whose keys are the names given by ``name=``.
    """

    number: int
    term: int
    hash: str
    content: Any
    proposal_id: str = msgspec.field(name="ident")
    author: str = msgspec.field(default="", name="by")
    reason: str = msgspec.field(default="", name="why")
    proposed_at_s: int = msgspec.field(default=0, name="at_s")
    share: float = 1.0


class Document(msgspec.Struct, frozen=True):
    """A document. ``changed_index``: the log index of the last entry that changed it.

    Nodes act on ``staged`` or on ``active``, depending on the staged version's share; no node acts on
    ``pending``.
    """

    name: str
    changed_index: int = msgspec.field(name="changed")
    active: Version | None = None
    staged: Version | None = None
    pending: Version | None = None
    previous: tuple[Version, ...] = msgspec.field(default=(), name="past")

    def latest_number(self) -> int:
        """Returns the highest version number that nodes act on; it never decreases."""
        versions = (self.active, self.staged)
        return max((version.number for version in versions if version is not None), default=0)


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of a proposal, a `ProposalOutcome`, and the log index at which it was decided."""

    proposal_id: str = msgspec.field(name="ident")
    document: str = msgspec.field(name="doc")
    outcome: str
    problem: str
    number: int


class DocumentsState(msgspec.Struct):
    """All documents, as they are stored in a snapshot."""

    applied_index: int = msgspec.field(default=0, name="applied")
    documents: dict[str, Document] = {}
    outcomes: list[Outcome] = []


def digest(content: Any) -> str:
    """Returns the hash of a content (BLAKE2b, 128 bits), computed from its JSON with sorted keys."""
    return hashlib.blake2b(msgspec.json.encode(content, order="sorted"), digest_size=16).hexdigest()


def acts_on_staged(node: str, version: Version) -> bool:
    """Whether a node is in the share that acts on a staged version; the result is the same at every node."""
    node_hash = hashlib.blake2b(f"{node}/{version.proposal_id}".encode(), digest_size=8).digest()
    return int.from_bytes(node_hash, "big") < version.share * 2.0**64


def version_for_node(node: str, document: Document) -> Version | None:
    """Returns the version that a node acts on."""
    staged = document.staged
    return staged if staged is not None and acts_on_staged(node, staged) else document.active


def proposal_id_of(version: Version | None) -> str:
    """Returns the id of the proposal that a version comes from; empty if there is no version."""
    return version.proposal_id if version is not None else ""


class Documents:
    """The state machine. ``apply`` must be called with each of the log's commands once, in order."""

    def __init__(self, state: DocumentsState | None = None) -> None:
        self.state = state or DocumentsState()
        self.documents = self.state.documents

    def outcome(self, proposal_id: str) -> Outcome | None:
        """Returns a proposal's outcome; None if it is undecided or no longer retained."""
        newest_first = reversed(self.state.outcomes)
        return next((outcome for outcome in newest_first if outcome.proposal_id == proposal_id), None)

    def apply(self, index: int, term: int, command: Command) -> Document | None:
        """Applies one entry; returns the document that it changed, if any."""
        assert index == self.state.applied_index + 1, (index, self.state.applied_index)
        self.state.applied_index = index
        changed = None
        if isinstance(command, Propose):
            changed = self._propose(index, term, command)
        elif isinstance(command, Decide):
            changed = self._decide(index, command)
        if changed is not None:
            self.documents[changed.name] = changed
        return changed

    # --- proposals ------------------------------------------------------------------------------------

    def _propose(self, index: int, term: int, proposal: Propose) -> Document | None:
        document = self.documents.get(proposal.document) or Document(proposal.document, 0)
        proposal_id = proposal.proposal_id
        if self.outcome(proposal_id) is not None or proposal_id_of(document.pending) == proposal_id:
            return None  # a duplicate
        if proposal.document in MERGED_DOCUMENTS:
            return self._merge(index, term, document, proposal)
        if document.pending is not None or document.staged is not None:
            problem = "another proposal is not done with yet"
            self._record(proposal_id, document.name, ProposalOutcome.REJECTED, problem, index)
            return None
        pending = Version(
            index,
            term,
            digest(proposal.content),
            proposal.content,
            proposal_id,
            proposal.author,
            proposal.reason,
            proposal.proposed_at_s,
            proposal.share,
        )
        return msgspec.structs.replace(document, changed_index=index, pending=pending)

    def _merge(self, index: int, term: int, document: Document, proposal: Propose) -> Document | None:
        """Merges a change immediately, without a decision."""
        name, proposal_id, active = proposal.document, proposal.proposal_id, document.active
        content = merge(name, active.content if active is not None else None, proposal.content)
        content_hash = digest(content)
        problem = change_problem(name, proposal.content)
        outcome = ProposalOutcome.REJECTED if problem else ProposalOutcome.ACCEPTED
        self._record(proposal_id, name, outcome, problem, index)
        if problem or (active is not None and active.hash == content_hash):
            return None
        version = Version(
            index,
            term,
            content_hash,
            content,
            proposal_id,
            proposal.author,
            proposal.reason,
            proposal.proposed_at_s,
        )
        return _activate(document, index, version)

    # --- decisions ------------------------------------------------------------------------------------

    def _decide(self, index: int, decision: Decide) -> Document | None:
        proposal_id, outcome = decision.proposal_id, decision.outcome
        for document in self.documents.values():
            pending, staged = document.pending, document.staged
            if pending is not None and pending.proposal_id == proposal_id and outcome in PENDING_OUTCOMES:
                return self._decide_pending(index, decision, document, pending)
            if staged is not None and staged.proposal_id == proposal_id and outcome in STAGED_OUTCOMES:
                return self._decide_staged(index, decision, document, staged)
        return None

    def _decide_pending(self, index: int, decision: Decide, document: Document, pending: Version) -> Document:
        self._record(decision.proposal_id, document.name, decision.outcome, decision.problem, index)
        if decision.outcome == ProposalOutcome.REJECTED:
            return msgspec.structs.replace(document, changed_index=index, pending=None)
        accepted = msgspec.structs.replace(pending, number=index)
        if accepted.share < 1.0:
            return msgspec.structs.replace(document, changed_index=index, pending=None, staged=accepted)
        return _activate(document, index, accepted)

    def _decide_staged(self, index: int, decision: Decide, document: Document, staged: Version) -> Document:
        self._record(decision.proposal_id, document.name, decision.outcome, decision.problem, index)
        final = staged if decision.outcome == ProposalOutcome.PROMOTED else document.active
        if final is None:
            return msgspec.structs.replace(document, changed_index=index, staged=None)
        # All nodes act on one content again, under a new version number: numbers never decrease.
        return _activate(document, index, msgspec.structs.replace(final, number=index, share=1.0))

    def _record(self, proposal_id: str, document: str, outcome: str, problem: str, index: int) -> None:
        retained = self.state.outcomes[-MAX_OUTCOMES:]
        self.state.outcomes = [*retained, Outcome(proposal_id, document, outcome, problem, index)]

    # --- snapshots ------------------------------------------------------------------------------------

    def encode(self) -> bytes:
        """Returns the state, encoded for a snapshot."""
        return msgspec.msgpack.encode(self.state)


def decode_documents(state: bytes) -> Documents:
    """Returns the documents of a snapshot; none if it is empty."""
    return Documents(msgspec.msgpack.decode(state, type=DocumentsState) if state else None)


def _activate(document: Document, index: int, version: Version) -> Document:
    previous = document.previous
    if document.active is not None:
        previous = (*previous, document.active)[-MAX_PREVIOUS_VERSIONS:]
    return Document(document.name, index, version, None, None, previous)
