"""The set of voters: its bootstrap at the first start of a cluster, and changes of one voter at a time.

`member` calls the bootstrap on each `Hello`, and `leadership` advances a change at each tick.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost.consensus.log import Snapshot
from puffinpost.consensus.member_config import MemberConfig
from puffinpost.consensus.messages import Hello, Message, Propose, Voters
from puffinpost.consensus.raft import Raft


def bootstrap_voters(
    raft: Raft | None,
    config: MemberConfig,
    identity: str,
    hellos: dict[str, Hello],
    make_hello: Callable[[], Hello],
) -> list[tuple[str, Message]]:
    """Sets the first voters once each configured voter has introduced itself as new; returns the messages.

    The bootstrap waits while any voter is unreachable or has voters already, so that no second cluster is
    created. Two bootstraps can start if a store is lost meanwhile, but each voter takes part in only one, so
    at most one of them has a majority.
    """
    if raft is None or raft.log.voters() or raft.log.last_index or config.name not in config.voters:
        return []
    peers = [name for name in config.voters if name != config.name]
    voters = _first_voters(config.name, identity, [hellos.get(name) for name in peers])
    if voters is None:
        return []
    raft.log.snapshot = Snapshot(0, 0, voters, b"")
    raft.ready.snapshot = raft.log.snapshot
    return [(name, make_hello()) for name in peers]


def _first_voters(name: str, identity: str, peer_hellos: list[Hello | None]) -> dict[str, str] | None:
    """Returns the voters of a bootstrap that includes this node, or of a new one; None: wait."""
    for hello in peer_hellos:
        if hello is not None and hello.voters.get(name) == identity:
            return hello.voters
    new_voters = {
        hello.name: hello.identity for hello in peer_hellos if hello and hello.can_vote and not hello.voters
    }
    if len(new_voters) < len(peer_hellos):
        return None
    return dict(sorted({**new_voters, name: identity}.items()))


def advance_voter_change(raft: Raft, proposal: Propose, now: int) -> bool:
    """Adds a voter, removes a voter, or replaces a voter that lost its store; returns whether it is done.

    ``proposal.content`` maps a name to the identity of its store, empty for a removal. One change is in
    progress at a time (thesis, 4.1), and a new voter catches up as a learner first (4.2.1).
    """
    name, identity = next(iter(dict(proposal.content).items()))
    voters = raft.log.voters()
    if voters.get(name, "") == identity:
        raft.learners.pop(name, None)
        return not raft.has_pending_voter_change()
    if raft.has_pending_voter_change():
        return False
    if name in voters:
        raft.propose(Voters({voter: voters[voter] for voter in voters if voter != name}), now)
    elif raft.learners.get(name) != identity:
        raft.learners[name] = identity
        raft.match_index.pop(name, None)
        raft.next_index[name] = 1
    elif raft.match_index.get(name, 0) >= raft.commit_index:
        raft.propose(Voters({**voters, name: identity}), now)
    return False
