"""Whatever the settings say within the wire page: the rules hold over drawn events, and nothing fails."""

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


class Rules:
    """Plays drawn events through the decisions, and holds what they answer against the rules."""

    def __init__(self, told: Settings, seed: int) -> None:
        self.told, self.chance = told, random.Random(seed)
        self.truth = {number: self.line(number) for number in range(1, 7)}
        self.out: dict[int, tuple[int, int]] = {}  # attempts out: which, and where
        self.sent: dict[int, int] = {}
        self.standing: set[int] = set()
        self.answered: set[int] = set()
        self.node = BalancerHarness(told, *self.truth.values(), seed=seed)
        self.node.now_ns += S

    def line(self, number: int, status: EndpointStatus = EndpointStatus.READY) -> EndpointEntry:
        chance, told = self.chance, self.told
        return EndpointEntry(
            number,
            chance.randrange(told.zone_count),
            chance.randrange(told.endpoint_type_count),
            0,
            status,
            chance.choice([0.05, 1.0, 6.0]),
            chance.choice([0, self_now(chance)]),
        )

    def step(self) -> None:
        chance = self.chance
        often: list[Any] = [self.ask, self.wait, self.finish]
        chance.choice([*often, *often, self.tell, self.note])()

    def give(self, event: Event) -> None:
        for action in self.node.handle(event):
            self.check(action)

    def check(self, action: Action) -> None:
        told = self.told
        if isinstance(action, StartAttempt):
            assert action.request not in self.out and action.request not in self.answered
            assert self.truth[action.endpoint].status is EndpointStatus.READY and action.timeout_ns > 0
            number = self.sent.get(action.request, 0)
            assert number < told.max_attempts
            self.sent[action.request] = number + 1
            self.out[action.request] = (number, action.endpoint)
        elif isinstance(action, Reject | Fail):
            assert action.request not in self.answered and action.request not in self.standing
            assert not isinstance(action, Reject) or told.sends_retry_after or action.retry_after_ns == 0
            self.answered.add(action.request)
        elif isinstance(action, Migrate):
            assert action.request in self.standing
        elif isinstance(action, CheckHealth):
            assert told.health_checks_enabled
            values = [0.0, 0.4, 0.9, 3.0, 50.0, float("nan")]
            result = self.chance.choice([AttemptResult.SERVED, AttemptResult.TIMEOUT, AttemptResult.REJECTED])
            count = len(told.load_report_fields) if result is AttemptResult.SERVED else 0
            report = tuple(self.chance.choice(values) for _ in range(count))
            self.give(HealthCheckCompleted(action.endpoint, result, 2 * MS, report))
        elif isinstance(action, CancelAttempt):
            assert told.cancellation_enabled

    def ask(self) -> None:
        node, chance = self.node, self.chance
        node.last_request, node.next_request = node.next_request, node.next_request + 1
        request_class = chance.randrange(len(self.told.classes))
        load = chance.choice([None, 0, 100])
        self.give(
            RequestReceived(
                node.last_request,
                request_class,
                node.now_ns + self.told.classes[request_class].deadline_ns,
                chance.randrange(6),
                chance.getrandbits(48),
                chance.randrange(4),
                load,
            )
        )

    def wait(self) -> None:
        node = self.node
        end = node.now_ns + self.chance.choice([5, 60, 900]) * MS
        while node.timers and min(node.timers)[0] <= end:
            due = min(node.timers)
            node.timers.remove(due)
            node.now_ns = max(node.now_ns, due[0])
            self.give(TimerFired(due[2]))
        node.now_ns = end

    def finish(self) -> None:
        if not self.out:
            return
        request = self.chance.choice(sorted(self.out))
        number, server = self.out[request]
        if request not in self.standing and request not in self.answered and self.chance.random() < 0.6:
            self.standing.add(request)
            self.give(AttemptEstablished(request, number, server, 5 * MS))
            return
        stood = request in self.standing
        result = self.chance.choice([it for it in AttemptResult if stood or it is not AttemptResult.SERVED])
        del self.out[request]
        self.standing.discard(request)
        over = stood or request in self.answered
        if stood:
            self.answered.add(request)
        self.give(AttemptEnded(request, number, server, result, over, 50 * MS))

    def tell(self) -> None:
        number = self.chance.choice(sorted(self.truth))
        self.truth[number] = self.line(number, self.chance.choice(list(EndpointStatus)))
        self.give(EndpointListUpdate(ListUpdateKind.DELTA, (self.truth[number],)))
        self.give(EndpointListUpdate(ListUpdateKind.FAILED))

    def note(self) -> None:
        server = self.chance.choice(sorted(self.truth))
        for request in sorted(self.standing)[:1]:
            self.give(LoadReported(request, self.chance.choice([0, 1, 10**9])))
            self.give(DelayReported(request, server, self.chance.choice([0, 100, 5000]) * MS))
            self.give(ResponseOverdue(request, server, S))


def self_now(chance: random.Random) -> int:
    """A start not long ago, on the world's clock."""
    return 5 * S + chance.randrange(S)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(SETTINGS, st.integers(0, 2**32))
def test_the_rules_hold_whatever_the_settings_say(told: Settings, seed: int) -> None:
    rules = Rules(told, seed)
    for _ in range(120):
        rules.step()
    until = rules.node.now_ns + 6 * S  # longer than any client waits
    while rules.node.now_ns < until:
        rules.wait()
    # Who has no attempt out has an answer, whoever it was.
    assert set(range(1, rules.node.next_request)) == rules.answered | set(rules.out) | rules.standing
