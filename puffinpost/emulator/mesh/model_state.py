"""The states that the model checker walks: voters, messages in flight, and what has happened so far.

States are immutable and compare by `ModelState.key`. A voter holds the program's own `Raft`, which is copied
before it is changed.
"""

from __future__ import annotations

import functools
import random
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from puffinpost.consensus.log import Log, PersistentState, Snapshot
from puffinpost.consensus.messages import Entry, Message, Propose, RaftMessage, command_proposal_id
from puffinpost.consensus.output import Ready
from puffinpost.consensus.raft import Raft
from puffinpost.emulator.mesh.model_cases import Bounds

NAMES = ("a", "b", "c")
IDENTITIES = {name: name for name in NAMES}
HEARTBEAT_TICKS = 1

StateKey = tuple[Any, ...]  # hashable, and equal for states that continue alike


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """A follower asks its leader for a lease. Times are in ticks."""

    asked_at: int

    def describe(self) -> str:
        """As it is shown in a trace."""
        return f"renew {self.asked_at}"


class GrantLease(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """The leader's answer: a lease from the time of asking, and the version to act on."""

    asked_at: int
    ticks_left: int
    version: int

    def describe(self) -> str:
        """As it is shown in a trace."""
        return f"lease {self.asked_at} {self.ticks_left} {self.version}"


LeaseMessage = RenewLease | GrantLease


class InFlight(NamedTuple):
    """A message on its way, encoded so that states can be compared and sorted."""

    sender: str
    target: str
    encoded: bytes


RAFT_PREFIX, LEASE_PREFIX = b"0", b"1"


def encode_in_flight(sender: str, target: str, message: Message | LeaseMessage) -> InFlight:
    """Encodes a message, marked by whether Raft or the lease's protocol sent it."""
    prefix = LEASE_PREFIX if isinstance(message, LeaseMessage) else RAFT_PREFIX
    return InFlight(sender, target, prefix + msgspec.msgpack.encode(message))


@functools.cache
def decode_message(encoded: bytes) -> RaftMessage | LeaseMessage:
    """The message of an `InFlight`."""
    body = encoded[1:]
    if encoded.startswith(LEASE_PREFIX):
        lease_message: LeaseMessage = msgspec.msgpack.decode(body, type=LeaseMessage)
        return lease_message
    message: RaftMessage = msgspec.msgpack.decode(body, type=RaftMessage)
    return message


def describe_message(message: RaftMessage | LeaseMessage) -> str:
    """As it is shown in a trace: a message of Raft by its tag on the wire."""
    if isinstance(message, LeaseMessage):
        return message.describe()
    return str(type(message).__struct_config__.tag)


def proposal_of(entry: Entry) -> str:
    """The proposal that an entry of the log carries; empty for other commands."""
    return command_proposal_id(entry.command)


def new_raft(name: str, persistent_state: PersistentState, now: int) -> Raft:
    """A voter's Raft as its process starts, without drawn timeouts."""
    return Raft(name, name, persistent_state, HEARTBEAT_TICKS, random.Random(0), now)


class Voter:
    """One voter, with its lease and the version that it knows; not changed once it is in a state."""

    __slots__ = ("key", "lease_until", "raft", "version")

    def __init__(self, raft: Raft, lease_until: int, version: int) -> None:
        self.raft, self.lease_until, self.version = raft, lease_until, version
        self.key = (
            raft.persistent_state.term,
            raft.persistent_state.voted_for,
            tuple((entry.term, proposal_of(entry)) for entry in raft.log.entries),
            raft.commit_index,
            raft.stable_index,
            raft.role,
            raft.leader,
            frozenset(raft.votes_received),
            raft.election_started_ns,
            raft.term_start_index,
            tuple(sorted(raft.match_index.items())),
            tuple(sorted(raft.next_index.items())),
            tuple(sorted(raft.acknowledged_ns.items())),
            lease_until,
            version,
        )

    @classmethod
    def initial(cls, name: str) -> Voter:
        """A voter of a cluster that has just been created."""
        persistent_state = PersistentState(0, "", Log(Snapshot(0, 0, IDENTITIES), []))
        return cls(new_raft(name, persistent_state, 0), 0, 0)

    def copy_raft(self) -> Raft:
        """A copy of the voter's Raft that may be changed."""
        original = self.raft
        copied = Raft.__new__(Raft)
        copied.__dict__.update(original.__dict__)
        copied.log = Log(original.log.snapshot, list(original.log.entries))
        persistent_state = original.persistent_state
        copied.persistent_state = PersistentState(
            persistent_state.term, persistent_state.voted_for, copied.log
        )
        copied.ready = Ready()
        copied.votes_received = set(original.votes_received)
        copied.match_index = dict(original.match_index)
        copied.next_index = dict(original.next_index)
        copied.acknowledged_ns = dict(original.acknowledged_ns)
        return copied

    def restarted(self, name: str, now: int, forgets_vote: bool) -> Voter:
        """The voter after a crash, with what it had on disk."""
        log = Log(self.raft.log.snapshot, list(self.raft.log.entries))
        vote = "" if forgets_vote else self.raft.persistent_state.voted_for
        persistent_state = PersistentState(self.raft.persistent_state.term, vote, log)
        return Voter(new_raft(name, persistent_state, now), 0, self.version)

    def latest_version(self, raft: Raft) -> int:
        """The newest version that it knows once its Raft has become ``raft``."""
        version = self.version
        for index in range(1, min(raft.commit_index, raft.stable_index) + 1):
            if isinstance(raft.log.entry(index).command, Propose):
                version = max(version, index)
        return version


@dataclass(frozen=True, slots=True)
class ModelState:
    """All voters and messages, the time, and the history as far as the invariants need it."""

    voters: tuple[Voter, ...]
    messages: frozenset[InFlight]  # all that were ever sent: each may arrive again, late, or never
    now: int  # in ticks
    first_acts: tuple[tuple[int, int], ...]  # version, and when it was first acted on
    leaders: tuple[tuple[int, str], ...]  # term, and its leader
    remaining: Bounds  # what may still happen

    def key(self) -> StateKey:
        """Equal for states that continue alike."""
        voters = tuple(voter.key for voter in self.voters)
        return voters, self.messages, self.now, self.first_acts, self.remaining

    def with_voter(self, index: int, voter: Voter) -> tuple[Voter, ...]:
        """The voters, with one of them replaced."""
        return (*self.voters[:index], voter, *self.voters[index + 1 :])
