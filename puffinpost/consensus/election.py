"""Leader election: pre-votes, votes, and the start of a leader's term (Raft, section 5.2; thesis, 9.6).

`raft.Raft` calls it on an election timeout and for each vote message. The term and the vote are queued to be
persisted before any message is queued.
"""

from __future__ import annotations

from puffinpost.consensus.log_replication import broadcast_entries
from puffinpost.consensus.messages import Entry, Noop, RequestVote, RequestVoteReply
from puffinpost.consensus.raft_state import MIN_ELECTION_TIMEOUT, RaftState, Role


def start_election(raft: RaftState, now: int, is_pre_vote: bool) -> None:
    """Requests votes from all voters. A pre-vote does not increment the term: it is for the next term."""
    raft.role, raft.leader, raft.is_pre_vote = Role.CANDIDATE, "", is_pre_vote
    if not is_pre_vote:
        raft.set_hard_state(raft.persistent_state.term + 1, raft.name)
    raft.votes_received, raft.election_started_ns = {raft.name}, now
    raft.reset_election_timeout(now)
    request = RequestVote(
        raft.persistent_state.term + is_pre_vote, raft.log.last_index, raft.last_log_term(), is_pre_vote
    )
    for name in raft.log.voters():
        if name != raft.name:
            raft.send(name, request)
    _count_votes(raft, now)


def on_request_vote(raft: RaftState, sender: str, request: RequestVote, now: int) -> None:
    """Grants or denies a vote."""
    term = raft.persistent_state.term
    if request.is_pre_vote:
        granted = _grants_pre_vote(raft, request, now)
    else:
        granted = _grants_vote(raft, sender, request)
    granted = granted and raft.is_voter()
    if granted and not request.is_pre_vote:
        raft.set_hard_state(term, sender)
        raft.reset_election_timeout(now)
    if request.is_pre_vote and request.term <= term:
        # The reply tells the candidate the newer term, without which it could never be elected.
        raft.send(sender, RequestVoteReply(term, False))
    else:
        raft.send(sender, RequestVoteReply(request.term, granted, request.is_pre_vote))


def _has_current_log(raft: RaftState, request: RequestVote) -> bool:
    local_position = (raft.last_log_term(), raft.log.last_index)
    return (request.last_log_term, request.last_log_index) >= local_position


def _grants_vote(raft: RaftState, sender: str, request: RequestVote) -> bool:
    state = raft.persistent_state
    return _has_current_log(raft, request) and request.term == state.term and state.voted_for in ("", sender)


def _grants_pre_vote(raft: RaftState, request: RequestVote, now: int) -> bool:
    """Denies a pre-vote while a leader is in contact: a voter back from a partition must not depose it."""
    since_contact_ns = now - raft.leader_contact_ns
    leader_timed_out = (
        raft.role is not Role.LEADER and since_contact_ns >= MIN_ELECTION_TIMEOUT * raft.heartbeat_interval_ns
    )
    return _has_current_log(raft, request) and request.term > raft.persistent_state.term and leader_timed_out


def on_request_vote_reply(raft: RaftState, sender: str, reply: RequestVoteReply, now: int) -> None:
    """Counts a vote in the current election; ignores votes of earlier ones."""
    if raft.role is not Role.CANDIDATE or not reply.granted or reply.is_pre_vote != raft.is_pre_vote:
        return
    if reply.term == raft.persistent_state.term + reply.is_pre_vote:
        raft.votes_received.add(sender)
        _count_votes(raft, now)


def _count_votes(raft: RaftState, now: int) -> None:
    voters = raft.log.voters()
    if 2 * len(raft.votes_received & voters.keys()) <= len(voters):
        return
    if raft.is_pre_vote:
        start_election(raft, now, is_pre_vote=False)
    else:
        _become_leader(raft, now)


def _become_leader(raft: RaftState, now: int) -> None:
    raft.role, raft.leader = Role.LEADER, raft.name
    raft.match_index = {}
    raft.next_index = {name: raft.log.last_index + 1 for name in raft.log.voters()}
    raft.term_start_index = raft.append(Entry(raft.persistent_state.term, Noop()))
    # The nodes that voted followed no newer leader when the votes were requested; later is not known.
    raft.acknowledged_ns = dict.fromkeys(raft.votes_received, raft.election_started_ns)
    broadcast_entries(raft, now)
