"""Drives one balancer: turns what happens to clients, attempts and endpoints into events for it.

Frontends, the runtime and the emulator call the coordinator; it forwards each call to the part that owns the
state. It performs no I/O and knows no wire format.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointBanChanged,
    EndpointListUpdate,
    GossipState,
    HealthCheckCompleted,
    LearnedState,
    ListUpdateKind,
    SettingsChanged,
)
from puffinpost.balancing.settings import EndpointId, Settings
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.observability.counters import Counters
from puffinpost.proxy.action_executor import ActionExecutor
from puffinpost.proxy.attempts import AttemptController
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.endpoint_directory import EndpointDirectory
from puffinpost.proxy.exchange import Attempt, DownstreamClient, Exchange, SessionRequest
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.proxy.figures import ClassOutcome, FinalAnswer, health_check_counter
from puffinpost.proxy.final_answers import FinalAnswers
from puffinpost.proxy.handover import ConnectionHandover, HandoverState
from puffinpost.proxy.ports import ActivationGuard, Clock, Ports
from puffinpost.proxy.response_monitor import ResponseMonitor
from puffinpost.proxy.settings_view import SettingsView
from puffinpost.proxy.tracing import DecisionTracer

MAX_CLIENT_TIMEOUT_MS = 600_000  # a longer timeout is rejected as an error of the client
MAX_LOGGED_ENTRY_LENGTH = 200


class Coordinator:
    """One balancer, and the exchanges that it decides on."""

    def __init__(
        self,
        settings: Settings,
        class_names: tuple[str, ...],
        seed: int,
        endpoint_list: EndpointList,
        clock: Clock,
        ports: Ports,
        counters: Counters,
    ) -> None:
        self.settings_view = SettingsView(settings, class_names)
        self.endpoint_list = endpoint_list
        self.endpoints = EndpointDirectory(endpoint_list)
        self.clock = clock
        self.counters = counters
        self.balancer = Balancer(settings, seed)
        self.context = context = ProxyContext(clock, ports, counters, self.settings_view, self.endpoints)
        self.table = table = ExchangeTable(context)
        self.request_ids = table.request_ids
        self.completion_listeners = table.completion_listeners
        self.tracer = DecisionTracer(context, table)
        self.dispatcher = dispatcher = Dispatcher(self.balancer, context, self.tracer)
        self.attempts = attempts = AttemptController(context, table, dispatcher)
        self.answers = FinalAnswers(context, table, attempts, dispatcher)
        dispatcher.set_handler(ActionExecutor(context, table, attempts, self.answers, dispatcher))
        self.handover = ConnectionHandover(context, table, attempts, dispatcher, self.balancer)
        self.responses = ResponseMonitor(context, table, attempts, dispatcher)
        self.responses.start()
        self.endpoint_list_listeners: list[Callable[[], None]] = []  # called after each answer of discovery

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.settings_view.settings

    @property
    def class_names(self) -> tuple[str, ...]:
        """The names of the request classes, in the order of the settings."""
        return self.settings_view.class_names

    @property
    def exchanges(self) -> dict[int, Exchange]:
        """The exchanges in progress, by number."""
        return self.table.by_number

    def use_activation_guard(self, guard: ActivationGuard) -> None:
        """Sets the guard that is asked before new work is started."""
        self.context.activation_guard = guard

    # --- settings and endpoints -----------------------------------------------------------------------

    def apply_settings(
        self, settings: Settings, class_names: tuple[str, ...], closed_classes: frozenset[str]
    ) -> None:
        """Applies new settings. Exchanges in progress keep the class that they started with."""
        self.settings_view.apply(settings, class_names, closed_classes)
        self.dispatcher.dispatch(lambda: SettingsChanged(settings))

    def class_index(self, name: str) -> int | None:
        """The index of a new request's class; None if there is none of this name or it is closed."""
        request_class = self.settings_view.class_indexes.get(name)
        if request_class is not None and self.settings_view.is_closed(request_class):
            self.context.count_outcome(ClassOutcome.FAULTED, request_class)
            return None
        return request_class

    def tenant_index(self, name: str | None) -> int:
        """The index of a new request's tenant; one past the last if there is none of this name."""
        return self.settings_view.tenant_index(name)

    def endpoint_list_received(self, answer: dict[str, Any], cached: bool = False) -> None:
        """Applies discovery's answer. Raises ``EndpointListError`` if the answer is not a list."""
        update = self.endpoints.apply_list(answer, cached)
        if invalid := self.endpoint_list.invalid_entries:
            self.counters.add("entries_spoilt", len(invalid))
            self.context.ports.write_log(
                f"endpoint list has invalid entries count={len(invalid)} "
                f"first={invalid[0][:MAX_LOGGED_ENTRY_LENGTH]}"
            )
        self.dispatcher.dispatch(lambda: update)
        for notify in self.endpoint_list_listeners:
            notify()

    def predecessor_list_received(self, answer: dict[str, Any], is_current: bool) -> None:
        """Applies the list that the predecessor of this process had been told.

        Raises ``EndpointListError`` if the answer is not a list.
        """
        update = self.endpoints.apply_predecessor_list(answer, is_current)
        if update is not None:
            self.dispatcher.dispatch(lambda: update)

    def endpoint_list_failed(self) -> None:
        """Handles a failed call to discovery, or the end of the watch."""
        self.counters.add("inventory_failed")
        self.dispatcher.dispatch(lambda: EndpointListUpdate(ListUpdateKind.FAILED))

    def apply_bans(self, banned: dict[str, int]) -> None:
        """Replaces the operators' bans: endpoint names, and the time of each ban in ns."""
        for change in self.endpoints.apply_bans(banned):
            self._dispatch_ban(change)

    def _dispatch_ban(self, change: EndpointBanChanged) -> None:
        self.dispatcher.dispatch(lambda: change)

    def gossip_received(self, state: GossipState) -> None:
        """Passes on a change in what other nodes report about endpoints and tenants."""
        self.dispatcher.dispatch(lambda: state)

    def accepts_new_work(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint is ready by the endpoint list and not banned."""
        return self.endpoints.accepts_new_work(endpoint)

    def health_check_completed(
        self, endpoint: EndpointId, result: AttemptResult, elapsed_ns: int, load_report: tuple[float, ...]
    ) -> None:
        """Handles the end of a health check, with or without a load report."""
        self.counters.add(health_check_counter(result))
        self.dispatcher.dispatch(lambda: HealthCheckCompleted(endpoint, result, elapsed_ns, load_report))

    # --- the client's side ----------------------------------------------------------------------------

    def open(self, request: SessionRequest, client: DownstreamClient) -> Exchange:
        """Accepts a request; it may be answered before this returns. Raises ``DuplicateRequestError``."""
        exchange = self.table.register(request, client)
        self.answers.start_deadline(exchange)
        if self.context.can_activate(exchange):
            self.dispatcher.dispatch(exchange.received_event)
        else:
            self.answers.answer_without_activation(exchange)
        return exchange

    def adopt(self, request: SessionRequest, endpoint: EndpointId, client: DownstreamClient) -> Exchange:
        """Restores a connection from an earlier process, with an attempt at its endpoint only."""
        exchange = self.table.register(request, client)
        exchange.adopted = True
        self.attempts.start(exchange, endpoint, request.client_timeout_ns)
        return exchange

    def client_disconnected(self, exchange: Exchange) -> None:
        """Handles the end of the client's connection; no answer is expected any more."""
        if exchange.answered:
            return
        if not exchange.established:
            self.table.complete(exchange, FinalAnswer.CLIENT_DISCONNECTED, None)
            if not exchange.adopted:
                self.dispatcher.dispatch(lambda: ClientDisconnected(exchange.number))
        self.attempts.abort(exchange.attempt, AttemptResult.CANCELLED)

    def client_half_closed(self, exchange: Exchange) -> None:
        """Handles a client that sends no more but may still read: answers a pending request now."""
        self.client_disconnected(exchange)
        if exchange.is_idempotent:
            exchange.client.reject(0)
        else:
            exchange.client.fail(False)

    def count_rejected(self, request_class: int) -> None:
        """Counts a request of a class that was rejected before it was opened, for lack of capacity."""
        self.context.count_outcome(ClassOutcome.THROTTLED, request_class)

    def lines_forwarded(self, exchange: Exchange, size: int, count: int = 1) -> None:
        """Records client lines, ``size`` bytes in total, that were written to the endpoint."""
        self.responses.lines_forwarded(exchange, size, count)

    def set_reading_paused(self, exchange: Exchange, paused: bool) -> None:
        """Records that a frontend paused or resumed reading the endpoint."""
        self.responses.set_reading_paused(exchange, paused)

    # --- the endpoint's side --------------------------------------------------------------------------

    def can_write(self, attempt: Attempt) -> bool:
        """Whether the request may be written now; if not, end the attempt as ``SUPERSEDED``."""
        return self.attempts.can_write(attempt)

    def remaining_ms(self, attempt: Attempt) -> int:
        """The timeout to give to the endpoint, in ms."""
        return self.attempts.remaining_ms(attempt)

    def request_written(self, attempt: Attempt) -> None:
        """Records that the request is written in full: from now on it may have run."""
        self.attempts.request_written(attempt)

    def attempt_established(self, attempt: Attempt) -> bool:
        """Handles the endpoint's acceptance. Returns False if the attempt or the exchange is completed."""
        return self.attempts.established(attempt)

    def attempt_ended(
        self, attempt: Attempt, result: AttemptResult, load_report: tuple[float, ...] = ()
    ) -> None:
        """Ends an attempt whose socket is closed."""
        self.attempts.ended(attempt, result, load_report)

    def load_reported(self, attempt: Attempt, us_per_s: float) -> None:
        """Passes on the connection's load that the endpoint reported, in microseconds of work per second."""
        self.attempts.load_reported(attempt, us_per_s)

    def delay_reported(self, attempt: Attempt, delay_ms: float) -> None:
        """Passes on the current processing time of a message that the endpoint reported."""
        self.attempts.delay_reported(attempt, delay_ms)

    def line_received(self, attempt: Attempt, size: int, is_echo: bool) -> None:
        """Records a line of the endpoint, of ``size`` bytes, that is forwarded to the client."""
        self.responses.line_received(attempt, size, is_echo)

    # --- shutdown and handover ------------------------------------------------------------------------

    def established_exchanges(self) -> list[Exchange]:
        """The exchanges whose connection is established."""
        return self.table.established()

    def migrate(self, exchange: Exchange) -> None:
        """Asks the client of an established connection to open its session again, and ends the attempt."""
        self.attempts.migrate(exchange)

    def answer_at_shutdown(self, exchange: Exchange) -> None:
        """Answers a pending exchange, since the node is about to stop."""
        self.answers.reject_or_fail(exchange)

    def handover_state(self, exchange: Exchange) -> dict[str, Any]:
        """What another process of this node needs to know about an established connection."""
        return self.handover.describe(exchange).to_map()

    def handed_over(self, exchange: Exchange) -> None:
        """Ends an exchange whose connection another process of this node has taken over."""
        self.handover.release(exchange)

    def take_over(self, state: dict[str, Any], client: DownstreamClient) -> Exchange:
        """Takes over a connection that was established in another process of this node."""
        return self.handover.take_over(HandoverState.from_map(state), client)

    def restore_learned_state(self, state: LearnedState) -> None:
        """Restores what the balancer of another process of this node has learned."""
        self.dispatcher.dispatch(lambda: state)
