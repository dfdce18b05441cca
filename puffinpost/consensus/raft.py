"""Raft among the voters as published (D. Ongaro, J. Ousterhout 2014, figure 2), without I/O.

`member` drives it with messages and the time. The output of `take_ready` is persisted before its messages are
sent. Beyond figure 2 it has pre-votes and a leader that steps down without a quorum (Ongaro's thesis, 9.6
and 6.2), changes of one voter at a time (4.1), and a no-op entry that each leader commits first (6.4).
"""

from __future__ import annotations

from puffinpost.consensus.election import on_request_vote, on_request_vote_reply, start_election
from puffinpost.consensus.log_replication import (
    advance_commit_index,
    broadcast_entries,
    on_append_entries,
    on_append_entries_reply,
    on_install_snapshot,
)
from puffinpost.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Command,
    Entry,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    RequestVoteReply,
)
from puffinpost.consensus.output import Ready
from puffinpost.consensus.raft_state import RaftState, Role

QUORUM_TIMEOUT = 10  # heartbeat intervals without a quorum after which a leader steps down


class Raft(RaftState):
    """One voter. ``now`` is always in ns of this node's clock."""

    def take_ready(self) -> Ready:
        """Returns what has to be persisted and then sent, since the last call."""
        ready, self.ready = self.ready, Ready()
        return ready

    def next_due_ns(self) -> int:
        """Returns when `tick` has something to do next."""
        return self.heartbeat_due_ns if self.role is Role.LEADER else self.election_due_ns

    def persisted(self, last_index: int, truncation_count: int) -> None:
        """Records that the log as of ``truncation_count`` truncations is on disk up to an index."""
        if truncation_count == self.truncation_count:
            self.stable_index = max(self.stable_index, min(last_index, self.log.last_index))
        if self.role is Role.LEADER:
            advance_commit_index(self)

    def tick(self, now: int) -> None:
        """Sends heartbeats, steps down or starts an election, whichever is due."""
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif now >= self.election_due_ns and self.is_voter():
            start_election(self, now, is_pre_vote=True)

    def _tick_leader(self, now: int) -> None:
        # Without a quorum another voter may lead by now.
        quorum_lost = now - self.quorum_contact_ns(now) > QUORUM_TIMEOUT * self.heartbeat_interval_ns
        removed = not (self.is_voter() or self.has_pending_voter_change())  # thesis, 4.2.2
        if quorum_lost or removed:
            self.become_follower(self.persistent_state.term, "", now)
        elif now >= self.heartbeat_due_ns:
            broadcast_entries(self, now)

    def receive(self, sender: str, message: RaftMessage, now: int) -> None:
        """Handles a message from another voter, whose identity the caller has checked."""
        is_pre_vote = isinstance(message, RequestVote | RequestVoteReply) and message.is_pre_vote
        if message.term > self.persistent_state.term and not is_pre_vote:
            self.become_follower(message.term, "", now)
        match message:
            case RequestVote():
                on_request_vote(self, sender, message, now)
            case RequestVoteReply():
                on_request_vote_reply(self, sender, message, now)
            case AppendEntries():
                on_append_entries(self, sender, message, now)
            case InstallSnapshot():
                on_install_snapshot(self, sender, message, now)
            case AppendEntriesReply():
                on_append_entries_reply(self, sender, message, now)

    def propose(self, command: Command, now: int) -> int | None:
        """Appends a command to the log; returns its index, or None if this node is not the leader."""
        if self.role is not Role.LEADER:
            return None
        index = self.append(Entry(self.persistent_state.term, command))
        broadcast_entries(self, now)
        return index

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to an applied index with a snapshot."""
        self.log.compact(index, state)
        self.ready.snapshot = self.log.snapshot
