"""HTTP/1.1 as discovery speaks it: one GET at a time, and a parser for the replies."""

from __future__ import annotations

from dataclasses import dataclass

LONGEST_HEAD = 16 * 1024
LONGEST_BODY = 4 * 1024 * 1024


class HttpError(ValueError):
    """What came is not a reply that this parser takes; the text says why."""


def get(path: str, host: str) -> bytes:
    """The bytes of a GET on a connection that stays open."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole reply. ``keep``: the connection may carry another."""

    status: int
    body: bytes
    keep: bool


class ReplyParser:
    """A state machine for one reply, fed bytes. Bodies come by length, in chunks, or up to the end."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._body = bytearray()
        self._state = "head"
        self._status = 0
        self._left = 0
        self._keep = True

    def feed(self, data: bytes) -> Reply | None:
        """The reply, once it is whole. Nothing may follow it: no further request is out."""
        self._buffer += data
        while True:
            before = self._state, len(self._buffer)
            getattr(self, "_" + self._state)()
            if self._state == "done":
                if self._buffer:
                    raise HttpError("bytes after the reply")
                return Reply(self._status, bytes(self._body), self._keep)
            if (self._state, len(self._buffer)) == before:
                return None

    def end(self) -> Reply:
        """The connection has ended: the reply, if its end was to be told by that."""
        if self._state != "until_end":
            raise HttpError("the connection ended before the reply did")
        return Reply(self._status, bytes(self._body), False)

    def _line(self) -> bytes | None:
        at = self._buffer.find(b"\n")
        if at < 0:
            if len(self._buffer) > LONGEST_HEAD:
                raise HttpError("a line of the reply is too long")
            return None
        line = bytes(self._buffer[:at]).rstrip(b"\r")
        del self._buffer[:at + 1]
        return line

    def _head(self) -> None:
        at = self._buffer.find(b"\r\n\r\n")
        if at > LONGEST_HEAD or (at < 0 and len(self._buffer) > LONGEST_HEAD):
            raise HttpError("the reply's head is too long")
        if at < 0:
            return
        head = bytes(self._buffer[:at]).split(b"\r\n")
        del self._buffer[:at + 4]
        words = head[0].split(None, 2)
        if len(words) < 2 or not words[0].startswith(b"HTTP/1.") or not words[1].isdigit():
            raise HttpError(f"not a status line: {head[0][:80]!r}")
        self._status = int(words[1])
        fields: dict[bytes, bytes] = {}
        for line in head[1:]:
            name, colon, value = line.partition(b":")
            if not colon:
                raise HttpError(f"not a header line: {line[:80]!r}")
            fields[name.strip().lower()] = value.strip()
        if 100 <= self._status < 200:
            return  # an interim reply; the real one follows
        connection = fields.get(b"connection", b"").lower()
        self._keep = connection != b"close" and (words[0] != b"HTTP/1.0" or connection == b"keep-alive")
        if self._status in (204, 304):
            self._state = "done"
        elif fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            self._state = "chunk_size"
        elif b"content-length" in fields:
            raw = fields[b"content-length"]
            if not raw.isdigit():
                raise HttpError(f"Content-Length is {raw[:20]!r}")
            self._take(int(raw))
            self._state = "sized"
        else:
            self._state = "until_end"

    def _take(self, size: int) -> None:
        if len(self._body) + size > LONGEST_BODY:
            raise HttpError(f"the reply's body is longer than {LONGEST_BODY} bytes")
        self._left = size

    def _move(self) -> None:
        part = self._buffer[:self._left]
        self._body += part
        self._left -= len(part)
        del self._buffer[:len(part)]

    def _sized(self) -> None:
        self._move()
        if self._left == 0:
            self._state = "done"

    def _until_end(self) -> None:
        self._take(len(self._buffer))
        self._move()

    def _chunk_size(self) -> None:
        line = self._line()
        if line is None:
            return
        try:
            size = int(line.split(b";")[0].strip(), 16)
        except ValueError:
            raise HttpError(f"not a chunk's size: {line[:20]!r}") from None
        if size < 0:
            raise HttpError(f"not a chunk's size: {line[:20]!r}")
        self._take(size)
        self._state = "chunk" if size else "trailer"

    def _chunk(self) -> None:
        self._move()
        if self._left == 0 and self._line() is not None:
            self._state = "chunk_size"

    def _trailer(self) -> None:
        line = self._line()
        if line == b"":
            self._state = "done"
