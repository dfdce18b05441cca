"""Links between nodes: one TCP connection per direction in use, reconnected while both nodes run.

A node sends its own messages on the connections that it opened, and only replies on a connection that another
node opened. Messages may be lost with a link. A peer that is not a member of the same cluster is disconnected
and counted.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.tcpserver import TCPServer

from puffinpost.cluster.frames import FrameDecoder, FrameError, encode
from puffinpost.consensus.messages import (
    PROTOCOL_VERSION,
    Frame,
    Hello,
    Message,
    OperatorQuery,
    OperatorReply,
)
from puffinpost.observability import log

HANDSHAKE_TIMEOUT_S = 2.0
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0
MAX_QUEUED_MESSAGES = 256  # while a link is down; beyond that, the oldest are dropped
MAX_UNSENT_BYTES = 1024 * 1024  # a link whose peer lets more than this queue up is closed
TCP_USER_TIMEOUT_MS = 5000  # RFC 5482: a link is closed if sent bytes stay unacknowledged this long
READ_SIZE = 65536
OPERATOR_NAME = "@operator"
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What links need from their node. ``token``: the secret with which an operator on this machine connects.

    ``on_message`` receives the sender's name and identity, the message, and the link for a reply, if there
    is one.
    """

    cluster: str
    members: dict[str, Address]
    hello: Callable[[], Hello]
    on_message: Callable[[str, str, Message, IncomingLink | None], None]
    on_operator_query: Callable[[OperatorQuery], OperatorReply]
    count: Callable[[str], None]
    token: str


class LinkRejection(StrEnum):
    """Why a peer is disconnected. The value is part of the name of its counter."""

    NO_HELLO = "not_introduced"
    OTHER_CLUSTER = "foreign"
    OTHER_PROTOCOL = "other_protocol"
    NOT_MEMBER = "not_member"


def check_hello(context: LinkContext, frame: Frame) -> Hello | LinkRejection:
    """Returns a peer's first frame if the link may be used, otherwise why it may not."""
    if not isinstance(frame, Hello):
        return LinkRejection.NO_HELLO
    if frame.cluster != context.cluster:
        return LinkRejection.OTHER_CLUSTER
    if frame.protocol != PROTOCOL_VERSION:
        return LinkRejection.OTHER_PROTOCOL
    if frame.name == OPERATOR_NAME:
        is_allowed = bool(context.token) and frame.identity == context.token
    else:
        is_allowed = frame.name in context.members and frame.name != context.hello().name
    return frame if is_allowed else LinkRejection.NOT_MEMBER


def configure_stream(stream: IOStream) -> IOStream:
    """Sets the limits of a link's stream. Raises ``StreamClosedError`` if it is already closed."""
    if stream.closed():
        raise StreamClosedError
    stream.set_nodelay(True)
    stream.max_write_buffer_size = MAX_UNSENT_BYTES
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return stream


class IncomingLink:
    """A connection that another node opened; this node sends only replies on it."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream

    def send(self, message: Frame) -> None:
        """Sends a reply, which is lost if the link is down."""
        _write(self.stream, encode(message))


class OutgoingLink:
    """This node's connection to another node, reconnected whenever it ends."""

    def __init__(self, context: LinkContext, name: str, rng: random.Random) -> None:
        self.context, self.name, self.rng = context, name, rng
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.stream: IOStream | None = None  # None while the link is down
        self.task = asyncio.ensure_future(self._run())

    def send(self, message: msgspec.Struct) -> None:
        """Sends a message, or queues it while the link is down."""
        if self.stream is not None:
            _write(self.stream, encode(message))
        else:
            self.queue.append(encode(message))

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RECONNECT_DELAY_S
        while True:
            started_s = loop.time()
            await self._connect_guarded()
            was_stable = loop.time() - started_s > MAX_RECONNECT_DELAY_S
            delay_s = MIN_RECONNECT_DELAY_S if was_stable else min(2 * delay_s, MAX_RECONNECT_DELAY_S)
            await asyncio.sleep(delay_s * (0.5 + self.rng.random()))

    async def _connect_guarded(self) -> None:
        try:
            await self._connect()
        except (OSError, StreamClosedError, TimeoutError):
            pass
        except FrameError as problem:
            self.context.count(f"cluster_{problem.fault}")
        except Exception:  # noqa: BLE001 (a defect must not stop the reconnection of the link)
            self.context.count("cluster_exceptions")
            log.exception(f"cluster link to {self.name} failed")

    async def _connect(self) -> None:
        """Connects, and receives messages until the link ends."""
        context = self.context
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(stream.connect(context.members[self.name]), HANDSHAKE_TIMEOUT_S)
            await configure_stream(stream).write(encode(context.hello()))
            decoder = FrameDecoder()
            first, *frames = await asyncio.wait_for(_read_frames(stream, decoder), HANDSHAKE_TIMEOUT_S)
            hello = check_hello(context, first)
            if isinstance(hello, LinkRejection) or hello.name != self.name:
                reason = hello if isinstance(hello, LinkRejection) else LinkRejection.NOT_MEMBER
                context.count(f"cluster_{reason}")
                return
            self._on_connected(stream, hello)
            while True:
                for frame in frames:
                    self._on_frame(hello, frame)
                frames = await _read_frames(stream, decoder)
        finally:
            self.stream = None
            stream.close()

    def _on_connected(self, stream: IOStream, hello: Hello) -> None:
        self.stream = stream
        while self.queue:
            _write(stream, self.queue.popleft())
        self.context.on_message(hello.name, hello.identity, hello, None)

    def _on_frame(self, hello: Hello, frame: Frame) -> None:
        if not isinstance(frame, OperatorQuery | OperatorReply):
            self.context.on_message(hello.name, hello.identity, frame, None)


class Links(TCPServer):
    """All links of a node."""

    def __init__(self, context: LinkContext, rng: random.Random) -> None:
        super().__init__()
        self.context, self.rng = context, rng
        self.outgoing: dict[str, OutgoingLink] = {}
        self.incoming: set[IOStream] = set()

    def connected_count(self) -> int:
        """Returns how many of this node's outgoing links are connected."""
        return sum(link.stream is not None for link in self.outgoing.values())

    def send(self, name: str, message: msgspec.Struct) -> None:
        """Sends a message to a member. It is lost if the name is unknown or the link stays down for long."""
        if name in self.context.members:
            if name not in self.outgoing:
                self.outgoing[name] = OutgoingLink(self.context, name, self.rng)
            self.outgoing[name].send(message)

    async def handle_stream(self, stream: IOStream, _address: Address) -> None:
        """Serves a connection that another node or an operator has opened."""
        self.incoming.add(stream)
        try:
            await self._serve(stream)
        except (OSError, StreamClosedError, TimeoutError):
            return
        except FrameError as problem:
            self.context.count(f"cluster_{problem.fault}")
        finally:
            self.incoming.discard(stream)
            stream.close()

    async def _serve(self, stream: IOStream) -> None:
        context, decoder = self.context, FrameDecoder()
        configure_stream(stream)
        first, *frames = await asyncio.wait_for(_read_frames(stream, decoder), HANDSHAKE_TIMEOUT_S)
        hello = check_hello(context, first)
        if isinstance(hello, LinkRejection):
            context.count(f"cluster_{hello}")
            return
        link = IncomingLink(stream)
        link.send(context.hello())
        if hello.name != OPERATOR_NAME:
            context.on_message(hello.name, hello.identity, hello, link)
        while True:
            for frame in frames:
                self._on_frame(hello, frame, link)
            frames = await _read_frames(stream, decoder)

    def _on_frame(self, hello: Hello, frame: Frame, link: IncomingLink) -> None:
        is_operator = hello.name == OPERATOR_NAME
        if isinstance(frame, OperatorQuery):
            if is_operator:
                link.send(self.context.on_operator_query(frame))
        elif not isinstance(frame, OperatorReply) and not is_operator:
            self.context.on_message(hello.name, hello.identity, frame, link)

    async def close(self) -> None:
        """Closes all links."""
        self.stop()
        for stream in list(self.incoming):
            stream.close()
        for link in self.outgoing.values():
            link.task.cancel()
        await asyncio.gather(*(link.task for link in self.outgoing.values()), return_exceptions=True)


async def _read_frames(stream: IOStream, decoder: FrameDecoder) -> list[Frame]:
    """Waits for and returns the next frames, at least one."""
    while not (frames := decoder.feed(await stream.read_bytes(READ_SIZE, partial=True))):
        pass
    return frames


def _write(stream: IOStream, data: bytes) -> None:
    """Writes without waiting; a link whose peer does not read is closed."""
    if stream.closed():
        return
    try:
        stream.write(data).add_done_callback(_retrieve_exception)
    except StreamBufferFullError:
        stream.close()


def _retrieve_exception(written: asyncio.Future[None]) -> None:
    """Keeps asyncio from logging the exception: the reading side detects a lost link."""
    if not written.cancelled():
        written.exception()
