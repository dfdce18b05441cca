"""The stream of an attempt to its endpoint, on which this node is the XMPP client.

The session creates one for each attempt; the connector, the connection and the stream call it. It never
starts another attempt, but reports the result of its own to the coordinator.
"""

from __future__ import annotations

from typing import Protocol

from puffinpost.balancing.events import AttemptResult
from puffinpost.config import XmppConfig
from puffinpost.frontends.xmpp.request import SESSION_NAMESPACE
from puffinpost.net.connection import Connection
from puffinpost.net.tls import TlsUpgrade
from puffinpost.observability import log
from puffinpost.protocol import xmpp
from puffinpost.protocol.xmpp import ClientStream
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Attempt

MAX_LOAD_DIGITS = 12  # of the microseconds in a load report


class UpstreamListener(Protocol):
    """The interface of the session to the upstream of its current attempt."""

    coordinator: Coordinator
    bound_jid: str

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted the session; ``response`` is the XML of its answer."""

    def on_upstream_closed(self, result: AttemptResult, reset: bool) -> None:
        """The endpoint has closed an established session."""

    def send(self, stanza: bytes) -> None:
        """Sends the client a message of the endpoint."""


class XmppUpstream:
    """The connection and the stream of one attempt."""

    def __init__(
        self, session: UpstreamListener, attempt: Attempt, open_element: bytes, config: XmppConfig
    ) -> None:
        self.session = session
        self.coordinator = session.coordinator
        self.config = config
        self.attempt = attempt
        if config.port:
            attempt.address = attempt.exchange.endpoint_address = attempt.address[0], config.port
        self.open_element = open_element
        self.connection: Connection | None = None
        self.stream = ClientStream(self, config.client)
        self.iq_id = f"open-{attempt.exchange.number}-{attempt.number}"
        self.final_result = AttemptResult.RESET  # unless the endpoint reports another before it closes

    # UpstreamHandler: called by the connector.

    def on_connected(self) -> None:
        """Sends the stream header."""
        self.stream.begin()

    def on_flushed(self) -> None:
        """Does nothing: only the stream header is written, and the endpoint has no session request yet."""

    def forward(self, raw: bytes) -> None:
        """Forwards a message of the client, in which only the addresses are changed."""
        self.write_data(raw)
        self.coordinator.lines_forwarded(self.attempt.exchange, len(raw))

    def close(self) -> None:
        """Closes the connection; if a resource is bound, closes the stream first."""
        bound = bool(self.stream.bound_jid)
        if not self.stream.ended and bound:
            self.write_data(xmpp.STREAM_CLOSE)
        self.stream.ended = True
        if self.connection is not None and bound:
            self.connection.close()
        elif self.connection is not None:
            self.connection.abort()

    # Receiver: called by the connection.

    def data_received(self, data: bytes) -> None:
        """Passes the bytes to the stream."""
        if not self.attempt.completed:
            self.stream.feed(data)

    def connection_lost(self, reset: bool) -> None:
        """The endpoint has closed or reset the connection without closing its stream."""
        self._complete(self._closing_result(), reset and self.final_result is AttemptResult.RESET)

    def on_internal_error(self) -> None:
        """An unexpected exception ends the attempt."""
        self._complete(self._closing_result(), True)

    # StreamHandler: called by the stream.

    def write_data(self, data: bytes) -> None:
        """Writes bytes of the stream."""
        if self.connection is not None:
            self.connection.write(data)

    def start_tls(self) -> None:
        """Starts TLS."""
        context = self.config.client_tls
        assert context is not None and self.connection is not None
        upgrade = TlsUpgrade(context, False, self.config.client.domain)
        self.connection.start_tls(upgrade, self.stream.on_tls_established)

    def on_resource_bound(self) -> None:
        """Requests the session, because a resource is bound, if the attempt may still be started."""
        if not self.coordinator.can_write(self.attempt):
            self._complete(AttemptResult.SUPERSEDED, False)
            return
        remaining_ms = str(self.coordinator.remaining_ms(self.attempt))
        inner = xmpp.replace_attribute(self.open_element, b"wait", remaining_ms)
        attributes = {"type": "set", "id": self.iq_id, "to": self.config.client.domain}
        self.write_data(xmpp.stanza("iq", attributes, inner))
        self.coordinator.request_written(self.attempt)

    def on_stanza(self, stanza: xmpp.Stanza) -> None:
        """Handles a stanza of the endpoint."""
        if self.attempt.completed:
            return
        element = stanza.element
        stanza_type = element.attributes.get("type", "")
        established = self.attempt.exchange.established
        if element.name == "iq" and stanza_type in ("result", "error"):
            if element.attributes.get("id") == self.iq_id and not established:
                self._on_response(stanza, stanza_type)
        elif element.name == "iq":
            self._answer_iq(element, stanza_type)
        elif element.name == "message" and established:
            self._on_message(stanza)

    def on_management_element(self, element: xmpp.Element) -> None:
        """Ignores stream management: this node never enables it on a stream to an endpoint."""

    def on_stream_ended(self, clean: bool) -> None:
        """The endpoint has closed its stream."""
        del clean
        self._complete(self._closing_result(), False)

    # Implementation.

    def _closing_result(self) -> AttemptResult:
        # If the stream ended before the session was requested, the endpoint has run nothing.
        return self.final_result if self.attempt.written else AttemptResult.CONNECT_FAILED

    def _answer_iq(self, element: xmpp.Element, iq_type: str) -> None:
        """Answers a ping of the endpoint and refuses any other IQ."""
        is_ping = iq_type == "get" and element.child(xmpp.PING, "ping") is not None
        inner = b"" if is_ping else xmpp.stanza_error("cancel", "service-unavailable")
        attributes = {
            "type": "result" if is_ping else "error",
            "id": element.attributes.get("id", ""),
            "to": self.config.client.domain,
        }
        self.write_data(xmpp.stanza("iq", attributes, inner))

    def _on_response(self, stanza: xmpp.Stanza, iq_type: str) -> None:
        if iq_type == "result":
            if self.coordinator.attempt_established(self.attempt):
                response = xmpp.inner_xml(stanza.raw).strip()
                is_element = response.startswith(b"<")
                self.session.on_established(
                    xmpp.readdress(response, self.stream.prefixes, {}) if is_element else b""
                )
            return
        rejected = xmpp.error_condition(stanza.element) == ("wait", "resource-constraint")
        self._complete(AttemptResult.REJECTED if rejected else AttemptResult.ERROR, False)

    def _on_message(self, stanza: xmpp.Stanza) -> None:
        element, is_echo = stanza.element, False
        load = element.child(SESSION_NAMESPACE, "load")
        if load is not None:
            self._on_load(load)
        elif element.child(SESSION_NAMESPACE, "bye") is not None:
            self.final_result = AttemptResult.SERVED
        elif element.child(SESSION_NAMESPACE, "move") is not None:
            self.final_result = AttemptResult.CANCELLED
        else:
            is_echo = True
        if not self.attempt.completed:
            addresses = {"from": self.config.server.domain, "to": self.session.bound_jid}
            self.session.send(xmpp.readdress(stanza.raw, self.stream.prefixes, addresses))
            self.coordinator.line_received(self.attempt, len(stanza.raw), is_echo)

    def _on_load(self, load: xmpp.Element) -> None:
        load_us = load.attributes.get("us", "")
        if load_us.isdigit() and len(load_us) <= MAX_LOAD_DIGITS:
            self.coordinator.load_reported(self.attempt, int(load_us))

    def _complete(self, result: AttemptResult, reset: bool) -> None:
        if self.attempt.completed:
            return
        self.close()
        if self.attempt.exchange.established:
            self.session.on_upstream_closed(result, reset)
        self.coordinator.attempt_ended(self.attempt, result)
        if result in (AttemptResult.ERROR, AttemptResult.CONNECT_FAILED):
            name = self.coordinator.endpoint_list.name(self.attempt.endpoint)
            log.info("attempt failed", endpoint=name, reason=result.name.lower())
