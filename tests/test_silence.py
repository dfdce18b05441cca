"""A server that falls silent, and a zone that does: given up on two signs, and on no fewer."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest
from balancer_harness import BALANCER_SETTINGS, MS, BalancerHarness, S, actions_of_type, endpoint_entry

from puffinpost.balancing.actions import Action, CheckHealth, Migrate
from puffinpost.balancing.events import (
    AttemptResult,
    ConnectionAdopted,
    EndpointListUpdate,
    EndpointStatus,
    HealthCheckCompleted,
    ListUpdateKind,
    RequestReceived,
    ResponseOverdue,
)

FAR = {4, 5, 6}  # the zone that is lost below


def owed(server: int, request: int = 1) -> ResponseOverdue:
    return ResponseOverdue(request, server, 400 * MS)


def missed(
    server: int, result: AttemptResult = AttemptResult.TIMEOUT, took_ms: int = 250
) -> HealthCheckCompleted:
    return HealthCheckCompleted(server, result, took_ms * MS)


def settled(seed: int = 1) -> BalancerHarness:
    """One connection at each of six servers of two zones, and no probe out."""
    world = BalancerHarness(
        replace(BALANCER_SETTINGS, balancer_count=40),
        *(endpoint_entry(it, zone=int(it in FAR)) for it in range(1, 7)),
        seed=seed,
    )
    for server in range(1, 7):
        world.last_request = world.next_request
        world.next_request += 1
        request = RequestReceived(world.last_request, 0, world.now_ns + 2 * S)
        world.handle(ConnectionAdopted(request, server))
    return world


def moves(actions: Iterable[Action]) -> set[int]:
    return {action.request for action in actions if isinstance(action, Migrate)}


def test_an_owed_line_asks_and_a_missed_probe_after_it_gives_up() -> None:
    world = settled()
    assert actions_of_type(world.handle(owed(1)), CheckHealth) == [CheckHealth(1)]
    assert moves(world.handle(missed(1))) == {1}


def test_an_answer_to_the_probe_keeps_the_connection_however_long_the_line_is_owed() -> None:
    world = settled()
    for _ in range(5):
        world.handle(owed(1))
        assert moves(world.handle(HealthCheckCompleted(1, AttemptResult.SERVED, MS))) == set()


@pytest.mark.parametrize("answer", [AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.RESET])
def test_whatever_it_says_it_is_there(answer: AttemptResult) -> None:
    world = settled()
    world.handle(owed(1))
    assert moves(world.handle(missed(1, answer))) == set()
    assert moves(world.handle(missed(1))) == set()  # the first sign since it was heard of


def test_a_refused_connection_is_an_answer_of_the_machine() -> None:
    """Guards nodes just started: their old lists name processes that are gone, on machines that stand."""
    world = settled()
    world.handle(owed(4))
    for server in FAR:
        assert moves(world.handle(missed(server, AttemptResult.CONNECT_FAILED, took_ms=1))) == set()
    assert moves(world.handle(missed(5, AttemptResult.CONNECT_FAILED))) == set()
    assert moves(world.handle(missed(5, AttemptResult.CONNECT_FAILED))) == {5}


def test_one_lost_probe_moves_nobody_and_asks_again_at_once() -> None:
    world = settled()
    assert world.handle(missed(2)) == [CheckHealth(2)]
    assert moves(world.handle(missed(2))) == {2}


def test_a_server_without_our_connections_is_not_asked_again() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    assert actions_of_type(world.handle(missed(2)), CheckHealth) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_zone_is_given_up_as_one_and_the_other_zone_stays(seed: int) -> None:
    """One owed line and three missed probes clear a zone of three: 250 ms, not seconds for each."""
    world = settled(seed)
    world.handle(owed(4))
    got = world.handle(missed(4))
    assert moves(got) == {4} and actions_of_type(got, CheckHealth) == [CheckHealth(5), CheckHealth(6)]
    assert moves(world.handle(missed(5))) == {5} and moves(world.handle(missed(6))) == {6}
    assert moves(world.handle(missed(1))) == set()


def test_of_a_silent_zone_one_that_answers_is_kept() -> None:
    world = settled()
    world.handle(owed(4))
    world.handle(missed(4))
    world.handle(HealthCheckCompleted(5, AttemptResult.SERVED, MS))
    assert moves(world.handle(missed(6))) == {6}


def test_a_zone_that_is_back_needs_two_signs_again() -> None:
    for back in (
        [HealthCheckCompleted(server, AttemptResult.SERVED, MS) for server in FAR],
        [
            EndpointListUpdate(
                ListUpdateKind.DELTA, tuple(endpoint_entry(it, zone=1, started_ns=S) for it in FAR)
            )
        ],
    ):
        world = settled()
        world.handle(owed(4))
        world.handle(missed(4))
        for event in back:
            world.handle(event)
        assert moves(world.handle(missed(5))) == set()


def test_where_probes_are_not_allowed_an_owed_line_changes_nothing() -> None:
    world = BalancerHarness(replace(BALANCER_SETTINGS, health_checks_enabled=False), endpoint_entry(1))
    world.establish_request()
    assert world.handle(owed(1)) == []


def test_what_is_unknown_or_off_is_not_asked() -> None:
    world = settled()
    assert world.handle(owed(99)) == []
    world.handle(
        EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, status=EndpointStatus.DRAINING),))
    )
    assert actions_of_type(world.handle(owed(2)), CheckHealth) == []
