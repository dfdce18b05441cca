"""Checks consensus in every order of events, for small cases of three voters.

The voters are the program's own `Raft`; what is drawn by chance or by timers elsewhere is a choice here, and
all choices are walked breadth first, so that a counterexample is a shortest one (explicit-state checking;
G. Holzmann, "The model checker SPIN", 1997). A message may arrive at any time, in any order, or never, which
is a cut; a node may do nothing for any time, which is a pause. Time, leases and T are counted in ticks.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from puffinpost.consensus.election import start_election
from puffinpost.consensus.log_replication import broadcast_entries
from puffinpost.consensus.messages import Propose, RequestVote, RequestVoteReply
from puffinpost.consensus.raft import Raft
from puffinpost.consensus.raft_state import Role
from puffinpost.emulator.mesh.model_cases import Bounds
from puffinpost.emulator.mesh.model_state import (
    NAMES,
    GrantLease,
    InFlight,
    LeaseMessage,
    ModelState,
    RenewLease,
    StateKey,
    Voter,
    decode_message,
    describe_message,
    encode_in_flight,
    proposal_of,
)

LEASE_TICKS = 2  # how long a contact with the quorum holds
AGREE_WITHIN_TICKS = 2  # T
SETUP_BOUNDS = Bounds(elections=1, proposals=1, heartbeats=2, renewals=0, crashes=0, ticks=0)
SETUP_STEPS = ("a stands for election", "a is given a proposal", "a sends a beat")

FORGETS_VOTES, IGNORES_LEASES = "no_vote", "no_lease"  # defects that can be planted


class Transition(NamedTuple):
    """Something that may happen, the state after it, and the invariant that it violates, if any."""

    description: str
    state: ModelState
    violation: str = ""


@dataclass(frozen=True, slots=True)
class ModelCheckResult:
    """What was walked, and the shortest history that violates an invariant, if there is one.

    ``complete``: all states within the bounds were walked. ``seconds``: processor time.
    """

    states: int
    complete: bool
    seconds: float
    violation: str = ""
    trace: tuple[str, ...] = ()


class ModelChecker:
    """The walk. ``planted``: a defect that is to be found. ``settled``: begins with a leader and leases."""

    def __init__(self, bounds: Bounds, planted: str = "", settled: bool = False) -> None:
        self.bounds, self.planted = bounds, planted
        voters = tuple(Voter.initial(name) for name in NAMES)
        self.start = ModelState(voters, frozenset(), 0, (), (), bounds)
        if settled:
            self.start = replace(self._settled(), remaining=bounds)

    def run(self) -> ModelCheckResult:
        """Walks everything that can happen within the bounds, until the first violation."""
        began = time.process_time()
        reached: dict[StateKey, tuple[StateKey | None, str]] = {self.start.key(): (None, "")}
        queue = deque([self.start])
        while queue:
            state = queue.popleft()
            state_key = state.key()
            for transition in self.transitions(state):
                if transition.violation:
                    trace = _trace(reached, state_key, transition.description)
                    seconds = time.process_time() - began
                    return ModelCheckResult(len(reached), False, seconds, transition.violation, trace)
                key = transition.state.key()
                if key in reached:
                    continue
                reached[key] = state_key, transition.description
                if len(reached) >= self.bounds.max_states:
                    return ModelCheckResult(len(reached), False, time.process_time() - began)
                queue.append(transition.state)
        return ModelCheckResult(len(reached), True, time.process_time() - began)

    def _settled(self) -> ModelState:
        """The first voter leads, and all know one version and hold a lease."""
        state = replace(self.start, remaining=SETUP_BOUNDS)
        for description in SETUP_STEPS:
            state = next(each.state for each in self.transitions(state) if each.description == description)
            delivered: set[InFlight] = set()
            while waiting := sorted(state.messages - delivered):
                delivered.add(waiting[0])
                state = self._deliver(state, waiting[0]).state
        assert all(voter.version for voter in state.voters)
        voters = tuple(Voter(voter.raft, LEASE_TICKS, voter.version) for voter in state.voters)
        return replace(state, voters=voters, leaders=((1, NAMES[0]),), messages=frozenset())

    # --- transitions ----------------------------------------------------------------------------------

    def transitions(self, state: ModelState) -> Iterator[Transition]:
        """Everything that may happen next."""
        yield from self._acts(state)
        for message in sorted(state.messages):
            yield self._deliver(state, message)
        for index, voter in enumerate(state.voters):
            yield from self._voter_transitions(state, index, voter)
        remaining = state.remaining
        if remaining.ticks:
            later = replace(remaining, ticks=remaining.ticks - 1)
            yield Transition("time passes", replace(state, now=state.now + 1, remaining=later))

    def _voter_transitions(self, state: ModelState, index: int, voter: Voter) -> Iterator[Transition]:
        remaining, name = state.remaining, NAMES[index]
        is_leader = voter.raft.role is Role.LEADER
        if remaining.elections and not is_leader:
            yield self._start_election(state, index, voter)
        if remaining.proposals and is_leader:
            yield self._propose(state, index, voter)
        if remaining.heartbeats and is_leader:
            yield self._send_heartbeat(state, index, voter)
        if remaining.renewals and voter.raft.role is Role.FOLLOWER and voter.raft.leader:
            yield self._request_lease(state, name, voter.raft.leader)
        if remaining.crashes:
            yield self._crash(state, index, voter)

    def _acts(self, state: ModelState) -> Iterator[Transition]:
        """A voter takes a request: it checks its lease, and acts on the version that it knows."""
        first_acts = dict(state.first_acts)
        for name, voter in zip(NAMES, state.voters, strict=True):
            has_lease = state.now < _lease_until(voter, state.now) or self.planted == IGNORES_LEASES
            if not has_lease or not voter.version:
                continue
            newer = [when for version, when in state.first_acts if version > voter.version]
            late = state.now - min(newer, default=state.now)
            violation = ""
            if late > AGREE_WITHIN_TICKS:
                violation = f"{name} acts on version {voter.version} {late} ticks after a newer one"
            if voter.version not in first_acts or violation:
                acts = tuple(sorted({**first_acts, voter.version: state.now}.items()))
                description = f"{name} acts on version {voter.version}"
                yield Transition(description, replace(state, first_acts=acts), violation)

    def _start_election(self, state: ModelState, index: int, voter: Voter) -> Transition:
        raft = voter.copy_raft()
        start_election(raft, state.now, is_pre_vote=False)
        remaining = replace(state.remaining, elections=state.remaining.elections - 1)
        return self._after(state, index, raft, f"{NAMES[index]} stands for election", remaining)

    def _propose(self, state: ModelState, index: int, voter: Voter) -> Transition:
        name, number = NAMES[index], state.remaining.proposals
        raft = voter.copy_raft()
        raft.propose(Propose(f"p{number}{name}", "settings", number), state.now)
        remaining = replace(state.remaining, proposals=number - 1)
        return self._after(state, index, raft, f"{name} is given a proposal", remaining)

    def _send_heartbeat(self, state: ModelState, index: int, voter: Voter) -> Transition:
        raft = voter.copy_raft()
        broadcast_entries(raft, state.now)
        remaining = replace(state.remaining, heartbeats=state.remaining.heartbeats - 1)
        return self._after(state, index, raft, f"{NAMES[index]} sends a beat", remaining)

    @staticmethod
    def _request_lease(state: ModelState, name: str, leader: str) -> Transition:
        request = encode_in_flight(name, leader, RenewLease(state.now))
        remaining = replace(state.remaining, renewals=state.remaining.renewals - 1)
        after = replace(state, messages=state.messages | {request}, remaining=remaining)
        return Transition(f"{name} asks {leader} for a lease", after)

    def _crash(self, state: ModelState, index: int, voter: Voter) -> Transition:
        name = NAMES[index]
        restarted = voter.restarted(name, state.now, forgets_vote=self.planted == FORGETS_VOTES)
        remaining = replace(state.remaining, crashes=state.remaining.crashes - 1)
        after = replace(state, voters=state.with_voter(index, restarted), remaining=remaining)
        return Transition(f"{name} is killed and starts again", after)

    def _deliver(self, state: ModelState, in_flight: InFlight) -> Transition:
        sender, target, encoded = in_flight
        message = decode_message(encoded)
        index = NAMES.index(target)
        voter = state.voters[index]
        description = f"{target} gets {describe_message(message)} of {sender}"
        if isinstance(message, LeaseMessage):
            return Transition(description, _deliver_lease(state, index, sender, message))
        raft = voter.copy_raft()
        raft.receive(sender, message, state.now)
        return self._after(state, index, raft, description, state.remaining)

    def _after(
        self, state: ModelState, index: int, raft: Raft, description: str, remaining: Bounds
    ) -> Transition:
        """The state after a voter's step: what it wrote is on disk, and what it sent is in flight."""
        ready = raft.take_ready()
        raft.persisted(raft.log.last_index, raft.truncation_count)
        voter = state.voters[index]
        changed = Voter(raft, voter.lease_until, voter.latest_version(raft))
        leaders = state.leaders
        violation = ""
        if raft.role is Role.LEADER:
            term = raft.persistent_state.term
            known = dict(leaders)
            if known.get(term, raft.name) != raft.name:
                violation = f"{known[term]} and {raft.name} both lead term {term}"
            leaders = tuple(sorted({**known, term: raft.name}.items()))
        violation = violation or _conflicting_commit(state, index, raft)
        sent = {
            encode_in_flight(raft.name, target, message)
            for target, message in ready.messages
            if isinstance(message, RequestVote | RequestVoteReply) or not self.bounds.votes_only
        }
        voters, messages = state.with_voter(index, changed), state.messages | sent
        after = ModelState(voters, messages, state.now, state.first_acts, leaders, remaining)
        return Transition(description, after, violation)


def _trace(reached: dict[StateKey, tuple[StateKey | None, str]], key: StateKey, last: str) -> tuple[str, ...]:
    """The steps from the start to a state, and one more."""
    steps = [last]
    at: StateKey | None = key
    while at is not None:
        at, description = reached[at]
        steps.append(description)
    return tuple(reversed(steps[:-1]))  # the start has no step


def _lease_until(voter: Voter, now: int) -> int:
    """When a voter's lease ends; a leader holds one from its last contact with the quorum."""
    raft = voter.raft
    if not raft.has_committed_in_term():
        return voter.lease_until
    return max(voter.lease_until, raft.quorum_contact_ns(now) + LEASE_TICKS)


def _deliver_lease(state: ModelState, index: int, sender: str, message: LeaseMessage) -> ModelState:
    """A request for a lease, or its answer, as `Member` handles them."""
    voter = state.voters[index]
    match message:
        case RenewLease(asked_at):
            ticks_left = _lease_until(voter, state.now) - state.now
            if ticks_left <= 0:
                return state
            grant = GrantLease(asked_at, ticks_left, voter.version)
            return replace(state, messages=state.messages | {encode_in_flight(NAMES[index], sender, grant)})
        case GrantLease(asked_at, ticks_left, version):
            lease_until = max(voter.lease_until, asked_at + ticks_left)
            changed = Voter(voter.raft, lease_until, max(voter.version, version))
            return replace(state, voters=state.with_voter(index, changed))


def _conflicting_commit(state: ModelState, index: int, raft: Raft) -> str:
    """Two voters that have committed one index have the same entry there (Raft's state machine safety)."""
    for other, voter in enumerate(state.voters):
        if other == index:
            continue
        for at in range(1, min(raft.commit_index, voter.raft.commit_index) + 1):
            entry, other_entry = raft.log.entry(at), voter.raft.log.entry(at)
            if (entry.term, proposal_of(entry)) != (other_entry.term, proposal_of(other_entry)):
                return f"{raft.name} and {voter.raft.name} have committed two contents as {at}"
    return ""
