"""HTTP/1.1 for the discovery client and the admin server: one message at a time on a connection."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote, urlsplit

from puffinpost.errors import PuffinpostError

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_REQUEST_BYTES = 8 * 1024  # for a request's head, and separately for its body


class HttpError(PuffinpostError, ValueError):
    """Invalid or unsupported HTTP; ``status`` is the status code to send if it occurs in a request."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def encode_get(path: str, host: str) -> bytes:
    """Encodes a GET request on a persistent connection."""
    return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode("ascii")


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response. ``keep_alive``: whether the connection may be used for another exchange."""

    status: int
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request from an operator; its body is ignored."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to an operator's request, in plain text."""

    status: int
    body: str
    allow: str = ""  # the methods that the path supports, for status 405

    def encode(self, head_only: bool = False) -> bytes:
        """Encodes the response, after which the connection is closed; without a body for a HEAD request."""
        body = self.body.encode()
        allow = f"Allow: {self.allow}\r\n" if self.allow else ""
        head = (
            f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}\r\n{allow}"
            f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        return head.encode("ascii") + (b"" if head_only else body)


class _MessageParser:
    """A state machine for one message, whose body is framed by length, chunks, or the end of the input."""

    max_head_bytes = MAX_HEAD_BYTES
    max_body_bytes = MAX_BODY_BYTES

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._body = bytearray()
        self._state = "head"
        self._body_remaining = 0

    def _advance(self, data: bytes) -> bool:
        """Parses as much as possible; returns whether the message is complete."""
        self._buffer += data
        while True:
            before = self._state, len(self._buffer)
            getattr(self, "_" + self._state)()
            if self._state == "done":
                return True
            if (self._state, len(self._buffer)) == before:
                return False

    def _parse_first_line(self, line: bytes) -> None:
        raise NotImplementedError

    def _on_headers(self, fields: dict[bytes, bytes]) -> None:
        raise NotImplementedError

    def _set_body_framing(self, fields: dict[bytes, bytes]) -> bool:
        """Sets how the body is framed; returns False if the header fields do not define it."""
        if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
            self._state = "chunk_size"
        elif b"content-length" in fields:
            raw = fields[b"content-length"]
            if not raw.isdigit() or len(raw) > 18:
                raise HttpError(f"Content-Length is {raw[:20]!r}")
            self._expect_body(int(raw))
            self._state = "sized"
        else:
            return False
        return True

    def _next_line(self) -> bytes | None:
        line_end = self._buffer.find(b"\n")
        if line_end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise HttpError("a line is too long")
            return None
        line = bytes(self._buffer[:line_end]).rstrip(b"\r")
        del self._buffer[: line_end + 1]
        return line

    def _head(self) -> None:
        head_end = self._buffer.find(b"\r\n\r\n")
        if head_end > self.max_head_bytes or (head_end < 0 and len(self._buffer) > self.max_head_bytes):
            raise HttpError("the head is too long", HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if head_end < 0:
            return
        head = bytes(self._buffer[:head_end]).split(b"\r\n")
        del self._buffer[: head_end + 4]
        self._parse_first_line(head[0])
        fields: dict[bytes, bytes] = {}
        for line in head[1:]:
            name, colon, value = line.partition(b":")
            if not colon:
                raise HttpError(f"not a header line: {line[:80]!r}")
            fields[name.strip().lower()] = value.strip()
        self._on_headers(fields)

    def _expect_body(self, size: int) -> None:
        if len(self._body) + size > self.max_body_bytes:
            raise HttpError(
                f"the body is longer than {self.max_body_bytes} bytes", HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
        self._body_remaining = size

    def _move_body(self) -> None:
        received = self._buffer[: self._body_remaining]
        self._body += received
        self._body_remaining -= len(received)
        del self._buffer[: len(received)]

    def _sized(self) -> None:
        self._move_body()
        if self._body_remaining == 0:
            self._state = "done"

    def _until_end(self) -> None:
        self._expect_body(len(self._buffer))
        self._move_body()

    def _chunk_size(self) -> None:
        line = self._next_line()
        if line is None:
            return
        try:
            size = int(line.split(b";")[0].strip(), 16)
        except ValueError:
            raise HttpError(f"not a chunk's size: {line[:20]!r}") from None
        if size < 0:
            raise HttpError(f"not a chunk's size: {line[:20]!r}")
        self._expect_body(size)
        self._state = "chunk" if size else "trailer"

    def _chunk(self) -> None:
        self._move_body()
        if self._body_remaining == 0 and self._next_line() is not None:
            self._state = "chunk_size"

    def _trailer(self) -> None:
        line = self._next_line()
        if line == b"":
            self._state = "done"


class ResponseParser(_MessageParser):
    """Parses one response."""

    def __init__(self) -> None:
        super().__init__()
        self._status = 0
        self._keep_alive = True
        self._is_http_1_0 = False

    def feed(self, data: bytes) -> Response | None:
        """Returns the response once it is complete. No bytes may follow it: no other request is in flight."""
        if not self._advance(data):
            return None
        if self._buffer:
            raise HttpError("bytes after the response")
        return Response(self._status, bytes(self._body), self._keep_alive)

    def end(self) -> Response:
        """Returns the response if the end of the input frames its body; else raises ``HttpError``."""
        if self._state != "until_end":
            raise HttpError("the connection was closed before the response was complete")
        return Response(self._status, bytes(self._body), False)

    def _parse_first_line(self, line: bytes) -> None:
        fields = line.split(None, 2)
        if len(fields) < 2 or not fields[0].startswith(b"HTTP/1.") or not fields[1].isdigit():
            raise HttpError(f"not a status line: {line[:80]!r}")
        self._status, self._is_http_1_0 = int(fields[1]), fields[0] == b"HTTP/1.0"

    def _on_headers(self, fields: dict[bytes, bytes]) -> None:
        if 100 <= self._status < 200:
            return  # an interim response, which the final response follows
        connection = fields.get(b"connection", b"").lower()
        self._keep_alive = connection != b"close" and (not self._is_http_1_0 or connection == b"keep-alive")
        if self._status in (204, 304):
            self._state = "done"
        elif not self._set_body_framing(fields):
            self._state = "until_end"


class RequestParser(_MessageParser):
    """Parses one request."""

    max_head_bytes = max_body_bytes = MAX_REQUEST_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._method = self._path = ""

    def feed(self, data: bytes) -> Request | None:
        """Returns the request once it is complete. Later input is ignored: a connection has one request."""
        return Request(self._method, self._path) if self._advance(data) else None

    def _parse_first_line(self, line: bytes) -> None:
        fields = line.split(b" ")
        if len(fields) != 3 or not fields[0].isalpha() or not fields[1] or not fields[2].startswith(b"HTTP/"):
            raise HttpError(f"not a request line: {line[:80]!r}")
        if fields[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise HttpError("HTTP/1.1 is spoken here", HTTPStatus.HTTP_VERSION_NOT_SUPPORTED)
        try:
            self._method, self._path = fields[0].decode("ascii"), urlsplit(fields[1].decode("ascii")).path
        except ValueError:
            raise HttpError("the target cannot be read") from None
        self._path = unquote(self._path)

    def _on_headers(self, fields: dict[bytes, bytes]) -> None:
        transfer_encoding = fields.get(b"transfer-encoding")
        if transfer_encoding is not None and b"content-length" in fields:
            raise HttpError("both Transfer-Encoding and Content-Length")
        if transfer_encoding is not None and transfer_encoding.lower() != b"chunked":
            raise HttpError(f"Transfer-Encoding {transfer_encoding[:40]!r}", HTTPStatus.NOT_IMPLEMENTED)
        if not self._set_body_framing(fields):
            self._state = "done"
