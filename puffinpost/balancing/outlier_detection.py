"""Temporarily ejects endpoints that fail, and migrates connections off endpoints that have stalled.

Evaluates results of attempts and health checks, overdue responses and delay reports, which the request
lifecycle and `Balancer` pass here. This module never selects an endpoint.
"""

from __future__ import annotations

from puffinpost.balancing.capacity import REPORT_LAG_OBJECTIVES
from puffinpost.balancing.events import AttemptResult, DelayReported, HealthCheckCompleted, ResponseOverdue
from puffinpost.balancing.health_checks import HealthCheckScheduler
from puffinpost.balancing.migration import Migration
from puffinpost.balancing.model import EndpointState

EJECTION_OBJECTIVES = 2.0  # length of a first ejection in latency objectives; doubles at each further failure
MAX_EJECTION_DOUBLINGS = 4  # limits the doublings, so that a recovery is noticed within seconds
UNREACHABLE_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
HEALTHY_RESULTS = (AttemptResult.SERVED, AttemptResult.REJECTED, AttemptResult.SUPERSEDED)


class OutlierDetector:
    """Evaluates the successes and failures of endpoints."""

    def __init__(self, migration: Migration, health_checks: HealthCheckScheduler) -> None:
        self.state, self.migration, self.health_checks = migration.state, migration, health_checks

    def on_failure(self, endpoint: EndpointState) -> None:
        """Ejects an endpoint that does not respond, for longer with each consecutive failure."""
        doublings = min(endpoint.consecutive_failures, MAX_EJECTION_DOUBLINGS)
        ejection_ns = self.state.objectives_ns(EJECTION_OBJECTIVES * 2.0**doublings)
        endpoint.ejected_until_ns = self.state.now_ns + ejection_ns
        endpoint.consecutive_failures += 1

    def on_success(self, endpoint: EndpointState) -> None:
        """Ends an ejection: the endpoint responded correctly."""
        endpoint.stall.reset()
        endpoint.consecutive_failures = 0
        endpoint.ejected_until_ns = 0

    def on_health_check(self, endpoint: EndpointState, event: HealthCheckCompleted) -> None:
        """Evaluates the result of a health check, but not its load report."""
        if event.result not in HEALTHY_RESULTS:
            self.on_failure(endpoint)
        reached_dial_timeout = event.elapsed_ns >= self.state.settings.dial_timeout_ns
        if event.result in UNREACHABLE_RESULTS and reached_dial_timeout:
            endpoint.stall.missed_health_checks += 1
            self._check_stall(endpoint)
        else:
            # A refused connection is a response too: the machine is up and resets connections that it lost.
            endpoint.stall.reset()

    def on_response_overdue(self, event: ResponseOverdue) -> None:
        """Records that a response is overdue on one of an endpoint's connections."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.stall.response_overdue = True
            self._check_stall(endpoint)

    def _check_stall(self, endpoint: EndpointState) -> None:
        """Handles a sign of a stall: marks the endpoint as stalled, or checks whether it responds.

        Otherwise connections would stay on an endpoint that does not respond. If an endpoint is marked as
        stalled, the others of its zone that have connections are checked too, because a zone fails or is cut
        off as a whole.
        """
        zone_peers = [
            it for it in self.state.endpoints.values() if it.zone == endpoint.zone and it is not endpoint
        ]
        zone_stalled = self.state.settings.zone_count > 1 and any(it.stall.is_stalled for it in zone_peers)
        if not endpoint.stall.should_mark_stalled(zone_stalled):
            self.health_checks.check_liveness([endpoint])
        elif not endpoint.stall.is_stalled:
            endpoint.stall.is_stalled = True
            self.migration.migrate(endpoint.established_requests())
            self.health_checks.check_liveness(zone_peers)

    def on_delay_report(self, event: DelayReported) -> None:
        """Records a message delay. If it misses the objective, checks the endpoint and sheds its excess load.

        With little traffic, an endpoint that has become slow would otherwise rarely be checked.
        """
        state = self.state
        endpoint = state.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        endpoint.latency.record(event.delay_ns, state.now_ns)
        if not endpoint.latency.exceeds(state.message_latency_objective_ns, state.now_ns):
            return
        if state.can_check_health and self.health_checks.can_check(endpoint):
            self.health_checks.start_check(endpoint)
        recovery_ns = state.objectives_ns(REPORT_LAG_OBJECTIVES)
        fraction = endpoint.latency.excess_fraction(state.recovery_target_load, recovery_ns)
        self.migration.shed_load(endpoint, fraction)
