"""Distinguishes the two meanings of an endpoint's ``LOAD X`` line: a connection's load and a delay.

The load, in microseconds of work a second, is sent after ``UP`` and whenever it changes. The delay, in ms, is
sent once a second on one connection of each node while messages are slow at that endpoint.
"""

from __future__ import annotations

MAX_DELAY_MS = 10_000.0  # longer delays are not reported, because clients have disconnected by then
MIN_DELAY_DROP = 50.0  # a load drops by less than this factor in one step; the highest observed was 26
DELAY_INTERVAL_S = 1.0  # time between two delays
DELAY_INTERVAL_SLACK_S = 0.05  # tolerance for the network and a busy node


class LoadLineClassifier:
    """Classifies the ``LOAD`` lines of one connection, in order."""

    __slots__ = ("_last_load", "_last_possible_delay_s")

    def __init__(self) -> None:
        self._last_load: float | None = None
        self._last_possible_delay_s: float | None = None  # time of the last line that may have been a delay

    def is_delay(self, value: float, now_s: float) -> bool:
        """Whether a line received at ``now_s`` is a delay in ms rather than a load in microseconds a second.

        The first line after ``UP`` is the load. A later value is a delay if it is far below the last load or
        arrives one second after another value that may have been a delay.
        """
        previous_s, self._last_possible_delay_s = self._last_possible_delay_s, None
        if self._last_load is None or value > MAX_DELAY_MS:
            self._last_load = value
            return False
        self._last_possible_delay_s = now_s
        is_periodic = (
            previous_s is not None and abs(now_s - previous_s - DELAY_INTERVAL_S) <= DELAY_INTERVAL_SLACK_S
        )
        if is_periodic or value * MIN_DELAY_DROP <= self._last_load:
            return True
        self._last_load = value
        return False
