"""Tracks message latency at an endpoint by delay reports, which arrive once a second while messages are slow.

The outlier detector records reports, and the endpoint selector checks whether an objective is missed.
"""

from __future__ import annotations

# Interval of delay reports while messages are slow (the bench's page).
REPORT_INTERVAL_NS = 1_000_000_000
# A report is valid for one and a half intervals, so that a slightly late one does not hide a slow endpoint.
REPORT_TTL_NS = REPORT_INTERVAL_NS * 3 // 2


class LatencyTracker:
    """The delay reports of one endpoint. Times and delays in ns."""

    __slots__ = ("delay_ns", "growth_rate", "reported_ns")

    def __init__(self) -> None:
        self.delay_ns = 0
        self.reported_ns: int | None = None
        self.growth_rate: float | None = None  # seconds of delay per second, between the last two reports

    def record(self, delay_ns: int, now_ns: int) -> None:
        """Records a report. A negative delay counts as zero."""
        delay_ns = max(0, delay_ns)
        self.growth_rate = None
        if self.reported_ns is not None and 0 < now_ns - self.reported_ns <= 2 * REPORT_INTERVAL_NS:
            self.growth_rate = (delay_ns - self.delay_ns) / (now_ns - self.reported_ns)
        self.delay_ns = delay_ns
        self.reported_ns = now_ns

    def clear(self) -> None:
        """Discards the reports: the endpoint was restarted, and they are about the old process."""
        self.delay_ns = 0
        self.reported_ns = None
        self.growth_rate = None

    def exceeds(self, objective_ns: int, now_ns: int) -> bool:
        """Whether a valid report shows a delay of at least the objective; never for an objective of 0."""
        if self.reported_ns is None or now_ns - self.reported_ns > REPORT_TTL_NS:
            return False
        return 0 < objective_ns <= self.delay_ns

    def excess_fraction(self, target_load: float, recovery_ns: int) -> float:
        """The fraction of the endpoint's work to migrate for its load to fall to ``target_load``, 0 to 1.

        A backlog grows by load - 1 per second, and a message waits for all of it. So two reports show the
        load: 1 + `growth_rate`, and at least 1 while messages wait. One report alone may be due to a burst,
        and a backlog that is worked off within ``recovery_ns`` needs no migration.
        """
        if self.growth_rate is None:
            return 0.0
        if self.growth_rate < 0 and self.delay_ns <= -self.growth_rate * recovery_ns:
            return 0.0
        return max(0.0, 1.0 - target_load / (1.0 + max(0.0, self.growth_rate)))
