"""The keep-alive of one MQTT connection. The connection owns it and is notified when it times out."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffinpost.proxy.ports import Clock
from puffinpost.units import MS

GRACE_FACTOR = 1.5  # the timeout as a multiple of the keep-alive (MQTT 5.0, 3.1.2.10)


def keep_alive_timeout_ns(keep_alive_s: int) -> int:
    """Returns how long a client with this keep-alive may send nothing; 0 means no limit."""
    return int(keep_alive_s * GRACE_FACTOR * 1000) * MS


class KeepAlive:
    """Times out a client that sends nothing for too long.

    There is one timer per connection. It is restarted when it fires, not whenever data arrives.
    """

    def __init__(
        self, clock: Clock, is_reading_paused: Callable[[], bool], on_timeout: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._is_reading_paused = is_reading_paused
        self._on_timeout = on_timeout
        self._last_received_ns = 0
        self._timer: Any = None
        self._stopped = False
        self.timeout_ns = 0  # 0: no limit

    def start(self, timeout_ns: int) -> None:
        """Starts the timer."""
        self.timeout_ns = timeout_ns
        if timeout_ns:
            self._timer = self._clock.call_later(timeout_ns, self._check)

    def on_data_received(self) -> None:
        """The client has sent data."""
        self._last_received_ns = self._clock.now()

    def stop(self) -> None:
        """Stops the timer; the connection is closed."""
        self._stopped = True
        self._clock.cancel(self._timer)

    def _check(self) -> None:
        if self._stopped:
            return
        if self._is_reading_paused():
            self._last_received_ns = self._clock.now()  # the node itself has paused reading
        remaining_ns = self._last_received_ns + self.timeout_ns - self._clock.now()
        if remaining_ns > 0:
            self._timer = self._clock.call_later(remaining_ns, self._check)
            return
        self._on_timeout()
