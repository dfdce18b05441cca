"""One machine of a virtual cluster: its disk, its clock, and the process that runs there.

`VirtualCluster` starts, pauses and kills the process; nothing here schedules or sends.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from puffinpost.consensus.documents import Document
from puffinpost.consensus.log import Log, PersistentState, Snapshot
from puffinpost.consensus.member import Member
from puffinpost.consensus.member_config import MemberConfig
from puffinpost.consensus.messages import Entry
from puffinpost.consensus.output import Ready
from puffinpost.emulator.virtual_time import S

MAX_CLOCK_OFFSET_NS = 10**15


@dataclass(frozen=True, slots=True)
class VirtualClusterSettings:
    """What all nodes share.

    ``planted_faults``: see `MemberConfig`; ``clock_drift``: the largest deviation of a clock's rate from 1.
    """

    agree_within_ns: int = 2 * S
    fanout: int = 16
    planted_faults: frozenset[str] = frozenset()
    clock_drift: float = 0.01
    on_lost: str = "narrow"


DEFAULT_SETTINGS = VirtualClusterSettings()


class CrashPoint(Enum):
    """When a process crashes at its next durable write."""

    BEFORE_WRITE = "before"
    AFTER_WRITE = "after"


@dataclass(slots=True)
class Disk:
    """What survives a process. Entries do not change, so a list of them is a copy."""

    identity: str
    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)
    documents: dict[str, Document] = field(default_factory=dict)

    def persistent_state(self) -> PersistentState:
        """What a voter's process reads at its start."""
        return PersistentState(self.term, self.voted_for, Log(self.snapshot, list(self.entries)))

    def write(self, ready: Ready, member: Member, forgets_votes: bool) -> None:
        """Writes what a step of the member has made durable."""
        if ready.hard_state is not None:
            self.term = ready.hard_state.term
            self.voted_for = "" if forgets_votes else ready.hard_state.voted_for
        log_changed = ready.first_changed_index is not None or ready.snapshot is not None
        if member.raft is not None and log_changed:
            self.snapshot, self.entries = member.raft.log.snapshot, list(member.raft.log.entries)


class VirtualNode:
    """A node's machine. Its clock runs at ``rate`` from ``offset``.

    ``deferred``: while the process is paused, what waits for it to be resumed; None otherwise.
    """

    def __init__(self, config: MemberConfig, disk: Disk, rate: float, offset: int) -> None:
        self.config, self.disk, self.rate, self.offset = config, disk, rate, offset
        self.member: Member | None = None
        self.incarnation = 0
        self.deferred: list[Callable[[], None]] | None = None
        self.resume: Callable[[], None] = _do_nothing
        self.crash_point: CrashPoint | None = None
        self.next_tick_ns: int | None = None  # when the next tick is scheduled, on the cluster's clock

    def local_time(self, now: int) -> int:
        """The time of its own clock."""
        return self.offset + int(now * self.rate)

    def runs(self, incarnation: int) -> bool:
        """Whether this process still runs, perhaps paused."""
        return self.incarnation == incarnation and self.member is not None


def create_node(
    name: str,
    names: tuple[str, ...],
    voters: tuple[str, ...],
    settings: VirtualClusterSettings,
    rng: random.Random,
) -> VirtualNode:
    """A machine without a process, whose clock's rate and offset are drawn."""
    config = MemberConfig(
        "c",
        name,
        names,
        voters,
        settings.agree_within_ns,
        fanout=settings.fanout,
        faults=settings.planted_faults,
        lost_lease_policy=settings.on_lost,
    )
    rate = 1.0 + settings.clock_drift * rng.choice([-1.0, 0.0, 1.0, rng.uniform(-1, 1)])
    return VirtualNode(config, Disk(f"{name}.0"), rate, rng.randrange(MAX_CLOCK_OFFSET_NS))


def _do_nothing() -> None:
    """Resumes a process that has never been paused."""
