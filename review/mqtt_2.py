"""A stand-in of an MQTT 5.0 device for the cases: QoS 1, a session that outlives its connection."""

from __future__ import annotations

import asyncio
import contextlib
import struct

from rig_2 import LOOPBACK, Record

CONNACK, PUBLISH, PUBACK, SUBACK, DISCONNECT = 2, 3, 4, 9, 14
EXPIRY_S = 60


def _text(text: str) -> bytes:
    return struct.pack(">H", len(text.encode())) + text.encode()


def _packet(first_byte: int, body: bytes) -> bytes:
    size, length = len(body), b""
    while True:
        size, digit = divmod(size, 128)
        length += bytes([digit | (128 if size else 0)])
        if not size:
            return bytes([first_byte]) + length + body


class Device:
    """A device with one session. ``received`` has the messages to it, each once."""

    def __init__(self, record: Record, port: int, client_id: str) -> None:
        self.record, self.port, self.client_id = record, port, client_id
        self.received: list[tuple[str, bytes]] = []
        self._last_id = 0
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def connect(self) -> tuple[bool, int]:
        """Connects; returns whether its session is there, and the reason code of the answer."""
        self._reader, self._writer = await asyncio.open_connection(LOOPBACK, self.port)
        properties = bytes([5, 0x11]) + struct.pack(">I", EXPIRY_S)
        head = _text("MQTT") + bytes([5, 0]) + struct.pack(">H", 30)
        self._writer.write(_packet(0x10, head + properties + _text(self.client_id)))
        kind, body = await self._read_packet()
        if kind != CONNACK:
            raise EOFError(f"packet {kind} in place of CONNACK")
        self.record(f"{self.client_id} connected: session present {body[0] & 1}, reason 0x{body[1]:02x}")
        return bool(body[0] & 1), body[1]

    async def subscribe(self) -> None:
        """Subscribes to all of the node's topics."""
        self._writer.write(_packet(0x82, struct.pack(">HB", 1, 0) + _text("puffinpost/#") + b"\x01"))
        while (await self._read_packet())[0] != SUBACK:
            pass

    def publish(self, topic: str, payload: bytes) -> None:
        """Sends a message at QoS 1."""
        self._last_id += 1
        self.record(f"{self.client_id} sent {topic}: {payload.decode()}")
        self._writer.write(
            _packet(0x32, _text(f"puffinpost/{topic}") + struct.pack(">HB", self._last_id, 0) + payload)
        )

    async def next_message(self, within_s: float = 10.0) -> tuple[str, bytes]:
        """Waits for the next message to it, and acknowledges it."""
        while True:
            kind, body = await asyncio.wait_for(self._read_packet(), within_s)
            if kind == DISCONNECT:
                raise EOFError(f"DISCONNECT 0x{body[0] if body else 0:02x}")
            if kind == PUBLISH:
                size = struct.unpack(">H", body[:2])[0]
                topic, rest = body[2 : 2 + size].decode(), body[2 + size :]
                self._writer.write(_packet(0x40, rest[:2]))
                payload = rest[3 + rest[2] :]
                self.record(f"{self.client_id} got {topic}: {payload!r}")
                self.received.append((topic.removeprefix("puffinpost/"), payload))
                return self.received[-1]

    def drop(self) -> None:
        """Loses the link: a reset."""
        with contextlib.suppress(Exception):
            self._writer.transport.abort()

    async def _read_packet(self) -> tuple[int, bytes]:
        first = (await self._reader.readexactly(1))[0]
        size = shift = 0
        while True:
            digit = (await self._reader.readexactly(1))[0]
            size |= (digit & 127) << shift
            shift += 7
            if digit < 128:
                break
        body = await self._reader.readexactly(size)
        if first >> 4 == PUBLISH and (first >> 1) & 3 != 1:
            raise EOFError("a message of another QoS than 1")
        return first >> 4, body
