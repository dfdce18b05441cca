"""Tests decisions that are harmless in one node but harmful in all forty at once, on a virtual clock."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from balancer_harness import BALANCER_SETTINGS, MS, BalancerHarness, S, actions_of_type, endpoint_entry

from puffinpost.balancing.actions import Migrate, PollEndpointList
from puffinpost.balancing.draining import mean_load_after_drain
from puffinpost.balancing.events import (
    ConnectionAdopted,
    EndpointBanChanged,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListUpdateKind,
    RequestReceived,
)
from puffinpost.balancing.poll_schedule import PollSchedule
from puffinpost.balancing.settings import RequestClass

NODES = 40
SETTINGS = replace(
    BALANCER_SETTINGS,
    balancer_count=NODES,
    zone_count=1,
    warmup_initial_capacity=0.35,
    warmup_duration_ns=9 * S,
    warmup_window_ns=3 * S,
    classes=(
        RequestClass(
            latency_objective_ns=800 * MS, deadline_ns=4800 * MS, message_latency_objective_ns=60 * MS
        ),
    ),
)


def create_fleet(seed: int, *entries: EndpointEntry) -> list[BalancerHarness]:
    return [
        BalancerHarness(replace(SETTINGS, balancer_index=index), *entries, seed=1000 * seed + index)
        for index in range(NODES)
    ]


def adopt_connections(node: BalancerHarness, endpoint: int, count: int) -> None:
    """Adds open connections of a node to an endpoint, as if adopted from an earlier process."""
    for _ in range(count):
        node.last_request = node.next_request
        node.next_request += 1
        node.handle(ConnectionAdopted(RequestReceived(node.last_request, 0, node.now_ns + 4 * S), endpoint))


def migrations_after_drain(seed: int, draining_load: float, remaining_load: float) -> list[int]:
    """The fleet's migrations in each 100 ms after a drain, given the loads of both endpoints."""
    nodes = create_fleet(seed, endpoint_entry(1), endpoint_entry(2))
    for number, node in enumerate(nodes):
        adopt_connections(node, 1, 1 + number % 2)
        node.report_load(1, draining_load, 60.0)
        node.report_load(2, remaining_load, 60.0)
        node.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.DRAINING),))
        )
    return [sum(len(actions_of_type(node.advance(100 * MS), Migrate)) for node in nodes) for _ in range(60)]


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_drain_migrates_connections_evenly_in_its_last_latency_objective_and_not_before(seed: int) -> None:
    slices = migrations_after_drain(seed, 0.3, 0.3)
    assert sum(slices[:39]) == 0 and sum(slices[39:49]) >= 57 and sum(slices) == 60
    # An even spread has 7.5 migrations in 100 ms; the bound is four standard deviations above that.
    assert max(slices) <= 18


@pytest.mark.parametrize("seed", [1, 2])
def test_drain_migrates_nothing_if_the_other_endpoints_lack_capacity(seed: int) -> None:
    assert sum(migrations_after_drain(seed, 0.5, 0.4)) == 0
    assert sum(migrations_after_drain(seed, 0.2, 0.4)) == 60


@pytest.mark.parametrize(
    ("remaining", "draining", "expected_load"),
    [
        ([(1.0, 0.5)], [], 0.5),
        ([(2.0, 0.4), (1.0, 0.1)], [(1.5, 0.4)], 0.5),
        ([], [(1.0, 0.5)], 0.0),
        ([(0.5, 0.2)], [(1.0, 0.5)], 1.2),  # an endpoint that is warming up has half of its capacity
    ],
)
def test_mean_load_after_drain_is_the_total_work_over_the_remaining_capacity(
    remaining: list[tuple[float, float]],
    draining: list[tuple[float, float]],
    expected_load: float,
) -> None:
    assert mean_load_after_drain(remaining, draining) == pytest.approx(expected_load)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_that_start_together_poll_discovery_soon_and_evenly(seed: int) -> None:
    """Forty nodes start at once: each polls once, evenly over the time that the six seconds leave."""
    settings = replace(SETTINGS, endpoint_list_is_polled=True)
    nodes = [
        BalancerHarness(replace(settings, balancer_index=index), endpoint_entry(1), seed=1000 * seed + index)
        for index in range(NODES)
    ]
    calls = [
        sum(len(actions_of_type(node.advance(100 * MS), PollEndpointList)) for node in nodes)
        for _ in range(41)
    ]
    assert sum(calls) == sum(calls[:25]) == NODES and max(sum(calls[at : at + 10]) for at in range(32)) <= 25
    assert max(sum(calls[at : at + 5]) for at in range(37)) <= 15


@pytest.mark.parametrize("nodes", [1, 2, 5, 20, 21, 40, 200, 1000])
@pytest.mark.parametrize("failures", [0, 1, 3, 9, 99])
def test_failed_poll_is_retried_within_the_limit_of_six_seconds(nodes: int, failures: int) -> None:
    """The backoff and discovery's longest queueing time fit in; nodes retry neither at once nor together."""
    delays_ns = []
    for seed in range(200):
        schedule = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=nodes), random.Random(seed))
        schedule.consecutive_failures = failures
        schedule.on_failure(S)
        assert schedule.next_poll_ns is not None
        delays_ns.append(schedule.next_poll_ns - S)
    assert max(delays_ns) + 2 * S < 6 * S * 3 // 4 and min(delays_ns) >= 25 * MS
    if nodes >= 200 or failures >= 9:
        assert sum(delays_ns) / len(delays_ns) > 1400 * MS  # as long as the six seconds allow
        assert max(delays_ns) - min(delays_ns) > S
        slices = [sum(at <= it < at + 200 * MS for it in delays_ns) for at in range(0, 6 * S, 200 * MS)]
        assert max(slices) < 60  # of two hundred


def test_small_fleet_does_not_spread_its_polls() -> None:
    schedule = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=20), random.Random(1))
    assert not schedule.is_large_fleet and schedule.redirect_delay_ns() == 0
    schedule = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=21), random.Random(1))
    assert schedule.is_large_fleet and len({schedule.redirect_delay_ns() for _ in range(50)}) > 40


BAN = EndpointBanChanged(1, True, 0)
DRAIN = EndpointListUpdate(
    ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.DRAINING), endpoint_entry(2))
)


@pytest.mark.parametrize(("first", "then"), [(DRAIN, BAN), (BAN, DRAIN), (BAN, BAN)])
def test_earlier_deadline_applies_if_an_endpoint_is_both_draining_and_banned(
    first: Event, then: Event
) -> None:
    node = BalancerHarness(SETTINGS, endpoint_entry(1))
    adopt_connections(node, 1, 200)
    node.handle(first)
    migration_count = len(actions_of_type(node.advance(S), Migrate))
    assert (migration_count == 0) if first is DRAIN else (20 <= migration_count < 200)
    node.handle(then)
    remaining_ns = 2400 * MS if then is BAN and first is DRAIN else 1400 * MS
    assert migration_count + len(actions_of_type(node.advance(remaining_ns + 50 * MS), Migrate)) == 200
