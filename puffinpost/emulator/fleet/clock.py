"""The virtual clock and the timers of a simulated fleet.

All parts of the fleet, including the coordinators, schedule their work here; nothing reads the system clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from puffinpost.emulator.virtual_time import MS, S, VirtualTime

__all__ = ["LINK_DELAY_NS", "MS", "S", "Clock", "Timer"]

LINK_DELAY_NS = MS // 2  # one way, between any two parts of the fleet


@dataclass(slots=True, eq=False)
class Timer:
    """A scheduled call; its callback is None once it has been cancelled."""

    callback: Callable[[], None] | None

    def fire(self) -> None:
        """Runs the callback unless the timer was cancelled."""
        if self.callback is not None:
            self.callback()


class Clock(VirtualTime):
    """Implements the coordinator's `Clock` on virtual time."""

    def now(self) -> int:
        """Nanoseconds since the simulation began."""
        return self.now_ns

    def call_later(self, after_ns: int, callback: Callable[[], None]) -> Timer:
        """Runs the callback once after this delay; a negative delay counts as zero."""
        timer = Timer(callback)
        self.at(self.now_ns + after_ns, timer.fire)
        return timer

    def cancel(self, handle: Timer | None) -> None:
        """Cancels a timer; does nothing if it is None or has already fired."""
        if handle is not None:
            handle.callback = None
