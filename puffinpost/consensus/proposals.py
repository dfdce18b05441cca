"""A node's open proposals, and the outcomes that it received from its source.

`member` adds proposals of its operators and of its followers, and forwards them until they are in the log.
This module does not decide on a proposal.
"""

from __future__ import annotations

from collections.abc import Iterable

from puffinpost.consensus.documents import Document
from puffinpost.consensus.messages import ProposalOutcome, ProposalResult, Propose

MAX_PROPOSALS = 64  # also the maximum number of outcomes retained
MAX_PROPOSALS_PER_REQUEST = 8


class Proposals:
    """Open proposals and received outcomes, by proposal id."""

    def __init__(self) -> None:
        self.open: dict[str, Propose] = {}
        self.outcomes: dict[str, ProposalResult] = {}

    def add(self, proposal: Propose) -> None:
        """Opens a proposal. Drops it if too many are open, so that the proposer has to retry."""
        if len(self.open) < MAX_PROPOSALS:
            self.open[proposal.proposal_id] = proposal

    def close(self, proposal_id: str) -> None:
        """Closes a proposal that is in the log or whose outcome is known."""
        self.open.pop(proposal_id, None)

    def next_batch(self) -> tuple[Propose, ...]:
        """Returns the proposals to send with the next lease request."""
        return tuple(self.open.values())[:MAX_PROPOSALS_PER_REQUEST]

    def add_outcomes(self, outcomes: dict[str, ProposalResult]) -> None:
        """Stores outcomes received from a source and closes the proposals."""
        self.outcomes |= outcomes
        self.outcomes = dict(list(self.outcomes.items())[-MAX_PROPOSALS:])
        for proposal_id in outcomes:
            self.close(proposal_id)

    def add_document_outcomes(self, documents: Iterable[Document]) -> None:
        """Closes the proposals whose versions are active or staged in documents from a source."""
        for document in documents:
            for version, outcome in (
                (document.active, ProposalOutcome.ACCEPTED),
                (document.staged, ProposalOutcome.STAGED),
            ):
                if version is not None:
                    self.outcomes[version.proposal_id] = ProposalResult(outcome, "")
                    self.close(version.proposal_id)
