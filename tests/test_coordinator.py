"""The coordinator without sockets, for races that sockets cannot reproduce reliably."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from stand_ins import SETTINGS

from puffinpost.balancing.actions import Action, StartAttempt
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptResult,
    Event,
    LoadReported,
    RequestReceived,
    ResponseOverdue,
)
from puffinpost.balancing.settings import EndpointId
from puffinpost.config import flatten
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.observability.counters import Counters
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Attempt, SessionRequest
from puffinpost.simulator.settings_text import settings_of
from puffinpost.units import MS

ENTRY: dict[str, Any] = {
    "address": "127.0.0.1:1",
    "zone": "amman",
    "type": "large",
    "status": "up",
    "since_ms": 0,
}


class CoordinatorHarness:
    """A coordinator with a virtual clock; acts as its ports and as the client of each exchange.

    ``calls_made`` lists the names of the calls that the coordinator made, in order.
    """

    def __init__(self) -> None:
        self.now_ns = 10**15
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.timer_numbers = itertools.count()
        self.calls_made: list[str] = []
        self.attempts: list[Attempt] = []
        settings = settings_of(flatten(SETTINGS))
        self.coordinator = Coordinator(
            settings, ("live-text", "once"), 1, EndpointList(("amman",), ("large",)), self, self, Counters()
        )
        self.update_endpoints("up", "up")

    def update_endpoints(self, *statuses: str) -> None:
        entries = [{**ENTRY, "name": f"s-{n}", "status": status} for n, status in enumerate(statuses)]
        self.coordinator.endpoint_list_received({"index": 1, "snapshot": True, "endpoints": entries})

    def run(self, span_ms: int) -> None:
        until = self.now_ns + span_ms * MS
        while self.timers and self.timers[0][0] <= until:
            self.now_ns, _, call = heapq.heappop(self.timers)
            call()
        self.now_ns = until

    def now(self) -> int:
        return self.now_ns

    def call_later(self, after_ns: int, callback: Callable[[], None]) -> Any:
        heapq.heappush(self.timers, (self.now_ns + after_ns, next(self.timer_numbers), callback))

    def cancel(self, handle: Any) -> None:
        pass  # a cancelled timer fires anyway, which must have no effect

    def check_health(self, endpoint: EndpointId) -> None:
        raise AssertionError("the settings enable no health checks")

    def poll_endpoint_list(self) -> None:
        pass

    def write_log(self, text: str) -> None:
        self.calls_made.append("write_log")

    def start_attempt(self, attempt: Attempt) -> None:
        assert all(it.completed for it in self.attempts), "a second attempt is in progress"
        self.attempts.append(attempt)

    def abort_attempt(self, attempt: Attempt) -> None:
        self.calls_made.append("abort_attempt")

    def reject(self, retry_after_ns: int) -> None:
        self.calls_made.append("reject")

    def fail(self, timed_out: bool) -> None:
        self.calls_made.append("fail: timed out" if timed_out else "fail")

    def migrate(self) -> None:
        self.calls_made.append("migrate")


def test_an_endpoint_banned_during_connect_receives_nothing() -> None:
    harness = CoordinatorHarness()
    harness.coordinator.open(SessionRequest(0, 3000 * MS), harness)
    [attempt] = harness.attempts
    harness.coordinator.apply_bans({harness.coordinator.endpoint_list.name(attempt.endpoint): 1})
    assert not harness.coordinator.can_write(attempt)
    harness.coordinator.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
    assert len(harness.attempts) == 2 and harness.coordinator.can_write(harness.attempts[1])


def test_an_endpoint_drained_during_connect_receives_nothing() -> None:
    harness = CoordinatorHarness()
    harness.coordinator.open(SessionRequest(0, 3000 * MS), harness)
    [attempt] = harness.attempts
    assert harness.coordinator.can_write(attempt)
    draining_index = [harness.coordinator.endpoint_list.find(f"s-{n}") for n in (0, 1)].index(
        attempt.endpoint
    )
    harness.update_endpoints(*("draining" if n == draining_index else "up" for n in (0, 1)))
    assert not harness.coordinator.can_write(attempt)
    harness.coordinator.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
    assert len(harness.attempts) == 2 and harness.coordinator.can_write(harness.attempts[1])


@pytest.mark.parametrize("written", [False, True])
def test_a_non_idempotent_request_is_rejected_at_its_deadline_only_if_it_was_not_written(
    written: bool,
) -> None:
    harness = CoordinatorHarness()
    harness.coordinator.open(SessionRequest(1, 3000 * MS), harness)  # not idempotent
    if written:
        harness.coordinator.request_written(harness.attempts[0])
    harness.run(3001)
    assert (
        harness.calls_made[-1] == ("fail: timed out" if written else "reject")
        and not harness.coordinator.exchanges
    )
    assert sum(call in ("reject", "fail: timed out", "fail") for call in harness.calls_made) == 1


def test_establishment_after_the_final_answer_has_no_effect() -> None:
    harness = CoordinatorHarness()
    exchange = harness.coordinator.open(SessionRequest(0, 500 * MS), harness)
    harness.run(600)
    assert harness.calls_made.count("reject") == 1 and not harness.coordinator.attempt_established(
        harness.attempts[0]
    )
    harness.coordinator.attempt_ended(harness.attempts[0], AttemptResult.RESET)
    harness.coordinator.client_disconnected(exchange)
    assert harness.calls_made.count("reject") == 1 and not harness.coordinator.exchanges


def test_an_extra_attempt_is_superseded_and_an_unanswered_request_fails_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoordinatorHarness()
    events: list[Event] = []

    def decide(event: Event, now_ns: int) -> list[Action]:
        events.append(event)
        endpoint = harness.coordinator.endpoint_list.find("s-0") or 0
        return [StartAttempt(1, endpoint, 0)] * 2 if isinstance(event, RequestReceived) else []

    monkeypatch.setattr(harness.coordinator.balancer, "handle", decide)
    harness.coordinator.open(SessionRequest(0, 500 * MS), harness)
    assert len(harness.attempts) == 1
    assert [(it.attempt, it.result) for it in events if isinstance(it, AttemptEnded)] == [
        (1, AttemptResult.SUPERSEDED)
    ]
    harness.run(600)
    assert harness.calls_made[-1] == "fail: timed out" and not harness.coordinator.exchanges


@pytest.mark.parametrize("established", [False, True])
def test_an_exception_in_the_balancer_ends_one_exchange(
    monkeypatch: pytest.MonkeyPatch, established: bool
) -> None:
    harness = CoordinatorHarness()
    other = harness.coordinator.open(SessionRequest(0, 3000 * MS), harness)
    harness.coordinator.attempt_established(harness.attempts[0])
    if established:

        def raise_error(event: LoadReported) -> None:
            raise RuntimeError("boom")

        monkeypatch.setattr(harness.coordinator.balancer.state, "update_load", raise_error)
        harness.coordinator.load_reported(harness.attempts[0], 5.0)
        assert (
            harness.calls_made == ["write_log", "migrate", "abort_attempt"]
            and not harness.coordinator.exchanges
        )
    else:
        monkeypatch.setattr(harness.coordinator.balancer.request_lifecycle, "_place", lambda flow: 1 / 0)
        harness.coordinator.open(SessionRequest(0, 3000 * MS), harness)
        assert (
            harness.calls_made == ["write_log", "fail"]
            and other.established
            and list(harness.coordinator.exchanges) == [1]
        )


def test_an_overdue_echo_is_reported_once_and_not_while_the_client_does_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = CoordinatorHarness()
    reported: list[ResponseOverdue] = []
    monkeypatch.setattr(
        harness.coordinator.attempts, "_on_timeout", lambda attempt: None
    )  # this clock cancels no timer
    exchange = harness.coordinator.open(SessionRequest(0, 3000 * MS), harness)
    harness.coordinator.attempt_established(harness.attempts[0])
    monkeypatch.setattr(harness.coordinator.balancer.outlier_detector, "on_response_overdue", reported.append)
    harness.coordinator.lines_forwarded(exchange, 10)
    harness.coordinator.set_reading_paused(exchange, True)
    harness.run(2000)
    assert reported == []
    harness.coordinator.set_reading_paused(exchange, False)
    harness.run(2 * harness.coordinator.settings.dial_timeout_ns // MS)
    assert reported == []  # waiting times restart when the client resumes reading
    harness.run(2000)
    assert [(it.request, it.endpoint) for it in reported] == [(exchange.number, harness.attempts[0].endpoint)]
    harness.coordinator.line_received(harness.attempts[0], 10, True)
    harness.coordinator.lines_forwarded(exchange, 10)
    harness.run(1000)
    assert len(reported) == 2 and exchange.established
