"""Accepts connections of MQTT clients.

The listener and the runtime call it. It owns the state that its sessions share, and never reads from a
connection.
"""

from __future__ import annotations

import socket
from typing import Any

from puffinpost.config import MqttConfig
from puffinpost.frontends.mqtt.connection import MqttConnection
from puffinpost.frontends.mqtt.handover import MqttConnectionState, MqttSessionState
from puffinpost.frontends.mqtt.session import MqttSession
from puffinpost.frontends.platform.handover import PlatformUpstreamState
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.tls import TlsUpgrade
from puffinpost.net.upstream import UpstreamConnector
from puffinpost.protocol.mqtt import ReasonCode
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.resumption.registry import SessionRegistry


class MqttFrontend:
    """Creates the handlers of connections, and restores the predecessor's sessions."""

    def __init__(
        self,
        coordinator: Coordinator,
        config: MqttConfig,
        connector: UpstreamConnector,
        admission: ConnectionAdmission,
        registry: SessionRegistry,
    ) -> None:
        self.coordinator = coordinator
        self.config = config
        self.connector = connector
        self.admission = admission
        self.registry = registry
        self.connections: set[MqttConnection] = set()
        self.draining = False

    def accept(self, connection: Connection) -> MqttConnection:
        """Creates the handler of a new connection; the caller starts the connection with it as receiver."""
        client = MqttConnection(self, connection)
        self.connections.add(client)
        self.admission.admit_pending(client)
        if self.config.tls is not None:
            connection.start_tls(TlsUpgrade(self.config.tls, True), client.on_tls_established)
        return client

    def adopt_session(
        self, message: dict[str, Any], connection: Connection | None, upstream: Connection | None
    ) -> MqttSession:
        """Restores a session of the predecessor; the caller starts the connections.

        Raises ``KeyError``, ``TypeError`` or ``ValueError`` if the message is incomplete or invalid.
        """
        state = MqttSessionState.from_message(message)
        resumable = self.registry.restore(state.resumable)
        session = MqttSession(self, resumable)
        state.apply_to(session)
        client: MqttConnection | None = None
        if connection is not None:
            client = MqttConnection(self, connection)
            self.connections.add(client)
            client.restore(session, MqttConnectionState.from_message(message["link"]))
        else:
            self.registry.resume_grace_period(resumable, state.resumable, self.coordinator.clock.now())
        if upstream is not None:
            self._adopt_exchange(message, session, upstream)
            if client is None:
                self.admission.mark_detached(session)
        elif client is not None:
            self.admission.mark_idle(client)
        session.on_restored()
        return session

    def _adopt_exchange(self, message: dict[str, Any], session: MqttSession, upstream: Connection) -> None:
        session.exchange = self.coordinator.take_over(message, session)
        attempt = session.exchange.attempt
        assert attempt is not None
        session.upstream = PlatformUpstream.restore(
            session, attempt, upstream, PlatformUpstreamState.from_message(message)
        )
        self.admission.adopt_session(session)

    def reject_without_descriptor(self, accepted: socket.socket) -> None:
        """Does nothing: an MQTT server sends no packet before CONNECT. The caller closes the connection."""

    def close_connections(self) -> None:
        """Closes all connections for shutdown; their sessions are detached."""
        for client in list(self.connections):
            client.close(ReasonCode.SHUTTING_DOWN)
