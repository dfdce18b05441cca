"""Snapshots of what a balancer has learned, for the process that replaces it, and gossip of other balancers.

`Balancer` calls it at an upgrade and when gossip arrives. This module makes no decisions.
"""

from __future__ import annotations

from puffinpost.balancing.capacity import CapacityEstimator
from puffinpost.balancing.concurrency_limiter import ConcurrencyLimiter
from puffinpost.balancing.events import GossipState, LearnedEndpointState, LearnedState
from puffinpost.balancing.model import EndpointState


def snapshot(capacity: CapacityEstimator, limiter: ConcurrencyLimiter) -> LearnedState:
    """What this balancer has learned."""
    state, accounting = capacity.state, capacity.accounting
    return LearnedState(
        endpoints=tuple(_endpoint_snapshot(endpoint) for endpoint in state.endpoints.values()),
        hinted_load_sum=accounting.hinted_load_sum,
        hinted_load_count=accounting.hinted_load_count,
        peer_multiplier=capacity.peer_multiplier,
        concurrency_limit=limiter.limit,
        readmitted=tuple(state.readmitted),
    )


def restore(capacity: CapacityEstimator, limiter: ConcurrencyLimiter, learned: LearnedState) -> None:
    """Restores another balancer's snapshot. For an endpoint restarted since, only the capacity is valid."""
    state, accounting = capacity.state, capacity.accounting
    for endpoint_learned in learned.endpoints:
        endpoint = state.endpoints.get(endpoint_learned.endpoint)
        if endpoint is not None:
            _restore_endpoint(endpoint, endpoint_learned)
    accounting.hinted_load_sum = learned.hinted_load_sum
    accounting.hinted_load_count = learned.hinted_load_count
    capacity.peer_multiplier = learned.peer_multiplier
    limiter.limit = learned.concurrency_limit
    state.readmitted = [it for it in learned.readmitted if it in state.endpoints and it not in state.banned]
    capacity.next_fleet_estimate_ns = state.now_ns


def merge_gossip(capacity: CapacityEstimator, gossip: GossipState) -> None:
    """Merges what other balancers have learned. What this balancer has learned itself takes precedence.

    An endpoint that most others eject is ejected here too, unless this balancer has recent placements there,
    whose results then decide.
    """
    state = capacity.state
    state.tenant_quotas.peer_connections = gossip.tenant_usage
    for gossiped in gossip.endpoints:
        endpoint = state.endpoints.get(gossiped.endpoint)
        if endpoint is None:
            continue
        endpoint.connection_capacity = endpoint.connection_capacity or gossiped.connection_capacity
        if gossiped.ejected_for_ns and not endpoint.placements:
            ejected_until_ns = state.now_ns + gossiped.ejected_for_ns
            endpoint.ejected_until_ns = max(endpoint.ejected_until_ns, ejected_until_ns)


def _endpoint_snapshot(endpoint: EndpointState) -> LearnedEndpointState:
    return LearnedEndpointState(
        endpoint=endpoint.id,
        load=endpoint.reported_load,
        load_ns=endpoint.load_reported_ns,
        reported_connections=endpoint.reported_connections,
        connection_capacity=endpoint.connection_capacity,
        consecutive_failures=endpoint.consecutive_failures,
        ejected_until_ns=endpoint.ejected_until_ns,
        started_ns=endpoint.started_ns,
        warming_since_ns=endpoint.warming_since_ns,
        admission_tokens=endpoint.admission_tokens,
        tokens_updated_ns=endpoint.tokens_updated_ns,
        health_checked_ns=endpoint.health_checked_ns,
    )


def _restore_endpoint(endpoint: EndpointState, learned: LearnedEndpointState) -> None:
    endpoint.connection_capacity = learned.connection_capacity
    if endpoint.started_ns != learned.started_ns:
        return
    endpoint.reported_load = learned.load
    endpoint.load_reported_ns = learned.load_ns
    endpoint.reported_connections = learned.reported_connections
    endpoint.consecutive_failures = learned.consecutive_failures
    endpoint.ejected_until_ns = learned.ejected_until_ns
    endpoint.warming_since_ns = learned.warming_since_ns
    endpoint.admission_tokens = learned.admission_tokens
    endpoint.tokens_updated_ns = learned.tokens_updated_ns
    endpoint.health_checked_ns = learned.health_checked_ns
