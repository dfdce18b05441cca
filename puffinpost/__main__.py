"""``python -m puffinpost``: runs a node, or the command line if there are arguments."""

from __future__ import annotations

import os
import signal
import sys

# Signals that a running node handles. Until it has handlers, the default action of each kills the process.
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1}


def main() -> int:
    """Returns the exit code. Without arguments, it imports only what a node needs."""
    if len(sys.argv) > 1:
        from puffinpost.cli.main import main as command

        return command()
    # A signal that arrives before its handler is installed stays pending until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    from puffinpost.runtime.node_process import main as run

    code = run(SIGNALS)
    # Everything is answered and written. Finalizing the interpreter would use a large part of the time left
    # until SIGKILL.
    os._exit(code)


if __name__ == "__main__":
    sys.exit(main())
