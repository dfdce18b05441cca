"""Encodes MQTT control packets of version 3.1.1 or 5.0. Section numbers are those of MQTT 5.0."""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from typing import Any

from puffinpost.protocol.mqtt.codes import V5, PacketType
from puffinpost.protocol.mqtt.packets import (
    Ack,
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    Publish,
    Subscribe,
    Subscription,
    SubscriptionAck,
    Unsubscribe,
)
from puffinpost.protocol.mqtt.parser import FIXED_HEADER_FLAGS
from puffinpost.protocol.mqtt.properties import PROPERTIES_BY_NAME, PropertyEncoding


def encode(packet: Packet, version: int = V5) -> bytes:
    """Encodes a packet. In 3.1.1 properties, and reason codes that it does not define, are omitted."""
    is_v5 = version == V5
    properties = _properties(packet.properties) if is_v5 and not isinstance(packet, Ping) else b""
    match packet:
        case Connect():
            return _frame(PacketType.CONNECT, 0, _connect_body(packet, properties))
        case Connack(code, session_present):
            return _frame(PacketType.CONNACK, 0, bytes((session_present, code)) + properties)
        case Publish():
            return _publish(packet, properties)
        case Subscribe() | Unsubscribe() | SubscriptionAck():
            return _subscription_packet(packet, properties, is_v5)
        case Ack(packet_type, packet_id, code):
            body = _uint16(packet_id) + _reason_and_properties(code, packet.properties, is_v5)
            return _frame(packet_type, FIXED_HEADER_FLAGS.get(packet_type, 0), body)
        case Ping(packet_type):
            return _frame(packet_type, 0, b"")
        case Disconnect(packet_type, code):
            return _frame(packet_type, 0, _reason_and_properties(code, packet.properties, is_v5))


def _frame(packet_type: PacketType, flags: int, body: bytes) -> bytes:
    return bytes((packet_type << 4 | flags,)) + _varint(len(body)) + body


def _publish(packet: Publish, properties: bytes) -> bytes:
    flags = packet.dup << 3 | packet.qos << 1 | packet.retain
    head = _text(packet.topic) + (_uint16(packet.packet_id) if packet.qos else b"")
    return _frame(PacketType.PUBLISH, flags, head + properties + packet.payload)


def _subscription_packet(
    packet: Subscribe | Unsubscribe | SubscriptionAck, properties: bytes, is_v5: bool
) -> bytes:
    match packet:
        case Subscribe(_, subscriptions):
            packet_type = PacketType.SUBSCRIBE
            payload = b"".join(_subscription(each, is_v5) for each in subscriptions)
        case Unsubscribe(_, filters):
            packet_type = PacketType.UNSUBSCRIBE
            payload = b"".join(map(_text, filters))
        case SubscriptionAck(packet_type, _, codes):
            # An UNSUBACK of 3.1.1 has no payload.
            payload = bytes(codes) if is_v5 or packet_type is PacketType.SUBACK else b""
    body = _uint16(packet.packet_id) + properties + payload
    return _frame(packet_type, FIXED_HEADER_FLAGS.get(packet_type, 0), body)


def _subscription(subscription: Subscription, is_v5: bool) -> bytes:
    options = subscription.qos
    if is_v5:
        options |= subscription.no_local << 2
        options |= subscription.retain_as_published << 3
        options |= subscription.retain_handling << 4
    return _text(subscription.topic_filter) + bytes((options,))


def _reason_and_properties(code: int, properties: Mapping[str, Any], is_v5: bool) -> bytes:
    """Encodes a reason code and properties; omits both if they are 0 and empty (3.4.2.1, 3.14.2.1)."""
    if not is_v5 or not (code or properties):
        return b""
    return bytes((code,)) + (_properties(properties) if properties else b"")


def _connect_body(packet: Connect, properties: bytes) -> bytes:
    will = packet.will
    flags = packet.clean_start << 1 | (packet.username is not None) << 7 | (packet.password is not None) << 6
    if will is not None:
        flags |= 4 | will.qos << 3 | will.retain << 5
    body = _text("MQTT") + bytes((packet.version, flags)) + _uint16(packet.keep_alive) + properties
    body += _text(packet.client_id)
    if will is not None:
        body += _properties(will.properties) if packet.version == V5 else b""
        body += _text(will.topic) + _binary(will.payload)
    if packet.username is not None:
        body += _text(packet.username)
    if packet.password is not None:
        body += _binary(packet.password)
    return body


def _properties(properties: Mapping[str, Any]) -> bytes:
    """Encodes properties with their length as a prefix (2.2.2); user properties are a list of pairs."""
    encoded = bytearray()
    for name, value in properties.items():
        identifier, definition = PROPERTIES_BY_NAME[name]
        encode_value = _ENCODERS[definition.encoding]
        for each in value if definition.encoding is PropertyEncoding.PAIR else (value,):
            encoded += _varint(identifier) + encode_value(each)
    return _varint(len(encoded)) + bytes(encoded)


def _uint16(value: int) -> bytes:
    return struct.pack(">H", value)


def _varint(value: int) -> bytes:
    encoded = bytearray()
    while True:
        value, byte = value >> 7, value & 0x7F
        encoded.append(byte | (0x80 if value else 0))
        if not value:
            return bytes(encoded)


def _binary(value: bytes) -> bytes:
    return _uint16(len(value)) + value


def _text(value: str) -> bytes:
    return _binary(value.encode())


_ENCODERS: dict[PropertyEncoding, Callable[[Any], bytes]] = {
    PropertyEncoding.FLAG: lambda value: bytes((value,)),
    PropertyEncoding.UINT16: _uint16,
    PropertyEncoding.UINT32: lambda value: struct.pack(">I", value),
    PropertyEncoding.VARINT: _varint,
    PropertyEncoding.TEXT: _text,
    PropertyEncoding.BINARY: _binary,
    PropertyEncoding.PAIR: lambda value: _text(value[0]) + _text(value[1]),
}
