"""Answers operators' queries about consensus and replication.

`consensus_driver` passes on the queries of links that authenticated with the operator's token.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from puffinpost.cluster.status import document_history, node_status
from puffinpost.consensus.member import Member
from puffinpost.consensus.messages import OperatorQuery, OperatorReply, Propose, QueryKind


class OperatorService:
    """Answers the queries to one node.

    ``answer_replica_query`` returns the status of replicated state or some of its rows; ``connected_links``
    returns how many outgoing links are connected; ``clock`` returns the member's time in ns.
    """

    def __init__(
        self,
        member: Member,
        propose: Callable[[Propose], None],
        answer_replica_query: Callable[[str], Any],
        connected_links: Callable[[], int],
        clock: Callable[[], int],
    ) -> None:
        self.member = member
        self.propose = propose
        self.answer_replica_query = answer_replica_query
        self.connected_links = connected_links
        self.clock = clock

    def answer(self, query: OperatorQuery) -> OperatorReply:
        """Answers a query; a query of an unknown kind is answered with the status."""
        return OperatorReply(msgspec.json.encode(self._answer(query)))

    def _answer(self, query: OperatorQuery) -> Any:
        if query.kind == QueryKind.PROPOSE and query.proposal is not None:
            self.propose(query.proposal)
            return {"ident": query.proposal.proposal_id}
        if query.kind == QueryKind.OUTCOME:
            result = self.member.outcome(query.subject)
            return {} if result is None else {"outcome": result.outcome, "problem": result.problem}
        if query.kind == QueryKind.REPLICA:
            return self.answer_replica_query(query.subject)
        if query.kind == QueryKind.DOCUMENT:
            return document_history(self.member, query.subject)
        return node_status(self.member, self.clock(), self.connected_links())
