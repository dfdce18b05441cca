"""The endpoint list that the cluster has agreed on, beside what this node's own discovery watch delivers.

Cluster state owns it. While this node holds a lease, the agreed list is in force; without one its own watch
is. It proposes lists and never accepts one itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from puffinpost.cluster.consensus_driver import ConsensusDriver
from puffinpost.consensus import merged_documents
from puffinpost.consensus.member_config import MemberConfig
from puffinpost.runtime.node_services import NodeServices

LIST_DOCUMENT = merged_documents.ENDPOINT_LIST
# A voter that does not lead leaves it to the leader for this long to propose what discovery delivered.
FOLLOWER_PROPOSAL_DELAY_S = 0.3
NS_PER_S = 1e9
CHECKS_PER_AGREEMENT = 4  # how often, in the time in which all agree, this node checks which list holds

Propose = Callable[[str, Any, str], str]


class SharedEndpointList:
    """Decides whether this node polls discovery, and which list is in force."""

    def __init__(
        self, node: NodeServices, plan: MemberConfig, cluster: ConsensusDriver, propose: Propose
    ) -> None:
        self.node = node
        self.plan = plan
        self.cluster = cluster
        self._propose = propose
        self._last_answer: dict[str, Any] = {}  # discovery's, to this node
        self._was_current = False

    def start(self) -> None:
        """Begins to switch between the agreed list and this node's own watch, as either holds."""
        self._check()

    def polls_discovery(self) -> bool:
        """Whether this node polls discovery: voters do for all, and each node for itself without a lease.

        Guards against a stale list where the node that polls for all has died or cannot reach discovery: each
        voter polls, and one that finds something missing in the agreed list proposes it.
        """
        return self.plan.name in self.plan.voters or not self._is_current()

    def index(self) -> int:
        """The index of discovery's last answer to this node; 0 before there is one."""
        index = self._last_answer.get("index", 0)
        return index if isinstance(index, int) else 0

    def on_discovery_answer(self, answer: dict[str, Any]) -> bool:
        """Takes an answer of discovery; whether the agreed list holds, and not this one."""
        self._last_answer = answer
        member = self.cluster.member
        if not self._is_current() and LIST_DOCUMENT in member.active_versions.documents:
            return False  # without a lease this node's own watch holds
        leads = member.leader in ("", self.plan.name)
        delay_s = 0.0 if leads else FOLLOWER_PROPOSAL_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, self._propose_list, answer)
        return self._is_current()

    def apply(self) -> None:
        """Puts the agreed list in force, if this node holds a lease."""
        version = self.cluster.member.active_versions.version(LIST_DOCUMENT)
        if version is None or not self._is_current():
            return
        coordinator = self.node.coordinator
        coordinator.endpoint_list_received(merged_documents.to_discovery_answer(version.content))
        self.node.health_checker.close_excluded(coordinator.accepts_new_work)

    def _is_current(self) -> bool:
        acting = self.cluster.member.active_versions
        return acting.lease.is_held(self.cluster.clock()) and LIST_DOCUMENT in acting.documents

    def _propose_list(self, answer: dict[str, Any]) -> None:
        version = self.cluster.member.active_versions.version(LIST_DOCUMENT)
        agreed = version.content if version is not None else None
        if merged_documents.change_problem(LIST_DOCUMENT, answer):
            return
        if merged_documents.merge(LIST_DOCUMENT, agreed, answer) == agreed:
            return
        self._propose(LIST_DOCUMENT, answer, f"discovery's {answer.get('index')}")

    def _check(self) -> None:
        interval_s = self.plan.agree_within_ns / (CHECKS_PER_AGREEMENT * NS_PER_S)
        asyncio.get_running_loop().call_later(interval_s, self._check)
        is_current = self._is_current()
        if is_current and not self._was_current:
            self.apply()
        self._was_current = is_current
        self._switch_watch()

    def _switch_watch(self) -> None:
        watch = self.node.discovery_client
        polls = self.polls_discovery()
        if polls and not watch.running:
            watch.start()
        elif not polls and watch.running:
            watch.stop()
