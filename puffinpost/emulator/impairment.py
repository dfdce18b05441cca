"""What a poor link does to the bytes on it, without any I/O. Times are seconds of one clock, sizes bytes.

On TCP loss does not show as missing bytes but as time: a lost segment holds back all behind it until it has
come again, so loss is a stall of the whole lane here. Order is never changed, for TCP would not.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class OutageKind(Enum):
    """What becomes of connections in an outage."""

    SILENT = "silent"  # they stay open and carry nothing, as on radio; what was sent comes after
    RESET = "reset"  # they are reset, and new ones are reset at once


@dataclass(frozen=True, slots=True)
class Profile:
    """How poor a link is. Zero means: not at all."""

    delay_s: float = 0.0  # one way
    jitter_s: float = 0.0  # up to so much more, evenly spread
    stall_share: float = 0.0  # of the pieces that are read: how many are lost and sent again
    stall_s: float = 0.0  # how long that takes; TCP's least retransmission time-out is 0.2 s (RFC 6298: 1 s)
    rate: float = 0.0  # bytes a second, each way; 0: no limit
    cut_after: int = 0  # bytes on a connection, both ways together, after which it is reset
    cut_every_s: float = 0.0  # a connection is reset at this age
    outages: tuple[tuple[float, float], ...] = ()  # (begin, length), since the start, in order
    kind: OutageKind = OutageKind.SILENT


def parse_outage(text: str) -> tuple[float, float]:
    """``2+0.5``: an outage of half a second, two seconds after the start. Raises ``ValueError``."""
    begin, plus, length = text.partition("+")
    found = float(begin), float(length)
    if not plus or found[0] < 0 or found[1] <= 0:
        raise ValueError(f"{text!r} is not BEGIN+LENGTH in seconds")
    return found


class Outages:
    """When the link is down."""

    def __init__(self, profile: Profile, began: float) -> None:
        self._spans = [(began + begin, began + begin + length) for begin, length in sorted(profile.outages)]

    def down_until(self, now: float) -> float | None:
        """The end of the outage that is on; None where the link is up."""
        ends = [end for begin, end in self._spans if begin <= now < end]
        return max(ends, default=None)

    def next_begin(self, now: float) -> float | None:
        """When the next outage begins; None where none is to come."""
        return min((begin for begin, _ in self._spans if begin > now), default=None)


class Lane:
    """One direction of one connection: when what comes in may go out."""

    def __init__(self, profile: Profile, seed: str) -> None:
        self.profile = profile
        self._chance = random.Random(seed)
        self._free = 0.0  # when the narrow part of the link has room again
        self._last = 0.0  # when the last piece goes out: none overtakes another

    def admit(self, now: float, size: int) -> float:
        """When a piece of that size, which came now, is to go out."""
        profile = self.profile
        begins = max(now, self._free)
        self._free = begins + (size / profile.rate if profile.rate else 0.0)
        leaves = self._free + profile.delay_s + profile.jitter_s * self._chance.random()
        if self._chance.random() < profile.stall_share:
            leaves += profile.stall_s
        self._last = max(self._last, leaves)
        return self._last


class Fuse:
    """When a connection is cut."""

    def __init__(self, profile: Profile, began: float) -> None:
        self.left = profile.cut_after
        self.at = began + profile.cut_every_s if profile.cut_every_s else None

    def allow(self, size: int) -> int:
        """How many of so many bytes still pass; fewer than asked: the connection is cut behind them."""
        if not self.left:
            return size
        passed = min(size, self.left)
        self.left -= passed
        if not self.left and passed == size:
            self.left = -1  # this was the last whole piece
        return max(0, passed)

    @property
    def burnt(self) -> bool:
        """Whether the bytes that the connection may carry are used up."""
        return self.left < 0
