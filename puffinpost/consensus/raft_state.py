"""The state of one Raft voter, and the operations that elections and log replication share.

`election` and `log_replication` contain functions on it, and `raft.Raft` is the complete voter. Times are ns
of this node's own clock, which only has to be monotonic.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum

from puffinpost.consensus.log import HardState, PersistentState
from puffinpost.consensus.messages import Entry, Message, Voters
from puffinpost.consensus.output import Ready

MIN_ELECTION_TIMEOUT = 5  # heartbeat intervals; the timeout is drawn between this and twice this value
INITIAL_CONTACT_AGE = 20  # heartbeat intervals; a voter starts as if its last leader contact were this old


class Role(StrEnum):
    """A voter's role in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


def majority_value(values: Iterable[int]) -> int:
    """Returns the highest value that a majority has reached; 0 if there are no values."""
    descending = sorted(values, reverse=True)
    return descending[len(descending) // 2] if descending else 0


class RaftState:
    """A voter's persistent and volatile state (Raft, figure 2).

    ``learners`` receive the log before they may vote. Learners and voters are mapped to the identity of their
    store, so that a voter that has lost its store cannot vote twice.
    """

    def __init__(
        self,
        name: str,
        identity: str,
        persistent_state: PersistentState,
        heartbeat_interval_ns: int,
        rng: random.Random,
        now: int,
    ) -> None:
        self.name, self.identity = name, identity
        self.persistent_state, self.log = persistent_state, persistent_state.log
        self.heartbeat_interval_ns, self.rng = heartbeat_interval_ns, rng
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.log.snapshot.index
        self.stable_index = self.log.last_index  # the last index that is on disk
        self.truncation_count = 0  # how often entries were replaced by a leader's entries or snapshot
        self.votes_received: set[str] = set()
        self.election_started_ns = now
        self.is_pre_vote = False  # whether the current election is a pre-vote
        self.match_index: dict[str, int] = {}
        self.next_index: dict[str, int] = {}
        self.acknowledged_ns: dict[str, int] = {}  # by voter: send time of the last answered message
        self.learners: dict[str, str] = {}
        self.term_start_index = 0  # the index of this leader's first entry
        self.leader_contact_ns = now - INITIAL_CONTACT_AGE * heartbeat_interval_ns
        self.heartbeat_due_ns = now
        self.ready = Ready()
        self.reset_election_timeout(now)

    # --- queries --------------------------------------------------------------------------------------

    def is_voter(self) -> bool:
        """Whether this node votes, by its name and the identity of its store."""
        return self.log.voters().get(self.name) == self.identity

    def last_log_term(self) -> int:
        """Returns the term of the last entry; 0 if the log is empty."""
        return self.log.term(self.log.last_index) or 0

    def quorum_contact_ns(self, now: int) -> int:
        """Returns the latest time at which a majority of the voters is known to have followed this leader."""
        return majority_value(
            now if name == self.name else self.acknowledged_ns.get(name, 0) for name in self.log.voters()
        )

    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term and so all before it (thesis, 6.4)."""
        return self.role is Role.LEADER and self.commit_index >= self.term_start_index

    def has_pending_voter_change(self) -> bool:
        """Whether a change of the voters is in the log and not committed."""
        uncommitted = self.log.entries_after(self.commit_index, len(self.log.entries))
        return any(isinstance(entry.command, Voters) for entry in uncommitted)

    # --- transitions ----------------------------------------------------------------------------------

    def reset_election_timeout(self, now: int) -> None:
        """Draws a new election timeout, which starts now."""
        min_timeout_ns = self.heartbeat_interval_ns * MIN_ELECTION_TIMEOUT
        self.election_due_ns = now + min_timeout_ns + self.rng.randrange(min_timeout_ns + 1)

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Changes the term and the vote, which are persisted before the next message is sent."""
        self.persistent_state.term, self.persistent_state.voted_for = term, voted_for
        self.ready.hard_state = HardState(term, voted_for)

    def become_follower(self, term: int, leader: str, now: int) -> None:
        """Follows ``leader`` in a term; empty: its leader is not known yet."""
        if term > self.persistent_state.term:
            self.set_hard_state(term, "")
        if leader or self.role is not Role.FOLLOWER:
            self.reset_election_timeout(now)
        self.role, self.leader = Role.FOLLOWER, leader

    def append(self, entry: Entry) -> int:
        """Appends an entry to the log, marks it to be persisted and returns its index."""
        index = self.log.append(entry)
        first = self.ready.first_changed_index
        self.ready.first_changed_index = index if first is None else min(index, first)
        return index

    def send(self, name: str, message: Message) -> None:
        """Queues a message, which is sent once all earlier changes are persisted."""
        self.ready.messages.append((name, message))
