"""``puffinpost run`` and ``puffinpost check``."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command()
def run() -> None:
    """Run a node, as without a command. GW_CONFIG, GW_EDGE and other GW_ variables configure it."""
    from puffinpost.runtime.node_process import main as run_node

    sys.exit(run_node())


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Check FILE, an operator's file (edge.toml), and print each fault with its key.

    Exit with 0 if there is none, else 1.
    """
    from puffinpost.config import ConfigError
    from puffinpost.config.edge import parse, problems

    try:
        found = problems(parse(file))
    except ConfigError as problem:
        found = [str(problem)]
    for line in found:
        click.echo(line, err=True)
    if found:
        sys.exit(1)
    click.echo(f"{file}: no faults")
