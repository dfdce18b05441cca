"""Failures met on simulated days, each without the bench."""

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


def loaded(world: BalancerHarness, server: int, count: int) -> None:
    """Lets a server carry this many of the balancer's connections."""
    while len(world.balancer.state.endpoints[server].requests) < count:
        send = world.establish_request()
        if send.endpoint != server:
            world.end_attempt(world.last_request, 0, send.endpoint, AttemptResult.SERVED, finished=True)


def test_connections_are_moved_off_a_server_gone_slow() -> None:
    world = BalancerHarness()
    loaded(world, 1, 30)
    for server in (2, 3):
        world.report_load(server, 0.3, 10.0)
    world.advance(S)
    moves = actions_of_type(world.report_load(1, 3.0, 30.0), Migrate)
    assert 20 <= len(moves) <= 28  # from 3.0 down to 0.6 is four fifths of thirty
    # Not again before a report can show it.
    assert actions_of_type(world.report_load(1, 3.0, 30.0), Migrate) == []


def test_nothing_is_moved_where_all_are_slow_alike_and_not_over() -> None:
    world = BalancerHarness()
    loaded(world, 1, 20)
    for server in (2, 3):
        world.report_load(server, 0.95, 10.0)
    world.advance(S)
    assert actions_of_type(world.report_load(1, 0.95, 20.0), Migrate) == []


def test_an_overloaded_server_is_eased_even_where_there_is_no_room() -> None:
    world = BalancerHarness()
    loaded(world, 1, 40)
    for server in (1, 2, 3):
        world.report_load(server, 0.95, 10.0)
    world.advance(2 * S)
    moves = actions_of_type(world.report_load(1, 1.4, 40.0), Migrate)
    assert 14 <= len(moves) <= 26  # from 1.4 down to 0.7 is half of forty


def test_failing_set_ups_narrow_the_window_and_good_ones_widen_it() -> None:
    world = BalancerHarness(replace(BALANCER_SETTINGS, max_attempts=2))
    sends = [single_action(world.send_request(), StartAttempt) for _ in range(12)]
    assert world.balancer.concurrency_limiter.limit == MAX_CONCURRENCY
    for number in range(8):
        world.end_attempt(sends[number].request, 0, sends[number].endpoint, AttemptResult.ERROR)
    assert world.balancer.concurrency_limiter.limit == 1.0
    assert actions_of_type(world.send_request(), StartAttempt) == []  # no more than that at once
    before = world.balancer.concurrency_limiter.pending_attempts
    for send in sends[8:]:
        world.handle(AttemptEstablished(send.request, 0, send.endpoint, MS))
    assert world.balancer.concurrency_limiter.limit == 5.0
    assert (
        before > world.balancer.concurrency_limiter.pending_attempts
        or world.balancer.request_lifecycle.queue == {}
    )


def test_a_server_that_fails_is_put_aside_and_comes_back() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    world.handle(HealthCheckCompleted(1, AttemptResult.TIMEOUT, 300 * MS))
    assert {single_action(world.send_request(), StartAttempt).endpoint for _ in range(10)} == {2}
    world.report_load(1, 0.1, 1.0)
    assert 1 in {single_action(world.send_request(), StartAttempt).endpoint for _ in range(10)}


def test_a_probe_that_was_never_written_says_nothing_of_its_server() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    world.handle(HealthCheckCompleted(1, AttemptResult.SUPERSEDED, 300 * MS))
    assert {single_action(world.send_request(), StartAttempt).endpoint for _ in range(10)} == {1, 2}


def test_a_silent_candidate_is_passed_over() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    got = world.handle(RequestReceived(1, 0, world.now_ns + 2 * S))
    assert {probe.endpoint for probe in actions_of_type(got, CheckHealth)} == {1, 2}
    world.report_load(2, 0.7, 10.0)  # server 1 never answers
    world.balancer.state.now_ns = world.now_ns
    world.timers.sort()
    sends: list[StartAttempt] = []
    while not sends:
        due = world.timers.pop(0)
        world.now_ns = due[0]
        sends = actions_of_type(world.handle(TimerFired(due[2])), StartAttempt)
        world.timers.sort()
    assert sends[0].endpoint == 2


def test_a_delay_note_asks_for_the_servers_report() -> None:
    world = BalancerHarness()
    world.establish_request()
    world.now_ns += 2 * S
    assert actions_of_type(world.handle(DelayReported(1, 3, 400 * MS)), CheckHealth) == [CheckHealth(3)]
    # Its answer is awaited.
    assert actions_of_type(world.handle(DelayReported(1, 3, 400 * MS)), CheckHealth) == []


def test_a_list_out_of_reach_is_asked_again_and_the_last_one_is_used() -> None:
    world = BalancerHarness(replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=10))
    assert len(actions_of_type(world.advance(10 * S), PollEndpointList)) == 1
    for _ in range(5):
        world.handle(EndpointListUpdate(ListUpdateKind.FAILED))
        assert len(actions_of_type(world.advance(6 * S), PollEndpointList)) == 1
    assert actions_of_type(world.send_request(), StartAttempt) != []


def test_the_list_is_asked_for_soon_after_a_start_and_after_a_failure() -> None:
    """Guards against old news: what changes while nobody listens is acted on late."""
    world = BalancerHarness(replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=3))
    assert len(actions_of_type(world.advance(1100 * MS), PollEndpointList)) == 1
    gaps = []
    for _ in range(6):
        world.handle(EndpointListUpdate(ListUpdateKind.FAILED))
        began = world.now_ns
        while actions_of_type(world.advance(5 * MS), PollEndpointList) == []:
            assert world.now_ns < began + 10 * S
        gaps.append(world.now_ns - began)
    assert gaps[0] <= 500 * MS and max(gaps) > 4 * gaps[0] and max(gaps) <= 2500 * MS
    world.handle(EndpointListUpdate(ListUpdateKind.DELTA))
    world.handle(EndpointListUpdate(ListUpdateKind.FAILED))
    assert len(actions_of_type(world.advance(500 * MS), PollEndpointList)) == 1


def test_balancers_spread_their_calls_for_the_list() -> None:
    moments = set()
    for seed in range(20):
        world = BalancerHarness(
            replace(BALANCER_SETTINGS, endpoint_list_is_polled=True, balancer_count=20), seed=seed
        )
        while actions_of_type(world.advance(50 * MS), PollEndpointList) == []:
            assert world.now_ns < 20 * S
        moments.add(world.now_ns)
    assert len(moments) > 10


def test_a_restarted_server_forgets_its_past_and_starts_cold() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    world.report_load(1, 2.0, 10.0)
    world.handle(HealthCheckCompleted(1, AttemptResult.TIMEOUT, MS))
    world.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, started_ns=world.now_ns),)))
    server = world.balancer.state.endpoints[1]
    assert (server.reported_load, server.consecutive_failures, server.ejected_until_ns) == (None, 0, 0)
    assert abs(world.balancer.capacity.warmup_factor(server) - 0.2) < 1e-9
    world.now_ns += 10 * S
    world.balancer.state.now_ns = world.now_ns
    assert abs(world.balancer.capacity.warmup_factor(server) - 0.6) < 1e-9


def test_a_clock_that_jumps_forward_is_survived() -> None:
    world = BalancerHarness()
    send = single_action(world.send_request(), StartAttempt)
    world.now_ns += 3600 * S
    got = world.advance(S)
    assert len(actions_of_type(got, Reject) + actions_of_type(got, Fail)) == 1
    assert actions_of_type(got, StartAttempt) == []
    assert world.end_attempt(1, 0, send.endpoint, AttemptResult.TIMEOUT) == []
    assert world.balancer.state.requests == {}
    assert single_action(world.send_request(), StartAttempt).endpoint in (1, 2, 3)
