"""Accepts connections of clients that speak the platform's line protocol.

The listener and the runtime call it. It owns the state that its sessions share, and never reads from a
connection.
"""

from __future__ import annotations

import socket
from typing import Any

from puffinpost.frontends.platform.handover import PlatformSessionState
from puffinpost.frontends.platform.session import PlatformSession
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.upstream import UpstreamConnector
from puffinpost.protocol import lines
from puffinpost.proxy.coordinator import Coordinator

OVERLOAD_RETRY_AFTER_MS = 500


class PlatformFrontend:
    """Creates a session for each client connection."""

    def __init__(
        self, coordinator: Coordinator, connector: UpstreamConnector, admission: ConnectionAdmission
    ) -> None:
        self.coordinator = coordinator
        self.connector = connector
        self.admission = admission
        self.draining = False
        self.buffered_bytes = 0  # total of the sessions that are not established yet

    @property
    def pending_connection_type(self) -> type:
        """The type of this frontend's pending connections in the admission."""
        return PlatformSession

    @property
    def overload_answer(self) -> bytes:
        """The answer to a client that is rejected because the node has no capacity."""
        return lines.busy_response(
            OVERLOAD_RETRY_AFTER_MS if self.coordinator.settings.sends_retry_after else 0
        )

    def accept(self, connection: Connection) -> PlatformSession:
        """Creates the session of a new connection; the caller starts the connection with it as receiver."""
        session = PlatformSession(self, connection)
        self.admission.admit_pending(session)
        return session

    def adopt_session(
        self, message: dict[str, Any], connection: Connection, upstream: Connection
    ) -> PlatformSession:
        """Restores a session that the predecessor had established.

        The caller starts both connections. Raises ``KeyError``, ``TypeError`` or ``ValueError`` if the
        message is incomplete or invalid.
        """
        state = PlatformSessionState.from_message(message)
        session = PlatformSession(self, connection)
        exchange = self.coordinator.take_over(message, session)
        session.restore(exchange, upstream, state)
        self.admission.adopt_session(session)
        return session

    def reject_without_descriptor(self, accepted: socket.socket) -> None:
        """Answers a connection that was accepted with the spare descriptor; the caller then closes it."""
        accepted.send(self.overload_answer)
