"""The properties of MQTT 5.0 (2.2.2.2): identifier, name, encoding and the packets that may contain each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from puffinpost.protocol.mqtt.codes import PacketType


class PropertyEncoding(Enum):
    """How a property's value is encoded (1.5)."""

    FLAG = auto()  # a byte that is 0 or 1
    UINT16 = auto()
    UINT32 = auto()
    VARINT = auto()
    TEXT = auto()
    BINARY = auto()
    PAIR = auto()  # two strings; the property may be repeated


@dataclass(frozen=True, slots=True)
class PropertyDefinition:
    """A property. ``allowed_in_will``: whether the properties of a will may contain it."""

    name: str
    encoding: PropertyEncoding
    packet_types: frozenset[PacketType]
    allowed_in_will: bool = False


def _property(
    name: str, encoding: PropertyEncoding, *packet_types: PacketType, will: bool = False
) -> PropertyDefinition:
    return PropertyDefinition(name, encoding, frozenset(packet_types), will)


_ACKS = (PacketType.PUBACK, PacketType.PUBREC, PacketType.PUBREL, PacketType.PUBCOMP)
PROPERTIES: dict[int, PropertyDefinition] = {
    0x01: _property("payload_format", PropertyEncoding.FLAG, PacketType.PUBLISH, will=True),
    0x02: _property("message_expiry", PropertyEncoding.UINT32, PacketType.PUBLISH, will=True),
    0x03: _property("content_type", PropertyEncoding.TEXT, PacketType.PUBLISH, will=True),
    0x08: _property("response_topic", PropertyEncoding.TEXT, PacketType.PUBLISH, will=True),
    0x09: _property("correlation_data", PropertyEncoding.BINARY, PacketType.PUBLISH, will=True),
    0x0B: _property(
        "subscription_identifier", PropertyEncoding.VARINT, PacketType.PUBLISH, PacketType.SUBSCRIBE
    ),
    0x11: _property(
        "session_expiry",
        PropertyEncoding.UINT32,
        PacketType.CONNECT,
        PacketType.CONNACK,
        PacketType.DISCONNECT,
    ),
    0x12: _property("assigned_client_id", PropertyEncoding.TEXT, PacketType.CONNACK),
    0x13: _property("server_keep_alive", PropertyEncoding.UINT16, PacketType.CONNACK),
    0x15: _property(
        "authentication_method",
        PropertyEncoding.TEXT,
        PacketType.CONNECT,
        PacketType.CONNACK,
        PacketType.AUTH,
    ),
    0x16: _property(
        "authentication_data",
        PropertyEncoding.BINARY,
        PacketType.CONNECT,
        PacketType.CONNACK,
        PacketType.AUTH,
    ),
    0x17: _property("request_problem", PropertyEncoding.FLAG, PacketType.CONNECT),
    0x18: _property("will_delay", PropertyEncoding.UINT32, will=True),
    0x19: _property("request_response", PropertyEncoding.FLAG, PacketType.CONNECT),
    0x1A: _property("response_information", PropertyEncoding.TEXT, PacketType.CONNACK),
    0x1C: _property("server_reference", PropertyEncoding.TEXT, PacketType.CONNACK, PacketType.DISCONNECT),
    0x1F: _property(
        "reason_string",
        PropertyEncoding.TEXT,
        PacketType.CONNACK,
        *_ACKS,
        PacketType.SUBACK,
        PacketType.UNSUBACK,
        PacketType.DISCONNECT,
        PacketType.AUTH,
    ),
    0x21: _property("receive_maximum", PropertyEncoding.UINT16, PacketType.CONNECT, PacketType.CONNACK),
    0x22: _property("topic_alias_maximum", PropertyEncoding.UINT16, PacketType.CONNECT, PacketType.CONNACK),
    0x23: _property("topic_alias", PropertyEncoding.UINT16, PacketType.PUBLISH),
    0x24: _property("maximum_qos", PropertyEncoding.FLAG, PacketType.CONNACK),
    0x25: _property("retain_available", PropertyEncoding.FLAG, PacketType.CONNACK),
    0x26: _property(
        "user_properties",
        PropertyEncoding.PAIR,
        *(set(PacketType) - {PacketType.PINGREQ, PacketType.PINGRESP}),
        will=True,
    ),
    0x27: _property("maximum_packet_size", PropertyEncoding.UINT32, PacketType.CONNECT, PacketType.CONNACK),
    0x28: _property("wildcards_available", PropertyEncoding.FLAG, PacketType.CONNACK),
    0x29: _property("subscription_ids_available", PropertyEncoding.FLAG, PacketType.CONNACK),
    0x2A: _property("shared_available", PropertyEncoding.FLAG, PacketType.CONNACK),
}
PROPERTIES_BY_NAME = {
    definition.name: (identifier, definition) for identifier, definition in PROPERTIES.items()
}
NON_ZERO_PROPERTIES = frozenset(
    {"receive_maximum", "maximum_packet_size", "topic_alias", "subscription_identifier"}
)
