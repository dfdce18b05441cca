"""Tests that attempts stay bounded if most of them fail or a zone is cut off, without sockets."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from balancer_harness import BALANCER_SETTINGS, MS, START_NS, BalancerHarness, S, endpoint_entry

from puffinpost.balancing.actions import Action, CheckHealth, Fail, Reject, StartAttempt
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    Event,
    HealthCheckCompleted,
    RequestReceived,
    TimerFired,
)

ZONE_SETTINGS = replace(
    BALANCER_SETTINGS,
    zone_count=3,
    balancer_count=3,
    max_attempts=5,
    load_report_fields=("x0",),
    zone_crossing_cost=0.01,
)
FAULT_START_S = 5
CONNECT_TIMEOUT_NS = 250 * MS


class FaultSimulation:
    """One node, nine endpoints in three zones and ten requests a second; zone 1 reports the lowest load."""

    def __init__(self, seed: int, failure_fraction: float = 0.0, zone_cut_off: bool = False) -> None:
        self.node = BalancerHarness(
            ZONE_SETTINGS, *(endpoint_entry(number, zone=number % 3) for number in range(9)), seed=seed
        )
        self.random = random.Random(seed)
        self.failure_fraction, self.zone_cut_off = failure_fraction, zone_cut_off
        self.pending_events: list[tuple[int, Event]] = []
        self.attempts_by_zone: Counter[tuple[int, int]] = Counter()  # by second and zone
        self.attempts: Counter[int] = Counter()
        self.final_answers: Counter[str] = Counter()

    def run(self, duration_s: int) -> FaultSimulation:
        for step in range(100 * duration_s):
            self.step()
            if step % 10 == 0:
                node = self.node
                node.last_request, node.next_request = node.next_request, node.next_request + 1
                key = self.random.getrandbits(40)
                self.apply_actions(
                    node.handle(RequestReceived(node.last_request, 0, node.now_ns + 2 * S, key=key))
                )
        return self

    def step(self) -> None:
        node, end_ns = self.node, self.node.now_ns + 10 * MS
        while node.timers and min(node.timers)[0] <= end_ns:
            timer = min(node.timers)
            node.timers.remove(timer)
            node.now_ns = max(node.now_ns, timer[0])
            self.apply_actions(node.handle(TimerFired(timer[2])))
        node.now_ns = end_ns
        due_events = [item for item in self.pending_events if item[0] <= end_ns]
        self.pending_events = [item for item in self.pending_events if item[0] > end_ns]
        for _, event in due_events:
            self.apply_actions(node.handle(event))

    def apply_actions(self, actions: list[Action]) -> None:
        now_ns, timeout = self.node.now_ns, AttemptResult.TIMEOUT
        for action in actions:
            if isinstance(action, Reject | Fail):
                self.final_answers[type(action).__name__] += 1
            if not isinstance(action, StartAttempt | CheckHealth):
                continue
            fault_active = now_ns > START_NS + FAULT_START_S * S
            lost = fault_active and self.zone_cut_off and action.endpoint % 3 == 1
            if isinstance(action, CheckHealth):
                load = (0.1 if action.endpoint % 3 == 1 else 0.7,)
                answer = HealthCheckCompleted(action.endpoint, AttemptResult.SERVED, 5 * MS, load)
                self.pending_events.append(
                    (
                        now_ns + CONNECT_TIMEOUT_NS,
                        HealthCheckCompleted(action.endpoint, timeout, CONNECT_TIMEOUT_NS),
                    )
                    if lost
                    else (now_ns + 5 * MS, answer)
                )
                continue
            number = self.attempts[action.request]
            self.attempts[action.request] += 1
            self.attempts_by_zone[(now_ns - START_NS) // S, action.endpoint % 3] += 1
            if lost or (fault_active and self.random.random() < self.failure_fraction):
                ended = AttemptEnded(
                    action.request, number, action.endpoint, timeout, False, CONNECT_TIMEOUT_NS
                )
                self.pending_events.append((now_ns + min(CONNECT_TIMEOUT_NS, action.timeout_ns), ended))
            else:
                established = AttemptEstablished(action.request, number, action.endpoint, 20 * MS)
                self.pending_events.append((now_ns + 20 * MS, established))


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_attempts_to_a_zone_that_is_cut_off_stop_within_a_second(seed: int) -> None:
    simulation = FaultSimulation(seed, zone_cut_off=True).run(20)
    # The zone gets all attempts before the fault.
    assert (
        sum(simulation.attempts_by_zone[second, 1] for second in range(FAULT_START_S)) == 10 * FAULT_START_S
    )
    assert simulation.attempts_by_zone[FAULT_START_S, 1] <= 4
    assert sum(simulation.attempts_by_zone[second, 1] for second in range(FAULT_START_S + 1, 20)) == 0
    assert (
        sum(simulation.attempts.values()) <= 1.03 * len(simulation.attempts) and not simulation.final_answers
    )


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_attempts_are_fewer_than_requests_if_nearly_all_fail(seed: int) -> None:
    simulation = FaultSimulation(seed, failure_fraction=0.97).run(20)
    request_count = 10 * (20 - FAULT_START_S)
    attempt_count = sum(
        count for (second, _), count in simulation.attempts_by_zone.items() if second >= FAULT_START_S
    )
    # The concurrency limit falls to one attempt at a time, and the other requests are rejected.
    assert 10 < attempt_count < request_count and max(simulation.attempts.values()) <= 3
    assert simulation.final_answers["Reject"] > request_count / 2


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_nearly_all_requests_are_served_with_under_two_attempts_each_if_a_third_fails(seed: int) -> None:
    simulation = FaultSimulation(seed, failure_fraction=0.33).run(20)
    assert sum(simulation.attempts.values()) < 2 * len(simulation.attempts)
    assert simulation.final_answers["Reject"] < 0.05 * 150
