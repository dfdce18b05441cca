"""Parses a stream of bytes into MQTT 3.1.1 and 5.0 control packets.

The caller feeds bytes as they arrive, in pieces of any size, and receives complete packets. The parser does
no I/O and buffers at most one packet of the given maximum size.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeVar

from puffinpost.protocol.mqtt.codes import V5, V311, PacketType, ReasonCode
from puffinpost.protocol.mqtt.errors import MqttError
from puffinpost.protocol.mqtt.packets import (
    Ack,
    Connack,
    Connect,
    Disconnect,
    Packet,
    Ping,
    Properties,
    Publish,
    Subscribe,
    Subscription,
    SubscriptionAck,
    Unsubscribe,
    Will,
)
from puffinpost.protocol.mqtt.reader import MAX_VARINT_BYTES, PacketReader
from puffinpost.protocol.mqtt.topics import check_topic

MAX_FILTERS = 64  # in one SUBSCRIBE or UNSUBSCRIBE

# Flags in the fixed header (2.1.3). PUBLISH has variable flags; types without an entry have 0.
FIXED_HEADER_FLAGS: dict[int, int] = {
    PacketType.PUBREL: 2,
    PacketType.SUBSCRIBE: 2,
    PacketType.UNSUBSCRIBE: 2,
}

# Connect flags (3.1.2.3).
_RESERVED = 0x01
_CLEAN_START = 0x02
_WILL = 0x04
_WILL_QOS_AND_RETAIN = 0x38
_WILL_RETAIN = 0x20
_PASSWORD = 0x40
_USERNAME = 0x80

# Subscription options (3.8.3.1): the bits that 5.0 and 3.1.1 define.
_OPTION_BITS = 0x3F
_OPTION_BITS_311 = 0x03

_Item = TypeVar("_Item")


class _FixedHeader(NamedTuple):
    """``size`` is the length of the header itself in bytes, ``body_size`` the remaining length (2.1.4)."""

    size: int
    body_size: int


class PacketParser:
    """Splits a stream of bytes into packets.

    ``version`` is 0 until the first CONNECT arrives; a client, which sends the CONNECT, sets it instead.
    ``max_packet_bytes`` includes the fixed header.
    """

    def __init__(self, max_packet_bytes: int, version: int = 0) -> None:
        self.max_packet_bytes = max_packet_bytes
        self.version = version
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """Whether part of a packet is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Packet]:
        """Returns the packets completed by ``data``.

        Raises ``MqttError`` on invalid input, with the packets before it in ``packets_before``.
        """
        self._buffer += data
        packets: list[Packet] = []
        try:
            while (packet := self._next_packet()) is not None:
                packets.append(packet)
        except MqttError as error:
            error.packets_before = packets
            raise
        return packets

    def _next_packet(self) -> Packet | None:
        header = self._fixed_header()
        if header is None:
            return None
        packet_size = header.size + header.body_size
        if packet_size > self.max_packet_bytes:
            raise MqttError(
                ReasonCode.PACKET_TOO_LARGE, f"a packet is longer than {self.max_packet_bytes} bytes"
            )
        if len(self._buffer) < packet_size:
            return None
        first_byte = self._buffer[0]
        body = PacketReader(bytes(self._buffer[header.size : packet_size]))
        del self._buffer[:packet_size]
        packet = self._parse_body(PacketType(first_byte >> 4), first_byte & 0x0F, body)
        body.expect_end()
        return packet

    def _fixed_header(self) -> _FixedHeader | None:
        """Parses the fixed header; returns None while it is incomplete.

        The first byte is checked as soon as it arrives, so that the input of a peer that does not speak MQTT
        is not buffered up to the maximum packet size.
        """
        if not self._buffer:
            return None
        self._check_first_byte(self._buffer[0])
        body_size = 0
        for index in range(1, 1 + MAX_VARINT_BYTES):
            if len(self._buffer) <= index:
                return None
            byte = self._buffer[index]
            body_size |= (byte & 0x7F) << (7 * (index - 1))
            if not byte & 0x80:
                if index > 1 and not byte:
                    raise MqttError(ReasonCode.MALFORMED, "a length is longer than it needs to be")
                return _FixedHeader(index + 1, body_size)
        raise MqttError(ReasonCode.MALFORMED, "a length has more than four bytes")

    def _check_first_byte(self, first_byte: int) -> None:
        packet_type, flags = first_byte >> 4, first_byte & 0x0F
        is_publish = packet_type == PacketType.PUBLISH
        if not packet_type or (not is_publish and flags != FIXED_HEADER_FLAGS.get(packet_type, 0)):
            raise MqttError(ReasonCode.MALFORMED, f"no packet begins with {first_byte:#04x}")
        if is_publish and (flags & 0x06 == 0x06 or flags & 0x0E == 0x08):
            raise MqttError(ReasonCode.MALFORMED, "PUBLISH with flags that cannot be")
        if not self.version and packet_type != PacketType.CONNECT:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, "the first packet is not CONNECT")

    def _parse_body(self, packet_type: PacketType, flags: int, body: PacketReader) -> Packet:
        packet: Packet
        match packet_type:
            case PacketType.CONNECT:
                packet = self._parse_connect(body)
            case PacketType.CONNACK:
                packet = self._parse_connack(body)
            case PacketType.PUBLISH:
                packet = self._parse_publish(flags, body)
            case PacketType.PUBACK | PacketType.PUBREC | PacketType.PUBREL | PacketType.PUBCOMP:
                packet_id = body.packet_id()
                packet = Ack(packet_type, packet_id, *self._parse_reason_and_properties(packet_type, body))
            case PacketType.SUBSCRIBE:
                packet_id, properties = body.packet_id(), self._parse_properties(packet_type, body)
                packet = Subscribe(packet_id, _parse_filters(body, self._parse_subscription), properties)
            case PacketType.UNSUBSCRIBE:
                packet_id, properties = body.packet_id(), self._parse_properties(packet_type, body)
                packet = Unsubscribe(packet_id, _parse_filters(body, PacketReader.text), properties)
            case PacketType.SUBACK | PacketType.UNSUBACK:
                packet_id, properties = body.packet_id(), self._parse_properties(packet_type, body)
                packet = SubscriptionAck(packet_type, packet_id, tuple(body.rest()), properties)
            case PacketType.PINGREQ | PacketType.PINGRESP:
                packet = Ping(packet_type)
            case PacketType.DISCONNECT | PacketType.AUTH:
                packet = self._parse_disconnect(packet_type, body)
        return packet

    def _parse_properties(self, packet_type: PacketType, body: PacketReader) -> Properties:
        return body.properties(packet_type) if self.version == V5 else {}

    def _parse_reason_and_properties(
        self, packet_type: PacketType, body: PacketReader
    ) -> tuple[int, Properties]:
        """Parses a reason code and properties; both, or the latter, may be omitted (3.4.2.1, 3.14.2.1)."""
        if self.version != V5 or not body.remaining:
            return 0, {}
        code = body.byte()
        return code, body.properties(packet_type) if body.remaining else {}

    def _parse_connect(self, body: PacketReader) -> Connect:
        version = self._parse_version(body)
        flags, keep_alive = body.byte(), body.uint16()
        _check_connect_flags(flags, version)
        properties = self._parse_properties(PacketType.CONNECT, body)
        client_id = body.text()
        will = self._parse_will(flags, body) if flags & _WILL else None
        username = body.text() if flags & _USERNAME else None
        password = body.binary() if flags & _PASSWORD else None
        if "authentication_data" in properties and "authentication_method" not in properties:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, "authentication data without a method")
        return Connect(
            client_id,
            version,
            bool(flags & _CLEAN_START),
            keep_alive,
            username,
            password,
            will,
            properties,
        )

    def _parse_version(self, body: PacketReader) -> int:
        if body.binary() != b"MQTT":
            raise MqttError(ReasonCode.UNSUPPORTED_VERSION, "the protocol's name is not MQTT")
        version = body.byte()
        if version not in (V311, V5):
            raise MqttError(ReasonCode.UNSUPPORTED_VERSION, f"protocol version {version}")
        if self.version:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, "a second CONNECT")
        self.version = version
        return version

    def _parse_will(self, flags: int, body: PacketReader) -> Will:
        properties = body.will_properties() if self.version == V5 else {}
        topic = body.text()
        check_topic(topic)
        return Will(topic, body.binary(), flags >> 3 & 3, bool(flags & _WILL_RETAIN), properties)

    def _parse_connack(self, body: PacketReader) -> Connack:
        flags, code = body.byte(), body.byte()
        if flags & 0xFE:
            raise MqttError(ReasonCode.MALFORMED, "CONNACK has flags that it cannot have")
        return Connack(code, bool(flags), self._parse_properties(PacketType.CONNACK, body))

    def _parse_publish(self, flags: int, body: PacketReader) -> Publish:
        qos, topic = flags >> 1 & 3, body.text()
        packet_id = body.packet_id() if qos else 0
        properties = self._parse_properties(PacketType.PUBLISH, body)
        if topic or "topic_alias" not in properties:
            check_topic(topic)
        if "response_topic" in properties:
            check_topic(properties["response_topic"])
        return Publish(topic, body.rest(), qos, packet_id, bool(flags & 8), bool(flags & 1), properties)

    def _parse_subscription(self, body: PacketReader) -> Subscription:
        topic_filter, options = body.text(), body.byte()
        allowed = _OPTION_BITS if self.version == V5 else _OPTION_BITS_311
        qos, retain_handling = options & 3, options >> 4 & 3
        if options & ~allowed or qos == 3 or retain_handling == 3:
            raise MqttError(ReasonCode.MALFORMED, "options of a subscription that cannot be")
        return Subscription(topic_filter, qos, bool(options & 4), bool(options & 8), retain_handling)

    def _parse_disconnect(self, packet_type: PacketType, body: PacketReader) -> Disconnect:
        if self.version != V5 and (packet_type is PacketType.AUTH or body.remaining):
            raise MqttError(ReasonCode.MALFORMED, f"{packet_type.name} that 3.1.1 does not know")
        return Disconnect(packet_type, *self._parse_reason_and_properties(packet_type, body))


def _check_connect_flags(flags: int, version: int) -> None:
    has_will, will_qos = bool(flags & _WILL), flags >> 3 & 3
    if flags & _RESERVED or will_qos == 3 or (not has_will and flags & _WILL_QOS_AND_RETAIN):
        raise MqttError(ReasonCode.MALFORMED, "CONNECT with flags that cannot be")
    if version == V311 and flags & _PASSWORD and not flags & _USERNAME:
        raise MqttError(ReasonCode.MALFORMED, "a password without a user name")


def _parse_filters(body: PacketReader, parse_one: Callable[[PacketReader], _Item]) -> tuple[_Item, ...]:
    """Parses the filters of a SUBSCRIBE or UNSUBSCRIBE, at least one, up to the end of the packet."""
    filters: list[_Item] = []
    while body.remaining:
        if len(filters) >= MAX_FILTERS:
            raise MqttError(ReasonCode.PACKET_TOO_LARGE, f"more than {MAX_FILTERS} filters at a time")
        filters.append(parse_one(body))
    if not filters:
        raise MqttError(ReasonCode.PROTOCOL_ERROR, "no filter")
    return tuple(filters)
