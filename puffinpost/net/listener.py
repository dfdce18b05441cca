"""Accepts connections, and reserves a spare descriptor to reject one when no other is left."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from puffinpost.net.connection import Connection, ConnectionTracker
from puffinpost.net.stream import READ_CHUNK_BYTES, create_stream

BACKLOG = 4096
MAX_ACCEPTS_PER_TURN = 16  # before other callbacks run
ACCEPT_RETRY_S = 0.02  # the delay after a connection could not be accepted


def bind_listener(address: tuple[str, int]) -> socket.socket:
    """Returns a socket that listens on an address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening


def adopt_listener(descriptor: int) -> socket.socket:
    """Returns the listening socket that this process inherited.

    The socket is only closed here, never shut down, since other processes use it too.
    """
    listening = socket.socket(fileno=descriptor)
    listening.set_inheritable(False)
    if not listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        listening.listen(BACKLOG)
    return listening


class Listener:
    """A listening socket. ``on_accepted`` receives each connection, ``on_rejected`` a socket to answer."""

    def __init__(
        self,
        listening: socket.socket,
        tracker: ConnectionTracker,
        on_accepted: Callable[[Connection], None],
        on_rejected: Callable[[socket.socket], None],
    ) -> None:
        self.tracker = tracker
        self.on_accepted = on_accepted
        self.on_rejected = on_rejected
        self.socket = listening
        self.socket.setblocking(False)
        self._spare_descriptor: int | None = os.open(os.devnull, os.O_RDONLY)
        self._retry_timer: object | None = None
        self._paused = True
        self.resume()

    def _start_accepting(self) -> None:
        self._retry_timer = None
        IOLoop.current().add_handler(
            self.socket, lambda _fd, _events: self._accept(MAX_ACCEPTS_PER_TURN), IOLoop.READ
        )

    def _retry_later(self) -> None:
        """Stops accepting for a moment: a connection that is not accepted keeps the socket readable."""
        if self._retry_timer is None and not self._paused:
            IOLoop.current().remove_handler(self.socket)
            self._retry_timer = IOLoop.current().call_later(ACCEPT_RETRY_S, self._start_accepting)

    def pause(self) -> None:
        """Stops accepting, so that another process of this node accepts."""
        if not self._paused:
            self._paused = True
            self._stop_accepting()

    def resume(self) -> None:
        """Starts or resumes accepting."""
        if self._paused:
            self._paused = False
            self._start_accepting()

    def _stop_accepting(self) -> None:
        if self._retry_timer is None:
            IOLoop.current().remove_handler(self.socket)
        else:
            IOLoop.current().remove_timeout(self._retry_timer)
            self._retry_timer = None

    def close(self) -> None:
        """Accepts the connections already queued, unless paused, then closes the socket."""
        if not self._paused:
            self.pause()
            self._accept(BACKLOG)
        self.socket.close()
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)

    def _accept(self, max_accepts: int) -> None:
        for _ in range(max_accepts):
            if max_accepts == MAX_ACCEPTS_PER_TURN and not self.tracker.can_accept():
                self._retry_later()
                return
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno == errno.ECONNABORTED:
                    continue
                if error.errno in (errno.EMFILE, errno.ENFILE) and self._reject_with_spare():
                    continue
                self._retry_later()
                return
            connection = Connection(create_stream(accepted), self.tracker)
            connection.peer = address[:2]
            self.on_accepted(connection)

    def _reject_with_spare(self) -> bool:
        """Rejects one connection on the spare descriptor. Returns False if that is not possible."""
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None
        try:
            accepted, _address = self.socket.accept()
            with accepted:
                accepted.setblocking(False)
                with contextlib.suppress(OSError):
                    accepted.recv(READ_CHUNK_BYTES)  # unread input would turn the close into a reset
                self.on_rejected(accepted)
        except OSError:
            return False
        else:
            return True
        finally:
            with contextlib.suppress(OSError):  # the descriptor may be in use; the next call retries
                self._spare_descriptor = os.open(os.devnull, os.O_RDONLY)
