"""Property test of the balancer: invariants hold for random events and all settings on the wire page."""

from __future__ import annotations

import random
from typing import Any

from balancer_harness import MS, BalancerHarness, S
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from puffinpost.balancing.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    StartAttempt,
)
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    DelayReported,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    ListUpdateKind,
    LoadReported,
    RequestReceived,
    ResponseOverdue,
    TimerFired,
)
from puffinpost.balancing.settings import DeduplicationScope, Idempotency, RequestClass, Settings, Tenant

FIELDS = ("x0", "tps", "mean_ms", "err_ps", "concurrent", "inflight", "load_share")
CLASSES = st.builds(
    RequestClass,
    latency_objective_ns=st.integers(50, 900).map(lambda it: it * MS),
    deadline_ns=st.integers(1000, 5000).map(lambda it: it * MS),
    priority_weight=st.sampled_from([0.0, 1.0, 5.0]),
    idempotency=st.sampled_from(list(Idempotency)),
    deduplication_scope=st.sampled_from(list(DeduplicationScope)),
    idempotency_window_ns=st.sampled_from([0, 5 * S]),
    message_latency_objective_ns=st.sampled_from([0, 50 * MS, 250 * MS]),
)
TENANTS = st.builds(
    Tenant,
    quota_share=st.floats(0, 1),
    quota_connections=st.sampled_from([0.0, 3.0, 1000.0]),
    quota_per_s=st.sampled_from([0.0, 3.0]),
)
SETTINGS = st.builds(
    Settings,
    balancer_index=st.just(0),
    balancer_count=st.integers(1, 300),
    zone=st.just(0),
    zone_count=st.integers(1, 4),
    endpoint_type_count=st.integers(1, 3),
    classes=st.lists(CLASSES, min_size=1, max_size=4).map(tuple),
    tenants=st.lists(TENANTS, max_size=5).map(tuple),
    over_quota_weight=st.sampled_from([0.0, 0.1, 1.0]),
    endpoint_list_is_polled=st.booleans(),
    poll_within_ns=st.sampled_from([0, 2 * S, 10 * S]),
    drain_grace_ns=st.just(500 * MS),
    warmup_initial_capacity=st.floats(0.05, 1.0),
    warmup_duration_ns=st.sampled_from([0, 24 * S]),
    warmup_load_multiple=st.floats(1.0, 4.0),
    warmup_window_ns=st.just(2 * S),
    answer_slack_ns=st.just(16 * MS),
    processing_interval_ns=st.sampled_from([1 * MS, 50 * MS]),
    max_attempts=st.integers(1, 8),
    max_retry_after_ns=st.sampled_from([0, 2 * S]),
    sends_retry_after=st.booleans(),
    health_checks_enabled=st.booleans(),
    cancellation_enabled=st.booleans(),
    load_report_fields=st.lists(st.sampled_from(FIELDS), max_size=4, unique=True).map(tuple),
    endpoints_are_weighted=st.booleans(),
    groups_share_work=st.booleans(),
    zone_crossing_cost=st.sampled_from([0.0, 0.1, 1.0]),
    health_check_cost=st.sampled_from([0.0, 0.1]),
    migration_cost=st.sampled_from([0.0, 1.0]),
)


class InvariantChecker:
    """Passes random events to a balancer and checks its actions against the invariants."""

    def __init__(self, balancer_settings: Settings, seed: int) -> None:
        self.settings, self.random = balancer_settings, random.Random(seed)
        self.entries = {number: self.random_entry(number) for number in range(1, 7)}
        # The number and endpoint of each request's open attempt or connection.
        self.open_attempts: dict[int, tuple[int, int]] = {}
        self.attempt_counts: dict[int, int] = {}
        self.established: set[int] = set()
        self.answered: set[int] = set()
        self.harness = BalancerHarness(balancer_settings, *self.entries.values(), seed=seed)
        self.harness.now_ns += S

    def random_entry(self, number: int, status: EndpointStatus = EndpointStatus.READY) -> EndpointEntry:
        random_source, balancer_settings = self.random, self.settings
        return EndpointEntry(
            number,
            random_source.randrange(balancer_settings.zone_count),
            random_source.randrange(balancer_settings.endpoint_type_count),
            0,
            status,
            random_source.choice([0.05, 1.0, 6.0]),
            random_source.choice([0, recent_start_ns(random_source)]),
        )

    def step(self) -> None:
        random_source = self.random
        frequent_steps: list[Any] = [self.send_request, self.advance_clock, self.establish_or_end_attempt]
        random_source.choice(
            [*frequent_steps, *frequent_steps, self.update_endpoint_list, self.report_connection]
        )()

    def handle_event(self, event: Event) -> None:
        for action in self.harness.handle(event):
            self.check(action)

    def check(self, action: Action) -> None:
        balancer_settings = self.settings
        if isinstance(action, StartAttempt):
            assert action.request not in self.open_attempts and action.request not in self.answered
            assert self.entries[action.endpoint].status is EndpointStatus.READY and action.timeout_ns > 0
            number = self.attempt_counts.get(action.request, 0)
            assert number < balancer_settings.max_attempts
            self.attempt_counts[action.request] = number + 1
            self.open_attempts[action.request] = (number, action.endpoint)
        elif isinstance(action, Reject | Fail):
            assert action.request not in self.answered and action.request not in self.established
            assert (
                not isinstance(action, Reject)
                or balancer_settings.sends_retry_after
                or action.retry_after_ns == 0
            )
            self.answered.add(action.request)
        elif isinstance(action, Migrate):
            assert action.request in self.established
        elif isinstance(action, CheckHealth):
            assert balancer_settings.health_checks_enabled
            values = [0.0, 0.4, 0.9, 3.0, 50.0, float("nan")]
            result = self.random.choice([AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.REJECTED])
            count = len(balancer_settings.load_report_fields) if result is AttemptResult.SERVED else 0
            report = tuple(self.random.choice(values) for _ in range(count))
            self.handle_event(HealthCheckCompleted(action.endpoint, result, 2 * MS, report))
        elif isinstance(action, CancelAttempt):
            assert balancer_settings.cancellation_enabled

    def send_request(self) -> None:
        harness, random_source = self.harness, self.random
        harness.last_request, harness.next_request = harness.next_request, harness.next_request + 1
        request_class = random_source.randrange(len(self.settings.classes))
        load = random_source.choice([None, 0, 100])
        self.handle_event(
            RequestReceived(
                harness.last_request,
                request_class,
                harness.now_ns + self.settings.classes[request_class].deadline_ns,
                random_source.randrange(6),
                random_source.getrandbits(48),
                random_source.randrange(4),
                load,
            )
        )

    def advance_clock(self) -> None:
        harness = self.harness
        end_ns = harness.now_ns + self.random.choice([5, 60, 900]) * MS
        while harness.timers and min(harness.timers)[0] <= end_ns:
            timer = min(harness.timers)
            harness.timers.remove(timer)
            harness.now_ns = max(harness.now_ns, timer[0])
            self.handle_event(TimerFired(timer[2]))
        harness.now_ns = end_ns

    def establish_or_end_attempt(self) -> None:
        if not self.open_attempts:
            return
        request = self.random.choice(sorted(self.open_attempts))
        number, endpoint = self.open_attempts[request]
        if request not in self.established and request not in self.answered and self.random.random() < 0.6:
            self.established.add(request)
            self.handle_event(AttemptEstablished(request, number, endpoint, 5 * MS))
            return
        was_established = request in self.established
        result = self.random.choice(
            [it for it in AttemptResult if was_established or it is not AttemptResult.SERVED]
        )
        del self.open_attempts[request]
        self.established.discard(request)
        request_finished = was_established or request in self.answered
        if was_established:
            self.answered.add(request)
        self.handle_event(AttemptEnded(request, number, endpoint, result, request_finished, 50 * MS))

    def update_endpoint_list(self) -> None:
        number = self.random.choice(sorted(self.entries))
        self.entries[number] = self.random_entry(number, self.random.choice(list(EndpointStatus)))
        self.handle_event(EndpointListUpdate(ListUpdateKind.DELTA, (self.entries[number],)))
        self.handle_event(EndpointListUpdate(ListUpdateKind.FAILED))

    def report_connection(self) -> None:
        endpoint = self.random.choice(sorted(self.entries))
        for request in sorted(self.established)[:1]:
            self.handle_event(LoadReported(request, self.random.choice([0, 1, 10**9])))
            self.handle_event(DelayReported(request, endpoint, self.random.choice([0, 100, 5000]) * MS))
            self.handle_event(ResponseOverdue(request, endpoint, S))


def recent_start_ns(random_source: random.Random) -> int:
    """A recent start time, on the harness's clock."""
    return 5 * S + random_source.randrange(S)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(SETTINGS, st.integers(0, 2**32))
def test_invariants_hold_for_random_settings_and_events(balancer_settings: Settings, seed: int) -> None:
    checker = InvariantChecker(balancer_settings, seed)
    for _ in range(120):
        checker.step()
    end_ns = checker.harness.now_ns + 6 * S  # longer than any deadline
    while checker.harness.now_ns < end_ns:
        checker.advance_clock()
    # Every request without an open attempt has a final answer.
    assert (
        set(range(1, checker.harness.next_request))
        == checker.answered | set(checker.open_attempts) | checker.established
    )
