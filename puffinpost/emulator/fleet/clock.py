"""Virtual time for a fleet in one process."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MS = 1_000_000
S = 1_000_000_000
WIRE_NS = MS // 2  # one way, between any two


class Clock:
    """Virtual time: what is due next is done next; of what is due together, what was asked for first."""

    def __init__(self) -> None:
        self.time = 0
        self._due: list[tuple[int, int, list[Callable[[], None]]]] = []
        self._count = 0

    def now(self) -> int:
        """Nanoseconds since the world began."""
        return self.time

    def call_later(self, after_ns: int, callback: Callable[[], None]) -> list[Callable[[], None]]:
        """Calls back once; ``cancel`` takes it back."""
        self._count += 1
        handle = [callback]
        heapq.heappush(self._due, (self.time + max(0, after_ns), self._count, handle))
        return handle

    def cancel(self, handle: list[Callable[[], None]] | None) -> None:
        """Takes a call back."""
        if handle:
            handle.clear()

    def run(self, until_ns: int) -> None:
        """Lets time pass."""
        while self._due and self._due[0][0] <= until_ns:
            self.time, _, handle = heapq.heappop(self._due)
            if handle:
                handle[0]()
        self.time = until_ns
