"""A hybrid logical clock, whose timestamps order the writes of different nodes.

S. Kulkarni et al., Logical Physical Clocks (2014), figure 5. A new timestamp is later than all that its node
has observed, and within `MAX_CLOCK_OFFSET_MS` of some node's wall clock, even when clocks step.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

MAX_CLOCK_OFFSET_MS = 10_000  # of a wall clock in either direction, so two may differ by twice that


class Timestamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Milliseconds of Unix time, a counter that orders timestamps of one millisecond, and a tie-breaker."""

    physical_ms: int
    logical: int
    node: str


class HybridClock:
    """One node's clock. ``wall_clock_ms`` returns Unix time in milliseconds, and may step."""

    def __init__(self, node: str, wall_clock_ms: Callable[[], int]) -> None:
        self.node = node
        self.wall_clock_ms = wall_clock_ms
        self.physical_ms = 0
        self.logical = 0

    def now(self) -> Timestamp:
        """A timestamp later than any that this clock has issued or observed."""
        wall_clock_ms = self.wall_clock_ms()
        if wall_clock_ms > self.physical_ms:
            self.physical_ms = wall_clock_ms
            self.logical = 0
        else:
            self.logical += 1
        return Timestamp(self.physical_ms, self.logical, self.node)

    def observe(self, timestamp: Timestamp) -> None:
        """Advances the clock past another node's timestamp, so that later writes here come after it."""
        if (timestamp.physical_ms, timestamp.logical) > (self.physical_ms, self.logical):
            self.physical_ms = timestamp.physical_ms
            self.logical = timestamp.logical

    def is_plausible(self, timestamp: Timestamp) -> bool:
        """Whether a timestamp is close enough to this node's wall clock to be accepted now.

        Rejects writes of a node whose clock is far ahead: they would override all others until wall clocks
        caught up, and advance every clock that observed them. A rejected row is requested again later.
        """
        return timestamp.physical_ms <= self.wall_clock_ms() + 2 * MAX_CLOCK_OFFSET_MS
