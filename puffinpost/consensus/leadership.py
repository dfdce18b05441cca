"""The duties of a leader: it holds the lease, decides on proposals and appends them to the log.

`member` calls it at each tick of a voter. The state of rollouts is created anew in each term of leadership.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost.consensus.active_versions import ActiveVersions
from puffinpost.consensus.documents import SETTINGS, Document, Documents
from puffinpost.consensus.member_config import MemberConfig
from puffinpost.consensus.messages import Summary, command_proposal_id
from puffinpost.consensus.proposals import Proposals
from puffinpost.consensus.raft import Raft
from puffinpost.consensus.retained_classes import RetainedClasses
from puffinpost.consensus.rollout import RolloutController
from puffinpost.consensus.voters import advance_voter_change

VOTERS_DOCUMENT = "@voters"  # a proposal about the voters, not about a document
MAX_UNCOMMITTED_ENTRIES = 1024


class Leadership:
    """The duties of one voter while it is the leader."""

    def __init__(
        self, config: MemberConfig, raft: Raft, active_versions: ActiveVersions, proposals: Proposals
    ) -> None:
        self.config, self.raft = config, raft
        self.active_versions, self.proposals = active_versions, proposals
        self.rollout: RolloutController | None = None  # None: this node is not the leader
        self.retained_classes = RetainedClasses(config.agree_within_ns)

    def on_document_changed(self, before: Document | None, after: Document, now: int) -> None:
        """Tracks retained classes at each voter, since any of them may become leader."""
        if after.name != SETTINGS or before is None:
            return
        if before.active is not None and after.active is not None:
            self.retained_classes.on_version_replaced(before.active.content, after.active.content, now)

    def on_applied(self, proposal_id: str) -> None:
        """Notifies the rollout that an entry about a proposal was applied."""
        if self.rollout is not None:
            self.rollout.on_applied(proposal_id)

    def tick(self, documents: Documents, summarize: Callable[[int], Summary], now: int) -> None:
        """Acts as leader if this node is the leader and has committed an entry of its term."""
        if not self.raft.has_committed_in_term():
            self.rollout = None
            return
        lease = self.active_versions.lease
        quorum_lease_end_ns = self.raft.quorum_contact_ns(now) + self.config.lease_duration_ns
        lease.expires_at_ns = max(lease.expires_at_ns, quorum_lease_end_ns)
        if self.rollout is None:
            self.rollout = RolloutController(self.config.rollout_timeouts, self.retained_classes)
            self.retained_classes.restore(documents.documents.get(SETTINGS), now)
        if any(document.pending or document.staged for document in documents.documents.values()):
            for decision in self.rollout.decisions(documents, summarize(now), now):
                self.raft.propose(decision, now)
        self._append_proposals(now)

    def _append_proposals(self, now: int) -> None:
        uncommitted = self.raft.log.entries_after(self.raft.commit_index, MAX_UNCOMMITTED_ENTRIES)
        in_log = {command_proposal_id(entry.command) for entry in uncommitted}
        for proposal in list(self.proposals.open.values()):
            if proposal.document == VOTERS_DOCUMENT:
                if advance_voter_change(self.raft, proposal, now):
                    self.proposals.close(proposal.proposal_id)
            elif proposal.proposal_id not in in_log:
                self.raft.propose(proposal, now)
