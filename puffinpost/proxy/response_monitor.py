"""Monitors how quickly endpoints echo the lines of established connections.

Frontends report each line through the coordinator. Slow and overdue echoes go to the balancer as events; a
client whose endpoint has stalled is migrated.
"""

from __future__ import annotations

from puffinpost.balancing.events import AttemptResult, DelayReported, ResponseOverdue
from puffinpost.balancing.settings import EndpointId
from puffinpost.proxy.attempts import AttemptController
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.exchange import MAX_UNANSWERED_LINES, Attempt, Exchange
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.units import MS

# Clients send a line every 2 s, and a running endpoint must not be silent for 7 s. An endpoint that has not
# echoed a line for this long counts as stalled, which leaves time for a slow endpoint and for the loss of the
# next line too.
STALL_TIMEOUT_NS = 4500 * MS
SWEEP_INTERVAL_NS = 250 * MS
# A running endpoint echoes at once: an echo that takes two dial timeouts justifies a health check.
OVERDUE_DIAL_TIMEOUTS = 2
DELAY_REPORT_INTERVAL_NS = 1000 * MS  # between two reports of slow echoes of one endpoint


class ResponseMonitor:
    """Tracks the lines without an echo, and the endpoints whose echoes are slow."""

    def __init__(
        self,
        context: ProxyContext,
        exchanges: ExchangeTable,
        attempts: AttemptController,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        self.exchanges = exchanges
        self.attempts = attempts
        self.dispatcher = dispatcher
        self._slow_reported_ns: dict[EndpointId, int] = {}  # slow endpoints, and when that was last reported

    def start(self) -> None:
        """Starts the periodic sweep, which runs until the process ends."""
        self.context.clock.call_later(SWEEP_INTERVAL_NS, self._sweep)

    def lines_forwarded(self, exchange: Exchange, size: int, count: int = 1) -> None:
        """Records client lines, ``size`` bytes in total, that were written to the endpoint."""
        exchange.bytes_from_client += size
        exchange.unanswered_sent_ns.extend([self.context.clock.now()] * min(count, MAX_UNANSWERED_LINES))

    def line_received(self, attempt: Attempt, size: int, is_echo: bool) -> None:
        """Records a forwarded line of the endpoint. An echo answers the oldest line without an echo."""
        exchange = attempt.exchange
        exchange.bytes_from_endpoint += size
        if attempt.completed or not is_echo or not exchange.unanswered_sent_ns:
            return
        now = self.context.clock.now()
        delay_ns = now - exchange.unanswered_sent_ns.popleft()
        if self._should_report_delay(attempt.endpoint, delay_ns, now):
            self.context.counters.add("delay_notes")
            self.dispatcher.dispatch(lambda: DelayReported(exchange.number, attempt.endpoint, delay_ns))

    def _should_report_delay(self, endpoint: EndpointId, delay_ns: int, now: int) -> bool:
        """Whether to report a delay: a slow one once per interval, and the first normal one after it."""
        slow_ns = self.context.settings_view.slow_echo_ns
        if not slow_ns or delay_ns <= slow_ns:
            return self._slow_reported_ns.pop(endpoint, None) is not None
        reported_ns = self._slow_reported_ns.get(endpoint)
        if reported_ns is not None and now - reported_ns < DELAY_REPORT_INTERVAL_NS:
            return False
        self._slow_reported_ns[endpoint] = now
        return True

    def set_reading_paused(self, exchange: Exchange, paused: bool) -> None:
        """Records that a frontend paused reading the endpoint, because its client does not read, or resumed.

        The endpoint must not count as stalled meanwhile, so waiting times restart when reading resumes.
        """
        if exchange.reading_paused and not paused:
            now = self.context.clock.now()
            sent_ns = exchange.unanswered_sent_ns
            sent_ns.extend([now] * len(sent_ns))  # the deque is bounded: the oldest are dropped
            while sent_ns and sent_ns[0] != now:
                sent_ns.popleft()
        exchange.reading_paused = paused

    def _sweep(self) -> None:
        """Migrates the clients of stalled endpoints, and reports each overdue echo once."""
        self.context.clock.call_later(SWEEP_INTERVAL_NS, self._sweep)
        now = self.context.clock.now()
        overdue_ns = OVERDUE_DIAL_TIMEOUTS * self.context.settings_view.settings.dial_timeout_ns
        for exchange in self.exchanges.established():
            if not exchange.unanswered_sent_ns or exchange.reading_paused:
                continue
            oldest_ns = exchange.unanswered_sent_ns[0]
            waiting_ns = now - oldest_ns
            if waiting_ns > STALL_TIMEOUT_NS:
                self.context.counters.add("silent")
                self.attempts.migrate(exchange, AttemptResult.TIMEOUT)
            elif waiting_ns > overdue_ns and exchange.reported_overdue_ns != oldest_ns:
                exchange.reported_overdue_ns = oldest_ns
                self._report_overdue(exchange, waiting_ns)

    def _report_overdue(self, exchange: Exchange, waiting_ns: int) -> None:
        attempt = exchange.attempt
        if attempt is not None:
            self.context.counters.add("owed")
            self.dispatcher.dispatch(lambda: ResponseOverdue(exchange.number, attempt.endpoint, waiting_ns))
