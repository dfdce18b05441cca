"""What is booked where: inherited and mid-flow connections, load notes, ended ones."""

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


def test_an_inherited_connection_is_booked_and_never_sent() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    request = RequestReceived(50, 0, world.now_ns + S, load=100)
    assert actions_of_type(world.handle(ConnectionAdopted(request, 1)), StartAttempt) == []
    server = world.balancer.state.endpoints[1]
    assert list(server.requests) == [50] and server.local_load > 0
    # No deadline runs.
    assert actions_of_type(world.advance(3 * S), Fail) + actions_of_type(world.advance(S), Reject) == []
    world.end_attempt(50, 0, 1, AttemptResult.SERVED, finished=True)
    assert server.requests == {} and server.local_load == 0 and world.balancer.state.requests == {}


def test_an_inherited_connection_of_an_unlisted_server_is_let_be() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    assert world.handle(ConnectionAdopted(RequestReceived(50, 0, world.now_ns + S), 9)) == []
    world.end_attempt(50, 0, 9, AttemptResult.RESET, finished=True)
    assert world.balancer.state.requests == {}


def test_a_load_note_changes_what_is_booked() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    world.establish_request(load=100)
    server = world.balancer.state.endpoints[1]
    assert server.local_load == 100.0
    world.handle(LoadReported(1, 250))
    assert server.local_load == 250.0 == world.balancer.state.accounting.local_load
    world.end_attempt(1, 0, 1, AttemptResult.SERVED, finished=True)
    assert server.local_load == 0.0 == world.balancer.state.accounting.local_load


def test_a_mid_flow_connection_is_placed_at_once_among_its_keys_candidates() -> None:
    lines = tuple(endpoint_entry(number) for number in range(1, 40))
    world = BalancerHarness(BALANCER_SETTINGS, *lines)
    send = single_action(world.send_request(key=77, is_mid_flow=True), StartAttempt)
    flow = world.balancer.state.requests[1]
    assert send.endpoint in [it.id for it in flow.zone_endpoints[:4]]


def test_groups_are_counted_by_open_connections() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    world.establish_request(group=9)
    world.establish_request(group=9)
    server = world.balancer.state.endpoints[1]
    assert server.group_connections == {9: 2}
    world.end_attempt(1, 0, 1, AttemptResult.SERVED, finished=True)
    world.end_attempt(2, 0, 1, AttemptResult.RESET, finished=True)
    assert server.group_connections == {}


def test_a_gone_server_is_forgotten_with_its_last_connection() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1))
    world.establish_request()
    world.handle(
        EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(1, status=EndpointStatus.REMOVED),))
    )
    assert 1 in world.balancer.state.endpoints
    world.end_attempt(1, 0, 1, AttemptResult.RESET, finished=True)
    assert world.balancer.state.endpoints == {}
