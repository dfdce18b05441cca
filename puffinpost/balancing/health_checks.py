"""Schedules health checks of endpoints within a budget (credit) that grows with the traffic.

The request lifecycle and the outlier detector request checks, and the balancer's tick requests those of
endpoints with stale reports. This module does not interpret the results.
"""

from __future__ import annotations

from puffinpost.balancing.actions import CheckHealth
from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.state import BalancerState

# Constants whose names end in _OBJECTIVES are multiples of a latency objective.
GROUP_CANDIDATES_CHECKED = 2  # the first candidates of a group, whose stale reports a placement waits for
MIN_CHECK_INTERVAL_OBJECTIVES = 2.0  # an endpoint checked more recently than this is not checked again
REPORT_WAIT_OBJECTIVES = 0.1  # longest wait of a placement for its candidates' reports
CREDIT_PER_REQUEST = 3.0  # keeps the cost of checks a small, fixed fraction of the traffic's cost
MAX_CREDIT = 12.0  # limits the saved credit, so that an idle period is not followed by a burst of checks
CREDIT_PER_OBJECTIVE = 0.5  # earned without any traffic, to keep the state of the fleet known


class HealthCheckScheduler:
    """One balancer's health checks: at most one pending per endpoint, and a credit for further checks."""

    def __init__(self, state: BalancerState) -> None:
        self.state = state
        self.credit = MAX_CREDIT

    def add_credit(self, count: float) -> None:
        """Adds credit earned by traffic or time."""
        self.credit = min(MAX_CREDIT, self.credit + count)

    def can_check(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint's report is stale and the credit allows a check."""
        age_ns = self.state.now_ns - endpoint.health_checked_ns
        is_stale = (
            endpoint.health_checked_ns < 0
            or age_ns >= MIN_CHECK_INTERVAL_OBJECTIVES * self.state.latency_objective_ns
        )
        return (
            is_stale
            and not endpoint.health_check_pending
            and self.credit >= 1.0
            and not self.state.is_excluded(endpoint)
        )

    def start_check(self, endpoint: EndpointState) -> None:
        """Starts a health check, regardless of the credit."""
        self.credit -= 1.0
        endpoint.health_check_pending = True
        endpoint.health_checked_ns = self.state.now_ns
        self.state.actions.append(CheckHealth(endpoint.id))

    def check_candidates(self, request: PendingRequest, candidates: list[EndpointState]) -> bool:
        """Checks candidates with stale reports. Returns whether the placement has to wait for the results."""
        request.candidates_checked = True
        if not self.state.can_check_health:
            return False
        shares_work = request.group and self.state.settings.groups_share_work
        count = GROUP_CANDIDATES_CHECKED if shares_work else len(candidates)
        for endpoint in candidates[:count]:
            if self.can_check(endpoint):
                self.start_check(endpoint)
                endpoint.waiting_requests.append(request)
                request.pending_health_checks += 1
        wait_ns = int(REPORT_WAIT_OBJECTIVES * request.request_class.latency_objective_ns)
        request.backoff_until_ns = self.state.now_ns + wait_ns
        return request.pending_health_checks > 0

    def check_liveness(self, endpoints: list[EndpointState]) -> None:
        """Checks those endpoints that have requests of this balancer, regardless of the credit."""
        if not self.state.settings.health_checks_enabled:
            return
        for endpoint in endpoints:
            if (
                endpoint.requests
                and not endpoint.health_check_pending
                and not self.state.is_excluded(endpoint)
            ):
                self.start_check(endpoint)

    def check_stale_endpoints(self) -> None:
        """Checks the endpoints with the oldest checks, using only the upper half of the credit."""
        reserve = MAX_CREDIT / 2
        if not self.state.can_check_health or self.credit < reserve:
            return
        checkable = [
            endpoint
            for endpoint in self.state.endpoints.values()
            if not self.state.is_excluded(endpoint) and not endpoint.health_check_pending
        ]
        checkable.sort(key=lambda endpoint: endpoint.health_checked_ns)
        for endpoint in checkable[: int(self.credit - reserve)]:
            if self.can_check(endpoint):
                self.start_check(endpoint)
