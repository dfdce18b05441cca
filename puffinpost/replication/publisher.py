"""Decides when this node's observations and counts are published to the other nodes.

A value is published when it has changed enough, and at intervals so that it does not expire at the other
nodes. `ReplicatedState` calls it for each value and writes those that are to be published.
"""

from __future__ import annotations

from puffinpost.replication.row_values import (
    ATTEMPT_COUNTS,
    ENDPOINT_OBSERVATION,
    TENANT_USAGE,
    AttemptCounts,
    EndpointObservation,
    RowValue,
    TenantUsage,
)
from puffinpost.replication.rows import RowKey

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
MIN_RELATIVE_CHANGE = 0.1  # of a number, before it is published again
REFRESH_INTERVAL_NS = 30 * NS_PER_S  # observations are published again after this
MIN_INTERVAL_NS = 1 * NS_PER_S  # between two publications of one value, unless the fault state changed
MIN_EJECTION_EXTENSION_MS = 500  # an ejection extended by more than this is published


def has_changed(before: float, after: float) -> bool:
    """Whether a number has changed enough to be published."""
    return abs(after - before) > MIN_RELATIVE_CHANGE * max(abs(before), abs(after))


class Publisher:
    """What was published last under each key, and when. Times are in ns.

    Usage is published again after ``usage_interval_ns``, which also shows that this incarnation is alive.
    """

    def __init__(self, usage_interval_ns: int) -> None:
        self.usage_interval_ns = usage_interval_ns
        self.published: dict[RowKey, tuple[RowValue, int]] = {}

    def should_publish_observation(
        self, endpoint: str, observation: EndpointObservation, now_ns: int
    ) -> bool:
        """Whether to publish an observation of an endpoint; it is empty before the first attempt."""
        if not (observation.weight or observation.ejected_ms or observation.connection_capacity):
            return False
        row_key = ENDPOINT_OBSERVATION, endpoint
        last = self.published.get(row_key)
        if last is None:
            return self._publish(row_key, observation, now_ns)
        previous, published_at = last
        assert isinstance(previous, EndpointObservation)
        age_ns = now_ns - published_at
        is_due = (
            _fault_state_changed(previous, observation, age_ns)
            or age_ns > REFRESH_INTERVAL_NS
            or (
                age_ns > MIN_INTERVAL_NS
                and has_changed(previous.connection_capacity, observation.connection_capacity)
            )
        )
        return is_due and self._publish(row_key, observation, now_ns)

    def should_publish_attempts(self, endpoint: str, counts: AttemptCounts, now_ns: int) -> bool:
        """Whether to publish how many attempts were started at an endpoint's process."""
        row_key = ATTEMPT_COUNTS, endpoint
        last = self.published.get(row_key)
        previous = last[0] if last is not None else AttemptCounts(counts.started_ns, 0)
        is_too_soon = last is not None and now_ns - last[1] < MIN_INTERVAL_NS
        return counts != previous and not is_too_soon and self._publish(row_key, counts, now_ns)

    def should_publish_usage(self, usage: TenantUsage, now_ns: int) -> bool:
        """Whether to publish what is in flight by tenant."""
        row_key = TENANT_USAGE, ""
        last = self.published.get(row_key)
        if last is not None:
            previous, published_at = last
            age_ns = now_ns - published_at
            min_interval_ns = min(MIN_INTERVAL_NS, self.usage_interval_ns) // 2
            is_unchanged = usage == previous or age_ns < min_interval_ns
            if is_unchanged and age_ns < self.usage_interval_ns:
                return False
        return self._publish(row_key, usage, now_ns)

    def _publish(self, row_key: RowKey, value: RowValue, now_ns: int) -> bool:
        self.published[row_key] = value, now_ns
        return True


def _fault_state_changed(
    previous: EndpointObservation, observation: EndpointObservation, age_ns: int
) -> bool:
    """Whether the endpoint has restarted, stalled or recovered, or its ejection is not as published."""
    ejection_left_ms = max(0, previous.ejected_ms - age_ns // NS_PER_MS)
    return (
        previous.stalled != observation.stalled
        or previous.started_ns != observation.started_ns
        or (ejection_left_ms > 0) != (observation.ejected_ms > 0)
        or observation.ejected_ms > ejection_left_ms + MIN_EJECTION_EXTENSION_MS
    )
