"""Sub-commands. What each needs is imported when it is called."""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def puffinpost() -> None:
    """A node that carries sessions between devices and transcribers. Without a command, it runs."""


@puffinpost.command()
def run() -> None:
    """Run a node, as without any command. It is configured by GW_CONFIG, GW_EDGE and their like."""
    from puffinpost.wiring.node import main as node

    sys.exit(node())


@puffinpost.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> None:
    """Read FILE as an operator's file (edge.toml) and name each fault with its key.

    Exits with 0 where there is none, 1 where there is one.
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
    click.echo(f"{file}: nothing is wrong with it")


@puffinpost.command()
@click.option("--listen", required=True, metavar="HOST:PORT", help="Where devices connect; loopback.")
@click.option("--to", required=True, metavar="HOST:PORT", help="Where what they send goes.")
@click.option("--delay-ms", default=0.0, help="One way.")
@click.option("--jitter-ms", default=0.0, help="Up to so much more, evenly spread.")
@click.option("--stall-percent", default=0.0, help="Of the pieces read: how many are lost and sent again.")
@click.option("--stall-ms", default=200.0, show_default=True, help="How long a loss takes to be made good.")
@click.option("--rate-kbit", default=0.0, help="Kilobits a second, each way; 0: no limit.")
@click.option("--cut-after", default=0, metavar="BYTES", help="Reset a connection after so many bytes.")
@click.option("--cut-every-s", default=0.0, help="Reset a connection at this age.")
@click.option("--outage", "outages", multiple=True, metavar="BEGIN+LENGTH", help="In seconds; repeatable.")
@click.option("--outage-kind", type=click.Choice(["silent", "reset"]), default="silent", show_default=True)
@click.option("--seed", default=0, help="Of all chance: the same seed, the same link.")
def link(listen: str, to: str, delay_ms: float, jitter_ms: float, stall_percent: float, stall_ms: float,
         rate_kbit: float, cut_after: int, cut_every_s: float, outages: tuple[str, ...], outage_kind: str,
         seed: int) -> None:
    """Be a poor link: a proxy on loopback that delays, stalls, narrows and cuts.

    It prints what happens, and takes commands, a word a line: down, up, cut, freeze, quit.
    """
    from puffinpost.cli.link import serve
    from puffinpost.emulator.impairment import OutageKind, Profile, parse_outage
    from puffinpost.inventory import parse_address

    try:
        where, target = parse_address(listen), parse_address(to)
        spans = tuple(parse_outage(text) for text in outages)
    except ValueError as problem:
        raise click.UsageError(str(problem)) from None
    serve(where, target, Profile(
        delay_ms / 1000, jitter_ms / 1000, stall_percent / 100, stall_ms / 1000, rate_kbit * 125, cut_after,
        cut_every_s, spans, OutageKind(outage_kind),
    ), seed)


@puffinpost.command("try")
@click.option("--rounds", default=0, help="End after so many; 0: at Ctrl-C.")
@click.option("--pause-s", default=5.0, show_default=True, help="Between two rounds.")
def try_(rounds: int, pause_s: float) -> None:
    """Start a small world on loopback, with one node and all its fronts, and open sessions in it."""
    from puffinpost.cli.tour import run as tour

    tour(rounds, pause_s)


def main() -> int:
    """Runs what the arguments name; the exit code."""
    puffinpost(prog_name="puffinpost")
    return 0
