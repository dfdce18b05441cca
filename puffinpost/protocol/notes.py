"""What a transcriber's ``LOAD X`` line says: the connection's load, or how long messages take there.

The platform sends both of the simulator's notes on the one line: the load that a connection has now, in
microseconds of work a second (whenever it changes, and at once after ``UP``), and, once a second on one
connection of each node while messages are slow, the milliseconds that a message takes at that transcriber.
Taken for a load, a delay of 1,900 ms reads as a connection that asks for next to nothing.
"""

from __future__ import annotations

MOST_DELAY_MS = 10_000.0  # no longer delay is told: a client has left by then
FALL = 50.0  # a load falls by less than this at once; the most seen was 26, where a caller fell silent
EVERY_S = 1.0  # delays come this often ...
SLACK_S = 0.05  # ... give or take this much, for the network and a busy node


class LoadLines:
    """The ``LOAD`` lines of one connection, in order."""

    __slots__ = ("_load", "_small_s")

    def __init__(self) -> None:
        self._load: float | None = None
        self._small_s: float | None = None  # when the last line came that may have been a delay

    def is_delay(self, value: float, now_s: float) -> bool:
        """Whether this line tells a delay, in ms, rather than a load, in microseconds a second.

        The first line after ``UP`` is the load. From then on a figure is a delay where it is far under the
        last load, or where it comes just a second after another that may have been one.
        """
        before, self._small_s = self._small_s, None
        if self._load is None or value > MOST_DELAY_MS:
            self._load = value
            return False
        self._small_s = now_s
        in_step = before is not None and abs(now_s - before - EVERY_S) <= SLACK_S
        if in_step or value * FALL <= self._load:
            return True
        self._load = value
        return False
