"""The event loop of a node: asyncio's, woken through a pipe in place of a pair of Unix sockets.

asyncio wakes its selector from other threads and from signal handlers by writing a byte to a "self-pipe",
which on Linux is ``socket.socketpair()``: two ``AF_UNIX`` sockets. A fleet's nodes may run under a filter
that allows only TCP and UDP sockets over IPv4, so this loop uses ``os.pipe()`` for the same purpose.
A pipe carries the same bytes with the same blocking rules, and ``signal.set_wakeup_fd`` accepts it as well.

The loop overrides two private methods of ``asyncio.selector_events.BaseSelectorEventLoop``, which create and
close the pair, and relies on two more, which read and write it through ``recv`` and ``send``. The four have
the same source in CPython 3.11.7, 3.12.1 and 3.13.0; ``tests/test_fleet_process.py`` checks that the node
creates no Unix socket, and that the pipe wakes the loop from a thread and from a signal.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Coroutine
from typing import Any


class PipeEnd:
    """One end of a pipe, with the socket methods that asyncio calls on its self-pipe."""

    def __init__(self, fd: int) -> None:
        self.fd = fd
        os.set_blocking(fd, False)

    def fileno(self) -> int:
        """Returns the descriptor."""
        return self.fd

    def setblocking(self, flag: bool) -> None:
        """Sets whether reads and writes block."""
        os.set_blocking(self.fd, flag)

    def recv(self, size: int) -> bytes:
        """Reads; raises ``BlockingIOError`` if the pipe is empty, as a socket's ``recv`` does."""
        return os.read(self.fd, size)

    def send(self, data: bytes) -> int:
        """Writes; raises ``BlockingIOError`` if the pipe is full, when the loop is woken already."""
        return os.write(self.fd, data)

    def close(self) -> None:
        """Closes the descriptor; a second call does nothing."""
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            os.close(fd)


class PipeEventLoop(asyncio.SelectorEventLoop):
    """A ``SelectorEventLoop`` whose self-pipe is a pipe: ``asyncio.Runner(loop_factory=PipeEventLoop)``."""

    _ssock: PipeEnd | None
    _csock: PipeEnd | None

    def _make_self_pipe(self) -> None:
        reading, writing = os.pipe()
        self._ssock, self._csock = PipeEnd(reading), PipeEnd(writing)
        self._internal_fds += 1  # type: ignore[attr-defined]
        self._add_reader(reading, self._read_from_self)  # type: ignore[attr-defined]

    def _close_self_pipe(self) -> None:
        ssock, csock = self._ssock, self._csock
        if ssock is None or csock is None:
            return
        self._remove_reader(ssock.fileno())  # type: ignore[attr-defined]
        ssock.close()
        csock.close()
        self._ssock = self._csock = None
        self._internal_fds -= 1  # type: ignore[attr-defined]


def run(main: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine to its end on a ``PipeEventLoop``, as ``asyncio.run`` does on the default loop."""
    with asyncio.Runner(loop_factory=PipeEventLoop) as runner:
        runner.run(main)
