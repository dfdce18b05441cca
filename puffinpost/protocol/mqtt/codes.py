"""Control packet types, reason codes and protocol versions of MQTT, as they are encoded on the wire.

Section numbers are those of MQTT 5.0 (OASIS, 2019); 3.1.1 is MQTT 3.1.1 (OASIS, 2014).
"""

from __future__ import annotations

from enum import IntEnum

V311, V5 = 4, 5  # protocol levels in CONNECT (3.1.2.2)


class PacketType(IntEnum):
    """Control packet types (2.1.2)."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    PUBREC = 5
    PUBREL = 6
    PUBCOMP = 7
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


class ReasonCode(IntEnum):
    """Reason codes (2.4) that this project sends or interprets."""

    SUCCESS = 0x00
    NO_SUBSCRIPTION_EXISTED = 0x11
    DISCONNECT_WITH_WILL = 0x04
    UNSPECIFIED = 0x80
    MALFORMED = 0x81
    PROTOCOL_ERROR = 0x82
    IMPLEMENTATION_SPECIFIC = 0x83
    UNSUPPORTED_VERSION = 0x84
    BAD_CLIENT_ID = 0x85
    BAD_USER_NAME_OR_PASSWORD = 0x86
    NOT_AUTHORIZED = 0x87
    SERVER_UNAVAILABLE = 0x88
    SERVER_BUSY = 0x89
    SHUTTING_DOWN = 0x8B
    BAD_AUTH_METHOD = 0x8C
    KEEP_ALIVE_TIMEOUT = 0x8D
    SESSION_TAKEN_OVER = 0x8E
    FILTER_INVALID = 0x8F
    TOPIC_INVALID = 0x90
    PACKET_ID_IN_USE = 0x91
    PACKET_ID_NOT_FOUND = 0x92
    RECEIVE_MAXIMUM_EXCEEDED = 0x93
    ALIAS_INVALID = 0x94
    PACKET_TOO_LARGE = 0x95
    QUOTA_EXCEEDED = 0x97
    ADMINISTRATIVE_ACTION = 0x98
    PAYLOAD_INVALID = 0x99
    RETAIN_UNSUPPORTED = 0x9A
    SHARED_UNSUPPORTED = 0x9E
    SUBSCRIPTION_IDS_UNSUPPORTED = 0xA1
    WILDCARDS_UNSUPPORTED = 0xA2


# The return codes that a CONNACK of 3.1.1 has instead of reason codes (MQTT 3.1.1, 3.2.2.3).
_RETURN_CODES_311 = {
    ReasonCode.SUCCESS: 0,
    ReasonCode.UNSUPPORTED_VERSION: 1,
    ReasonCode.BAD_CLIENT_ID: 2,
    ReasonCode.BAD_USER_NAME_OR_PASSWORD: 4,
    ReasonCode.NOT_AUTHORIZED: 5,
}
SERVER_UNAVAILABLE_311 = 3
SUBACK_FAILURE_311 = 0x80  # the only failure code in a SUBACK of 3.1.1


def connack_code(reason: ReasonCode, version: int) -> int:
    """Returns the code for a reason in a CONNACK of the given protocol version."""
    if version == V5:
        return int(reason)
    return _RETURN_CODES_311.get(reason, SERVER_UNAVAILABLE_311)
