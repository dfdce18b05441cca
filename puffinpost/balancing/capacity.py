"""Estimates what each endpoint can do and how loaded it is, from late load reports and local accounting.

The request lifecycle records reports here, the balancer's tick runs the survey of the fleet, and the policies
read the results. It never chooses an endpoint.
"""

from __future__ import annotations

from typing import TypeAlias

from puffinpost.balancing.draining import mean_load_after_drain
from puffinpost.balancing.model import EndpointState
from puffinpost.balancing.state import BalancerState
from puffinpost.balancing.tenant_quotas import SCARCE_CAPACITY_LOAD

# Constants in _OBJECTIVES are multiples of the shortest latency objective.
REPORT_LAG_OBJECTIVES = 3.0  # a report fully covers placements made this long before it: reports come late
ASSUMED_UTILIZATION = 0.5  # share of the fleet taken to be in use while reports show less
REPORT_HALF_LIFE_OBJECTIVES = 4.0  # a report's weight in the fleet's mean load halves with this age
FLEET_ESTIMATE_INTERVAL_OBJECTIVES = 0.5  # the fleet changes no faster than reports come
FLEET_ESTIMATE_LOAD_GROWTH = 1.25  # or when the local load has grown by this: it grows fast after a start
CAPACITY_MIN_CONNECTIONS = 4.0  # a report of fewer connections says nothing of the capacity
CAPACITY_MIN_LOAD = 0.1  # nor one of less load: the rounding in the report would weigh too much
CAPACITY_SMOOTHING = 0.3  # weight of the newest report in the learned capacity
PEER_MULTIPLIER_MIN_CONNECTIONS = 8  # local connections from which the peers' part can be learned
PEER_MULTIPLIER_SMOOTHING = 0.1  # weight of the newest survey: over seconds, longer than reports are late
MAX_LOCAL_LOAD_ESTIMATE = 2.0  # greatest load that local accounting alone may show
SPARE_CAPACITY_LOAD = 0.65  # past this mean load of the fleet there is nowhere better to go
MAX_REPORTED_VALUE = 1e6  # a figure of a report past this is an error
MIN_CAPACITY = 1e-9  # avoids division by zero

ReportedLoads: TypeAlias = list[tuple[EndpointState, float]]


class CapacityEstimator:
    """The fleet as this balancer can know it. Capacities are in the unit of loads."""

    def __init__(self, state: BalancerState) -> None:
        self.state, self.accounting = state, state.accounting
        self.mean_load = 0.0
        self.mean_load_after_drain = 0.0  # once all endpoints that drain have left
        self.peer_multiplier = float(state.settings.balancer_count)  # fleet's connections per local one
        self.mean_connection_load = 1.0
        self.learned_capacity_count = 0  # endpoints of which the capacity is learned
        self.next_fleet_estimate_ns = 0
        self.load_at_last_estimate = 0.0
        self.capacity_per_weight = 1.0
        self.connections_per_weight: float | None = None  # at full load
        self.apply_settings()

    def apply_settings(self) -> None:
        """Takes the positions of a load report's fields from the settings."""
        fields = self.state.settings.load_report_fields
        self.load_field_index = _field_index(fields, "x0", "load_share")
        self.connections_field_index = _field_index(fields, "concurrent", "inflight")

    def warmup_factor(self, endpoint: EndpointState) -> float:
        """The fraction of its capacity that an endpoint has by now, by a linear ramp; 1 once it is warm."""
        if not self.is_warming_up(endpoint):
            return 1.0
        settings = self.state.settings
        elapsed = max(0, self.state.now_ns - endpoint.warming_since_ns) / settings.warmup_duration_ns
        return settings.warmup_initial_capacity + (1.0 - settings.warmup_initial_capacity) * elapsed

    def is_warming_up(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint started so recently that it has a part of its capacity only."""
        return (
            endpoint.warming_since_ns > 0
            and self.state.now_ns < endpoint.warming_since_ns + self.state.settings.warmup_duration_ns
        )

    def record_report(self, endpoint: EndpointState, report: tuple[float, ...]) -> bool:
        """Takes an endpoint's load report; whether it has a load."""
        if self.load_field_index is None or self.load_field_index >= len(report):
            return False
        load = report[self.load_field_index]
        if not 0.0 <= load < MAX_REPORTED_VALUE:  # also rejects NaN
            return False
        self._learn_connection_capacity(endpoint, load, report)
        endpoint.reported_load = load
        endpoint.load_reported_ns = self.state.now_ns
        endpoint.rounding_draw = self.state.random.random()
        covered_until_ns = self.state.now_ns - self.state.objectives_ns(REPORT_LAG_OBJECTIVES)
        endpoint.placements = [item for item in endpoint.placements if item.placed_ns > covered_until_ns]
        return True

    def _learn_connection_capacity(
        self, endpoint: EndpointState, load: float, report: tuple[float, ...]
    ) -> None:
        """Learns an endpoint's capacity from the connections and the load that it reports together.

        Guards against an endpoint far slower than its weight says, which would be overfilled after each
        report that shows it free.
        """
        if self.connections_field_index is None or self.connections_field_index >= len(report):
            return
        connections = report[self.connections_field_index]
        if not 0.0 <= connections < MAX_REPORTED_VALUE:
            return
        endpoint.reported_connections = connections
        if connections >= CAPACITY_MIN_CONNECTIONS and load >= CAPACITY_MIN_LOAD:
            observed = connections / load / self.warmup_factor(endpoint)
            smoothing = CAPACITY_SMOOTHING if endpoint.connection_capacity else 1.0
            endpoint.connection_capacity += (observed - endpoint.connection_capacity) * smoothing

    def unreported_load(self, endpoint: EndpointState) -> float:
        """Predicted load of the placements that the last report does not cover, or covers in part.

        The peers, of which only the number is known, are taken to have placed as much as this balancer.
        """
        if not endpoint.placements:
            return 0.0
        lag_ns = REPORT_LAG_OBJECTIVES * self.state.latency_objective_ns
        total = 0.0
        for placed_ns, load in endpoint.placements:
            total += load * (1.0 - max(0.0, min(1.0, (endpoint.load_reported_ns - placed_ns) / lag_ns)))
        return total * self.state.settings.balancer_count

    def capacity_of(self, endpoint: EndpointState) -> float:
        """What an endpoint can do now, in the unit of loads."""
        full = (
            endpoint.connection_capacity * self.mean_connection_load
            if endpoint.connection_capacity
            else self.capacity_per_weight * endpoint.weight
        )
        return max(full * self.warmup_factor(endpoint), MIN_CAPACITY)

    def current_load(self, endpoint: EndpointState) -> float:
        """Load over capacity as reported, or as local accounting shows where that is more.

        Guards against reports from before a surge: local connections are known at once.
        """
        reported = endpoint.reported_load or 0.0
        if not endpoint.connection_capacity:
            return reported
        local = endpoint.local_load * self.peer_multiplier / self.capacity_of(endpoint)
        return max(reported, min(local, MAX_LOCAL_LOAD_ESTIMATE))

    def predicted_load(self, endpoint: EndpointState) -> float:
        """Load over capacity, with the placements that no report covers yet."""
        if endpoint.reported_load is None:
            return 0.0
        unreported = self.unreported_load(endpoint) / self.state.settings.balancer_count
        return self.current_load(endpoint) + unreported / self.capacity_of(endpoint)

    def is_shed_first(self, tenant: int) -> bool:
        """Whether a tenant's requests yield: capacity is scarce and the tenant is over its quota."""
        return self.mean_load > SCARCE_CAPACITY_LOAD and self.state.is_over_quota(tenant)

    def fleet_estimate_due(self) -> bool:
        """Whether the fleet has to be surveyed again."""
        return (
            self.state.now_ns >= self.next_fleet_estimate_ns
            or self.accounting.local_load > self.load_at_last_estimate * FLEET_ESTIMATE_LOAD_GROWTH
        )

    def estimate_fleet(self) -> None:
        """Computes the figures of the whole fleet from the latest report of each endpoint."""
        state = self.state
        endpoints = state.endpoints.values()
        self.next_fleet_estimate_ns = state.now_ns + state.objectives_ns(FLEET_ESTIMATE_INTERVAL_OBJECTIVES)
        self.load_at_last_estimate = self.accounting.local_load
        connections = sum(len(endpoint.requests) for endpoint in endpoints)
        self.mean_connection_load = (
            self.accounting.local_load / connections if connections else self.accounting.typical_load()
        )
        self.learned_capacity_count = sum(endpoint.connection_capacity > 0 for endpoint in endpoints)
        reporting = [it for it in endpoints if it.reported_load is not None and it.id not in state.banned]
        up = [(it, it.reported_load or 0.0) for it in reporting if not it.is_down]
        self._learn_peer_multiplier([endpoint for endpoint, _ in up])
        self.capacity_per_weight = self._estimate_capacity_per_weight(up)
        self.mean_load = self._estimate_mean_load(up)
        self.mean_load_after_drain = mean_load_after_drain(
            ((it.weight * self.warmup_factor(it), load) for it, load in up),
            ((it.weight, it.reported_load or 0.0) for it in reporting if it.is_down and it.requests),
        )
        self.connections_per_weight = self._estimate_connections_per_weight(up)

    def _estimate_capacity_per_weight(self, up: ReportedLoads) -> float:
        """All balancers' load (the local one, times their number) over what reports show in use.

        Guards against reports from before a surge, which show next to nothing in use: at least a fixed share
        of the fleet is taken to be.
        """
        state = self.state
        weight = sum(it.weight for it in state.endpoints.values() if not state.is_excluded(it))
        used = sum(endpoint.weight * load for endpoint, load in up)
        local_load = max(self.accounting.local_load, self.accounting.typical_load())
        fleet_load = local_load * state.settings.balancer_count
        return max(fleet_load / max(used, weight * ASSUMED_UTILIZATION, 1e-9), MIN_CAPACITY)

    def _estimate_mean_load(self, up: ReportedLoads) -> float:
        """The fleet's mean load by weight; a report counts for less with its age.

        Guards against a fleet that is taken to be full because of reports from a storm that is over.
        """
        state = self.state
        half_life_ns = REPORT_HALF_LIFE_OBJECTIVES * state.latency_objective_ns
        weights: list[float] = [
            it.weight * 0.5 ** ((state.now_ns - it.load_reported_ns) / half_life_ns) for it, _ in up
        ]
        total = sum(weights)
        if not total > 0:
            return 0.0
        loads = sum(weight * min(load, 1.0) for weight, (_, load) in zip(weights, up, strict=True))
        return loads / total

    def _estimate_connections_per_weight(self, up: ReportedLoads) -> float | None:
        """The fleet's connections at full load per unit of weight, by its warm endpoints; None: not known."""
        warm = [(endpoint, load) for endpoint, load in up if not self.is_warming_up(endpoint)]
        connections = sum(len(endpoint.requests) for endpoint, _ in warm)
        used = sum(endpoint.weight * load for endpoint, load in warm)
        if connections >= 1 and used > 0:
            return connections * self.state.settings.balancer_count / used
        return None

    def _learn_peer_multiplier(self, endpoints: list[EndpointState]) -> None:
        """Learns how many connections all balancers have for each local one."""
        local = sum(len(endpoint.requests) for endpoint in endpoints)
        if local < PEER_MULTIPLIER_MIN_CONNECTIONS or self.connections_field_index is None:
            return
        reported = sum(endpoint.reported_connections for endpoint in endpoints)
        observed = min(max(reported / local, 1.0), 2.0 * self.state.settings.balancer_count)
        self.peer_multiplier += (observed - self.peer_multiplier) * PEER_MULTIPLIER_SMOOTHING


def _field_index(fields: tuple[str, ...], *names: str) -> int | None:
    return next((fields.index(name) for name in names if name in fields), None)
