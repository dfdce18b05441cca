"""MQTT control packets as immutable values, which the parser returns and the encoder accepts.

Section numbers are those of MQTT 5.0.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from puffinpost.protocol.mqtt.codes import V5, PacketType

Properties: TypeAlias = dict[str, Any]  # keys are the names in `properties.PROPERTIES`


@dataclass(frozen=True, slots=True)
class Will:
    """The message that is published when the client's connection is lost (3.1.2.5)."""

    topic: str
    payload: bytes
    qos: int = 0
    retain: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Connect:
    """CONNECT (3.1). ``clean_start`` is clean session in 3.1.1; ``keep_alive`` is in seconds."""

    client_id: str
    version: int = V5
    clean_start: bool = True
    keep_alive: int = 0
    username: str | None = None
    password: bytes | None = None
    will: Will | None = None
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Connack:
    """CONNACK (3.2). ``code`` is a reason code, or a return code of 3.1.1."""

    code: int = 0
    session_present: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Publish:
    """PUBLISH (3.3). ``packet_id`` is 0 at QoS 0."""

    topic: str
    payload: bytes = b""
    qos: int = 0
    packet_id: int = 0
    dup: bool = False
    retain: bool = False
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ack:
    """PUBACK, PUBREC, PUBREL and PUBCOMP (3.4 to 3.7)."""

    packet_type: PacketType
    packet_id: int
    code: int = 0
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Subscription:
    """One topic filter of a SUBSCRIBE and its options (3.8.3.1)."""

    topic_filter: str
    qos: int = 0
    no_local: bool = False
    retain_as_published: bool = False
    retain_handling: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """SUBSCRIBE (3.8)."""

    packet_id: int
    filters: tuple[Subscription, ...]
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """UNSUBSCRIBE (3.10)."""

    packet_id: int
    filters: tuple[str, ...]
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class SubscriptionAck:
    """SUBACK and UNSUBACK (3.9, 3.11): one code for each filter."""

    packet_type: PacketType
    packet_id: int
    codes: tuple[int, ...] = ()
    properties: Properties = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Ping:
    """PINGREQ and PINGRESP (3.12, 3.13)."""

    packet_type: PacketType = PacketType.PINGREQ


@dataclass(frozen=True, slots=True)
class Disconnect:
    """DISCONNECT and AUTH (3.14, 3.15): a reason code and properties."""

    packet_type: PacketType = PacketType.DISCONNECT
    code: int = 0
    properties: Properties = field(default_factory=dict)


Packet: TypeAlias = (
    Connect | Connack | Publish | Ack | Subscribe | Unsubscribe | SubscriptionAck | Ping | Disconnect
)
