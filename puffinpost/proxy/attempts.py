"""The life cycle of attempts: started, written, established, ended.

The action executor starts attempts as the balancer decides, and the coordinator forwards what frontends
report about them. Results go to the balancer as events; an exchange has at most one attempt at a time.
"""

from __future__ import annotations

from puffinpost.balancing.events import (
    NO_EFFECT_RESULTS,
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    ConnectionAdopted,
    DelayReported,
    LoadReported,
)
from puffinpost.balancing.settings import EndpointId
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.exchange import Attempt, Exchange, ExchangeState
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.proxy.figures import ClassOutcome, FinalAnswer, attempt_counter
from puffinpost.units import MS

# The timeout sent to an endpoint is this much shorter than the node's own.
ENDPOINT_MARGIN_NS = 10 * MS
NS_PER_US = 1000


class AttemptController:
    """Starts, times and ends attempts."""

    def __init__(self, context: ProxyContext, exchanges: ExchangeTable, dispatcher: Dispatcher) -> None:
        self.context = context
        self.exchanges = exchanges
        self.dispatcher = dispatcher

    def start(self, exchange: Exchange, endpoint: EndpointId, timeout_ns: int, number: int = 0) -> None:
        """Starts an attempt. ``timeout_ns`` of 0 or less: its deadline is that of the exchange."""
        clock = self.context.clock
        now = clock.now()
        deadline_ns = exchange.deadline_ns if timeout_ns <= 0 else min(exchange.deadline_ns, now + timeout_ns)
        address = self.context.endpoints.endpoint_list.addresses[endpoint]
        attempt = Attempt(exchange, number, endpoint, address, now, deadline_ns)
        exchange.attempt = attempt
        exchange.endpoint_address = attempt.address
        attempt.timer = clock.call_later(max(0, deadline_ns - now), lambda: self._on_timeout(attempt))
        self.context.counters.add("relays")
        exchange.client.start_attempt(attempt)

    def can_write(self, attempt: Attempt) -> bool:
        """Whether the request may be written to the endpoint now; called just before the first byte.

        While the connection was being opened, the attempt may have timed out, the idempotency window passed,
        the endpoint been drained, moved or banned, or the settings been replaced. If this returns False, the
        caller ends the attempt as ``AttemptResult.SUPERSEDED``, and the balancer decides again.
        """
        exchange = attempt.exchange
        if attempt.completed:
            return False
        if exchange.adopted:
            return True
        now = self.context.clock.now()
        endpoints = self.context.endpoints
        return (
            now < attempt.deadline_ns
            and exchange.can_retry(now)
            and endpoints.accepts_new_work(attempt.endpoint)
            and endpoints.endpoint_list.addresses[attempt.endpoint] == attempt.listed_address
            and self.context.can_activate(exchange)
        )

    def remaining_ms(self, attempt: Attempt) -> int:
        """The timeout to give to the endpoint, in ms, at least 1."""
        return max(1, (attempt.deadline_ns - ENDPOINT_MARGIN_NS - self.context.clock.now()) // MS)

    def request_written(self, attempt: Attempt) -> None:
        """Records that the request is written in full: from now on it may have run."""
        attempt.written = True
        self.context.counters.add("relayed")
        self.context.report_activation(attempt)

    def established(self, attempt: Attempt) -> bool:
        """Handles the endpoint's acceptance. Returns False if the attempt or the exchange is completed."""
        exchange = attempt.exchange
        if attempt.completed or exchange.answered:
            return False
        self.stop_timers(attempt)
        exchange.transition(ExchangeState.ESTABLISHED)
        exchange.established_ns = self.context.clock.now()
        self.context.counters.add("up")
        self.context.count_outcome(ClassOutcome.FULFILLED, exchange.request.request_class)
        if exchange.adopted:
            request = exchange.received_event()
            self.dispatcher.dispatch(lambda: ConnectionAdopted(request, attempt.endpoint))
        else:
            elapsed_ns = exchange.established_ns - attempt.started_ns
            self.dispatcher.dispatch(
                lambda: AttemptEstablished(exchange.number, attempt.number, attempt.endpoint, elapsed_ns)
            )
        return True

    def ended(self, attempt: Attempt, result: AttemptResult, load_report: tuple[float, ...] = ()) -> None:
        """Ends an attempt whose socket is closed; no effect on an attempt that has ended already."""
        if attempt.completed:
            return
        exchange = attempt.exchange
        self.stop_timers(attempt)
        attempt.completed = True
        exchange.attempt = None
        if result not in NO_EFFECT_RESULTS and exchange.first_uncertain_attempt_ns is None:
            exchange.first_uncertain_attempt_ns = attempt.started_ns
        self.context.counters.add(attempt_counter(result))
        if exchange.established:
            self.exchanges.complete(exchange, FinalAnswer.SERVED, result)
        elif exchange.adopted and not exchange.answered:
            self.exchanges.complete(exchange, FinalAnswer.FAILED, result)
            exchange.client.fail(result is AttemptResult.TIMEOUT)
        if not exchange.adopted or exchange.established:
            self._dispatch_ended(attempt, result, load_report)
        if exchange.answered:
            self.exchanges.forget(exchange)

    def _dispatch_ended(
        self, attempt: Attempt, result: AttemptResult, load_report: tuple[float, ...]
    ) -> None:
        exchange = attempt.exchange
        elapsed_ns = self.context.clock.now() - attempt.started_ns
        # The event is created when it is dequeued: by then the exchange may be answered.
        self.dispatcher.dispatch(
            lambda: AttemptEnded(
                exchange.number,
                attempt.number,
                attempt.endpoint,
                result,
                exchange.answered,
                elapsed_ns,
                load_report,
            )
        )

    def abort(self, attempt: Attempt | None, result: AttemptResult) -> None:
        """Closes the attempt's socket and ends the attempt; no effect on None or an ended attempt."""
        if attempt is not None and not attempt.completed:
            attempt.exchange.client.abort_attempt(attempt)
            self.ended(attempt, result)

    def migrate(self, exchange: Exchange, result: AttemptResult = AttemptResult.CANCELLED) -> None:
        """Asks the client of an established connection to open its session again, and ends the attempt."""
        if exchange.established and not exchange.answered:
            self.context.counters.add("moves")
            attempt = exchange.attempt
            exchange.client.migrate()
            self.abort(attempt, result)

    def stop_timers(self, attempt: Attempt) -> None:
        """Cancels the attempt's timer, and the exchange's too if the exchange is completed."""
        clock = self.context.clock
        clock.cancel(attempt.timer)
        clock.cancel(attempt.exchange.deadline_timer if attempt.exchange.answered else None)

    def load_reported(self, attempt: Attempt, us_per_s: float) -> None:
        """Passes on the connection's load that the endpoint reported, in microseconds of work per second."""
        if not attempt.completed and attempt.exchange.established:
            self.context.counters.add("load_notes")
            number, load = attempt.exchange.number, int(us_per_s * NS_PER_US)
            self.dispatcher.dispatch(lambda: LoadReported(number, load))

    def delay_reported(self, attempt: Attempt, delay_ms: float) -> None:
        """Passes on the current processing time of a message that the endpoint reported."""
        if not attempt.completed and attempt.exchange.established:
            self.context.counters.add("delay_notes")
            number, delay_ns = attempt.exchange.number, int(delay_ms * MS)
            self.dispatcher.dispatch(lambda: DelayReported(number, attempt.endpoint, delay_ns))

    def _on_timeout(self, attempt: Attempt) -> None:
        # A request that was never written cannot have run.
        self.abort(attempt, AttemptResult.TIMEOUT if attempt.written else AttemptResult.CONNECT_FAILED)
