"""Continues sessions whose sockets and state another process of this node has handed over.

The receiver of a handover uses it for the predecessor's sessions, the sender for those that its successor did
not take. It owns no session: the frontends do.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.stream import create_stream
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.runtime.connection_runner import ConnectionRunner
from puffinpost.runtime.frontends import Frontends
from puffinpost.runtime.handover_messages import (
    EstablishedSessionHandover,
    ResumableSessionHandover,
    SessionMessage,
)

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt import MqttSession


class FrontendDisabledError(ValueError):
    """A session was handed over for a frontend that is off in this process."""

    def __init__(self, protocol: str) -> None:
        super().__init__(f"the {protocol} frontend is off in this process")
        self.protocol = protocol


class SessionAdopter:
    """Restores sessions from their messages.

    ``add_closed_class`` adds a session's request class that this process's configuration does not have.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        frontends: Frontends,
        admission: ConnectionAdmission,
        runner: ConnectionRunner,
        add_closed_class: Callable[[str], None],
    ) -> None:
        self.coordinator = coordinator
        self.frontends = frontends
        self.admission = admission
        self.runner = runner
        self.add_closed_class = add_closed_class

    def adopt(self, message: SessionMessage, sockets: list[socket.socket]) -> bool:
        """Continues a session on its sockets; returns False, and uses none of them, if it cannot."""
        try:
            if isinstance(message, EstablishedSessionHandover):
                self._adopt_established(message, sockets)
            elif message.protocol == "xmpp":
                self._adopt_xmpp(message)
            else:
                self._adopt_mqtt(message, sockets)
        except (KeyError, TypeError, ValueError, IndexError, AttributeError) as problem:
            log.info("hot restart: session rejected", protocol=message.protocol, reason=repr(problem))
            return False
        return True

    def _adopt_established(self, message: EstablishedSessionHandover, sockets: list[socket.socket]) -> None:
        self._ensure_class(message.request_class)
        client_address = message.client_address
        client, upstream = (Connection(create_stream(each), self.admission) for each in sockets)
        client.peer = client_address
        session = self.frontends.platform.adopt_session(message.state, client, upstream)
        assert session.upstream is not None
        self.runner.run_connection(client, session)
        self.runner.run_connection(upstream, session.upstream)

    def _adopt_xmpp(self, message: ResumableSessionHandover) -> None:
        if self.frontends.xmpp is None:
            raise FrontendDisabledError("XMPP")
        self.frontends.xmpp.adopt_session(message.state)

    def _adopt_mqtt(self, message: ResumableSessionHandover, sockets: list[socket.socket]) -> None:
        """Adopts a device's session with its open connections: client, upstream, both or none."""
        if self.frontends.mqtt is None:
            raise FrontendDisabledError("MQTT")
        connections = [Connection(create_stream(each), self.admission) for each in sockets]
        client = connections.pop(0) if message.has_client_connection else None
        upstream = connections.pop(0) if connections else None
        if upstream is not None:
            self._ensure_class(message.request_class)
        device: MqttSession = self.frontends.mqtt.adopt_session(message.state, client, upstream)
        if client is not None and device.connection is not None:
            self.runner.run_connection(client, device.connection)
        if upstream is not None and device.upstream is not None:
            self.runner.run_connection(upstream, device.upstream)

    def _ensure_class(self, name: str) -> None:
        if name not in self.coordinator.settings_view.class_indexes:
            self.add_closed_class(name)
