"""Whether an endpoint has stalled: its machine vanished, or the network between is cut.

No event announces that: open connections stay open and silent, and the endpoint list follows seconds later.
Three signs count: an overdue response, a health check without any answer, and a stalled endpoint in the same
zone. Two are needed, so that one lost answer migrates nothing.
"""

from __future__ import annotations

MIN_STALL_SIGNS = 2


class StallDetector:
    """The signs of one endpoint's stall since it last answered."""

    __slots__ = ("is_stalled", "missed_health_checks", "response_overdue")

    def __init__(self) -> None:
        self.response_overdue = False
        self.missed_health_checks = 0  # in a row
        self.is_stalled = False

    def reset(self) -> None:
        """The endpoint answered."""
        self.response_overdue = False
        self.missed_health_checks = 0
        self.is_stalled = False

    def should_mark_stalled(self, zone_stalled: bool) -> bool:
        """Whether the signs are enough, now that a health check was missed or a response is overdue.

        ``zone_stalled``: another endpoint of its zone has stalled and not answered since. A missed health
        check is needed in any case: only the endpoint itself can refute what its zone's loss suggests.
        """
        signs = self.missed_health_checks + self.response_overdue + zone_stalled
        return self.missed_health_checks > 0 and signs >= MIN_STALL_SIGNS
