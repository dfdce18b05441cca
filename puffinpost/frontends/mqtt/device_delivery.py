"""Delivers messages to the device: queues them, and publishes them on its connection.

The session owns it. It does not decide which messages a device is sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from puffinpost.frontends.mqtt.subscriptions import Subscriptions
from puffinpost.observability.counters import Counters
from puffinpost.protocol.mqtt import Ack, OutboundDelivery, PacketType, Publish
from puffinpost.resumption.outbox_entry import OutboxEntry
from puffinpost.resumption.session import ResumableSession

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.connection import MqttConnection

DEFAULT_RECEIVE_MAXIMUM = 65_535  # MQTT 5.0, 3.1.2.11.3
CORRELATION_SEPARATOR = "\0"  # separates topic and correlation data in the kind of an outbox entry


class DeviceDelivery:
    """Tracks the unacknowledged messages of one session and their packet identifiers."""

    def __init__(self, session: ResumableSession, subscriptions: Subscriptions, counters: Counters) -> None:
        self.outbound = OutboundDelivery()
        self.receive_maximum = DEFAULT_RECEIVE_MAXIMUM  # the client's
        self._session = session
        self._subscriptions = subscriptions
        self._counters = counters

    def push(self, topic: str, payload: bytes) -> bool:
        """Queues a message; returns False if the device has not subscribed to its topic."""
        if self._subscriptions.qos_for(topic) is None:
            self._counters.add("mqtt_unsubscribed")
            return False
        self._session.push(topic, payload)
        return True

    def push_answer(self, topic: str, correlation_data: bytes | None, payload: bytes) -> None:
        """Queues the answer to a request, even if the device has unsubscribed in the meantime."""
        suffix = f"{CORRELATION_SEPARATOR}{correlation_data.hex()}" if correlation_data is not None else ""
        self._session.push(topic + suffix, payload)

    def flush(self, connection: MqttConnection) -> None:
        """Publishes as many messages as the receive maximum and the window after a resumption allow."""
        while not connection.closed:
            entries = self._session.take_due(max(0, self.receive_maximum - len(self.outbound.releasing)))
            if not entries:
                return
            for entry in entries:
                self._publish(connection, entry)

    def resend_releases(self, connection: MqttConnection) -> None:
        """Resends each PUBREL that was not completed on an earlier connection (MQTT 5.0, 4.4)."""
        for packet_id in self.outbound.releasing:
            connection.write(Ack(PacketType.PUBREL, packet_id))

    def on_ack(self, connection: MqttConnection, packet: Ack) -> None:
        """The device has acknowledged a message, or a step of its delivery."""
        completed, response = self.outbound.on_acknowledgement(
            packet.packet_type, packet.packet_id, packet.code
        )
        if completed is not None:
            self._session.release(completed)
        if response is not None:
            connection.write(Ack(response, packet.packet_id))

    def _publish(self, connection: MqttConnection, entry: OutboxEntry) -> None:
        topic, _, correlation = entry.kind.partition(CORRELATION_SEPARATOR)
        properties: dict[str, Any] = {"correlation_data": bytes.fromhex(correlation)} if correlation else {}
        earlier_qos = self.outbound.qos_of(entry.number)
        qos = earlier_qos if earlier_qos is not None else self._subscriptions.qos_for(topic)
        if not qos:
            # A message at QoS 0 is complete once it is written; a message without a subscription is dropped.
            if qos == 0:
                connection.write(Publish(topic, entry.data, properties=properties))
            self._session.release(entry.number)
            return
        packet_id = self.outbound.packet_id_for(entry.number, qos)
        is_duplicate = entry.sends > 1
        connection.write(Publish(topic, entry.data, qos, packet_id, is_duplicate, properties=properties))
