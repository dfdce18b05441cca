"""One node's token bucket, for a rate limit that a whole fleet shares without coordination.

If the fleet may use ``rate`` tokens per second, each of n nodes earns ``rate / n`` and carries over
fractions; it starts with a random fraction from its seeded generator, uniform in 0 to 1. A complete token
expires ``lifetime_ns`` after it was earned.

Bound on the sum: a token used in a window W was earned within W + ``lifetime_ns``, whatever the earlier
traffic was. So the number of tokens used in any window has a mean of at most ``rate * (W + lifetime_ns)``,
however unevenly work arrives, even after an idle period. As the nodes' fractions are independent, the
standard deviation of the sum is at most its square root. Without expiry, n idle nodes could all use one token
at the same moment.
"""

from __future__ import annotations

import math


def refill(tokens: float, rate: float, elapsed_ns: int, lifetime_ns: float) -> float:
    """A node's tokens after ``elapsed_ns``: complete tokens plus the fraction of the next one.

    ``tokens``: its tokens before; ``rate``: the node's own rate, in tokens per nanosecond.
    """
    total = tokens + rate * max(0, elapsed_ns)
    fraction = total % 1.0
    # The newest complete token was earned ``fraction / rate`` ago.
    unexpired = rate * lifetime_ns - fraction
    max_unexpired_tokens = math.floor(unexpired) + 1 if unexpired >= 0 else 0
    return fraction + min(math.floor(total), max_unexpired_tokens)
