"""Ejects endpoints that fail for a while, and gives up those that stall.

Judges outcomes of attempts and health checks, overdue responses and delay reports, which the request
lifecycle and `Balancer` pass here. It never chooses an endpoint.
"""

from __future__ import annotations

from puffinpost.balancing.capacity import REPORT_LAG_OBJECTIVES
from puffinpost.balancing.events import AttemptResult, DelayReported, HealthCheckCompleted, ResponseOverdue
from puffinpost.balancing.health_checks import HealthCheckScheduler
from puffinpost.balancing.migration import Migration
from puffinpost.balancing.model import EndpointState

EJECTION_OBJECTIVES = 2.0  # latency objectives of a first ejection, doubled with each further failure ...
MAX_EJECTION_DOUBLINGS = 4  # ... this often at most, so that a recovery is seen within seconds
UNREACHABLE_RESULTS = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
HEALTHY_RESULTS = (AttemptResult.SERVED, AttemptResult.REJECTED, AttemptResult.SUPERSEDED)


class OutlierDetector:
    """What answers and failures say of endpoints."""

    def __init__(self, migration: Migration, health_checks: HealthCheckScheduler) -> None:
        self.state, self.migration, self.health_checks = migration.state, migration, health_checks

    def on_failure(self, endpoint: EndpointState) -> None:
        """Ejects an endpoint that does not answer, longer with each failure in a row."""
        doublings = min(endpoint.consecutive_failures, MAX_EJECTION_DOUBLINGS)
        ejection_ns = self.state.objectives_ns(EJECTION_OBJECTIVES * 2.0**doublings)
        endpoint.ejected_until_ns = self.state.now_ns + ejection_ns
        endpoint.consecutive_failures += 1

    def on_success(self, endpoint: EndpointState) -> None:
        """The endpoint answered as it should: an ejection ends."""
        endpoint.stall.reset()
        endpoint.consecutive_failures = 0
        endpoint.ejected_until_ns = 0

    def on_health_check(self, endpoint: EndpointState, event: HealthCheckCompleted) -> None:
        """Judges an endpoint by the result of a health check, not by the load report in it."""
        if event.result not in HEALTHY_RESULTS:
            self.on_failure(endpoint)
        reached_dial_timeout = event.elapsed_ns >= self.state.settings.dial_timeout_ns
        if event.result in UNREACHABLE_RESULTS and reached_dial_timeout:
            endpoint.stall.missed_health_checks += 1
            self._check_stall(endpoint)
        else:
            endpoint.stall.reset()  # a refused connection too: the machine is up, and resets what it lost

    def on_response_overdue(self, event: ResponseOverdue) -> None:
        """A response is overdue on one of an endpoint's connections."""
        endpoint = self.state.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.stall.response_overdue = True
            self._check_stall(endpoint)

    def _check_stall(self, endpoint: EndpointState) -> None:
        """There is a sign that an endpoint has stalled: gives it up, or checks whether it answers.

        Guards against connections that stay where nothing answers. Where one is given up, those of its zone
        that have connections are checked too: a zone is lost, or cut off, as one.
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
        """Records how long messages take. Past the objective, checks the endpoint and sheds its excess load.

        Guards against an endpoint gone slow that little traffic seldom checks.
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
