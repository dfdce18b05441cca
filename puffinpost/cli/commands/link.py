"""``puffinpost link``: an impaired link between devices and a node."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict, Unpack

import click

if TYPE_CHECKING:
    from puffinpost.emulator.impairment import LinkProfile

BYTES_PER_KBIT = 125
MS_PER_S = 1000


class ImpairmentOptions(TypedDict):
    """The options that describe the link."""

    delay_ms: float
    jitter_ms: float
    stall_percent: float
    stall_ms: float
    rate_kbit: float
    cut_after: int
    cut_every_s: float
    outages: tuple[str, ...]
    outage_kind: str


@click.command()
@click.option(
    "--listen", required=True, metavar="HOST:PORT", help="Loopback address that devices connect to."
)
@click.option("--to", required=True, metavar="HOST:PORT", help="Address that connections are forwarded to.")
@click.option("--delay-ms", default=0.0, help="Delay in each direction.")
@click.option("--jitter-ms", default=0.0, help="Largest extra delay, uniformly distributed.")
@click.option(
    "--stall-percent", default=0.0, help="Percentage of the pieces read that are lost and retransmitted."
)
@click.option(
    "--stall-ms", default=200.0, show_default=True, help="Time that it takes to recover from a loss."
)
@click.option("--rate-kbit", default=0.0, help="Kilobits per second in each direction; 0: no limit.")
@click.option(
    "--cut-after", default=0, metavar="BYTES", help="Reset a connection after this number of bytes."
)
@click.option("--cut-every-s", default=0.0, help="Reset a connection at this age.")
@click.option("--outage", "outages", multiple=True, metavar="BEGIN+LENGTH", help="In seconds; repeatable.")
@click.option("--outage-kind", type=click.Choice(["silent", "reset"]), default="silent", show_default=True)
@click.option("--seed", default=0, help="Seed of all random draws; the same seed reproduces the same link.")
def link(listen: str, to: str, seed: int, **options: Unpack[ImpairmentOptions]) -> None:
    """Run a proxy on loopback that delays, stalls, rate-limits and resets connections.

    It prints events, and reads commands from standard input, one per line: down, up, cut, freeze, quit.
    """
    from puffinpost.address import parse_address
    from puffinpost.cli.link import serve

    try:
        listen_address, target = parse_address(listen), parse_address(to)
        profile = _link_profile(options)
    except ValueError as problem:
        raise click.UsageError(str(problem)) from None
    serve(listen_address, target, profile, seed)


def _link_profile(options: ImpairmentOptions) -> LinkProfile:
    """Returns the profile that the options describe. Raises ``ValueError`` for an invalid outage."""
    from puffinpost.emulator.impairment import LinkProfile, OutageKind, parse_outage

    return LinkProfile(
        options["delay_ms"] / MS_PER_S,
        options["jitter_ms"] / MS_PER_S,
        options["stall_percent"] / 100,
        options["stall_ms"] / MS_PER_S,
        options["rate_kbit"] * BYTES_PER_KBIT,
        options["cut_after"],
        options["cut_every_s"],
        tuple(parse_outage(text) for text in options["outages"]),
        OutageKind(options["outage_kind"]),
    )
