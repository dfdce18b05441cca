"""Tests that an endpoint or a zone is treated as stalled on two signs, and not on fewer."""

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

REMOTE_ENDPOINTS = {4, 5, 6}  # the endpoints of zone 1, which stalls in some tests


def response_overdue(endpoint: int, request: int = 1) -> ResponseOverdue:
    return ResponseOverdue(request, endpoint, 400 * MS)


def health_check_failed(
    endpoint: int, result: AttemptResult = AttemptResult.TIMEOUT, elapsed_ms: int = 250
) -> HealthCheckCompleted:
    return HealthCheckCompleted(endpoint, result, elapsed_ms * MS)


def harness_with_connections(seed: int = 1) -> BalancerHarness:
    """A balancer with one connection at each of six endpoints in two zones, without pending health checks."""
    harness = BalancerHarness(
        replace(BALANCER_SETTINGS, balancer_count=40),
        *(endpoint_entry(it, zone=int(it in REMOTE_ENDPOINTS)) for it in range(1, 7)),
        seed=seed,
    )
    for endpoint in range(1, 7):
        harness.last_request = harness.next_request
        harness.next_request += 1
        request = RequestReceived(harness.last_request, 0, harness.now_ns + 2 * S)
        harness.handle(ConnectionAdopted(request, endpoint))
    return harness


def migrated_requests(actions: Iterable[Action]) -> set[int]:
    return {action.request for action in actions if isinstance(action, Migrate)}


def test_overdue_response_triggers_a_health_check_and_a_missed_one_migrates() -> None:
    harness = harness_with_connections()
    assert actions_of_type(harness.handle(response_overdue(1)), CheckHealth) == [CheckHealth(1)]
    assert migrated_requests(harness.handle(health_check_failed(1))) == {1}


def test_answered_health_check_prevents_migration_despite_repeated_overdue_responses() -> None:
    harness = harness_with_connections()
    for _ in range(5):
        harness.handle(response_overdue(1))
        assert migrated_requests(harness.handle(HealthCheckCompleted(1, AttemptResult.SERVED, MS))) == set()


@pytest.mark.parametrize("answer", [AttemptResult.ERROR, AttemptResult.REJECTED, AttemptResult.RESET])
def test_any_answer_to_a_health_check_clears_the_signs_of_a_stall(answer: AttemptResult) -> None:
    harness = harness_with_connections()
    harness.handle(response_overdue(1))
    assert migrated_requests(harness.handle(health_check_failed(1, answer))) == set()
    # This is the first sign since the endpoint's last answer.
    assert migrated_requests(harness.handle(health_check_failed(1))) == set()


def test_promptly_refused_connection_is_not_a_missed_health_check() -> None:
    """A node that has just started may have an old list, with ended processes on healthy machines."""
    harness = harness_with_connections()
    harness.handle(response_overdue(4))
    for endpoint in REMOTE_ENDPOINTS:
        assert (
            migrated_requests(
                harness.handle(health_check_failed(endpoint, AttemptResult.CONNECT_FAILED, elapsed_ms=1))
            )
            == set()
        )
    assert migrated_requests(harness.handle(health_check_failed(5, AttemptResult.CONNECT_FAILED))) == set()
    assert migrated_requests(harness.handle(health_check_failed(5, AttemptResult.CONNECT_FAILED))) == {5}


def test_single_missed_health_check_migrates_nothing_and_is_retried_at_once() -> None:
    harness = harness_with_connections()
    assert harness.handle(health_check_failed(2)) == [CheckHealth(2)]
    assert migrated_requests(harness.handle(health_check_failed(2))) == {2}


def test_missed_health_check_is_not_retried_without_connections_at_the_endpoint() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    assert actions_of_type(harness.handle(health_check_failed(2)), CheckHealth) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_stalled_endpoint_triggers_checks_of_its_zone_and_the_other_zone_is_unaffected(seed: int) -> None:
    """One overdue response and three missed health checks migrate a zone of three endpoints.

    This takes 250 ms, instead of seconds for each endpoint.
    """
    harness = harness_with_connections(seed)
    harness.handle(response_overdue(4))
    actions = harness.handle(health_check_failed(4))
    assert migrated_requests(actions) == {4} and actions_of_type(actions, CheckHealth) == [
        CheckHealth(5),
        CheckHealth(6),
    ]
    assert migrated_requests(harness.handle(health_check_failed(5))) == {5} and migrated_requests(
        harness.handle(health_check_failed(6))
    ) == {6}
    assert migrated_requests(harness.handle(health_check_failed(1))) == set()


def test_endpoint_of_a_stalled_zone_that_answers_keeps_its_connections() -> None:
    harness = harness_with_connections()
    harness.handle(response_overdue(4))
    harness.handle(health_check_failed(4))
    harness.handle(HealthCheckCompleted(5, AttemptResult.SERVED, MS))
    assert migrated_requests(harness.handle(health_check_failed(6))) == {6}


def test_recovered_zone_needs_two_signs_of_a_stall_again() -> None:
    for recovery_events in (
        [HealthCheckCompleted(endpoint, AttemptResult.SERVED, MS) for endpoint in REMOTE_ENDPOINTS],
        [
            EndpointListUpdate(
                ListUpdateKind.DELTA,
                tuple(endpoint_entry(it, zone=1, started_ns=S) for it in REMOTE_ENDPOINTS),
            )
        ],
    ):
        harness = harness_with_connections()
        harness.handle(response_overdue(4))
        harness.handle(health_check_failed(4))
        for event in recovery_events:
            harness.handle(event)
        assert migrated_requests(harness.handle(health_check_failed(5))) == set()


def test_overdue_response_has_no_effect_if_health_checks_are_disabled() -> None:
    harness = BalancerHarness(replace(BALANCER_SETTINGS, health_checks_enabled=False), endpoint_entry(1))
    harness.establish_request()
    assert harness.handle(response_overdue(1)) == []


def test_overdue_response_of_an_unknown_or_draining_endpoint_triggers_no_health_check() -> None:
    harness = harness_with_connections()
    assert harness.handle(response_overdue(99)) == []
    harness.handle(
        EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, status=EndpointStatus.DRAINING),))
    )
    assert actions_of_type(harness.handle(response_overdue(2)), CheckHealth) == []
