"""A replica cluster on a virtual clock: the program's own members, an in-memory network, disks and faults.

Fault schedules and tests drive it; one seed is one play. It opens no socket and reads no real clock.
"""

from __future__ import annotations

import functools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from puffinpost.emulator.virtual_time import MS, S, VirtualTime
from puffinpost.replication import messages
from puffinpost.replication.member import Member
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.messages import Message, ReplicaPosition
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.rows import Origin, Row

__all__ = ["MS", "S", "Disk", "VirtualReplicaCluster", "VirtualReplicaNode"]

EPOCH_MS = 1_700_000_000_000  # the time of day at virtual time 0
FRAME_OVERHEAD_BYTES = 8
MAX_WRITE_NS = 60 * MS
MAX_DUPLICATE_DELAY_NS = 2 * S
Link = tuple[str, str]
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(messages.Message)


@dataclass(slots=True)
class Disk:
    """What a node has written, as of the last complete transaction."""

    positions: dict[Origin, ReplicaPosition] = field(default_factory=dict)
    rows: dict[tuple[Origin, int], Row] = field(default_factory=dict)

    def write(self, changes: PendingChanges, positions: dict[Origin, ReplicaPosition]) -> None:
        """Writes one transaction."""
        for origin, row in changes.inserted:
            self.rows[origin, row.sequence] = row
        for origin, sequence in changes.deleted:
            self.rows.pop((origin, sequence), None)
        self.positions |= positions
        for deleted in changes.deleted_origins:
            self.positions.pop(deleted, None)
            self.rows = {key: row for key, row in self.rows.items() if key[0] != deleted}

    def copy(self) -> Disk:
        """A copy, to be restored later."""
        return Disk(dict(self.positions), dict(self.rows))


@dataclass(slots=True)
class VirtualReplicaNode:
    """One node. ``deferred``: while its process is paused, what waits for it; None otherwise."""

    name: str
    disk: Disk = field(default_factory=Disk)
    clock_offset_ms: int = 0
    member: Member | None = None
    deferred: list[Callable[[], None]] | None = None
    tick_at: int = -1
    incarnations: int = 0
    write_done_at: int = 0  # of the last write: they are done in order


class VirtualReplicaCluster:
    """The cluster; all nodes are started. ``limits``: settings of every node, see `MemberConfig`.

    ``transform`` is applied to each message that arrives; links that damage messages replace it.
    """

    def __init__(self, seed: int, nodes: int, **limits: int) -> None:
        self.rng = random.Random(seed)
        self.time = VirtualTime(S)
        self.names = tuple(f"n{number:03}" for number in range(nodes))
        self.limits = limits
        self.nodes = {name: VirtualReplicaNode(name) for name in self.names}
        self.cut_links: set[Link] = set()
        self.delay_ns: dict[Link, int] = {}
        self.duplicate_probability = 0.0  # of a message, to arrive again, late and out of order
        self.loss_probability = 0.0
        self.transform: Callable[[Message], Message] = lambda message: message
        self.counts: Counter[str] = Counter()
        self.bytes_sent: Counter[str] = Counter()  # by node
        self.messages_sent: Counter[str] = Counter()  # by type
        self._last_arrival: dict[Link, int] = defaultdict(int)
        for name in self.names:
            self.start(name)

    # --- time -----------------------------------------------------------------------------------------

    @property
    def now(self) -> int:
        """The virtual time, in ns."""
        return self.time.now_ns

    def at(self, when_ns: int, callback: Callable[[], None]) -> None:
        """Schedules a callback."""
        self.time.at(when_ns, callback)

    def run(self, span_ns: int) -> None:
        """Advances time."""
        self.time.run_until(self.now + span_ns)

    def run_until(self, condition: Callable[[], bool], within_ns: int, step_ns: int = 20 * MS) -> int | None:
        """Runs until this holds; returns how long that took, or None if it did not happen."""
        began = self.now
        while not condition():
            if self.now - began >= within_ns:
                return None
            self.run(step_ns)
        return self.now - began

    # --- processes ------------------------------------------------------------------------------------

    def start(self, name: str) -> Member:
        """Starts a node's process, with what is on its disk."""
        node = self.nodes[name]
        node.incarnations += 1
        config = MemberConfig(name, self.names, **self.limits)
        rows = [(origin, row) for (origin, _), row in node.disk.rows.items()]
        member = Member(
            config,
            random.Random(f"{name}.{node.incarnations}.{self.rng.random()}"),
            self.now,
            lambda: EPOCH_MS + self.now // MS + node.clock_offset_ms,
            self._count,
            list(node.disk.positions.values()),
            rows,
        )
        node.member, node.deferred, node.tick_at = member, None, -1
        for other in member.config.neighbours():
            if self.nodes[other].member is not None:
                self.at(self.now + MS, functools.partial(self._connect, name, other))
        self._handle_output(node)
        return member

    def kill(self, name: str, folder: bool = True) -> None:
        """Kills a process; without ``folder`` its disk is lost too."""
        node = self.nodes[name]
        node.member, node.deferred = None, None
        if not folder:
            node.disk = Disk()

    def pause(self, name: str) -> None:
        """Stops a process."""
        if self.nodes[name].deferred is None:
            self.nodes[name].deferred = []

    def resume(self, name: str) -> None:
        """Resumes a process, which then receives all that arrived while it was stopped."""
        node = self.nodes[name]
        deferred, node.deferred = node.deferred or [], None
        for callback in deferred:
            callback()
        self._handle_output(node)

    def members(self) -> list[Member]:
        """The members of all processes that run, also of paused ones."""
        return [node.member for node in self.nodes.values() if node.member is not None]

    def isolate(self, side: set[str]) -> None:
        """Cuts the links between these nodes and the others."""
        for name in side:
            for other in set(self.names) - side:
                self.cut_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Restores all links, and starts or resumes all processes."""
        self.cut_links.clear()
        self.delay_ns.clear()
        self.duplicate_probability = self.loss_probability = 0.0
        for node in self.nodes.values():
            if node.member is None:
                self.start(node.name)
            elif node.deferred is not None:
                self.resume(node.name)

    # --- rows -----------------------------------------------------------------------------------------

    def write(self, name: str, kind: str, key: str, value: object) -> None:
        """Writes a value at a node, if its process runs."""
        node = self.nodes[name]
        if node.member is not None and node.deferred is None:
            node.member.now_ns = self.now
            node.member.write(kind, key, value)  # type: ignore[arg-type]
            self._handle_output(node)

    def replicas_equal(self) -> bool:
        """Whether all members have the same rows."""
        return len({self.fingerprint(member) for member in self.members()}) == 1

    @staticmethod
    def fingerprint(member: Member) -> int:
        """A hash of all rows that a member has."""
        return hash(
            frozenset(
                (origin, row.checksum)
                for origin, replica in member.replicas.by_origin.items()
                for row in replica.rows_by_sequence.values()
            )
        )

    # --- output, ticks and messages -------------------------------------------------------------------

    def _count(self, figure: str) -> None:
        self.counts[figure] += 1

    def _connect(self, first: str, second: str) -> None:
        for name, peer in ((first, second), (second, first)):
            member = self.nodes[name].member
            if member is not None and self.nodes[name].deferred is None:
                member.on_connected(peer, self.now)
                self._handle_output(self.nodes[name])

    def _handle_output(self, node: VirtualReplicaNode) -> None:
        """Takes the driver's part: writes, sends, and schedules the next tick."""
        member = node.member
        if member is None or node.deferred is not None:
            return
        output = member.take_output()
        if output.changes:
            positions = member.replicas.stored_positions()
            node.write_done_at = max(
                node.write_done_at, self.now + self.rng.randrange(1, MAX_WRITE_NS // MS) * MS
            )
            self.at(node.write_done_at, lambda: self._written(node, member, output.changes, positions))
        for target, message in output.messages:
            self._send(node.name, target, message)
        due = max(member.next_deadline(), self.now + 1)
        if node.tick_at <= self.now or due < node.tick_at:
            node.tick_at = due
            self.at(due, lambda: self._tick(node, member, due))

    def _written(
        self,
        node: VirtualReplicaNode,
        member: Member,
        changes: PendingChanges,
        positions: dict[Origin, ReplicaPosition],
    ) -> None:
        if node.member is member:
            node.disk.write(changes, positions)

    def _tick(self, node: VirtualReplicaNode, member: Member, due: int) -> None:
        if node.member is not member or node.tick_at != due or node.deferred is not None:
            return
        member.tick(self.now)
        self._handle_output(node)

    def _send(self, sender: str, target: str, message: Message) -> None:
        encoded = msgspec.msgpack.encode(message)
        self.bytes_sent[sender] += len(encoded) + FRAME_OVERHEAD_BYTES
        self.messages_sent[type(message).__name__] += 1
        if self.rng.random() < self.loss_probability:
            return
        link = sender, target
        arrives = self.now + self.delay_ns.get(link, MS) + self.rng.randrange(MS)
        arrives = max(arrives, self._last_arrival[link])
        self._last_arrival[link] = arrives  # a link keeps its order
        self.at(arrives, lambda: self._deliver(link, encoded))
        if self.rng.random() < self.duplicate_probability:
            again = arrives + self.rng.randrange(MAX_DUPLICATE_DELAY_NS)
            self.at(again, lambda: self._deliver(link, encoded))

    def _deliver(self, link: Link, encoded: bytes) -> None:
        if link in self.cut_links:
            return
        sender, target = link
        node = self.nodes[target]
        if node.deferred is not None:
            node.deferred.append(lambda: self._deliver(link, encoded))
        elif node.member is not None:
            message = self.transform(_decoder.decode(encoded))
            node.member.receive(sender, message, self.now)
            self._handle_output(node)
