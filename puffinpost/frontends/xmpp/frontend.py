"""Accepts connections of XMPP clients.

The listener and the runtime call it. It owns the state that all sessions share, and never reads from a
connection.
"""

from __future__ import annotations

import socket
from typing import Any

from puffinpost.config import XmppConfig
from puffinpost.frontends.xmpp.connection import XmppConnection
from puffinpost.frontends.xmpp.handover import XmppSessionState
from puffinpost.frontends.xmpp.session import XmppSession
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.upstream import UpstreamConnector
from puffinpost.protocol import xmpp
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.resumption.registry import SessionRegistry


class XmppFrontend:
    """Creates the handlers of connections and restores sessions of an earlier process."""

    def __init__(
        self,
        coordinator: Coordinator,
        config: XmppConfig,
        connector: UpstreamConnector,
        admission: ConnectionAdmission,
        registry: SessionRegistry,
    ) -> None:
        self.coordinator = coordinator
        self.config = config
        self.connector = connector
        self.admission = admission
        self.registry = registry
        self.connections: set[XmppConnection] = set()
        self.draining = False
        self.sessions_by_jid: dict[str, XmppSession] = {}  # by full JID

    def accept(self, connection: Connection) -> XmppConnection:
        """Creates the handler of a new connection; the caller runs the connection with it."""
        client = XmppConnection(self, connection)
        self.connections.add(client)
        self.admission.admit_pending(client)
        return client

    def adopt_session(self, message: dict[str, Any]) -> None:
        """Restores a session of another process of this node, so that its client can resume it here.

        Raises ``KeyError``, ``TypeError`` or ``ValueError`` if the message is incomplete or invalid.
        """
        state = XmppSessionState.from_message(message)
        resumable = self.registry.restore(state.resumable)
        session = XmppSession(self, None, state.bound_jid)
        session.resumable, resumable.owner = resumable, session
        self.sessions_by_jid.setdefault(session.bound_jid, session)
        self.registry.resume_grace_period(resumable, state.resumable, self.coordinator.clock.now())

    def reject_without_descriptor(self, accepted: socket.socket) -> None:
        """Answers a connection that was accepted with the spare descriptor and is closed right after."""
        header = xmpp.stream_header({"from": self.config.server.domain, "version": "1.0"})
        accepted.send(header + xmpp.stream_error("resource-constraint"))

    def close_connections(self) -> None:
        """Ends all streams; sessions that can be resumed elsewhere stay for another process to take them."""
        for client in list(self.connections):
            if client.session is not None and client.session.can_hand_over:
                client.close_for_successor()
            else:
                client.stream.fail("system-shutdown")
