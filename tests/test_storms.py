"""Set-ups that fail by the dozen, and a zone that is cut off: attempts stay bounded. No sockets."""

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

ZONES = replace(
    BALANCER_SETTINGS,
    zone_count=3,
    balancer_count=3,
    max_attempts=5,
    load_report_fields=("x0",),
    zone_crossing_cost=0.01,
)
CUT_S = 5  # when the trouble begins
DIAL = 250 * MS


class Day:
    """One node, nine servers in three zones, ten requests a second; zone 1 has most room and draws them."""

    def __init__(self, seed: int, failing: float = 0.0, cut: bool = False) -> None:
        self.node = BalancerHarness(
            ZONES, *(endpoint_entry(number, zone=number % 3) for number in range(9)), seed=seed
        )
        self.chance = random.Random(seed)
        self.failing, self.cut = failing, cut
        self.due: list[tuple[int, Event]] = []
        self.sends: Counter[tuple[int, int]] = Counter()  # by second and zone
        self.attempts: Counter[int] = Counter()
        self.ended: Counter[str] = Counter()

    def run(self, span_s: int) -> Day:
        for step in range(100 * span_s):
            self.step()
            if step % 10 == 0:
                node = self.node
                node.last_request, node.next_request = node.next_request, node.next_request + 1
                key = self.chance.getrandbits(40)
                self.do(node.handle(RequestReceived(node.last_request, 0, node.now_ns + 2 * S, key=key)))
        return self

    def step(self) -> None:
        node, end = self.node, self.node.now_ns + 10 * MS
        while node.timers and min(node.timers)[0] <= end:
            due = min(node.timers)
            node.timers.remove(due)
            node.now_ns = max(node.now_ns, due[0])
            self.do(node.handle(TimerFired(due[2])))
        node.now_ns = end
        now = [item for item in self.due if item[0] <= end]
        self.due = [item for item in self.due if item[0] > end]
        for _, event in now:
            self.do(node.handle(event))

    def do(self, actions: list[Action]) -> None:
        now, timeout = self.node.now_ns, AttemptResult.TIMEOUT
        for action in actions:
            if isinstance(action, Reject | Fail):
                self.ended[type(action).__name__] += 1
            if not isinstance(action, StartAttempt | CheckHealth):
                continue
            trouble = now > START_NS + CUT_S * S
            lost = trouble and self.cut and action.endpoint % 3 == 1
            if isinstance(action, CheckHealth):
                load = (0.1 if action.endpoint % 3 == 1 else 0.7,)
                answer = HealthCheckCompleted(action.endpoint, AttemptResult.SERVED, 5 * MS, load)
                self.due.append(
                    (now + DIAL, HealthCheckCompleted(action.endpoint, timeout, DIAL))
                    if lost
                    else (now + 5 * MS, answer)
                )
                continue
            number = self.attempts[action.request]
            self.attempts[action.request] += 1
            self.sends[(now - START_NS) // S, action.endpoint % 3] += 1
            if lost or (trouble and self.chance.random() < self.failing):
                over = AttemptEnded(action.request, number, action.endpoint, timeout, False, DIAL)
                self.due.append((now + min(DIAL, action.timeout_ns), over))
            else:
                up = AttemptEstablished(action.request, number, action.endpoint, 20 * MS)
                self.due.append((now + 20 * MS, up))


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_no_attempt_crosses_into_a_zone_that_is_cut_off_after_a_second(seed: int) -> None:
    day = Day(seed, cut=True).run(20)
    assert sum(day.sends[second, 1] for second in range(CUT_S)) == 10 * CUT_S  # it drew all of them before
    assert day.sends[CUT_S, 1] <= 4
    assert sum(day.sends[second, 1] for second in range(CUT_S + 1, 20)) == 0
    assert sum(day.attempts.values()) <= 1.03 * len(day.attempts) and not day.ended


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_storm_of_set_ups_that_fail_is_not_fed(seed: int) -> None:
    day = Day(seed, failing=0.97).run(20)
    asked = 10 * (20 - CUT_S)
    later = sum(count for (second, _), count in day.sends.items() if second >= CUT_S)
    # Fewer attempts than requests: the window is closed to one at a time, and the rest get their answer.
    assert 10 < later < asked and max(day.attempts.values()) <= 3
    assert day.ended["Reject"] > asked / 2


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_where_a_third_fails_nearly_all_are_served_and_attempts_stay_under_two(seed: int) -> None:
    day = Day(seed, failing=0.33).run(20)
    assert sum(day.attempts.values()) < 2 * len(day.attempts)
    assert day.ended["Reject"] < 0.05 * 150
