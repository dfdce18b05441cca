"""``puffinpost mesh``: scenarios with faults between many processes."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group()
def mesh() -> None:
    """Test the invariants of consensus between many processes on loopback, with injected faults."""


@mesh.command("run")
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
@click.option("--history", type=click.Path(path_type=Path), help="Write the history to this file.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def mesh_run(scenario: Path, seed: int, history: Path | None, as_json: bool) -> None:
    """Play SCENARIO (TOML) and check the history. Exit with 0 if no invariant is violated, else 1."""
    from puffinpost.cli.mesh import run as run_scenario

    sys.exit(run_scenario(scenario, seed, history, as_json))


@mesh.command("explore")
@click.option("--quick", is_flag=True, help="Check only the quick cases, in under half a minute.")
def mesh_explore(quick: bool) -> None:
    """Check every order of events in small cases, and print a shortest one that violates an invariant."""
    from puffinpost.cli.mesh import explore

    sys.exit(explore(quick))


@mesh.command("plot")
@click.argument("history", type=click.Path(path_type=Path, exists=True))
@click.option("--to", type=click.Path(path_type=Path), default=Path("mesh.png"), show_default=True)
def mesh_plot(history: Path, to: Path) -> None:
    """Plot the versions that each node acted on over time, with faults as bands, and the answers."""
    from puffinpost.cli.mesh import draw

    draw(history, to)
