"""The leader's decisions about pending and staged document versions, based on the fleet's summary.

`leadership` creates a controller when its node becomes leader and appends the decisions to the log. The
controller never changes a document itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffinpost.consensus.documents import SETTINGS, Document, Documents, Version
from puffinpost.consensus.messages import Decide, ProposalOutcome, Summary
from puffinpost.consensus.retained_classes import RetainedClasses

MIN_STAGED_RESPONSES = 20  # fewer are too small a sample to withdraw a staged version early


@dataclass(frozen=True, slots=True)
class RolloutTimeouts:
    """How long the leader waits, in ns of its own clock, and which share of failures it accepts."""

    report_timeout_ns: int  # every reachable node has reported within this time
    decision_timeout_ns: int  # a proposal that is still undecided after this time is rejected
    staging_duration_ns: int  # how long a staged version is observed before it is promoted
    max_failure_share: float  # of the responses from nodes that act on a staged version


class RolloutController:
    """Decides on proposals during one term of leadership."""

    def __init__(self, timeouts: RolloutTimeouts, retained_classes: RetainedClasses) -> None:
        self.timeouts, self.retained_classes = timeouts, retained_classes
        self.first_seen_ns: dict[str, int] = {}  # by proposal
        self.unapplied_decisions: set[str] = set()  # proposals with a decision that is not applied yet

    def decisions(self, documents: Documents, summary: Summary, now: int) -> list[Decide]:
        """Returns the decisions to append to the log now; each proposal is decided once."""
        decided = []
        for document in documents.documents.values():
            decision = self._decide_pending(document, summary, now) or self._decide_staged(
                document, summary, now
            )
            if decision is not None and decision.proposal_id not in self.unapplied_decisions:
                self.unapplied_decisions.add(decision.proposal_id)
                decided.append(decision)
        return decided

    def on_applied(self, proposal_id: str) -> None:
        """Clears the state of a proposal after an applied entry, so that a staged version is timed anew."""
        self.unapplied_decisions.discard(proposal_id)
        self.first_seen_ns.pop(proposal_id, None)

    def _age_ns(self, version: Version, now: int) -> int:
        return now - self.first_seen_ns.setdefault(version.proposal_id, now)

    def _decide_pending(self, document: Document, summary: Summary, now: int) -> Decide | None:
        pending = document.pending
        if pending is None:
            return None
        proposal_id, age = pending.proposal_id, self._age_ns(pending, now)
        problem = self._rejection(document, pending, summary, now)
        if problem:
            return Decide(proposal_id, ProposalOutcome.REJECTED, problem)
        if age < self.timeouts.report_timeout_ns:
            return None  # some reachable nodes may not have reported yet
        ready = summary.ready_counts.get(proposal_id, 0)
        if ready >= summary.node_count:
            return Decide(proposal_id, ProposalOutcome.ACCEPTED)
        if age > self.timeouts.decision_timeout_ns:
            problem = (
                f"{summary.node_count - ready} of {summary.node_count} nodes"
                " did not say that they can act on it"
            )
            return Decide(proposal_id, ProposalOutcome.REJECTED, problem)
        return None

    def _rejection(self, document: Document, pending: Version, summary: Summary, now: int) -> str:
        """Returns why the proposal is rejected at once; empty if it is not."""
        if document.name == SETTINGS:
            before = document.active.content if document.active is not None else None
            violation = self.retained_classes.violation(before, pending.content, now)
            if violation:
                return violation
        for proposal_id, node, problem in summary.rejections:
            if proposal_id == pending.proposal_id:
                return f"{node}: {problem}"
        return ""

    def _decide_staged(self, document: Document, summary: Summary, now: int) -> Decide | None:
        staged = document.staged
        if staged is None:
            return None
        age = self._age_ns(staged, now)
        responses, failures = summary.response_count, summary.failure_count
        too_many_failures = failures > self.timeouts.max_failure_share * responses
        if too_many_failures and responses >= MIN_STAGED_RESPONSES:
            problem = f"{failures} of {responses} answers where it is staged were refused or failed"
            return Decide(staged.proposal_id, ProposalOutcome.WITHDRAWN, problem)
        if age < self.timeouts.staging_duration_ns:
            return None
        if too_many_failures:
            problem = "refusals among too few answers where it is staged"
            return Decide(staged.proposal_id, ProposalOutcome.WITHDRAWN, problem)
        return Decide(staged.proposal_id, ProposalOutcome.PROMOTED)
