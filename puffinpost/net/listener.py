"""Accepts connections promptly, and keeps spare descriptors so that none is left without an answer."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from puffinpost.net.link import MOST_UNSENT, Link

BACKLOG = 4096
AT_ONCE = 64  # accepted before other work gets its turn


class Listener:
    """A listening socket. ``accepted`` is called with each link, ``turned_away`` with a socket to answer."""

    def __init__(self, address: tuple[str, int], accepted: Callable[[Link], None],
                 turned_away: Callable[[socket.socket], None]) -> None:
        self.address = address
        self.accepted = accepted
        self.turned_away = turned_away
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(BACKLOG)
        self._spare = os.open(os.devnull, os.O_RDONLY)
        IOLoop.current().add_handler(self.socket, lambda fd, events: self._accept(AT_ONCE), IOLoop.READ)

    def close(self) -> None:
        """Takes what has connected already, then listens no more."""
        IOLoop.current().remove_handler(self.socket)
        self._accept(BACKLOG)
        self.socket.close()
        os.close(self._spare)

    def _accept(self, most: int) -> None:
        for _ in range(most):
            try:
                connection, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE) and self._turn_away():
                    continue
                if problem.errno == errno.ECONNABORTED:
                    continue
                return
            link = Link(IOStream(connection, max_buffer_size=MOST_UNSENT))
            link.peer = address[:2]
            self.accepted(link)

    def _turn_away(self) -> bool:
        """Gives the spare descriptor to one connection, for as long as its answer takes."""
        os.close(self._spare)
        try:
            connection, _address = self.socket.accept()
            with connection:
                self.turned_away(connection)
            return True
        except OSError:
            return False
        finally:
            self._spare = os.open(os.devnull, os.O_RDONLY)
