"""A queue of callbacks on virtual time, for simulations in one process."""

from __future__ import annotations

import heapq
from collections.abc import Callable

MS = 1_000_000
S = 1_000_000_000


class VirtualTime:
    """Virtual time, in ns. Callbacks run in order of time, and those of one time in order of creation."""

    def __init__(self, now_ns: int = 0) -> None:
        self.now_ns = now_ns
        self.scheduled_count = 0
        self._queue: list[tuple[int, int, Callable[[], None]]] = []

    def at(self, when_ns: int, callback: Callable[[], None]) -> None:
        """Schedules a callback; a time that has passed counts as now."""
        self.scheduled_count += 1
        heapq.heappush(self._queue, (max(when_ns, self.now_ns), self.scheduled_count, callback))

    def run_until(self, until_ns: int) -> None:
        """Advances to this time, running every callback that is due."""
        while self._queue and self._queue[0][0] <= until_ns:
            self.now_ns, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_ns = until_ns
