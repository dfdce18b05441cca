"""One node's calls to the simulated discovery, in place of the network client.

`FleetNode` starts and redirects it. It passes lists and failures to the node's coordinator, and gets each
next call from the `WatchState` that the program itself uses.
"""

from __future__ import annotations

from puffinpost.balancing.poll_schedule import OLD_DISCOVERY_GRACE_NS
from puffinpost.discovery.watch import CallFailure, WatchState
from puffinpost.emulator.fleet.clock import LINK_DELAY_NS, S
from puffinpost.emulator.fleet.discovery import ListDocument, PendingCall, SimulatedDiscovery
from puffinpost.emulator.fleet.environment import NodeContext

CONNECT_TIMEOUT_NS = 1 * S


class Poller:
    """Polls the endpoint list for one node."""

    def __init__(self, context: NodeContext) -> None:
        self.context, self.node = context, context.number
        self.environment, self.coordinator = context.environment, context.coordinator
        self.clock = context.environment.clock
        self.watch_state = WatchState(context.coordinator.balancer.poll_schedule, True)
        self.discovery = context.environment.discoveries[0]
        self.redirect_target: SimulatedDiscovery | None = None
        self.retired_discovery: SimulatedDiscovery | None = None  # accepts no more calls of this node
        self.pending: PendingCall | None = None
        self.watch = 0  # the number of the active watch; 0: none
        self.handling_late_answer = False
        self.last_failure: CallFailure | None = None
        self._watch_count = 0

    def poll(self) -> None:
        """Starts a watch unless one is active."""
        if not self.watch and not self.context.stopped:
            self._start_watch()

    def stop(self) -> None:
        """Drops the calls of a node whose process has ended."""
        self.watch = 0
        self.discovery.close_calls_of(self.node)

    # --- redirection ----------------------------------------------------------------------------------

    def redirect(self, discovery: SimulatedDiscovery) -> None:
        """Switches to another discovery after a random delay.

        The old one accepts no new connections of this node, and closes the open one after a grace period.
        """
        if self.context.stopped:
            return
        self.redirect_target, self.retired_discovery = discovery, self.discovery
        self.environment.rule.redirect_configured(self.node, discovery, self.clock.now_ns)
        delay_ns = self.coordinator.balancer.poll_schedule.redirect_delay_ns()
        self.clock.call_later(delay_ns if self.watch else 0, lambda: self._switch_to(discovery))
        self.clock.call_later(OLD_DISCOVERY_GRACE_NS, self._close_retired)

    def _close_retired(self) -> None:
        if self.discovery is not self.retired_discovery:
            return
        for pending in self.discovery.calls_of(self.node):
            self.discovery.close_call(pending)
            self.environment.rule.call_failed(self.node, self.clock.now_ns)
            pending.on_result(CallFailure.FAILED)

    def _switch_to(self, discovery: SimulatedDiscovery) -> None:
        if self.redirect_target is not discovery or self.context.stopped:
            return
        self.redirect_target = None
        self.discovery.close_calls_of(self.node)
        if self.pending is not None:
            self.pending.closed = True
        self.discovery = discovery
        self.environment.rule.redirect_completed(self.node, discovery)
        self.coordinator.endpoint_list.discovery_changed = True
        self.watch_state.on_redirect()
        self._start_watch()

    # --- calls ----------------------------------------------------------------------------------------

    def _start_watch(self) -> None:
        self._watch_count += 1
        self.watch = self._watch_count
        self._call(self.watch)

    def _call(self, watch: int) -> None:
        if watch != self.watch:
            return
        discovery = self.discovery
        if discovery.down or discovery.stalled or discovery is self.retired_discovery:
            delay_ns = LINK_DELAY_NS if discovery.down else CONNECT_TIMEOUT_NS
            self.clock.call_later(delay_ns, lambda: self.call_failed(watch, CallFailure.UNREACHABLE))
            return
        began_ns = self.clock.now_ns
        call = self.watch_state.next_call(self.coordinator.endpoint_list.index, began_ns)
        pending = PendingCall(
            self.node, call, lambda result: self.call_ended(watch, began_ns, result, pending)
        )
        self.pending = pending
        discovery.accept(pending)
        self.clock.call_later(call.timeout_ns, lambda: self._time_out(watch, pending))

    def _time_out(self, watch: int, pending: PendingCall) -> None:
        if not pending.closed and watch == self.watch and self.pending is pending:
            # The call stays open until another one is answered; a late answer to it is still read.
            self.pending = None
            self.call_failed(watch, CallFailure.TIMED_OUT)

    def call_ended(
        self, watch: int, began_ns: int, result: CallFailure | ListDocument, pending: PendingCall
    ) -> None:
        """Handles the answer to a call, which may have been abandoned, or its end without an answer."""
        if self.pending is not pending and isinstance(result, dict) and not self.context.stopped:
            self._handle_late_answer(result)
        if watch != self.watch or self.pending is not pending or self.context.stopped:
            return
        if isinstance(result, CallFailure):
            self.call_failed(watch, result)
            return
        outdated = result["index"] < self.coordinator.endpoint_list.index
        self.coordinator.endpoint_list_received(result)
        self.discovery.close_calls_of(self.node)
        now_ns = self.clock.now_ns
        changed = bool(result["endpoints"])
        pause_ns = self.watch_state.on_answer(changed, now_ns - began_ns, now_ns, outdated)
        pause_ns += int(self.environment.options.pause_after_answer_s * S * self.context.rng.random())
        self.clock.call_later(pause_ns, lambda: self._call(watch))

    def _handle_late_answer(self, document: ListDocument) -> None:
        self.coordinator.endpoint_list_received(document)
        self.handling_late_answer = True
        self.poll()
        self.handling_late_answer = False

    def call_failed(self, watch: int, failure: CallFailure) -> None:
        """Handles a call without an answer. The next call follows at once or when the coordinator polls."""
        if watch != self.watch or self.context.stopped:
            return
        self.last_failure = failure
        if self.redirect_target is not None:
            self._switch_to(self.redirect_target)
        elif self.watch_state.on_call_failed(failure):
            self._call(watch)
        else:
            self.watch = 0
            self.coordinator.endpoint_list_failed()
