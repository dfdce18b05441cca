"""Slow start: limits new connections to endpoints that are warming up, together with all other balancers.

The endpoint table reports starts, the endpoint selector checks for capacity, and the request lifecycle
reports attempts. This module never selects an endpoint.
"""

from __future__ import annotations

import math

from puffinpost.balancing.capacity import CapacityEstimator
from puffinpost.balancing.model import EndpointState
from puffinpost.balancing.token_bucket import refill

# The fraction of the allowed connection rate that is used, because the endpoint's capacity is an estimate.
WARMUP_RATE_FACTOR = 0.6
# A token's lifetime, as a fraction of the rate's window: tokens of 1.5 windows times 0.6 stay below the limit
# of one window.
TOKEN_LIFETIME_FRACTION = 0.5


class SlowStart:
    """This balancer's share of the connection rate of each endpoint that is warming up."""

    def __init__(self, capacity: CapacityEstimator) -> None:
        self.state, self.capacity = capacity.state, capacity

    def on_endpoint_started(self, endpoint: EndpointState, since_ns: int, tokens: float) -> None:
        """Starts the warm-up of a new process and discards the old one's load and failures.

        The new process may be faster, so the learned capacity is discarded. But a capacity above the usual
        one for the endpoint's weight is kept, and used without waiting for reports: the first reports show
        whether it is lower now.
        """
        usual_capacity = (self.capacity.connections_per_weight or math.inf) * endpoint.weight
        if endpoint.connection_capacity <= usual_capacity:
            endpoint.connection_capacity = 0.0
        endpoint.reported_load = None
        endpoint.reported_connections = 0.0
        endpoint.consecutive_failures = 0
        endpoint.ejected_until_ns = 0
        endpoint.placements.clear()
        endpoint.latency.clear()
        endpoint.stall.reset()  # responses still due from the old process are lost
        endpoint.warming_since_ns = since_ns
        endpoint.admission_tokens = tokens
        endpoint.tokens_updated_ns = self.state.now_ns

    def has_capacity(self, endpoint: EndpointState) -> bool:
        """Whether this balancer's share of the rate of an endpoint that is warming up allows another attempt.

        The fleet's rate is a multiple of the rate that fills the endpoint during its warm-up. `token_bucket`
        describes how balancers share a rate.
        """
        capacity, settings = self.capacity, self.state.settings
        if not capacity.is_warming_up(endpoint):
            return True
        if not endpoint.connection_capacity and capacity.connections_per_weight is None:
            return endpoint.id in self.state.readmitted and endpoint.admission_tokens >= 1.0
        full_connections = (
            endpoint.connection_capacity or (capacity.connections_per_weight or 0.0) * endpoint.weight
        )
        fleet_rate = (
            full_connections
            / settings.warmup_duration_ns
            * capacity.warmup_factor(endpoint)
            * settings.warmup_load_multiple
            * WARMUP_RATE_FACTOR
        )
        elapsed_ns = self.state.now_ns - endpoint.tokens_updated_ns
        endpoint.tokens_updated_ns = self.state.now_ns
        endpoint.admission_tokens = refill(
            endpoint.admission_tokens,
            fleet_rate / settings.balancer_count,
            elapsed_ns,
            TOKEN_LIFETIME_FRACTION * settings.warmup_window_ns,
        )
        return endpoint.admission_tokens >= 1.0

    def on_attempt_started(self, endpoint: EndpointState) -> None:
        """Takes one token if the endpoint is warming up."""
        if self.capacity.is_warming_up(endpoint):
            endpoint.admission_tokens -= 1.0
