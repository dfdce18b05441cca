"""An MQTT client without a socket, which keeps its session over several connections.

Tests, measurements and the demo feed it with bytes and write what it returns. It implements the client's side
of MQTT 3.1.1 and 5 as far as the node's front needs it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import Ack, PacketType, Publish
from puffinpost.protocol.mqtt.delivery import InboundDelivery, OutboundDelivery

DEFAULT_RECEIVE_MAXIMUM = 65_535
MAX_PACKET_BYTES = 1 << 20
TOPIC_PREFIX = "puffinpost/"


class ReceivedMessage(NamedTuple):
    """A message that was delivered to the device; its topic without the prefix."""

    topic: str
    payload: bytes
    properties: dict[str, Any]


class MqttDevice:
    """The client. ``received`` has each message once at QoS 2; ``reason_codes`` those of acknowledgements."""

    def __init__(self, client_id: str, version: int = mqtt.V5, qos: int = 2) -> None:
        self.client_id = client_id
        self.version = version
        self.qos = qos
        self.received: list[ReceivedMessage] = []
        self.reason_codes: list[int] = []  # of acknowledgements, and of a DISCONNECT
        self.connack: mqtt.Connack | None = None  # of the current connection
        self.granted_qos: tuple[int, ...] = ()
        self._output = b""
        self._last_message = 0
        self._queued: dict[int, Publish] = {}  # by the message's number
        self._unacknowledged: dict[int, Publish] = {}
        self._receive_maximum = DEFAULT_RECEIVE_MAXIMUM
        self._inbound = InboundDelivery(DEFAULT_RECEIVE_MAXIMUM)
        self._outbound = OutboundDelivery()
        self._parser = mqtt.PacketParser(MAX_PACKET_BYTES, version)

    def connect(self, clean: bool = False, expiry_s: int = 60, **more: Any) -> bytes:
        """Begins a new connection; returns CONNECT. ``more``: further fields of the packet."""
        self._parser = mqtt.PacketParser(MAX_PACKET_BYTES, self.version)
        self.connack = None
        properties = {"session_expiry": expiry_s, **more.pop("properties", {})}
        packet = mqtt.Connect(self.client_id, self.version, clean, properties=properties, **more)
        self._output = mqtt.encode(packet, self.version)
        return self.take_output()

    def take_output(self) -> bytes:
        """Returns the bytes that are to be written, once."""
        output, self._output = self._output, b""
        return output

    def feed(self, data: bytes) -> None:
        """Takes bytes that were read."""
        for packet in self._parser.feed(data):
            self._handle(packet)

    def send(self, packet: mqtt.Packet) -> None:
        """Adds a packet to the output."""
        self._output += mqtt.encode(packet, self.version)

    def subscribe(self, *filters: str) -> None:
        """Subscribes to these topic filters, or to all of the node's topics."""
        topics = filters or (f"{TOPIC_PREFIX}#",)
        self.send(mqtt.Subscribe(1, tuple(mqtt.Subscription(topic, self.qos) for topic in topics)))

    def publish(self, topic: str, payload: bytes, **properties: Any) -> None:
        """Publishes a message; above QoS 0 it is queued until the node can take it."""
        self._last_message += 1
        packet = Publish(f"{TOPIC_PREFIX}{topic}", payload, self.qos, properties=properties)
        if self.qos:
            self._queued[self._last_message] = packet
            self._send_queued()
        elif self.connack is not None:
            self.send(packet)

    def discard_queued(self) -> None:
        """Forgets the messages that have not been sent yet."""
        self._queued.clear()

    def _send_queued(self) -> None:
        """Sends queued messages, within the node's receive maximum."""
        while self.connack is not None and self._queued and len(self._outbound) < self._receive_maximum:
            message, packet = next(iter(self._queued.items()))
            del self._queued[message]
            packet_id = self._outbound.packet_id_for(message, self.qos)
            self._unacknowledged[message] = replace(packet, packet_id=packet_id)
            self.send(self._unacknowledged[message])

    def _handle(self, packet: mqtt.Packet) -> None:
        match packet:
            case mqtt.Connack():
                self._connected(packet)
            case Publish():
                self._deliver(packet)
            case Ack(PacketType.PUBREL, packet_id):
                self._inbound.on_released(packet_id)
                self.send(Ack(PacketType.PUBCOMP, packet_id))
            case Ack():
                self._acknowledged(packet)
            case mqtt.SubscriptionAck(_, _, codes):
                self.granted_qos = codes
            case mqtt.Disconnect(_, code):
                self.reason_codes.append(code)

    def _connected(self, connack: mqtt.Connack) -> None:
        self.connack = connack
        self._receive_maximum = connack.properties.get("receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        if not connack.code and not connack.session_present:
            # The node has no session, so the client's is discarded too (MQTT 5, 3.2.2.1.1).
            self._inbound = InboundDelivery(DEFAULT_RECEIVE_MAXIMUM)
            self._outbound = OutboundDelivery()
            self._unacknowledged = {}
        for packet_id in self._outbound.releasing:
            self.send(Ack(PacketType.PUBREL, packet_id))
        for publish in self._unacknowledged.values():
            self.send(replace(publish, dup=True))
        self._send_queued()

    def _deliver(self, publish: Publish) -> None:
        if not publish.qos or self._inbound.is_new(publish):
            topic = publish.topic.partition("/")[2]
            self.received.append(ReceivedMessage(topic, publish.payload, publish.properties))
        if publish.qos == 1:
            self._inbound.on_acknowledged(publish)
        if publish.qos:
            packet_type = PacketType.PUBACK if publish.qos == 1 else PacketType.PUBREC
            self.send(Ack(packet_type, publish.packet_id))

    def _acknowledged(self, ack: Ack) -> None:
        if ack.packet_type is not PacketType.PUBCOMP:
            self.reason_codes.append(ack.code)
        completed, answer = self._outbound.on_acknowledgement(ack.packet_type, ack.packet_id, ack.code)
        if completed is not None:
            del self._unacknowledged[completed]
        if answer is not None:
            self.send(Ack(answer, ack.packet_id))
        self._send_queued()
