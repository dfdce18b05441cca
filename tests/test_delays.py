"""Delay notes: told apart from loads, kept a while, and answered by probes, moves and other choices."""

from __future__ import annotations

import random

import pytest
from balancer_harness import BALANCER_SETTINGS, MS, BalancerHarness, S, actions_of_type, endpoint_entry

from puffinpost.balancing.actions import Action, Migrate
from puffinpost.balancing.events import DelayReported, EndpointListUpdate, ListUpdateKind
from puffinpost.balancing.latency_tracker import LatencyTracker
from puffinpost.protocol.load_reports import LoadLineClassifier


def read(*told: tuple[float, float]) -> list[bool]:
    lines = LoadLineClassifier()
    return [lines.is_delay(value, at) for at, value in told]


def test_the_first_line_is_the_load_however_small() -> None:
    assert read((0.5, 25.0)) == [False]


def test_a_figure_far_under_the_load_is_a_delay_and_the_load_still_changes() -> None:
    assert read((0.5, 42_000.0), (4.8, 800.0), (5.8, 900.0), (6.1, 30_000.0)) == [False, True, True, False]


def test_a_caller_that_falls_silent_tells_a_load() -> None:
    assert read((0.5, 5_792.0), (8.4, 589.0), (12.9, 5_600.0)) == [False, False, False]


@pytest.mark.parametrize("late", [-0.04, 0.0, 0.04])
def test_delays_of_a_light_connection_are_told_by_their_step_of_a_second(late: float) -> None:
    """Of 711 microseconds a second, a delay of 55 ms is no great fall; the next one comes in step."""
    assert read((0.5, 711.0), (10.5, 55.0), (11.5 + late, 54.0), (12.5 + late, 59.0)) == [
        False,
        False,
        True,
        True,
    ]


@pytest.mark.parametrize("seed", range(5))
def test_loads_that_swing_as_callers_do_are_never_taken_for_delays(seed: int) -> None:
    chance = random.Random(seed)
    now, load, lines = 0.0, 20_000.0, LoadLineClassifier()
    for _ in range(200):
        assert not lines.is_delay(load * chance.choice((0.08, 1.0)) * chance.uniform(0.6, 1.6), now)
        now += chance.uniform(4.1, 15.0)


def test_a_delay_is_held_for_one_and_a_half_notes() -> None:
    delay = LatencyTracker()
    assert not delay.exceeds(60 * MS, S)
    delay.record(70 * MS, S)
    assert delay.exceeds(60 * MS, 2 * S + 500 * MS) and not delay.exceeds(60 * MS, 2 * S + 501 * MS)
    assert not delay.exceeds(0, S) and not delay.exceeds(71 * MS, S)


@pytest.mark.parametrize(
    ("first", "second", "part"),
    [
        (1000, 1500, 1 - 0.7 / 1.5),  # half a second more each second: a load of 1.5
        (500, 500, 0.3),  # neither more nor less: a load of 1
        (900, 850, 0.3),  # 17 s until it has drained
        (900, 300, 0.0),  # drains in half a second
        (-5, -5, 0.3),  # counts as none at all; the caller asks only where an aim is missed
    ],
)
def test_two_notes_show_how_much_is_too_much(first: int, second: int, part: float) -> None:
    delay = LatencyTracker()
    delay.record(first * MS, 10 * S)
    assert delay.excess_fraction(0.7, 2 * S) == 0.0  # one alone may be a burst
    delay.record(second * MS, 11 * S)
    assert delay.excess_fraction(0.7, 2 * S) == pytest.approx(part)


def test_notes_that_are_far_apart_tell_no_growth() -> None:
    delay = LatencyTracker()
    delay.record(100 * MS, 10 * S)
    delay.record(900 * MS, 13 * S)
    assert delay.excess_fraction(0.7, 2 * S) == 0.0


def slow(world: BalancerHarness, server: int, first: int, step: int, notes: int = 2) -> list[Action]:
    """A server's delay notes, once a second."""
    got: list[Action] = []
    for number in range(notes):
        world.advance(S)
        got += world.handle(DelayReported(1, server, (first + step * number) * MS))
    return got


def test_nothing_is_placed_where_messages_miss_their_aim_until_it_is_well() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    slow(world, 1, 100, 0)
    assert {world.establish_request().endpoint for _ in range(4)} == {2}
    world.handle(DelayReported(1, 1, 15 * MS))
    assert 1 in {world.establish_request().endpoint for _ in range(8)}


def test_what_is_too_much_moves_away_over_the_fleet_each_node_its_part() -> None:
    """Forty nodes hold one or two connections each at a server of load 1.5: about half of all move."""
    moved = held = 0
    for seed in range(40):
        world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), seed=seed)
        for _ in range(1 + seed % 2):
            world.establish_request()
            held += 1
        moved += len(actions_of_type(slow(world, 1, 1000, 500), Migrate))
    assert held == 60 and 0.35 <= moved / held <= 0.75


def test_a_restart_clears_what_the_old_process_was_noted_for() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    slow(world, 1, 100, 0)
    world.handle(
        EndpointListUpdate(
            ListUpdateKind.FULL, (endpoint_entry(1, started_ns=world.now_ns), endpoint_entry(2))
        )
    )
    assert not world.balancer.state.endpoints[1].latency.exceeds(100 * MS, world.now_ns)
