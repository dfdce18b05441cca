"""Leases limit how long a node may act on its versions (C. Gray, D. Cheriton, "Leases", SOSP 1989).

A lease states that at some moment no version newer than the holder's had been accepted. The holder therefore
acts on an old version for no longer than the lease's duration after the first node acts on a new one. Each
node measures its lease on its own clock from its own request, so that delays shorten a lease and never extend
it (sections 2 and 5).
"""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.01  # the maximum fraction by which a clock runs fast or slow
MAX_HOPS = 4  # the maximum number of sources between a follower and the leader


def lease_duration_ns(agree_within_ns: int) -> int:
    """Returns how long a leader's lease lasts on its clock, so that no derived lease exceeds the limit.

    The leader measures it, and each node on the way measures the rest on its own clock. A clock that is slow
    by ``MAX_CLOCK_DRIFT`` measures that much too long, so this is deducted once for each measurement.
    """
    measurements = MAX_HOPS + 2
    return int(agree_within_ns * (1 - MAX_CLOCK_DRIFT) ** measurements)


class Lease:
    """One node's lease. All times are ns of this node's clock."""

    def __init__(self) -> None:
        self.expires_at_ns = 0

    def extend(self, requested_at_ns: int, remaining_ns: int) -> None:
        """Applies a lease granted by a source; it counts from the request for it."""
        if remaining_ns > 0:
            self.expires_at_ns = max(self.expires_at_ns, requested_at_ns + remaining_ns)

    def remaining_ns(self, now: int) -> int:
        """Returns the remaining time; 0 once the lease has expired."""
        return max(0, self.expires_at_ns - now)

    def is_held(self, now: int) -> bool:
        """Whether the lease is valid now. To be checked when acting: the process may have been suspended."""
        return now < self.expires_at_ns
