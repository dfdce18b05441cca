"""The load that this balancer has placed: in total, per endpoint, and per tenant and group.

The request lifecycle adds and removes requests, and load reports of clients update them. This module never
selects an endpoint.
"""

from __future__ import annotations

import math

from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.tenant_quotas import TenantQuotas

LOAD_CLAMP_RATIO = 16.0  # largest over smallest estimate of a load, as in the paper's range of 0.5 to 8 Mbps
HINTED_LOAD_DECAY = 0.999  # factor on the weight of older hints at each new one, in the running mean


class LoadAccounting:
    """Loads of one balancer's requests, in work per second; a load is 1 if no client declares any."""

    def __init__(self, tenant_quotas: TenantQuotas) -> None:
        self.tenant_quotas = tenant_quotas
        # Decaying sum and count of the loads that clients declared.
        self.hinted_load_sum = 0.0
        self.hinted_load_count = 0.0
        self.local_load = 0.0

    def record_hinted_load(self, load: float) -> None:
        """Adds the load that a client declared with its request to the running mean."""
        self.hinted_load_sum = self.hinted_load_sum * HINTED_LOAD_DECAY + load
        self.hinted_load_count = self.hinted_load_count * HINTED_LOAD_DECAY + 1.0

    def typical_load(self) -> float:
        """The mean declared load of a connection; 1 if none was ever declared."""
        return self.hinted_load_sum / self.hinted_load_count if self.hinted_load_count else 1.0

    def estimate_load(self, request: PendingRequest, endpoint: EndpointState | None) -> float:
        """A request's load: declared, else the endpoint's mean, else the minimum; clamped to a range."""
        smallest = self.typical_load() / math.sqrt(LOAD_CLAMP_RATIO)
        if request.hinted_load is not None:
            load = request.hinted_load
        elif endpoint is not None and endpoint.requests:
            load = endpoint.local_load / len(endpoint.requests)
        else:
            load = smallest
        return min(max(load, smallest), smallest * LOAD_CLAMP_RATIO)

    def add(self, request: PendingRequest, endpoint: EndpointState, now_ns: int) -> None:
        """Adds an attempt that starts at an endpoint, or a connection that was adopted there."""
        request.estimated_load = self.estimate_load(request, endpoint)
        request.endpoint = endpoint
        request.placed_ns = now_ns
        endpoint.requests[request.request_id] = request
        endpoint.local_load += request.estimated_load
        self.local_load += request.estimated_load
        self.tenant_quotas.connections[request.tenant] += 1
        if request.group:
            endpoint.group_connections[request.group] = endpoint.group_connections.get(request.group, 0) + 1

    def remove(self, request: PendingRequest) -> EndpointState | None:
        """Removes an attempt or connection that ended. Returns its endpoint; None if it was not accounted."""
        endpoint = request.endpoint
        if endpoint is None or endpoint.requests.pop(request.request_id, None) is None:
            return None
        # An endpoint without requests has a load of exactly zero, so that rounding errors do not accumulate.
        endpoint.local_load = (
            max(0.0, endpoint.local_load - request.estimated_load) if endpoint.requests else 0.0
        )
        self.local_load = max(0.0, self.local_load - request.estimated_load)
        self.tenant_quotas.connections[request.tenant] -= 1
        if request.group:
            self._remove_from_group(endpoint, request.group)
        return endpoint

    def update(self, request: PendingRequest, load: float) -> None:
        """Updates the load of an open connection."""
        endpoint = request.endpoint
        if endpoint is None or request.request_id not in endpoint.requests:
            return
        request.hinted_load = load
        estimated_load = self.estimate_load(request, endpoint)
        endpoint.local_load += estimated_load - request.estimated_load
        self.local_load += estimated_load - request.estimated_load
        request.estimated_load = estimated_load

    @staticmethod
    def _remove_from_group(endpoint: EndpointState, group: int) -> None:
        remaining = endpoint.group_connections.get(group, 0) - 1
        if remaining > 0:
            endpoint.group_connections[group] = remaining
        else:
            endpoint.group_connections.pop(group, None)
