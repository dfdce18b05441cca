"""What the random fault schedules of virtual clusters share: how many faults, when, and for how long."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from puffinpost.emulator.virtual_time import MS, S

OPERATION_OVERLAP_NS = S  # operations go on for this long after the last fault


@dataclass(frozen=True, slots=True, kw_only=True)
class FaultProfile:
    """The number of faults, the time between two, and how long one lasts; inclusive ranges in ns."""

    faults: int = 6
    spacing_ns: tuple[int, int] = (200 * MS, 1500 * MS)
    duration_ns: tuple[int, int] = (100 * MS, 4 * S)


class Simulation(Protocol):
    """The virtual cluster that a schedule is played on."""

    @property
    def now(self) -> int:
        """The virtual time, in ns."""

    def at(self, when_ns: int, callback: Callable[[], None]) -> None:
        """Schedules a callback."""


def schedule_events(
    simulation: Simulation,
    rng: random.Random,
    profile: FaultProfile,
    inject_fault: Callable[[], None],
    operations: int,
    operate: Callable[[], None],
) -> int:
    """Schedules the faults, and operations at random times among them; returns the last fault's time."""
    when_ns = simulation.now
    for _ in range(profile.faults):
        when_ns += rng.randint(*profile.spacing_ns)
        simulation.at(when_ns, inject_fault)
    span_ns = when_ns - simulation.now + OPERATION_OVERLAP_NS
    for _ in range(operations):
        simulation.at(simulation.now + rng.randrange(span_ns), operate)
    return when_ns
