"""Forty nodes' decisions in one process, on a simulated clock: what is harmless in one and harmful in all."""

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


def fleet(seed: int, *lines: EndpointEntry) -> list[BalancerHarness]:
    return [
        BalancerHarness(replace(SETTINGS, balancer_index=me), *lines, seed=1000 * seed + me)
        for me in range(NODES)
    ]


def held(node: BalancerHarness, server: int, count: int) -> None:
    """Connections of a node's at a server, as if they had been there before."""
    for _ in range(count):
        node.last_request = node.next_request
        node.next_request += 1
        node.handle(ConnectionAdopted(RequestReceived(node.last_request, 0, node.now_ns + 4 * S), server))


def drained(seed: int, load_there: float, load_here: float) -> list[int]:
    """Moves of the fleet in each 100 ms after a drain, by the loads of the one that drains and the other."""
    nodes = fleet(seed, endpoint_entry(1), endpoint_entry(2))
    for number, node in enumerate(nodes):
        held(node, 1, 1 + number % 2)
        node.report_load(1, load_there, 60.0)
        node.report_load(2, load_here, 60.0)
        node.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.DRAINING),))
        )
    return [sum(len(actions_of_type(node.advance(100 * MS), Migrate)) for node in nodes) for _ in range(60)]


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_drain_moves_its_connections_in_the_last_aim_that_it_stands_and_not_at_once(seed: int) -> None:
    slices = drained(seed, 0.3, 0.3)
    assert sum(slices[:39]) == 0 and sum(slices[39:49]) >= 57 and sum(slices) == 60
    # An even spread is 7.5 in 100 ms; four standard deviations over that.
    assert max(slices) <= 18


@pytest.mark.parametrize("seed", [1, 2])
def test_where_the_others_have_no_room_for_them_nobody_leaves(seed: int) -> None:
    assert sum(drained(seed, 0.5, 0.4)) == 0
    assert sum(drained(seed, 0.2, 0.4)) == 60


@pytest.mark.parametrize(
    ("staying", "leaving", "after"),
    [
        ([(1.0, 0.5)], [], 0.5),
        ([(2.0, 0.4), (1.0, 0.1)], [(1.5, 0.4)], 0.5),
        ([], [(1.0, 0.5)], 0.0),
        ([(0.5, 0.2)], [(1.0, 0.5)], 1.2),  # a cold one has half of its capacity
    ],
)
def test_the_load_after_is_all_work_over_what_stays(
    staying: list[tuple[float, float]],
    leaving: list[tuple[float, float]],
    after: float,
) -> None:
    assert mean_load_after_drain(staying, leaving) == pytest.approx(after)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_mass_start_asks_discovery_evenly_and_soon(seed: int) -> None:
    """Forty nodes start in one moment: each asks once, evenly over what the six seconds leave."""
    settings = replace(SETTINGS, endpoint_list_is_polled=True)
    nodes = [
        BalancerHarness(replace(settings, balancer_index=me), endpoint_entry(1), seed=1000 * seed + me)
        for me in range(NODES)
    ]
    calls = [
        sum(len(actions_of_type(node.advance(100 * MS), PollEndpointList)) for node in nodes)
        for _ in range(41)
    ]
    assert sum(calls) == sum(calls[:25]) == NODES and max(sum(calls[at : at + 10]) for at in range(32)) <= 25
    assert max(sum(calls[at : at + 5]) for at in range(37)) <= 15


@pytest.mark.parametrize("nodes", [1, 2, 5, 20, 21, 40, 200, 1000])
@pytest.mark.parametrize("fails", [0, 1, 3, 9, 99])
def test_who_failed_asks_again_so_soon_that_the_six_seconds_hold(nodes: int, fails: int) -> None:
    """A rest, then the longest wait in discovery's queue; and not at once, nor all nodes in one moment."""
    moments = []
    for seed in range(200):
        asking = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=nodes), random.Random(seed))
        asking.consecutive_failures = fails
        asking.on_failure(S)
        assert asking.next_poll_ns is not None
        moments.append(asking.next_poll_ns - S)
    assert max(moments) + 2 * S < 6 * S * 3 // 4 and min(moments) >= 25 * MS
    if nodes >= 200 or fails >= 9:
        assert sum(moments) / len(moments) > 1400 * MS  # as much as the six seconds leave
        assert max(moments) - min(moments) > S
        slices = [sum(at <= it < at + 200 * MS for it in moments) for at in range(0, 6 * S, 200 * MS)]
        assert max(slices) < 60  # of two hundred


def test_a_small_fleet_shares_nothing_out() -> None:
    asking = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=20), random.Random(1))
    assert not asking.is_large_fleet and asking.redirect_delay_ns() == 0
    asking = PollSchedule(replace(BALANCER_SETTINGS, balancer_count=21), random.Random(1))
    assert asking.is_large_fleet and len({asking.redirect_delay_ns() for _ in range(50)}) > 40


BANNED = EndpointBanChanged(1, True, 0)
DRAINS = EndpointListUpdate(
    ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.DRAINING), endpoint_entry(2))
)


@pytest.mark.parametrize(("first", "then"), [(DRAINS, BANNED), (BANNED, DRAINS), (BANNED, BANNED)])
def test_of_a_drain_and_a_ban_the_sooner_end_holds(first: Event, then: Event) -> None:
    node = BalancerHarness(SETTINGS, endpoint_entry(1))
    held(node, 1, 200)
    node.handle(first)
    moved = len(actions_of_type(node.advance(S), Migrate))
    assert (moved == 0) if first is DRAINS else (20 <= moved < 200)
    node.handle(then)
    by = 2400 * MS if then is BANNED and first is DRAINS else 1400 * MS
    assert moved + len(actions_of_type(node.advance(by + 50 * MS), Migrate)) == 200
