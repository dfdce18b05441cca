"""The base class of both ends of an XMPP stream: parsing, restarts, errors and the closing tag.

``ServerStream`` and ``ClientStream`` derive from ``NegotiatedStream``. It does no I/O; output and events go
to a ``StreamHandler``.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from puffinpost.protocol.xmpp.elements import Element
from puffinpost.protocol.xmpp.stanzas import STREAM_CLOSE, stream_error
from puffinpost.protocol.xmpp.stream_parser import (
    Stanza,
    StreamClosed,
    StreamFault,
    StreamOpened,
    StreamParser,
)


class StreamHandler(Protocol):
    """Receives a stream's output and events."""

    def write_data(self, data: bytes) -> None:
        """Writes bytes to the peer."""

    def start_tls(self) -> None:
        """Starts TLS once all written bytes are sent, then calls ``on_tls_established``."""

    def on_resource_bound(self) -> None:
        """A resource is bound, so stanzas may be exchanged."""

    def on_stanza(self, stanza: Stanza) -> None:
        """A stanza was received after ``on_resource_bound``."""

    def on_management_element(self, element: Element) -> None:
        """An element of stream management (XEP-0198) was received in a state that allows it."""

    def on_stream_ended(self, clean: bool) -> None:
        """The stream has ended and its closing tag is written; ``clean`` means that no error occurred."""


class NegotiatedStream:
    """One end of a stream; the stream restarts after STARTTLS and after SASL (RFC 6120, 4.3.3)."""

    def __init__(self, handler: StreamHandler, max_stanza_bytes: int) -> None:
        self.handler = handler
        self.max_stanza_bytes = max_stanza_bytes
        self.parser = StreamParser(max_stanza_bytes)
        self.secure = False
        self.upgrading = False  # TLS is being started; cleartext received in this state is dropped
        self.ended = False
        self.failure = ""  # condition and text of the error that ended the stream
        self.bound_jid = ""
        self.prefixes: Mapping[str, str] = {}
        self.peer_id = ""

    def feed(self, data: bytes) -> None:
        """Handles received bytes."""
        while data and not self.ended and not self.upgrading:
            data = self._feed_parser(self.parser, data)

    def _feed_parser(self, parser: StreamParser, data: bytes) -> bytes:
        """Handles events up to a restart; returns the bytes after it, for the new parser."""
        for event in parser.feed(data):
            match event:
                case StreamOpened():
                    self.prefixes = event.prefixes
                    self.peer_id = event.attributes.get("id", "")
                    self._on_opened(event)
                case Stanza():
                    self._on_stanza(event)
                case StreamClosed():
                    self._on_closed()
                case StreamFault(condition, text):
                    self.fail(condition, text)
            if self.ended:
                return b""
            if self.parser is not parser and isinstance(event, Stanza):
                return parser.bytes_after(event)
        return b""

    def _restart(self) -> None:
        self.parser = StreamParser(self.max_stanza_bytes)

    def _on_closed(self) -> None:
        self.handler.write_data(STREAM_CLOSE)
        self._end(clean=True)

    def close(self) -> None:
        """Closes the stream from this end."""
        if not self.ended:
            self.handler.write_data(STREAM_CLOSE)
            self._end(clean=True)

    def fail(self, condition: str, text: str = "") -> None:
        """Ends the stream with an error (RFC 6120, 4.9)."""
        if not self.ended:
            self.failure = f"{condition} {text}".rstrip()
            self.handler.write_data(stream_error(condition, text))
            self._end(clean=False)

    def _end(self, *, clean: bool) -> None:
        self.ended = True
        self.handler.on_stream_ended(clean)

    def _on_opened(self, event: StreamOpened) -> None:
        raise NotImplementedError

    def _on_stanza(self, event: Stanza) -> None:
        raise NotImplementedError
