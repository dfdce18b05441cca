"""The command line: a group of subcommands, each defined in ``cli.commands``.

Without a subcommand the program runs a node and does not import this module. A command imports its
implementation when it is called, so that help and short commands start quickly.
"""

from __future__ import annotations

import click

from puffinpost.cli.commands.demo import try_
from puffinpost.cli.commands.link import link
from puffinpost.cli.commands.mesh import mesh
from puffinpost.cli.commands.node import check, run
from puffinpost.cli.commands.replica import replica
from puffinpost.cli.commands.settings import settings


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def puffinpost() -> None:
    """Relay sessions between devices and endpoints. Without a command, run a node."""


for command in (run, check, link, try_, mesh, settings, replica):
    puffinpost.add_command(command)


def main() -> int:
    """Runs the command that the arguments name; returns the exit code."""
    puffinpost(prog_name="puffinpost")
    return 0
