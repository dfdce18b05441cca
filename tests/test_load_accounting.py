"""Tests the load accounting: adopted and mid-flow connections, load reports, and connections that end."""

from balancer_harness import (
    BALANCER_SETTINGS,
    BalancerHarness,
    S,
    actions_of_type,
    endpoint_entry,
    single_action,
)

from puffinpost.balancing.actions import Fail, Reject, StartAttempt
from puffinpost.balancing.events import (
    AttemptResult,
    ConnectionAdopted,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
    LoadReported,
    RequestReceived,
)


def test_adopted_connection_is_accounted_without_an_attempt() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    request = RequestReceived(50, 0, harness.now_ns + S, load=100)
    assert actions_of_type(harness.handle(ConnectionAdopted(request, 1)), StartAttempt) == []
    endpoint = harness.balancer.state.endpoints[1]
    assert list(endpoint.requests) == [50] and endpoint.local_load > 0
    # An adopted connection has no deadline.
    assert actions_of_type(harness.advance(3 * S), Fail) + actions_of_type(harness.advance(S), Reject) == []
    harness.end_attempt(50, 0, 1, AttemptResult.SERVED, finished=True)
    assert endpoint.requests == {} and endpoint.local_load == 0 and harness.balancer.state.requests == {}


def test_adopted_connection_of_an_unlisted_endpoint_has_no_effect() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    assert harness.handle(ConnectionAdopted(RequestReceived(50, 0, harness.now_ns + S), 9)) == []
    harness.end_attempt(50, 0, 9, AttemptResult.RESET, finished=True)
    assert harness.balancer.state.requests == {}


def test_load_report_of_a_connection_updates_the_accounted_load() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    harness.establish_request(load=100)
    endpoint = harness.balancer.state.endpoints[1]
    assert endpoint.local_load == 100.0
    harness.handle(LoadReported(1, 250))
    assert endpoint.local_load == 250.0 == harness.balancer.state.accounting.local_load
    harness.end_attempt(1, 0, 1, AttemptResult.SERVED, finished=True)
    assert endpoint.local_load == 0.0 == harness.balancer.state.accounting.local_load


def test_mid_flow_connection_is_placed_at_once_on_a_candidate_of_its_key() -> None:
    entries = tuple(endpoint_entry(number) for number in range(1, 40))
    harness = BalancerHarness(BALANCER_SETTINGS, *entries)
    attempt_action = single_action(harness.send_request(key=77, is_mid_flow=True), StartAttempt)
    request = harness.balancer.state.requests[1]
    assert attempt_action.endpoint in [it.id for it in request.zone_endpoints[:4]]


def test_groups_are_counted_by_open_connections() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    harness.establish_request(group=9)
    harness.establish_request(group=9)
    endpoint = harness.balancer.state.endpoints[1]
    assert endpoint.group_connections == {9: 2}
    harness.end_attempt(1, 0, 1, AttemptResult.SERVED, finished=True)
    harness.end_attempt(2, 0, 1, AttemptResult.RESET, finished=True)
    assert endpoint.group_connections == {}


def test_removed_endpoint_is_discarded_when_its_last_connection_ends() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    harness.establish_request()
    harness.handle(
        EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.REMOVED),))
    )
    assert 1 in harness.balancer.state.endpoints
    harness.end_attempt(1, 0, 1, AttemptResult.RESET, finished=True)
    assert harness.balancer.state.endpoints == {}
