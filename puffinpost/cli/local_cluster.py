"""``puffinpost try --nodes N``: a cluster on loopback with clients at each node, until Ctrl-C."""

from __future__ import annotations

import asyncio
import itertools
import tempfile
from pathlib import Path

import click

from puffinpost.cli.settings import status_text
from puffinpost.emulator.mesh.process_cluster import ProcessCluster

VOTER_COUNTS = (5, 3, 1)  # the largest that does not exceed the number of nodes is used
REQUESTS_PER_S = 2.0


async def _run_rounds(nodes: int, rounds: int, pause_s: float) -> None:
    with tempfile.TemporaryDirectory(prefix="puffinpost-try-") as folder:
        voters = next(count for count in VOTER_COUNTS if count <= nodes)
        cluster = ProcessCluster(Path(folder), nodes, voters)
        try:
            await cluster.start(per_s=REQUESTS_PER_S)
            first = cluster.nodes[cluster.names[0]]
            click.echo(
                f"{nodes} nodes, {', '.join(cluster.voters)} vote. To query them, run in another shell:\n"
                f"  GW_EDGE={first.folder}/edge.toml GW_NAME={first.name} puffinpost settings status"
            )
            for number in itertools.count():
                leader = await cluster.leader()
                click.echo(f"\n{status_text(await cluster.nodes[leader].query('status'))}")
                if rounds and number >= rounds - 1:
                    return
                await asyncio.sleep(pause_s)
        finally:
            await cluster.close()


def run(nodes: int, rounds: int, pause_s: float) -> None:
    """Prints the leader's status ``rounds`` times, or until Ctrl-C if it is 0, every ``pause_s``."""
    try:
        asyncio.run(_run_rounds(nodes, rounds, pause_s))
    except KeyboardInterrupt:
        click.echo("stopped")
