"""Creates the parts of a node from its configuration and connects them.

`NodeProcess` runs the node. This module only wires the parts, and implements the coordinator's ports.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from puffinpost import config
from puffinpost.admin.ban_file import BanFile
from puffinpost.admin.commands import AdminCommands
from puffinpost.balancing.events import AttemptResult
from puffinpost.balancing.settings import EndpointId
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.discovery.watch import WatchState
from puffinpost.net.admin_server import AdminServer
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.discovery_client import DiscoveryClient
from puffinpost.net.health_checker import HealthChecker
from puffinpost.net.upstream import UpstreamConnector
from puffinpost.observability import log
from puffinpost.observability.counters import Counters
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.runtime.connection_runner import ConnectionRunner
from puffinpost.runtime.frontends import build_frontends
from puffinpost.runtime.handover_receiver import HandoverReceiver
from puffinpost.runtime.handover_sender import HandoverSender
from puffinpost.runtime.hot_restart import HotRestart, handover_socket_path
from puffinpost.runtime.loop_clock import LoopClock
from puffinpost.runtime.readiness import Readiness
from puffinpost.runtime.session_adopter import SessionAdopter

if TYPE_CHECKING:
    from puffinpost.net.flow_exporter import FlowExporter
    from puffinpost.runtime.cluster_state import ClusterState


class Node:
    """The parts of a node. Implements ``proxy.ports.Ports`` and ``runtime.node_services.NodeServices``."""

    def __init__(self, configuration: config.Config) -> None:
        self.config = configuration
        self.cluster_state: ClusterState | None = None
        self.counters = Counters()
        self.endpoint_list = EndpointList(configuration.zones, configuration.endpoint_types)
        self.coordinator = self._create_coordinator()
        self.health_checker = HealthChecker(
            lambda: self.coordinator.settings.load_report_fields,
            lambda: self.coordinator.settings.dial_timeout_ns,
            self.coordinator.health_check_completed,
        )
        self.discovery_client = self._create_discovery_client()
        call_later = asyncio.get_running_loop().call_later
        self.connection_admission = ConnectionAdmission(
            configuration.client_descriptor_limit, self.counters, call_later
        )
        connector = UpstreamConnector(self.coordinator, self.connection_admission)
        self.frontends = build_frontends(
            configuration, self.coordinator, connector, self.connection_admission
        )
        self.flow_exporter = self._create_flow_exporter()
        self.connection_runner = ConnectionRunner()
        self.hot_restart = self._create_hot_restart()
        self.stop_requested = asyncio.Event()
        self.readiness = Readiness(
            self.coordinator,
            self.discovery_client,
            self.frontends.platform,
            self.hot_restart.sender,
            self.stop_requested,
        )
        self.ban_file = BanFile(configuration.shared_folder, configuration.name)
        commands = AdminCommands(self.coordinator, self.ban_file, self.readiness.not_ready_reason)
        self.admin_server = AdminServer(commands.handle, call_later)
        self.cluster_state = self._create_cluster_state()
        if self.cluster_state is not None:
            commands.propose_ban = self.cluster_state.request_ban

    # --- creating the parts -------------------------------------------------------------------------

    def _create_coordinator(self) -> Coordinator:
        return Coordinator(
            self.config.settings,
            self.config.class_names,
            self.config.seed,
            self.endpoint_list,
            LoopClock(),
            self,
            self.counters,
        )

    def _create_discovery_client(self) -> DiscoveryClient:
        watch_state = WatchState(
            self.coordinator.balancer.poll_schedule, bool(self.config.startup_endpoint_list)
        )
        client = DiscoveryClient(
            self.config.discovery,
            watch_state,
            self._endpoint_list_index,
            self._on_discovery_answer,
            self.coordinator.endpoint_list_failed,
        )
        if self.config.trace:
            self.coordinator.tracer.write = client.trace = log.trace
        return client

    def _create_flow_exporter(self) -> FlowExporter | None:
        if self.config.flow_export is None:
            return None
        from puffinpost.net.flow_exporter import FlowExporter

        exporter = FlowExporter(self.config.flow_export, self.coordinator)
        self.coordinator.completion_listeners.append(exporter.on_exchange_completed)
        return exporter

    def _create_hot_restart(self) -> HotRestart:
        admission = self.connection_admission
        adopter = SessionAdopter(
            self.coordinator, self.frontends, admission, self.connection_runner, self._add_closed_class
        )
        reserved_descriptors = self.config.descriptor_limit - self.config.client_descriptor_limit
        receiver = HandoverReceiver(self.coordinator, admission, adopter, reserved_descriptors)
        sender = HandoverSender(self.coordinator, self.frontends, admission, adopter)
        path = handover_socket_path(self.config.handover_folder, self.config.name)
        return HotRestart(path, receiver, sender)

    def _create_cluster_state(self) -> ClusterState | None:
        if self.config.cluster is None:
            return None
        from puffinpost.runtime.cluster_state import ClusterState

        return ClusterState(self, self.config.cluster)

    # --- the coordinator's ports --------------------------------------------------------------------

    def check_health(self, endpoint: EndpointId) -> None:
        """Starts a health check; its result is passed to the coordinator."""
        address = self.endpoint_list.addresses.get(endpoint)
        if address is None:
            asyncio.get_running_loop().call_soon(
                self.coordinator.health_check_completed, endpoint, AttemptResult.CONNECT_FAILED, 0, ()
            )
        else:
            self.health_checker.check(endpoint, address)

    def poll_endpoint_list(self) -> None:
        """Starts the watch of discovery, unless other nodes poll for this one."""
        if self.cluster_state is None or self.cluster_state.endpoint_list.polls_discovery():
            self.discovery_client.start()

    def write_log(self, text: str) -> None:
        """Writes a line to the log."""
        log.info(text)

    # --- called by the parts ------------------------------------------------------------------------

    def apply_configuration(self) -> None:
        """Passes the settings and classes of ``config`` to the coordinator."""
        current = self.config
        self.coordinator.apply_settings(current.settings, current.class_names, current.closed_classes)

    def apply_bans(self, banned: dict[str, int]) -> None:
        """Bans exactly these endpoints: by name, the time of the ban (Unix time, ns)."""
        self.coordinator.apply_bans(banned)
        self.health_checker.close_excluded(self.coordinator.accepts_new_work)

    def _endpoint_list_index(self) -> int:
        """The index of discovery's last answer to this node.

        The index of the agreed list may be lower: answers that change nothing are not proposed.
        """
        last_answer_index = self.cluster_state.endpoint_list.index() if self.cluster_state is not None else 0
        return max(self.endpoint_list.index, last_answer_index)

    def _on_discovery_answer(self, answer: dict[str, Any]) -> None:
        if self.cluster_state is not None and self.cluster_state.endpoint_list.on_discovery_answer(answer):
            return  # the list is applied once the nodes have agreed on it
        self.coordinator.endpoint_list_received(answer)
        self.health_checker.close_excluded(self.coordinator.accepts_new_work)

    def _add_closed_class(self, name: str) -> None:
        """Adds a class that the configuration no longer has, for connections of it that are handed over."""
        self.config = config.with_closed_class(self.config, name)
        self.apply_configuration()
