"""A simulated discovery service, which processes the calls of all nodes one at a time on a virtual clock.

The fleet changes its endpoint list and injects faults: the service can be slow, down or stalled, lag behind,
and restart with another version number. The pollers of the nodes call it, and it reports the calls and its
answers to the drain rule.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from puffinpost.discovery.watch import CallFailure, DiscoveryCall
from puffinpost.emulator.fleet.clock import LINK_DELAY_NS, MS, Clock, S
from puffinpost.emulator.fleet.drain_rule import Change, DrainRule

QUEUE_TIMEOUT_NS = 2 * S  # a call that would be queued for longer fails

ListDocument = dict[str, Any]  # an endpoint list, or one entry of it, in discovery's format


@dataclass(slots=True)
class EndpointRecord:
    """One endpoint of the true list, which discovery may not have received yet."""

    name: str
    status: str = "up"
    since_ms: int = 0
    change: Change | None = None  # the latest

    def document(self) -> ListDocument:
        """The endpoint's entry in discovery's format."""
        return {
            "name": self.name,
            "address": "127.0.0.1:9000",
            "zone": "amman",
            "type": "large",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


@dataclass(frozen=True, slots=True)
class VersionedEntry:
    """An entry of the list, and the version of the list that it was published with."""

    version: int
    document: ListDocument


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that discovery received. ``on_result`` gets the answer, or the reason why there is none."""

    node: int
    call: DiscoveryCall
    on_result: Callable[[CallFailure | ListDocument], None]
    watching: bool = False  # it has left the queue, and waits for a change
    muted: bool = False  # it will never be answered
    closed: bool = False


@dataclass(slots=True)
class SimulatedDiscovery:
    """The service. ``watch_cost_ns``: time to process a watch; ``lag_ns``: its delay behind the true list."""

    clock: Clock
    rule: DrainRule
    watch_cost_ns: int
    lag_ns: int = 0
    version: int = 1
    last_change: int = 0  # the number of the newest change that it has received
    entries: dict[str, VersionedEntry] = field(default_factory=dict)
    busy_until_ns: int = 0
    down: bool = False
    stalled: bool = False
    pending_calls: list[PendingCall] = field(default_factory=list)
    received_ns: dict[int, int] = field(default_factory=dict)  # by the change's number
    reachable_since_ns: int | None = 0  # None: it cannot be reached
    stalled_since_ns: int | None = None
    node_count: int = 0  # nodes that poll it; 0: it has capacity for any number
    snapshot_cost_factor: float = 1.0  # the cost of a full list, in watches

    def add_endpoints(self, records: list[EndpointRecord]) -> None:
        """Adds endpoints to the initial list."""
        for record in records:
            self.entries[record.name] = VersionedEntry(self.version, record.document())

    def publish(self, batch: list[EndpointRecord]) -> None:
        """Receives a change of the true list after ``lag_ns``, and answers the watches that wait for it."""
        changes = [
            (record.document(), record.change.number if record.change is not None else 0) for record in batch
        ]
        self.clock.call_later(self.lag_ns, lambda: self._apply(changes))

    def _apply(self, changes: list[tuple[ListDocument, int]]) -> None:
        self.version += 1
        for document, number in changes:
            self.entries[document["name"]] = VersionedEntry(self.version, document)
            self.last_change = max(self.last_change, number)
            self.received_ns.setdefault(number, self.clock.now_ns)
        if self.down or self.stalled:
            return
        for pending in [each for each in self.pending_calls if each.watching]:
            self._answer_if_changed(pending)

    # --- calls ----------------------------------------------------------------------------------------

    def accept(self, pending: PendingCall) -> None:
        """Receives a call and queues it behind the others."""
        if self.down:
            return
        now_ns = self.clock.now_ns
        self.rule.call_received(pending.node, pending.call.wait_ms * MS, now_ns)
        self.pending_calls.append(pending)
        if self.stalled:
            return
        starts_ns = max(now_ns, self.busy_until_ns)
        if starts_ns - now_ns > QUEUE_TIMEOUT_NS:
            self.clock.call_later(QUEUE_TIMEOUT_NS, lambda: self._fail(pending, CallFailure.OVERLOADED))
            return
        factor = self.snapshot_cost_factor if pending.call.after is None else 1.0
        self.busy_until_ns = starts_ns + int(self.watch_cost_ns * factor)
        self.clock.call_later(self.busy_until_ns - now_ns, lambda: self._process(pending))

    def close_call(self, pending: PendingCall) -> None:
        """Drops a call; it will not be answered."""
        pending.closed = True
        if pending in self.pending_calls:
            self.pending_calls.remove(pending)

    def calls_of(self, node: int) -> list[PendingCall]:
        """The pending calls of a node."""
        return [pending for pending in self.pending_calls if pending.node == node]

    def close_calls_of(self, node: int) -> None:
        """Drops a node's pending calls."""
        for pending in self.calls_of(node):
            self.close_call(pending)

    def _process(self, pending: PendingCall) -> None:
        if pending.closed or pending.muted or self.stalled:
            return
        if pending.call.after is None:
            self._answer(pending, True, list(self.entries.values()))
            return
        pending.watching = True
        self._answer_if_changed(pending)
        if not pending.closed:
            self.clock.call_later(pending.call.wait_ms * MS, lambda: self._wait_elapsed(pending))

    def _wait_elapsed(self, pending: PendingCall) -> None:
        if not (pending.closed or pending.muted or self.stalled):
            # Changes may have arrived while discovery was stalled.
            self._answer(pending, False, self._changes_for(pending))

    def _answer_if_changed(self, pending: PendingCall) -> None:
        if pending.muted:
            return
        if changes := self._changes_for(pending):
            self._answer(pending, False, changes)

    def _changes_for(self, pending: PendingCall) -> list[VersionedEntry]:
        after = pending.call.after or 0
        return [entry for entry in self.entries.values() if entry.version > after]

    def _answer(self, pending: PendingCall, snapshot: bool, entries: list[VersionedEntry]) -> None:
        newer_calls = self.pending_calls[self.pending_calls.index(pending) + 1 :]
        newer_call_open = any(newer.node == pending.node for newer in newer_calls)
        self.close_call(pending)
        documents = [
            entry.document for entry in entries if not (snapshot and entry.document["status"] == "removed")
        ]
        answer = {"index": self.version, "snapshot": snapshot, "endpoints": documents}
        endpoints = None if snapshot else {document["name"] for document in documents}
        self.rule.answer_written(
            pending.node, self.last_change, self.clock.now_ns, endpoints, newer_call_open
        )
        self.clock.call_later(LINK_DELAY_NS, lambda: pending.on_result(answer))

    def _fail(self, pending: PendingCall, failure: CallFailure) -> None:
        if not pending.closed:
            self.close_call(pending)
            self.rule.call_failed(pending.node, self.clock.now_ns)
            self.clock.call_later(LINK_DELAY_NS, lambda: pending.on_result(failure))

    # --- faults ---------------------------------------------------------------------------------------

    def restart(self, version: int) -> None:
        """Replaces the process by another one, which counts its versions from ``version``."""
        self.version = version
        self.entries = {name: VersionedEntry(version, entry.document) for name, entry in self.entries.items()}
        self._reset_calls()

    def set_watch_cost(self, cost_ns: int) -> None:
        """Changes the time to process a watch from now on.

        While the service cannot answer one watch of every node within the queue timeout, some nodes cannot
        reach it, whatever they do. After that it stays unreachable until its backlog is processed.
        """
        self.watch_cost_ns = cost_ns
        if cost_ns * self.node_count > QUEUE_TIMEOUT_NS:
            self.reachable_since_ns = None
        elif self.reachable_since_ns is None:
            self.reachable_since_ns = max(self.clock.now_ns, self.busy_until_ns)

    def go_down(self) -> None:
        """Refuses new connections, and resets the open ones."""
        self.down, self.reachable_since_ns = True, None
        self._reset_calls()

    def stall(self) -> None:
        """Accepts connections, but answers no call."""
        self.stalled, self.reachable_since_ns = True, None
        self.stalled_since_ns = self.clock.now_ns

    def recover(self) -> None:
        """Ends the fault; the service can be reached again."""
        self.down = self.stalled = False
        self.reachable_since_ns = self.clock.now_ns
        self.set_watch_cost(self.watch_cost_ns)

    def mute_pending_calls(self) -> None:
        """Leaves the pending calls unanswered for ever; later calls are served as before."""
        for pending in self.pending_calls:
            pending.muted = True

    def _reset_calls(self) -> None:
        """Fails all pending calls. A node between an answer and its next call counts as not watching."""
        self.rule.discovery_reset()
        for pending in list(self.pending_calls):
            self._fail(pending, CallFailure.FAILED)
