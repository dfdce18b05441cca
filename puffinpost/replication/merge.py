"""Merge functions: derive one value from the rows that several origins wrote under one key.

The result does not depend on the order of the rows, so two nodes with the same rows get the same result.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from puffinpost.replication.row_values import Ban, EndpointObservation, TenantUsage, decode_value
from puffinpost.replication.rows import Origin, Row

CAPACITY_HALF_LIFE_MS = 60_000  # age at which an observed capacity has half its weight
MAX_FAULT_AGE_MS = 10_000  # older faults are ignored: the endpoint may have recovered
MIN_TOTAL_WEIGHT = 1e-6  # below this, the mean of observed capacities is not meaningful


def last_write(rows: dict[Origin, Row]) -> tuple[Origin, Row] | None:
    """The row that wins by last-writer-wins: the latest timestamp, ties broken by checksum."""
    written = [(origin, row) for origin, row in rows.items() if row.value is not None]
    return max(written, key=lambda each: (each[1].timestamp, each[1].checksum), default=None)


def effective_ban(rows: dict[Origin, Row]) -> Ban | None:
    """The ban of an endpoint that is in force; None if there is none or the last write lifted it."""
    winner = last_write(rows)
    if winner is None:
        return None
    ban = decode_value(winner[1], Ban)
    return ban if ban is not None and ban.since_ns else None


def has_conflict(rows: dict[Origin, Row]) -> bool:
    """Whether origins disagree on a key. The last write wins; the others are soon replaced by tombstones."""
    return len({row.value for row in rows.values() if row.value is not None}) > 1


def current_rows(rows: dict[Origin, Row]) -> dict[Origin, Row]:
    """Each node's row under a key, from its latest incarnation that has one."""
    incarnations: dict[str, int] = {}
    for origin in rows:
        incarnations[origin.node] = max(incarnations.get(origin.node, 0), origin.incarnation)
    return {origin: row for origin, row in rows.items() if incarnations[origin.node] == origin.incarnation}


@dataclass(frozen=True, slots=True)
class MergedObservation:
    """What the other nodes have learned about an endpoint. A capacity of 0 means that it is unknown."""

    connection_capacity: float
    ejected_ms: int
    stalled: bool


def merge_observations(
    rows: dict[Origin, Row], excluded_node: str, started_ns: int, now_ms: int
) -> MergedObservation:
    """Merges the observations of an endpoint whose process started at ``started_ns``, except one node's own.

    The capacity is the mean of the observed ones, weighted by the attempts that each is based on and halved
    by each `CAPACITY_HALF_LIFE_MS` of age; it stays valid after a restart of the endpoint's process, because
    the machine is the same. Faults belong to one process and expire: the endpoint is ejected for as long as
    more than half of the nodes that reported within `MAX_FAULT_AGE_MS` agree on.
    """
    weighted_sum = total_weight = 0.0
    ejections_ms: list[int] = []
    stalls: list[bool] = []
    for origin, row in current_rows(rows).items():
        observation = decode_value(row, EndpointObservation)
        if observation is None or origin.node == excluded_node:
            continue
        age_ms = max(0, now_ms - row.timestamp.physical_ms)
        capacity = observation.connection_capacity
        if capacity > 0 and math.isfinite(capacity):
            weight = max(observation.weight, 0.0) * 0.5 ** (age_ms / CAPACITY_HALF_LIFE_MS)
            weighted_sum += weight * capacity
            total_weight += weight
        if observation.started_ns == started_ns and age_ms <= MAX_FAULT_AGE_MS:
            ejections_ms.append(max(0, observation.ejected_ms - age_ms))
            stalls.append(observation.stalled)
    return MergedObservation(
        weighted_sum / total_weight if total_weight > MIN_TOTAL_WEIGHT else 0.0,
        _majority_ejection_ms(ejections_ms),
        len(stalls) > 1 and 2 * sum(stalls) > len(stalls),
    )


def _majority_ejection_ms(ejections_ms: list[int]) -> int:
    """The longest time for which more than half of the nodes eject; 0 if fewer than two nodes reported."""
    if len(ejections_ms) < 2:
        return 0
    descending = sorted(ejections_ms, reverse=True)
    return descending[len(descending) // 2]


def merge_tenant_usage(
    rows: dict[Origin, Row], excluded_node: str, live_origins: set[Origin], node_count: int
) -> tuple[tuple[float, ...], int]:
    """What the other nodes have in flight by tenant, and how many of them reported.

    Only origins that were updated recently (``live_origins``) count. Each other node is assumed to have the
    mean of those that reported; the sums are empty if none did.
    """
    reported: list[tuple[int, ...]] = []
    for origin, row in current_rows(rows).items():
        if origin.node == excluded_node or origin not in live_origins:
            continue
        usage = decode_value(row, TenantUsage)
        if usage is not None:
            reported.append(usage.in_flight)
    if not reported:
        return (), 0
    tenant_count = max(map(len, reported))
    sums = [
        float(sum(in_flight[tenant] for in_flight in reported if tenant < len(in_flight)))
        for tenant in range(tenant_count)
    ]
    other_nodes = max(node_count - 1, len(reported))
    return tuple(total * other_nodes / len(reported) for total in sums), len(reported)
