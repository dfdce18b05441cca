"""Tests tenant quotas, placement of groups, and which connections are migrated first, without sockets."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from balancer_harness import (
    BALANCER_SETTINGS,
    MS,
    BalancerHarness,
    S,
    actions_of_type,
    endpoint_entry,
    single_action,
)

from puffinpost.balancing.actions import Action, CheckHealth, Migrate, Reject, StartAttempt
from puffinpost.balancing.events import (
    AttemptEstablished,
    AttemptResult,
    ConnectionAdopted,
    DelayReported,
    GossipState,
    HealthCheckCompleted,
    RequestReceived,
    TimerFired,
)
from puffinpost.balancing.settings import Settings, Tenant
from puffinpost.balancing.tenant_quotas import TenantQuotas, group_spread_candidates, retained_weight

NODES = 4
TENANTS = (
    Tenant(quota_share=0.5, quota_connections=60.0),
    Tenant(quota_share=0.5, quota_connections=60.0),
)
GROUP_SETTINGS = replace(
    BALANCER_SETTINGS,
    balancer_count=NODES,
    zone_count=1,
    groups_share_work=True,
    max_attempts=5,
    load_report_fields=("x0",),
)
QUOTA_SETTINGS = replace(GROUP_SETTINGS, groups_share_work=False, tenants=TENANTS, over_quota_weight=0.1)
ENDPOINT_CAPACITY = 50  # connections that fill one endpoint


class SimulatedFleet:
    """Nodes, and four endpoints that report their load; a connection is closed after ten seconds."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.nodes = [
            BalancerHarness(
                replace(settings, balancer_index=index),
                *map(endpoint_entry, range(1, 5)),
                seed=seed * 100 + index,
            )
            for index in range(NODES)
        ]
        self.random = random.Random(seed)
        # Endpoint, tenant and closing time, by node and request.
        self.open_connections: dict[tuple[int, int], tuple[int, int, int]] = {}
        self.requests: dict[tuple[int, int], int] = {}
        self.established: Counter[int] = Counter()
        self.group_endpoints: set[tuple[int, int]] = set()
        self.rejected_ns: list[int] = []

    def load(self, endpoint: int) -> float:
        return sum(at == endpoint for at, _, _ in self.open_connections.values()) / ENDPOINT_CAPACITY

    def apply_actions(self, number: int, actions: list[Action], now_ns: int) -> None:
        node = self.nodes[number]
        for action in actions:
            if isinstance(action, CheckHealth):
                answer = HealthCheckCompleted(
                    action.endpoint, AttemptResult.SERVED, MS, (self.load(action.endpoint),)
                )
                self.apply_actions(number, node.handle(answer), now_ns)
            elif isinstance(action, StartAttempt):
                group, tenant = divmod(self.requests[number, action.request], 10)
                self.open_connections[number, action.request] = (action.endpoint, tenant, now_ns + 10 * S)
                self.established[tenant] += 1
                self.group_endpoints.add((group, action.endpoint))
                self.apply_actions(
                    number,
                    node.handle(AttemptEstablished(action.request, 0, action.endpoint, 5 * MS)),
                    now_ns,
                )
            elif isinstance(action, Migrate):
                self.end_connection(number, action.request)
            elif isinstance(action, Reject):
                self.rejected_ns.append(now_ns)

    def end_connection(self, number: int, request: int) -> None:
        endpoint = self.open_connections.pop((number, request))[0]
        self.nodes[number].end_attempt(request, 0, endpoint, AttemptResult.SERVED, finished=True)

    def run_second(self, arrivals: dict[int, int], groups: int = 1) -> None:
        """Simulates one second; ``arrivals``: the number of new requests by tenant."""
        tenants = [tenant for tenant, count in arrivals.items() for _ in range(count)]
        self.random.shuffle(tenants)
        step_ns = S // 50
        for tick in range(50):
            for number, node in enumerate(self.nodes):
                self.advance_node(number, node, step_ns)
            for key in [
                it
                for it, (_, _, closes_ns) in self.open_connections.items()
                if closes_ns <= self.nodes[0].now_ns
            ]:
                self.end_connection(*key)
            for tenant in tenants[tick::50]:
                number = self.random.randrange(NODES)
                self.send_request(number, tenant, self.random.randrange(1, groups + 1))

    def advance_node(self, number: int, node: BalancerHarness, step_ns: int) -> None:
        end_ns = node.now_ns + step_ns
        while node.timers and min(node.timers)[0] <= end_ns:
            timer = min(node.timers)
            node.timers.remove(timer)
            node.now_ns = max(node.now_ns, timer[0])
            self.apply_actions(number, node.handle(TimerFired(timer[2])), node.now_ns)
        node.now_ns = end_ns

    def send_request(self, number: int, tenant: int, group: int) -> None:
        node = self.nodes[number]
        node.last_request, node.next_request = node.next_request, node.next_request + 1
        self.requests[number, node.last_request] = tenant + 10 * group
        request = RequestReceived(node.last_request, 0, node.now_ns + 2 * S, tenant=tenant, group=group)
        self.apply_actions(number, node.handle(request), node.now_ns)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tenant_over_quota_takes_no_capacity_from_a_tenant_within_its_quota(seed: int) -> None:
    normal_fleet, surge_fleet = SimulatedFleet(QUOTA_SETTINGS, seed), SimulatedFleet(QUOTA_SETTINGS, seed)
    for second in range(20):
        normal_fleet.run_second({0: 5, 1: 5})
        surge_fleet.run_second({0: 5, 1: 30 if 5 <= second < 15 else 5})
    # One tenant sends six times its quota for ten seconds: the other loses at most a twentieth.
    assert surge_fleet.established[0] > normal_fleet.established[0] - 0.05 * 100
    # The tenant gets unused capacity: more than its quota, but less than it requested.
    assert 1.15 * normal_fleet.established[1] < surge_fleet.established[1] < 300


def test_tenant_over_quota_is_rejected_at_once_if_capacity_is_scarce() -> None:
    node = BalancerHarness(replace(QUOTA_SETTINGS, balancer_count=1), endpoint_entry(1), endpoint_entry(2))
    for _ in range(68):
        node.last_request, node.next_request = node.next_request, node.next_request + 1
        node.handle(
            ConnectionAdopted(RequestReceived(node.last_request, 0, node.now_ns + 2 * S, tenant=1), 1)
        )
    for endpoint in (1, 2):
        node.report_load(endpoint, 0.7)
    node.advance(S)
    for endpoint in (1, 2):
        node.report_load(endpoint, 0.7)
    assert actions_of_type(node.send_request(tenant=1), Reject) != []
    assert actions_of_type(node.send_request(tenant=0), StartAttempt) != []


class GossipingFleet(SimulatedFleet):
    """The same nodes; each receives the other nodes' connections by gossip after each second."""

    def run_second(self, arrivals: dict[int, int], groups: int = 1) -> None:
        super().run_second(arrivals, groups)
        connections_by_node = [node.balancer.state.tenant_quotas.connections for node in self.nodes]
        for number, node in enumerate(self.nodes):
            peer_connections = tuple(
                float(sum(it[tenant] for at, it in enumerate(connections_by_node) if at != number))
                for tenant in range(len(TENANTS))
            )
            node.handle(GossipState((), peer_connections))


def test_tenant_on_a_single_node_has_its_whole_quota_if_peers_gossip() -> None:
    established = []
    for fleet in (SimulatedFleet(QUOTA_SETTINGS, 1), GossipingFleet(QUOTA_SETTINGS, 1)):
        fleet.random.randrange = lambda *args: 0 if args == (NODES,) else 1  # type: ignore[method-assign]
        for _ in range(12):
            # All arrive at the first node, for a capacity of 100: 90, and 50 of a quota of 60 connections.
            fleet.run_second({0: 9, 1: 5})
        established.append(fleet.established[1])
    # Without gossip, the tenant counts as over quota at 15 of its 60 connections.
    assert established[1] == 60 and established[0] < 50


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_tenant_over_quota_takes_no_capacity_from_others_if_peers_gossip(seed: int) -> None:
    normal_fleet, surge_fleet = GossipingFleet(QUOTA_SETTINGS, seed), GossipingFleet(QUOTA_SETTINGS, seed)
    for second in range(20):
        normal_fleet.run_second({0: 5, 1: 5})
        surge_fleet.run_second({0: 5, 1: 30 if 5 <= second < 15 else 5})
    assert surge_fleet.established[0] > normal_fleet.established[0] - 0.05 * 100
    assert 1.15 * normal_fleet.established[1] < surge_fleet.established[1] < 300


def fleet_with_groups(settings: Settings, seed: int) -> SimulatedFleet:
    fleet = SimulatedFleet(settings, seed)
    for _ in range(8):
        fleet.run_second({0: 8}, groups=8)
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_group_stays_on_few_endpoints_if_its_work_is_done_once_per_endpoint(seed: int) -> None:
    grouped, spread = (
        fleet_with_groups(GROUP_SETTINGS, seed),
        fleet_with_groups(replace(GROUP_SETTINGS, groups_share_work=False), seed),
    )
    assert grouped.established[0] == spread.established[0] == 64
    # Each of the eight groups is on one endpoint, a few on two, though the four nodes do not communicate.
    assert len(grouped.group_endpoints) <= 12 < 20 < len(spread.group_endpoints)
    assert max(grouped.load(endpoint) for endpoint in range(1, 5)) < 1.0


def test_connections_of_groups_are_not_migrated_to_balance_load() -> None:
    migration_counts = []
    for groups in (True, False):
        node = BalancerHarness(
            replace(GROUP_SETTINGS, groups_share_work=groups, balancer_count=1),
            endpoint_entry(1),
            endpoint_entry(2),
        )
        for _ in range(40):
            node.last_request, node.next_request = node.next_request, node.next_request + 1
            node.handle(
                ConnectionAdopted(RequestReceived(node.last_request, 0, node.now_ns + 2 * S, group=7), 1)
            )
        node.report_load(2, 0.1)
        node.advance(S)
        migration_counts.append(len(actions_of_type(node.report_load(1, 0.95), Migrate)))
    assert migration_counts[0] == 0 < migration_counts[1]


def test_connections_with_the_lowest_weight_per_load_are_migrated_first() -> None:
    """Two delay reports, a second apart, show that a fraction of an endpoint's work exceeds its capacity."""
    high_weight, low_weight = (
        replace(BALANCER_SETTINGS.classes[0], priority_weight=5.0),
        replace(BALANCER_SETTINGS.classes[0], priority_weight=1.0),
    )
    node = BalancerHarness(
        replace(GROUP_SETTINGS, classes=(high_weight, low_weight), balancer_count=1),
        endpoint_entry(1),
        endpoint_entry(2),
    )
    for number in range(20):
        node.last_request, node.next_request = node.next_request, node.next_request + 1
        node.handle(
            ConnectionAdopted(
                RequestReceived(node.last_request, number % 2, node.now_ns + 2 * S, load=100), 1
            )
        )
    node.handle(DelayReported(1, 1, 200 * MS))
    node.now_ns += S
    migrations = actions_of_type(node.handle(DelayReported(1, 1, 700 * MS)), Migrate)
    assert 2 <= len(migrations) <= 10 and all(it.request % 2 == 0 for it in migrations)


def test_quota_and_retained_weight_follow_their_definitions() -> None:
    quotas = TenantQuotas()
    quotas.connections[1] = 18  # the share is 15, with a tolerance of 3.9
    assert not quotas.is_over_quota(1, TENANTS, 4)
    quotas.connections[1] = 19
    assert (
        quotas.is_over_quota(1, TENANTS, 4)
        and not quotas.is_over_quota(0, TENANTS, 4)
        and not quotas.is_over_quota(2, TENANTS, 4)
    )
    assert not quotas.is_over_quota(1, (TENANTS[0], replace(TENANTS[1], quota_connections=0.0)), 4)
    assert retained_weight(BALANCER_SETTINGS.classes[0], 0.0, 1.0) > retained_weight(
        BALANCER_SETTINGS.classes[0], 1.0, 1.0
    )
    assert retained_weight(BALANCER_SETTINGS.classes[0], 2.0, 1.0) == 10 * retained_weight(
        BALANCER_SETTINGS.classes[0], 2.0, 0.1
    )


def test_group_is_scored_at_its_endpoints_and_the_first_other_one_of_each_zone() -> None:
    in_zone, in_other_zone = (False, True), (False, False)
    assert group_spread_candidates(
        [in_zone, in_zone, in_other_zone, (True, False), in_other_zone, (True, True)]
    ) == [0, 2, 3, 5]
    assert group_spread_candidates([]) == [] and group_spread_candidates(
        [in_other_zone, in_zone, in_zone]
    ) == [0, 1]


def test_all_nodes_place_a_group_on_the_same_endpoint() -> None:
    nodes = [
        BalancerHarness(
            replace(GROUP_SETTINGS, balancer_index=index), *map(endpoint_entry, range(1, 9)), seed=index
        )
        for index in range(NODES)
    ]
    assert len({single_action(node.send_request(group=5), StartAttempt).endpoint for node in nodes}) == 1
