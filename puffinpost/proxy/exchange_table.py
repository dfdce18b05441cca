"""The exchanges in progress, from their registration until they are completed and forgotten.

The coordinator and its parts register and complete exchanges here; listeners are notified of each completion.
The table never writes to a client and never starts an attempt.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost.balancing.events import AttemptResult
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.exchange import DownstreamClient, Exchange, ExchangeCompleted, SessionRequest
from puffinpost.proxy.figures import OUTCOME_OF_ANSWER, FinalAnswer
from puffinpost.proxy.request_ids import DuplicateRequestError, RequestIds


class ExchangeTable:
    """Exchanges in progress, by number."""

    def __init__(self, context: ProxyContext) -> None:
        self.context = context
        self.by_number: dict[int, Exchange] = {}
        self.request_ids = RequestIds()
        self.completion_listeners: list[Callable[[ExchangeCompleted], None]] = []
        self._last_number = 0

    def register(self, request: SessionRequest, client: DownstreamClient) -> Exchange:
        """Adds an exchange. Raises ``DuplicateRequestError`` if its request id is in use."""
        context = self.context
        if request.request_id is not None:
            try:
                self.request_ids.claim(request.request_id)
            except DuplicateRequestError:
                context.counters.add("duplicates")
                raise
        self._last_number += 1
        request_class = context.settings_view.settings.classes[request.request_class]
        exchange = Exchange(self._last_number, request, request_class, client, context.clock.now())
        self.by_number[exchange.number] = exchange
        context.counters.add("messages")
        return exchange

    def get(self, number: int) -> Exchange | None:
        """The exchange of this number, if it is in progress."""
        return self.by_number.get(number)

    def established(self) -> list[Exchange]:
        """The exchanges whose connection is established."""
        return [exchange for exchange in self.by_number.values() if exchange.established]

    def complete(self, exchange: Exchange, answer: FinalAnswer, result: AttemptResult | None) -> None:
        """Completes an exchange, counts it and notifies the listeners; no effect if it is completed."""
        if exchange.answered:
            return
        context = self.context
        exchange.complete()
        context.clock.cancel(exchange.deadline_timer)
        context.counters.add(answer)
        if (outcome := OUTCOME_OF_ANSWER.get(answer)) is not None:
            context.count_outcome(outcome, exchange.request.request_class)
        if exchange.attempt is None:
            self.forget(exchange)
        completed = ExchangeCompleted(exchange, answer, result, context.clock.now())
        for notify in self.completion_listeners:
            notify(completed)

    def forget(self, exchange: Exchange) -> None:
        """Removes an exchange and releases its request id."""
        removed = self.by_number.pop(exchange.number, None)
        if removed is not None and exchange.request.request_id is not None:
            self.request_ids.release(exchange.request.request_id)
