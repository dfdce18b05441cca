"""Checks the platform's drain rule against the first bytes that the nodes of a fleet send.

A node must not send a new request to an endpoint more than 500 ms (plus 50 ms of slack on sockets) after it
was notified that the endpoint is draining or removed. A node counts as notified of a change (the protocol
page, Discovery, The rules on sockets) when:

- discovery wrote the change to the node; or
- the node watches, and 2 s have passed since the wait of its call ended (6 s since a call that may not wait,
  or since discovery stalled during the call), whether the answer arrived or not; or the change was made
  within 200 ms after the last answer to its watch;
- or the node has neither watched nor polled for ``Rules.AskWithinNs`` (four times that after a call that
  failed): then it counts as notified of the list as it was when that time began;
- or, in every other case, 6 s have passed since discovery had the change and could be reached. The standing
  page says so of a call that failed, was refused or abandoned; here it applies in every case, also to a
  process that replaces one that died;
- or 4 s have passed since a new configuration named another discovery that had the change (the pages of
  growth).

Times are in ns on one clock. Callers report events in chronological order; violations are recorded, not
prevented.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from typing import Protocol

MS = 1_000_000
GRACE_NS = 500 * MS
SLACK_NS = 50 * MS
WATCH_LINGER_NS = 200 * MS  # a watch still counts as open for this long after its answer
POLL_NOTIFIED_NS = 6_000 * MS  # after a call that may not wait
WATCH_NOTIFIED_NS = 2_000 * MS  # after the wait of a call that may wait
REDIRECT_NOTIFIED_NS = 4_000 * MS  # after a new configuration named another discovery
FAILED_POLL_FACTOR = 4


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the true endpoint list. Changes are numbered from 1."""

    number: int
    at_ns: int
    endpoint: str
    accepts_sessions: bool


@dataclass(frozen=True, slots=True)
class Violation:
    """The first byte of an attempt, sent ``late_ns`` after the node counted as notified."""

    node: int
    endpoint: str
    at_ns: int
    late_ns: int


class PolledDiscovery(Protocol):
    """The discovery that a node polls.

    ``received_ns`` is when it received each change, by the change's number; ``reachable_since_ns`` is None
    while it cannot be reached; ``stalled_since_ns`` is when it last stopped answering.
    """

    received_ns: dict[int, int]
    reachable_since_ns: int | None
    stalled_since_ns: int | None


@dataclass(frozen=True, slots=True)
class OpenCall:
    """An unanswered call, and the latest time at which the node counts as notified by it."""

    made_ns: int
    notified_by_ns: int


class NodeNotifications:
    """The changes that one node counts as notified of, and since when."""

    def __init__(self, began_ns: int, poll_within_ns: int, discovery: PolledDiscovery | None = None) -> None:
        self.poll_within_ns = poll_within_ns
        self.discovery = discovery
        self.latest_changes: dict[str, Change] = {}  # by endpoint
        self.unavailable_since_ns: dict[str, int] = {}  # by endpoint
        self.watching = False
        self.open_calls: list[OpenCall] = []
        self.idle_since_ns = began_ns  # when its last watch or poll ended
        self.last_call_failed = False
        self.last_answer_ns: int | None = None  # to a watch
        # The changes of a new discovery, and when the node counts as notified of each.
        self.redirect_changes: list[tuple[Change, int]] = []

    def notify(self, change: Change, at_ns: int) -> None:
        """Records that the node counts as notified of a change at this time; ignores an outdated change."""
        latest = self.latest_changes.get(change.endpoint)
        if latest is not None and latest.number >= change.number:
            return
        self.latest_changes[change.endpoint] = change
        if change.accepts_sessions:
            self.unavailable_since_ns.pop(change.endpoint, None)
        else:
            self.unavailable_since_ns.setdefault(change.endpoint, at_ns)

    def presumed_notified_ns(self, change: Change) -> int | None:
        """When the node counts as notified of a change that was not written to it; None: not yet known."""
        answered_ns = self.last_answer_ns
        if answered_ns is not None and answered_ns <= change.at_ns < answered_ns + WATCH_LINGER_NS:
            return change.at_ns
        times = (self._presumed_by_timeout(change), self._presumed_by_reachability(change))
        return min((at_ns for at_ns in times if at_ns is not None), default=None)

    def _presumed_by_timeout(self, change: Change) -> int | None:
        if self.open_calls:
            call = self.open_calls[-1]
            notified_by_ns = call.notified_by_ns
            stalled_ns = self.discovery.stalled_since_ns if self.discovery is not None else None
            if stalled_ns is not None and stalled_ns >= call.made_ns:
                notified_by_ns = max(notified_by_ns, stalled_ns + POLL_NOTIFIED_NS)
            return max(change.at_ns, notified_by_ns)
        span_ns = self.poll_within_ns * (FAILED_POLL_FACTOR if self.last_call_failed else 1)
        return max(change.at_ns, self.idle_since_ns) + span_ns if span_ns else None

    def _presumed_by_reachability(self, change: Change) -> int | None:
        if self.discovery is None or self.discovery.reachable_since_ns is None:
            return None
        received_ns = self.discovery.received_ns.get(change.number)
        if received_ns is None:
            return None
        return max(received_ns, self.discovery.reachable_since_ns) + POLL_NOTIFIED_NS


class DrainRule:
    """Checks the rule for a whole fleet. The caller chooses the numbers of the nodes."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self.nodes: dict[int, NodeNotifications] = {}
        self.violations: list[Violation] = []
        self.requests_sent = 0

    def node_started(
        self, number: int, began_ns: int, poll_within_ns: int, discovery: PolledDiscovery | None = None
    ) -> None:
        """A node's first process starts, with the current endpoint list."""
        node = self.nodes[number] = NodeNotifications(began_ns, poll_within_ns, discovery)
        for change in self.changes:
            node.notify(change, began_ns)

    def node_restarted(self, number: int, began_ns: int) -> None:
        """A process replaces one that died, and starts with the endpoint list of the dead one."""
        previous = self.nodes[number]
        node = self.nodes[number] = NodeNotifications(began_ns, previous.poll_within_ns, previous.discovery)
        node.latest_changes = dict(previous.latest_changes)
        node.unavailable_since_ns = dict(previous.unavailable_since_ns)

    def endpoint_changed(self, endpoint: str, accepts_sessions: bool, now_ns: int) -> Change:
        """The true endpoint list changes."""
        change = Change(len(self.changes) + 1, now_ns, endpoint, accepts_sessions)
        self.changes.append(change)
        return change

    def call_received(self, number: int, wait_ns: int, now_ns: int) -> None:
        """A call reached discovery. ``wait_ns``: how long it may wait; 0: it is not a watch."""
        node = self.nodes[number]
        self._apply_presumed_notifications(node, now_ns)
        notified_after_ns = wait_ns + WATCH_NOTIFIED_NS if wait_ns else POLL_NOTIFIED_NS
        node.open_calls.append(OpenCall(now_ns, now_ns + notified_after_ns))
        node.last_answer_ns = None
        node.watching = wait_ns > 0
        node.last_call_failed = False

    def answer_written(
        self,
        number: int,
        last_change: int,
        now_ns: int,
        endpoints: Container[str] | None = None,
        newer_call_open: bool = False,
    ) -> None:
        """Discovery wrote an answer with the changes up to ``last_change``, only of ``endpoints`` if given.

        ``newer_call_open``: a call that was made after the answered one is still open.
        """
        node = self.nodes[number]
        for change in self.changes[:last_change]:
            if endpoints is None or change.endpoint in endpoints:
                node.notify(change, now_ns)
        if newer_call_open:
            node.open_calls = node.open_calls[-1:]
            return
        node.last_answer_ns = now_ns if node.watching else None
        self._calls_ended(node, now_ns)

    def redirect_configured(self, number: int, discovery: PolledDiscovery, now_ns: int) -> None:
        """A new configuration names this discovery to a node."""
        if discovery.reachable_since_ns is None:
            return
        received = [change for change in self.changes if change.number in discovery.received_ns]
        notified_ns = now_ns + REDIRECT_NOTIFIED_NS
        self.nodes[number].redirect_changes.extend((change, notified_ns) for change in received)

    def redirect_completed(self, number: int, discovery: PolledDiscovery) -> None:
        """A node polls another discovery from now on, and has dropped its calls at the old one."""
        self.nodes[number].discovery = discovery

    def call_failed(self, number: int, now_ns: int) -> None:
        """A call ended without a list, and both sides have noticed."""
        node = self.nodes[number]
        self._apply_presumed_notifications(node, now_ns)
        node.last_call_failed, node.last_answer_ns = True, None
        self._calls_ended(node, now_ns)

    def discovery_reset(self) -> None:
        """Discovery goes down: watches that it has just answered no longer count as open."""
        for node in self.nodes.values():
            node.last_answer_ns = None

    def request_sent(self, number: int, endpoint: str, now_ns: int) -> None:
        """The first byte of an attempt was sent."""
        self.requests_sent += 1
        node = self.nodes[number]
        self._apply_presumed_notifications(node, now_ns)
        since_ns = node.unavailable_since_ns.get(endpoint)
        if since_ns is not None and now_ns > since_ns + GRACE_NS + SLACK_NS:
            self.violations.append(Violation(number, endpoint, now_ns, now_ns - since_ns))

    @staticmethod
    def _calls_ended(node: NodeNotifications, now_ns: int) -> None:
        node.open_calls.clear()
        node.idle_since_ns = now_ns
        node.watching = False

    def _apply_presumed_notifications(self, node: NodeNotifications, now_ns: int) -> None:
        """Records the changes that the node counts as notified of by now although none was written to it."""
        redirects = node.redirect_changes
        if redirects and redirects[0][1] <= now_ns:
            for change, notified_ns in redirects:
                node.notify(change, notified_ns)
        for change in self.changes:
            latest = node.latest_changes.get(change.endpoint)
            if latest is not None and latest.number >= change.number:
                continue
            at_ns = node.presumed_notified_ns(change)
            if at_ns is not None and at_ns <= now_ns:
                node.notify(change, at_ns)
