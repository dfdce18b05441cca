"""Summaries of node reports, combined at each hop on the way to the leader.

`member` creates its own report and combines it with the summaries of its followers. The size of a summary
does not grow with the fleet.
"""

from __future__ import annotations

from collections import Counter

from puffinpost.consensus.active_versions import ActiveVersions
from puffinpost.consensus.messages import NodeReport, Rejection, Summary

MAX_REJECTIONS = 8
MAX_NODE_REPORTS = 64  # nodes without a lease or a current version come first
NO_LEASE = "no lease"
NS_PER_MS = 1_000_000


class StagedResponseCounts:
    """Counts final responses to clients since this node began to act on a staged version."""

    def __init__(self) -> None:
        self.proposal_id = ""
        self.response_count = self.failure_count = 0

    def add(self, failed: bool) -> None:
        """Counts one final response, if this node acts on a staged version."""
        if not self.proposal_id:
            return
        self.response_count += 1
        self.failure_count += failed

    def track(self, proposal_id: str) -> None:
        """Selects the staged version to count for, and resets the counts if it changes; empty: none."""
        if proposal_id != self.proposal_id:
            self.proposal_id = proposal_id
            self.response_count = self.failure_count = 0


def summarize_node(
    name: str, active_versions: ActiveVersions, response_counts: StagedResponseCounts, now: int
) -> Summary:
    """Returns the report of one node alone."""
    documents = active_versions.documents
    ready_counts, rejections = _validate_pending(name, active_versions)
    staged = [document.staged.proposal_id for document in documents.values() if document.staged is not None]
    acting_on = active_versions.versions()
    proposal_ids = (version.proposal_id for version in acting_on.values())
    response_counts.track(next((proposal_id for proposal_id in proposal_ids if proposal_id in staged), ""))
    version_counts = {f"{document}@{version.number}": 1 for document, version in acting_on.items()}
    return Summary(
        1,
        ready_counts,
        rejections,
        version_counts,
        [NodeReport(name, _describe(active_versions, version_counts, now), 0)],
        response_counts.response_count,
        response_counts.failure_count,
    )


def _validate_pending(name: str, active_versions: ActiveVersions) -> tuple[dict[str, int], list[Rejection]]:
    ready_counts: dict[str, int] = {}
    rejections: list[Rejection] = []
    for document in active_versions.documents.values():
        if document.pending is None:
            continue
        proposal_id = document.pending.proposal_id
        problem = active_versions.validate(document.name, document.pending.content)
        if problem:
            rejections.append(Rejection(proposal_id, name, problem))
        else:
            ready_counts[proposal_id] = 1
    return ready_counts, rejections


def _describe(active_versions: ActiveVersions, version_counts: dict[str, int], now: int) -> str:
    remaining_ms = active_versions.lease.remaining_ns(now) // NS_PER_MS
    lease = f"lease {remaining_ms} ms" if remaining_ms else NO_LEASE
    text = f"{' '.join(sorted(version_counts))} {lease}"
    if active_versions.problems:
        problems = (f"{document}: {problem}" for document, problem in active_versions.problems.items())
        text += " cannot act on " + ", ".join(problems)
    return text


def combine_summaries(summaries: list[tuple[Summary, int]], current: dict[str, str]) -> Summary:
    """Combines summaries, each given with its age in ms.

    ``current``: the version of each document that this node acts on, as ``document@number``. Reports of nodes
    that lack one of these versions or a lease are retained first.
    """
    ready_counts, version_counts = Counter[str](), Counter[str]()
    rejections: list[Rejection] = []
    reports: list[NodeReport] = []
    node_count = responses = failures = 0
    for summary, age_ms in summaries:
        node_count += summary.node_count
        responses += summary.response_count
        failures += summary.failure_count
        ready_counts.update(summary.ready_counts)
        version_counts.update(summary.version_counts)
        rejections += summary.rejections
        reports += [
            NodeReport(report.node, report.description, report.age_ms + age_ms)
            for report in summary.node_reports
        ]

    def sort_key(report: NodeReport) -> tuple[bool, str]:
        has_current_versions = all(version in report.description for version in current.values())
        return has_current_versions and NO_LEASE not in report.description, report.node

    reports.sort(key=sort_key)
    return Summary(
        node_count,
        dict(ready_counts),
        rejections[:MAX_REJECTIONS],
        dict(version_counts),
        reports[:MAX_NODE_REPORTS],
        responses,
        failures,
    )
