"""Encodes IPFIX messages (RFC 7011) with flow records for the flow exporter. Does no I/O.

There is one template for IPv4 and one for IPv6. The reverse octet count is an element of RFC 5103.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Sequence
from dataclasses import dataclass

VERSION = 10
TEMPLATE_SET = 2
REVERSE_ENTERPRISE = 29305  # the enterprise number of reverse information elements
VARIABLE_LENGTH = 0xFFFF
MAX_MESSAGE_BYTES = 65535
MAX_NAME_BYTES = 254

_MESSAGE_HEADER = struct.Struct(">HHIII")
_SET_HEADER = struct.Struct(">HH")
_FIELD_SPECIFIER = struct.Struct(">HH")


@dataclass(frozen=True, slots=True)
class FlowRecord:
    """A completed exchange between a client and an endpoint."""

    start_ms: int
    end_ms: int
    source: tuple[str, int]
    destination: tuple[str, int]
    octets: int
    reverse_octets: int
    end_reason: int  # flowEndReason
    application: str  # the request class


IDLE_TIMEOUT, ACTIVE_TIMEOUT, END_DETECTED, FORCED_END = 1, 2, 3, 4

_COMMON_FIELDS: tuple[tuple[int, int, int], ...] = (
    (152, 8, 0),
    (153, 8, 0),
    (7, 2, 0),
    (11, 2, 0),
    (4, 1, 0),
    (1, 8, 0),
    (1, 8, REVERSE_ENTERPRISE),
    (136, 1, 0),
    (96, VARIABLE_LENGTH, 0),
)  # start, end, source port, destination port, protocol, octets, reverse octets, end reason, application
_ADDRESS_FIELDS = {256: ((8, 4, 0), (12, 4, 0)), 257: ((27, 16, 0), (28, 16, 0))}  # source, destination
_COMMON_FORMAT = struct.Struct(">QQHHBQQB")
TCP = 6


def _encode_template(template_id: int) -> bytes:
    fields = (*_ADDRESS_FIELDS[template_id], *_COMMON_FIELDS)
    specifiers = [_FIELD_SPECIFIER.pack(template_id, len(fields))]
    for element, length, enterprise in fields:
        if enterprise:
            specifiers.append(_FIELD_SPECIFIER.pack(element | 0x8000, length) + struct.pack(">I", enterprise))
        else:
            specifiers.append(_FIELD_SPECIFIER.pack(element, length))
    return b"".join(specifiers)


def _encode_record(flow: FlowRecord) -> tuple[int, bytes]:
    """Returns a flow's template identifier and its encoded record."""
    source, destination = ipaddress.ip_address(flow.source[0]), ipaddress.ip_address(flow.destination[0])
    if source.version != destination.version:
        # A template has one address family, so the IPv4 address is encoded as an IPv4-mapped IPv6 address.
        source, destination = _as_ipv6(source), _as_ipv6(destination)
    name = flow.application.encode()[:MAX_NAME_BYTES]
    body = _COMMON_FORMAT.pack(
        flow.start_ms,
        flow.end_ms,
        flow.source[1],
        flow.destination[1],
        TCP,
        flow.octets,
        flow.reverse_octets,
        flow.end_reason,
    )
    template_id = 256 if source.version == 4 else 257
    return template_id, source.packed + destination.packed + body + bytes([len(name)]) + name


def _as_ipv6(address: ipaddress.IPv4Address | ipaddress.IPv6Address) -> ipaddress.IPv6Address:
    if isinstance(address, ipaddress.IPv6Address):
        return address
    return ipaddress.IPv6Address(b"\0" * 10 + b"\xff\xff" + address.packed)


class Encoder:
    """Encodes the messages of a transport session; a sequence number is the count of records sent before."""

    def __init__(self, domain: int) -> None:
        self.domain = domain
        self.sequence = 0

    def _encode_message(self, now_s: int, body: bytes) -> bytes:
        length = _MESSAGE_HEADER.size + len(body)
        if length > MAX_MESSAGE_BYTES:
            raise ValueError(f"a message of {length} bytes is longer than IPFIX allows")
        return _MESSAGE_HEADER.pack(VERSION, length, now_s & 0xFFFFFFFF, self.sequence, self.domain) + body

    def encode_templates(self, now_s: int) -> bytes:
        """Encodes the first message of a session, which contains both templates."""
        body = b"".join(_encode_template(number) for number in _ADDRESS_FIELDS)
        return self._encode_message(
            now_s, _SET_HEADER.pack(TEMPLATE_SET, _SET_HEADER.size + len(body)) + body
        )

    def encode_flows(self, now_s: int, flows: Sequence[FlowRecord]) -> bytes:
        """Encodes a message with flow records."""
        by_template: dict[int, list[bytes]] = {}
        for flow in flows:
            template_id, record = _encode_record(flow)
            by_template.setdefault(template_id, []).append(record)
        body = b""
        for template_id, records in by_template.items():
            joined = b"".join(records)
            body += _SET_HEADER.pack(template_id, _SET_HEADER.size + len(joined)) + joined
        message = self._encode_message(now_s, body)
        self.sequence = (self.sequence + len(flows)) & 0xFFFFFFFF
        return message
