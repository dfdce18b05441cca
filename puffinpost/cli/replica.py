"""``puffinpost replica``: shows a node's replicated state, and compares the replicas of two nodes.

The command definitions call it; it queries nodes with the client of ``puffinpost settings``.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from puffinpost.cli.settings import connect

MAX_SHOWN_ROWS = 40  # for each origin that differs

Row = dict[str, Any]  # as in the node's reply
Status = dict[str, Any]


def replica_status(environ: dict[str, str], name: str) -> Status:
    """Returns a node's status. Raises ``click.ClickException`` if replication is off at the node."""
    status = connect(environ, name).query("replica")
    if not status:
        raise click.ClickException("cluster.replica: replication is off at this node")
    return dict(status)


def status_text(status: Status) -> str:
    """Formats a node's status as text."""
    takeover = "taken over" if status["settled"] else "has not taken over from earlier incarnations yet"
    read_only = ", READ-ONLY: a later incarnation exists" if status["mute"] else ""
    return "\n".join(
        [
            f"{status['node']}, incarnation {status['life']}: {takeover}{read_only}",
            *_key_lines(status),
            *(_replica_line(replica) for replica in status["copies"]),
            *(_neighbour_line(name, neighbour) for name, neighbour in sorted(status["neighbours"].items())),
        ]
    )


def _key_lines(status: Status) -> list[str]:
    lines = []
    for kind, count in sorted(status["places"].items()):
        conflicts = (
            f", with conflicting rows: {status['contested'][kind]}" if kind in status["contested"] else ""
        )
        lines.append(f"  {kind}: {count} keys{conflicts}")
    return lines


def _replica_line(replica: dict[str, Any]) -> str:
    line = (
        f"  {_origin_of(replica)}: {replica['rows']} rows up to {replica['seq']}, checksum {replica['check']}"
    )
    return line + (f", {replica['holes']} damaged" if replica["holes"] else "")


def _neighbour_line(name: str, neighbour: dict[str, Any]) -> str:
    age_ms = neighbour["heard_ms"]
    last_message = "no message yet" if age_ms is None else f"last message {age_ms} ms ago"
    missing = f", has more rows of {neighbour['lacks']} origins" if neighbour["lacks"] else ""
    return f"  neighbour {name}: {last_message}{missing}"


def _origin_of(replica: dict[str, Any]) -> str:
    return f"{replica['node']}/{replica['life']}"


def differing_origins(one: Status, other: Status) -> list[str]:
    """Returns the origins (``node/incarnation``) of which two nodes have different rows."""
    first, second = (
        {_origin_of(replica): (replica["rows"], replica["check"]) for replica in status["copies"]}
        for status in (one, other)
    )
    return sorted(
        origin for origin in first.keys() | second.keys() if first.get(origin) != second.get(origin)
    )


def differing_rows(one: list[Row], other: list[Row], names: tuple[str, str]) -> list[str]:
    """Returns one line for each row that only one of two nodes has."""
    first, second = ({(row["seq"], row["check"]): row for row in rows} for rows in (one, other))
    return _rows_only_in(names[0], first, second) + _rows_only_in(names[1], second, first)


def _rows_only_in(name: str, rows: dict[Any, Row], other_rows: dict[Any, Row]) -> list[str]:
    lines = []
    for row_id, row in sorted(rows.items()):
        if row_id not in other_rows:
            deleted = " (deleted)" if row["taken_back"] else ""
            lines.append(f"  only {name}: {row['seq']} {row['kind']} {row['key']}{deleted}")
    return lines


class ComparedNode:
    """One of the two nodes to compare, named by its operator's file."""

    def __init__(self, edge: Path) -> None:
        self.environ = {"GW_EDGE": str(edge), "GW_NAME": edge.parent.name}
        self.status = replica_status(self.environ, self.environ["GW_NAME"])
        self.name = str(self.status["node"])

    def rows(self, origin: str) -> list[Row]:
        """Returns the node's rows of one origin."""
        return list(connect(self.environ, self.environ["GW_NAME"]).query("replica", origin))


def diff(one: Path, other: Path) -> int:
    """Prints how the replicas of two nodes differ. Returns 0 if they are equal, else 1."""
    first, second = ComparedNode(one), ComparedNode(other)
    origins = differing_origins(first.status, second.status)
    for origin in origins:
        click.echo(origin)
        lines = differing_rows(first.rows(origin), second.rows(origin), (first.name, second.name))
        for line in lines[:MAX_SHOWN_ROWS]:
            click.echo(line)
        if len(lines) > MAX_SHOWN_ROWS:
            click.echo(f"  and {len(lines) - MAX_SHOWN_ROWS} more")
    click.echo(f"{len(origins)} origins differ" if origins else "the copies are equal")
    return 1 if origins else 0
