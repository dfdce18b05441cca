"""The event loop's timers, and a monotonic clock that starts at the Unix time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from puffinpost.observability import log

NS_PER_S = 1e9


class LoopClock:
    """Implements ``proxy.ports.Clock`` with the running event loop."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()
        self._loop = asyncio.get_running_loop()

    def now(self) -> int:
        """Nanoseconds since the Unix epoch: the wall clock at the start plus the monotonic time since."""
        return time.monotonic_ns() + self._offset_ns

    def call_later(self, after_ns: int, callback: Callable[[], None]) -> Any:
        """Calls back once, ``after_ns`` from now; returns a handle for ``cancel``."""
        return self._loop.call_later(after_ns / NS_PER_S, self._call, callback)

    def cancel(self, handle: Any) -> None:
        """Cancels a timer; None and a timer that has fired are fine."""
        if handle is not None:
            handle.cancel()

    @staticmethod
    def _call(callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:  # noqa: BLE001 (boundary: a failure of one timer must not stop the others)
            log.exception("timer callback failed")
