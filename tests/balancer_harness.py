"""Test harness for the balancer: default settings, endpoint list entries, and a clock moved by the test."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from puffinpost.balancing.actions import Action, CheckHealth, StartAttempt, StartTimer
from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    ListUpdateKind,
    RequestReceived,
    TimerFired,
)
from puffinpost.balancing.settings import RequestClass, Settings

MS = 1_000_000
S = 1_000_000_000
START_NS = 5 * S
ActionT = TypeVar("ActionT")

BALANCER_SETTINGS = Settings(
    balancer_index=0,
    balancer_count=1,
    zone=0,
    zone_count=2,
    endpoint_type_count=1,
    classes=(
        RequestClass(
            latency_objective_ns=500 * MS,
            deadline_ns=2 * S,
            message_latency_objective_ns=100 * MS,
            idempotency_window_ns=S,
        ),
    ),
    drain_grace_ns=S,
    warmup_initial_capacity=0.2,
    warmup_duration_ns=20 * S,
    warmup_load_multiple=3.0,
    warmup_window_ns=S,
    answer_slack_ns=20 * MS,
    processing_interval_ns=5 * MS,
    max_attempts=4,
    max_retry_after_ns=S,
    health_checks_enabled=True,
    cancellation_enabled=True,
    load_report_fields=("x0", "concurrent"),
    endpoints_are_weighted=True,
    is_pass_through=True,
    park_ns=5 * S,
)


def endpoint_entry(
    endpoint: int,
    *,
    zone: int = 0,
    group: int = 0,
    status: EndpointStatus = EndpointStatus.READY,
    weight: float = 1.0,
    started_ns: int = 0,
) -> EndpointEntry:
    return EndpointEntry(endpoint, zone, 0, group, status, weight, started_ns)


class BalancerHarness:
    """A balancer with its clock and timers; the test passes in events and reads the actions."""

    def __init__(
        self, settings: Settings = BALANCER_SETTINGS, *entries: EndpointEntry, seed: int = 1
    ) -> None:
        self.balancer = Balancer(settings, seed)
        self.settings = settings
        self.now_ns = START_NS
        self.timers: list[tuple[int, int, int]] = []
        self.action_log: list[Action] = []
        self.next_request = 1
        self.handle(
            EndpointListUpdate(
                ListUpdateKind.CACHED, entries or (endpoint_entry(1), endpoint_entry(2), endpoint_entry(3))
            )
        )

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now_ns)
        for action in actions:
            if isinstance(action, StartTimer):
                self.timers.append((self.now_ns + action.after_ns, len(self.action_log), action.token))
            self.action_log.append(action)
        return actions

    def advance(self, duration_ns: int) -> list[Action]:
        """Advances the clock and fires the balancer's timers; health checks succeed without a load report."""
        end_ns = self.now_ns + duration_ns
        actions: list[Action] = []
        while self.timers and min(self.timers)[0] <= end_ns:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now_ns = max(self.now_ns, timer[0])
            timer_actions = self.handle(TimerFired(timer[2]))
            actions += timer_actions
            for check in actions_of_type(timer_actions, CheckHealth):
                actions += self.report_load(check.endpoint)
        self.now_ns = end_ns
        return actions

    def send_request(self, **fields: object) -> list[Action]:
        """Sends a new request and sets `last_request`; its health checks succeed without a load report."""
        self.last_request = self.next_request
        self.next_request += 1
        event_fields = {
            "request": self.last_request,
            "request_class": 0,
            "deadline_ns": self.now_ns + 2 * S,
            **fields,
        }
        actions = self.handle(RequestReceived(**event_fields))  # type: ignore[arg-type]
        return actions + [
            action
            for check in actions_of_type(actions, CheckHealth)
            for action in self.report_load(check.endpoint)
        ]

    def establish_request(self, **fields: object) -> StartAttempt:
        """Sends a new request, which must be placed at once, and establishes its attempt."""
        attempt = single_action(self.send_request(**fields), StartAttempt)
        self.handle(AttemptEstablished(self.last_request, 0, attempt.endpoint, 10 * MS))
        return attempt

    def report_load(self, endpoint: int, *load_report: float) -> list[Action]:
        return self.handle(HealthCheckCompleted(endpoint, AttemptResult.SERVED, MS, load_report))

    def end_attempt(
        self, request: int, attempt: int, endpoint: int, result: AttemptResult, finished: bool = False
    ) -> list[Action]:
        return self.handle(AttemptEnded(request, attempt, endpoint, result, finished, 50 * MS))


def actions_of_type(actions: list[Action], action_type: type[ActionT]) -> list[ActionT]:
    return [action for action in actions if isinstance(action, action_type)]


def single_action(actions: list[Action], action_type: type[ActionT]) -> ActionT:
    matching = actions_of_type(actions, action_type)
    assert len(matching) == 1, actions
    return matching[0]


def with_request_class(settings: Settings = BALANCER_SETTINGS, **changes: object) -> Settings:
    return replace(settings, classes=(replace(settings.classes[0], **changes),))  # type: ignore[arg-type]
