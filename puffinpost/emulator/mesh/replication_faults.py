"""Random faults and writes on a virtual replica cluster, and the check that the replicas converge.

One seed and profile give one play. At the end everything is healed; the replicas must become equal, and no
write may be lost or revived.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import msgspec

from puffinpost.emulator.mesh.fault_schedule import FaultProfile, schedule_events
from puffinpost.emulator.mesh.virtual_replication import Disk, VirtualReplicaCluster, VirtualReplicaNode
from puffinpost.emulator.virtual_time import MS, S
from puffinpost.replication import merge, row_values
from puffinpost.replication.hybrid_clock import MAX_CLOCK_OFFSET_MS, Timestamp
from puffinpost.replication.messages import Message, RowsResponse
from puffinpost.replication.row_values import (
    ATTEMPT_COUNTS,
    BAN,
    ENDPOINT_OBSERVATION,
    TENANT_USAGE,
    AttemptCounts,
    Ban,
    EndpointObservation,
    TenantUsage,
)
from puffinpost.replication.rows import Origin, Row

START_NS = 2 * S  # for all nodes to exchange what they start with
CHECK_INTERVAL_NS = 100 * MS
CONVERGENCE_TIMEOUT_NS = 15 * S  # after healing: takeover, and anti-entropy for what gossip has missed
MAX_CUT_MS = 10_000
MAX_OFFSET_MS = 10_000  # of a clock while faults go on
HEALED_OFFSET_MS = 9_000  # after that: within what replication tolerates
MAX_LINK_DELAY_NS = 800 * MS
CUT_PROBABILITY = 0.4  # of each node, to be on the cut's first side
DUPLICATE_PROBABILITY = 0.5
LOSS_PROBABILITY = 0.2
DAMAGE_PROBABILITY = 0.2  # of a message, and of each row of it
DISK_DAMAGE_STEP = 5  # every fifth row of a damaged disk
WRITE_KINDS = (BAN, BAN, ENDPOINT_OBSERVATION, TENANT_USAGE, ATTEMPT_COUNTS)


class ReplicationFault(Enum):
    """The faults; the values are their names in a run's list."""

    KILL = "kill"
    LOST_FOLDER = "lost folder"
    OLD_FOLDER = "old folder"  # restored from a copy
    PAUSE = "pause"
    CUT = "cut"
    CUT_ONE_WAY = "cut one way"
    SLOW = "slow"
    DUPLICATING = "twice"
    LOSSY = "lossy"
    DAMAGING = "damaged"
    CLOCK_STEP = "clock"
    DAMAGED_DISK = "rotten disk"


ALL_FAULTS = tuple(ReplicationFault)


@dataclass(frozen=True, slots=True)
class ReplicationFaultProfile(FaultProfile):
    """What is drawn from."""

    nodes: int = 5
    spacing_ns: tuple[int, int] = field(default=(200 * MS, 1200 * MS), kw_only=True)
    duration_ns: tuple[int, int] = field(default=(100 * MS, 3 * S), kw_only=True)
    writes: int = 60
    endpoints: int = 4
    tombstone_ms: int = 3_600_000


DEFAULT_PROFILE = ReplicationFaultProfile()


@dataclass(slots=True)
class ReplicationRun:
    """The result of a play. ``equal_ns``: how long convergence took; None if it did not happen."""

    seed: int
    violations: list[str] = field(default_factory=list)
    equal_ns: int | None = None
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True, order=True)
class BanReading:
    """The last write to a ban: its timestamp, and the time that it says."""

    timestamp: Timestamp
    since_ns: int


class ReplicationFaultSchedule:
    """One play on one cluster."""

    def __init__(self, seed: int, profile: ReplicationFaultProfile) -> None:
        self.profile = profile
        self.cluster = VirtualReplicaCluster(seed, profile.nodes, tombstone_retention_ms=profile.tombstone_ms)
        self.rng = self.cluster.rng
        self.result = ReplicationRun(seed)
        self._checksums: dict[tuple[Origin, int], int] = {}  # of each row, by its sequence number
        self._disk_copies: dict[str, Disk] = {}

    def play(self) -> ReplicationRun:
        """Plays the schedule, heals the cluster, and checks its replicas."""
        cluster, profile = self.cluster, self.profile
        cluster.run(START_NS)
        last_fault_ns = schedule_events(
            cluster, self.rng, profile, self._inject_fault, profile.writes, self._write
        )
        while cluster.now < last_fault_ns + profile.duration_ns[1]:
            cluster.run(CHECK_INTERVAL_NS)
            self._check_unique_rows()
        self._heal()
        readings = self._latest_bans()
        self.result.equal_ns = cluster.run_until(self._has_converged, CONVERGENCE_TIMEOUT_NS)
        self._check_unique_rows()
        self._check_converged(readings)
        return self.result

    def _heal(self) -> None:
        self.cluster.transform = lambda message: message
        self.cluster.heal()
        for node in self.cluster.nodes.values():
            node.clock_offset_ms = max(-HEALED_OFFSET_MS, min(HEALED_OFFSET_MS, node.clock_offset_ms))

    def _has_converged(self) -> bool:
        members = self.cluster.members()
        return all(member.has_taken_over for member in members) and self.cluster.replicas_equal()

    def _write(self) -> None:
        """Writes a random value at a random node."""
        rng, cluster = self.rng, self.cluster
        name, endpoint = rng.choice(cluster.names), f"s-{rng.randrange(self.profile.endpoints)}"
        kind = rng.choice(WRITE_KINDS)
        value: row_values.RowValue = TenantUsage((rng.randrange(9), 1))
        if kind == BAN:
            value = Ban(rng.choice((0, rng.randrange(1, 10**9))), name)
        elif kind == ENDPOINT_OBSERVATION:
            value = EndpointObservation(1, rng.random() * 50, 0, False, 3.0)
        elif kind == ATTEMPT_COUNTS:
            value = AttemptCounts(1, rng.randrange(100))
        cluster.write(name, kind, name if kind == TENANT_USAGE else endpoint, value)

    # --- faults ---------------------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        """Injects one fault, and schedules its end."""
        cluster, rng = self.cluster, self.rng
        fault, name = rng.choice(ALL_FAULTS), rng.choice(cluster.names)
        duration_ns = rng.randint(*self.profile.duration_ns)
        ends_ns = cluster.now + duration_ns
        node = cluster.nodes[name]
        self.result.faults.append(f"{cluster.now / 1e9:.2f} s {name} {fault.value} {duration_ns / 1e9:.2f} s")
        match fault:
            case ReplicationFault.DUPLICATING:
                cluster.duplicate_probability = DUPLICATE_PROBABILITY
            case ReplicationFault.LOSSY:
                cluster.loss_probability = LOSS_PROBABILITY
            case ReplicationFault.DAMAGING:
                cluster.transform = self._damage_message
            case ReplicationFault.CLOCK_STEP:
                node.clock_offset_ms = rng.randint(-MAX_OFFSET_MS, MAX_OFFSET_MS)
            case ReplicationFault.PAUSE:
                cluster.pause(name)
                cluster.at(ends_ns, partial(self._resume, name))
            case ReplicationFault.CUT | ReplicationFault.CUT_ONE_WAY | ReplicationFault.SLOW:
                self._impair_links(fault, name, ends_ns)
            case _:
                self._end_process(fault, node)
                cluster.at(ends_ns, partial(self._restart, name))

    def _impair_links(self, fault: ReplicationFault, name: str, ends_ns: int) -> None:
        cluster, rng = self.cluster, self.rng
        if fault is ReplicationFault.SLOW:
            for other in cluster.names:
                cluster.delay_ns[name, other] = rng.randrange(MAX_LINK_DELAY_NS)
            cluster.at(ends_ns, cluster.delay_ns.clear)
            return
        side = {each for each in cluster.names if rng.random() < CUT_PROBABILITY}
        cluster.isolate(side)
        if fault is ReplicationFault.CUT_ONE_WAY:
            cluster.cut_links = {link for link in cluster.cut_links if link[0] in side}
        cluster.at(ends_ns, cluster.cut_links.clear)

    def _end_process(self, fault: ReplicationFault, node: VirtualReplicaNode) -> None:
        """Kills a process, and changes its disk as the fault says."""
        if fault is ReplicationFault.DAMAGED_DISK:
            self.cluster.kill(node.name)
            for key in list(node.disk.rows)[::DISK_DAMAGE_STEP]:
                node.disk.rows[key] = _damage_row(node.disk.rows[key])
            return
        if fault is ReplicationFault.OLD_FOLDER:
            node.disk = self._disk_copies.get(node.name, node.disk).copy()
        self._disk_copies[node.name] = node.disk.copy()
        self.cluster.kill(node.name, folder=fault is not ReplicationFault.LOST_FOLDER)

    def _restart(self, name: str) -> None:
        if self.cluster.nodes[name].member is None:
            self.cluster.start(name)

    def _resume(self, name: str) -> None:
        if self.cluster.nodes[name].deferred is not None:
            self.cluster.resume(name)

    def _damage_message(self, message: Message) -> Message:
        if not isinstance(message, RowsResponse) or self.rng.random() > DAMAGE_PROBABILITY:
            return message
        chunks = [
            msgspec.structs.replace(chunk, rows=[self._maybe_damage(row) for row in chunk.rows])
            for chunk in message.chunks
        ]
        return RowsResponse(chunks)

    def _maybe_damage(self, row: Row) -> Row:
        return _damage_row(row) if self.rng.random() < DAMAGE_PROBABILITY else row

    # --- checks ---------------------------------------------------------------------------------------

    def _check_unique_rows(self) -> None:
        """An origin's sequence number stands for one row, at every node."""
        for member in self.cluster.members():
            for origin, replica in member.replicas.by_origin.items():
                for row in replica.rows_by_sequence.values():
                    checksum = self._checksums.setdefault((origin, row.sequence), row.checksum)
                    if checksum != row.checksum:
                        self.result.violations.append(f"{origin} wrote {row.sequence} twice")

    def _latest_bans(self) -> dict[str, BanReading]:
        """By endpoint, the last write to its ban that any node has."""
        latest: dict[str, BanReading] = {}
        for member in self.cluster.members():
            for (kind, key), rows in member.replicas.rows_by_key.items():
                last = merge.last_write(rows) if kind == BAN else None
                if last is not None:
                    reading = BanReading(last[1].timestamp, _ban_since_ns(last[1]))
                    latest[key] = max(latest.get(key, reading), reading)
        return latest

    def _check_converged(self, readings: dict[str, BanReading]) -> None:
        """The replicas are equal, and hold the last writes from before."""
        violations = self.result.violations
        if self.result.equal_ns is None:
            violations.append("the copies are not equal")
        if self.profile.tombstone_ms < 2 * MAX_CLOCK_OFFSET_MS + MAX_CUT_MS:
            return  # tombstones are dropped before all nodes can have them, so nothing is promised
        for member in self.cluster.members():
            name = member.config.name
            for key, reading in readings.items():
                last = merge.last_write(member.replicas.rows_at(BAN, key))
                if last is None or last[1].timestamp < reading.timestamp:
                    violations.append(f"{name}: a word on {key} was lost, or an older one is back")
                elif last[1].timestamp == reading.timestamp and _ban_since_ns(last[1]) != reading.since_ns:
                    violations.append(f"{name}: two words on {key} with one stamp")


def _ban_since_ns(row: Row) -> int:
    ban = row_values.decode_value(row, Ban)
    return ban.since_ns if ban is not None else 0


def _damage_row(row: Row) -> Row:
    """Changes a row so that its checksum is wrong."""
    return msgspec.structs.replace(row, key=row.key + "~")


def play_replication_faults(seed: int, profile: ReplicationFaultProfile = DEFAULT_PROFILE) -> ReplicationRun:
    """Plays and checks one seed's schedule."""
    return ReplicationFaultSchedule(seed, profile).play()
