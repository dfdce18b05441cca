"""Applies to one node what its cluster has agreed on: settings, bans and the endpoint list.

The node imports and creates it only if ``[cluster]`` is on. The agreement itself is the consensus member's
task.
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
# Keys of the platform's settings that all nodes share; the other keys are set for each node separately.
SHARED_SETTINGS = ("Classes", "Limits", "Tenants", "Rules")
NS_PER_S = 10**9


class ClusterState:
    """Connects a node to its cluster; also the activation guard of the node's coordinator."""

    def __init__(self, node: NodeServices, cluster_config: ClusterConfig) -> None:
        self.node = node
        self.config = cluster_config
        self.base_config = node.config  # from the node's own file, without the agreed settings
        self.history = History(cluster_config.history, cluster_config.member_config.name)
        self.consensus = self._create_consensus_driver()
        self.endpoint_list = SharedEndpointList(
            node, cluster_config.member_config, self.consensus, self.propose, self._on_lease_lost
        )
        self._unagreed_bans: dict[str, int] = {}  # proposed by this node's operators, by name
        self._applies_unagreed_bans = False  # from the end of the lease until the nodes have agreed on them
        self.replicated_state = self._create_replicated_state()
        self.consensus.restore_documents()
        node.coordinator.use_activation_guard(self)
        node.coordinator.completion_listeners.append(self._on_exchange_completed)

    def _create_consensus_driver(self) -> ConsensusDriver:
        node = self.node
        try:
            return ConsensusDriver(
                self.config,
                node.config.seed,
                self.validate,
                self.apply_version,
                node.counters.add,
                self._on_replicated_rows_changed,
            )
        except StoreError as problem:
            raise config.ConfigError("cluster.folder", str(problem)) from None

    def _create_replicated_state(self) -> ReplicatedState | None:
        if self.consensus.replica is None:
            return None
        from puffinpost.runtime.replicated_state import ReplicatedState

        return ReplicatedState(self.node, self, self.consensus.replica)

    def start(self) -> None:
        """Starts communication with the other nodes."""
        self.history.record("up")
        self.consensus.start()
        if self.replicated_state is not None:
            self.replicated_state.start()
        self.endpoint_list.start()

    async def stop(self) -> None:
        """Closes the connections to the other nodes."""
        await self.consensus.stop()

    # --- activation guard -----------------------------------------------------------------------------

    def can_start(self, request_class: str) -> bool:
        """Whether an attempt of a new request of a class may start now."""
        return self.consensus.can_start(request_class)

    def attempt_started(self, _request_class: str, endpoint: str) -> None:
        """Records an attempt of a new request, and the versions that the node acts on at its start."""
        active_versions = self.consensus.member.active_versions
        for name in (SETTINGS_DOCUMENT, BANS_DOCUMENT, LIST_DOCUMENT):
            document, version = active_versions.documents.get(name), active_versions.version(name)
            if document is not None and version is not None:
                self.history.record(
                    "act",
                    doc=name,
                    number=version.number,
                    hash=version.hash,
                    shared=document.latest_number(),
                    ident=version.proposal_id,
                )
        self.history.record("sent", ident=endpoint)
        if self.replicated_state is not None:
            self.replicated_state.attempt_started(endpoint)

    def _on_exchange_completed(self, completed: ExchangeCompleted) -> None:
        self.consensus.member.response_counts.add(
            completed.answer in (FinalAnswer.REJECTED, FinalAnswer.FAILED)
        )

    # --- documents ------------------------------------------------------------------------------------

    def validate(self, document: str, content: Any) -> str:
        """Why this node cannot act on a document's content, with the key at fault; empty if it can."""
        if document == SETTINGS_DOCUMENT:
            try:
                config.with_shared_settings(self.base_config, content)
            except config.ConfigError as problem:
                return str(problem)
            return retained_classes.retention_problem(content)
        if document in merged_documents.MERGED_DOCUMENTS:
            return ""  # checked when it is proposed, and again when it is merged
        return f"{document}: there is no such document"

    def apply_version(self, document: str, version: Version) -> None:
        """Makes this node act on a version of a document from now on."""
        if document == SETTINGS_DOCUMENT:
            self._apply_settings(version.content)
        elif document == BANS_DOCUMENT and not self._replicates_bans():
            self._apply_agreed_bans({str(name): int(since) for name, since in version.content.items()})
        elif document == LIST_DOCUMENT:
            self.endpoint_list.apply()
        self.history.record(
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
        self.consensus.propose(Propose(proposal_id, document, content, name, reason, now_ns // NS_PER_S))
        log.info("cluster: proposal sent", high_volume=True, id=proposal_id, document=document, reason=reason)
        return proposal_id

    # --- settings -------------------------------------------------------------------------------------

    def _apply_settings(self, content: Any) -> None:
        self.node.config = config.with_shared_settings(self.base_config, content)
        self.node.apply_configuration()

    def on_configuration_reloaded(self) -> None:
        """Proposes the shared settings of the node's own file, which SIGHUP has reloaded."""
        file_settings = self.node.config.raw.get("settings", {})
        self.base_config = self.node.config
        content = {key: file_settings[key] for key in SHARED_SETTINGS if key in file_settings}
        version = self.consensus.member.active_versions.version(SETTINGS_DOCUMENT)
        if version is not None:
            if isinstance(version.content, dict) and RETAINED_CLASSES_KEY in version.content:
                content[RETAINED_CLASSES_KEY] = version.content[RETAINED_CLASSES_KEY]
            # The agreed settings stay in force until the proposal is accepted.
            self.apply_version(SETTINGS_DOCUMENT, version)
        if version is None or digest(content) != version.hash:
            self.propose(SETTINGS_DOCUMENT, content, "SIGHUP")

    # --- bans -----------------------------------------------------------------------------------------

    def _apply_agreed_bans(self, banned: dict[str, int]) -> None:
        unagreed = {name: since for name, since in self._unagreed_bans.items() if name not in banned}
        self._unagreed_bans = unagreed
        self._applies_unagreed_bans = self._applies_unagreed_bans and bool(unagreed)
        self.apply_bans({**unagreed, **banned} if self._applies_unagreed_bans else banned)

    def _on_lease_lost(self) -> None:
        """Applies the bans that were proposed here: without a lease they may not wait for an agreement."""
        if self._unagreed_bans and not self._replicates_bans():
            self._applies_unagreed_bans = True
            self.apply_bans({**self._unagreed_bans, **self.node.ban_file.banned_since_ns})

    def apply_bans(self, banned: dict[str, int]) -> None:
        """Bans exactly these endpoints and updates the ban file: by name, the time of the ban (Unix, ns)."""
        ban_file = self.node.ban_file
        for name in sorted(ban_file.banned_since_ns.keys() ^ banned.keys()):
            try:
                ban_file.change(name, banned.get(name))
            except OSError as problem:
                log.info("ban file not written", reason=problem)
        self.node.apply_bans(banned)

    def request_ban(self, name: str, since_ns: int | None) -> str:
        """Bans an endpoint, or lifts its ban if ``since_ns`` is None; returns an id for the operator."""
        if self.replicated_state is not None and self.replicated_state.replicates_bans:
            return self.replicated_state.request_ban(name, since_ns)
        if since_ns is None:
            self._unagreed_bans.pop(name, None)
            return self.propose(BANS_DOCUMENT, {"lift": [name]}, f"call back {name}")
        self._unagreed_bans[name] = since_ns
        return self.propose(BANS_DOCUMENT, {"ban": {name: since_ns}}, f"ban {name}")

    def _replicates_bans(self) -> bool:
        return self.replicated_state is not None and self.replicated_state.replicates_bans

    def _on_replicated_rows_changed(self, row_keys: set[tuple[str, str]]) -> None:
        if self.replicated_state is not None:
            self.replicated_state.on_rows_changed(row_keys)
