"""``puffinpost replica``: shows replicated state, and how two nodes differ."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click


@click.group()
def replica() -> None:
    """Show a node's replicated state, or how the replicas of two nodes differ."""


@replica.command("show")
@click.option("--node", default="", envvar="GW_NAME", help="Name of the node, if the file does not set it.")
@click.option("--json", "as_json", is_flag=True)
@click.argument("about", default="")
def replica_show(node: str, as_json: bool, about: str) -> None:
    """Show replicas and neighbours of the node that the file GW_EDGE configures, or, with ABOUT, the rows of
    a kind or of an origin (node/incarnation).
    """
    from puffinpost.cli.replica import replica_status, status_text
    from puffinpost.cli.settings import connect

    status = replica_status(dict(os.environ), node)
    if about:
        for row in connect(dict(os.environ), node).query("replica", about):
            click.echo(json.dumps(row))
        return
    click.echo(json.dumps(status) if as_json else status_text(status))


@replica.command("diff")
@click.argument("one", type=click.Path(path_type=Path, exists=True))
@click.argument("other", type=click.Path(path_type=Path, exists=True))
def replica_diff(one: Path, other: Path) -> None:
    """Show how the replicas of two nodes differ. Each node is given by its operator's file (edge.toml, in a
    folder with the node's name if the file does not set it). Exit with 0 if they are equal, else 1.
    """
    from puffinpost.cli.replica import diff

    sys.exit(diff(one, other))
