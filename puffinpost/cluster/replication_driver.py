"""Drives `replication.member.Member`: passes it the time and messages, and sends and stores its output.

`ConsensusDriver` owns the driver and shares its links with it; the rest of the node writes values through it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from puffinpost.cluster import replication_status
from puffinpost.cluster.frames import register_messages
from puffinpost.cluster.links import Links
from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.cluster.replication_writer import ReplicaWriter
from puffinpost.config.cluster import ClusterConfig
from puffinpost.observability import log
from puffinpost.replication import messages
from puffinpost.replication.member import Member
from puffinpost.replication.member_config import MemberConfig
from puffinpost.replication.row_values import RowValue
from puffinpost.replication.rows import RowKey

CAPABILITY = "replica"  # in the `Hello` of a node that understands replication messages
MIN_TICK_INTERVAL_S = 0.002
NS_PER_S = 1e9
NS_PER_MS = 1_000_000
BYTES_PER_KIB = 1024
MS_PER_S = 1000


class ReplicationDriver:
    """This node's replicas. ``on_rows_changed`` is called with the keys whose rows have changed."""

    def __init__(
        self,
        config: ClusterConfig,
        seed: int,
        links: Links,
        count: Callable[[str], None],
        on_rows_changed: Callable[[set[RowKey]], None],
    ) -> None:
        register_messages(messages.Message)
        self.config = config
        self.links = links
        self.count = count
        self.on_rows_changed = on_rows_changed
        store = ReplicaStore(config.folder, self._on_store_unreadable) if config.folder is not None else None
        positions, rows = store.read() if store is not None else ([], [])
        self.is_first_start = not positions  # this node has never stored replicated state
        rng = random.Random(f"{seed}.{config.member_config.name}.replica")
        self.member = Member(
            _member_config(config), rng, self.now_ns(), self.wall_clock_ms, count, positions, rows
        )
        self.writer: ReplicaWriter | None = None
        if store is not None:
            self.writer = ReplicaWriter(store, self.member.replicas.stored_positions, count)
        self.timer: asyncio.TimerHandle | None = None
        self.scheduled_tick: asyncio.Handle | None = None

    def now_ns(self) -> int:
        """Returns monotonic time in ns, including time while the machine or this process was suspended."""
        return int(time.clock_gettime_ns(time.CLOCK_BOOTTIME) * self.config.clock_rate)

    def wall_clock_ms(self) -> int:
        """Returns Unix time in ms."""
        offset_ms = self.test_override("wall-off")
        return time.time_ns() // NS_PER_MS + int(offset_ms[0] if offset_ms else 0)

    def test_override(self, name: str) -> list[float]:
        """Returns numbers that a fault test has written to a file for this process; empty in production."""
        if self.config.test_override_folder is None:
            return []
        try:
            return [float(number) for number in (self.config.test_override_folder / name).read_text().split()]
        except (OSError, ValueError):
            return []

    def start(self, hello: Callable[[], msgspec.Struct]) -> None:
        """Sends ``Hello`` to this node's neighbours, and starts the timer."""
        for name in self.member.config.neighbours():
            self.links.send(name, hello())
        self._tick()

    async def stop(self) -> None:
        """Stops the timer, and writes what is pending."""
        if self.timer is not None:
            self.timer.cancel()
        if self.writer is not None:
            await self.writer.close()

    # --- events -------------------------------------------------------------------------------------

    def on_connected(self, name: str) -> None:
        """A link to a node that supports replication was established."""
        self._run_guarded(lambda: self.member.on_connected(name, self.now_ns()))

    @staticmethod
    def is_supported_by(capabilities: tuple[str, ...]) -> bool:
        """Returns whether a node with these capabilities understands replication; others are sent nothing."""
        return CAPABILITY in capabilities

    def receive(self, sender: str, message: msgspec.Struct) -> bool:
        """Handles a replication message. Returns False for any other message."""
        if not isinstance(message, messages.ReplicationMessage):
            return False
        self._run_guarded(
            lambda: self.member.receive(sender, message, self.now_ns())  # type: ignore[arg-type]
        )
        return True

    def write(self, kind: str, key: str, value: RowValue | None) -> None:
        """Writes this node's value under a key; None deletes it. Writes of one loop iteration are batched."""
        self.member.now_ns = self.now_ns()
        self.member.write(kind, key, value)
        if self.scheduled_tick is None:
            self.scheduled_tick = asyncio.get_running_loop().call_soon(self._tick_after_writes)

    def _tick_after_writes(self) -> None:
        self.scheduled_tick = None
        self._tick()

    def _run_guarded(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception:  # noqa: BLE001 (a defect must not end the link: one message is lost, as any may be)
            self.count("cluster_exceptions")
            log.exception("replication message failed")
        self._tick()

    def _tick(self) -> None:
        """Runs the member's due work, passes on its output, and sets the timer to its next deadline."""
        member = self.member
        try:
            member.tick(self.now_ns())
        except Exception:  # noqa: BLE001 (a defect must not end the node: the next tick goes on)
            self.count("cluster_exceptions")
            log.exception("replication tick failed")
        output = member.take_output()
        for name, message in output.messages:
            self.links.send(name, message)
        if output.changes and self.writer is not None:
            self.writer.enqueue(output.changes)
        self._set_timer()
        if output.changed_keys:
            self.on_rows_changed(output.changed_keys)

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        delay_s = (self.member.next_deadline() - self.now_ns()) / NS_PER_S / self.config.clock_rate
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(MIN_TICK_INTERVAL_S, delay_s), self._tick)

    def _on_store_unreadable(self, problem: str) -> None:
        self.count("replica_set_aside")
        log.info("replica store unreadable, renamed; state is requested from peers", reason=problem)

    # --- operators ----------------------------------------------------------------------------------

    def answer(self, subject: str) -> Any:
        """Returns the status of this node, or the rows of a kind or an origin, as values for JSON."""
        if subject:
            return replication_status.matching_rows(self.member.replicas, subject)
        return replication_status.node_status(self.member, self.now_ns())


def _member_config(config: ClusterConfig) -> MemberConfig:
    return MemberConfig(
        config.member_config.name,
        config.member_config.members,
        config.replica.rate_kib * BYTES_PER_KIB,
        tombstone_retention_ms=int(config.replica.remember_s * MS_PER_S),
    )
