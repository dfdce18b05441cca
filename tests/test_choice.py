"""Score and choice, by numbers worked out by hand."""

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
)

from puffinpost.balancing.actions import CheckHealth, Reject, StartAttempt
from puffinpost.balancing.endpoint_selector import CANDIDATES_PER_ZONE
from puffinpost.balancing.events import EndpointListUpdate, ListUpdateKind, RequestReceived
from puffinpost.balancing.model import PendingRequest, Placement


def flow(world: BalancerHarness, **more: object) -> PendingRequest:
    fields: dict[str, object] = {"request": 999, "request_class": 0, "deadline_ns": world.now_ns + S, **more}
    return PendingRequest(RequestReceived(**fields), world.settings.classes[0])  # type: ignore[arg-type]


def test_the_three_terms_come_from_the_reported_load() -> None:
    world = BalancerHarness()
    world.report_load(1, 0.4, 10.0)
    balancer = world.balancer
    assert balancer.endpoint_selector.score(balancer.state.endpoints[1], flow(world)) == 600.0 + 600.0 + 600.0
    world.report_load(2, 1.3, 10.0)
    assert balancer.endpoint_selector.score(balancer.state.endpoints[2], flow(world)) == 0.0


def test_without_a_report_the_own_load_stands_for_bandwidth() -> None:
    world = BalancerHarness()
    balancer = world.balancer
    balancer.capacity.capacity_per_weight = 10.0
    server = balancer.state.endpoints[1]
    assert balancer.endpoint_selector.score(server, flow(world)) == 3000.0
    server.local_load = 4.0
    assert balancer.endpoint_selector.score(server, flow(world)) == 1000.0 + 1000.0 + 600.0


def test_inflation_counts_for_all_balancers_and_fades_as_a_report_covers_it() -> None:
    world = BalancerHarness(replace(BALANCER_SETTINGS, balancer_count=4))
    balancer = world.balancer
    world.report_load(1, 0.5, 1.0)
    balancer.capacity.capacity_per_weight = 80.0
    server = balancer.state.endpoints[1]
    server.placements.append(Placement(world.now_ns, 2.0))
    # 2 of 80, for 4 balancers: a tenth of the bandwidth, 100 points.
    assert balancer.endpoint_selector.score(server, flow(world)) == 1500.0 - 100.0
    world.now_ns += 750 * MS  # half of three aims
    world.report_load(1, 0.5, 1.0)
    assert abs(balancer.endpoint_selector.score(server, flow(world)) - (1500.0 - 50.0)) < 1e-6
    world.now_ns += 2 * S
    world.report_load(1, 0.5, 1.0)
    assert balancer.endpoint_selector.score(server, flow(world)) == 1500.0 and server.placements == []


def test_inflation_never_takes_more_than_the_bandwidth_term() -> None:
    world = BalancerHarness()
    world.report_load(1, 0.5, 10.0)
    world.balancer.capacity.capacity_per_weight = 1.0
    world.balancer.state.endpoints[1].placements.append(Placement(world.now_ns, 50.0))
    assert world.balancer.endpoint_selector.score(world.balancer.state.endpoints[1], flow(world)) == 1000.0


@pytest.mark.parametrize(("pays", "bonus"), [(False, 200.0), (True, 3000.0)])
def test_the_bonus_goes_where_the_group_is_and_crossing_costs_by_its_fee(pays: bool, bonus: float) -> None:
    world = BalancerHarness(
        replace(BALANCER_SETTINGS, groups_share_work=pays, zone_crossing_cost=0.03),
        endpoint_entry(1),
        endpoint_entry(2, zone=1),
    )
    for server in (1, 2):
        world.report_load(server, 0.5, 10.0)
    balancer = world.balancer
    balancer.state.endpoints[1].group_connections[7] = 1
    assert (
        balancer.endpoint_selector.score(balancer.state.endpoints[1], flow(world, group=7)) == 1500.0 + bonus
    )
    assert balancer.endpoint_selector.score(balancer.state.endpoints[1], flow(world, group=8)) == 1500.0
    assert balancer.endpoint_selector.score(balancer.state.endpoints[2], flow(world, group=7)) == 1200.0


def test_a_told_load_is_clamped_to_a_range_of_sixteen() -> None:
    world = BalancerHarness()
    balancer = world.balancer
    balancer.state.accounting.hinted_load_sum, balancer.state.accounting.hinted_load_count = 100.0, 1.0
    assert balancer.state.accounting.estimate_load(flow(world, load=1), None) == 25.0
    assert balancer.state.accounting.estimate_load(flow(world, load=60), None) == 60.0
    assert balancer.state.accounting.estimate_load(flow(world, load=10_000), None) == 400.0
    assert balancer.state.accounting.estimate_load(flow(world), None) == 25.0


def test_the_freest_candidate_wins() -> None:
    world = BalancerHarness()
    for server, load in ((1, 0.6), (2, 0.2), (3, 0.4)):
        world.report_load(server, load, 10.0)
    assert single_action(world.send_request(), StartAttempt).endpoint == 2


def test_every_balancer_draws_the_same_candidates_for_a_key() -> None:
    lines = tuple(endpoint_entry(number) for number in range(1, 60))
    samples = set()
    for seed in range(5):
        world = BalancerHarness(BALANCER_SETTINGS, *lines, seed=seed)
        samples.add(tuple(it.id for it in world.balancer.endpoint_selector.sample(flow(world, key=1234567))))
    assert len(samples) == 1 and len(next(iter(samples))) == CANDIDATES_PER_ZONE


def test_candidates_are_spread_over_the_fleet() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, *(endpoint_entry(number) for number in range(1, 31)))
    seen = {
        it.id for key in range(1, 200) for it in world.balancer.endpoint_selector.sample(flow(world, key=key))
    }
    assert len(seen) == 30


def test_old_reports_of_candidates_are_asked_for_and_waited_for_shortly() -> None:
    world = BalancerHarness()
    got = world.handle(RequestReceived(1, 0, world.now_ns + 2 * S))
    assert len(actions_of_type(got, CheckHealth)) == 3 and actions_of_type(got, StartAttempt) == []
    assert len(actions_of_type(world.advance(120 * MS), StartAttempt)) == 1  # a tenth of the aim, and a tick


def test_a_full_server_takes_nothing_new() -> None:
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    world.report_load(1, 1.2, 10.0)
    world.report_load(2, 1.2, 10.0)
    assert actions_of_type(world.send_request(), StartAttempt) == []
    got = world.advance(3 * S)
    assert actions_of_type(got, StartAttempt) == [] and len(actions_of_type(got, Reject)) == 1


def test_a_report_that_is_no_figure_is_dropped() -> None:
    world = BalancerHarness()
    for value in (float("nan"), float("inf"), -0.5):
        world.report_load(1, value, 1.0)
        assert world.balancer.state.endpoints[1].reported_load is None
    world.report_load(1, 3.5, 1.0)
    assert world.balancer.state.endpoints[1].reported_load == 3.5


def test_the_same_seed_and_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        world = BalancerHarness(
            BALANCER_SETTINGS, *(endpoint_entry(number) for number in range(1, 20)), seed=5
        )
        for _ in range(50):
            world.send_request()
            world.advance(70 * MS)
        logs.append(world.action_log)
    assert logs[0] == logs[1] and len(logs[0]) > 100


def test_what_a_server_can_do_is_learned_from_what_it_holds() -> None:
    """Guards against one of full weight that is slow, filled anew whenever a report shows it free."""
    world = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    world.report_load(1, 0.5, 40.0)
    world.report_load(2, 0.5, 5.0)
    servers, balancer = world.balancer.state.endpoints, world.balancer
    assert [balancer.capacity.capacity_of(servers[number]) for number in (1, 2)] == [80.0, 10.0]
    assert [balancer.endpoint_selector.has_capacity(servers[number], flow(world)) for number in (1, 2)] == [
        True,
        True,
    ]
    for number in (1, 2):
        servers[number].placements = [Placement(world.now_ns, 1.0)] * 4
    assert [balancer.endpoint_selector.has_capacity(servers[number], flow(world)) for number in (1, 2)] == [
        True,
        False,
    ]
    world.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, started_ns=world.now_ns),)))
    assert servers[2].connection_capacity == 0.0  # a new process may be a faster one, and it is cold:
    assert balancer.capacity.capacity_of(servers[2]) == balancer.capacity.capacity_per_weight * 0.2
    world.now_ns += 10 * S  # half way to warm
    world.report_load(2, 0.5, 6.0)
    assert (
        abs(servers[2].connection_capacity * 0.6 - 12.0) < 1e-6
        and abs(balancer.capacity.capacity_of(servers[2]) - 12.0) < 1e-6
    )


def test_own_connections_stand_for_a_load_that_is_reported_late() -> None:
    world = BalancerHarness(replace(BALANCER_SETTINGS, balancer_count=2), endpoint_entry(1))
    world.report_load(1, 0.5, 10.0)  # 20 fill it
    for _ in range(7):
        world.establish_request()
    world.now_ns += 4 * S  # long enough for a fresh report to cover them; this one does not
    world.report_load(1, 0.5, 10.0)
    server = world.balancer.state.endpoints[1]
    world.balancer.capacity.estimate_fleet()
    assert server.placements == []
    assert world.balancer.capacity.current_load(server) == 7 * 2 / 20  # as many again are the other's
    world.report_load(1, 0.8, 16.0)
    assert world.balancer.capacity.current_load(server) == 0.8


@pytest.mark.parametrize(("started_ns", "most"), [(0, 12), (START_NS, 16)])
def test_a_server_that_has_shown_nothing_is_tried_with_a_dozen(started_ns: int, most: int) -> None:
    """Guards a slow one of full weight against a balancer that has just started and knows nothing of it.

    One that has just started itself has its own budget, and its reports come too late for this.
    """
    world = BalancerHarness(
        BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2), endpoint_entry(3, started_ns=started_ns)
    )
    for number, held in ((1, 20.0), (2, 20.0), (3, 0.0)):
        world.report_load(number, 0.4, held)
    world.balancer.capacity.estimate_fleet()
    server = world.balancer.state.endpoints[3]
    rooms = []
    for number in range(16):
        rooms.append(world.balancer.endpoint_selector.has_capacity(server, flow(world)))
        server.requests[1000 + number] = flow(world)
    assert rooms == [True] * most + [False] * (16 - most)
    world.report_load(3, 0.7, 16.0)
    assert world.balancer.endpoint_selector.has_capacity(server, flow(world))


def test_a_cold_server_with_an_allowance_is_always_a_candidate_and_one_without_is_none() -> None:
    """Allowances are few and lapse: were they drawn like any other server, most would go unused."""
    cold = [endpoint_entry(number, started_ns=START_NS) for number in (20, 21)]
    warm = [endpoint_entry(number, zone=number % 2) for number in range(1, 20)]
    world = BalancerHarness(replace(BALANCER_SETTINGS, zone_count=2), *warm, *cold)
    balancer, servers = world.balancer, world.balancer.state.endpoints
    balancer.capacity.connections_per_weight = 50.0
    for number in (20, 21):
        servers[number].admission_tokens, servers[number].tokens_updated_ns = (
            float(number == 20),
            world.now_ns,
        )
    for key in range(50):
        picked = balancer.endpoint_selector.sample(flow(world, key=key))
        assert servers[20] in picked and servers[21] not in picked
        assert len([it for it in picked if it.id < 20]) <= 2 * CANDIDATES_PER_ZONE
