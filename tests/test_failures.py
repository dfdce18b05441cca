"""Failures found on simulated days, each reproduced with the balancer alone, without the bench."""

from dataclasses import replace

from balancer_harness import (
    BALANCER_SETTINGS,
    MS,
    BalancerHarness,
    S,
    actions_of_type,
    endpoint_entry,
    single_action,
)

from puffinpost.balancing.actions import CheckHealth, Fail, Migrate, PollEndpointList, Reject, StartAttempt
from puffinpost.balancing.concurrency_limiter import MAX_CONCURRENCY
from puffinpost.balancing.events import (
    AttemptEstablished,
    AttemptResult,
    DelayReported,
    EndpointListUpdate,
    HealthCheckCompleted,
    ListUpdateKind,
    RequestReceived,
    TimerFired,
)


def establish_connections(harness: BalancerHarness, endpoint: int, count: int) -> None:
    """Establishes requests until the endpoint has this many of the balancer's connections."""
    while len(harness.balancer.state.endpoints[endpoint].requests) < count:
        attempt = harness.establish_request()
        if attempt.endpoint != endpoint:
            harness.end_attempt(
                harness.last_request, 0, attempt.endpoint, AttemptResult.SERVED, finished=True
            )


def test_connections_are_migrated_off_an_endpoint_that_becomes_slow() -> None:
    harness = BalancerHarness()
    establish_connections(harness, 1, 30)
    for endpoint in (2, 3):
        harness.report_load(endpoint, 0.3, 10.0)
    harness.advance(S)
    migrations = actions_of_type(harness.report_load(1, 3.0, 30.0), Migrate)
    assert 20 <= len(migrations) <= 28  # from 3.0 down to 0.6 is four fifths of thirty
    # No further migration before a load report can show the effect of these.
    assert actions_of_type(harness.report_load(1, 3.0, 30.0), Migrate) == []


def test_no_connection_migrates_if_all_endpoints_are_equally_slow_but_not_overloaded() -> None:
    harness = BalancerHarness()
    establish_connections(harness, 1, 20)
    for endpoint in (2, 3):
        harness.report_load(endpoint, 0.95, 10.0)
    harness.advance(S)
    assert actions_of_type(harness.report_load(1, 0.95, 20.0), Migrate) == []


def test_connections_are_migrated_off_an_overloaded_endpoint_even_if_no_other_has_capacity() -> None:
    harness = BalancerHarness()
    establish_connections(harness, 1, 40)
    for endpoint in (1, 2, 3):
        harness.report_load(endpoint, 0.95, 10.0)
    harness.advance(2 * S)
    migrations = actions_of_type(harness.report_load(1, 1.4, 40.0), Migrate)
    assert 14 <= len(migrations) <= 26  # from 1.4 down to 0.7 is half of forty


def test_failed_attempts_lower_the_concurrency_limit_and_established_ones_raise_it() -> None:
    harness = BalancerHarness(replace(BALANCER_SETTINGS, max_attempts=2))
    attempts = [single_action(harness.send_request(), StartAttempt) for _ in range(12)]
    assert harness.balancer.concurrency_limiter.limit == MAX_CONCURRENCY
    for number in range(8):
        harness.end_attempt(attempts[number].request, 0, attempts[number].endpoint, AttemptResult.ERROR)
    assert harness.balancer.concurrency_limiter.limit == 1.0
    assert actions_of_type(harness.send_request(), StartAttempt) == []  # the limit is reached
    pending_before = harness.balancer.concurrency_limiter.pending_attempts
    for attempt in attempts[8:]:
        harness.handle(AttemptEstablished(attempt.request, 0, attempt.endpoint, MS))
    assert harness.balancer.concurrency_limiter.limit == 5.0
    assert (
        pending_before > harness.balancer.concurrency_limiter.pending_attempts
        or harness.balancer.request_lifecycle.queue == {}
    )


def test_failing_endpoint_is_ejected_and_readmitted_after_a_load_report() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.handle(HealthCheckCompleted(1, AttemptResult.TIMEOUT, 300 * MS))
    assert {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(10)} == {2}
    harness.report_load(1, 0.1, 1.0)
    assert 1 in {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(10)}


def test_health_check_that_was_never_sent_does_not_affect_its_endpoint() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.handle(HealthCheckCompleted(1, AttemptResult.SUPERSEDED, 300 * MS))
    assert {single_action(harness.send_request(), StartAttempt).endpoint for _ in range(10)} == {1, 2}


def test_stalled_candidate_is_skipped() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    actions = harness.handle(RequestReceived(1, 0, harness.now_ns + 2 * S))
    assert {check.endpoint for check in actions_of_type(actions, CheckHealth)} == {1, 2}
    harness.report_load(2, 0.7, 10.0)  # endpoint 1 never answers
    harness.balancer.state.now_ns = harness.now_ns
    harness.timers.sort()
    attempts: list[StartAttempt] = []
    while not attempts:
        timer = harness.timers.pop(0)
        harness.now_ns = timer[0]
        attempts = actions_of_type(harness.handle(TimerFired(timer[2])), StartAttempt)
        harness.timers.sort()
    assert attempts[0].endpoint == 2


def test_reported_delay_triggers_a_health_check_of_the_endpoint() -> None:
    harness = BalancerHarness()
    harness.establish_request()
    harness.now_ns += 2 * S
    assert actions_of_type(harness.handle(DelayReported(1, 3, 400 * MS)), CheckHealth) == [CheckHealth(3)]
    # The health check is still in flight.
    assert actions_of_type(harness.handle(DelayReported(1, 3, 400 * MS)), CheckHealth) == []


def test_failed_poll_is_retried_and_the_last_endpoint_list_stays_in_use() -> None:
    harness = BalancerHarness(replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=10))
    assert len(actions_of_type(harness.advance(10 * S), PollEndpointList)) == 1
    for _ in range(5):
        harness.handle(EndpointListUpdate(ListUpdateKind.FAILED))
        assert len(actions_of_type(harness.advance(6 * S), PollEndpointList)) == 1
    assert actions_of_type(harness.send_request(), StartAttempt) != []


def test_endpoint_list_is_polled_soon_after_a_start_and_after_a_failed_poll() -> None:
    """Guards against an outdated list: a change while no poll is in flight is applied late."""
    harness = BalancerHarness(replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=3))
    assert len(actions_of_type(harness.advance(1100 * MS), PollEndpointList)) == 1
    gaps = []
    for _ in range(6):
        harness.handle(EndpointListUpdate(ListUpdateKind.FAILED))
        began = harness.now_ns
        while actions_of_type(harness.advance(5 * MS), PollEndpointList) == []:
            assert harness.now_ns < began + 10 * S
        gaps.append(harness.now_ns - began)
    assert gaps[0] <= 500 * MS and max(gaps) > 4 * gaps[0] and max(gaps) <= 2500 * MS
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA))
    harness.handle(EndpointListUpdate(ListUpdateKind.FAILED))
    assert len(actions_of_type(harness.advance(500 * MS), PollEndpointList)) == 1


def test_balancers_spread_their_polls_for_the_endpoint_list() -> None:
    poll_times_ns = set()
    for seed in range(20):
        harness = BalancerHarness(
            replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=20), seed=seed
        )
        while actions_of_type(harness.advance(50 * MS), PollEndpointList) == []:
            assert harness.now_ns < 20 * S
        poll_times_ns.add(harness.now_ns)
    assert len(poll_times_ns) > 10


def test_restarted_endpoint_loses_its_load_and_failures_and_warms_up() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.report_load(1, 2.0, 10.0)
    harness.handle(HealthCheckCompleted(1, AttemptResult.TIMEOUT, MS))
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, started_ns=harness.now_ns),)))
    endpoint = harness.balancer.state.endpoints[1]
    assert (endpoint.reported_load, endpoint.consecutive_failures, endpoint.ejected_until_ns) == (None, 0, 0)
    assert abs(harness.balancer.capacity.warmup_factor(endpoint) - 0.2) < 1e-9
    harness.now_ns += 10 * S
    harness.balancer.state.now_ns = harness.now_ns
    assert abs(harness.balancer.capacity.warmup_factor(endpoint) - 0.6) < 1e-9


def test_request_gets_one_final_answer_if_the_clock_jumps_forward() -> None:
    harness = BalancerHarness()
    attempt = single_action(harness.send_request(), StartAttempt)
    harness.now_ns += 3600 * S
    actions = harness.advance(S)
    assert len(actions_of_type(actions, Reject) + actions_of_type(actions, Fail)) == 1
    assert actions_of_type(actions, StartAttempt) == []
    assert harness.end_attempt(1, 0, attempt.endpoint, AttemptResult.TIMEOUT) == []
    assert harness.balancer.state.requests == {}
    assert single_action(harness.send_request(), StartAttempt).endpoint in (1, 2, 3)
