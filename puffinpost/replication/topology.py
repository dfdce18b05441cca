"""Which members exchange messages: each with those 1, 2, 4, 8, ... places before and after it by name.

These are the fingers of I. Stoica et al., Chord (2001), but in both directions, so that links are mutual. A
member has fewer than 2 log2(N) neighbours and at most half as many hops to any other member. Between two
members there are as many disjoint paths as they have neighbours, so a third of the links may fail.
"""

from __future__ import annotations

from collections.abc import Sequence


def neighbours(name: str, members: Sequence[str]) -> tuple[str, ...]:
    """The neighbours of a member, nearest first. The relation is symmetric."""
    ring = sorted(members)
    index = ring.index(name)
    found: dict[str, None] = {}
    step = 1
    while step < len(ring):
        for offset in (step, -step):
            other = ring[(index + offset) % len(ring)]
            if other != name:
                found[other] = None
        step *= 2
    return tuple(found)
