"""A simulated client of a simulated node, and the connections of its attempts to endpoints."""

from __future__ import annotations

from puffinpost.balancing.events import AttemptResult
from puffinpost.emulator.fleet.clock import LINK_DELAY_NS, MS, S
from puffinpost.emulator.fleet.environment import NodeContext
from puffinpost.proxy.exchange import Attempt

MEAN_SESSION_S = 2.0


class SimulatedClient:
    """One client with one request. Implements `DownstreamClient` and counts the final answers."""

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.environment, self.coordinator = context.environment, context.coordinator
        self.rng, self.clock = context.rng, context.environment.clock
        self.answers = 0

    def start_attempt(self, attempt: Attempt) -> None:
        """Connects after a random delay."""
        slow = self.rng.random() < self.environment.slow_connect_probability
        limit_ns = self.coordinator.settings.dial_timeout_ns
        delay_ns = int(limit_ns * self.rng.random()) if slow else LINK_DELAY_NS
        self.clock.call_later(delay_ns, lambda: self._connected(attempt))

    def _connected(self, attempt: Attempt) -> None:
        coordinator = self.coordinator
        if attempt.completed or self.context.stopped:
            return
        if self.environment.options.checks_before_write and not coordinator.can_write(attempt):
            coordinator.attempt_ended(attempt, AttemptResult.SUPERSEDED)
            return
        name = coordinator.endpoint_list.name(attempt.endpoint)
        self.environment.rule.request_sent(self.context.number, name, self.clock.now_ns)
        coordinator.request_written(attempt)
        elapsed_ns = int(self.rng.uniform(5, 60) * MS)
        self.clock.call_later(elapsed_ns, lambda: self._answer(attempt, name))

    def _answer(self, attempt: Attempt, name: str) -> None:
        coordinator = self.coordinator
        if attempt.completed:
            return
        if self.environment.endpoints[name].status == "removed":
            coordinator.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
        elif coordinator.attempt_established(attempt):
            self._final_answer()
            session_ns = int(self.rng.expovariate(1 / MEAN_SESSION_S) * S)
            self.clock.call_later(
                session_ns, lambda: coordinator.attempt_ended(attempt, AttemptResult.SERVED)
            )

    def abort_attempt(self, attempt: Attempt) -> None:
        """The connection is closed, and produces no further events."""

    def reject(self, retry_after_ns: int) -> None:
        """The request is rejected."""
        del retry_after_ns  # the client does not retry
        self._final_answer()

    def fail(self, timed_out: bool) -> None:
        """The request has failed."""
        del timed_out  # both kinds of failure are final answers
        self._final_answer()

    def migrate(self) -> None:
        """The client disconnects and does not reconnect to this node."""

    def _final_answer(self) -> None:
        self.answers += 1
        self.environment.extra_answers += self.answers > 1
