"""Tests the scores and selections of the endpoint selector against values calculated by hand."""

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


def pending_request(harness: BalancerHarness, **overrides: object) -> PendingRequest:
    fields: dict[str, object] = {
        "request": 999,
        "request_class": 0,
        "deadline_ns": harness.now_ns + S,
        **overrides,
    }
    return PendingRequest(RequestReceived(**fields), harness.settings.classes[0])  # type: ignore[arg-type]


def test_score_terms_use_the_reported_load() -> None:
    harness = BalancerHarness()
    harness.report_load(1, 0.4, 10.0)
    balancer = harness.balancer
    assert (
        balancer.endpoint_selector.score(balancer.state.endpoints[1], pending_request(harness))
        == 600.0 + 600.0 + 600.0
    )
    harness.report_load(2, 1.3, 10.0)
    assert balancer.endpoint_selector.score(balancer.state.endpoints[2], pending_request(harness)) == 0.0


def test_bandwidth_score_uses_the_local_load_without_a_report() -> None:
    harness = BalancerHarness()
    balancer = harness.balancer
    balancer.capacity.capacity_per_weight = 10.0
    endpoint = balancer.state.endpoints[1]
    assert balancer.endpoint_selector.score(endpoint, pending_request(harness)) == 3000.0
    endpoint.local_load = 4.0
    assert balancer.endpoint_selector.score(endpoint, pending_request(harness)) == 1000.0 + 1000.0 + 600.0


def test_unreported_load_is_scaled_to_all_balancers_and_decays_as_reports_cover_it() -> None:
    harness = BalancerHarness(replace(BALANCER_SETTINGS, balancer_count=4))
    balancer = harness.balancer
    harness.report_load(1, 0.5, 1.0)
    balancer.capacity.capacity_per_weight = 80.0
    endpoint = balancer.state.endpoints[1]
    endpoint.placements.append(Placement(harness.now_ns, 2.0))
    # A load of 2 on each of 4 balancers, at a capacity of 80, is a tenth of the bandwidth: 100 points.
    assert balancer.endpoint_selector.score(endpoint, pending_request(harness)) == 1500.0 - 100.0
    harness.now_ns += 750 * MS  # half of three latency objectives
    harness.report_load(1, 0.5, 1.0)
    assert abs(balancer.endpoint_selector.score(endpoint, pending_request(harness)) - (1500.0 - 50.0)) < 1e-6
    harness.now_ns += 2 * S
    harness.report_load(1, 0.5, 1.0)
    assert (
        balancer.endpoint_selector.score(endpoint, pending_request(harness)) == 1500.0
        and endpoint.placements == []
    )


def test_unreported_load_lowers_the_score_by_at_most_the_bandwidth_term() -> None:
    harness = BalancerHarness()
    harness.report_load(1, 0.5, 10.0)
    harness.balancer.capacity.capacity_per_weight = 1.0
    harness.balancer.state.endpoints[1].placements.append(Placement(harness.now_ns, 50.0))
    assert (
        harness.balancer.endpoint_selector.score(
            harness.balancer.state.endpoints[1], pending_request(harness)
        )
        == 1000.0
    )


@pytest.mark.parametrize(("groups_share_work", "bonus"), [(False, 200.0), (True, 3000.0)])
def test_score_includes_the_group_bonus_and_the_zone_crossing_cost(
    groups_share_work: bool, bonus: float
) -> None:
    harness = BalancerHarness(
        replace(BALANCER_SETTINGS, groups_share_work=groups_share_work, zone_crossing_cost=0.03),
        endpoint_entry(1),
        endpoint_entry(2, zone=1),
    )
    for endpoint in (1, 2):
        harness.report_load(endpoint, 0.5, 10.0)
    balancer = harness.balancer
    balancer.state.endpoints[1].group_connections[7] = 1
    assert (
        balancer.endpoint_selector.score(balancer.state.endpoints[1], pending_request(harness, group=7))
        == 1500.0 + bonus
    )
    assert (
        balancer.endpoint_selector.score(balancer.state.endpoints[1], pending_request(harness, group=8))
        == 1500.0
    )
    assert (
        balancer.endpoint_selector.score(balancer.state.endpoints[2], pending_request(harness, group=7))
        == 1200.0
    )


def test_declared_load_is_clamped_to_a_range_of_factor_sixteen() -> None:
    harness = BalancerHarness()
    balancer = harness.balancer
    balancer.state.accounting.hinted_load_sum, balancer.state.accounting.hinted_load_count = 100.0, 1.0
    assert balancer.state.accounting.estimate_load(pending_request(harness, load=1), None) == 25.0
    assert balancer.state.accounting.estimate_load(pending_request(harness, load=60), None) == 60.0
    assert balancer.state.accounting.estimate_load(pending_request(harness, load=10_000), None) == 400.0
    assert balancer.state.accounting.estimate_load(pending_request(harness), None) == 25.0


def test_least_loaded_candidate_is_selected() -> None:
    harness = BalancerHarness()
    for endpoint, load in ((1, 0.6), (2, 0.2), (3, 0.4)):
        harness.report_load(endpoint, load, 10.0)
    assert single_action(harness.send_request(), StartAttempt).endpoint == 2


def test_every_balancer_draws_the_same_candidates_for_a_key() -> None:
    entries = tuple(endpoint_entry(number) for number in range(1, 60))
    samples = set()
    for seed in range(5):
        harness = BalancerHarness(BALANCER_SETTINGS, *entries, seed=seed)
        samples.add(
            tuple(
                it.id
                for it in harness.balancer.endpoint_selector.sample(pending_request(harness, key=1234567))
            )
        )
    assert len(samples) == 1 and len(next(iter(samples))) == CANDIDATES_PER_ZONE


def test_candidates_are_spread_over_the_fleet() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, *(endpoint_entry(number) for number in range(1, 31)))
    drawn_endpoints = {
        it.id
        for key in range(1, 200)
        for it in harness.balancer.endpoint_selector.sample(pending_request(harness, key=key))
    }
    assert len(drawn_endpoints) == 30


def test_placement_waits_briefly_for_health_checks_of_candidates_with_stale_reports() -> None:
    harness = BalancerHarness()
    actions = harness.handle(RequestReceived(1, 0, harness.now_ns + 2 * S))
    assert len(actions_of_type(actions, CheckHealth)) == 3 and actions_of_type(actions, StartAttempt) == []
    # The wait is a tenth of the latency objective, plus a tick.
    assert len(actions_of_type(harness.advance(120 * MS), StartAttempt)) == 1


def test_full_endpoints_get_no_new_requests() -> None:
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.report_load(1, 1.2, 10.0)
    harness.report_load(2, 1.2, 10.0)
    assert actions_of_type(harness.send_request(), StartAttempt) == []
    actions = harness.advance(3 * S)
    assert actions_of_type(actions, StartAttempt) == [] and len(actions_of_type(actions, Reject)) == 1


def test_load_report_with_an_invalid_value_is_ignored() -> None:
    harness = BalancerHarness()
    for value in (float("nan"), float("inf"), -0.5):
        harness.report_load(1, value, 1.0)
        assert harness.balancer.state.endpoints[1].reported_load is None
    harness.report_load(1, 3.5, 1.0)
    assert harness.balancer.state.endpoints[1].reported_load == 3.5


def test_the_same_seed_and_events_give_the_same_actions() -> None:
    action_logs = []
    for _ in range(2):
        harness = BalancerHarness(
            BALANCER_SETTINGS, *(endpoint_entry(number) for number in range(1, 20)), seed=5
        )
        for _ in range(50):
            harness.send_request()
            harness.advance(70 * MS)
        action_logs.append(harness.action_log)
    assert action_logs[0] == action_logs[1] and len(action_logs[0]) > 100


def test_capacity_is_learned_from_reported_connections_and_load() -> None:
    """A slow endpoint of full weight would be overloaded whenever a report shows spare capacity."""
    harness = BalancerHarness(BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2))
    harness.report_load(1, 0.5, 40.0)
    harness.report_load(2, 0.5, 5.0)
    endpoints, balancer = harness.balancer.state.endpoints, harness.balancer
    assert [balancer.capacity.capacity_of(endpoints[number]) for number in (1, 2)] == [80.0, 10.0]
    assert [
        balancer.endpoint_selector.has_capacity(endpoints[number], pending_request(harness))
        for number in (1, 2)
    ] == [
        True,
        True,
    ]
    for number in (1, 2):
        endpoints[number].placements = [Placement(harness.now_ns, 1.0)] * 4
    assert [
        balancer.endpoint_selector.has_capacity(endpoints[number], pending_request(harness))
        for number in (1, 2)
    ] == [
        True,
        False,
    ]
    harness.handle(EndpointListUpdate(ListUpdateKind.DELTA, (endpoint_entry(2, started_ns=harness.now_ns),)))
    # The learned capacity is discarded, as a new process may be faster; this one is warming up.
    assert endpoints[2].connection_capacity == 0.0
    assert balancer.capacity.capacity_of(endpoints[2]) == balancer.capacity.capacity_per_weight * 0.2
    harness.now_ns += 10 * S  # half of the warm-up
    harness.report_load(2, 0.5, 6.0)
    assert (
        abs(endpoints[2].connection_capacity * 0.6 - 12.0) < 1e-6
        and abs(balancer.capacity.capacity_of(endpoints[2]) - 12.0) < 1e-6
    )


def test_local_connections_replace_a_load_report_that_lags() -> None:
    harness = BalancerHarness(replace(BALANCER_SETTINGS, balancer_count=2), endpoint_entry(1))
    harness.report_load(1, 0.5, 10.0)  # 20 connections fill it
    for _ in range(7):
        harness.establish_request()
    harness.now_ns += 4 * S  # long enough for an up-to-date report to cover them; this one does not
    harness.report_load(1, 0.5, 10.0)
    endpoint = harness.balancer.state.endpoints[1]
    harness.balancer.capacity.estimate_fleet()
    assert endpoint.placements == []
    # The other balancer is assumed to have as many connections.
    assert harness.balancer.capacity.current_load(endpoint) == 7 * 2 / 20
    harness.report_load(1, 0.8, 16.0)
    assert harness.balancer.capacity.current_load(endpoint) == 0.8


@pytest.mark.parametrize(("started_ns", "max_connections"), [(0, 12), (START_NS, 16)])
def test_endpoint_of_unknown_capacity_gets_at_most_twelve_unreported_connections(
    started_ns: int, max_connections: int
) -> None:
    """A balancer that has just started could overload an endpoint that is slow for its weight.

    An endpoint that has just started is limited by its tokens instead: its reports come too late.
    """
    harness = BalancerHarness(
        BALANCER_SETTINGS, endpoint_entry(1), endpoint_entry(2), endpoint_entry(3, started_ns=started_ns)
    )
    for number, reported_connections in ((1, 20.0), (2, 20.0), (3, 0.0)):
        harness.report_load(number, 0.4, reported_connections)
    harness.balancer.capacity.estimate_fleet()
    endpoint = harness.balancer.state.endpoints[3]
    capacity_checks = []
    for number in range(16):
        capacity_checks.append(
            harness.balancer.endpoint_selector.has_capacity(endpoint, pending_request(harness))
        )
        endpoint.requests[1000 + number] = pending_request(harness)
    assert capacity_checks == [True] * max_connections + [False] * (16 - max_connections)
    harness.report_load(3, 0.7, 16.0)
    assert harness.balancer.endpoint_selector.has_capacity(endpoint, pending_request(harness))


def test_endpoint_that_is_warming_up_is_a_candidate_exactly_if_it_has_a_token() -> None:
    """Tokens are few and expire: if these endpoints were sampled like all others, most would go unused."""
    warming_up_entries = [endpoint_entry(number, started_ns=START_NS) for number in (20, 21)]
    warmed_up_entries = [endpoint_entry(number, zone=number % 2) for number in range(1, 20)]
    harness = BalancerHarness(
        replace(BALANCER_SETTINGS, zone_count=2), *warmed_up_entries, *warming_up_entries
    )
    balancer, endpoints = harness.balancer, harness.balancer.state.endpoints
    balancer.capacity.connections_per_weight = 50.0
    for number in (20, 21):
        endpoints[number].admission_tokens, endpoints[number].tokens_updated_ns = (
            float(number == 20),
            harness.now_ns,
        )
    for key in range(50):
        candidates = balancer.endpoint_selector.sample(pending_request(harness, key=key))
        assert endpoints[20] in candidates and endpoints[21] not in candidates
        assert len([it for it in candidates if it.id < 20]) <= 2 * CANDIDATES_PER_ZONE
