"""The messages between the nodes of a cluster, and the commands in the replicated log.

All are msgspec structs in MessagePack. Tags and the order of fields define the format on the wire and on
disk; the names of classes and fields do not. Terms, log indexes and version numbers start at 1; 0 stands for
none. Times are ns of the sending node's clock, and only that node compares them.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

import msgspec

PROTOCOL_VERSION = 1  # in `Hello`; nodes of another version are rejected


class MessageBase(msgspec.Struct, array_like=True):
    """Base of all messages and commands: an array that starts with the tag."""


class ProposalOutcome(StrEnum):
    """The outcome of a proposal, as it is stored in the log and shown to operators."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    STAGED = "staged"
    PROMOTED = "promoted"
    WITHDRAWN = "withdrawn"


# --- commands: the entries of the log ----------------------------------------------------------------


class Noop(MessageBase, tag="Noop"):
    """The first entry of a term, which commits the entries before it (Raft, section 8)."""


class Voters(MessageBase, tag="Voters"):
    """The voters by name, each with the identity of its store."""

    voters: dict[str, str]


class Propose(MessageBase, tag="Propose"):
    """A proposal of a document's next version.

    ``proposal_id`` is chosen by the proposer and makes a repeated proposal idempotent. ``share``: the
    fraction of the nodes that act on the version first; 1: all nodes at once.
    """

    proposal_id: str
    document: str
    content: Any
    author: str = ""
    reason: str = ""
    proposed_at_s: int = 0
    share: float = 1.0


class Decide(MessageBase, tag="Decide"):
    """The leader's decision on a proposal.

    ``outcome`` is a `ProposalOutcome` other than ``staged``. It is decoded as text, so that an outcome that
    a later release adds can be ignored.
    """

    proposal_id: str
    outcome: str
    problem: str = ""


Command: TypeAlias = Noop | Voters | Propose | Decide


def command_proposal_id(command: Command) -> str:
    """Returns the id of the proposal that a command belongs to; empty if it belongs to none."""
    return command.proposal_id if isinstance(command, Propose | Decide) else ""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    term: int
    command: Command


# --- Raft: D. Ongaro and J. Ousterhout (2014), figures 2 and 13 ----------------------------------------


class RequestVote(MessageBase, tag="Vote"):
    """RequestVote. ``is_pre_vote``: sent before the term is incremented (Ongaro's thesis, section 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool = False


class RequestVoteReply(MessageBase, tag="Voted"):
    """The reply to ``RequestVote``."""

    term: int
    granted: bool
    is_pre_vote: bool = False


class AppendEntries(MessageBase, tag="Append"):
    """AppendEntries, also used as a heartbeat. ``sent_at_ns``: the leader's clock; the reply returns it."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    sent_at_ns: int


class InstallSnapshot(MessageBase, tag="Install"):
    """InstallSnapshot. It is sent in one piece, since documents are small."""

    term: int
    last_included_index: int
    last_included_term: int
    voters: dict[str, str]
    state: bytes
    sent_at_ns: int


class AppendEntriesReply(MessageBase, tag="Appended"):
    """The reply to ``AppendEntries`` and ``InstallSnapshot``.

    ``match_index`` without ``success`` is the index after which the leader retries.
    """

    term: int
    success: bool
    match_index: int
    sent_at_ns: int


RaftMessage: TypeAlias = RequestVote | RequestVoteReply | AppendEntries | InstallSnapshot | AppendEntriesReply


# --- leases: how followers receive versions, and until when they may act on them -----------------------


class Rejection(NamedTuple):
    """A node that cannot act on a proposal."""

    proposal_id: str
    node: str
    problem: str


class NodeReport(NamedTuple):
    """The state of one node as text, and the age of that report."""

    node: str
    description: str
    age_ms: int


class Summary(MessageBase, tag="Summary"):
    """What a node and all of its followers report. Its size is bounded, whatever their number.

    ``rejections`` and ``node_reports`` are limited in number. ``response_count`` and ``failure_count`` are of
    responses to clients, sent by nodes that act on a staged version.
    """

    node_count: int = 0
    ready_counts: dict[str, int] = {}  # by proposal: nodes that can act on it
    rejections: list[Rejection] = []
    version_counts: dict[str, int] = {}  # by document and version: nodes that act on it
    node_reports: list[NodeReport] = []
    response_count: int = 0
    failure_count: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether it counts no node, which withdraws the summary that the sender reported before."""
        return self.node_count == 0


class LeaseRequest(MessageBase, tag="Renew"):
    """A follower's request to its source to confirm that its documents are current.

    ``requested_at_ns``: the follower's clock; the reply returns it. ``document_indexes``: by document, the
    log index of its last change. With an empty ``summary`` it requests no lease: the sender has chosen
    another source. A node of an earlier version takes it for a report of no node, and replies in vain.
    """

    requested_at_ns: int
    document_indexes: dict[str, int]
    summary: Summary
    proposals: tuple[Propose, ...] = ()


class ProposalResult(NamedTuple):
    """A proposal's outcome, and the problem that caused it, if any."""

    outcome: str
    problem: str


class LeaseReply(MessageBase, tag="Lease"):
    """The reply to ``LeaseRequest``.

    It confirms that the follower's documents, updated with ``changed_documents``, are current for
    ``remaining_ns`` from its request. ``requested_at_ns`` 0: a notification of changed documents that was not
    requested and extends no lease. ``remaining_ns`` 0: the source holds no lease. ``at_capacity``: the source
    accepts no more followers. ``outcomes``: the results of the proposals in the request, by id.
    """

    requested_at_ns: int
    remaining_ns: int
    changed_documents: tuple[bytes, ...]
    leader: str = ""
    at_capacity: bool = False
    outcomes: dict[str, ProposalResult] = {}


class Hello(MessageBase, tag="Hello"):
    """The first frame on a link, in each direction.

    ``can_vote``: the node is configured as a voter and has a store. ``voters``: the voters in the node's log;
    empty until it has taken part in a bootstrap. ``capabilities``: further protocols that it supports.
    """

    cluster: str
    protocol: int
    name: str
    identity: str
    can_vote: bool = False
    voters: dict[str, str] = {}
    capabilities: tuple[str, ...] = ()


Message: TypeAlias = RaftMessage | LeaseRequest | LeaseReply | Hello


# --- operators on the node's machine -----------------------------------------------------------------


class QueryKind(StrEnum):
    """What an operator's query asks for."""

    STATUS = "status"
    DOCUMENT = "document"
    PROPOSE = "offer"
    OUTCOME = "outcome"
    REPLICA = "replica"


class OperatorQuery(MessageBase, tag="Ask"):
    """A query. ``kind`` is a `QueryKind`; any other text is answered as ``status``.

    ``subject``: the document, the proposal or the rows that the query is about.
    """

    kind: str
    subject: str = ""
    proposal: Propose | None = None


class OperatorReply(MessageBase, tag="Told"):
    """The reply to ``OperatorQuery``, as JSON."""

    body: bytes


Frame: TypeAlias = Message | OperatorQuery | OperatorReply
