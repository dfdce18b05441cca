"""The successor's side of a hot restart: this process takes over from another one that is already running.

The node calls it once this process can serve. From then on sessions arrive on the channel and are passed to
the frontends; it never accepts a client itself.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.handover_channel import HandoverChannel, HandoverMessage, connect
from puffinpost.net.listener import bind_listener
from puffinpost.net.stream import create_stream
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.runtime.connection_runner import ConnectionRunner
from puffinpost.runtime.frontends import Frontends
from puffinpost.runtime.handover_messages import (
    DescriptorsUsed,
    EstablishedSessionHandover,
    Ready,
    RequestIdReleased,
    ResumableSessionHandover,
    Takeover,
    decode,
    decode_learned_state,
    encode,
)

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt import MqttSession

# A predecessor that does not answer within this time is considered stuck, and the start goes on without it.
TAKEOVER_TIMEOUT_S = 1.0

Address = tuple[str, int]


class FrontendDisabledError(ValueError):
    """A session was handed over for a frontend that is off in this process."""

    def __init__(self, protocol: str) -> None:
        super().__init__(f"the {protocol} frontend is off in this process")
        self.protocol = protocol


class HandoverReceiver:
    """Takes over listening sockets, learned state, request ids and sessions from the predecessor.

    ``add_closed_class`` adds a session's request class that this process's configuration does not have.
    ``reserved_descriptors``: how many descriptors a process needs besides those of its clients.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        frontends: Frontends,
        admission: ConnectionAdmission,
        runner: ConnectionRunner,
        add_closed_class: Callable[[str], None],
        reserved_descriptors: int,
    ) -> None:
        self.coordinator = coordinator
        self.frontends = frontends
        self.admission = admission
        self.runner = runner
        self.add_closed_class = add_closed_class
        self.reserved_descriptors = reserved_descriptors
        self._channel: HandoverChannel | None = None
        self._takeover: asyncio.Future[Takeover] | None = None
        self._sockets: dict[Address, socket.socket] = {}  # handed over, not in use yet

    def connect(self, path: Path) -> bool:
        """Connects to a process of this node that listens on a Unix socket; returns whether there is one."""
        channel = connect(path)
        if channel is None:
            return False
        self._channel = channel
        channel.on_message, channel.on_closed = self._on_message, self._on_predecessor_disconnected
        return True

    async def take_over(self) -> None:
        """Takes over from the predecessor, or gives up on it. Called once this process can serve."""
        channel = self._channel
        if channel is None:
            return  # the predecessor has ended in the meantime
        self._takeover = asyncio.get_running_loop().create_future()
        channel.send(encode(Ready()))
        try:
            takeover = await asyncio.wait_for(self._takeover, TAKEOVER_TIMEOUT_S)
            self.coordinator.request_ids.predecessor.update(takeover.active_request_ids)
            self.coordinator.restore_learned_state(decode_learned_state(takeover.learned_state))
        except (TimeoutError, ConnectionError, KeyError, TypeError, ValueError) as problem:
            log.info("hot restart: takeover failed", reason=repr(problem))
            channel.close()
            self._on_predecessor_disconnected()
            return
        log.info("hot restart: took over from the predecessor", process_id=takeover.process_id)

    def listening_socket(self, address: Address) -> socket.socket:
        """A socket that listens on an address: the one that was handed over, otherwise a new one."""
        return self._sockets.pop(address, None) or bind_listener(address)

    def close_unused_sockets(self) -> None:
        """Closes the listening sockets that were handed over but that this process does not use."""
        for unused in self._sockets.values():
            unused.close()

    def _on_message(self, data: HandoverMessage, sockets: list[socket.socket]) -> None:
        match decode(data):
            case Takeover() as takeover if self._takeover is not None and not self._takeover.done():
                self._takeover.set_result(takeover)
                self._sockets = dict(zip(takeover.listening_addresses, sockets, strict=True))
                self._set_predecessor_usage(takeover.descriptors_used)
            case EstablishedSessionHandover() as session:
                self._adopt_established(session, sockets)
            case ResumableSessionHandover() as session:
                self._adopt_resumable(session, sockets)
            case RequestIdReleased(request_id):
                self.coordinator.request_ids.predecessor.discard(request_id)
            case DescriptorsUsed(count):
                self._set_predecessor_usage(count)

    def _set_predecessor_usage(self, descriptors: int) -> None:
        self.admission.set_predecessor_usage(self.reserved_descriptors + descriptors)

    def _adopt_established(self, message: EstablishedSessionHandover, sockets: list[socket.socket]) -> None:
        self._ensure_class(message.request_class)
        client = Connection(create_stream(sockets[0]), self.admission)
        client.peer = message.client_address
        upstream = Connection(create_stream(sockets[1]), self.admission)
        session = self.frontends.platform.adopt_session(message.state, client, upstream)
        assert session.upstream is not None
        self.runner.run_connection(client, session)
        self.runner.run_connection(upstream, session.upstream)

    def _adopt_resumable(self, message: ResumableSessionHandover, sockets: list[socket.socket]) -> None:
        if message.is_xmpp:
            self._adopt_xmpp(message)
        else:
            self._adopt_mqtt(message, sockets)

    def _adopt_xmpp(self, message: ResumableSessionHandover) -> None:
        try:
            self._restore_xmpp(message)
        except (KeyError, TypeError, ValueError) as problem:
            log.info("hot restart: session rejected", protocol="xmpp", reason=repr(problem))

    def _restore_xmpp(self, message: ResumableSessionHandover) -> None:
        if self.frontends.xmpp is None:
            raise FrontendDisabledError("XMPP")
        self.frontends.xmpp.adopt_session(message.state)

    def _adopt_mqtt(self, message: ResumableSessionHandover, sockets: list[socket.socket]) -> None:
        """Adopts a device's session with its open connections: client, upstream, both or none."""
        connections = [Connection(create_stream(each), self.admission) for each in sockets]
        client = connections.pop(0) if message.has_client_connection else None
        upstream = connections.pop(0) if connections else None
        if upstream is not None:
            self._ensure_class(message.request_class)
        try:
            device = self._restore_mqtt(message, client, upstream)
        except (KeyError, TypeError, ValueError) as problem:
            # A session that no process has must end at the endpoint too, so its connections are closed.
            log.info("hot restart: session rejected", protocol="mqtt", reason=repr(problem))
            for connection in (client, upstream):
                if connection is not None:
                    connection.close()
            return
        if client is not None and device.connection is not None:
            self.runner.run_connection(client, device.connection)
        if upstream is not None and device.upstream is not None:
            self.runner.run_connection(upstream, device.upstream)

    def _restore_mqtt(
        self, message: ResumableSessionHandover, client: Connection | None, upstream: Connection | None
    ) -> MqttSession:
        if self.frontends.mqtt is None:
            raise FrontendDisabledError("MQTT")
        return self.frontends.mqtt.adopt_session(message.state, client, upstream)

    def _ensure_class(self, name: str) -> None:
        if name not in self.coordinator.settings_view.class_indexes:
            self.add_closed_class(name)

    def _on_predecessor_disconnected(self) -> None:
        self._channel = None
        self.coordinator.request_ids.predecessor.clear()
        self.admission.set_predecessor_usage(0)
        if self._takeover is not None and not self._takeover.done():
            self._takeover.set_exception(ConnectionError("the predecessor closed the channel"))
