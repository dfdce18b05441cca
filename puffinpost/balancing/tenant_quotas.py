"""How many connections each tenant has against its quota, and which are rejected or migrated first.

What a tenant has over its quota has a low weight (``OverShareWorth``). A node sees its own connections only:
as the frontends spread clients over all nodes, it takes them for an even share of the fleet's.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from puffinpost.balancing.settings import RequestClass, Tenant

# Connections over quota fill an endpoint up to this load: a quota is no limit on capacity that nobody uses.
IDLE_CAPACITY_LOAD = 0.5
# Past this mean load of the fleet, connections over quota are rejected at once and migrated first.
SCARCE_CAPACITY_LOAD = 0.6


class TenantQuotas:
    """One node's connections and attempts in flight, by tenant."""

    def __init__(self) -> None:
        self.connections: Counter[int] = Counter()
        self.peer_connections: tuple[float, ...] = ()  # of other balancers by tenant, where gossip has it

    def is_over_quota(self, tenant: int, tenants: tuple[Tenant, ...], balancer_count: int) -> bool:
        """Whether a tenant has more than its quota (``FamilyInfo.TenantQuotaConnections``, for all nodes).

        A node's share deviates by chance: one standard deviation (its square root) is allowed for. Where
        gossip has the other nodes' connections, all count against the whole quota. Without tenants or quotas
        nobody is over quota.
        """
        quota = tenants[tenant].quota_connections if tenant < len(tenants) else 0.0
        if tenant < len(self.peer_connections):
            share, peer_connections = quota, self.peer_connections[tenant]
        else:
            share, peer_connections = quota / balancer_count, 0.0
        return 0.0 < share + math.sqrt(share) < self.connections[tenant] + peer_connections


def retained_weight(request_class: RequestClass, load: float, quota_weight: float) -> float:
    """Priority weight per unit of load that an endpoint retains by keeping a connection: migrate the least.

    ``quota_weight``: the fraction of the weight that counts, 1 within the quota. A load of 0 weighs most.
    """
    return request_class.priority_weight * quota_weight / max(load, 1e-9)


def group_spread_candidates(endpoints: Iterable[tuple[bool, bool]]) -> list[int]:
    """Positions of the endpoints that a group's connection is scored at, in the order of the group's hash.

    Each endpoint is given by whether it has any of the group and whether it is in this zone. An endpoint does
    a group's work once (``FamilyInfo.Groups``; 1.5 mean loads on the operators' page), so spreading a group
    fills the fleet: of the endpoints without it only the first of this zone and the first elsewhere count.
    All nodes draw the same order.
    """
    positions: list[int] = []
    zones_without_group: set[bool] = set()
    for position, (has_group, in_zone) in enumerate(endpoints):
        if has_group or in_zone not in zones_without_group:
            positions.append(position)
        if not has_group:
            zones_without_group.add(in_zone)
    return positions
