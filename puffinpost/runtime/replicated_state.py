"""Publishes a node's observations and usage to other nodes, and passes theirs to its balancer.

`ClusterState` owns it if the settings turn replication on; otherwise this module is not imported.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from puffinpost.balancing.events import GossipedEndpoint, GossipState
from puffinpost.cluster.replication_driver import ReplicationDriver
from puffinpost.replication import merge
from puffinpost.replication.publisher import Publisher
from puffinpost.replication.row_values import (
    ATTEMPT_COUNTS,
    BAN,
    ENDPOINT_OBSERVATION,
    INCARNATION,
    TENANT_USAGE,
    AttemptCounts,
    EndpointObservation,
    TenantUsage,
)
from puffinpost.replication.rows import RowKey
from puffinpost.runtime.replicated_bans import ReplicatedBans
from puffinpost.runtime.synthetic_writes import SyntheticWrites

if TYPE_CHECKING:
    from puffinpost.runtime.node_services import ClusterServices, NodeServices

UPDATE_INTERVAL_S = 0.25
NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
USAGE_PUBLICATIONS_PER_STALENESS = 3  # publications of usage within the time after which it is stale
BAN_KINDS = frozenset({BAN, INCARNATION})  # also incarnations: a takeover may delete rows of bans


class ReplicatedState:
    """Connects the node to replication. ``replicates_bans``: bans are replicated, not agreed on."""

    def __init__(self, node: NodeServices, cluster: ClusterServices, replication: ReplicationDriver) -> None:
        settings = cluster.config.replica
        self.node = node
        self.cluster = cluster
        self.replication = replication
        self.replicates_bans = settings.bans
        self.bans = ReplicatedBans(node, cluster, replication)
        self.staleness_ns = int(settings.stale_s * NS_PER_S)
        self.publisher = Publisher(self.staleness_ns // USAGE_PUBLICATIONS_PER_STALENESS)
        self.attempts: Counter[str] = Counter()  # started by this process, by endpoint name
        self.gossip: GossipState | None = None  # last passed to the balancer
        self.synthetic_writes = SyntheticWrites(replication)

    def start(self) -> None:
        """Applies the state that was restored from disk, and starts to publish."""
        for name in self.node.coordinator.endpoints.banned:
            self.cluster.history.record("bans", ident=name)
        if self.replicates_bans:
            self.bans.apply()
        self._update()
        if self.cluster.config.test_override_folder is not None:
            self.synthetic_writes.start()

    def attempt_started(self, endpoint: str) -> None:
        """Counts an attempt of a new request that has started at an endpoint."""
        self.attempts[endpoint] += 1

    def on_rows_changed(self, row_keys: set[RowKey]) -> None:
        """Applies the bans if rows that affect them are among those that have changed."""
        if self.replicates_bans and any(kind in BAN_KINDS for kind, _ in row_keys):
            self.bans.apply()

    def request_ban(self, name: str, since_ns: int | None) -> str:
        """Bans an endpoint, or lifts its ban if ``since_ns`` is None; returns an id for the operator."""
        return self.bans.request(name, since_ns)

    def _update(self) -> None:
        """Publishes changes of this node and passes on those of other nodes; runs at an interval."""
        asyncio.get_running_loop().call_later(UPDATE_INTERVAL_S, self._update)
        now_ns = self.replication.now_ns()
        self.replication.member.now_ns = now_ns
        self._publish_endpoints(now_ns)
        self._publish_usage(now_ns)
        self._merge_gossip()

    def _publish_endpoints(self, now_ns: int) -> None:
        coordinator = self.node.coordinator
        endpoints = coordinator.balancer.state.endpoints
        for learned in coordinator.balancer.learned_state().endpoints:
            name = coordinator.endpoint_list.name(learned.endpoint)
            observation = EndpointObservation(
                learned.started_ns,
                round(learned.connection_capacity, 1),
                max(0, learned.ejected_until_ns - coordinator.clock.now()) // NS_PER_MS,
                endpoints[learned.endpoint].stall.is_stalled,
                float(self.attempts[name]),
            )
            if self.publisher.should_publish_observation(name, observation, now_ns):
                self.replication.write(ENDPOINT_OBSERVATION, name, observation)
            counts = AttemptCounts(learned.started_ns, self.attempts[name])
            if self.publisher.should_publish_attempts(name, counts, now_ns):
                self.replication.write(ATTEMPT_COUNTS, name, counts)

    def _publish_usage(self, now_ns: int) -> None:
        coordinator = self.node.coordinator
        connections = coordinator.balancer.state.tenant_quotas.connections
        tenant_count = len(coordinator.settings.tenants)
        usage = TenantUsage(tuple(connections[tenant] for tenant in range(tenant_count)))
        if tenant_count and self.publisher.should_publish_usage(usage, now_ns):
            self.replication.write(TENANT_USAGE, self.replication.member.config.name, usage)

    def _merge_gossip(self) -> None:
        """Passes the other nodes' observations and usage to the balancer, if they have changed."""
        gossip = GossipState(self._gossiped_endpoints(), self._peer_usage())
        if gossip != self.gossip:
            self.gossip = gossip
            self.node.coordinator.gossip_received(gossip)

    def _gossiped_endpoints(self) -> tuple[GossipedEndpoint, ...]:
        coordinator = self.node.coordinator
        member = self.replication.member
        wall_clock_ms = self.replication.wall_clock_ms()
        gossiped = []
        for endpoint in coordinator.balancer.state.endpoints.values():
            rows = member.replicas.rows_at(ENDPOINT_OBSERVATION, coordinator.endpoint_list.name(endpoint.id))
            merged = merge.merge_observations(rows, member.config.name, endpoint.started_ns, wall_clock_ms)
            if merged.connection_capacity or merged.ejected_ms:
                ejected_ns = merged.ejected_ms * NS_PER_MS
                gossiped.append(GossipedEndpoint(endpoint.id, merged.connection_capacity, ejected_ns))
        return tuple(gossiped)

    def _peer_usage(self) -> tuple[float, ...]:
        """How much the other nodes have in flight, by tenant."""
        member = self.replication.member
        rows = {
            origin: row
            for name in member.config.members
            for origin, row in member.replicas.rows_at(TENANT_USAGE, name).items()
        }
        live_origins = member.recently_updated(self.staleness_ns)
        node_count = self.node.coordinator.settings.balancer_count
        in_flight, _ = merge.merge_tenant_usage(rows, member.config.name, live_origins, node_count)
        return in_flight
