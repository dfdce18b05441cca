"""What gossip is worth to a node: a restart at peak load, and a tenant over its quota.

Real decisions on a virtual clock, four nodes and simulated endpoints. For the restart one of twelve endpoints
rejects each set-up and one never answers; after some seconds all nodes start anew and all clients return
within a second, with what the nodes had learned from each other before, or with nothing. For the quota, one
tenant comes at five times its quota to five endpoints, which have capacity for the quotas, with all its
devices at one node or spread over all.

    python -m bench.heard [--seeds 5]
"""

from __future__ import annotations

import argparse
import itertools
from collections import Counter
from dataclasses import dataclass, replace

from bench.heard_simulation import (
    CONNECT_TIMEOUT_NS,
    DEADLINE_NS,
    NODES,
    BalancerSimulation,
)
from bench.statistics_text import median_and_range
from puffinpost.balancing.events import GossipedEndpoint, GossipState
from puffinpost.balancing.settings import RequestClass, Settings, Tenant
from puffinpost.emulator.virtual_time import MS, S
from puffinpost.replication import merge, row_values
from puffinpost.replication.hybrid_clock import Timestamp
from puffinpost.replication.row_values import ENDPOINT_OBSERVATION, EndpointObservation
from puffinpost.replication.rows import Origin, Row, create_row

RESTART_ENDPOINTS, QUOTA_ENDPOINTS = 12, 5  # with capacity for all, and for the quotas
RESTART_NS, RESTART_END_NS = 15 * S, 25 * S
FLOOD_NS, FLOOD_END_NS = 10 * S, 20 * S
GOSSIP_INTERVAL_NS = S // 2
TENANTS = tuple(Tenant(quota_share=0.5, quota_connections=100.0) for _ in range(2))
SETTINGS = Settings(
    balancer_index=0,
    balancer_count=NODES,
    zone=0,
    zone_count=1,
    endpoint_type_count=1,
    classes=(
        RequestClass(
            latency_objective_ns=500 * MS, deadline_ns=DEADLINE_NS, message_latency_objective_ns=100 * MS
        ),
    ),
    drain_grace_ns=S,
    warmup_initial_capacity=0.2,
    warmup_duration_ns=20 * S,
    warmup_load_multiple=3.0,
    warmup_window_ns=S,
    answer_slack_ns=20 * MS,
    processing_interval_ns=5 * MS,
    max_attempts=4,
    max_retry_after_ns=S,
    dial_timeout_ns=CONNECT_TIMEOUT_NS,
    health_checks_enabled=True,
    cancellation_enabled=True,
    load_report_fields=("x0", "concurrent"),
    is_pass_through=True,
    park_ns=5 * S,
)


@dataclass(frozen=True, slots=True)
class RestartFigures:
    """Of the ten seconds after a restart."""

    failed_attempts: float
    refused: float
    attempts_per_served: float


@dataclass(frozen=True, slots=True)
class QuotaFigures:
    """Served requests in ten seconds, of the tenant inside its quota and of the one at five times it."""

    inside: float
    over: float


def gossiped_rows(simulation: BalancerSimulation) -> dict[int, dict[Origin, Row]]:
    """What the nodes have learned of each endpoint, as the rows that they replicate."""
    rows: dict[int, dict[Origin, Row]] = {}
    for number, node in enumerate(simulation.nodes):
        name = f"n{number}"
        origin, timestamp = Origin(name, 1), Timestamp(simulation.now // MS, 0, name)
        for learned in node.learned_state().endpoints:
            if not learned.connection_capacity and learned.ejected_until_ns <= simulation.now:
                continue
            ejected_ms = max(0, learned.ejected_until_ns - simulation.now) // MS
            observation = EndpointObservation(0, learned.connection_capacity, ejected_ms, False, 10.0)
            row = create_row(
                origin,
                1,
                ENDPOINT_OBSERVATION,
                str(learned.endpoint),
                timestamp,
                row_values.encode_value(observation),
            )
            rows.setdefault(learned.endpoint, {})[origin] = row
    return rows


def deliver_gossip(simulation: BalancerSimulation, rows: dict[int, dict[Origin, Row]]) -> None:
    """Gives every node what the others have learned."""
    for node in range(NODES):
        endpoints = []
        for endpoint, of_endpoint in rows.items():
            merged = merge.merge_observations(of_endpoint, f"n{node}", 0, simulation.now // MS)
            endpoints.append(GossipedEndpoint(endpoint, merged.connection_capacity, merged.ejected_ms * MS))
        simulation.deliver(node, GossipState(tuple(endpoints)))


def deliver_tenant_usage(simulation: BalancerSimulation) -> None:
    """Gives every node the tenants' connections at the others."""
    for node in range(NODES):
        others = [other for number, other in enumerate(simulation.nodes) if number != node]
        usage = tuple(
            float(sum(other.state.tenant_quotas.connections[tenant] for other in others))
            for tenant in range(len(TENANTS))
        )
        simulation.deliver(node, GossipState((), usage))


def play_restart(seed: int, has_gossip: bool, health_checks: bool) -> RestartFigures:
    """All nodes start anew at peak load."""
    settings = replace(SETTINGS, health_checks_enabled=health_checks)
    simulation = BalancerSimulation(settings, seed, RESTART_ENDPOINTS, has_bad_endpoints=True)
    simulation.schedule_arrivals(simulation.now, 26 * S, 14.0, 0, None)
    simulation.run_until(RESTART_NS)
    rows, returning = gossiped_rows(simulation), len(simulation.sessions)
    simulation.restart(seed)
    for _ in range(returning):
        node = simulation.rng.randrange(NODES)
        simulation.schedule_request(simulation.now + simulation.rng.randrange(S), node, 0)
    if has_gossip:
        deliver_gossip(simulation, rows)
    before = simulation.counts.copy()
    simulation.run_until(RESTART_END_NS)
    counts = simulation.counts - before
    return RestartFigures(
        float(counts["failed attempts"]),
        float(counts["refused"]),
        counts["attempts"] / max(1, counts["served 0"]),
    )


def play_flood(seed: int, has_gossip: bool, node: int | None) -> QuotaFigures:
    """One tenant comes at five times its quota, at one node or at all."""
    settings = replace(SETTINGS, tenants=TENANTS, over_quota_weight=0.1)
    simulation = BalancerSimulation(settings, seed, QUOTA_ENDPOINTS, has_bad_endpoints=False)
    simulation.schedule_arrivals(simulation.now, 22 * S, 5.0, 0, None)
    simulation.schedule_arrivals(simulation.now, FLOOD_NS, 5.0, 1, node)
    simulation.schedule_arrivals(FLOOD_NS, FLOOD_END_NS, 25.0, 1, node)
    before: Counter[str] = Counter()
    for step in range(2, 40):
        simulation.run_until(GOSSIP_INTERVAL_NS * step + S)
        if simulation.now == FLOOD_NS:
            before = simulation.counts.copy()
        if has_gossip:
            deliver_tenant_usage(simulation)
    counts = simulation.counts - before
    return QuotaFigures(float(counts["served 0"]), float(counts["served 1"]))


def print_restarts(seeds: range) -> None:
    """Plays and prints restarts, with and without health checks and gossip."""
    for health_checks, has_gossip in itertools.product((True, False), (False, True)):
        figures = [play_restart(seed, has_gossip, health_checks) for seed in seeds]
        failed = median_and_range([each.failed_attempts for each in figures], 2)
        refused = median_and_range([each.refused for each in figures], 2)
        attempts = median_and_range([each.attempts_per_served for each in figures], 2)
        print(
            f"restart, {'' if health_checks else 'no '}probes, {'with' if has_gossip else 'without'} "
            f"the others' word: failed attempts {failed}, refused {refused}, "
            f"attempts for one served {attempts}"
        )


def print_floods(seeds: range) -> None:
    """Plays and prints floods, at one node and at all, with and without gossip."""
    for node, name in ((None, "over all nodes"), (0, "to one node")):
        for has_gossip in (False, True):
            figures = [play_flood(seed, has_gossip, node) for seed in seeds]
            inside = median_and_range([each.inside for each in figures], 2)
            over = median_and_range([each.over for each in figures], 2)
            print(
                f"flood {name}, {'with' if has_gossip else 'without'}: served inside its share "
                f"{inside}, at five times it {over}"
            )


def main() -> None:
    """Prints medians and ranges over seeds."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(1, parser.parse_args().seeds + 1)
    print_restarts(seeds)
    print_floods(seeds)


if __name__ == "__main__":
    main()
