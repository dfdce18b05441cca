"""Tests a rate limit that many nodes share without coordination: their total, on a virtual clock."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections.abc import Iterator

import pytest
from balancer_harness import BALANCER_SETTINGS, S

from puffinpost.balancing.capacity import CapacityEstimator
from puffinpost.balancing.events import EndpointEntry, EndpointStatus
from puffinpost.balancing.model import EndpointState
from puffinpost.balancing.settings import Settings
from puffinpost.balancing.slow_start import TOKEN_LIFETIME_FRACTION, WARMUP_RATE_FACTOR, SlowStart
from puffinpost.balancing.state import BalancerState
from puffinpost.balancing.token_bucket import refill

WINDOW_NS = 3 * S
STEP_NS = S // 100


def requested_connections(
    traffic: str, node: int, nodes: int, now_ns: int, random_source: random.Random
) -> int:
    """The number of connections that clients request from a node in this step."""
    if traffic == "idle, then all at once":
        return 3 if now_ns >= 20 * S else 0
    if traffic == "one node in ten gets all requests":
        return int(node % 10 == 0) * int(random_source.random() < 0.5)
    if traffic == "bursts":
        return 2 if now_ns // (2 * S) % 2 == 1 else 0
    return int(random_source.random() < 0.02)


def attempt_times(
    nodes: int, budget: float, traffic: str, seed: int, tokens_expire: bool = True
) -> Iterator[int]:
    """The times of all attempts. ``budget``: the limit of all nodes together in a window."""
    random_source = random.Random(seed)
    rate = WARMUP_RATE_FACTOR * budget / WINDOW_NS / nodes
    tokens = [random_source.random() for _ in range(nodes)]
    lifetime_ns = TOKEN_LIFETIME_FRACTION * WINDOW_NS if tokens_expire else 1e18
    for now_ns in range(0, 30 * S, STEP_NS):
        for node in range(nodes):
            tokens[node] = refill(tokens[node], rate, STEP_NS, lifetime_ns)
            for _ in range(requested_connections(traffic, node, nodes, now_ns, random_source)):
                if tokens[node] >= 1.0:
                    tokens[node] -= 1.0
                    yield now_ns


def max_in_window(times: list[int]) -> int:
    """The highest number of attempts in any window."""
    return max((bisect_right(times, at + WINDOW_NS) - number for number, at in enumerate(times)), default=0)


TRAFFIC = ("steady", "bursts", "one node in ten gets all requests", "idle, then all at once")


@pytest.mark.parametrize("traffic", TRAFFIC)
@pytest.mark.parametrize(("nodes", "seeds"), [(2, 8), (5, 6), (20, 4), (30, 4), (200, 1)])
def test_total_of_all_nodes_stays_within_the_limit_plus_random_variation(
    nodes: int, seeds: int, traffic: str
) -> None:
    """Above the limit N, the documentation allows 2 x sqrt(N) + 2 for random variation."""
    for budget in (2.0, 9.0, 40.0):
        for seed in range(seeds):
            max_count = max_in_window(list(attempt_times(nodes, budget, traffic, seed)))
            assert max_count <= budget + 2 * budget**0.5 + 2, (budget, seed)


def test_idle_fleet_exceeds_the_limit_if_tokens_do_not_expire() -> None:
    assert max_in_window(list(attempt_times(30, 9.0, TRAFFIC[3], 1, tokens_expire=False))) >= 30


@pytest.mark.parametrize("nodes", [1, 5, 30, 200])
def test_nodes_use_at_least_half_of_the_allowed_rate_during_bursts(nodes: int) -> None:
    """The limit must not be so strict that an endpoint that is warming up gets hardly any connections."""
    attempts = len(list(attempt_times(nodes, 40.0, "bursts", 7)))
    assert attempts >= 0.5 * WARMUP_RATE_FACTOR * 40.0 * 10 * 0.5  # half of the windows have bursts


def test_fractions_are_carried_over_and_unused_tokens_expire() -> None:
    tokens = 0.0
    for _ in range(10):
        tokens = refill(tokens, 0.25e-9, S, 0.0)
    assert tokens == pytest.approx(0.5)
    assert refill(0.9, 0.25e-9, S, 2 * S) == pytest.approx(1.15)
    assert refill(1.15, 0.25e-9, S, 2 * S) == pytest.approx(1.4)
    assert refill(1.4, 0.25e-9, S, 2 * S) == pytest.approx(0.65)  # the complete token is 2.6 s old


@pytest.mark.parametrize("nodes", [2, 30])
def test_idle_balancers_do_not_exceed_the_limit_of_an_endpoint_that_is_warming_up(nodes: int) -> None:
    """Runs the slow start itself: no balancer sends for eight seconds, then all send as much as they can."""
    attempts = []
    settings = BALANCER_SETTINGS
    for index in range(nodes):
        state = BalancerState(
            Settings(
                balancer_index=index,
                balancer_count=nodes,
                zone=0,
                zone_count=1,
                endpoint_type_count=1,
                classes=settings.classes,
                warmup_initial_capacity=0.35,
                warmup_duration_ns=9 * S,
                warmup_load_multiple=3.0,
                warmup_window_ns=3 * S,
            ),
            seed=index,
        )
        capacity = CapacityEstimator(state)
        capacity.connections_per_weight = 10.0
        slow_start = SlowStart(capacity)
        endpoint = EndpointState(EndpointEntry(1, 0, 0, 0, EndpointStatus.READY, 1.0, S))
        state.now_ns = S
        slow_start.on_endpoint_started(endpoint, S, state.random.random())
        slow_start.has_capacity(endpoint)
        for step in range(100):
            state.now_ns = 9 * S + step * S // 100
            while slow_start.has_capacity(endpoint):
                slow_start.on_attempt_started(endpoint)
                attempts.append(state.now_ns)
    # Three times the rate that fills it during its warm-up of nine seconds, in a window of three seconds.
    limit = 10.0 / 9 * 3.0 * 3
    assert 0 < len(attempts) <= limit + 2 * limit**0.5 + 2
