"""Estimates each endpoint's capacity and load from delayed load reports and local accounting.

The request lifecycle records reports here, the balancer's tick updates the estimates of the whole fleet, and
the policies read the results. This module never selects an endpoint.
"""

from __future__ import annotations

from typing import TypeAlias

from puffinpost.balancing.draining import mean_load_after_drain
from puffinpost.balancing.model import EndpointState
from puffinpost.balancing.state import BalancerState
from puffinpost.balancing.tenant_quotas import SCARCE_CAPACITY_LOAD

# Constants whose names end in _OBJECTIVES are multiples of the shortest latency objective.
REPORT_LAG_OBJECTIVES = 3.0  # reports are delayed: one fully covers the placements made this long before it
ASSUMED_UTILIZATION = 0.5  # fraction of the fleet assumed to be in use while reports show less
REPORT_HALF_LIFE_OBJECTIVES = 4.0  # age at which a report's weight in the fleet's mean load has halved
FLEET_ESTIMATE_INTERVAL_OBJECTIVES = 0.5  # the fleet does not change faster than reports arrive
# The fleet is also estimated again once the local load has grown by this factor: it grows fast after a start.
FLEET_ESTIMATE_LOAD_GROWTH = 1.25
CAPACITY_MIN_CONNECTIONS = 4.0  # a report with fewer connections does not show the capacity
CAPACITY_MIN_LOAD = 0.1  # nor does one with less load, because of the rounding in reports
CAPACITY_SMOOTHING = 0.3  # weight of the newest report in the learned capacity
PEER_MULTIPLIER_MIN_CONNECTIONS = 8  # local connections needed to learn the multiplier
# Weight of the newest estimate in the multiplier: averages over seconds, longer than the delay of reports.
PEER_MULTIPLIER_SMOOTHING = 0.1
MAX_LOCAL_LOAD_ESTIMATE = 2.0  # upper bound of a load estimated from local accounting alone
# Above this mean load of the fleet, there is no better endpoint to migrate a connection to.
SPARE_CAPACITY_LOAD = 0.65
MAX_REPORTED_VALUE = 1e6  # a larger value in a report is an error
MIN_CAPACITY = 1e-9  # avoids division by zero

ReportedLoads: TypeAlias = list[tuple[EndpointState, float]]


class CapacityEstimator:
    """This balancer's estimates of the fleet. Capacities are in the unit of loads."""

    def __init__(self, state: BalancerState) -> None:
        self.state, self.accounting = state, state.accounting
        self.mean_load = 0.0
        self.mean_load_after_drain = 0.0  # once all draining endpoints have left
        self.peer_multiplier = float(state.settings.balancer_count)  # fleet's connections per local one
        self.mean_connection_load = 1.0
        self.learned_capacity_count = 0  # endpoints with a learned capacity
        self.next_fleet_estimate_ns = 0
        self.load_at_last_estimate = 0.0
        self.capacity_per_weight = 1.0
        self.connections_per_weight: float | None = None  # at full load
        self.apply_settings()

    def apply_settings(self) -> None:
        """Looks up the positions of a load report's fields in the settings."""
        fields = self.state.settings.load_report_fields
        self.load_field_index = _field_index(fields, "x0", "load_share")
        self.connections_field_index = _field_index(fields, "concurrent", "inflight")

    def warmup_factor(self, endpoint: EndpointState) -> float:
        """The fraction of its capacity that an endpoint has reached: a linear ramp, 1 after the warm-up."""
        if not self.is_warming_up(endpoint):
            return 1.0
        settings = self.state.settings
        elapsed_fraction = max(0, self.state.now_ns - endpoint.warming_since_ns) / settings.warmup_duration_ns
        return settings.warmup_initial_capacity + (1.0 - settings.warmup_initial_capacity) * elapsed_fraction

    def is_warming_up(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint started so recently that it has only part of its capacity."""
        return (
            endpoint.warming_since_ns > 0
            and self.state.now_ns < endpoint.warming_since_ns + self.state.settings.warmup_duration_ns
        )

    def record_report(self, endpoint: EndpointState, report: tuple[float, ...]) -> bool:
        """Records an endpoint's load report. Returns whether it contains a valid load."""
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
        """Learns an endpoint's capacity from the connections and the load of one report.

        Without this, an endpoint far slower than its weight indicates would be overloaded after each report
        that shows it free.
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
        """Predicted load of the placements that the last report does not cover, or covers only in part.

        Only the number of peers is known: each is assumed to have placed as much as this balancer.
        """
        if not endpoint.placements:
            return 0.0
        lag_ns = REPORT_LAG_OBJECTIVES * self.state.latency_objective_ns
        total = 0.0
        for placed_ns, load in endpoint.placements:
            total += load * (1.0 - max(0.0, min(1.0, (endpoint.load_reported_ns - placed_ns) / lag_ns)))
        return total * self.state.settings.balancer_count

    def capacity_of(self, endpoint: EndpointState) -> float:
        """An endpoint's current capacity, in the unit of loads."""
        full_capacity = (
            endpoint.connection_capacity * self.mean_connection_load
            if endpoint.connection_capacity
            else self.capacity_per_weight * endpoint.weight
        )
        return max(full_capacity * self.warmup_factor(endpoint), MIN_CAPACITY)

    def current_load(self, endpoint: EndpointState) -> float:
        """Load over capacity: the reported one, or the one from local accounting if that is higher.

        Reports may date from before a surge, while local connections are known immediately.
        """
        reported = endpoint.reported_load or 0.0
        if not endpoint.connection_capacity:
            return reported
        local = endpoint.local_load * self.peer_multiplier / self.capacity_of(endpoint)
        return max(reported, min(local, MAX_LOCAL_LOAD_ESTIMATE))

    def predicted_load(self, endpoint: EndpointState) -> float:
        """Load over capacity, including the placements that no report covers yet."""
        if endpoint.reported_load is None:
            return 0.0
        unreported = self.unreported_load(endpoint) / self.state.settings.balancer_count
        return self.current_load(endpoint) + unreported / self.capacity_of(endpoint)

    def is_shed_first(self, tenant: int) -> bool:
        """Whether a tenant's requests are shed first: capacity is scarce and the tenant is over its quota."""
        return self.mean_load > SCARCE_CAPACITY_LOAD and self.state.is_over_quota(tenant)

    def fleet_estimate_due(self) -> bool:
        """Whether the estimates of the fleet have to be updated."""
        return (
            self.state.now_ns >= self.next_fleet_estimate_ns
            or self.accounting.local_load > self.load_at_last_estimate * FLEET_ESTIMATE_LOAD_GROWTH
        )

    def estimate_fleet(self) -> None:
        """Updates the estimates of the whole fleet from the latest report of each endpoint."""
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
        reported_loads = [(it, it.reported_load or 0.0) for it in reporting if not it.is_down]
        self._learn_peer_multiplier([endpoint for endpoint, _ in reported_loads])
        self.capacity_per_weight = self._estimate_capacity_per_weight(reported_loads)
        self.mean_load = self._estimate_mean_load(reported_loads)
        self.mean_load_after_drain = mean_load_after_drain(
            ((it.weight * self.warmup_factor(it), load) for it, load in reported_loads),
            ((it.weight, it.reported_load or 0.0) for it in reporting if it.is_down and it.requests),
        )
        self.connections_per_weight = self._estimate_connections_per_weight(reported_loads)

    def _estimate_capacity_per_weight(self, reported_loads: ReportedLoads) -> float:
        """The load of all balancers (the local load times their number) over the weight reported in use.

        Reports from before a surge show almost nothing in use, so at least a fixed fraction of the fleet is
        assumed to be in use.
        """
        state = self.state
        weight = sum(it.weight for it in state.endpoints.values() if not state.is_excluded(it))
        used_weight = sum(endpoint.weight * load for endpoint, load in reported_loads)
        local_load = max(self.accounting.local_load, self.accounting.typical_load())
        fleet_load = local_load * state.settings.balancer_count
        return max(fleet_load / max(used_weight, weight * ASSUMED_UTILIZATION, 1e-9), MIN_CAPACITY)

    def _estimate_mean_load(self, reported_loads: ReportedLoads) -> float:
        """The fleet's mean load by weight; a report's weight decreases with its age.

        Otherwise reports from an overload that has ended would make the fleet look full.
        """
        state = self.state
        half_life_ns = REPORT_HALF_LIFE_OBJECTIVES * state.latency_objective_ns
        weights: list[float] = [
            it.weight * 0.5 ** ((state.now_ns - it.load_reported_ns) / half_life_ns)
            for it, _ in reported_loads
        ]
        total = sum(weights)
        if not total > 0:
            return 0.0
        loads = sum(
            weight * min(load, 1.0) for weight, (_, load) in zip(weights, reported_loads, strict=True)
        )
        return loads / total

    def _estimate_connections_per_weight(self, reported_loads: ReportedLoads) -> float | None:
        """The fleet's connections at full load per unit of weight, None if unknown.

        Endpoints that are warming up are left out.
        """
        warmed_up = [
            (endpoint, load) for endpoint, load in reported_loads if not self.is_warming_up(endpoint)
        ]
        connections = sum(len(endpoint.requests) for endpoint, _ in warmed_up)
        used_weight = sum(endpoint.weight * load for endpoint, load in warmed_up)
        if connections >= 1 and used_weight > 0:
            return connections * self.state.settings.balancer_count / used_weight
        return None

    def _learn_peer_multiplier(self, endpoints: list[EndpointState]) -> None:
        """Learns how many connections all balancers together have per local connection."""
        local = sum(len(endpoint.requests) for endpoint in endpoints)
        if local < PEER_MULTIPLIER_MIN_CONNECTIONS or self.connections_field_index is None:
            return
        reported = sum(endpoint.reported_connections for endpoint in endpoints)
        observed = min(max(reported / local, 1.0), 2.0 * self.state.settings.balancer_count)
        self.peer_multiplier += (observed - self.peer_multiplier) * PEER_MULTIPLIER_SMOOTHING


def _field_index(fields: tuple[str, ...], *names: str) -> int | None:
    return next((fields.index(name) for name in names if name in fields), None)
