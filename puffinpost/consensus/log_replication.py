"""Log replication: AppendEntries, InstallSnapshot, their replies and the commit index (Raft, 5.3, 5.4 and 7).

`raft.Raft` calls it for heartbeats, proposals and each of these messages. It never applies an entry.
"""

from __future__ import annotations

from puffinpost.consensus.log import Snapshot
from puffinpost.consensus.messages import AppendEntries, AppendEntriesReply, Entry, InstallSnapshot
from puffinpost.consensus.raft_state import RaftState, Role, majority_value

MAX_ENTRIES_PER_MESSAGE = 64


# --- leader -------------------------------------------------------------------------------------------


def broadcast_entries(raft: RaftState, now: int) -> None:
    """Sends each voter and learner the entries that it is missing; without any, a heartbeat."""
    raft.heartbeat_due_ns = now + raft.heartbeat_interval_ns
    for name in raft.log.voters() | raft.learners:
        if name != raft.name:
            _replicate_to(raft, name, now)


def _replicate_to(raft: RaftState, name: str, now: int) -> None:
    next_index = raft.next_index.setdefault(name, raft.log.last_index + 1)
    prev_log_term = raft.log.term(next_index - 1)
    term, snapshot = raft.persistent_state.term, raft.log.snapshot
    if prev_log_term is None:  # the preceding entry is only in the snapshot
        message = InstallSnapshot(term, snapshot.index, snapshot.term, snapshot.voters, snapshot.state, now)
        raft.send(name, message)
        return
    entries = raft.log.entries_after(next_index - 1, MAX_ENTRIES_PER_MESSAGE)
    raft.send(name, AppendEntries(term, next_index - 1, prev_log_term, entries, raft.commit_index, now))


def on_append_entries_reply(raft: RaftState, sender: str, reply: AppendEntriesReply, now: int) -> None:
    """Updates a follower's indexes, and sends it the entries that it is still missing."""
    if raft.role is not Role.LEADER or reply.term != raft.persistent_state.term:
        return
    raft.acknowledged_ns[sender] = max(raft.acknowledged_ns.get(sender, 0), reply.sent_at_ns)
    if not reply.success:
        raft.next_index[sender] = min(reply.match_index + 1, raft.next_index.get(sender, 1))
        _replicate_to(raft, sender, now)
        return
    raft.match_index[sender] = max(raft.match_index.get(sender, 0), reply.match_index)
    raft.next_index[sender] = max(raft.match_index[sender] + 1, 1)
    advance_commit_index(raft)
    if raft.next_index[sender] <= raft.log.last_index:
        _replicate_to(raft, sender, now)


def advance_commit_index(raft: RaftState) -> None:
    """Commits the last entry of this term that a majority has on disk (figure 2; section 5.4.2)."""
    index = majority_value(
        raft.stable_index if name == raft.name else raft.match_index.get(name, 0)
        for name in raft.log.voters()
    )
    if index > raft.commit_index and raft.log.term(index) == raft.persistent_state.term:
        raft.commit_index = index
        raft.heartbeat_due_ns = 0  # followers receive the new commit index at the next tick


# --- follower -----------------------------------------------------------------------------------------


def on_append_entries(raft: RaftState, sender: str, request: AppendEntries, now: int) -> None:
    """Stores a leader's entries if the log matches at the entry before them."""
    if not _accept_leader(raft, sender, request, now):
        return
    log, prev_log_index = raft.log, request.prev_log_index
    if log.term(prev_log_index) != request.prev_log_term and prev_log_index >= log.snapshot.index:
        retry_after = min(log.last_index, max(prev_log_index - 1, log.snapshot.index))
        raft.send(sender, AppendEntriesReply(request.term, False, retry_after, request.sent_at_ns))
        return
    for index, entry in enumerate(request.entries, prev_log_index + 1):
        _store_entry(raft, index, entry)
    match_index = prev_log_index + len(request.entries)
    raft.commit_index = max(raft.commit_index, min(request.leader_commit, match_index))
    raft.send(sender, AppendEntriesReply(request.term, True, match_index, request.sent_at_ns))


def _store_entry(raft: RaftState, index: int, entry: Entry) -> None:
    """Appends a leader's entry, replacing conflicting entries of an earlier term."""
    if index <= raft.log.snapshot.index:
        return  # already committed: a snapshot contains committed entries only
    existing_term = raft.log.term(index)
    if existing_term == entry.term:
        return
    if existing_term is not None:
        raft.log.truncate_from(index)
        raft.truncation_count += 1
        raft.stable_index = min(raft.stable_index, index - 1)
    raft.append(entry)


def on_install_snapshot(raft: RaftState, sender: str, request: InstallSnapshot, now: int) -> None:
    """Replaces the log with a leader's snapshot, unless this node has committed as much."""
    if not _accept_leader(raft, sender, request, now):
        return
    index = request.last_included_index
    if index > raft.commit_index:
        raft.log.snapshot = Snapshot(index, request.last_included_term, request.voters, request.state)
        raft.log.entries.clear()
        raft.truncation_count += 1
        raft.commit_index = raft.stable_index = index
        raft.ready.snapshot, raft.ready.first_changed_index = raft.log.snapshot, index + 1
    raft.send(sender, AppendEntriesReply(request.term, True, raft.log.last_index, request.sent_at_ns))


def _accept_leader(raft: RaftState, sender: str, request: AppendEntries | InstallSnapshot, now: int) -> bool:
    """Follows the sender, unless its term is outdated; returns whether it does."""
    term = raft.persistent_state.term
    if request.term < term:
        raft.send(sender, AppendEntriesReply(term, False, 0, request.sent_at_ns))
        return False
    raft.become_follower(request.term, sender, now)
    raft.leader_contact_ns = now
    return True
