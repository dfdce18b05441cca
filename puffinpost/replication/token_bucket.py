"""A token bucket in bytes, which limits what a node sends to peers that catch up.

`RowServer` has one for each peer and one for all of them together.
"""

from __future__ import annotations

TOTAL_RATE_FACTOR = 4  # the rate of all peers together, as a multiple of one peer's
BURST_S = 0.25
NS_PER_S = 1e9


class TokenBucket:
    """Holds up to `BURST_S` of ``rate`` (bytes a second). One message may overdraw it."""

    def __init__(self, rate: float, now_ns: int) -> None:
        self.rate = rate
        self.tokens = rate * BURST_S
        self.refilled_at_ns = now_ns

    def ready(self, now_ns: int) -> bool:
        """Refills the bucket, and returns whether anything may be sent now."""
        refill = self.rate * (now_ns - self.refilled_at_ns) / NS_PER_S
        self.tokens = min(self.rate * BURST_S, self.tokens + refill)
        self.refilled_at_ns = now_ns
        return self.tokens > 0

    def ready_at(self, now_ns: int) -> int:
        """When something may be sent next, in ns."""
        if self.ready(now_ns):
            return now_ns
        return now_ns + int(-self.tokens / self.rate * NS_PER_S) + 1

    def spend(self, size: int) -> None:
        """Removes tokens for the bytes of a message that was sent."""
        self.tokens -= size
