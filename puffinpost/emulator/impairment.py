"""The behaviour of a poor network link: delay, stalls, bandwidth, resets and outages, without any I/O.

`LinkProxy` asks it when bytes may leave and when to reset a connection. Times are seconds of one clock, sizes
bytes; on TCP a loss shows as time, since it holds back all bytes behind it, and the order never changes.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class OutageKind(Enum):
    """What happens to connections in an outage."""

    SILENT = "silent"  # they stay open and carry nothing, as on radio; what was sent arrives afterwards
    RESET = "reset"  # they are reset, and new ones are reset at once


@dataclass(frozen=True, slots=True)
class LinkProfile:
    """The properties of a link. Zero means that the impairment is off."""

    delay_s: float = 0.0  # one way
    jitter_s: float = 0.0  # the largest extra delay, evenly distributed
    stall_probability: float = 0.0  # of each piece that is read, to be lost and retransmitted
    stall_s: float = 0.0  # how long that takes; TCP's least retransmission timeout is 0.2 s (RFC 6298: 1 s)
    bytes_per_s: float = 0.0  # each way; 0: no limit
    reset_after_bytes: int = 0  # bytes on a connection, both ways together, after which it is reset
    reset_after_s: float = 0.0  # the age at which a connection is reset
    outages: tuple[tuple[float, float], ...] = ()  # (begin, length), since the start, in order
    outage_kind: OutageKind = OutageKind.SILENT


def parse_outage(text: str) -> tuple[float, float]:
    """Parses ``BEGIN+LENGTH`` in seconds, as in ``2+0.5``. Raises ``ValueError``."""
    begin, plus, length = text.partition("+")
    outage = float(begin), float(length)
    if not plus or outage[0] < 0 or outage[1] <= 0:
        raise ValueError(f"{text!r} is not BEGIN+LENGTH in seconds")
    return outage


class OutageSchedule:
    """The times at which the link is down. ``began``: the time that the profile's outages count from."""

    def __init__(self, profile: LinkProfile, began: float) -> None:
        self._spans = [(began + begin, began + begin + length) for begin, length in sorted(profile.outages)]

    def down_until(self, now: float) -> float | None:
        """The end of the current outage; None while the link is up."""
        ends = [end for begin, end in self._spans if begin <= now < end]
        return max(ends, default=None)

    def next_outage_at(self, now: float) -> float | None:
        """When the next outage begins; None if there is none."""
        return min((begin for begin, _ in self._spans if begin > now), default=None)


class LinkDirection:
    """One direction of one connection."""

    def __init__(self, profile: LinkProfile, seed: str) -> None:
        self.profile = profile
        self._chance = random.Random(seed)
        self._busy_until = 0.0  # when the bandwidth is free again
        self._last_departure = 0.0

    def departure_time(self, now: float, size: int) -> float:
        """When a piece of this size that arrived now leaves; never before the piece ahead of it."""
        profile = self.profile
        begins = max(now, self._busy_until)
        self._busy_until = begins + (size / profile.bytes_per_s if profile.bytes_per_s else 0.0)
        leaves = self._busy_until + profile.delay_s + profile.jitter_s * self._chance.random()
        if self._chance.random() < profile.stall_probability:
            leaves += profile.stall_s
        self._last_departure = max(self._last_departure, leaves)
        return self._last_departure


class ResetTrigger:
    """When a connection is reset: at an age (``reset_at``), or behind the last byte that it may carry.

    ``exhausted``: the last of its bytes has passed, and no further one may.
    """

    def __init__(self, profile: LinkProfile, began: float) -> None:
        self.reset_at = began + profile.reset_after_s if profile.reset_after_s else None
        self.exhausted = False
        self._bytes_left = profile.reset_after_bytes

    def allow(self, size: int) -> int:
        """How many of these bytes still pass; the connection is to be reset behind them if it is fewer."""
        if self.exhausted:
            return 0
        if not self._bytes_left:  # there is no limit, or a reset is under way
            return size
        allowed = min(size, self._bytes_left)
        self._bytes_left -= allowed
        self.exhausted = not self._bytes_left and allowed == size
        return allowed
