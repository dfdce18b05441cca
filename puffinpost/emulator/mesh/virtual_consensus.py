"""A consensus cluster on a virtual clock: the program's own members, an in-memory network, disks and faults.

Fault schedules and tests drive it; one seed is one history (after FoundationDB's simulation).
It opens no socket and reads no real clock.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from typing import Any

from puffinpost.consensus.member import Member
from puffinpost.consensus.messages import Hello, Message, Propose
from puffinpost.emulator.mesh.history_checker import Event, EventKind
from puffinpost.emulator.mesh.virtual_node import (
    DEFAULT_SETTINGS,
    CrashPoint,
    Disk,
    VirtualClusterSettings,
    VirtualNode,
    create_node,
)
from puffinpost.emulator.virtual_time import MS, S, VirtualTime

__all__ = ["MS", "S", "VirtualCluster", "VirtualClusterSettings"]

ACT_INTERVAL_NS = 100 * MS  # the mean time between requests at a node
MEAN_LATENCY_NS = 2 * MS
MIN_LATENCY_NS = MS // 2
SETTINGS_DOCUMENT = "settings"
FORGETS_VOTES = "no_vote"  # the planted fault of a disk

ContentCheck = Callable[[str, str, Any], str]  # node, document, content: the problem, empty for none


def accept_all(node: str, document: str, content: Any) -> str:
    """The check of nodes that can act on every content."""
    del node, document, content
    return ""


class VirtualCluster:
    """The cluster; all nodes are started. ``events`` is its history."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 2,
        settings: VirtualClusterSettings = DEFAULT_SETTINGS,
        check: ContentCheck = accept_all,
    ) -> None:
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.events: list[Event] = []
        self.check, self.settings = check, settings
        self.cut: set[tuple[str, str]] = set()
        self.delay_ns: dict[tuple[str, str], int] = {}
        self.messages_sent = 0
        names = tuple(f"n{number}" for number in range(voters + followers))
        self.nodes = {name: create_node(name, names, names[:voters], settings, self.rng) for name in names}
        for name in names:
            self.start(name)

    # --- time -----------------------------------------------------------------------------------------

    @property
    def now(self) -> int:
        """The time of the cluster's one clock, in ns."""
        return self.time.now_ns

    def at(self, when_ns: int, callback: Callable[[], None]) -> None:
        """Schedules a callback."""
        self.time.at(when_ns, callback)

    def run(self, span_ns: int) -> VirtualCluster:
        """Advances time."""
        self.time.run_until(self.now + span_ns)
        return self

    # --- processes ------------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        """Starts a node's process, with what is on its disk."""
        node = self.nodes[name]
        is_voter = name in node.config.voters
        member = Member(
            node.config,
            node.disk.identity,
            node.disk.persistent_state() if is_voter else None,
            random.Random(self.rng.random()),
            node.local_time(self.now),
            functools.partial(self.check, name),
        )
        for document in node.disk.documents.values():
            member.active_versions.update(document)
        node.member, node.deferred, node.crash_point = member, None, None
        node.incarnation += 1
        node.next_tick_ns = None
        self.record(name, EventKind.UP)
        self._greet_voters(node, member, is_voter)
        self._tick(node, node.incarnation)
        self._act(node, node.incarnation)

    def _greet_voters(self, node: VirtualNode, member: Member, is_voter: bool) -> None:
        name = node.config.name
        for voter in node.config.voters:
            if voter == name:
                continue
            self.send(name, voter, member.hello())
            other = self.nodes[voter].member
            if other is not None and is_voter:
                self.send(voter, name, other.hello())

    def kill(self, name: str, folder: bool = True) -> None:
        """Kills a process; without ``folder`` its disk is lost too."""
        node = self.nodes[name]
        node.member, node.deferred = None, None
        if not folder:
            node.disk = Disk(f"{name}.{node.incarnation}")

    def pause(self, name: str, span_ns: int) -> None:
        """Stops a process, and resumes it after this time."""
        node = self.nodes[name]
        if node.member is None or node.deferred is not None:
            return
        deferred: list[Callable[[], None]] = []
        node.deferred, incarnation = deferred, node.incarnation

        def resume() -> None:
            if node.runs(incarnation) and node.deferred is deferred:
                node.deferred = None
                self._act(node, incarnation, repeat=False)  # its first instruction may be a send
                self.rng.shuffle(deferred)
                for callback in deferred:
                    callback()

        node.resume = resume
        self.at(self.now + span_ns, resume)

    def _step(self, node: VirtualNode, incarnation: int, call: Callable[[Member, int], None]) -> None:
        """Lets a process take a step, then writes and sends what comes of it."""
        if not node.runs(incarnation) or node.member is None:
            return
        if node.deferred is not None:
            node.deferred.append(lambda: self._step(node, incarnation, call))
            return
        call(node.member, node.local_time(self.now))
        for _ in range(2):  # what has been written may commit more, which is sent at once
            if not self._persist_and_send(node, node.member):
                return

    def _persist_and_send(self, node: VirtualNode, member: Member) -> bool:
        """Handles the member's output; false where the process crashed at the write."""
        name = node.config.name
        output = member.take_output()
        is_durable = output.ready.must_persist() or bool(output.updated_documents)
        if is_durable and node.crash_point is CrashPoint.BEFORE_WRITE:
            self.kill(name)
            return False
        node.disk.write(output.ready, member, FORGETS_VOTES in self.settings.planted_faults)
        for document in output.updated_documents:
            node.disk.documents[document.name] = document
        if is_durable and node.crash_point is CrashPoint.AFTER_WRITE:
            self.kill(name)
            return False
        for target, message in [*output.ready.messages, *output.replies]:
            self.send(name, target, message)
        member.persisted(output)
        return True

    def _tick(self, node: VirtualNode, incarnation: int) -> None:
        if not node.runs(incarnation):
            return
        node.next_tick_ns = None
        self._step(node, incarnation, lambda member, now: member.tick(now))
        self._schedule_tick(node, incarnation)

    def _schedule_tick(self, node: VirtualNode, incarnation: int) -> None:
        """Schedules the next tick for when something is due, unless one is scheduled before that."""
        if node.member is None or not node.runs(incarnation):
            return
        wait_ns = (node.member.next_due_ns() - node.local_time(self.now)) / node.rate
        due_ns = self.now + max(MS, int(wait_ns))
        if node.next_tick_ns is None or due_ns < node.next_tick_ns:
            node.next_tick_ns = due_ns
            self.at(due_ns, lambda: self._run_tick(node, incarnation, due_ns))

    def _run_tick(self, node: VirtualNode, incarnation: int, due_ns: int) -> None:
        if node.next_tick_ns == due_ns:  # no earlier tick has replaced this one
            self._tick(node, incarnation)

    # --- the network ----------------------------------------------------------------------------------

    def send(self, sender: str, target: str, message: Message) -> None:
        """Sends a message; it is lost where the link is cut when it is sent or when it arrives."""
        self.messages_sent += 1
        if (sender, target) in self.cut or target not in self.nodes:
            return
        identity = self.nodes[sender].disk.identity
        delay_ns = self.delay_ns.get((sender, target), 0)
        delay_ns += int(self.rng.expovariate(1 / MEAN_LATENCY_NS)) + MIN_LATENCY_NS
        self.at(self.now + delay_ns, lambda: self._deliver(sender, identity, target, message))

    def _deliver(self, sender: str, identity: str, target: str, message: Message) -> None:
        node = self.nodes[target]
        if node.member is None or (sender, target) in self.cut:
            return
        incarnation = node.incarnation
        if isinstance(message, Hello) and message.can_vote and not message.voters:
            own_hello = node.member.hello()
            if own_hello.voters:
                self.send(target, sender, own_hello)
        self._step(node, incarnation, lambda member, now: member.receive(sender, identity, message, now))
        self._schedule_tick(node, incarnation)

    def cut_links(self, side: set[str], other_side: set[str], one_way: bool = False) -> None:
        """Cuts the links from one side to the other, and back unless ``one_way``."""
        for sender in side:
            for target in other_side:
                self.cut.add((sender, target))
                if not one_way:
                    self.cut.add((target, sender))

    def heal(self) -> None:
        """Restores all links, and starts or resumes all processes."""
        self.cut.clear()
        self.delay_ns.clear()
        for name, node in self.nodes.items():
            node.crash_point = None
            if node.member is None:
                self.start(name)
            node.resume()

    # --- clients and operators --------------------------------------------------------------------------

    def record(self, node: str, kind: EventKind, **fields: Any) -> None:
        """Adds an event to the history."""
        self.events.append(Event(self.now, node, kind, **fields))

    def _act(self, node: VirtualNode, incarnation: int, repeat: bool = True) -> None:
        """A client's request arrives: the node acts if it holds a lease; the next request follows."""
        if not node.runs(incarnation) or node.member is None:
            return
        if node.deferred is None:
            self._record_act(node, node.member)
        if repeat:
            wait_ns = ACT_INTERVAL_NS // 2 + self.rng.randrange(ACT_INTERVAL_NS)
            self.at(self.now + wait_ns, lambda: self._act(node, incarnation))

    def _record_act(self, node: VirtualNode, member: Member) -> None:
        version = member.active_versions.version()
        document = member.active_versions.documents.get(SETTINGS_DOCUMENT)
        if version is None or document is None or not member.can_start("", node.local_time(self.now)):
            return
        self.record(
            node.config.name,
            EventKind.ACT,
            document=SETTINGS_DOCUMENT,
            version=version.number,
            content_hash=version.hash,
            shared_version=document.latest_number(),
            subject=version.proposal_id,
        )

    def propose(self, name: str, content: Any, share: float = 1.0, document: str = SETTINGS_DOCUMENT) -> str:
        """Proposes a content at a node, as an operator does; returns the proposal's id."""
        node = self.nodes[name]
        proposal_id = f"p{self.time.scheduled_count}"
        proposal = Propose(proposal_id, document, content, author="op", share=share)
        self._step(node, node.incarnation, lambda member, _now: member.propose(proposal))
        return proposal_id

    def proposal_outcome(self, proposal_id: str) -> tuple[str, str] | None:
        """A proposal's outcome and problem, as any node knows them; None while it is undecided."""
        for node in self.nodes.values():
            if node.member is not None and (outcome := node.member.outcome(proposal_id)) is not None:
                return outcome
        return None

    def record_outcomes(self) -> None:
        """Records the outcomes of proposals, as the node that has applied most knows them."""
        documents = [node.member.documents for node in self.nodes.values() if node.member is not None]
        longest = max(documents, key=lambda each: each.state.applied_index)
        for outcome in longest.state.outcomes:
            if outcome.outcome in (EventKind.ACCEPTED, EventKind.REJECTED):
                self.record(
                    "",
                    EventKind(outcome.outcome),
                    document=outcome.document,
                    version=outcome.number,
                    subject=outcome.proposal_id,
                )
