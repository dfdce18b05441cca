"""A channel between two processes of one node: JSON messages, each with the sockets that it transfers.

IOStream does not support ``SCM_RIGHTS``, so the channel uses a Unix socket directly, of type SEQPACKET:
a datagram arrives complete with its descriptors, or not at all. `handover_framing` divides longer messages.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import orjson
from tornado.ioloop import IOLoop

from puffinpost.errors import PuffinpostError
from puffinpost.net.handover_framing import (
    Datagram,
    HandoverFormatError,
    MessageAssembler,
    fits_one_datagram,
    fragments,
)
from puffinpost.observability import log

RECEIVE_BYTES = (
    256 * 1024
)  # earlier versions send messages of up to the kernel's default limit, about 208 KiB
MAX_RECEIVED_SOCKETS = 253  # the kernel's limit for one datagram
MAX_DATAGRAMS_PER_TURN = 16  # received before other callbacks run
MAX_SOCKET_PATH_BYTES = 100  # a longer path is reached through its directory's descriptor

HandoverMessage = dict[str, Any]


class HandoverChannel:
    """One end. ``on_message`` receives each message with its sockets; ``on_closed`` reports a peer close.

    ``sends_fragments`` is set once the peer is known to read fragments. Without, each message is sent whole.
    """

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.on_message: Callable[[HandoverMessage, list[socket.socket]], None] = lambda _message, _sockets: (
            None
        )
        self.on_closed: Callable[[], None] = lambda: None
        self.closed = False
        self.sends_fragments = False
        self._unsent: deque[Datagram] = deque()
        self._assembler = MessageAssembler()
        self._watched_events = IOLoop.READ
        connection.setblocking(False)
        IOLoop.current().add_handler(connection, self._on_ready, self._watched_events)

    @property
    def is_congested(self) -> bool:
        """Whether messages wait until the peer has read earlier ones."""
        return bool(self._unsent)

    def send(self, message: HandoverMessage, sockets: Sequence[socket.socket] = ()) -> None:
        """Sends a message, immediately or once the socket is writable.

        The sockets may be closed after the call.
        """
        if self.closed:
            return
        data = orjson.dumps(message)
        if self.sends_fragments and not fits_one_datagram(data, sockets):
            datagrams = list(fragments(data, sockets))
        else:
            datagrams = [Datagram(data, sockets)]
        self._unsent += [Datagram(each.data, [it.dup() for it in each.sockets]) for each in datagrams]
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
            self._assembler.close()
            for datagram in self._unsent:
                close_sockets(datagram.sockets)
            self._unsent.clear()

    def _flush(self) -> None:
        while self._unsent and not self.closed:
            data, sockets = self._unsent[0]
            try:
                socket.send_fds(self.socket, [data], [each.fileno() for each in sockets])
            except BlockingIOError:
                break
            except OSError as error:
                self._on_lost(error)
            else:
                self._unsent.popleft()
                close_sockets(sockets)
        events = IOLoop.READ | (IOLoop.WRITE if self._unsent else 0)
        if events != self._watched_events and not self.closed:
            self._watched_events = events
            IOLoop.current().update_handler(self.socket, events)

    def _on_ready(self, _connection: socket.socket, events: int) -> None:
        if events & IOLoop.WRITE:
            self._flush()
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self.closed:
                return
            try:
                message = self._receive()
            except BlockingIOError:
                return
            except (OSError, EOFError, HandoverFormatError) as error:
                self._on_lost(error)
                return
            if message is not None:
                self._dispatch(message)

    def _receive(self) -> Datagram | None:
        """Reads a datagram; returns the message that it completes, if any.

        Raises ``BlockingIOError`` if there is none, ``EOFError`` after the peer has closed the channel, and
        ``HandoverFormatError`` for one that is truncated or invalid.
        """
        data, descriptors, flags, _ = socket.recv_fds(
            self.socket, RECEIVE_BYTES, MAX_RECEIVED_SOCKETS, socket.MSG_CMSG_CLOEXEC
        )
        if not data:
            raise EOFError
        sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            close_sockets(sockets)
            raise HandoverFormatError(
                f"a datagram was truncated to {len(data)} bytes, {len(sockets)} sockets"
            )
        try:
            return self._assembler.feed(data, sockets)
        except HandoverFormatError:
            close_sockets(sockets)
            raise

    def _dispatch(self, message: Datagram) -> None:
        sockets = list(message.sockets)
        try:
            self.on_message(_parse(message.data), sockets)
        except PuffinpostError as error:
            log.info("handover message is invalid", reason=error)
            close_sockets(sockets)
        except Exception:  # noqa: BLE001 (boundary: a defect with one message must not end the channel)
            log.exception("handover message failed")
            close_sockets(sockets)

    def _on_lost(self, error: Exception) -> None:
        if not isinstance(error, EOFError):
            log.info("handover channel lost", reason=error)
        self.close()
        self.on_closed()


def _parse(data: bytes) -> HandoverMessage:
    try:
        message: HandoverMessage = orjson.loads(data)
    except orjson.JSONDecodeError as problem:
        raise HandoverFormatError(f"not JSON: {problem}") from None
    return message


def close_sockets(sockets: Sequence[socket.socket]) -> None:
    """Closes this process's descriptors of sockets."""
    for each in sockets:
        each.close()


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
