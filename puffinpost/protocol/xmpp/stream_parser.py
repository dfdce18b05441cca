"""Parses one direction of an XMPP stream (RFC 6120) into events.

The parser accepts bytes in pieces of any size and does no I/O; expat only tokenizes the XML. A stanza keeps
its original bytes, so that it can be forwarded with only its addresses changed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, NoReturn, TypeAlias
from xml.parsers import expat

from puffinpost.errors import PuffinpostError
from puffinpost.protocol.xmpp.elements import START_TAG, Element
from puffinpost.protocol.xmpp.namespaces import CLIENT, STREAM

MAX_DEPTH = 64
_MISPLACED_DECLARATION = expat.errors.codes[expat.errors.XML_ERROR_MISPLACED_XML_PI]
_XML_WHITESPACE = " \t\r\n"


@dataclass(frozen=True, slots=True)
class StreamOpened:
    """The stream's header, at the start or at a restart.

    ``content_namespace`` is the default namespace. ``prefixes`` are the other declared namespaces, except for
    that of the stream itself. ``end`` is the offset after the header in all bytes fed.
    """

    attributes: Mapping[str, str]
    content_namespace: str
    prefixes: Mapping[str, str]
    end: int


@dataclass(frozen=True, slots=True)
class Stanza:
    """A complete child of the stream with its bytes; ``end`` is the offset after it in all bytes fed."""

    element: Element
    raw: bytes
    end: int


@dataclass(frozen=True, slots=True)
class StreamClosed:
    """The stream's closing tag; ``end`` is the offset after it in all bytes fed."""

    end: int


@dataclass(frozen=True, slots=True)
class StreamFault:
    """Invalid input; ``condition`` is the stream error to respond with (RFC 6120, 4.9.3)."""

    condition: str
    text: str


StreamEvent: TypeAlias = StreamOpened | Stanza | StreamClosed | StreamFault


class _StreamFaultError(PuffinpostError):
    """Raised in expat's handlers; ``feed`` turns it into a ``StreamFault``."""

    def __init__(self, condition: str, text: str) -> None:
        super().__init__(text)
        self.condition = condition


class _StartTag(NamedTuple):
    """The start tag of the stream or of a stanza; ``end`` is its offset in all bytes fed."""

    end: int
    is_empty_element: bool


class StreamParser:
    """A state machine for one direction of a stream.

    Each event has the offset of its end, so that the bytes after it can be passed to another parser. A second
    stream header is a restart: the parser resets its state and parses from there.
    """

    def __init__(self, max_stanza_bytes: int = 65536) -> None:
        self.max_stanza_bytes = max_stanza_bytes
        self._bytes_fed = 0
        self._last_chunk = b""
        self._begin(0)

    def _begin(self, offset: int) -> None:
        self._stream_start = offset
        self._open_elements: list[Element] = []
        self._ended = False
        self._start_tag = _StartTag(offset, is_empty_element=False)  # the latest one at a depth below 2
        self._restart_offset: int | None = None  # the offset of a second stream header
        self._buffer_start = offset  # the end of the last event
        self._buffer = bytearray()  # the bytes since the last event
        self._prefixes: dict[str, str] = {}
        self._events: list[StreamEvent] = []
        self._expat = self._create_expat()

    def _create_expat(self) -> Any:
        parser = expat.ParserCreate("UTF-8", namespace_separator=" ")
        parser.buffer_text = True
        if hasattr(parser, "SetReparseDeferralEnabled"):
            # Otherwise a complete stanza may be reported only once more bytes arrive.
            parser.SetReparseDeferralEnabled(False)
        parser.XmlDeclHandler = self._on_declaration
        parser.StartNamespaceDeclHandler = self._on_prefix
        parser.StartElementHandler = self._on_start
        parser.EndElementHandler = self._on_end
        parser.CharacterDataHandler = self._on_text
        parser.CommentHandler = lambda _text: _reject_xml("a comment")
        parser.ProcessingInstructionHandler = lambda *_names: _reject_xml("a processing instruction")
        parser.StartDoctypeDeclHandler = lambda *_names: _reject_xml("a document type declaration")
        return parser

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events completed by ``data``; none follows a ``StreamClosed`` or a ``StreamFault``."""
        events: list[StreamEvent] = []
        self._last_chunk = data
        self._bytes_fed += len(data)
        rest = data
        while rest and not self._ended:
            self._buffer += rest
            self._events = events
            self._parse(rest)
            if self._restart_offset is not None:
                rest = self._restart(self._restart_offset)
            else:
                self._drop_whitespace()
                self._check_buffer_size()
                rest = b""
        return events

    def bytes_after(self, event: StreamOpened | Stanza) -> bytes:
        """Returns the bytes of the last ``data`` passed to ``feed`` that follow one of its events."""
        return self._last_chunk[max(0, len(self._last_chunk) - (self._bytes_fed - event.end)) :]

    def _parse(self, data: bytes) -> None:
        try:
            self._expat.Parse(data, False)
        except _StreamFaultError as error:
            self._fault(error.condition, str(error))
        except expat.ExpatError as error:
            if error.code == _MISPLACED_DECLARATION and len(self._open_elements) == 1:
                self._restart_offset = self._stream_start + self._expat.ErrorByteIndex
            elif self._restart_offset is None:
                self._fault("not-well-formed", f"XML: {error}")

    def _restart(self, offset: int) -> bytes:
        """Resets the state at a second stream header; returns the bytes from there on, still to be parsed."""
        rest = bytes(self._buffer[offset - self._buffer_start :])
        self._begin(offset)
        return rest

    def _drop_whitespace(self) -> None:
        """Drops whitespace between stanzas, which is sent to keep the connection alive (RFC 6120, 4.6.1)."""
        if len(self._open_elements) == 1 and self._buffer.isspace():
            self._skip(len(self._buffer))

    def _check_buffer_size(self) -> None:
        if not self._ended and len(self._buffer) > self.max_stanza_bytes:
            self._fault("policy-violation", f"a stanza is longer than {self.max_stanza_bytes} bytes")

    def _fault(self, condition: str, text: str) -> None:
        self._ended = True
        self._events.append(StreamFault(condition, text))

    def _on_declaration(self, _version: str, encoding: str | None, _standalone: int) -> None:
        if encoding is not None and encoding.lower() != "utf-8":
            raise _StreamFaultError("unsupported-encoding", f"encoding {encoding[:20]}")

    def _on_prefix(self, prefix: str | None, uri: str | None) -> None:
        if not self._open_elements:
            self._prefixes[prefix or ""] = uri or ""

    def _on_start(self, tag: str, attributes: dict[str, str]) -> None:
        if self._restart_offset is not None or self._ended:
            return
        namespace, _, name = tag.rpartition(" ")
        depth = len(self._open_elements)
        if depth >= MAX_DEPTH:
            raise _StreamFaultError("policy-violation", f"more than {MAX_DEPTH} elements inside one another")
        if depth == 1 and (namespace, name) == (STREAM, "stream"):
            self._restart_offset = self._stream_start + self._expat.CurrentByteIndex
            return
        element = Element(namespace, name, attributes)
        self._open_elements.append(element)
        if depth > 1:
            self._open_elements[depth - 1].children.append(element)
            return
        if depth == 1:
            self._skip(self._tag_offset())
        self._start_tag = self._find_start_tag()
        if depth == 0:
            self._open_stream(element)

    def _open_stream(self, element: Element) -> None:
        if (element.namespace, element.name) != (STREAM, "stream"):
            raise _StreamFaultError("invalid-namespace", "the first element is not a stream")
        prefixes = {key: uri for key, uri in self._prefixes.items() if key and uri not in (STREAM, CLIENT)}
        end = self._start_tag.end
        self._consume(end)
        self._events.append(StreamOpened(element.attributes, self._prefixes.get("", ""), prefixes, end))

    def _on_end(self, _tag: str) -> None:
        if self._restart_offset is not None or self._ended:
            return
        element = self._open_elements.pop()
        if len(self._open_elements) > 1:
            return
        if self._start_tag.is_empty_element:
            end = self._start_tag.end
            self._start_tag = _StartTag(end, is_empty_element=False)
        else:
            end = self._find_end_tag_end()
        if self._open_elements:
            self._events.append(Stanza(element, self._consume(end), end))
            return
        self._ended = True
        self._consume(end)
        self._events.append(StreamClosed(end))

    def _on_text(self, text: str) -> None:
        if self._restart_offset is not None or self._ended or not self._open_elements:
            return
        if len(self._open_elements) > 1:
            self._open_elements[-1].text += text
        elif text.strip(_XML_WHITESPACE):
            raise _StreamFaultError("bad-format", "text between stanzas")

    def _tag_offset(self) -> int:
        """Returns the offset in the buffer of the tag that expat reports."""
        return int(self._stream_start + self._expat.CurrentByteIndex - self._buffer_start)

    def _find_start_tag(self) -> _StartTag:
        """Finds the end of the start tag that expat reports; a '>' within quotes does not end it."""
        match = START_TAG.match(self._buffer, self._tag_offset())
        if match is None:
            raise _StreamFaultError("not-well-formed", "a tag that cannot be read")
        return _StartTag(self._buffer_start + match.end(), match.group().endswith(b"/>"))

    def _find_end_tag_end(self) -> int:
        # Must not be called for an empty element: for its end, expat reports an offset after its tag, where
        # any bytes may follow.
        return self._buffer_start + self._buffer.index(b">", self._tag_offset()) + 1

    def _skip(self, size: int) -> None:
        del self._buffer[:size]
        self._buffer_start += size

    def _consume(self, end: int) -> bytes:
        """Removes the bytes of an event from the buffer and returns them."""
        raw = bytes(self._buffer[: end - self._buffer_start])
        if len(raw) > self.max_stanza_bytes:
            raise _StreamFaultError(
                "policy-violation", f"a stanza is longer than {self.max_stanza_bytes} bytes"
            )
        self._skip(len(raw))
        return raw


def _reject_xml(what: str) -> NoReturn:
    raise _StreamFaultError("restricted-xml", f"{what} is not allowed")
