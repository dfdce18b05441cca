"""Handles a device's messages: requests to open a session, lines for the endpoint, the end of a session.

The connection calls it for each PUBLISH. A refused message is acknowledged with its reason and has no effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from puffinpost.frontends.mqtt import topics
from puffinpost.frontends.platform.request import build_session_request
from puffinpost.observability import log
from puffinpost.protocol import lines, mqtt
from puffinpost.protocol.mqtt import Ack, InboundDelivery, MqttError, PacketType, Publish, ReasonCode
from puffinpost.proxy.exchange import SessionRequest

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.session import MqttSession

FIRST_ERROR_CODE = 0x80  # reason codes from here on are failures


class PublishResult(NamedTuple):
    """The reason code of a PUBLISH, and a human-readable text."""

    reason: ReasonCode
    text: str = ""


ACCEPTED = PublishResult(ReasonCode.SUCCESS)


class PublishHandler:
    """Handles the PUBLISH packets of one session."""

    def __init__(self, session: MqttSession, receive_maximum: int) -> None:
        self.inbound = InboundDelivery(receive_maximum)
        self._session = session
        self._counters = session.coordinator.counters

    def on_publish(self, packet: Publish) -> None:
        """Handles a packet and acknowledges it. Raises ``MqttError`` if it violates the protocol."""
        session = self._session
        self._check_properties(packet)
        if packet.qos and not self.inbound.is_new(packet):
            self._counters.add("mqtt_repeats")
            self._acknowledge(packet, ACCEPTED)
            return
        result = self._route(packet)
        if result.reason is ReasonCode.SUCCESS:
            session.session.count_handled()
            if packet.qos == 1:
                self.inbound.on_acknowledged(packet)
        else:
            self._counters.add("mqtt_refused")
            if packet.qos == 0 or session.version == mqtt.V311:
                # Neither QoS 0 nor version 3.1.1 has a reason code.
                session.notify(topics.FAULT, f"{int(result.reason)} {result.text}".encode())
        if packet.qos == 2 and result.reason >= FIRST_ERROR_CODE and session.version == mqtt.V5:
            self.inbound.on_rejected(packet.packet_id)
        self._acknowledge(packet, result)
        session.flush()

    def on_release(self, packet: Ack) -> None:
        """Answers a PUBREL."""
        is_open = self.inbound.on_released(packet.packet_id)
        code = 0 if is_open else int(ReasonCode.PACKET_ID_NOT_FOUND)
        assert self._session.connection is not None
        self._session.connection.write(Ack(PacketType.PUBCOMP, packet.packet_id, code))

    def _check_properties(self, packet: Publish) -> None:
        if packet.retain and self._session.version == mqtt.V5:
            raise MqttError(ReasonCode.RETAIN_UNSUPPORTED, "nothing is retained here")
        if "topic_alias" in packet.properties:
            raise MqttError(ReasonCode.ALIAS_INVALID, "no topic alias was allowed")
        if "subscription_identifier" in packet.properties:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, "a subscription identifier from a client")

    def _acknowledge(self, packet: Publish, result: PublishResult) -> None:
        connection = self._session.connection
        if packet.qos and connection is not None:
            packet_type = PacketType.PUBACK if packet.qos == 1 else PacketType.PUBREC
            properties = {"reason_string": result.text} if result.text else {}
            connection.write(Ack(packet_type, packet.packet_id, int(result.reason), properties))

    def _route(self, packet: Publish) -> PublishResult:
        match packet.topic:
            case topics.OPEN:
                return self._open(packet)
            case topics.UP:
                return self._forward(packet.payload)
            case topics.BYE:
                self._session.end_exchange()
                return ACCEPTED
        return PublishResult(ReasonCode.TOPIC_INVALID, "there is no such topic")

    def _forward(self, payload: bytes) -> PublishResult:
        problem = topics.payload_problem(payload)
        if problem:
            return PublishResult(ReasonCode.PAYLOAD_INVALID, problem)
        if self._session.exchange is None:
            return PublishResult(ReasonCode.NOT_AUTHORIZED, "no session is open")
        self._session.forward(payload + b"\r\n")
        return ACCEPTED

    def _open(self, packet: Publish) -> PublishResult:
        session = self._session
        problem = topics.payload_problem(packet.payload)
        if problem:
            return PublishResult(ReasonCode.PAYLOAD_INVALID, problem)
        reply_topic = packet.properties.get("response_topic", topics.ANSWER)
        if reply_topic != topics.ANSWER and not reply_topic.startswith(topics.ANSWER + "/"):
            return PublishResult(ReasonCode.TOPIC_INVALID, f"answers go to {topics.ANSWER} or below it")
        granted = session.subscriptions
        if granted.qos_for(reply_topic) is None or granted.qos_for(topics.DOWN) is None:
            return PublishResult(
                ReasonCode.NOT_AUTHORIZED, f"subscribe to {reply_topic} and {topics.DOWN} first"
            )
        correlation_data = packet.properties.get("correlation_data")
        peer = session.connection.connection.peer if session.connection is not None else ("0.0.0.0", 0)
        try:
            opening, request = self._parse(packet.payload, peer)
        except lines.LineError as error:
            self._counters.add("bad_lines")
            log.info("invalid line from a device", high_volume=True, peer=log.format_peer(peer), reason=error)
            return PublishResult(ReasonCode.PAYLOAD_INVALID, str(error))
        if opening.request_id == session.last_request.request_id:
            session.join_request(reply_topic, correlation_data)
            return ACCEPTED
        if request is None:
            return PublishResult(ReasonCode.QUOTA_EXCEEDED, "a client has one session at a time")
        session.open_request(opening, request, reply_topic, correlation_data)
        return ACCEPTED

    def _parse(
        self, payload: bytes, peer: tuple[str, int]
    ) -> tuple[lines.OpenRequest, SessionRequest | None]:
        """Returns the OPEN line, and its request if it opens a new one. Raises ``LineError``."""
        opening = lines.parse_open_request(payload + b"\r\n")
        if opening.requested_endpoint is not None:
            raise lines.LineError("at= is not for devices")
        is_repeated = opening.request_id == self._session.last_request.request_id
        if is_repeated or self._session.exchange is not None:
            return opening, None
        return opening, build_session_request(self._session.coordinator, opening, peer)
