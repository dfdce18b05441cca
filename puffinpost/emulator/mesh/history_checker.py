"""Checks the history of a cluster against the invariants of consensus, after the fact (K. Kingsbury, Jepsen).

A history is a list of events on one clock. Each check returns the first violation of its invariant, with the
few events that show it, or nothing; it changes nothing and needs no running cluster.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

DRAIN_GRACE_NS = 500_000_000  # nothing new may be sent to an endpoint this long after it begins to drain


class EventKind(StrEnum):
    """The kinds of events that the checks read; a history may hold others."""

    UP = "up"  # a node starts
    ACT = "act"  # a node accepted a request under a version of a document
    ACCEPTED = "accepted"  # a proposal was accepted, as ``version``
    REJECTED = "rejected"
    ASKED = "asked"  # a client sent a request
    ANSWERED = "answered"  # and got its final answer
    SENT = "sent"  # something new was sent to an endpoint
    BANNED = "banned"  # all nodes agreed that an endpoint is banned or drains
    LIFTED = "lifted"
    FAULT = "fault"  # a fault was injected
    MENDED = "mended"  # and ended


class Event(msgspec.Struct, frozen=True):
    """Something that a node did, at a time of the one clock.

    ``version``: the number of the version of ``document`` that the node acted on, with ``content_hash``;
    ``shared_version``: the version that all nodes act on together then, which a staged version is beyond.
    ``subject``: the proposal, request, endpoint or fault that the event is about. Names on disk are short.
    """

    time_ns: int = msgspec.field(name="t")
    node: str
    kind: str
    document: str = msgspec.field(default="", name="doc")
    version: int = msgspec.field(default=0, name="number")
    content_hash: str = msgspec.field(default="", name="hash")
    shared_version: int = msgspec.field(default=0, name="shared")
    subject: str = msgspec.field(default="", name="ident")


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that does not hold, and the events that show it."""

    invariant: str
    events: tuple[Event, ...]

    def describe(self) -> str:
        """The invariant, then the events, in seconds from the first."""
        began_ns = self.events[0].time_ns if self.events else 0
        return "\n".join([self.invariant, *(_event_line(event, began_ns) for event in self.events)])


def _event_line(event: Event, began_ns: int) -> str:
    seconds = (event.time_ns - began_ns) / 1e9
    line = (
        f"  {seconds:8.3f} s  {event.node:6} {event.kind} {event.document} {event.version or ''}"
        f" {event.content_hash[:8]} {event.subject}"
    )
    return line.rstrip()


@dataclass(frozen=True, slots=True)
class Contradiction:
    """For how long a node acted on an old version after the first had acted on a newer one."""

    duration_ns: int = 0
    events: tuple[Event, ...] = ()


def acts_in_order(events: Iterable[Event]) -> list[Event]:
    """The acts of all nodes, in the order of time."""
    return sorted((event for event in events if event.kind == EventKind.ACT), key=lambda act: act.time_ns)


def longest_contradiction(events: Iterable[Event]) -> Contradiction:
    """The longest over all documents. Versions are compared by ``shared_version``."""
    longest = Contradiction()
    first_acts: dict[str, list[Event]] = defaultdict(list)  # by document: the first on each newer version
    for act in acts_in_order(events):
        firsts = first_acts[act.document]
        if not firsts or act.shared_version > firsts[-1].shared_version:
            firsts.append(act)
            continue
        newer = next((first for first in firsts if first.shared_version > act.shared_version), None)
        if newer is not None and act.time_ns - newer.time_ns > longest.duration_ns:
            longest = Contradiction(act.time_ns - newer.time_ns, (newer, act))
    return longest


def check_contradictions(events: list[Event], within_ns: int) -> list[Violation]:
    """No two nodes act on contradicting versions for longer than ``within_ns``."""
    longest = longest_contradiction(events)
    if longest.duration_ns <= within_ns:
        return []
    apart_s, within_s = longest.duration_ns / 1e9, within_ns / 1e9
    text = f"two versions were acted on {apart_s:.3f} s apart, over {within_s:.3f} s"
    return [Violation(text, longest.events)]


def check_unique_contents(events: list[Event]) -> list[Violation]:
    """Each version has one content."""
    first_acts: dict[tuple[str, int], Event] = {}
    for event in events:
        if event.kind == EventKind.ACT and event.version:
            first = first_acts.setdefault((event.document, event.version), event)
            if first.content_hash != event.content_hash:
                return [Violation("a version has two contents", (first, event))]
    return []


def check_monotonic_versions(events: list[Event]) -> list[Violation]:
    """A node never returns to an older version, also over restarts."""
    last_acts: dict[tuple[str, str], Event] = {}
    for act in acts_in_order(events):
        before = last_acts.get((act.node, act.document))
        if before is not None and act.shared_version < before.shared_version:
            return [Violation("a node went back to an older version", (before, act))]
        last_acts[act.node, act.document] = act
    return []


def check_accepted_versions(events: list[Event], settled_ns: int) -> list[Violation]:
    """No accepted version is lost: from ``settled_ns`` on, acts are on the last one or on a newer version."""
    newest: dict[str, Event] = {}  # by document
    for event in events:
        if event.kind == EventKind.ACCEPTED:
            known = newest.get(event.document)
            if known is None or event.version > known.version:
                newest[event.document] = event
    for event in events:
        accepted = newest.get(event.document)
        if event.kind != EventKind.ACT or event.time_ns < settled_ns or accepted is None:
            continue
        if event.shared_version < accepted.version:
            return [Violation("an accepted version was lost", (accepted, event))]
    return []


def check_rejected_proposals(events: list[Event]) -> list[Violation]:
    """No node acts on a rejected proposal. ``subject`` of an act is the proposal of its version."""
    rejected = {event.subject: event for event in events if event.kind == EventKind.REJECTED}
    for event in events:
        if event.kind == EventKind.ACT and event.subject in rejected:
            return [Violation("a rejected proposal is acted on", (rejected[event.subject], event))]
    return []


def check_single_answers(events: list[Event]) -> list[Violation]:
    """Each request that a running node took has one final answer."""
    requests = {event.subject: event for event in events if event.kind == EventKind.ASKED}
    counts = Counter(event.subject for event in events if event.kind == EventKind.ANSWERED)
    for subject, request in requests.items():
        if counts[subject] != 1:
            return [Violation(f"a message has {counts[subject]} answers", (request,))]
    return []


def check_banned_endpoints(events: list[Event], within_ns: int) -> list[Violation]:
    """Nothing new is sent to an endpoint that has been banned for the grace and ``within_ns``."""
    banned: dict[str, Event] = {}
    for event in sorted(events, key=lambda event: event.time_ns):
        if event.kind == EventKind.BANNED:
            banned.setdefault(event.subject, event)
        elif event.kind == EventKind.LIFTED:
            banned.pop(event.subject, None)
        elif event.kind == EventKind.SENT and event.subject in banned:
            first = banned[event.subject]
            if event.time_ns - first.time_ns > within_ns + DRAIN_GRACE_NS:
                return [Violation("something new went to a banned transcriber", (first, event))]
    return []


def check_history(events: list[Event], within_ns: int, settled_ns: int) -> list[Violation]:
    """Checks all invariants. ``settled_ns``: the time from which all nodes act on what was accepted."""
    return [
        *check_contradictions(events, within_ns),
        *check_unique_contents(events),
        *check_monotonic_versions(events),
        *check_accepted_versions(events, settled_ns),
        *check_rejected_proposals(events),
        *check_single_answers(events),
        *check_banned_endpoints(events, within_ns),
    ]
