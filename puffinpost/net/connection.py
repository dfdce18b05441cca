"""A connection on an IOStream: passes input to a receiver, writes in order, starts TLS and closes.

Frontends, upstream handlers and clients of other services own connections. A connection is independent of the
protocol. It limits what it buffers for a peer that does not read.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, runtime_checkable

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError
from tornado.locks import Event

from puffinpost.net.stream import READ_CHUNK_BYTES, EndNotifyingStream
from puffinpost.net.tls import HANDSHAKE_TIMEOUT_S, TlsUpgrade, peer_common_name
from puffinpost.observability import log

# Above this number of unsent bytes, no more input is read for the peer. So each side of a session buffers at
# most this and one chunk, whatever the peers do: a few MB for 100 sessions.
MAX_UNSENT_BYTES = 16 * 1024
LINGER_TIMEOUT_S = 1.0
MAX_DISCARDED_BYTES = 256 * 1024  # input read after the last write; a peer that sends more is disconnected

# The type of the errors for a closed stream, a failed or late TLS handshake, and an unreachable host.
CONNECTION_ENDED = OSError


class Receiver(Protocol):
    """Receives a connection's input, without access to the socket.

    A receiver that also has ``on_input_ended`` is an ``InputEndReceiver``.
    """

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""

    def connection_lost(self, reset: bool) -> None:
        """Called when the peer has closed or reset the connection, but not after a close from this end."""

    def on_internal_error(self) -> None:
        """Answers and closes the connection, after ``data_received`` raised an exception."""


@runtime_checkable
class InputEndReceiver(Protocol):
    """A receiver that can still answer when the peer has shut down its side."""

    def on_input_ended(self) -> None:
        """Called when the peer sends no more and can still be written to."""


class ConnectionTracker(Protocol):
    """Counts connections, to limit the descriptors that they use."""

    def can_accept(self) -> bool:
        """Whether another connection may be accepted."""

    def connection_closing(self, connection: Connection) -> None:
        """Called when a connection starts to close: it writes what is unsent and discards its input."""

    def connection_closed(self, connection: Connection) -> None:
        """Called when a connection is closed."""


class _PendingTls(NamedTuple):
    upgrade: TlsUpgrade
    on_established: Callable[[str], None]


class Connection:
    """A connected stream.

    With a tracker, ``close`` lingers: the peer can read the last output before the socket is closed.
    """

    def __init__(self, stream: IOStream, tracker: ConnectionTracker | None = None) -> None:
        self.stream = stream
        self.tracker = tracker
        self.forward_target: Connection | None = None  # the connection that the input is forwarded to
        self.unsent = 0  # bytes not accepted by the kernel yet
        self._reading_allowed = Event()
        self._reading_allowed.set()
        self._closing = False
        self._lingering = False
        self._in_handshake = False
        self._pending_tls: _PendingTls | None = None
        self._pending_read: Awaitable[bytes] | None = None
        self.peer = ("0.0.0.0", 0)
        stream.set_nodelay(True)

    @property
    def closed(self) -> bool:
        """Whether this end has closed the connection, or the stream has ended."""
        return self._closing or self.stream.closed()

    async def run(self, receiver: Receiver) -> None:
        """Reads until the connection is closed, and passes all input to ``receiver``."""
        if isinstance(self.stream, EndNotifyingStream) and isinstance(receiver, InputEndReceiver):
            self.stream.on_end_of_stream = receiver.on_input_ended
        try:
            await self._read_and_report(receiver)
            await self._discard_input()
        except CONNECTION_ENDED:
            self.stream.close()
            if not self._closing:
                self._closing = True
                receiver.connection_lost(self.stream.error is not None)
        finally:
            if isinstance(self.stream, EndNotifyingStream):
                # Breaks a reference cycle of receiver, connection and stream, which delays freeing them.
                self.stream.on_end_of_stream = None
            if self.tracker is not None:
                self.tracker.connection_closed(self)

    async def _read_and_report(self, receiver: Receiver) -> None:
        try:
            await self._read_until_closed(receiver)
        except CONNECTION_ENDED:
            raise
        except Exception:  # noqa: BLE001 (boundary: a defect must end this connection only)
            log.exception("connection closed after an internal error")
            receiver.on_internal_error()

    async def _read_until_closed(self, receiver: Receiver) -> None:
        if self._pending_tls is not None:  # TLS starts with the first byte
            await self._run_handshake(self._pending_tls)
        while not self._closing:
            if not self._reading_allowed.is_set():
                await self._reading_allowed.wait()
            self._pending_read = pending_read = self.stream.read_bytes(READ_CHUNK_BYTES, partial=True)
            data = await pending_read
            self._pending_read = None
            if self._closing:
                return
            receiver.data_received(data)
            if self._pending_tls is not None:
                await self._run_handshake(self._pending_tls)
            # Limits what is buffered for a peer that does not read.
            await self.wait_until_writable()
            if self.forward_target is not None:
                with contextlib.suppress(StreamClosedError):  # the target's own read loop reports that
                    await self.forward_target.wait_until_writable()
            if len(data) == READ_CHUNK_BYTES:
                # A read that finds bytes at once does not yield: a fast sender would starve the others.
                await asyncio.sleep(0)

    async def wait_until_writable(self) -> None:
        """Waits until the unsent bytes are below the limit."""
        while self.unsent > MAX_UNSENT_BYTES and not self.closed:
            await self.flushed()

    async def _discard_input(self) -> None:
        """Reads and drops input while lingering.

        A close with unread input resets the connection, and the peer then loses what it has not read yet.
        ``MAX_DISCARDED_BYTES`` limits the amount of input and ``LINGER_TIMEOUT_S`` the time.
        """
        remaining = MAX_DISCARDED_BYTES if self._lingering else 0
        while remaining > 0:
            remaining -= len(await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True))
            await asyncio.sleep(0)
        if self._lingering:
            self.stream.close()

    def start_tls(self, upgrade: TlsUpgrade, on_established: Callable[[str], None]) -> None:
        """Starts TLS after the output written so far is sent; no more cleartext is read.

        It must be called from ``data_received`` or before ``run``. ``on_established`` is called with the
        common name in the peer's certificate.
        """
        self._pending_tls = _PendingTls(upgrade, on_established)

    async def _run_handshake(self, pending: _PendingTls) -> None:
        self._pending_tls = None
        await self.flushed()
        upgrade = pending.upgrade
        self._in_handshake = True
        try:
            secured = self.stream.start_tls(upgrade.server_side, upgrade.context, upgrade.hostname)
            self.stream = await asyncio.wait_for(secured, HANDSHAKE_TIMEOUT_S)
        finally:
            self._in_handshake = False
        if self._closing:
            self.stream.close()
            return
        pending.on_established(peer_common_name(self.stream.socket))

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading."""
        if paused:
            self._reading_allowed.clear()
        else:
            self._reading_allowed.set()

    def write(self, data: bytes) -> None:
        """Writes data, immediately if the kernel accepts it; does nothing on a closed connection."""
        if self.closed:
            return
        with contextlib.suppress(StreamClosedError):  # the read loop reports that
            written = self.stream.write(data)
            if not written.done():
                self.unsent += len(data)
                written.add_done_callback(lambda _written: self._on_sent(len(data)))

    def _on_sent(self, size: int) -> None:
        self.unsent -= size

    async def flushed(self) -> None:
        """Waits until the kernel has accepted all output."""
        await self.stream.write(b"")

    @property
    def is_quiescent(self) -> bool:
        """Whether this process buffers nothing in either direction, so that the socket may be handed over."""
        return (
            not self.closed
            and not self.unsent
            and isinstance(self._pending_read, asyncio.Future)
            and not self._pending_read.done()
            and not self.stream.writing()
            and not isinstance(self.stream, SSLIOStream)
        )

    def detach(self) -> None:
        """Closes this process's descriptor of a socket that another process has taken over."""
        self._closing = True
        self._reading_allowed.set()
        self.stream.close()

    def abort(self) -> None:
        """Closes the connection immediately and drops the output that the kernel has not accepted yet.

        A request that is partly buffered here counts as never sent, so the rest must not be sent later.
        """
        self._closing = True
        self._reading_allowed.set()
        if not self._in_handshake:  # else the stream is being replaced, and closed after the handshake
            self.stream.close()

    def close(self, reset: bool = False) -> None:
        """Closes the connection after all output is sent, or resets it."""
        if self._closing:
            return
        self._closing = True
        self._reading_allowed.set()
        if self._in_handshake:
            return  # the stream is being replaced; it is closed after the handshake
        if self.stream.closed():
            self.stream.close()
        elif reset:
            self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream.close()
        else:
            self._close_after_flush()

    def _close_after_flush(self) -> None:
        # TLS has no half-close during which to wait for the peer.
        self._lingering = self.tracker is not None and not isinstance(self.stream, SSLIOStream)
        if not self._lingering and not self.stream.writing():
            self.stream.close()
            return
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self.stream.close)
        self.stream.write(b"").add_done_callback(self._on_final_flush)
        if self._lingering and self.tracker is not None:
            self.tracker.connection_closing(self)

    def _on_final_flush(self, written: asyncio.Future[None]) -> None:
        if written.exception() is None and self._lingering and not self.stream.closed():
            with contextlib.suppress(OSError):  # the peer has disconnected, which the next read reports
                self.stream.socket.shutdown(socket.SHUT_WR)
            return
        self.stream.close()
