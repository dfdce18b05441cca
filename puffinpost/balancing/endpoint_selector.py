"""Selects the endpoint of a connection: the best score of a few candidates that every balancer draws alike.

Based on Algorithm 2 of J. Vietor, "A streaming media-specific load balancing algorithm" (2016): free CPU,
free RAM and free bandwidth, up to 1000 points each, minus the predicted load of placements that no report
covers yet, plus a bonus where this balancer has connections of the same group. docs/design.md lists the
differences.
"""

from __future__ import annotations

from puffinpost.balancing.capacity import SPARE_CAPACITY_LOAD, CapacityEstimator
from puffinpost.balancing.model import UINT64_MASK, EndpointState, PendingRequest, hash64
from puffinpost.balancing.settings import DeduplicationScope, Idempotency
from puffinpost.balancing.slow_start import SlowStart
from puffinpost.balancing.tenant_quotas import IDLE_CAPACITY_LOAD, group_spread_candidates

POINTS_PER_RESOURCE = 1000.0  # for one resource that is entirely free, as in the paper
GROUP_BONUS = 200.0  # as in the paper: a fifth of one resource
# Where a group's work is done once per endpoint, one with capacity that has the group outscores any other.
SHARED_GROUP_BONUS = 3 * POINTS_PER_RESOURCE
# Subtracted for another zone, times the zone crossing cost: a cost of 0.03 equals a tenth of the load.
ZONE_CROSSING_POINTS = 10000.0
CANDIDATES_PER_ZONE = 4  # candidates in this balancer's zone, and as many in all other zones together
MAX_UNREPORTED_CONNECTIONS = 12.0  # connections beyond the reported ones, at an endpoint of unknown capacity
ORDER_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio: spreads the order of endpoints


class EndpointSelector:
    """Draws a request's candidates and selects the best one."""

    def __init__(self, capacity: CapacityEstimator, slow_start: SlowStart) -> None:
        self.state, self.capacity, self.slow_start = capacity.state, capacity, slow_start
        self.accounting = capacity.state.accounting

    def score(self, endpoint: EndpointState, request: PendingRequest) -> float:
        """The paper's points for one endpoint, minus the cost of crossing zones."""
        capacity, settings = self.capacity.capacity_of(endpoint), self.state.settings
        if endpoint.reported_load is None:
            free = POINTS_PER_RESOURCE
            fleet_load = endpoint.local_load * settings.balancer_count
            bandwidth = POINTS_PER_RESOURCE - fleet_load * POINTS_PER_RESOURCE / capacity
        else:
            load = self.capacity.current_load(endpoint)
            free = max(0.0, POINTS_PER_RESOURCE - load * POINTS_PER_RESOURCE)
            bandwidth = POINTS_PER_RESOURCE - load * POINTS_PER_RESOURCE
        unreported = self.capacity.unreported_load(endpoint) * POINTS_PER_RESOURCE / capacity
        bandwidth = max(0.0, bandwidth) - min(max(0.0, bandwidth), unreported)
        score = free + free + bandwidth
        if request.group and request.group in endpoint.group_connections:
            score += SHARED_GROUP_BONUS if settings.groups_share_work else GROUP_BONUS
        if endpoint.zone != settings.zone:
            score -= settings.zone_crossing_cost * ZONE_CROSSING_POINTS
        return score

    def _order_endpoints(self, request: PendingRequest) -> None:
        """Orders the endpoints for a request, by a hash of its group or key combined with the endpoint's id.

        This prevents a thundering herd, avoids the cost of ranking a large fleet for each request, and makes
        every balancer draw the same order for the same key, so that handovers are not lost.
        """
        key_hash = hash64(request.group or request.key or request.request_id)
        endpoints = sorted(
            self.state.endpoints.values(),
            key=lambda endpoint: ((endpoint.id_hash ^ key_hash) * ORDER_MULTIPLIER) & UINT64_MASK,
        )
        zone = self.state.settings.zone
        request.zone_endpoints = [endpoint for endpoint in endpoints if endpoint.zone == zone]
        request.remote_endpoints = [endpoint for endpoint in endpoints if endpoint.zone != zone]
        request.endpoint_order_version = self.state.list_version

    def sample(self, request: PendingRequest) -> list[EndpointState]:
        """The candidates of a placement: the next few in this zone and the next few in other zones."""
        if request.endpoint_order_version != self.state.list_version:
            self._order_endpoints(request)
        is_first_sample = request.rejected_samples == 0
        if request.group and self.state.settings.groups_share_work:
            candidates = self._group_candidates(request)
            if candidates or not is_first_sample:
                return candidates
        candidates = self._next_candidates(request, request.zone_endpoints)
        candidates += self._next_candidates(request, request.remote_endpoints)
        if not is_first_sample:
            return candidates
        if not candidates:
            candidates = self._fallback_candidates(request)
        if self.state.readmitted:
            candidates += self._readmitted_candidates(request, candidates)
        return candidates

    def _next_candidates(
        self, request: PendingRequest, endpoints: list[EndpointState]
    ) -> list[EndpointState]:
        """The next few endpoints in an order after those of earlier samples, and all that are warming up.

        The tokens of an endpoint that is warming up expire, so a balancer that has one uses it.
        """
        now_ns = self.state.now_ns
        candidates = []
        to_skip = CANDIDATES_PER_ZONE * request.rejected_samples
        for endpoint in endpoints:
            if endpoint.ejected_until_ns > now_ns or not self.can_attempt(request, endpoint):
                continue
            if endpoint.id in request.attempted_endpoints or not self.slow_start.has_capacity(endpoint):
                continue
            to_skip -= 1
            if to_skip < 0 and (to_skip >= -CANDIDATES_PER_ZONE or self.capacity.is_warming_up(endpoint)):
                candidates.append(endpoint)
        return candidates

    def _fallback_candidates(self, request: PendingRequest) -> list[EndpointState]:
        """Candidates when all endpoints are ejected or were attempted: any of them is better than none."""
        endpoints = request.zone_endpoints + request.remote_endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self.can_attempt(request, endpoint) and self.slow_start.has_capacity(endpoint)
        ][:CANDIDATES_PER_ZONE]

    def _readmitted_candidates(
        self, request: PendingRequest, candidates: list[EndpointState]
    ) -> list[EndpointState]:
        """The endpoints that were readmitted after a ban and not used since, except those already drawn."""
        return [
            endpoint
            for endpoint in request.zone_endpoints + request.remote_endpoints
            if endpoint.id in self.state.readmitted
            and endpoint not in candidates
            and endpoint.ejected_until_ns <= self.state.now_ns
            and self.can_attempt(request, endpoint)
            and self.slow_start.has_capacity(endpoint)
        ]

    def _group_candidates(self, request: PendingRequest) -> list[EndpointState]:
        """All candidates where a group's work is done once per endpoint; endpoints with the group first."""
        candidates: list[EndpointState] = []
        for endpoints in (request.zone_endpoints, request.remote_endpoints):
            allowed = [
                endpoint
                for endpoint in endpoints
                if endpoint.ejected_until_ns <= self.state.now_ns
                and self.can_attempt(request, endpoint)
                and endpoint.id not in request.attempted_endpoints
                and self.slow_start.has_capacity(endpoint)
            ]
            candidates += [it for it in allowed if request.group in it.group_connections]
            candidates += [it for it in allowed if request.group not in it.group_connections]
        return candidates

    def has_capacity(self, endpoint: EndpointState, request: PendingRequest) -> bool:
        """Whether an endpoint can take one more connection without being full.

        If the fleet is nearly full, every balancer has queued clients, and together they would fill an
        endpoint as soon as it reports a little spare capacity. So each balancer then uses only its own share
        of the spare capacity, rounded at random.
        """
        capacity, state = self.capacity, self.state
        if endpoint.latency.exceeds(request.request_class.message_latency_objective_ns, state.now_ns):
            return False
        if not endpoint.connection_capacity and self._is_unproven(endpoint):
            return False
        if endpoint.reported_load is None:
            return True
        if state.is_over_quota(request.tenant):
            return capacity.predicted_load(endpoint) < IDLE_CAPACITY_LOAD
        if capacity.mean_load <= SPARE_CAPACITY_LOAD:
            return capacity.predicted_load(endpoint) < state.full_load
        added = self.accounting.estimate_load(request, endpoint) * state.settings.balancer_count
        unreported = capacity.unreported_load(endpoint) + added * endpoint.rounding_draw
        return capacity.current_load(endpoint) + unreported / capacity.capacity_of(endpoint) < state.full_load

    def _is_unproven(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint of unknown capacity has as many connections as allowed that no report covers.

        Limits an endpoint that may be far slower than its weight indicates, once the capacity of most others
        is known. An endpoint that is warming up is limited by its tokens instead.
        """
        if self.capacity.is_warming_up(endpoint):
            return False
        if 2 * self.capacity.learned_capacity_count <= len(self.state.endpoints):
            return False
        unreported = len(endpoint.requests) * self.capacity.peer_multiplier - endpoint.reported_connections
        return unreported >= MAX_UNREPORTED_CONNECTIONS

    def choose(self, request: PendingRequest, candidates: list[EndpointState]) -> EndpointState | None:
        """The best candidate with capacity; one with a pending health check only if all have one.

        Full endpoints are left out to prevent congestion collapse: a full endpoint serves none of the added
        connections, and those that it drops are retried and set up again, until set-up alone fills the fleet.
        """
        state = self.state
        preferred = [it for it in candidates if not it.health_check_pending] or candidates
        available = [it for it in preferred if self.has_capacity(it, request)]
        if not available:
            return None
        if request.group and state.settings.groups_share_work:
            available = self._limit_group_spread(request, available)
        return max(
            available,
            key=lambda it: (it.id in state.readmitted, self.score(it, request), state.random.random()),
        )

    def _limit_group_spread(
        self, request: PendingRequest, available: list[EndpointState]
    ) -> list[EndpointState]:
        """The available endpoints where a group's connection may be placed, so that it stays on few."""
        zone = self.state.settings.zone
        positions = group_spread_candidates(
            (request.group in it.group_connections, it.zone == zone) for it in available
        )
        allowed = {available[position].id for position in positions}.union(self.state.readmitted)
        return [it for it in available if it.id in allowed]

    def can_attempt(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Whether an endpoint takes new requests and the class allows the next attempt there."""
        if endpoint.is_down or not endpoint.is_listed or endpoint.id in self.state.banned:
            return False
        first_endpoint, request_class = request.first_uncertain_endpoint, request.request_class
        if first_endpoint is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        elapsed_ns = self.state.now_ns - request.first_uncertain_attempt_ns
        if elapsed_ns >= request_class.idempotency_window_ns:
            return False
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        if request_class.deduplication_scope is DeduplicationScope.ZONE:
            return endpoint.zone == first_endpoint.zone
        return endpoint.zone == first_endpoint.zone and endpoint.cell == first_endpoint.cell
