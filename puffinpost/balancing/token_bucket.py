"""One node's token bucket, for a rate limit that a whole fleet shares without coordination.

Where the fleet may use ``rate`` tokens a second, each of n nodes earns ``rate / n`` and carries the fraction;
it starts with a fraction drawn by its seed, uniform in 0 to 1. A whole token expires ``lifetime_ns`` after it
was earned.

Bound on the sum: a token used in a window W was earned within W + ``lifetime_ns``, whatever the traffic was
before. So all uses in any window have a mean of at most ``rate * (W + lifetime_ns)``, however unevenly work
arrives, and after an idle time too. As the nodes' fractions are independent, the sum varies by no more than
its square root. Without expiry, n idle nodes would have one token each to use at once.
"""

from __future__ import annotations

import math


def refill(tokens: float, rate: float, elapsed_ns: int, lifetime_ns: float) -> float:
    """What a node's bucket holds after ``elapsed_ns``: whole tokens, and the fraction of the next.

    ``tokens``: what it held before; ``rate``: the node's own, in tokens a nanosecond.
    """
    total = tokens + rate * max(0, elapsed_ns)
    fraction = total % 1.0
    # The newest whole token was earned ``fraction / rate`` ago.
    unexpired = rate * lifetime_ns - fraction
    max_unexpired_tokens = math.floor(unexpired) + 1 if unexpired >= 0 else 0
    return fraction + min(math.floor(total), max_unexpired_tokens)
