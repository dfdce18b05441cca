"""One connection of an MQTT client: reads and writes packets, and enforces the keep-alive.

The underlying connection delivers bytes to it. The state that outlives the connection belongs to the session.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.frontends.mqtt import topics
from puffinpost.frontends.mqtt.connect import ConnectRefusedError, accept_connect, connack_properties
from puffinpost.frontends.mqtt.handover import MqttConnectionState
from puffinpost.frontends.mqtt.keep_alive import KeepAlive, keep_alive_timeout_ns
from puffinpost.net.connection import Connection
from puffinpost.observability import log
from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import Ack, MqttError, PacketType, Publish, ReasonCode
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.frontend import MqttFrontend
    from puffinpost.frontends.mqtt.session import MqttSession


class MqttConnection:
    """A client's connection, from its CONNECT until it is closed."""

    def __init__(self, frontend: MqttFrontend, connection: Connection) -> None:
        self.frontend = frontend
        self.coordinator = frontend.coordinator
        self.connection = connection
        self.parser = mqtt.PacketParser(topics.MAX_PACKET_BYTES)
        self.session: MqttSession | None = None
        self.generation = 0  # which of the session's successive connections this is
        self.closed = False
        self.keep_alive = KeepAlive(
            frontend.coordinator.clock, self._is_reading_paused, self._on_keep_alive_timeout
        )
        self._certificate_name = ""

    def on_tls_established(self, certificate_name: str) -> None:
        """The TLS handshake is complete; the name is empty where the client has no certificate."""
        self._certificate_name = certificate_name

    @property
    def version(self) -> int:
        """The protocol's version; 5 until it is known."""
        return self.parser.version or mqtt.V5

    def restore(self, session: MqttSession, state: MqttConnectionState) -> None:
        """Continues a connection whose CONNECT was answered by the predecessor."""
        self.parser.version = state.version
        self.session, session.connection = session, self
        self.generation = session.session.generation
        self.keep_alive.on_data_received()
        self.keep_alive.start(state.keep_alive_timeout_ns)

    def state(self) -> MqttConnectionState:
        """Returns what the successor needs to continue the connection."""
        return MqttConnectionState(self.version, self.keep_alive.timeout_ns)

    def release_to_successor(self) -> None:
        """The successor serves the connection: closes this process's descriptor."""
        self.session = None
        self._stop()
        self.connection.detach()

    def write(self, packet: mqtt.Packet) -> None:
        """Sends a packet."""
        if not self.closed:
            self.connection.write(mqtt.encode(packet, self.version))

    def close(self, reason: ReasonCode) -> None:
        """Closes the connection, in version 5 after a DISCONNECT. The session is detached."""
        if not self.closed and self.session is not None and self.version == mqtt.V5:
            self.write(mqtt.Disconnect(PacketType.DISCONNECT, int(reason)))
        self._close()

    # Receiver: called by the connection.

    def data_received(self, data: bytes) -> None:
        """Handles each packet that is complete."""
        self.keep_alive.on_data_received()
        self.frontend.admission.on_progress(self)
        try:
            packets = self.parser.feed(data)
        except MqttError as error:
            for packet in error.packets_before:
                if not self.closed:
                    self._handle(packet)
            self._on_protocol_error(error)
            return
        for packet in packets:
            if self.closed:
                return
            self._handle(packet)

    def connection_lost(self, reset: bool) -> None:
        """The client has closed or reset the connection; in both cases its session may be resumed."""
        del reset
        self._release()

    def on_internal_error(self) -> None:
        """Ends the current request and the connection after an unexpected exception."""
        if self.session is not None:
            self.session.on_internal_error()
        self.close(ReasonCode.UNSPECIFIED)

    # AdmittedConnection: called by admission.

    def on_timeout(self) -> None:
        """CONNECT did not arrive in time, or the slot of an idle client is needed."""
        self.close(ReasonCode.QUOTA_EXCEEDED)

    # Packets.

    def _handle(self, packet: mqtt.Packet) -> None:
        try:
            self._dispatch(packet)
        except MqttError as error:
            self._on_protocol_error(error)

    def _on_protocol_error(self, error: MqttError) -> None:
        self.coordinator.counters.add("mqtt_bad_packets")
        peer = log.format_peer(self.connection.peer)
        log.info("invalid packet from an MQTT client", high_volume=True, peer=peer, reason=error)
        if self.session is None and self.parser.version:
            self._refuse(error.reason)
        else:
            self.close(error.reason)

    def _dispatch(self, packet: mqtt.Packet) -> None:
        session = self.session
        if isinstance(packet, mqtt.Connect):
            self._connect(packet)
        elif session is None:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, "a packet before CONNECT was answered")
        elif isinstance(packet, Publish):
            session.publish_handler.on_publish(packet)
        elif isinstance(packet, Ack):
            session.on_ack(packet)
        elif isinstance(packet, mqtt.Subscribe):
            codes = session.subscriptions.subscribe(packet, self.version)
            self.write(mqtt.SubscriptionAck(PacketType.SUBACK, packet.packet_id, codes))
        elif isinstance(packet, mqtt.Unsubscribe):
            codes = session.subscriptions.unsubscribe(packet)
            self.write(mqtt.SubscriptionAck(PacketType.UNSUBACK, packet.packet_id, codes))
        elif isinstance(packet, mqtt.Ping) and packet.packet_type is PacketType.PINGREQ:
            self.write(mqtt.Ping(PacketType.PINGRESP))
        elif isinstance(packet, mqtt.Disconnect) and packet.packet_type is PacketType.DISCONNECT:
            self._disconnect(session, packet)
        else:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, f"{type(packet).__name__} is not for a client to send")

    def _connect(self, packet: mqtt.Connect) -> None:
        try:
            result = accept_connect(self.frontend, packet, self._certificate_name)
        except ConnectRefusedError as error:
            self._refuse(error.reason, error.text)
            return
        server_keep_alive_s = self._start_keep_alive(packet)
        self.session = result.session
        properties = connack_properties(self.frontend, result, server_keep_alive_s)
        self.write(mqtt.Connack(0, result.session_present, properties))
        self.frontend.admission.mark_idle(self)
        result.session.attach(self, packet, result.session_present)

    def _refuse(self, reason: ReasonCode, text: str = "") -> None:
        code = mqtt.connack_code(reason, self.version)
        self.write(mqtt.Connack(code, properties={"reason_string": text} if text else {}))
        self._close()

    def _disconnect(self, session: MqttSession, packet: mqtt.Disconnect) -> None:
        expiry_s = packet.properties.get("session_expiry")
        if expiry_s is not None:
            resumable = session.session
            if expiry_s and not resumable.grace_ns:  # MQTT 5.0, 3.14.2.2
                raise MqttError(ReasonCode.PROTOCOL_ERROR, "an expiry after a connection without one")
            resumable.grace_ns = min(expiry_s * 1000 * MS, resumable.limits.grace_ns)
        self._close()

    # Keep-alive.

    def _start_keep_alive(self, packet: mqtt.Connect) -> int | None:
        """Starts the keep-alive; returns its seconds if they differ from those that the client requested."""
        max_s, keep_alive_s = self.frontend.config.keep_alive_s, packet.keep_alive
        if packet.version == mqtt.V5 and not 0 < keep_alive_s <= max_s:
            # Bounds how long a half-open connection stays; version 3.1.1 has no server keep-alive.
            keep_alive_s = max_s
        self.keep_alive.start(keep_alive_timeout_ns(keep_alive_s))
        if self.keep_alive.timeout_ns in (0, keep_alive_timeout_ns(packet.keep_alive)):
            return None
        return max_s

    def _is_reading_paused(self) -> bool:
        return self.session is not None and self.session.is_reading_paused

    def _on_keep_alive_timeout(self) -> None:
        self.coordinator.counters.add("mqtt_silent")
        self.close(ReasonCode.KEEP_ALIVE_TIMEOUT)

    # Closing.

    def _close(self) -> None:
        self._release()
        self.connection.close()

    def _release(self) -> None:
        self._stop()
        session, self.session = self.session, None
        if session is not None:
            session.detach(self)

    def _stop(self) -> None:
        self.closed = True
        self.keep_alive.stop()
        self.frontend.connections.discard(self)
        self.frontend.admission.release(self)
