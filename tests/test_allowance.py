"""A budget that many nodes share without talk: the sum of what all use, on a virtual clock."""

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


def wants(traffic: str, node: int, nodes: int, now_ns: int, chance: random.Random) -> int:
    """How many connections a node would send in this step."""
    if traffic == "idle, then all at once":
        return 3 if now_ns >= 20 * S else 0
    if traffic == "one in ten has it all":
        return int(node % 10 == 0) * int(chance.random() < 0.5)
    if traffic == "bursts":
        return 2 if now_ns // (2 * S) % 2 == 1 else 0
    return int(chance.random() < 0.02)


def sends(nodes: int, budget: float, traffic: str, seed: int, lapses: bool = True) -> Iterator[int]:
    """When something is sent. ``budget``: what all may send in a window."""
    chance = random.Random(seed)
    rate = WARMUP_RATE_FACTOR * budget / WINDOW_NS / nodes
    held = [chance.random() for _ in range(nodes)]
    lasts = TOKEN_LIFETIME_FRACTION * WINDOW_NS if lapses else 1e18
    for now_ns in range(0, 30 * S, STEP_NS):
        for node in range(nodes):
            held[node] = refill(held[node], rate, STEP_NS, lasts)
            for _ in range(wants(traffic, node, nodes, now_ns, chance)):
                if held[node] >= 1.0:
                    held[node] -= 1.0
                    yield now_ns


def fullest(times: list[int]) -> int:
    """The most in any window."""
    return max((bisect_right(times, at + WINDOW_NS) - number for number, at in enumerate(times)), default=0)


TRAFFIC = ("steady", "bursts", "one in ten has it all", "idle, then all at once")


@pytest.mark.parametrize("traffic", TRAFFIC)
@pytest.mark.parametrize(("nodes", "seeds"), [(2, 8), (5, 6), (20, 4), (30, 4), (200, 1)])
def test_the_sum_of_all_keeps_within_what_chance_allows(nodes: int, seeds: int, traffic: str) -> None:
    """Over N, what the page puts down to chance: 2 x root of N + 2."""
    for budget in (2.0, 9.0, 40.0):
        for seed in range(seeds):
            most = fullest(list(sends(nodes, budget, traffic, seed)))
            assert most <= budget + 2 * budget**0.5 + 2, (budget, seed)


def test_without_lapsing_an_idle_fleet_would_push_it_over() -> None:
    assert fullest(list(sends(30, 9.0, TRAFFIC[3], 1, lapses=False))) >= 30


@pytest.mark.parametrize("nodes", [1, 5, 30, 200])
def test_steady_work_gets_what_it_may(nodes: int) -> None:
    """The law holds back; but not so much that a cold one gets nothing."""
    sent = len(list(sends(nodes, 40.0, "bursts", 7)))
    assert sent >= 0.5 * WARMUP_RATE_FACTOR * 40.0 * 10 * 0.5  # half of the windows have bursts


def test_fractions_are_carried_and_what_was_not_used_lapses() -> None:
    held = 0.0
    for _ in range(10):
        held = refill(held, 0.25e-9, S, 0.0)
    assert held == pytest.approx(0.5)
    assert refill(0.9, 0.25e-9, S, 2 * S) == pytest.approx(1.15)
    assert refill(1.15, 0.25e-9, S, 2 * S) == pytest.approx(1.4)
    assert refill(1.4, 0.25e-9, S, 2 * S) == pytest.approx(0.65)  # it is 2.6 s old


@pytest.mark.parametrize("nodes", [2, 30])
def test_balancers_that_were_idle_do_not_push_a_cold_server_over(nodes: int) -> None:
    """The real book-keeping: nobody sends for eight seconds, then all would."""
    sent = []
    settings = BALANCER_SETTINGS
    for me in range(nodes):
        books = BalancerState(
            Settings(
                balancer_index=me,
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
            seed=me,
        )
        capacity = CapacityEstimator(books)
        capacity.connections_per_weight = 10.0
        cold = SlowStart(capacity)
        server = EndpointState(EndpointEntry(1, 0, 0, 0, EndpointStatus.READY, 1.0, S))
        books.now_ns = S
        cold.on_endpoint_started(server, S, books.random.random())
        cold.has_capacity(server)
        for step in range(100):
            books.now_ns = 9 * S + step * S // 100
            while cold.has_capacity(server):
                cold.on_attempt_started(server)
                sent.append(books.now_ns)
    may = 10.0 / 9 * 3.0 * 3  # the connections that fill it, three times over, in three seconds of nine
    assert 0 < len(sent) <= may + 2 * may**0.5 + 2
