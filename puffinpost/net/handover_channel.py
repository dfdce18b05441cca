"""A channel between two processes of one node: JSON messages, each with the sockets that it transfers.

IOStream does not support ``SCM_RIGHTS``, so the channel uses a Unix socket directly, of type SEQPACKET:
a message arrives complete with its descriptors, or not at all.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
from tornado.ioloop import IOLoop

from puffinpost.observability import log

MAX_MESSAGE_BYTES = 160 * 1024  # below the kernel's default limit for one message
MAX_SOCKETS_PER_MESSAGE = 2
MAX_MESSAGES_PER_TURN = 16  # received before other callbacks run
MAX_SOCKET_PATH_BYTES = 100  # a longer path is reached through its directory's descriptor

HandoverMessage = dict[str, Any]


class HandoverChannel:
    """One end. ``on_message`` receives each message with its sockets; ``on_closed`` reports a peer close."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.on_message: Callable[[HandoverMessage, list[socket.socket]], None] = lambda _message, _sockets: (
            None
        )
        self.on_closed: Callable[[], None] = lambda: None
        self.closed = False
        self._unsent: deque[bytes] = deque()
        self._watched_events = IOLoop.READ
        connection.setblocking(False)
        IOLoop.current().add_handler(connection, self._on_ready, self._watched_events)

    def send(self, message: HandoverMessage) -> None:
        """Sends a message, immediately or once the socket is writable."""
        self._unsent.append(orjson.dumps(message))
        self._flush()

    def send_with_sockets(self, message: HandoverMessage, sockets: list[socket.socket]) -> bool:
        """Sends a message with sockets, which may then be closed here. Returns False if it cannot now."""
        if self.closed or self._unsent:
            return False
        try:
            socket.send_fds(self.socket, [orjson.dumps(message)], [each.fileno() for each in sockets])
        except BlockingIOError:
            return False
        except OSError as error:
            self._on_lost(error)
            return False
        return True

    def close(self) -> None:
        """Closes the channel; ``on_closed`` is not called."""
        if not self.closed:
            self.closed = True
            IOLoop.current().remove_handler(self.socket)
            self.socket.close()

    def _flush(self) -> None:
        while self._unsent and not self.closed:
            try:
                self.socket.send(self._unsent[0])
                self._unsent.popleft()
            except BlockingIOError:
                break
            except OSError as error:
                self._on_lost(error)
        events = IOLoop.READ | (IOLoop.WRITE if self._unsent else 0)
        if events != self._watched_events and not self.closed:
            self._watched_events = events
            IOLoop.current().update_handler(self.socket, events)

    def _on_ready(self, connection: socket.socket, events: int) -> None:
        if events & IOLoop.WRITE:
            self._flush()
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self.closed:
                return
            try:
                data, descriptors, _flags, _ = socket.recv_fds(
                    connection, MAX_MESSAGE_BYTES, MAX_SOCKETS_PER_MESSAGE, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError as error:
                self._on_lost(error)
                return
            if not data:
                self._on_lost(None)
                return
            sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
            try:
                self.on_message(orjson.loads(data), sockets)
            except Exception:  # noqa: BLE001 (boundary: a defect with one message must not end the channel)
                log.exception("handover message failed")
                for each in sockets:
                    each.close()

    def _on_lost(self, error: OSError | None) -> None:
        if error is not None:
            log.info("handover channel lost", reason=error)
        self.close()
        self.on_closed()


@contextlib.contextmanager
def _bindable_address(path: Path) -> Any:
    if len(os.fsencode(path)) <= MAX_SOCKET_PATH_BYTES:
        yield str(path)
        return
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


def connect(path: Path) -> HandoverChannel | None:
    """Returns a channel to the process that listens on a path, or None if none does."""
    client_socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        client_socket.setblocking(False)
        with _bindable_address(path) as address:
            client_socket.connect(address)
        return HandoverChannel(client_socket)
    except OSError:
        client_socket.close()
        return None


class HandoverListener:
    """Listens on a path, and replaces an earlier listener there."""

    def __init__(self, path: Path, on_connected: Callable[[HandoverChannel], None]) -> None:
        self.on_connected = on_connected
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        temporary_path = path.with_suffix(f".{os.getpid()}")
        try:
            temporary_path.unlink(missing_ok=True)
            with _bindable_address(temporary_path) as address:
                self.socket.bind(address)
            temporary_path.chmod(0o600)
            self.socket.listen(4)
            self.socket.setblocking(False)
            temporary_path.replace(path)
        except OSError:
            self.socket.close()
            raise
        IOLoop.current().add_handler(self.socket, self._on_ready, IOLoop.READ)

    def close(self) -> None:
        """Stops listening. The path remains, since it may be a successor's by now."""
        IOLoop.current().remove_handler(self.socket)
        self.socket.close()

    def _on_ready(self, listening: socket.socket, _events: int) -> None:
        with contextlib.suppress(OSError):
            self.on_connected(HandoverChannel(listening.accept()[0]))
