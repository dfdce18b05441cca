"""A connection of an XMPP client and the stream on it.

The connection delivers bytes and the stream delivers events to it. State that may outlive the connection
belongs to the session.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.frontends.xmpp.management import enable_management
from puffinpost.frontends.xmpp.session import XmppSession
from puffinpost.net.connection import Connection
from puffinpost.net.tls import TlsUpgrade
from puffinpost.observability import log
from puffinpost.protocol import xmpp
from puffinpost.protocol.xmpp import ServerStream
from puffinpost.resumption.errors import AckError, ResumeError
from puffinpost.resumption.session import ResumableSession

if TYPE_CHECKING:
    from puffinpost.frontends.xmpp.frontend import XmppFrontend

NEGOTIATION_TIMEOUT_S = 30.0  # from the stream header until a resource is bound


class XmppConnection:
    """A client's connection, from when it is accepted until it is closed."""

    def __init__(self, frontend: XmppFrontend, connection: Connection) -> None:
        self.frontend = frontend
        self.coordinator = frontend.coordinator
        self.connection = connection
        self.stream = ServerStream(self, frontend.config.server)
        self.session: XmppSession | None = None  # once a resource is bound
        self.generation = 0  # number of this connection in its session
        self._header_received = False
        self._is_handed_over = False

    # Receiver: called by the connection.

    def data_received(self, data: bytes) -> None:
        """Passes the bytes to the stream."""
        self.frontend.admission.on_progress(self)
        self.stream.feed(data)
        if self.stream.failure:
            self.coordinator.counters.add("xmpp_bad_streams")
            peer = log.format_peer(self.connection.peer)
            log.info(
                "invalid stream from an XMPP client", high_volume=True, peer=peer, reason=self.stream.failure
            )
        if not self._header_received and self.stream.header_sent and not self.stream.ended:
            self._header_received = True
            self.frontend.admission.admit_pending(self, NEGOTIATION_TIMEOUT_S)

    def on_input_ended(self) -> None:
        """The client has half-closed the connection and may still read its answer."""
        session = self.session
        if session is None or session.resumable is not None:
            return
        if session.exchange is not None and not session.exchange.established:
            self.coordinator.client_half_closed(session.exchange)

    def connection_lost(self, reset: bool) -> None:
        """The client has closed or reset the connection without closing its stream."""
        self.stream.ended = True
        self._release(reset, can_resume=True)

    def on_internal_error(self) -> None:
        """An unexpected exception ends the request under way and the stream."""
        if self.session is not None:
            self.session.on_internal_error()
        self.stream.fail("internal-server-error")

    # AdmittedConnection: called by admission.

    def on_timeout(self) -> None:
        """Negotiation took too long, or the capacity of an idle client is needed."""
        self.stream.fail("resource-constraint" if self.stream.bound_jid else "connection-timeout")

    # StreamHandler: called by the stream.

    def write_data(self, data: bytes) -> None:
        """Writes bytes of the stream."""
        self.connection.write(data)

    def start_tls(self) -> None:
        """Starts TLS."""
        context = self.frontend.config.server_tls
        assert context is not None  # STARTTLS is offered only with a certificate
        self.connection.start_tls(TlsUpgrade(context, True), self.stream.on_tls_established)

    def on_resource_bound(self) -> None:
        """Starts the session, because a resource is bound.

        A client may reconnect before this node detects that its earlier connection is lost. Then the earlier
        stream and its upstream are ended first.
        """
        jid = self.stream.bound_jid
        earlier = self.frontend.sessions_by_jid.get(jid)
        if earlier is not None:
            earlier.on_session_replaced()
        self.session = XmppSession(self.frontend, self, jid)
        self.frontend.sessions_by_jid[jid] = self.session
        self._header_received = True
        self.frontend.admission.mark_idle(self)

    def on_stream_ended(self, clean: bool) -> None:
        """The stream has ended and its last bytes are written: closes the connection."""
        del clean
        self._release(False, can_resume=self._is_handed_over)
        self.connection.close()

    def on_stanza(self, stanza: xmpp.Stanza) -> None:
        """Passes a stanza to the session."""
        if self.session is not None:
            self.session.on_stanza(stanza)

    def on_management_element(self, element: xmpp.Element) -> None:
        """Handles an element of stream management (XEP-0198): enable, resume, request or answer."""
        session = self.session
        match element.name:
            case "resume":
                self._resume(element)
            case "enable" if session is not None:
                self.connection.write(enable_management(session, element))
            case "r" if session is not None and session.resumable is not None:
                self.connection.write(xmpp.management_ack(session.resumable.handled_count))
            case "a" if session is not None and session.resumable is not None:
                self._on_ack(session, session.resumable, element)

    # Called by the session.

    def close_for_successor(self) -> None:
        """Ends the stream because another process replaces this one; the session may be resumed there."""
        self._is_handed_over = True
        self.stream.fail("system-shutdown")

    def on_session_taken_over(self) -> None:
        """Closes the stream, because another connection has resumed its session or bound its address."""
        self.session = None
        self.stream.fail("conflict")

    def reset(self) -> None:
        """Resets the connection without closing the stream."""
        self.stream.ended = True
        self._release(True, can_resume=False)
        self.connection.close(True)

    # Implementation.

    def _on_ack(self, session: XmppSession, resumable: ResumableSession, element: xmpp.Element) -> None:
        count = xmpp.handled_count(element)
        problem = "h is not a number of 32 bits"
        if count is not None:
            try:
                session.on_ack(count)
            except AckError as error:
                problem = str(error)
            else:
                return
        self.coordinator.counters.add("edge_bad_acks")
        self.stream.fail_handled_count(count or 0, resumable.outbox.acknowledged, problem)

    def _resume(self, element: xmpp.Element) -> None:
        registry, count = self.frontend.registry, xmpp.handled_count(element)
        if count is None:
            self.connection.write(xmpp.management_failed("bad-request"))
            return
        token = element.attributes.get("previd", "")
        user, address = f"xmpp:{self.stream.user}", self.connection.peer[0]
        try:
            resumable = registry.find_by_token(token, user, address, self.coordinator.clock.now())
        except ResumeError as error:
            self.connection.write(xmpp.management_failed("item-not-found", error.handled_count))
            return
        session = resumable.owner
        assert isinstance(session, XmppSession)
        try:
            self.generation = registry.attach(resumable, count)
        except AckError as error:
            self.stream.fail_handled_count(count, resumable.outbox.acknowledged, str(error))
            return
        self.session, self._header_received = session, True
        self.stream.on_resumed(session.bound_jid)
        attributes = f"h='{resumable.handled_count}' previd='{token}'"
        self.connection.write(f"<resumed xmlns='{xmpp.STREAM_MANAGEMENT}' {attributes}/>".encode())
        session.attach(self)

    def _release(self, reset: bool, can_resume: bool) -> None:
        self.frontend.connections.discard(self)
        self.frontend.admission.release(self)
        session, self.session = self.session, None
        if session is not None:
            session.detach(self, reset, can_resume)
