"""The process of a node: starts it, handles signals, and shuts it down after SIGTERM.

``main`` is the program without a subcommand. ``NodeProcess.run`` has the steps of the start in order.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Iterable

from puffinpost import config
from puffinpost.balancing.poll_schedule import STARTUP_LIST_TIMEOUT_NS
from puffinpost.discovery.endpoint_list import EndpointListError
from puffinpost.net import event_loop
from puffinpost.net.listener import Listener, bind_listener
from puffinpost.observability import log
from puffinpost.runtime.ban_follower import BanFollower
from puffinpost.runtime.frontends import open_listeners
from puffinpost.runtime.graceful_shutdown import GracefulShutdown
from puffinpost.runtime.node import Node
from puffinpost.runtime.reload import reload_configuration

# The wait before a predecessor is replaced. A process must be ready within 6 s of its start, with or without
# a current list.
HANDOVER_LIST_TIMEOUT_S = 4.0
# The list of a local agent counts as known to a process from its start, so the agent is polled first.
AGENT_LIST_TIMEOUT_S = 1.0
START_LIST_TIMEOUT_S = STARTUP_LIST_TIMEOUT_NS / 1e9

EXIT_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


class NodeProcess:
    """Runs one node from its start to its end."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def run(self, blocked_signals: Iterable[signal.Signals]) -> None:
        """Serves until SIGTERM, then shuts down. Unblocks ``blocked_signals`` once they have handlers."""
        self._handle_signals(blocked_signals)
        self._apply_startup_endpoint_list()
        self.node.coordinator.apply_bans(self.node.ban_file.banned_since_ns)
        BanFollower(self.node).start()
        self._open_admin_server()
        if self.node.cluster_state is not None:
            self.node.cluster_state.start()
        await self._wait_for_endpoint_list()
        await self._take_over()
        await asyncio.sleep(0)  # lets the handler of a signal that was blocked run
        if self.node.stop_requested.is_set():
            log.info("stopped before listening", node=self.node.config.name)
            return
        listeners = self._open_listeners()
        self.node.hot_restart.wait_for_successor(listeners)
        if self.node.config.counters_interval_s:
            self._schedule_counter_log()
        await self.node.stop_requested.wait()
        await self._shut_down(listeners)
        log.info("node stopped", node=self.node.config.name, counters=self.node.counters.text())

    def _handle_signals(self, blocked_signals: Iterable[signal.Signals]) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.node.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.node.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_counters)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, blocked_signals)

    def _apply_startup_endpoint_list(self) -> None:
        """Applies the list that the node was started with. Raises ``ConfigError`` if it is invalid."""
        if not self.node.config.startup_endpoint_list:
            # No request can be served yet, but the balancer must start to poll for a list.
            self.node.coordinator.endpoint_list_failed()
            return
        try:
            self.node.coordinator.endpoint_list_received(self.node.config.startup_endpoint_list, cached=True)
        except EndpointListError as problem:
            raise config.ConfigError("known", str(problem)) from None

    def _open_admin_server(self) -> None:
        address, server = self.node.config.admin_address, self.node.admin_server
        if address is None:
            return
        Listener(
            bind_listener(address),
            server,
            lambda connection: self.node.connection_runner.run_connection(
                connection, server.accept(connection)
            ),
            server.reject,
        )
        log.info("admin server listening", address=log.format_peer(address))

    async def _wait_for_endpoint_list(self) -> None:
        if self.node.coordinator.balancer.poll_schedule.has_local_agent:
            self.node.poll_endpoint_list()
            await self.node.readiness.wait_for_endpoint_list(AGENT_LIST_TIMEOUT_S)
        else:
            await self.node.readiness.wait_for_endpoint_list(START_LIST_TIMEOUT_S)

    async def _take_over(self) -> None:
        """Takes over from a running process of this node, if there is one, once this one can serve too."""
        if self.node.hot_restart.connect_to_predecessor():
            await self.node.readiness.wait_for_endpoint_list(HANDOVER_LIST_TIMEOUT_S)
            await self.node.hot_restart.take_over()

    def _open_listeners(self) -> list[Listener]:
        listeners = open_listeners(
            self.node.frontends,
            self.node.config,
            self.node.connection_admission,
            self.node.connection_runner,
            self.node.hot_restart.listening_socket,
        )
        self.node.readiness.is_listening = True
        return listeners

    async def _shut_down(self, listeners: list[Listener]) -> None:
        await GracefulShutdown(
            self.node.coordinator,
            self.node.frontends.platform,
            self.node.frontends.resumable,
            self.node.connection_admission,
            listeners,
            self.node.hot_restart.sender,
        ).run()
        if self.node.flow_exporter is not None:
            await self.node.flow_exporter.close()
        if self.node.cluster_state is not None:
            await self.node.cluster_state.stop()

    def _reload(self) -> None:
        def on_reloaded() -> None:
            if self.node.cluster_state is not None:
                self.node.cluster_state.on_configuration_reloaded()

        reload_configuration(self.node, on_reloaded)

    def _log_counters(self) -> None:
        log.info("counter totals", counters=self.node.counters.text())

    def _schedule_counter_log(self) -> None:
        def log_and_repeat() -> None:
            self._log_counters()
            self._schedule_counter_log()

        asyncio.get_running_loop().call_later(self.node.config.counters_interval_s, log_and_repeat)


async def _run_node(blocked_signals: Iterable[signal.Signals]) -> None:
    configuration = config.load()
    log.configure(configuration.log_format)
    await NodeProcess(Node(configuration)).run(blocked_signals)


def main(blocked_signals: Iterable[signal.Signals] = ()) -> int:
    """Runs a node to its end; returns the exit code. Unblocks ``blocked_signals`` once they have handlers."""
    try:
        event_loop.run(_run_node(blocked_signals))
    except config.ConfigError as problem:
        print(f"puffinpost: {problem}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except OSError as problem:
        print(f"puffinpost: listen: {problem}", file=sys.stderr)
        return EXIT_FAILED
    return 0
