"""Passes events to the balancer, one at a time, and has its actions executed.

Every part of the proxy dispatches its events here. Events that occur while actions are executed are queued,
so the balancer is never re-entered.
"""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from puffinpost.balancing.actions import Action
from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import Event, TimerFired
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.tracing import DecisionTracer
from puffinpost.units import MS

TIMER_RETRY_NS = 250 * MS  # a timer event that failed is dispatched again after this


class DecisionHandler(Protocol):
    """Executes the balancer's decisions."""

    def execute(self, action: Action) -> None:
        """Executes one action."""

    def on_decision_failure(self, event: Event) -> None:
        """Handles an exception that was raised while the event was decided on or its actions executed."""


class Dispatcher:
    """The queue of events in front of one balancer."""

    def __init__(self, balancer: Balancer, context: ProxyContext, tracer: DecisionTracer) -> None:
        self.balancer = balancer
        self.context = context
        self.tracer = tracer
        self._queue: deque[Callable[[], Event]] = deque()
        self._dispatching = False

    def set_handler(self, handler: DecisionHandler) -> None:
        """Sets the handler of the actions; to be called once, before the first event."""
        self._handler = handler

    def dispatch(self, make_event: Callable[[], Event]) -> None:
        """Queues an event, which is created when it is dequeued, and processes the queue."""
        self._queue.append(make_event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._queue:
                self._decide(self._queue.popleft()())
        finally:
            self._dispatching = False

    def _decide(self, event: Event) -> None:
        try:
            self.tracer.trace(event)
            for action in self.balancer.handle(event, self.context.clock.now()):
                self.tracer.trace(action)
                self._handler.execute(action)
        except Exception:  # noqa: BLE001
            # Failures are contained here: a defect in one decision fails one request and must not stop the
            # node.
            self._on_failure(event)

    def _on_failure(self, event: Event) -> None:
        self.context.counters.add("exceptions")
        self.context.ports.write_log(
            f"balancer failed event={type(event).__name__} traceback={traceback.format_exc(limit=-3)}"
        )
        self._handler.on_decision_failure(event)
        if isinstance(event, TimerFired):
            # The balancer depends on a timer that it restarts each time it fires, so the event is retried.
            self.context.clock.call_later(TIMER_RETRY_NS, lambda: self.dispatch(lambda: event))
