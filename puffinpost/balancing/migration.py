"""Migrates open connections off endpoints that are overloaded, slow, stalled, draining or banned.

The outlier detector, the endpoint table and the balancer's tick call it. It never chooses where a connection
goes: its client connects again.
"""

from __future__ import annotations

import math

from puffinpost.balancing.actions import Migrate
from puffinpost.balancing.capacity import REPORT_LAG_OBJECTIVES, SPARE_CAPACITY_LOAD, CapacityEstimator
from puffinpost.balancing.draining import migration_probability
from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.tenant_quotas import retained_weight

OVERLOADED_LOAD = 0.75  # load past which an endpoint is rebalanced, if the others are freer by ...
OVERLOADED_RATIO = 1.25  # ... this ratio; its load is brought down to the fleet's mean, or to ...
MIN_TARGET_LOAD = 0.6  # ... this where the mean is lower: no more migrations than are of use
SATURATED_LOAD = 1.05  # in a full fleet only an endpoint past this is rebalanced, so that the rest is served
IMPROVED_LOAD_RATIO = 0.85  # a report below this part of the rebalanced load shows that migrations worked
SETTLE_OBJECTIVES = 12.0  # a report that shows no improvement counts as late for this many objectives


class Migration:
    """Migrations of one balancer's own connections."""

    def __init__(self, capacity: CapacityEstimator) -> None:
        self.state, self.capacity = capacity.state, capacity

    def migrate(self, requests: list[PendingRequest]) -> None:
        """Closes these connections politely; their clients connect again."""
        for request in requests:
            request.is_finished = True
            self.state.actions.append(Migrate(request.request_id))

    def rebalance(self, endpoint: EndpointState) -> None:
        """Migrates connections off an endpoint that is far more loaded than the rest.

        Guards against connections that stay on an endpoint gone slow, or whose loads grew together. Every
        balancer migrates the same fraction of its own connections, so that together they migrate about the
        excess; then none migrates more until a report can show the effect.
        """
        state = self.state
        if endpoint.reported_load is None or state.now_ns < endpoint.next_rebalance_ns:
            return
        if state.is_excluded(endpoint):
            return
        if state.settings.groups_share_work:
            return  # a group's work is done anew wherever it moves to: rebalancing would fill the fleet
        target_load = self._rebalance_target(endpoint, endpoint.reported_load)
        if target_load is None:
            return
        self.shed_load(endpoint, 1.0 - target_load / endpoint.reported_load)
        endpoint.next_rebalance_ns = state.now_ns + state.objectives_ns(REPORT_LAG_OBJECTIVES)
        endpoint.rebalance_settles_ns = state.now_ns + state.objectives_ns(SETTLE_OBJECTIVES)
        endpoint.rebalanced_load = endpoint.reported_load

    def _rebalance_target(self, endpoint: EndpointState, load: float) -> float | None:
        """The load that an endpoint has to be brought down to; None: it stays as it is."""
        mean_load = self.capacity.mean_load
        if mean_load > SPARE_CAPACITY_LOAD:
            return self.state.recovery_target_load if load > SATURATED_LOAD else None
        if load <= max(OVERLOADED_LOAD, mean_load * OVERLOADED_RATIO):
            return None
        is_settling = self.state.now_ns < endpoint.rebalance_settles_ns
        if is_settling and load > endpoint.rebalanced_load * IMPROVED_LOAD_RATIO:
            return None  # guards against late reports: this one does not show the last migrations yet
        return max(MIN_TARGET_LOAD, mean_load)

    def shed_load(self, endpoint: EndpointState, fraction: float) -> None:
        """Migrates this fraction of the local load on an endpoint, rounded at random: all balancers do so.

        Connections with the least weight for their load go first, in random order where that is alike.
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
        """An endpoint drains or is banned: its connections leave within this, or an earlier limit."""
        drain_by_ns = self.state.now_ns + span_ns
        if self.state.is_excluded(endpoint):
            drain_by_ns = min(endpoint.drain_by_ns, drain_by_ns)
        endpoint.drain_by_ns = drain_by_ns

    def migrate_drained(self) -> None:
        """Migrates connections off all endpoints that drain or are banned; called at each tick.

        Guards against connections that are cut off when such an endpoint stops.
        """
        for endpoint in self.state.endpoints.values():
            if not endpoint.requests:
                continue
            if endpoint.id in self.state.banned:
                self._migrate_off_banned(endpoint)
            elif endpoint.is_down and endpoint.is_listed:
                self._migrate_off_draining(endpoint)

    def _migrate_off_banned(self, endpoint: EndpointState) -> None:
        """Starts at once, with a share rounded up at each tick: operators wait to restart the endpoint."""
        connections = endpoint.established_requests()
        remaining_ns = endpoint.drain_by_ns - self.state.now_ns
        probability = migration_probability(remaining_ns, self.state.tick_ns)
        self.migrate(connections[: math.ceil(len(connections) * probability)])

    def _migrate_off_draining(self, endpoint: EndpointState) -> None:
        """Starts in the last latency objective of the drain window, the time that a set-up may take.

        Where the others have no capacity for the connections, they are better off where they are.
        """
        state = self.state
        remaining_ns = endpoint.drain_by_ns - state.now_ns
        if remaining_ns <= 0:
            remaining_ns = state.latency_objective_ns  # there was no capacity before
        if remaining_ns > state.latency_objective_ns:
            return
        if self.capacity.mean_load_after_drain > SPARE_CAPACITY_LOAD:
            return
        probability = migration_probability(remaining_ns, state.tick_ns)
        self.migrate([it for it in endpoint.established_requests() if state.random.random() < probability])
