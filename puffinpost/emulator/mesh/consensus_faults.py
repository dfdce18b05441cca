"""Random faults and proposals on a virtual consensus cluster, and the check of the history that results.

One seed and profile give one play. At the end everything is healed, so that the cluster must agree again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from puffinpost.emulator.mesh.fault_schedule import FaultProfile, schedule_events
from puffinpost.emulator.mesh.history_checker import (
    Event,
    EventKind,
    Violation,
    check_history,
    longest_contradiction,
)
from puffinpost.emulator.mesh.virtual_consensus import VirtualCluster, VirtualClusterSettings
from puffinpost.emulator.mesh.virtual_node import CrashPoint, VirtualNode
from puffinpost.emulator.virtual_time import MS, S

START_NS = 3 * S  # for the first election and the first leases
SETTLING_NS = 6 * S  # after the last fault: an election, and a lease for everybody
CHECK_NS = S  # of acts that are recorded after that
LONG_PAUSE_PROBABILITY = 0.1
CUT_PROBABILITY = 0.4  # of each node, to be on the cut's first side
MAX_LINK_DELAY_NS = 400 * MS


class ConsensusFault(Enum):
    """The faults; the values are their names in a history."""

    KILL = "kill"
    KILL_AT_WRITE = "kill at a write"
    PAUSE = "pause"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    SLOW_LINK = "slow link"
    LOST_FOLDER = "lost folder"


ALL_FAULTS = tuple(ConsensusFault)


@dataclass(frozen=True, slots=True)
class ConsensusFaultProfile(FaultProfile):
    """What is drawn from. Spans in ns."""

    voters: int = 3
    followers: int = 2
    agree_within_ns: int = 2 * S
    spacing_ns: tuple[int, int] = field(default=(300 * MS, 1500 * MS), kw_only=True)
    max_pause_ns: int = 30 * S
    proposals: int = 5
    fanout: int = 16
    clock_drift: float = 0.01
    on_lost: str = "narrow"


DEFAULT_PROFILE = ConsensusFaultProfile()


@dataclass(slots=True)
class ConsensusRun:
    """The result of a play. ``without_lease``: nodes that still have none once all has been healed."""

    seed: int
    events: list[Event]
    violations: list[Violation]
    accepted: int
    longest_contradiction_ns: int
    without_lease: list[str]


class ConsensusFaultSchedule:
    """One play on one cluster. ``planted``: defects of the members, see `MemberConfig`."""

    def __init__(
        self, seed: int, profile: ConsensusFaultProfile, planted: frozenset[str] = frozenset()
    ) -> None:
        self.profile, self.seed = profile, seed
        settings = VirtualClusterSettings(
            profile.agree_within_ns, profile.fanout, planted, profile.clock_drift, profile.on_lost
        )
        self.cluster = VirtualCluster(seed, profile.voters, profile.followers, settings)
        self.rng = self.cluster.rng
        self.names = list(self.cluster.nodes)
        self.voters = self.names[: profile.voters]
        self._proposals = 0

    def play(self) -> ConsensusRun:
        """Plays the schedule, heals the cluster, and checks its history."""
        cluster, profile = self.cluster, self.profile
        cluster.run(START_NS)
        last_fault_ns = schedule_events(
            cluster, self.rng, profile, self._inject_fault, profile.proposals, self._propose
        )
        cluster.run(last_fault_ns + profile.duration_ns[1] - cluster.now)
        cluster.heal()
        cluster.run(SETTLING_NS)
        settled_ns = cluster.now
        cluster.record_outcomes()
        cluster.run(CHECK_NS)
        events = cluster.events
        return ConsensusRun(
            self.seed,
            events,
            check_history(events, profile.agree_within_ns, settled_ns),
            sum(event.kind == EventKind.ACCEPTED for event in events),
            longest_contradiction(events).duration_ns,
            [name for name, node in cluster.nodes.items() if self._is_without_lease(node)],
        )

    def _is_without_lease(self, node: VirtualNode) -> bool:
        if node.deferred is not None or node.member is None:
            return False
        return not node.member.active_versions.is_current(node.local_time(self.cluster.now))

    def _propose(self) -> None:
        """Proposes a version, at any node that runs."""
        running = [name for name, node in self.cluster.nodes.items() if node.member is not None]
        self._proposals += 1
        if running:
            share = self.rng.choice([1.0, 1.0, 1.0, 0.5])
            self.cluster.propose(self.rng.choice(running), {"version": self._proposals}, share)

    def _inject_fault(self) -> None:
        """Injects one fault, and schedules its end."""
        cluster, rng = self.cluster, self.rng
        fault, name = rng.choice(ALL_FAULTS), rng.choice(self.names)
        duration_ns = rng.randint(*self.profile.duration_ns)
        ends_ns = cluster.now + duration_ns
        cluster.record(name, EventKind.FAULT, subject=fault.value)
        match fault:
            case ConsensusFault.KILL:
                cluster.kill(name)
                cluster.at(ends_ns, partial(self._restart, name))
            case ConsensusFault.KILL_AT_WRITE:
                cluster.nodes[name].crash_point = rng.choice(list(CrashPoint))
                cluster.at(ends_ns, partial(self._restart, name))
            case ConsensusFault.LOST_FOLDER:
                if name not in self.voters:  # a voter returns by an operator's command
                    cluster.kill(name, folder=False)
                    cluster.at(ends_ns, partial(self._restart, name))
            case ConsensusFault.PAUSE:
                if rng.random() < LONG_PAUSE_PROBABILITY:
                    duration_ns = rng.randrange(self.profile.max_pause_ns)
                cluster.pause(name, duration_ns)
            case ConsensusFault.CUT | ConsensusFault.CUT_ONE_WAY:
                self._cut(fault is ConsensusFault.CUT_ONE_WAY, ends_ns)
            case ConsensusFault.SLOW_LINK:
                for target in self.names:
                    cluster.delay_ns[name, target] = rng.randrange(MAX_LINK_DELAY_NS)
                cluster.at(ends_ns, cluster.delay_ns.clear)

    def _cut(self, one_way: bool, ends_ns: int) -> None:
        side = {name for name in self.names if self.rng.random() < CUT_PROBABILITY}
        self.cluster.cut_links(side, set(self.names) - side, one_way)
        self.cluster.at(ends_ns, self.cluster.cut.clear)

    def _restart(self, name: str) -> None:
        if self.cluster.nodes[name].member is None:
            self.cluster.start(name)


def play_consensus_faults(
    seed: int, profile: ConsensusFaultProfile = DEFAULT_PROFILE, planted: frozenset[str] = frozenset()
) -> ConsensusRun:
    """Plays and checks one seed's schedule."""
    return ConsensusFaultSchedule(seed, profile, planted).play()
