"""A TCP proxy that impairs the connections through it, for tests, measurements and ``puffinpost link``.

It listens on loopback, connects to one target, and passes bytes when `impairment` says so. It does not read
what it carries, and knows no protocol above TCP.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from puffinpost.emulator.impairment import (
    LinkDirection,
    LinkProfile,
    OutageKind,
    OutageSchedule,
    ResetTrigger,
)

READ_SIZE = 4096
MAX_BUFFERED_BYTES = 256 * 1024  # in one direction; beyond, the sender is not read
CLOSE_CHECK_S = 0.01
Address = tuple[str, int]


class LinkEvent(Enum):
    """What happens on a link; the values are the words that ``puffinpost link`` prints."""

    CONNECTED = "connected"  # with the connection's number, as for the next two
    CLOSED = "closed"
    UNREACHABLE = "unreachable"  # the target refused it
    DOWN = "down"  # with the number of open connections, as for the rest
    UP = "up"
    RESET = "cut"
    FROZEN = "frozen"


EventCallback = Callable[[LinkEvent, int], None]


def ignore_event(event: LinkEvent, number: int) -> None:
    """The callback of a link whose events nobody reads."""


def reset_stream(stream: IOStream) -> None:
    """Closes a stream with a TCP reset."""
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.close()


@dataclass(frozen=True, slots=True)
class _Piece:
    """Bytes on their way, and when they leave; empty ones mark the end of the stream."""

    leaves_at: float
    data: bytes


class _Forwarder:
    """One direction of a connection: reads its source, and writes to its target after the link's delay."""

    def __init__(self, connection: LinkConnection, source: IOStream, target: IOStream, seed: str) -> None:
        self.connection = connection
        self.source = source
        self.target = target
        self.direction = LinkDirection(connection.proxy.profile, seed)
        self._pieces: deque[_Piece] = deque()
        self._buffered_bytes = 0
        self._changed = asyncio.Event()

    @property
    def empty(self) -> bool:
        """Whether nothing is on its way."""
        return not self._pieces

    async def read_source(self) -> None:
        """Reads until the source's end, or until the connection has carried its bytes and is reset."""
        trigger = self.connection.reset_trigger
        with contextlib.suppress(StreamClosedError):
            while True:
                data = await self.source.read_bytes(READ_SIZE, partial=True)
                allowed = trigger.allow(len(data))
                if allowed:
                    self._append(data[:allowed])
                if allowed < len(data) or trigger.exhausted:
                    await self._wait_until(lambda: self.empty)
                    self.connection.reset()
                    return
                await self._wait_until(lambda: self._buffered_bytes <= MAX_BUFFERED_BYTES)
        if self.source.error is not None:
            self.connection.reset()
        else:
            self._append(b"")

    async def write_target(self) -> None:
        """Writes each piece at its time, while the link is up."""
        with contextlib.suppress(StreamClosedError):
            while True:
                await self._wait_until(lambda: not self.empty)
                piece = self._pieces[0]
                await asyncio.sleep(max(0.0, piece.leaves_at - time.monotonic()))
                await self.connection.wait_until_carrying()
                if piece.data:
                    await self.target.write(piece.data)
                self._pieces.popleft()
                self._buffered_bytes -= len(piece.data)
                self._changed.set()
                if not piece.data:
                    self.target.close()  # a half-close is passed on as a close
                    return

    def _append(self, data: bytes) -> None:
        leaves_at = self.direction.departure_time(time.monotonic(), len(data))
        self._pieces.append(_Piece(leaves_at, data))
        self._buffered_bytes += len(data)
        self._changed.set()

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self._changed.clear()
            await self._changed.wait()


class LinkConnection:
    """A connection through the proxy. A frozen one stays open and carries nothing any more."""

    def __init__(self, proxy: LinkProxy, client: IOStream, server: IOStream, number: int) -> None:
        self.proxy = proxy
        self.client, self.server = client, server
        self.reset_trigger = ResetTrigger(proxy.profile, time.monotonic())
        self.frozen = False
        self._forwarders = [
            _Forwarder(self, client, server, f"{proxy.seed}.{number}.up"),
            _Forwarder(self, server, client, f"{proxy.seed}.{number}.down"),
        ]

    async def run(self) -> None:
        """Passes bytes until the connection is closed."""
        tasks: list[asyncio.Task[None]] = []
        for forwarder in self._forwarders:
            tasks.append(asyncio.create_task(forwarder.read_source()))
            tasks.append(asyncio.create_task(forwarder.write_target()))
        if self.reset_trigger.reset_at is not None:
            tasks.append(asyncio.create_task(self._reset_at(self.reset_trigger.reset_at)))
        try:
            await self._wait_closed()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_closed(self) -> None:
        closed = asyncio.Event()
        for stream in (self.client, self.server):
            stream.set_close_callback(closed.set)
        while not (self.client.closed() and self.server.closed()):
            closed.clear()
            await closed.wait()
            if not self.frozen and all(forwarder.empty for forwarder in self._forwarders):
                self.client.close()
                self.server.close()
            await asyncio.sleep(CLOSE_CHECK_S)

    async def _reset_at(self, when: float) -> None:
        await asyncio.sleep(max(0.0, when - time.monotonic()))
        self.reset()

    async def wait_until_carrying(self) -> None:
        """Waits until the link carries bytes of this connection."""
        while self.frozen or not self.proxy.is_up:
            await self.proxy.wait_for_change()

    def reset(self) -> None:
        """Resets both sides."""
        for stream in (self.client, self.server):
            if not stream.closed():
                reset_stream(stream)


class LinkProxy(TCPServer):
    """The poor link. ``on_event`` is called with what happens and a number; see `LinkEvent`."""

    def __init__(
        self,
        target: Address,
        profile: LinkProfile,
        seed: int = 0,
        on_event: EventCallback = ignore_event,
    ) -> None:
        super().__init__()
        self.target = target
        self.profile = profile
        self.seed = seed
        self.on_event = on_event
        self.is_up = True
        self.connections: set[LinkConnection] = set()
        self._connection_count = 0
        self._outages = OutageSchedule(profile, time.monotonic())
        self._change: asyncio.Future[None] | None = None
        self._outage_task = asyncio.ensure_future(self._play_outages()) if profile.outages else None

    async def handle_stream(self, stream: IOStream, address: Address) -> None:
        """Carries one connection until it is closed."""
        del address  # every client is treated alike
        if not self.is_up and self.profile.outage_kind is OutageKind.RESET:
            reset_stream(stream)
            return
        self._connection_count += 1
        number = self._connection_count
        server = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        for each in (stream, server):
            each.set_nodelay(True)
        try:
            await server.connect(self.target)
        except (OSError, StreamClosedError):
            stream.close()
            self.on_event(LinkEvent.UNREACHABLE, number)
            return
        connection = LinkConnection(self, stream, server, number)
        self.connections.add(connection)
        self.on_event(LinkEvent.CONNECTED, number)
        await connection.run()
        self.connections.discard(connection)
        self.on_event(LinkEvent.CLOSED, number)

    async def _play_outages(self) -> None:
        while True:
            now = time.monotonic()
            end = self._outages.down_until(now)
            if end is not None:
                self.take_down()
                await asyncio.sleep(end - now)
                self.restore()
                continue
            begin = self._outages.next_outage_at(now)
            if begin is None:
                return
            await asyncio.sleep(begin - now)

    # --- control --------------------------------------------------------------------------------------

    def take_down(self) -> None:
        """Carries nothing from now on; resets the connections if the profile says so."""
        self.is_up = False
        if self.profile.outage_kind is OutageKind.RESET:
            self.reset_connections()
        self.on_event(LinkEvent.DOWN, len(self.connections))

    def restore(self) -> None:
        """Carries bytes again, first those that wait."""
        self.is_up = True
        if self._change is not None and not self._change.done():
            self._change.set_result(None)
        self.on_event(LinkEvent.UP, len(self.connections))

    def reset_connections(self) -> None:
        """Resets every connection."""
        for connection in list(self.connections):
            connection.reset()
        self.on_event(LinkEvent.RESET, len(self.connections))

    def freeze_connections(self) -> None:
        """Silences every open connection for good, as on a half-dead link; new ones are carried."""
        for connection in self.connections:
            connection.frozen = True
        self.on_event(LinkEvent.FROZEN, len(self.connections))

    async def wait_for_change(self) -> None:
        """Waits until the link is restored."""
        if self._change is None or self._change.done():
            self._change = asyncio.get_running_loop().create_future()
        await asyncio.shield(self._change)
