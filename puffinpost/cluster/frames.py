"""Encodes and decodes frames between nodes: a length, a checksum (CRC-32) and a message in MessagePack.

It does no I/O: `links` and `operator` send and receive the frames. A frame that is too long, is damaged or
holds no known message makes its own link unusable, and no other.
"""

from __future__ import annotations

import struct
import zlib
from enum import StrEnum
from typing import Any

import msgspec

from puffinpost.consensus.messages import Frame
from puffinpost.errors import PuffinpostError

HEADER = struct.Struct(">II")  # length and checksum of the body
MAX_MESSAGE_SIZE = 4 * 1024 * 1024  # bytes; documents are small

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Frame)


def register_messages(messages: Any) -> None:
    """Adds messages, given as a union of structs, to those that this process decodes."""
    global _decoder
    _decoder = msgspec.msgpack.Decoder(Frame | messages)


class FrameFault(StrEnum):
    """What is wrong with a frame. The value is part of the name of its counter."""

    OVERSIZED = "oversized"
    GARBLED = "garbled"


class FrameError(PuffinpostError):
    """A frame cannot be decoded."""

    def __init__(self, fault: FrameFault, text: str) -> None:
        super().__init__(text)
        self.fault = fault


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message as a frame."""
    body = _encoder.encode(message)
    return HEADER.pack(len(body), zlib.crc32(body)) + body


class FrameDecoder:
    """Decodes messages from a byte stream that arrives in pieces of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the complete messages. Raises ``FrameError``, after which the link must be closed."""
        self._buffer += data
        messages: list[Frame] = []
        position = 0
        while (body := self._body_at(position)) is not None:
            position += HEADER.size + len(body)
            messages.append(_decode(body))
        del self._buffer[:position]
        return messages

    def _body_at(self, position: int) -> bytes | None:
        """Returns the verified body of the frame at a position, or None while it is incomplete."""
        start = position + HEADER.size
        if len(self._buffer) < start:
            return None
        length, checksum = HEADER.unpack_from(self._buffer, position)
        if length > MAX_MESSAGE_SIZE:
            raise FrameError(
                FrameFault.OVERSIZED, f"frame of {length} bytes, expected at most {MAX_MESSAGE_SIZE}"
            )
        if len(self._buffer) < start + length:
            return None
        body = bytes(self._buffer[start : start + length])
        if zlib.crc32(body) != checksum:
            raise FrameError(FrameFault.GARBLED, "frame checksum mismatch")
        return body


def _decode(body: bytes) -> Frame:
    try:
        message: Frame = _decoder.decode(body)
    except msgspec.DecodeError as problem:
        raise FrameError(FrameFault.GARBLED, str(problem)) from None
    return message
