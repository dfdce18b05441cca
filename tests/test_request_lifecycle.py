"""Tests the lifecycle of a request in one balancer: final answers, retries, the endpoint list and limits."""

from dataclasses import replace

import pytest
from balancer_harness import (
    BALANCER_SETTINGS,
    MS,
    START_NS,
    BalancerHarness,
    S,
    actions_of_type,
    endpoint_entry,
    single_action,
    with_request_class,
)

from puffinpost.balancing.actions import Action, Fail, Reject, StartAttempt
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    ClientDisconnected,
    DelayReported,
    EndpointListUpdate,
    EndpointStatus,
    HealthCheckCompleted,
    ListUpdateKind,
    LoadReported,
    RequestReceived,
    TimerFired,
)
from puffinpost.balancing.settings import DeduplicationScope, Idempotency


def final_answers(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Reject | Fail)]


def test_one_final_answer_is_sent_at_the_deadline_if_the_endpoint_does_not_respond() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    harness.send_request()
    actions = harness.advance(3 * S)
    assert len(final_answers(actions)) == 1
    assert actions_of_type(actions, StartAttempt) == []
    assert harness.end_attempt(harness.last_request, 0, 1, AttemptResult.TIMEOUT) == []
    assert harness.balancer.state.requests == {}


def test_failed_attempts_are_retried_at_other_endpoints_up_to_the_limit() -> None:
    harness = BalancerHarness()
    endpoint = single_action(harness.send_request(), StartAttempt).endpoint
    attempted_endpoints = [endpoint]
    for attempt in range(3):
        endpoint = single_action(
            harness.end_attempt(1, attempt, endpoint, AttemptResult.CONNECT_FAILED), StartAttempt
        ).endpoint
        attempted_endpoints.append(endpoint)
    assert sorted(attempted_endpoints[:3]) == [1, 2, 3]
    last_actions = harness.end_attempt(1, 3, endpoint, AttemptResult.CONNECT_FAILED)
    assert [type(answer) for answer in final_answers(last_actions)] == [Reject]


def test_request_that_is_not_idempotent_is_not_retried_once_it_may_have_been_executed() -> None:
    harness = BalancerHarness(with_request_class(idempotency=Idempotency.NOT_IDEMPOTENT))
    attempt_action = single_action(harness.send_request(), StartAttempt)
    assert attempt_action.timeout_ns == 2 * S  # no early timeout, since the request could not be retried
    retry = single_action(
        harness.end_attempt(1, 0, attempt_action.endpoint, AttemptResult.REJECTED), StartAttempt
    )
    assert final_answers(harness.end_attempt(1, 1, retry.endpoint, AttemptResult.RESET)) == [Fail(1)]


@pytest.mark.parametrize("scope", [DeduplicationScope.ZONE, DeduplicationScope.CELL, DeduplicationScope.ALL])
def test_keyed_request_is_retried_only_within_its_deduplication_scope_and_window(
    scope: DeduplicationScope,
) -> None:
    entries = (
        endpoint_entry(1, zone=0, group=1),
        endpoint_entry(2, zone=0, group=1),
        endpoint_entry(3, zone=1, group=2),
    )
    harness = BalancerHarness(
        with_request_class(idempotency=Idempotency.KEYED, deduplication_scope=scope), *entries
    )
    first = single_action(harness.send_request(), StartAttempt).endpoint
    harness.report_load(3, 0.0, 0.0)  # the best score is outside the scope of endpoints 1 and 2
    second = actions_of_type(harness.end_attempt(1, 0, first, AttemptResult.ERROR), StartAttempt)
    if scope is not DeduplicationScope.ALL:
        assert all((attempt_action.endpoint == 3) == (first == 3) for attempt_action in second)
    harness.now_ns += 2 * S
    late_actions = harness.end_attempt(1, 1, second[0].endpoint, AttemptResult.ERROR) if second else []
    assert actions_of_type(late_actions, StartAttempt) == []
    expected_type = Reject if scope is DeduplicationScope.ALL else Fail
    assert second == [] or isinstance(final_answers(late_actions)[0], expected_type)


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_endpoint_that_is_draining_or_removed_gets_no_new_requests(status: EndpointStatus) -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, status=status),)))
    for _ in range(20):
        assert single_action(harness.send_request(), StartAttempt).endpoint == 2


def test_endpoint_missing_from_a_full_list_gets_no_new_requests() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.handle(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(2),)))
    assert {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(9)} == {2}


def test_request_without_an_available_endpoint_is_queued_then_rejected() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1, status=EndpointStatus.DRAINING))
    assert actions_of_type(harness.send_request(), StartAttempt) == []
    actions = harness.advance(3 * S)
    assert [type(answer) for answer in final_answers(actions)] == [Reject]
    assert harness.balancer.state.requests == {} and harness.balancer.request_lifecycle.queue == {}


def test_queued_request_is_sent_when_an_endpoint_becomes_available() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1, status=EndpointStatus.DRAINING))
    harness.send_request()
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2),)))
    assert single_action(harness.advance(300 * MS), StartAttempt).endpoint == 2


def test_events_for_unknown_requests_or_endpoints_have_no_effect() -> None:
    harness = BalancerHarness()
    for event in (
        AttemptEstablished(99, 0, 1, MS),
        AttemptEnded(99, 0, 7, AttemptResult.TIMEOUT, False, MS),
        ClientDisconnected(99),
        LoadReported(99, 5),
        DelayReported(99, 7, 5),
        TimerFired(100),
        HealthCheckCompleted(7, AttemptResult.SERVED, MS, (1.0,)),
        RequestReceived(98, 40, START_NS + S),
    ):
        assert harness.handle(event) == []
    assert harness.balancer.state.requests == {}


def test_request_of_a_client_that_disconnected_gets_no_final_answer() -> None:
    harness = BalancerHarness()
    attempt_action = single_action(harness.send_request(), StartAttempt)
    assert final_answers(harness.handle(ClientDisconnected(1))) == []
    assert harness.end_attempt(1, 0, attempt_action.endpoint, AttemptResult.TIMEOUT) == []
    assert final_answers(harness.advance(3 * S)) == []
    assert harness.balancer.state.requests == {}


def test_finished_requests_leave_no_state() -> None:
    harness = BalancerHarness()
    for _ in range(200):
        attempt_action = harness.establish_request()
        harness.end_attempt(
            harness.last_request, 0, attempt_action.endpoint, AttemptResult.SERVED, finished=True
        )
    assert harness.balancer.state.requests == {}
    assert all(
        not endpoint.requests and endpoint.local_load == 0
        for endpoint in harness.balancer.state.endpoints.values()
    )


def test_balancers_together_keep_to_the_connection_rate_of_an_endpoint_that_is_warming_up() -> None:
    balancer_count = 50
    attempt_count = 0
    for seed in range(balancer_count):
        harness = BalancerHarness(
            replace(BALANCER_SETTINGS, balancer_count=balancer_count),
            endpoint_entry(1),
            endpoint_entry(2),
            seed=seed,
        )
        for endpoint in (1, 2):
            harness.report_load(endpoint, 0.5, 0.0)
        for _ in range(3):
            harness.establish_request()
        harness.handle(
            EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(3, started_ns=harness.now_ns),))
        )
        for _ in range(40):
            harness.advance(100 * MS)
            attempt_count += single_action(harness.send_request(), StartAttempt).endpoint == 3
    # The connections on two endpoints that are half full would fill one endpoint, and 1/20 of them per second
    # fills it during its warm-up. At first it accepts a fifth of that rate, and fails at three times as much.
    # The simulation runs for 4 s.
    full_connections = balancer_count * 43
    assert 0 < attempt_count <= full_connections / 20 * 0.36 * 3 * 4


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()),
        ("balancer_count", 0),
        ("warmup_load_multiple", 0.0),
        ("warmup_initial_capacity", 0.0),
        ("drain_grace_ns", -1),
        ("max_attempts", 0),
        ("processing_interval_ns", 0),
        ("migration_cost", -0.1),
        ("over_quota_weight", 2.0),
    ],
)
def test_invalid_setting_is_named_in_the_error(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        replace(BALANCER_SETTINGS, **{field: value})  # type: ignore[arg-type]
