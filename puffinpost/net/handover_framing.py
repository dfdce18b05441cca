"""Divides handover messages into fragments that the kernel transfers whole, and puts them together again.

A datagram is a whole message, a JSON object, or a fragment: a header, and a part of the message. This
module does no I/O and passes sockets on without using them. Earlier versions know whole messages only.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from puffinpost.errors import PuffinpostError

FRAGMENT_MARK = 0xF2  # the first byte of a fragment; a whole message begins with a brace
FRAGMENT_HEADER = struct.Struct("!BIIH")  # mark, bytes of the message, offset of the fragment, sockets in all
MAX_DATAGRAM_BYTES = 64 * 1024  # well below the kernel's default limit of about 208 KiB
MAX_DATAGRAM_SOCKETS = 64  # below the kernel's limit of 253
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
WHOLE_MESSAGE_START = b"{"


class HandoverFormatError(PuffinpostError):
    """A datagram is no message and no fragment that can follow the earlier ones."""


class Datagram(NamedTuple):
    """What is sent at once: bytes, and the sockets that go with them."""

    data: bytes
    sockets: Sequence[socket.socket]


def fits_one_datagram(message: bytes, sockets: Sequence[socket.socket]) -> bool:
    """Whether a message is sent whole."""
    return len(message) <= MAX_DATAGRAM_BYTES and len(sockets) <= MAX_DATAGRAM_SOCKETS


def fragments(message: bytes, sockets: Sequence[socket.socket]) -> Iterator[Datagram]:
    """Divides a message with any number of sockets. Raises ``HandoverFormatError`` if it is too long."""
    if len(message) > MAX_MESSAGE_BYTES:
        raise HandoverFormatError(f"a message of {len(message)} bytes is too long")
    part_bytes = MAX_DATAGRAM_BYTES - FRAGMENT_HEADER.size
    part_count = max(-(-len(message) // part_bytes), -(-len(sockets) // MAX_DATAGRAM_SOCKETS))
    for number in range(part_count):
        part = message[number * part_bytes : (number + 1) * part_bytes]
        offset = min(number * part_bytes, len(message))
        header = FRAGMENT_HEADER.pack(FRAGMENT_MARK, len(message), offset, len(sockets))
        first_socket = number * MAX_DATAGRAM_SOCKETS
        yield Datagram(header + part, sockets[first_socket : first_socket + MAX_DATAGRAM_SOCKETS])


class MessageAssembler:
    """Puts the messages of one channel together, and keeps the sockets of an incomplete one."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._sockets: list[socket.socket] = []
        self._expected = (0, 0)  # bytes and sockets of the message that has begun; no message has 0 bytes

    def feed(self, data: bytes, sockets: list[socket.socket]) -> Datagram | None:
        """Takes a datagram; returns the message that it completes, if any. Raises ``HandoverFormatError``."""
        if data.startswith(WHOLE_MESSAGE_START):
            if self._expected != (0, 0):
                raise HandoverFormatError("a message began before the last one was complete")
            return Datagram(data, sockets)
        self._add_fragment(data, sockets)
        message_bytes, socket_count = self._expected
        if len(self._data) < message_bytes or len(self._sockets) < socket_count:
            return None
        message = Datagram(bytes(self._data), self._sockets)
        self._data, self._sockets, self._expected = bytearray(), [], (0, 0)
        return message

    def _add_fragment(self, data: bytes, sockets: list[socket.socket]) -> None:
        if len(data) < FRAGMENT_HEADER.size or data[0] != FRAGMENT_MARK:
            raise HandoverFormatError("neither a message nor a fragment")
        _, message_bytes, offset, socket_count = FRAGMENT_HEADER.unpack_from(data)
        part = data[FRAGMENT_HEADER.size :]
        if not 0 < message_bytes <= MAX_MESSAGE_BYTES:
            raise HandoverFormatError(f"a message of {message_bytes} bytes")
        if self._expected not in ((0, 0), (message_bytes, socket_count)) or offset != len(self._data):
            raise HandoverFormatError("a fragment does not follow the one before")
        if offset + len(part) > message_bytes or len(self._sockets) + len(sockets) > socket_count:
            raise HandoverFormatError("a fragment has more than its message")
        self._expected = (message_bytes, socket_count)
        self._data += part
        self._sockets += sockets

    def close(self) -> None:
        """Closes the sockets of an incomplete message."""
        for each in self._sockets:
            each.close()
        self._sockets = []
