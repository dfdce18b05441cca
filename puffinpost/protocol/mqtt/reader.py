"""Reads the fields in the body of an MQTT packet. Section numbers are those of MQTT 5.0."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffinpost.protocol.mqtt.codes import PacketType, ReasonCode
from puffinpost.protocol.mqtt.errors import MqttError
from puffinpost.protocol.mqtt.packets import Properties
from puffinpost.protocol.mqtt.properties import (
    NON_ZERO_PROPERTIES,
    PROPERTIES,
    PropertyDefinition,
    PropertyEncoding,
)

MAX_VARINT_BYTES = 4  # 1.5.5
MAX_USER_PROPERTIES = 32


class PacketReader:
    """Reads fields in order from the body, which follows the fixed header.

    Every method raises ``MqttError`` if the body ends too early or the field is invalid.
    """

    __slots__ = ("data", "offset")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    @property
    def remaining(self) -> int:
        """The number of unread bytes."""
        return len(self.data) - self.offset

    def take(self, size: int) -> bytes:
        """Reads the next ``size`` bytes."""
        end = self.offset + size
        if end > len(self.data):
            raise MqttError(ReasonCode.MALFORMED, "a packet is shorter than it says")
        value = self.data[self.offset : end]
        self.offset = end
        return value

    def rest(self) -> bytes:
        """Reads all remaining bytes."""
        return self.take(self.remaining)

    def expect_end(self) -> None:
        """Raises ``MqttError`` unless the complete body was read."""
        if self.remaining:
            raise MqttError(ReasonCode.MALFORMED, "a packet is longer than what it holds")

    def byte(self) -> int:
        """Reads one unsigned byte."""
        return self.take(1)[0]

    def flag(self) -> int:
        """Reads the byte of a property, which must be 0 or 1."""
        value = self.byte()
        if value > 1:
            raise MqttError(ReasonCode.PROTOCOL_ERROR, f"a property that is 0 or 1 is {value}")
        return value

    def uint16(self) -> int:
        """Reads a two byte integer (1.5.2)."""
        return int.from_bytes(self.take(2), "big")

    def uint32(self) -> int:
        """Reads a four byte integer (1.5.3)."""
        return int.from_bytes(self.take(4), "big")

    def varint(self) -> int:
        """Reads a variable byte integer, which must have its shortest encoding (1.5.5)."""
        value = 0
        for index in range(MAX_VARINT_BYTES):
            byte = self.byte()
            value |= (byte & 0x7F) << (7 * index)
            if not byte & 0x80:
                if index and not byte:
                    raise MqttError(ReasonCode.MALFORMED, "a length is longer than it needs to be")
                return value
        raise MqttError(ReasonCode.MALFORMED, "a length has more than four bytes")

    def binary(self) -> bytes:
        """Reads binary data with a length prefix (1.5.6)."""
        return self.take(self.uint16())

    def text(self) -> str:
        """Reads a UTF-8 string with a length prefix (1.5.4)."""
        raw = self.binary()
        try:
            text = raw.decode()
        except UnicodeDecodeError:
            raise MqttError(ReasonCode.MALFORMED, "a text is not UTF-8") from None
        if "\0" in text:
            raise MqttError(ReasonCode.MALFORMED, "a text holds U+0000")
        return text

    def pair(self) -> tuple[str, str]:
        """Reads a UTF-8 string pair (1.5.7)."""
        return self.text(), self.text()

    def packet_id(self) -> int:
        """Reads a packet identifier (2.2.1)."""
        packet_id = self.uint16()
        if not packet_id:
            raise MqttError(ReasonCode.MALFORMED, "a packet identifier is 0")
        return packet_id

    def properties(self, packet_type: PacketType) -> Properties:
        """Reads the properties of a packet (2.2.2)."""
        return self._properties(packet_type, lambda definition: packet_type in definition.packet_types)

    def will_properties(self) -> Properties:
        """Reads the properties of the will in a CONNECT (3.1.3.2)."""
        return self._properties(PacketType.CONNECT, lambda definition: definition.allowed_in_will)

    def _properties(
        self, packet_type: PacketType, is_allowed: Callable[[PropertyDefinition], bool]
    ) -> Properties:
        section = PacketReader(self.take(self.varint()))
        properties: Properties = {}
        while section.remaining:
            definition = PROPERTIES.get(section.varint())
            if definition is None or not is_allowed(definition):
                raise MqttError(ReasonCode.MALFORMED, f"a property that {packet_type.name} does not have")
            value = _DECODERS[definition.encoding](section)
            if definition.encoding is PropertyEncoding.PAIR:
                pairs = properties.setdefault(definition.name, [])
                if len(pairs) >= MAX_USER_PROPERTIES:
                    raise MqttError(ReasonCode.PACKET_TOO_LARGE, "too many user properties")
                pairs.append(value)
            elif definition.name in properties:
                raise MqttError(ReasonCode.PROTOCOL_ERROR, f"{definition.name} stands twice")
            elif definition.name in NON_ZERO_PROPERTIES and not value:
                raise MqttError(ReasonCode.PROTOCOL_ERROR, f"{definition.name} is 0")
            else:
                properties[definition.name] = value
        return properties


_DECODERS: dict[PropertyEncoding, Callable[[PacketReader], Any]] = {
    PropertyEncoding.FLAG: PacketReader.flag,
    PropertyEncoding.UINT16: PacketReader.uint16,
    PropertyEncoding.UINT32: PacketReader.uint32,
    PropertyEncoding.VARINT: PacketReader.varint,
    PropertyEncoding.TEXT: PacketReader.text,
    PropertyEncoding.BINARY: PacketReader.binary,
    PropertyEncoding.PAIR: PacketReader.pair,
}
