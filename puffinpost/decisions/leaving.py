"""When connections leave a server that drains: spread over the time for which it surely stands."""

from __future__ import annotations

STANDS_PART = 0.9  # of that time is used: the last ones still have to be told, and to go


def stands_ns(deadlines_ns: list[int]) -> int:
    """For how long after the word of its drain a server can be counted on, in ns.

    It finishes what it has, and what was sent to it just before may take as long as its client waits: the
    shortest deadline of the settings' classes (``Classes[].HardLimitNs``).
    """
    return int(STANDS_PART * min(deadlines_ns))


def leaving_chance(left_ns: int, tick_ns: int) -> float:
    """The chance that a connection leaves within this tick, where all are to be gone in ``left_ns``.

    It makes the moment of leaving even over the time left, for each connection by itself. Guards against a
    herd: a node that holds one connection there, and rounds its share up, moves it at once, and so does
    every other node.
    """
    return min(1.0, tick_ns / max(left_ns, 1))
