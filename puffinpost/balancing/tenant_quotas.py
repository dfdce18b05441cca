"""Compares each tenant's connections with its quota, and decides which are rejected or migrated first.

Connections over quota have a low weight (``OverShareWorth``). A node sees only its own connections. As the
frontends spread clients over all nodes, it assumes that they are an even share of the fleet's connections.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from puffinpost.balancing.settings import RequestClass, Tenant

# Connections over quota are placed on an endpoint up to this load: a quota does not limit unused capacity.
IDLE_CAPACITY_LOAD = 0.5
# Above this mean load of the fleet, connections over quota are rejected immediately and migrated first.
SCARCE_CAPACITY_LOAD = 0.6


class TenantQuotas:
    """One node's connections and attempts in flight, by tenant."""

    def __init__(self) -> None:
        self.connections: Counter[int] = Counter()
        self.peer_connections: tuple[float, ...] = ()  # of other balancers by tenant, if known from gossip

    def is_over_quota(self, tenant: int, tenants: tuple[Tenant, ...], balancer_count: int) -> bool:
        """Whether a tenant has more than its quota (``FamilyInfo.TenantQuotaConnections``, for all nodes).

        A node's share varies at random, so one standard deviation (its square root) is tolerated. If the
        other nodes' connections are known from gossip, all connections count against the whole quota. Without
        tenants or quotas, no tenant is over quota.
        """
        quota = tenants[tenant].quota_connections if tenant < len(tenants) else 0.0
        if tenant < len(self.peer_connections):
            share, peer_connections = quota, self.peer_connections[tenant]
        else:
            share, peer_connections = quota / balancer_count, 0.0
        return 0.0 < share + math.sqrt(share) < self.connections[tenant] + peer_connections


def retained_weight(request_class: RequestClass, load: float, quota_weight: float) -> float:
    """Priority weight of a connection per unit of load; connections with the lowest are migrated first.

    ``quota_weight``: the fraction of the weight that counts, 1 within the quota. A load of 0 gives the
    highest result.
    """
    return request_class.priority_weight * quota_weight / max(load, 1e-9)


def group_spread_candidates(endpoints: Iterable[tuple[bool, bool]]) -> list[int]:
    """Positions of the endpoints that are scored for a group's connection, in the order of its hash.

    Each endpoint is a pair: whether it has connections of the group, and whether it is in this zone. An
    endpoint does a group's work once (``FamilyInfo.Groups``; 1.5 mean loads according to the operators'
    page), so spreading a group would fill the fleet. Of the endpoints without the group, only the first in
    this zone and the first in other zones are scored. All nodes draw the same order.
    """
    positions: list[int] = []
    scored_zones: set[bool] = set()
    for position, (has_group, in_zone) in enumerate(endpoints):
        if has_group or in_zone not in scored_zones:
            positions.append(position)
        if not has_group:
            scored_zones.add(in_zone)
    return positions
