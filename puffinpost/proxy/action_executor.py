"""Executes the actions that the balancer returns.

The dispatcher calls it for each action, and after an exception in the balancer. An action for an exchange
that is completed has no effect, except that the balancer is notified of an attempt that is not started.
"""

from __future__ import annotations

from puffinpost.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Migrate,
    PollEndpointList,
    Reject,
    StartAttempt,
    StartTimer,
    WriteLog,
)
from puffinpost.balancing.events import AttemptEnded, AttemptResult, Event, TimerFired
from puffinpost.balancing.settings import EndpointId, RequestId
from puffinpost.proxy.attempts import AttemptController
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.exchange import Exchange
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.proxy.final_answers import FinalAnswers


class ActionExecutor:
    """Executes actions (the dispatcher's ``DecisionHandler``)."""

    def __init__(
        self,
        context: ProxyContext,
        exchanges: ExchangeTable,
        attempts: AttemptController,
        answers: FinalAnswers,
        dispatcher: Dispatcher,
    ) -> None:
        self.context = context
        self.exchanges = exchanges
        self.attempts = attempts
        self.answers = answers
        self.dispatcher = dispatcher

    def execute(self, action: Action) -> None:
        """Executes one action."""
        match action:
            case StartTimer(after_ns, token):
                self.context.clock.call_later(
                    after_ns, lambda: self.dispatcher.dispatch(lambda: TimerFired(token))
                )
            case StartAttempt(request, endpoint, timeout_ns):
                self._start_attempt(request, endpoint, timeout_ns)
            case CheckHealth(endpoint):
                self.context.counters.add("probes")
                self.context.ports.check_health(endpoint)
            case PollEndpointList():
                self.context.ports.poll_endpoint_list()
            case WriteLog(text):
                self.context.ports.write_log(text)
            case Reject() | Fail() | CancelAttempt() | Migrate():
                exchange = self.exchanges.get(action.request)
                if exchange is not None:
                    self._execute_on(exchange, action)

    def _execute_on(self, exchange: Exchange, action: Reject | Fail | CancelAttempt | Migrate) -> None:
        match action:
            case Reject(_, retry_after_ns):
                self.answers.reject(exchange, retry_after_ns)
            case Fail():
                self.answers.fail(exchange)
            case CancelAttempt(_, number):
                attempt = exchange.attempt
                if attempt is not None and attempt.number == number and not exchange.established:
                    self.attempts.abort(attempt, AttemptResult.CANCELLED)
            case Migrate():
                self.attempts.migrate(exchange)

    def _start_attempt(self, request: RequestId, endpoint: EndpointId, timeout_ns: int) -> None:
        exchange = self.exchanges.get(request)
        number = 0
        if exchange is not None:
            number = exchange.attempts_started
            exchange.attempts_started += 1
            if not self.context.can_activate(exchange):
                self.answers.answer_without_activation(exchange)
            if self._can_start(exchange, number, endpoint):
                self.attempts.start(exchange, endpoint, timeout_ns, number)
                return
        self.context.counters.add("relay_moot")
        finished = exchange is None or exchange.answered or exchange.established
        self.dispatcher.dispatch(
            lambda: AttemptEnded(request, number, endpoint, AttemptResult.SUPERSEDED, finished, 0)
        )

    def _can_start(self, exchange: Exchange, number: int, endpoint: EndpointId) -> bool:
        """Whether an exchange is pending, has no attempt in progress, and has attempts and time left."""
        return (
            not exchange.answered
            and not exchange.established
            and exchange.attempt is None
            and number < self.context.settings_view.settings.max_attempts
            and exchange.deadline_ns > self.context.clock.now()
            and endpoint in self.context.endpoints.endpoint_list.addresses
        )

    def on_decision_failure(self, event: Event) -> None:
        """Ends the exchange that the event concerns, and no other."""
        exchange = self.exchanges.get(getattr(event, "request", 0))
        if exchange is not None:
            self.attempts.migrate(exchange)
            self.answers.fail(exchange)
