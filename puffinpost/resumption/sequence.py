"""Sequence numbers that wrap at 2^32 (XEP-0198, section 4; compared as RFC 1982 does)."""

from __future__ import annotations

MODULUS = 1 << 32


def advance(count: int, by: int = 1) -> int:
    """Returns the count increased by ``by``, modulo 2^32."""
    return (count + by) % MODULUS


def distance(count: int, base: int) -> int:
    """Returns how far a count is ahead of a base, from 0 to 2^32 - 1.

    A count behind the base appears to be far ahead of it. Callers compare the distance with the number of
    unacknowledged messages, so that counts too low and too high are both found to be invalid.
    """
    return (count - base) % MODULUS
