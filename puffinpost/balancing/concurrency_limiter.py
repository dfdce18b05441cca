"""Limits how many attempts of one balancer may be connecting concurrently.

The request lifecycle reports the start and end of each attempt, and checks whether another may start.
"""

from __future__ import annotations

MAX_CONCURRENCY = 64.0  # upper bound of the limit; not reached in normal operation


class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease, as in congestion control (RFC 5681, section 3.1)."""

    def __init__(self) -> None:
        self.pending_attempts = 0  # attempts in flight that are not established yet
        self.limit = MAX_CONCURRENCY

    def is_full(self) -> bool:
        """Whether no further attempt may start."""
        return self.pending_attempts >= self.limit

    def on_success(self) -> None:
        """Raises the limit: an attempt was established."""
        if self.limit < MAX_CONCURRENCY:
            self.limit += 1.0

    def on_failure(self) -> None:
        """Lowers the limit: an attempt failed before its connection was established.

        Prevents a retry storm, in which connection set-up alone would saturate the endpoints and the
        resources that they share. The limit is halved at each failure and grows by one at each success, so it
        settles where about a third of the attempts fail.
        """
        self.limit = max(1.0, min(self.limit, self.pending_attempts + 1.0) / 2)
