"""The status of consensus at one node, as operators receive it in JSON.

`operator_service` encodes it. The names given by ``name=`` are the keys in the JSON.
"""

from __future__ import annotations

from typing import Any

import msgspec

from puffinpost.consensus.documents import Document, Version
from puffinpost.consensus.member import Member
from puffinpost.consensus.messages import Rejection, Summary
from puffinpost.consensus.raft_state import Role

NS_PER_MS = 1_000_000


class DocumentStatus(msgspec.Struct):
    """The version of a document that this node acts on. 0 or an empty field: none."""

    version: int
    hash: str
    latest_number: int = msgspec.field(name="all_act_on")
    staged: int
    pending_proposal: str = msgspec.field(name="proposed")
    author: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")
    proposed_at_s: int = msgspec.field(name="at_s")


class NodeReportStatus(msgspec.Struct):
    """A node that has reported, directly or through other nodes, and the age of its report."""

    node: str
    description: str = msgspec.field(name="has")
    age_ms: int = msgspec.field(name="heard_ms")


class FleetStatus(msgspec.Struct):
    """What this node and its followers report; at the leader, the whole fleet."""

    nodes: int
    version_counts: dict[str, int] = msgspec.field(name="versions")
    rejections: list[Rejection] = msgspec.field(name="refused")
    node_reports: list[NodeReportStatus] = msgspec.field(name="known")


class NodeStatus(msgspec.Struct):
    """The state of one node in consensus. ``lease_ms`` is what remains of its lease."""

    node: str
    cluster: str
    leader: str
    is_voter: bool = msgspec.field(name="votes")
    role: str
    term: int
    commit_index: int = msgspec.field(name="commit")
    voters: list[str]
    identity: str
    identity_mismatches: int = msgspec.field(name="strangers")
    connected_links: int = msgspec.field(name="links")
    lease_ms: int
    is_current: bool = msgspec.field(name="sure")
    problems: dict[str, str]
    documents: dict[str, DocumentStatus]
    fleet: FleetStatus


def node_status(member: Member, now: int, connected_links: int) -> NodeStatus:
    """Returns the status of a member at ``now``, in ns of its clock."""
    raft, active_versions = member.raft, member.active_versions
    fleet = _fleet_status(member.summary(now))
    is_voter = raft is not None and raft.is_voter()
    return NodeStatus(
        node=member.config.name,
        cluster=member.config.cluster,
        leader=member.leader,
        is_voter=is_voter,
        role=(raft.role if raft is not None and is_voter else Role.FOLLOWER).value,
        term=raft.persistent_state.term if raft is not None else 0,
        commit_index=raft.commit_index if raft is not None else 0,
        voters=sorted(raft.log.voters()) if raft is not None else [],
        identity=member.identity,
        identity_mismatches=member.identity_mismatches,
        connected_links=connected_links,
        lease_ms=active_versions.lease.remaining_ns(now) // NS_PER_MS,
        is_current=active_versions.is_current(now),
        problems=active_versions.problems,
        documents={
            name: _document_status(document, active_versions.version(name))
            for name, document in active_versions.documents.items()
        },
        fleet=fleet,
    )


def _document_status(document: Document, version: Version | None) -> DocumentStatus:
    return DocumentStatus(
        version=version.number if version is not None else 0,
        hash=version.hash if version is not None else "",
        latest_number=document.latest_number(),
        staged=document.staged.number if document.staged is not None else 0,
        pending_proposal=document.pending.proposal_id if document.pending is not None else "",
        author=version.author if version is not None else "",
        reason=version.reason if version is not None else "",
        proposed_at_s=version.proposed_at_s if version is not None else 0,
    )


def _fleet_status(summary: Summary) -> FleetStatus:
    reports = [NodeReportStatus(*report) for report in summary.node_reports]
    return FleetStatus(summary.node_count, summary.version_counts, summary.rejections, reports)


def document_history(member: Member, name: str) -> dict[str, Any]:
    """Returns a document and its previous versions by the keys of `Document`; empty if it is unknown."""
    document = member.active_versions.documents.get(name)
    return {} if document is None else dict(msgspec.to_builtins(document))
