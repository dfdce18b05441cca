"""The session of a bound resource, with at most one request at a time.

The connection, the coordinator and the upstream call it. With stream management (XEP-0198) it outlives its
connection and keeps unacknowledged stanzas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.balancing.events import AttemptResult
from puffinpost.frontends.handover import SessionHandover
from puffinpost.frontends.resumable_client import ResumableClient
from puffinpost.frontends.xmpp.handover import XmppSessionState
from puffinpost.frontends.xmpp.request import SESSION_NAMESPACE
from puffinpost.frontends.xmpp.stanza_buffer import StanzaBuffer
from puffinpost.frontends.xmpp.stanza_handler import StanzaHandler
from puffinpost.frontends.xmpp.upstream import XmppUpstream
from puffinpost.protocol import xmpp
from puffinpost.proxy.exchange import Attempt, SessionRequest
from puffinpost.resumption.session import EndReason, ResumableSession
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.xmpp.connection import XmppConnection
    from puffinpost.frontends.xmpp.frontend import XmppFrontend

MAX_BUFFERED_BYTES = 8 * 1024  # of messages before the session is established; above it, reading is paused
STANZAS_PER_ACK_REQUEST = 16  # to a managed client, between requests for an acknowledgement (XEP-0198, 4)


class XmppSession(ResumableClient["XmppConnection", XmppUpstream]):
    """A client's session with this node."""

    def __init__(self, frontend: XmppFrontend, connection: XmppConnection | None, bound_jid: str) -> None:
        super().__init__(frontend.coordinator, frontend.connector, frontend.admission)
        self.frontend = frontend
        self.connection = connection
        self.bound_jid = bound_jid
        self.peer = connection.connection.peer if connection is not None else ("0.0.0.0", 0)
        self.resumable: ResumableSession | None = None  # with stream management
        self.open_iq_id = ""  # id of the IQ that waits for its final answer
        self._open_element = b""
        self._stanza_handler = StanzaHandler(self)
        self._buffer = StanzaBuffer()
        self._stanzas_since_ack_request = 0
        self._migrated_at_shutdown = False

    # Connections.

    def attach(self, connection: XmppConnection) -> None:
        """Attaches a connection that has resumed the session; its ``resumed`` element is already written."""
        earlier, self.connection = self.connection, connection
        self.peer, self._stanzas_since_ack_request = connection.connection.peer, 0
        if earlier is not None:
            earlier.on_session_taken_over()
        self.admission.release(connection)
        if self.exchange is not None:
            self.admission.mark_reattached(self)
        else:
            self.admission.mark_idle(connection)
        if self._buffer.size_bytes > MAX_BUFFERED_BYTES:
            connection.connection.set_reading_paused(True)
        self._connect_flow_control()
        self.flush()

    def detach(self, connection: XmppConnection, reset: bool, can_resume: bool) -> None:
        """Detaches a connection. The session stays if it may be resumed, and ends otherwise."""
        if self.connection is connection:
            self.connection = None
        resumable = self.resumable
        if resumable is not None and can_resume and resumable.grace_ns:
            now = self.coordinator.clock.now()
            is_detached = self.frontend.registry.detach(resumable, connection.generation, now)
            if is_detached and self.exchange is not None:
                self.admission.mark_detached(self)
            return
        if resumable is not None:
            self.frontend.registry.end(resumable)
        self._end(reset)

    def on_session_replaced(self) -> None:
        """The client has bound its address again: ends this session and closes its connection."""
        connection, self.connection = self.connection, None
        if self.resumable is not None:
            self.frontend.registry.end(self.resumable, EndReason.REPLACED)
        if connection is not None:
            connection.on_session_taken_over()
        self._end(False)

    def on_session_expired(self) -> None:
        """The session has ended: ends the request under way."""
        self._end(False)

    # Stanzas.

    def on_stanza(self, stanza: xmpp.Stanza) -> None:
        """Handles a stanza of the client. It counts as handled once this returns."""
        resumable = self.resumable
        self._stanza_handler.on_stanza(stanza)
        if resumable is not None:
            resumable.count_handled()

    def on_ack(self, count: int) -> None:
        """Releases all stanzas up to the count that the client has handled. Raises ``AckError``."""
        assert self.resumable is not None
        self.resumable.acknowledge(count)
        self.flush()

    def send(self, stanza: bytes) -> None:
        """Sends the client a stanza, now or after it has resumed the session."""
        if self.resumable is not None:
            self.resumable.push("stanza", stanza)
            self.flush()
        elif self.connection is not None:
            self.connection.connection.write(stanza)

    def flush(self) -> None:
        """Writes the stanzas that are due, and requests an acknowledgement after every few of them."""
        resumable = self.resumable
        if resumable is None:
            return
        if self.connection is not None:
            chunks = [entry.data for entry in resumable.take_due()]
            self._stanzas_since_ack_request += len(chunks)
            if self._stanzas_since_ack_request >= STANZAS_PER_ACK_REQUEST or (
                self._stanzas_since_ack_request and resumable.outbox.is_window_full
            ):
                self._stanzas_since_ack_request = 0
                chunks.append(xmpp.ACK_REQUEST)
            if chunks:
                self.connection.connection.write(b"".join(chunks))  # in one system call
        self._regulate_upstream(resumable)

    def _on_upstream_paused(self) -> None:
        if self.connection is not None:
            self.connection.connection.write(xmpp.ACK_REQUEST)

    # The request under way.

    def open_request(self, request: SessionRequest, iq_id: str, open_element: bytes) -> bool:
        """Opens the client's next request; False where there is no capacity for it, or the process ends.

        After a migration at the shutdown, a request would keep the session from being handed over.
        """
        if self._migrated_at_shutdown:
            self.coordinator.count_rejected(request.request_class)
            return False
        if not self._reserve_capacity(request):
            return False
        self.open_iq_id, self._open_element = iq_id, open_element
        self._start_exchange(request)
        return True

    def forward(self, raw: bytes) -> None:
        """Forwards a message of the client, once the session is established."""
        assert self.exchange is not None
        if self.exchange.established and self.upstream is not None:
            self.upstream.forward(raw)
            return
        self._buffer.append(raw)
        if self._buffer.size_bytes > MAX_BUFFERED_BYTES and self.connection is not None:
            self.connection.connection.set_reading_paused(True)

    def end_exchange(self, reset: bool) -> None:
        """The client has ended its request."""
        exchange, self.exchange, self.open_iq_id = self.exchange, None, ""
        self._buffer.clear()
        if exchange is not None:
            self._on_exchange_ended()
            upstream = self.upstream_connection
            if upstream is not None and reset:
                upstream.close(True)
            self.coordinator.client_disconnected(exchange)

    def on_internal_error(self) -> None:
        """An unexpected exception ends the request with its answer, and closes the upstream."""
        exchange = self.exchange
        self._answer_with_error(xmpp.stanza_error("cancel", "internal-server-error"))
        if exchange is not None:
            self.coordinator.client_disconnected(exchange)

    # DownstreamClient: called by the coordinator.

    def start_attempt(self, attempt: Attempt) -> None:
        """Connects to the endpoint of an attempt."""
        self.upstream = XmppUpstream(self, attempt, self._open_element, self.frontend.config)
        self.connector.start(self.upstream)

    def reject(self, retry_after_ns: int) -> None:
        """Answers that the client should retry later."""
        retry_after_ms = retry_after_ns // MS
        pause = f"<pause xmlns='{SESSION_NAMESPACE}' ms='{retry_after_ms}'/>" if retry_after_ms else ""
        self._answer_with_error(xmpp.stanza_error("wait", "resource-constraint", pause))

    def fail(self, timed_out: bool) -> None:
        """Answers that the request failed."""
        if timed_out:
            self._answer_with_error(xmpp.stanza_error("wait", "remote-server-timeout"))
        else:
            self._answer_with_error(xmpp.stanza_error("cancel", "service-unavailable"))

    def migrate(self) -> None:
        """Asks the client to open its session again, on its stream if that is managed, else on a new one.

        Only complete stanzas are ever written, so the notification never splits one.
        """
        self._notify("move")
        self._migrated_at_shutdown = self.frontend.draining
        self.exchange = None
        if self.resumable is not None:
            self._on_exchange_ended()
        elif self.connection is not None:
            self.connection.stream.close()

    # Called by the upstream of the current attempt.

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted: forwards its response downstream and the buffered messages upstream."""
        assert self.upstream is not None and self.upstream.connection is not None
        iq_id, self.open_iq_id = self.open_iq_id, ""
        self._stanza_handler.reply("iq", iq_id, "result", response)
        self._connect_flow_control()
        for raw in self._buffer.clear():
            self.upstream.forward(raw)
        if self.connection is not None:
            self.connection.connection.set_reading_paused(False)

    def on_upstream_closed(self, result: AttemptResult, reset: bool) -> None:
        """The endpoint has closed an established session. An unmanaged stream is closed or reset likewise."""
        self.exchange = None
        if self.resumable is not None:
            if result is AttemptResult.RESET:
                self._notify("lost")
            self._on_exchange_ended()
        elif self.connection is not None and reset:
            self.connection.reset()
        elif self.connection is not None:
            self.connection.stream.close()

    # Hot restart: called by the runtime.

    @property
    def can_hand_over(self) -> bool:
        """Whether the session can ever be handed over to another process."""
        return self.resumable is not None and bool(self.resumable.token_digest)

    def prepare_handover(self) -> SessionHandover | None:
        """Returns what another process needs to resume the session; None if it cannot be handed over now.

        A session with a request under way is not handed over: it is migrated when this process ends, and the
        client then reconnects to the other process.
        """
        resumable = self.resumable
        if resumable is None or not self.can_hand_over or self.exchange is not None:
            return None
        if self.connection is not None:
            if self.frontend.draining:
                self.connection.close_for_successor()
            return None
        return SessionHandover(XmppSessionState(resumable.snapshot(), self.bound_jid).to_message(), [])

    def release_to_successor(self) -> None:
        """Removes the session, because another process serves it."""
        self._unbind()
        assert self.resumable is not None
        self.frontend.registry.detach_to_successor(self.resumable)

    # Implementation.

    def _notify(self, element_name: str) -> None:
        attributes = {"from": self.frontend.config.server.domain, "to": self.bound_jid}
        inner = f"<{element_name} xmlns='{SESSION_NAMESPACE}'/>".encode()
        self.send(xmpp.stanza("message", attributes, inner))

    def _answer_with_error(self, error: bytes) -> None:
        """Answers a request that was not established; the stream stays open for the next request."""
        if self.open_iq_id:
            iq_id, self.open_iq_id = self.open_iq_id, ""
            self._stanza_handler.reply("iq", iq_id, "error", error)
        self.exchange = None
        self._on_exchange_ended()

    def _on_exchange_ended(self) -> None:
        """Marks the connection, if there is one, as idle after the end of a request."""
        self._buffer.clear()
        self.admission.release(self)
        connection = self.connection
        if connection is not None and not connection.stream.ended:
            self.admission.mark_idle(connection)
            connection.connection.set_reading_paused(False)

    def _end(self, reset: bool) -> None:
        self._unbind()
        self.end_exchange(reset)
        self.admission.release(self)

    def _unbind(self) -> None:
        if self.frontend.sessions_by_jid.get(self.bound_jid) is self:
            del self.frontend.sessions_by_jid[self.bound_jid]
