"""``puffinpost settings``: queries the local node about its cluster's documents, and proposes changes.

The command definitions call it, and ``puffinpost replica`` uses its client. It prints results, and exits with
a non-zero code after a failure.
"""

from __future__ import annotations

import asyncio
import difflib
import getpass
import json
import secrets
import sys
import time
import tomllib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click

from puffinpost.cluster.operator import OperatorQueryError, propose_and_wait, query_node
from puffinpost.config import ConfigError, schema
from puffinpost.config.cluster import cluster_config_of, for_node
from puffinpost.config.edge import edge_file, parse
from puffinpost.consensus.messages import OperatorQuery, Propose

DECISION_TIMEOUT_S = 60.0
VOTER_POLL_INTERVAL_S = 0.2
WATCH_INTERVAL_S = 0.5
VOTERS_DOCUMENT = "@voters"
ACCEPTED_OUTCOMES = ("accepted", "promoted")
EXIT_FAILED = 1
EXIT_USAGE = 2


class NodeClient:
    """Queries the node that an operator's file configures. Raises ``ConfigError`` if it cannot be queried."""

    def __init__(self, environ: dict[str, str], name: str) -> None:
        edge = schema.edge_of(parse(edge_file(environ)))
        if not edge.cluster.id:
            raise ConfigError("cluster.id", "must be set to enable [cluster]")
        config = for_node(cluster_config_of(edge.cluster), edge.cluster.name or name)
        if config.folder is None:
            raise ConfigError("cluster.folder", "must be set: it contains the token of operators")
        self.address = config.listen
        self.cluster_id = config.member_config.cluster
        self.node_name = config.member_config.name
        self.folder = config.folder  # contains the token with which operators authenticate

    def query(self, kind: str, subject: str = "") -> Any:
        """Returns the reply to a query, decoded from JSON."""
        return self._send(OperatorQuery(kind, subject))

    def propose(self, document: str, content: Any, reason: str, share: float) -> dict[str, str]:
        """Proposes a document's content to a share of the nodes. Returns the outcome once it is decided."""
        proposal = self._proposal(document, content, reason, share)
        click.echo(f"{proposal.proposal_id} proposes {document}")
        decision = propose_and_wait(self.address, self.cluster_id, self.folder, proposal, DECISION_TIMEOUT_S)
        return dict(_run(decision))

    def change_voter(self, name: str, identity: str, reason: str) -> None:
        """Proposes a voter, or its removal if ``identity`` is empty; waits for it in this node's log."""
        proposal = self._proposal(VOTERS_DOCUMENT, {name: identity}, reason)
        self._send(OperatorQuery("offer", proposal=proposal))
        deadline = time.monotonic() + DECISION_TIMEOUT_S
        while time.monotonic() < deadline:
            voters = self.query("status")["voters"]
            if (name in voters) == bool(identity):
                click.echo(f"voters: {', '.join(voters)}")
                return
            time.sleep(VOTER_POLL_INTERVAL_S)
        expected = "among" if identity else "removed from"
        click.echo(f"{name} is not {expected} the voters after {DECISION_TIMEOUT_S:g} s", err=True)
        sys.exit(EXIT_FAILED)

    def _proposal(self, document: str, content: Any, reason: str, share: float = 1.0) -> Propose:
        proposal_id = f"{self.node_name}-{secrets.token_hex(6)}"
        return Propose(proposal_id, document, content, getpass.getuser(), reason, int(time.time()), share)

    def _send(self, query: OperatorQuery) -> Any:
        return _run(query_node(self.address, self.cluster_id, self.folder, query))


def _run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    try:
        return asyncio.run(coroutine)
    except OperatorQueryError as problem:
        click.echo(str(problem), err=True)
        sys.exit(EXIT_FAILED)


def connect(environ: dict[str, str], name: str) -> NodeClient:
    """Returns a client of the node on this machine. Exits with 2 if its configuration is invalid."""
    try:
        return NodeClient(environ, name)
    except ConfigError as problem:
        click.echo(str(problem), err=True)
        sys.exit(EXIT_USAGE)


def read_content(path: Path) -> Any:
    """Returns the content of a proposal's file, TOML or JSON. Raises ``click.UsageError``."""
    try:
        text = path.read_text()
        return tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except (OSError, ValueError) as problem:
        raise click.UsageError(f"{path}: {problem}") from None


def report_outcome(outcome: dict[str, str]) -> None:
    """Prints the outcome of a proposal. Exits with 1 if it was not accepted."""
    problem = outcome.get("problem", "")
    click.echo(outcome["outcome"] + (f": {problem}" if problem else ""))
    if outcome["outcome"] not in ACCEPTED_OUTCOMES:
        sys.exit(EXIT_FAILED)


def status_text(status: dict[str, Any]) -> str:
    """Formats a node's status as text."""
    lines = [
        f"{status['node']} in {status['cluster']}: {status['role']}, leader: {status['leader'] or 'none'}, "
        f"term {status['term']}",
        f"lease {status['lease_ms']} ms, {'current' if status['sure'] else 'MAY BE OUT OF DATE'}",
    ]
    lines += [_document_line(name, document) for name, document in status["documents"].items()]
    if status["leader"] and status["leader"] != status["node"]:
        lines.append(f"only this node and its followers are included; {status['leader']} reports all nodes")
    return "\n".join([*lines, *_fleet_lines(status["fleet"])])


def _document_line(name: str, document: dict[str, Any]) -> str:
    version = f"{document['version']} ({document['hash'][:8]})"
    line = f"  {name} {version} by {document['by'] or '?'}: {document['why']}"
    if document["staged"]:
        line += f"; staged: {document['staged']}"
    if document["proposed"]:
        line += f"; proposed: {document['proposed']}"
    return line


def _fleet_lines(fleet: dict[str, Any]) -> list[str]:
    versions = ", ".join(f"{count} at {version}" for version, count in sorted(fleet["versions"].items()))
    return [
        f"{fleet['nodes']} nodes heard: {versions}",
        *(
            f"  {node['node']}: {node['has']}, last report {node['heard_ms']} ms ago"
            for node in fleet["known"]
        ),
        *(f"  {node} cannot act on {proposal}: {reason}" for proposal, node, reason in fleet["refused"]),
    ]


def version_of(document: dict[str, Any], number: int) -> dict[str, Any]:
    """Returns a stored version by its number; 0: the staged one, else the active one.

    Raises ``click.UsageError`` if it does not exist.
    """
    stored = (*document.get("past", ()), document.get("active"), document.get("staged"))
    versions = [version for version in stored if version]
    for version in reversed(versions):
        if version["number"] == number or not number:
            return dict(version)
    numbers = ", ".join(str(version["number"]) for version in versions) or "none"
    raise click.UsageError(f"there is no version {number}; stored versions: {numbers}")


def difference(document: dict[str, Any], one: int, other: int) -> str:
    """Returns the differences between two versions as a unified diff."""
    before, after = (_content_lines(document, number) for number in (one, other))
    return "\n".join(difflib.unified_diff(before, after, str(one), str(other), lineterm="", n=1))


def _content_lines(document: dict[str, Any], number: int) -> list[str]:
    content = version_of(document, number)["content"]
    return json.dumps(content, indent=1, sort_keys=True).splitlines()


def watch(client: NodeClient) -> None:
    """Prints the status whenever it changes, until Ctrl-C."""
    last_printed = ""
    while True:
        status = client.query("status")
        watched = [status["leader"], status["sure"], status["documents"], status["fleet"]["versions"]]
        state = json.dumps(watched)
        if state != last_printed:
            last_printed = state
            click.echo(f"--- {time.strftime('%H:%M:%S')}\n{status_text(status)}")
        time.sleep(WATCH_INTERVAL_S)
