"""Applies to one node what its cluster has agreed on: settings, bans and the endpoint list.

The node creates it, and imports it only where ``[cluster]`` is on. It decides nothing about agreement itself:
that is the consensus member's.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from puffinpost import config
from puffinpost.cluster.consensus_driver import ConsensusDriver
from puffinpost.cluster.consensus_store import StoreError
from puffinpost.config.cluster import ClusterConfig
from puffinpost.config.shared_settings import RETAINED_CLASSES_KEY
from puffinpost.consensus import merged_documents, retained_classes
from puffinpost.consensus.documents import Version, digest
from puffinpost.consensus.messages import Propose
from puffinpost.observability import log
from puffinpost.proxy.exchange import ExchangeCompleted
from puffinpost.proxy.figures import FinalAnswer
from puffinpost.runtime.history import History
from puffinpost.runtime.node_services import NodeServices
from puffinpost.runtime.shared_endpoint_list import LIST_DOCUMENT, SharedEndpointList

if TYPE_CHECKING:
    from puffinpost.runtime.replicated_state import ReplicatedState

SETTINGS_DOCUMENT = "settings"
BANS_DOCUMENT = merged_documents.BANS
# Keys of the platform's settings that all nodes share; the others are each node's own.
SHARED_SETTINGS = ("Classes", "Limits", "Tenants", "Rules")
NS_PER_S = 10**9


class ClusterState:
    """The node's part in the cluster, and the coordinator's activation guard."""

    def __init__(self, node: NodeServices, cluster_config: ClusterConfig) -> None:
        self.node = node
        self.config = cluster_config
        self.base_config = node.config  # of the node's own file, without what is agreed on
        self.history = History(cluster_config.history, cluster_config.member_config.name)
        self.cluster = self._open_cluster()
        self.endpoint_list = SharedEndpointList(
            node, cluster_config.member_config, self.cluster, self.propose
        )
        self.replicated_state = self._open_replicated_state()
        self.cluster.restore_documents()
        node.coordinator.use_activation_guard(self)
        node.coordinator.completion_listeners.append(self._on_exchange_completed)

    def _open_cluster(self) -> ConsensusDriver:
        node = self.node
        try:
            return ConsensusDriver(
                self.config,
                node.config.seed,
                self.check,
                self.change,
                node.counters.add,
                self._on_replicated_rows_changed,
            )
        except StoreError as problem:
            raise config.ConfigError("cluster.folder", str(problem)) from None

    def _open_replicated_state(self) -> ReplicatedState | None:
        if self.cluster.replica is None:
            return None
        from puffinpost.runtime.replicated_state import ReplicatedState

        return ReplicatedState(self.node, self, self.cluster.replica)

    def start(self) -> None:
        """Begins to communicate with the other nodes."""
        self.history.note("up")
        self.cluster.start()
        if self.replicated_state is not None:
            self.replicated_state.start()
        self.endpoint_list.start()

    async def stop(self) -> None:
        """Closes the connections to the other nodes."""
        await self.cluster.stop()

    # --- activation guard -----------------------------------------------------------------------------

    def can_start(self, request_class: str) -> bool:
        """Whether an attempt for a new request of a class may start at this instant."""
        return self.cluster.can_start(request_class)

    def attempt_started(self, _request_class: str, endpoint: str) -> None:
        """An attempt of a new request has started: this is when the node acts on its versions."""
        acting = self.cluster.member.active_versions
        for name in (SETTINGS_DOCUMENT, BANS_DOCUMENT, LIST_DOCUMENT):
            document, version = acting.documents.get(name), acting.version(name)
            if document is not None and version is not None:
                self.history.note(
                    "act",
                    doc=name,
                    number=version.number,
                    hash=version.hash,
                    shared=document.latest_number(),
                    ident=version.proposal_id,
                )
        self.history.note("sent", ident=endpoint)
        if self.replicated_state is not None:
            self.replicated_state.attempt_started(endpoint)

    def _on_exchange_completed(self, completed: ExchangeCompleted) -> None:
        self.cluster.member.response_counts.add(
            completed.answer in (FinalAnswer.REJECTED, FinalAnswer.FAILED)
        )

    # --- documents ------------------------------------------------------------------------------------

    def check(self, document: str, content: Any) -> str:
        """Why this node cannot act on a document's content, with its key; empty: it can."""
        if document == SETTINGS_DOCUMENT:
            try:
                config.with_shared_settings(self.base_config, content)
            except config.ConfigError as problem:
                return str(problem)
            return retained_classes.retention_problem(content)
        if document in merged_documents.MERGED_DOCUMENTS:
            return ""  # checked where it is proposed, and again where it is merged
        return f"{document}: there is no such document"

    def change(self, document: str, version: Version) -> None:
        """This node acts on another version from now on."""
        if document == SETTINGS_DOCUMENT:
            self._apply_settings(version.content)
        elif document == BANS_DOCUMENT and not self._replicates_bans():
            self.apply_bans({str(name): int(since_ns) for name, since_ns in version.content.items()})
        elif document == LIST_DOCUMENT:
            self.endpoint_list.apply()
        self.history.note(
            "begins", doc=document, number=version.number, hash=version.hash, ident=version.proposal_id
        )
        log.info(
            "cluster: document version active",
            document=document,
            number=version.number,
            hash=version.hash[:8],
            author=version.author,
        )

    def propose(self, document: str, content: Any, reason: str) -> str:
        """Proposes a version of a document, or a change of one; returns the proposal's id."""
        name = self.config.member_config.name
        now_ns = time.time_ns()
        proposal_id = f"{name}-{now_ns:x}"
        self.cluster.propose(Propose(proposal_id, document, content, name, reason, now_ns // NS_PER_S))
        log.info("cluster: proposal sent", high_volume=True, id=proposal_id, document=document, reason=reason)
        return proposal_id

    # --- settings -------------------------------------------------------------------------------------

    def _apply_settings(self, content: Any) -> None:
        self.node.config = config.with_shared_settings(self.base_config, content)
        self.node.apply_configuration()

    def on_configuration_reloaded(self) -> None:
        """SIGHUP read the node's own file again: its shared settings become a proposal."""
        own_settings = self.node.config.raw.get("settings", {})
        self.base_config = self.node.config
        content = {key: own_settings[key] for key in SHARED_SETTINGS if key in own_settings}
        version = self.cluster.member.active_versions.version(SETTINGS_DOCUMENT)
        if version is not None:
            if isinstance(version.content, dict) and RETAINED_CLASSES_KEY in version.content:
                content[RETAINED_CLASSES_KEY] = version.content[RETAINED_CLASSES_KEY]
            self.change(SETTINGS_DOCUMENT, version)  # the agreed settings hold until the proposal is accepted
        if version is None or digest(content) != version.hash:
            self.propose(SETTINGS_DOCUMENT, content, "SIGHUP")

    # --- bans -----------------------------------------------------------------------------------------

    def apply_bans(self, banned: dict[str, int]) -> None:
        """All nodes ban these endpoints: names, each with when it was banned (Unix time, ns)."""
        ban_file = self.node.ban_file
        for name in sorted(ban_file.banned_since_ns.keys() ^ banned.keys()):
            try:
                ban_file.change(name, banned.get(name))
            except OSError as problem:
                log.info("ban file not written", reason=problem)
        self.node.apply_bans(banned)

    def request_ban(self, name: str, since_ns: int | None) -> str:
        """An operator bans an endpoint at this node, or lifts its ban (None); returns the proposal's id."""
        if self.replicated_state is not None and self.replicated_state.replicates_bans:
            return self.replicated_state.request_ban(name, since_ns)
        if since_ns is None:
            return self.propose(BANS_DOCUMENT, {"lift": [name]}, f"call back {name}")
        return self.propose(BANS_DOCUMENT, {"ban": {name: since_ns}}, f"ban {name}")

    def _replicates_bans(self) -> bool:
        return self.replicated_state is not None and self.replicated_state.replicates_bans

    def _on_replicated_rows_changed(self, places: set[tuple[str, str]]) -> None:
        if self.replicated_state is not None:
            self.replicated_state.on_rows_changed(places)
