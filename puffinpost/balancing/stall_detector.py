"""Detects that an endpoint has stalled: its machine has vanished, or the network in between is cut.

No event announces a stall: open connections stay open and silent, and the endpoint list follows seconds
later. There are three signs: an overdue response, a health check without any response, and another stalled
endpoint in the same zone. Two signs are needed, so that a single lost response migrates nothing.
"""

from __future__ import annotations

MIN_STALL_SIGNS = 2


class StallDetector:
    """The signs of a stall since the endpoint last responded."""

    __slots__ = ("is_stalled", "missed_health_checks", "response_overdue")

    def __init__(self) -> None:
        self.response_overdue = False
        self.missed_health_checks = 0  # consecutive
        self.is_stalled = False

    def reset(self) -> None:
        """Clears the signs: the endpoint responded or was restarted."""
        self.response_overdue = False
        self.missed_health_checks = 0
        self.is_stalled = False

    def should_mark_stalled(self, zone_stalled: bool) -> bool:
        """Whether the signs suffice to treat the endpoint as stalled; checked at each new sign.

        ``zone_stalled``: another endpoint of its zone has stalled and not responded since. A missed health
        check is needed in any case: a stalled zone only suggests that the endpoint has stalled too, and only
        the endpoint itself can show that it still responds.
        """
        signs = self.missed_health_checks + self.response_overdue + zone_stalled
        return self.missed_health_checks > 0 and signs >= MIN_STALL_SIGNS
