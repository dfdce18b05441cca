"""Builds the frontends that a node's configuration turns on, and opens their listeners.

The node does this once at its start. A frontend that is off is not imported, which keeps the start of a node
without it fast.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from puffinpost.config import Config
from puffinpost.frontends.platform import PlatformFrontend
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection, Receiver
from puffinpost.net.listener import Listener, adopt_listener
from puffinpost.net.upstream import UpstreamConnector
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.runtime.connection_runner import ConnectionRunner

if TYPE_CHECKING:
    import socket

    from puffinpost.frontends.mqtt import MqttFrontend
    from puffinpost.frontends.xmpp import XmppFrontend
    from puffinpost.resumption.registry import SessionRegistry

Address = tuple[str, int]


class Frontend(Protocol):
    """Accepts connections of one protocol."""

    def accept(self, connection: Connection, /) -> Receiver:
        """Accepts a client's connection; returns the receiver of its data."""

    def reject_without_descriptor(self, connection: socket.socket, /) -> None:
        """Rejects a connection for which only the spare descriptor is left."""


@dataclass(frozen=True, slots=True)
class Frontends:
    """The platform's frontend, those that the operator's file turns on, and their session registry."""

    platform: PlatformFrontend
    xmpp: XmppFrontend | None = None
    mqtt: MqttFrontend | None = None
    registry: SessionRegistry | None = None  # None if XMPP and MQTT are off

    @property
    def resumable(self) -> list[XmppFrontend | MqttFrontend]:
        """The frontends whose sessions outlive their connections."""
        return [frontend for frontend in (self.xmpp, self.mqtt) if frontend is not None]


def build_frontends(
    config: Config, coordinator: Coordinator, connector: UpstreamConnector, admission: ConnectionAdmission
) -> Frontends:
    """Builds the frontends that the configuration turns on, and starts the expiry of their sessions."""
    platform = PlatformFrontend(coordinator, connector, admission)
    if config.xmpp is None and config.mqtt is None:
        return Frontends(platform)

    from puffinpost.resumption.registry import SessionRegistry
    from puffinpost.runtime.session_expiry import SessionExpiry

    registry = SessionRegistry(config.resumption_limits, coordinator.counters.add)
    SessionExpiry(registry, coordinator.clock).start()
    xmpp = mqtt = None
    if config.xmpp is not None:
        from puffinpost.frontends.xmpp import XmppFrontend

        xmpp = XmppFrontend(coordinator, config.xmpp, connector, admission, registry)
    if config.mqtt is not None:
        from puffinpost.frontends.mqtt import MqttFrontend

        mqtt = MqttFrontend(coordinator, config.mqtt, connector, admission, registry)
    return Frontends(platform, xmpp, mqtt, registry)


def open_listeners(
    frontends: Frontends,
    config: Config,
    admission: ConnectionAdmission,
    runner: ConnectionRunner,
    bind: Callable[[Address], socket.socket],
) -> list[Listener]:
    """Opens the listeners, the platform's first. ``bind`` returns a socket that listens on an address.

    Raises ``OSError`` if a socket cannot be opened.
    """

    def listen(frontend: Frontend, listening_socket: socket.socket) -> Listener:
        def on_accepted(connection: Connection) -> None:
            runner.run_connection(connection, frontend.accept(connection))

        return Listener(listening_socket, admission, on_accepted, frontend.reject_without_descriptor)

    inherited = config.inherited_descriptor
    platform_socket = bind(config.listen) if inherited is None else adopt_listener(inherited)
    listeners = [listen(frontends.platform, platform_socket)]
    listeners += [listen(frontend, bind(frontend.config.listen)) for frontend in frontends.resumable]
    for listener in listeners:
        address = log.format_peer(listener.socket.getsockname()[:2])
        log.info(
            "listening for clients",
            node=config.name,
            address=address,
            descriptor_limit=config.descriptor_limit,
        )
    return listeners
