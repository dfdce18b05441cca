"""``python -m puffinpost``: a node, where no sub-command is named; else the command line."""

from __future__ import annotations

import sys


def main() -> int:
    """The exit code. A plain start imports no more than a node needs."""
    if len(sys.argv) > 1:
        from puffinpost.cli.main import main as command

        return command()
    from puffinpost.wiring.node import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
