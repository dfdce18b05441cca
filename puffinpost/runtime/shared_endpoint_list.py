"""Switches between the endpoint list that the cluster has agreed on and the one of this node's own watch.

`ClusterState` owns it. While this node holds a lease, the agreed list is in force; without a lease, the list
of its own watch is, with what discovery had told while the lease was held and the nodes had not agreed on. It
proposes lists, and leaves their acceptance to the consensus member.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from puffinpost.cluster.consensus_driver import ConsensusDriver
from puffinpost.consensus import merged_documents
from puffinpost.consensus.member_config import MemberConfig
from puffinpost.discovery.endpoint_list import EndpointListError
from puffinpost.observability import log
from puffinpost.runtime.node_services import NodeServices

LIST_DOCUMENT = merged_documents.ENDPOINT_LIST
# A voter that is not the leader waits this long before it proposes discovery's list: the leader comes first.
FOLLOWER_PROPOSAL_DELAY_S = 0.3
NS_PER_S = 1e9
CHECKS_PER_AGREEMENT = 4  # checks of which list is in force, within the time in which all nodes agree
MIN_CHECK_DELAY_S = 0.001  # after the end of the lease

Propose = Callable[[str, Any, str], str]


class SharedEndpointList:
    """Decides whether this node polls discovery, and which list is in force."""

    def __init__(
        self,
        node: NodeServices,
        member_config: MemberConfig,
        consensus: ConsensusDriver,
        propose: Propose,
        on_lease_lost: Callable[[], None],
    ) -> None:
        self.node = node
        self.member_config = member_config
        self.consensus = consensus
        self._propose = propose
        self._on_lease_lost = on_lease_lost
        self._had_lease = False
        self._unagreed_answers: list[dict[str, Any]] = []  # of discovery, which the agreed list lacks
        self._last_answer: dict[str, Any] = {}  # of discovery to this node
        self._was_in_force = False

    def start(self) -> None:
        """Starts to check at an interval which list is in force, and switches over when that changes."""
        self._check()

    def polls_discovery(self) -> bool:
        """Whether this node polls discovery: voters always do, others if the agreed list is not in force.

        All voters poll, so that the list does not become stale if one has died or cannot reach discovery:
        each voter proposes what its own answer has and the agreed list lacks.
        """
        return self.member_config.name in self.member_config.voters or not self._is_in_force()

    def index(self) -> int:
        """The index of discovery's last answer to this node; 0 before there is one."""
        index = self._last_answer.get("index", 0)
        return index if isinstance(index, int) else 0

    def on_discovery_answer(self, answer: dict[str, Any]) -> bool:
        """Handles an answer of discovery; returns whether the agreed list is in force instead of it."""
        self._last_answer = answer
        member = self.consensus.member
        if not self._is_in_force() and LIST_DOCUMENT in member.active_versions.documents:
            return False  # without a lease, the list of this node's own watch is in force
        proposes_now = member.leader in ("", self.member_config.name)
        delay_s = 0.0 if proposes_now else FOLLOWER_PROPOSAL_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self._propose_list, answer)
        if not self._is_in_force():
            return False
        if answer.get("snapshot") is True:
            self._unagreed_answers.clear()
        self._unagreed_answers.append(answer)
        return True

    def apply(self) -> None:
        """Applies the agreed list, if this node holds a lease."""
        version = self.consensus.member.active_versions.version(LIST_DOCUMENT)
        if version is None or not self._is_in_force():
            return
        coordinator = self.node.coordinator
        coordinator.endpoint_list_received(merged_documents.to_discovery_answer(version.content))
        self.node.health_checker.close_excluded(coordinator.accepts_new_work)
        self._unagreed_answers = [
            answer for answer in self._unagreed_answers if self._changes(version.content, answer)
        ]

    def _apply_unagreed(self) -> None:
        """Applies what discovery has told and the nodes have not agreed on: it must not wait any longer."""
        answers, self._unagreed_answers = self._unagreed_answers, []
        coordinator = self.node.coordinator
        for answer in answers:
            try:
                coordinator.endpoint_list_received(answer)
            except EndpointListError as problem:
                log.info("endpoint list rejected", reason=problem)
        self.node.health_checker.close_excluded(coordinator.accepts_new_work)

    def _is_in_force(self) -> bool:
        active_versions = self.consensus.member.active_versions
        return (
            active_versions.lease.is_held(self.consensus.clock())
            and LIST_DOCUMENT in active_versions.documents
        )

    def _propose_list(self, answer: dict[str, Any]) -> None:
        version = self.consensus.member.active_versions.version(LIST_DOCUMENT)
        agreed = version.content if version is not None else None
        if self._changes(agreed, answer):
            self._propose(LIST_DOCUMENT, answer, f"discovery's {answer.get('index')}")

    @staticmethod
    def _changes(agreed: Any, answer: dict[str, Any]) -> bool:
        """Whether a valid answer has anything that the agreed list lacks."""
        if merged_documents.change_problem(LIST_DOCUMENT, answer):
            return False
        merged: Any = merged_documents.merge(LIST_DOCUMENT, agreed, answer)
        return bool(merged != agreed)

    def _check(self) -> None:
        interval_s = self.member_config.agree_within_ns / (CHECKS_PER_AGREEMENT * NS_PER_S)
        lease = self.consensus.member.active_versions.lease
        remaining_s = lease.remaining_ns(self.consensus.clock()) / NS_PER_S
        has_lease = remaining_s > 0
        delay_s = min(interval_s, remaining_s + MIN_CHECK_DELAY_S) if has_lease else interval_s
        asyncio.get_running_loop().call_later(delay_s, self._check)
        if self._had_lease and not has_lease:
            self._apply_unagreed()
            self._on_lease_lost()
        self._had_lease = has_lease
        in_force = self._is_in_force()
        if in_force and not self._was_in_force:
            self.apply()
        self._was_in_force = in_force
        self._switch_watch()

    def _switch_watch(self) -> None:
        watch = self.node.discovery_client
        polls = self.polls_discovery()
        if polls and not watch.running:
            watch.start()
        elif not polls and watch.running:
            watch.stop()
