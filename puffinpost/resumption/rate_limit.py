"""Limits failed resumptions per client address, with one token bucket per address in a bounded table.

The registry checks the limit before it looks up a resumption token. As with the committed rate and burst size
of RFC 2697, an address may fail a number of times at once, and its bucket is refilled evenly over a minute.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MINUTE_NS = 60_000_000_000
MAX_ADDRESSES = 4096


class _Bucket(NamedTuple):
    tokens: float
    updated_ns: int


class ResumptionRateLimit:
    """Failed resumption attempts per client address. Times are in nanoseconds."""

    def __init__(self, per_minute: int, max_addresses: int = MAX_ADDRESSES) -> None:
        self.per_minute = per_minute
        self.max_addresses = max_addresses
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()  # the latest failure is last

    def is_allowed(self, address: str, now: int) -> bool:
        """Whether an address may attempt to resume a session."""
        return self._tokens(address, now) >= 1.0

    def record_failure(self, address: str, now: int) -> None:
        """Records that an address has presented an invalid token."""
        self._buckets[address] = _Bucket(max(0.0, self._tokens(address, now) - 1.0), now)
        self._buckets.move_to_end(address)
        if len(self._buckets) > self.max_addresses:
            # The address that failed longest ago has regained most of its tokens, so it gains least by this.
            self._buckets.popitem(last=False)

    def _tokens(self, address: str, now: int) -> float:
        burst = float(self.per_minute)
        tokens, updated_ns = self._buckets.get(address, _Bucket(burst, now))
        return min(burst, tokens + self.per_minute * max(0, now - updated_ns) / MINUTE_NS)
