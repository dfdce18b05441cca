"""``puffinpost try``: a demonstration on loopback."""

from __future__ import annotations

import click


@click.command("try")
@click.option("--rounds", default=0, help="Number of rounds; 0: until Ctrl-C.")
@click.option("--pause-s", default=5.0, show_default=True, help="Pause between two rounds.")
@click.option(
    "--nodes", default=1, type=click.IntRange(1, 200), help="Number of nodes; several form a cluster."
)
def try_(rounds: int, pause_s: float, nodes: int) -> None:
    """Start a node with all frontends and stand-in endpoints on loopback, and open sessions through it.

    With --nodes, start a cluster of nodes that agree on settings, bans and the endpoint list, with clients
    at each.
    """
    if nodes > 1:
        from puffinpost.cli.local_cluster import run as run_cluster

        run_cluster(nodes, rounds, pause_s)
        return
    from puffinpost.cli.demo import run as run_demo

    run_demo(rounds, pause_s)
