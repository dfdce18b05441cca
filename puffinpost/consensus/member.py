"""One node of the cluster, a voter or a follower, without I/O.

The driver passes in messages and the time, writes what `take_output` returns to disk, then sends its
messages, and then calls `persisted`. Only in that call does the node begin to act on a version.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from puffinpost.consensus.active_versions import ActiveVersions
from puffinpost.consensus.document_applier import DocumentApplier
from puffinpost.consensus.documents import Document, Documents
from puffinpost.consensus.followers import Followers
from puffinpost.consensus.leadership import Leadership
from puffinpost.consensus.lease_renewal import LeaseRenewal
from puffinpost.consensus.log import PersistentState
from puffinpost.consensus.member_config import InjectedFault, MemberConfig
from puffinpost.consensus.messages import (
    PROTOCOL_VERSION,
    AppendEntries,
    AppendEntriesReply,
    Hello,
    InstallSnapshot,
    LeaseReply,
    LeaseRequest,
    Message,
    ProposalResult,
    Propose,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
    Summary,
)
from puffinpost.consensus.output import LeaseGrant, Output, Ready
from puffinpost.consensus.proposals import Proposals
from puffinpost.consensus.raft import Raft
from puffinpost.consensus.raft_state import Role
from puffinpost.consensus.summary import StagedResponseCounts, combine_summaries, summarize_node
from puffinpost.consensus.voters import bootstrap_voters

NOT_REQUESTED_NS = 0  # the request's time in a message that neither requests a lease nor answers a request


class Member:
    """A node. ``persistent_state``: the state that it had on disk; None for a node that only follows.

    ``validate`` returns the problem that keeps this node from acting on a document's content, or nothing.
    """

    def __init__(
        self,
        config: MemberConfig,
        identity: str,
        persistent_state: PersistentState | None,
        rng: random.Random,
        now: int,
        validate: Callable[[str, Any], str],
    ) -> None:
        self.config, self.identity = config, identity
        self.now = now
        self.active_versions = ActiveVersions(config.name, config.lost_lease_policy, validate)
        self.proposals = Proposals()
        self.raft: Raft | None = None
        self.applier: DocumentApplier | None = None
        self._empty_documents = Documents()
        self.leadership: Leadership | None = None
        if persistent_state is not None:
            interval_ns = config.heartbeat_interval_ns
            self.raft = Raft(config.name, identity, persistent_state, interval_ns, rng, now)
            self.applier = DocumentApplier(self.raft)
            self.leadership = Leadership(config, self.raft, self.active_versions, self.proposals)
        self.response_counts = StagedResponseCounts()
        self.followers = Followers(config)
        self.renewal = LeaseRenewal(config, rng, now)
        self.hellos: dict[str, Hello] = {}
        self.leader = ""
        self.capabilities: tuple[str, ...] = ()  # further protocols that this node supports
        self.identity_mismatches = 0  # messages from voters with an unexpected identity
        self._messages: list[tuple[str, Message]] = []
        self._replies: list[tuple[Any, Message]] = []
        self._updated_documents: list[Document] = []
        self._lease_grant = LeaseGrant()

    @property
    def documents(self) -> Documents:
        """The documents according to this voter's log; none at a follower."""
        return self.applier.documents if self.applier is not None else self._empty_documents

    # --- called by the driver -------------------------------------------------------------------------

    def hello(self) -> Hello:
        """Returns the first message to send on a link."""
        config = self.config
        voters = self.raft.log.voters() if self.raft is not None else {}
        can_vote = self.raft is not None and config.name in config.voters
        return Hello(
            config.cluster, PROTOCOL_VERSION, config.name, self.identity, can_vote, voters, self.capabilities
        )

    def take_output(self) -> Output:
        """Returns what has to be written and sent, since the last call."""
        raft = self.raft
        ready = raft.take_ready() if raft is not None else Ready()
        ready.messages += self._messages
        output = Output(
            ready,
            self._replies,
            raft.log.last_index if raft is not None else 0,
            raft.truncation_count if raft is not None else 0,
            self._updated_documents,
            self._lease_grant,
        )
        self._messages, self._replies, self._updated_documents = [], [], []
        self._lease_grant = LeaseGrant()
        return output

    def persisted(self, output: Output) -> None:
        """Records that an output is on disk and sent: from now on this node may act on it."""
        newer = [document for document in output.updated_documents if self.active_versions.update(document)]
        self._notify_followers(newer)
        self.active_versions.lease.extend(*output.lease_grant)
        if self.raft is None or self.applier is None:
            return
        self.raft.persisted(output.last_index, output.truncation_count)
        for document in self.applier.load_snapshot():
            self.active_versions.update(document)
        self._apply_committed()

    def tick(self, now: int) -> None:
        """Runs elections, heartbeats, decisions and the renewal of the lease as they are due."""
        self.now = now
        if self.raft is not None and self.leadership is not None:
            self.raft.tick(now)
            self._apply_committed()
            self.leader = self.raft.leader or self.leader
            self.leadership.tick(self.documents, self.summary, now)
        if now >= self.renewal.due_ns:
            self._renew_lease(now)

    def next_due_ns(self) -> int:
        """Returns when `tick` has something to do next, on this node's clock."""
        raft = self.raft
        if raft is None or not (raft.role is Role.LEADER or raft.is_voter()):
            return self.renewal.due_ns
        return min(self.renewal.due_ns, raft.next_due_ns())

    def receive(self, sender: str, identity: str, message: Message, now: int, reply_to: Any = None) -> None:
        """Handles a message from a link whose remote end introduced itself with this name and identity."""
        self.now = now
        match message:
            case Hello():
                self.hellos[sender] = message
                self._messages += bootstrap_voters(
                    self.raft, self.config, self.identity, self.hellos, self.hello
                )
            case LeaseRequest():
                self._on_lease_request(sender, message, now, reply_to or sender)
            case LeaseReply():
                self._on_lease_reply(message)
            case (
                RequestVote()
                | RequestVoteReply()
                | AppendEntries()
                | AppendEntriesReply()
                | InstallSnapshot()
            ):
                self._on_raft_message(sender, identity, message, now)

    def propose(self, proposal: Propose) -> None:
        """Opens a proposal of an operator of this node or of a follower. Idempotent."""
        proposal_id, undecided = proposal.proposal_id, self.active_versions.undecided_proposals()
        if self.outcome(proposal_id) is None and proposal_id not in undecided:
            self.proposals.add(proposal)

    def renew_now(self) -> None:
        """Makes the next tick renew the lease, which forwards open proposals."""
        self.renewal.due_ns = 0

    def outcome(self, proposal_id: str) -> ProposalResult | None:
        """Returns a proposal's outcome; None if this node does not know it."""
        outcome = self.documents.outcome(proposal_id)
        if outcome is not None:
            return ProposalResult(outcome.outcome, outcome.problem)
        return self.proposals.outcomes.get(proposal_id)

    def can_start(self, request_class: str, now: int) -> bool:
        """Whether a new request of a class may be started now."""
        ignores_lease = InjectedFault.LEASE_IGNORED in self.config.faults
        return ignores_lease or self.active_versions.can_start(request_class, now)

    def summary(self, now: int) -> Summary:
        """Returns what this node and all of its followers report."""
        local_summary = summarize_node(self.config.name, self.active_versions, self.response_counts, now)
        versions = self.active_versions.versions().items()
        current = {name: f"{name}@{version.number}" for name, version in versions}
        return combine_summaries([(local_summary, 0), *self.followers.recent_summaries(now)], current)

    # --- voting and applying --------------------------------------------------------------------------

    def _on_raft_message(self, sender: str, identity: str, message: RaftMessage, now: int) -> None:
        raft = self.raft
        if raft is None:
            return
        expected = (raft.log.voters() | raft.learners).get(sender)
        is_vote = isinstance(message, RequestVote | RequestVoteReply) and raft.is_voter()
        # A voter that lost its store has a new identity, and must not vote again in the same term. Entries
        # from a leader that was removed from the voters are still accepted, so that it can finish its work.
        if expected != identity and (expected is not None or is_vote):
            self.identity_mismatches += 1
            return
        raft.receive(sender, message, now)
        self._apply_committed()

    def _apply_committed(self) -> None:
        assert self.applier is not None and self.leadership is not None
        for applied in self.applier.apply_committed():
            if applied.after is not None:
                self.leadership.on_document_changed(applied.before, applied.after, self.now)
                self.active_versions.update(applied.after)
                # Stored as a document too: after a restart its log entry may not be known as committed yet.
                self._updated_documents.append(applied.after)
                self._notify_followers([applied.after])
            self.proposals.close(applied.proposal_id)
            self.leadership.on_applied(applied.proposal_id)

    def _notify_followers(self, documents: list[Document]) -> None:
        """Sends changed documents without a lease, for which followers continue to send requests."""
        if not documents:
            return
        self.renewal.renew_soon(self.now)
        encoded = tuple(msgspec.msgpack.encode(document) for document in documents)
        notification = LeaseReply(NOT_REQUESTED_NS, 0, encoded, self.leader)
        self._replies += [(link, notification) for link in self.followers.notification_links()]

    # --- leases ---------------------------------------------------------------------------------------

    def _renew_lease(self, now: int) -> None:
        self.renewal.schedule_next(now)
        if self.raft is not None and self.raft.role is Role.LEADER:
            self._withdraw_report(self.renewal.report_to(""))
            return
        source = self.renewal.begin_request(self.raft, now)
        self._withdraw_report(self.renewal.report_to(source))
        if source:
            indexes, proposals = self.active_versions.changed_indexes(), self.proposals.next_batch()
            self._messages.append((source, LeaseRequest(now, indexes, self.summary(now), proposals)))

    def _withdraw_report(self, source: str) -> None:
        """Sends an earlier source an empty summary: it would count this node until the report expires."""
        if source:
            indexes = self.active_versions.changed_indexes()
            self._messages.append((source, LeaseRequest(NOT_REQUESTED_NS, indexes, Summary())))

    def _on_lease_request(self, sender: str, request: LeaseRequest, now: int, reply_to: Any) -> None:
        if request.summary.is_empty:
            if self.followers.withdraw(sender):
                self.renewal.renew_soon(now)
            return
        at_capacity = self.followers.at_capacity(sender)
        remaining_ns, changed = 0, tuple[bytes, ...]()
        if not at_capacity:
            if self.followers.record_request(sender, request.summary, now, reply_to):
                self.renewal.renew_soon(now)
            for proposal in request.proposals:
                self.propose(proposal)
            remaining_ns = self.active_versions.lease.remaining_ns(now)
            changed = self.active_versions.encoded_documents_newer_than(request.document_indexes)
        if InjectedFault.STALE_READ in self.config.faults:
            remaining_ns = self.config.lease_duration_ns
        if InjectedFault.LOST_VERSION in self.config.faults and request.document_indexes:
            changed = ()
        outcomes = {
            proposal.proposal_id: outcome
            for proposal in request.proposals
            if (outcome := self.outcome(proposal.proposal_id)) is not None
        }
        reply = LeaseReply(request.requested_at_ns, remaining_ns, changed, self.leader, at_capacity, outcomes)
        self._replies.append((reply_to, reply))

    def _on_lease_reply(self, reply: LeaseReply) -> None:
        if reply.requested_at_ns == NOT_REQUESTED_NS:  # a notification
            self._on_changed_documents(reply)
        elif self.renewal.accept_reply(reply):
            self.leader = reply.leader or self.leader
            self.proposals.add_outcomes(reply.outcomes)
            self._on_changed_documents(reply)
            self._lease_grant = LeaseGrant(reply.requested_at_ns, reply.remaining_ns)

    def _on_changed_documents(self, reply: LeaseReply) -> None:
        """Receives documents from a source; this node acts on them once they are on disk."""
        documents = [msgspec.msgpack.decode(encoded, type=Document) for encoded in reply.changed_documents]
        self._updated_documents += documents
        self.proposals.add_document_outcomes(documents)
