"""When connections leave a draining endpoint: late, evenly, and only if the rest of the fleet has capacity.

A draining endpoint serves its connections as well as before, while its replacements are listed late and have
to warm up. If all connections left immediately, the few endpoints that are warmed up would get all of them.
"""

from __future__ import annotations

from collections.abc import Iterable


def drain_window_ns(deadlines_ns: list[int]) -> int:
    """How long an endpoint keeps serving after its drain was announced, in ns.

    It finishes the requests that it has. One sent just before the announcement may take as long as its client
    waits, so this is the shortest deadline of the settings' classes (``Classes[].HardLimitNs``).
    """
    return min(deadlines_ns)


def mean_load_after_drain(
    remaining: Iterable[tuple[float, float]], draining: Iterable[tuple[float, float]]
) -> float:
    """The load over capacity of the remaining endpoints, once they have the work of the draining ones.

    Each endpoint is a pair: its current capacity, in any unit, and its load over that capacity. The result is
    0 if the load of no remaining endpoint is known: missing reports do not hold connections back.
    """
    total_capacity = work = 0.0
    for capacity, load in remaining:
        total_capacity += capacity
        work += capacity * load
    work += sum(capacity * load for capacity, load in draining)
    return work / total_capacity if total_capacity > 0 else 0.0


def migration_probability(remaining_ns: int, tick_ns: int) -> float:
    """The probability of migrating a connection in this tick, if all have to leave within ``remaining_ns``.

    It spreads the migrations of independent connections evenly over the remaining time. This prevents a
    thundering herd: nodes with one connection each would round their share up and all migrate it at once.
    """
    return min(1.0, tick_ns / max(remaining_ns, 1))
