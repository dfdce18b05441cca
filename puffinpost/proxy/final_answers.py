"""Gives an exchange that is not established its one final answer.

The coordinator calls it when the balancer decides, at the exchange's deadline, and when the activation guard
or a shutdown requires it. It never answers an exchange twice.
"""

from __future__ import annotations

from puffinpost.balancing.events import AttemptResult, ClientDisconnected
from puffinpost.proxy.attempts import AttemptController
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.exchange import Exchange
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.proxy.figures import FinalAnswer
from puffinpost.units import MS

# The balancer answers at the deadline; if it has not done so this long after it, the exchange fails.
DEADLINE_GRACE_NS = 8 * MS


class FinalAnswers:
    """Answers exchanges."""

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

    def start_deadline(self, exchange: Exchange) -> None:
        """Starts the timer that fails the exchange if nothing else has completed it."""
        exchange.deadline_timer = self.context.clock.call_later(
            exchange.deadline_ns + DEADLINE_GRACE_NS - exchange.received_ns,
            lambda: self._on_deadline(exchange),
        )

    def reject(self, exchange: Exchange, retry_after_ns: int = 0) -> None:
        """Rejects an exchange; the client may retry after ``retry_after_ns``."""
        if self._complete(exchange, FinalAnswer.REJECTED):
            exchange.client.reject(retry_after_ns)
            self.exchanges.forget(exchange)

    def fail(self, exchange: Exchange) -> None:
        """Fails an exchange whose request may have run."""
        if self._complete(exchange, FinalAnswer.FAILED):
            exchange.client.fail(self.context.clock.now() >= exchange.deadline_ns)
            self.exchanges.forget(exchange)

    def reject_or_fail(self, exchange: Exchange, retry_after_ns: int = 0) -> None:
        """Rejects an exchange if a retry is safe, and fails it otherwise."""
        if exchange.is_idempotent:
            self.reject(exchange, retry_after_ns)
        else:
            self.fail(exchange)

    def answer_without_activation(self, exchange: Exchange) -> None:
        """Answers at once: the settings in force may have been replaced, so nothing may be started."""
        self.context.counters.add("in_doubt")
        settings = self.context.settings_view.settings
        retry_after_ns = settings.max_retry_after_ns // 2 if settings.sends_retry_after else 0
        self.reject_or_fail(exchange, retry_after_ns)

    def _complete(self, exchange: Exchange, answer: FinalAnswer) -> bool:
        """Completes the exchange and aborts its attempt. Returns False if it needs no answer."""
        if exchange.answered or exchange.established:
            return False
        self.exchanges.complete(exchange, answer, None)
        self.attempts.abort(exchange.attempt, AttemptResult.CANCELLED)
        return True

    def _on_deadline(self, exchange: Exchange) -> None:
        if exchange.answered or exchange.established:
            return
        self.context.counters.add("overdue")
        self.fail(exchange)
        self.dispatcher.dispatch(lambda: ClientDisconnected(exchange.number))
