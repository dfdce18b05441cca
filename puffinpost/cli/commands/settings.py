"""``puffinpost settings``: the documents that all nodes of a cluster agree on."""

from __future__ import annotations

import json
import os
from pathlib import Path

import click


@click.group()
@click.option("--node", default="", envvar="GW_NAME", help="Name of the node, if the file does not set it.")
@click.pass_context
def settings(context: click.Context, node: str) -> None:
    """Show and change what all nodes agree on, through the local node that the file GW_EDGE configures."""
    context.obj = node


@settings.command("status")
@click.option("--json", "as_json", is_flag=True)
@click.pass_obj
def settings_status(node: str, as_json: bool) -> None:
    """Show versions, the lease, and which nodes are behind and why."""
    from puffinpost.cli.settings import connect, status_text

    status = connect(dict(os.environ), node).query("status")
    click.echo(json.dumps(status) if as_json else status_text(status))


@settings.command("propose")
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.option("--why", required=True, help="Reason, stored with the version.")
@click.option("--doc", default="settings", show_default=True)
@click.option("--share", default=1.0, help="Share of nodes that act on it first; then all, if it succeeds.")
@click.pass_obj
def settings_propose(node: str, file: Path, why: str, doc: str, share: float) -> None:
    """Propose FILE (TOML or JSON) as the next version, and wait for the outcome."""
    from puffinpost.cli.settings import connect, read_content, report_outcome

    report_outcome(connect(dict(os.environ), node).propose(doc, read_content(file), why, share))


@settings.command("rollback")
@click.argument("number", type=int)
@click.option("--why", required=True)
@click.option("--doc", default="settings", show_default=True)
@click.pass_obj
def settings_rollback(node: str, number: int, why: str, doc: str) -> None:
    """Propose the content of version NUMBER again, as a new version."""
    from puffinpost.cli.settings import connect, report_outcome, version_of

    client = connect(dict(os.environ), node)
    content = version_of(client.query("document", doc), number)["content"]
    report_outcome(client.propose(doc, content, f"back to {number}: {why}", 1.0))


@settings.command("diff")
@click.argument("one", type=int)
@click.argument("other", type=int, default=0)
@click.option("--doc", default="settings", show_default=True)
@click.pass_obj
def settings_diff(node: str, one: int, other: int, doc: str) -> None:
    """Show how versions ONE and OTHER differ; OTHER defaults to the staged version, else the active one."""
    from puffinpost.cli.settings import connect, difference

    click.echo(difference(connect(dict(os.environ), node).query("document", doc), one, other))


@settings.command("watch")
@click.pass_obj
def settings_watch(node: str) -> None:
    """Print the status at each change, until Ctrl-C."""
    from puffinpost.cli.settings import connect, watch

    watch(connect(dict(os.environ), node))


@settings.command("voter")
@click.argument("name")
@click.option(
    "--identity", default="", help="Identity of its store, as in its status; empty: remove the voter."
)
@click.option("--why", required=True)
@click.pass_obj
def settings_voter(node: str, name: str, identity: str, why: str) -> None:
    """Add or remove the voter NAME, or replace it after it lost its store. One change at a time."""
    from puffinpost.cli.settings import connect

    client = connect(dict(os.environ), node)
    client.change_voter(name, identity, why)
