"""The small cases that the model checker walks in every order, and how much may happen in each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each thing may happen in one history, and how many states are walked at most."""

    elections: int = 2
    proposals: int = 2
    heartbeats: int = 1
    renewals: int = 1
    crashes: int = 1
    ticks: int = 3
    votes_only: bool = False  # all messages but votes are dropped
    max_states: int = 3_000_000


# From a cluster that has just started: who may lead, over a crash.
VOTE = Bounds(elections=2, proposals=0, heartbeats=0, renewals=0, crashes=1, ticks=0, max_states=60_000)
# From one that has a leader, a version and leases: who may act, over an election and a cut or a pause.
LEASE = Bounds(elections=1, proposals=1, heartbeats=0, renewals=1, crashes=0, ticks=3, max_states=120_000)


@dataclass(frozen=True, slots=True)
class Case:
    """A case. ``settled``: begins with a leader, a version and leases; ``quick``: part of a quick check."""

    name: str
    bounds: Bounds
    settled: bool
    quick: bool


CASES = (
    Case("two elections and a crash, votes alone", Bounds(2, 0, 0, 0, 1, 0, votes_only=True), False, True),
    Case("a proposal, a renewal, three ticks", Bounds(0, 1, 0, 1, 0, 3), True, True),
    Case("three elections and a crash, votes alone", Bounds(3, 0, 0, 0, 1, 0, votes_only=True), False, False),
    Case("an election, a renewal, two ticks", Bounds(1, 0, 0, 1, 0, 2), True, False),
    Case("an election, a proposal, three ticks", Bounds(1, 1, 0, 0, 0, 3, max_states=600_000), True, False),
    Case("two elections, a proposal and a crash", Bounds(2, 1, 0, 0, 1, 0, max_states=600_000), False, False),
)
