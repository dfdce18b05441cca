"""Tests delay reports: how they differ from loads, how long they are valid, and how the balancer reacts."""

from __future__ import annotations

import random

import pytest
from balancer_harness import BALANCER_SETTINGS, MS, BalancerHarness, S, actions_of_type, endpoint_entry

from puffinpost.balancing.actions import Action, Migrate
from puffinpost.balancing.events import DelayReported, EndpointListUpdate, ListUpdateKind
from puffinpost.balancing.latency_tracker import LatencyTracker
from puffinpost.protocol.load_reports import LoadLineClassifier


def classify(*lines: tuple[float, float]) -> list[bool]:
    classifier = LoadLineClassifier()
    return [classifier.is_delay(value, received_s) for received_s, value in lines]


def test_first_line_is_a_load_however_small() -> None:
    assert classify((0.5, 25.0)) == [False]


def test_value_far_below_the_load_is_a_delay_and_a_later_load_is_still_recognized() -> None:
    assert classify((0.5, 42_000.0), (4.8, 800.0), (5.8, 900.0), (6.1, 30_000.0)) == [
        False,
        True,
        True,
        False,
    ]


def test_reduced_load_of_an_idle_caller_is_not_a_delay() -> None:
    assert classify((0.5, 5_792.0), (8.4, 589.0), (12.9, 5_600.0)) == [False, False, False]


@pytest.mark.parametrize("offset_s", [-0.04, 0.0, 0.04])
def test_delays_on_a_connection_with_a_low_load_are_recognized_by_their_interval(offset_s: float) -> None:
    """At a load of 711 microseconds a second, a delay of 55 ms is no large drop; the next one is periodic."""
    assert classify((0.5, 711.0), (10.5, 55.0), (11.5 + offset_s, 54.0), (12.5 + offset_s, 59.0)) == [
        False,
        False,
        True,
        True,
    ]


@pytest.mark.parametrize("seed", range(5))
def test_varying_loads_of_callers_are_never_classified_as_delays(seed: int) -> None:
    random_source = random.Random(seed)
    now_s, load, classifier = 0.0, 20_000.0, LoadLineClassifier()
    for _ in range(200):
        assert not classifier.is_delay(
            load * random_source.choice((0.08, 1.0)) * random_source.uniform(0.6, 1.6), now_s
        )
        now_s += random_source.uniform(4.1, 15.0)


def test_delay_report_is_valid_for_one_and_a_half_intervals() -> None:
    tracker = LatencyTracker()
    assert not tracker.exceeds(60 * MS, S)
    tracker.record(70 * MS, S)
    assert tracker.exceeds(60 * MS, 2 * S + 500 * MS) and not tracker.exceeds(60 * MS, 2 * S + 501 * MS)
    assert not tracker.exceeds(0, S) and not tracker.exceeds(71 * MS, S)


@pytest.mark.parametrize(
    ("first", "second", "expected_fraction"),
    [
        (1000, 1500, 1 - 0.7 / 1.5),  # the delay grows by half a second per second: a load of 1.5
        (500, 500, 0.3),  # the delay is constant: a load of 1
        (900, 850, 0.3),  # 17 s until the backlog is worked off
        (900, 300, 0.0),  # the backlog is worked off in half a second
        (-5, -5, 0.3),  # counts as no delay; the caller checks only endpoints that miss an objective
    ],
)
def test_excess_fraction_follows_from_two_delay_reports(
    first: int, second: int, expected_fraction: float
) -> None:
    tracker = LatencyTracker()
    tracker.record(first * MS, 10 * S)
    assert tracker.excess_fraction(0.7, 2 * S) == 0.0  # one report alone may be due to a burst
    tracker.record(second * MS, 11 * S)
    assert tracker.excess_fraction(0.7, 2 * S) == pytest.approx(expected_fraction)


def test_delay_reports_far_apart_show_no_growth() -> None:
    tracker = LatencyTracker()
    tracker.record(100 * MS, 10 * S)
    tracker.record(900 * MS, 13 * S)
    assert tracker.excess_fraction(0.7, 2 * S) == 0.0


def report_delays(
    harness: BalancerHarness, endpoint: int, first: int, step: int, reports: int = 2
) -> list[Action]:
    """Reports delays of an endpoint once a second, and returns the balancer's actions."""
    actions: list[Action] = []
    for number in range(reports):
        harness.advance(S)
        actions += harness.handle(DelayReported(1, endpoint, (first + step * number) * MS))
    return actions


def test_endpoint_that_misses_the_message_latency_objective_gets_no_requests_until_it_recovers() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    report_delays(harness, 1, 100, 0)
    assert {harness.establish_request().endpoint for _ in range(4)} == {2}
    harness.handle(DelayReported(1, 1, 15 * MS))
    assert 1 in {harness.establish_request().endpoint for _ in range(8)}


def test_each_node_migrates_its_share_of_the_excess_at_a_slow_endpoint() -> None:
    """Forty nodes have one or two connections each at an endpoint with a load of 1.5: about half migrate."""
    migrated = connections = 0
    for seed in range(40):
        harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), seed=seed)
        for _ in range(1 + seed % 2):
            harness.establish_request()
            connections += 1
        migrated += len(actions_of_type(report_delays(harness, 1, 1000, 500), Migrate))
    assert connections == 60 and 0.35 <= migrated / connections <= 0.75


def test_restart_of_an_endpoint_clears_its_delay_reports() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    report_delays(harness, 1, 100, 0)
    harness.handle(
        EndpointListUpdate(
            ListUpdateKind.FULL, (endpoint_entry(1, started_ns=harness.now_ns), endpoint_entry(2))
        )
    )
    assert not harness.balancer.state.endpoints[1].latency.exceeds(100 * MS, harness.now_ns)
