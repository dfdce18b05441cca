"""Migrates open connections off endpoints that are overloaded, slow, stalled, draining or banned.

The outlier detector, the endpoint table, the request lifecycle and the balancer's tick call it. It never
selects the new endpoint of a connection: the client reconnects and is placed like any other.
"""

from __future__ import annotations

import math

from puffinpost.balancing.actions import Migrate
from puffinpost.balancing.capacity import REPORT_LAG_OBJECTIVES, SPARE_CAPACITY_LOAD, CapacityEstimator
from puffinpost.balancing.draining import migration_probability
from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.tenant_quotas import retained_weight

# An endpoint is rebalanced if its load is above OVERLOADED_LOAD and above OVERLOADED_RATIO times the fleet's
# mean. Its load is brought down to the mean, or to MIN_TARGET_LOAD if the mean is lower, which avoids
# migrations without benefit.
OVERLOADED_LOAD = 0.75
OVERLOADED_RATIO = 1.25
MIN_TARGET_LOAD = 0.6
# In a full fleet only an endpoint above this load is rebalanced, so that its other connections are served.
SATURATED_LOAD = 1.05
# A report below this fraction of the rebalanced load shows that the migrations took effect.
IMPROVED_LOAD_RATIO = 0.85
SETTLE_OBJECTIVES = 12.0  # a report without improvement is considered late for this many latency objectives


class Migration:
    """Migrates one balancer's own connections."""

    def __init__(self, capacity: CapacityEstimator) -> None:
        self.state, self.capacity = capacity.state, capacity

    def migrate(self, requests: list[PendingRequest]) -> None:
        """Closes these connections gracefully; their clients reconnect."""
        for request in requests:
            request.is_finished = True
            self.state.actions.append(Migrate(request.request_id))

    def rebalance(self, endpoint: EndpointState) -> None:
        """Migrates connections off an endpoint that is far more loaded than the others.

        Otherwise connections would stay on an endpoint that has become slow, or whose connections' loads have
        grown together. Every balancer migrates the same fraction of its own connections, so that all together
        migrate about the excess. Then none migrates more until a report can show the effect.
        """
        state = self.state
        if endpoint.reported_load is None or state.now_ns < endpoint.next_rebalance_ns:
            return
        if state.is_excluded(endpoint):
            return
        if state.settings.groups_share_work:
            # A migrated group's work is repeated at its new endpoint, so rebalancing would fill the fleet.
            return
        target_load = self._rebalance_target(endpoint, endpoint.reported_load)
        if target_load is None:
            return
        self.shed_load(endpoint, 1.0 - target_load / endpoint.reported_load)
        endpoint.next_rebalance_ns = state.now_ns + state.objectives_ns(REPORT_LAG_OBJECTIVES)
        endpoint.rebalance_settles_ns = state.now_ns + state.objectives_ns(SETTLE_OBJECTIVES)
        endpoint.rebalanced_load = endpoint.reported_load

    def _rebalance_target(self, endpoint: EndpointState, load: float) -> float | None:
        """The load to bring an endpoint down to; None if it is not rebalanced."""
        mean_load = self.capacity.mean_load
        if mean_load > SPARE_CAPACITY_LOAD:
            return self.state.recovery_target_load if load > SATURATED_LOAD else None
        if load <= max(OVERLOADED_LOAD, mean_load * OVERLOADED_RATIO):
            return None
        is_settling = self.state.now_ns < endpoint.rebalance_settles_ns
        if is_settling and load > endpoint.rebalanced_load * IMPROVED_LOAD_RATIO:
            return None  # a late report, which does not show the last migrations yet
        return max(MIN_TARGET_LOAD, mean_load)

    def shed_load(self, endpoint: EndpointState, fraction: float) -> None:
        """Migrates this fraction of the local load on an endpoint.

        The load is rounded at random, because all balancers do the same. Connections with the least weight
        for their load go first, in random order among equals.
        """
        remaining = endpoint.local_load * fraction
        if remaining <= 0.0 or self.state.is_excluded(endpoint):
            return
        connections = endpoint.established_requests()
        self.state.random.shuffle(connections)
        connections.sort(key=self._retained_weight)
        for request in connections:
            if remaining < request.estimated_load * self.state.random.random():
                break
            remaining -= request.estimated_load
            self.migrate([request])

    def _retained_weight(self, request: PendingRequest) -> float:
        is_shed_first = self.capacity.is_shed_first(request.tenant)
        quota_weight = self.state.settings.over_quota_weight if is_shed_first else 1.0
        return retained_weight(request.request_class, request.estimated_load, quota_weight)

    def drain_within(self, endpoint: EndpointState, span_ns: int) -> None:
        """Limits the time for connections to leave a draining or banned endpoint; an earlier limit stays."""
        drain_by_ns = self.state.now_ns + span_ns
        if self.state.is_excluded(endpoint):
            drain_by_ns = min(endpoint.drain_by_ns, drain_by_ns)
        endpoint.drain_by_ns = drain_by_ns

    def migrate_drained(self) -> None:
        """Migrates connections off all draining or banned endpoints; called at each tick.

        Otherwise connections would be cut off when such an endpoint stops.
        """
        for endpoint in self.state.endpoints.values():
            if not endpoint.requests:
                continue
            if endpoint.id in self.state.banned:
                self._migrate_off_banned(endpoint)
            elif endpoint.is_down and endpoint.is_listed:
                self._migrate_off_draining(endpoint)

    def _migrate_off_banned(self, endpoint: EndpointState) -> None:
        """Starts immediately, with a share rounded up at each tick: operators wait to restart it."""
        connections = endpoint.established_requests()
        remaining_ns = endpoint.drain_by_ns - self.state.now_ns
        probability = migration_probability(remaining_ns, self.state.tick_ns)
        self.migrate(connections[: math.ceil(len(connections) * probability)])

    def _migrate_off_draining(self, endpoint: EndpointState) -> None:
        """Migrates during the last latency objective of the drain window, the time that a set-up may take.

        If the other endpoints have no capacity, the connections are served better where they are.
        """
        state = self.state
        remaining_ns = endpoint.drain_by_ns - state.now_ns
        if remaining_ns <= 0:
            remaining_ns = state.latency_objective_ns  # there was no capacity within the drain window
        if remaining_ns > state.latency_objective_ns:
            return
        if self.capacity.mean_load_after_drain > SPARE_CAPACITY_LOAD:
            return
        probability = migration_probability(remaining_ns, state.tick_ns)
        self.migrate([it for it in endpoint.established_requests() if state.random.random() < probability])
