"""Encodes stream tags, errors and stanzas, and edits the start tag of a forwarded stanza.

A stanza is forwarded with its original bytes, except for its addresses and namespace declarations.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from puffinpost.protocol.xmpp.elements import ATTRIBUTE, START_TAG, TAG_NAME, Element, escape
from puffinpost.protocol.xmpp.namespaces import (
    CLIENT,
    STANZA_ERRORS,
    STREAM,
    STREAM_ERRORS,
    STREAM_MANAGEMENT,
)

STREAM_CLOSE = b"</stream:stream>"
ACK_REQUEST = f"<r xmlns='{STREAM_MANAGEMENT}'/>".encode()
MAX_COUNT_DIGITS = 10


def stream_header(attributes: Mapping[str, str]) -> bytes:
    """Encodes the opening tag of a stream; attributes without a value are omitted."""
    return (
        f"<?xml version='1.0'?><stream:stream xmlns='{CLIENT}' xmlns:stream='{STREAM}'"
        f"{_attributes(attributes)}>"
    ).encode()


def _attributes(attributes: Mapping[str, str]) -> str:
    return "".join(f" {name}='{escape(value)}'" for name, value in attributes.items() if value)


def stream_error(condition: str, text: str = "") -> bytes:
    """Encodes a stream error and the closing tag of the stream."""
    text_element = f"<text xmlns='{STREAM_ERRORS}' xml:lang='en'>{escape(text)}</text>" if text else ""
    return (
        f"<stream:error><{condition} xmlns='{STREAM_ERRORS}'/>{text_element}</stream:error></stream:stream>"
    ).encode()


def stanza(name: str, attributes: Mapping[str, str], inner: bytes = b"") -> bytes:
    """Encodes a stanza; attributes without a value are omitted."""
    return f"<{name}{_attributes(attributes)}>".encode() + inner + f"</{name}>".encode()


def stanza_error(error_type: str, condition: str, extra: str = "") -> bytes:
    """Encodes the ``error`` child of a stanza."""
    return f"<error type='{error_type}'><{condition} xmlns='{STANZA_ERRORS}'/>{extra}</error>".encode()


def management_ack(count: int) -> bytes:
    """Encodes an acknowledgement of the stanzas handled so far (XEP-0198, 4)."""
    return f"<a xmlns='{STREAM_MANAGEMENT}' h='{count}'/>".encode()


def management_failed(condition: str, handled: int | None = None) -> bytes:
    """Encodes a failure to enable stream management or to resume a stream (XEP-0198, 3 and 5)."""
    count = f" h='{handled}'" if handled is not None else ""
    return (
        f"<failed xmlns='{STREAM_MANAGEMENT}'{count}><{condition} xmlns='{STANZA_ERRORS}'/></failed>".encode()
    )


def handled_count_too_high(handled: int, sent: int, text: str) -> bytes:
    """Encodes the stream error for an acknowledgement of more stanzas than were sent, and the closing tag."""
    return (
        f"<stream:error><undefined-condition xmlns='{STREAM_ERRORS}'/>"
        f"<handled-count-too-high xmlns='{STREAM_MANAGEMENT}' h='{handled}' send-count='{sent}'/>"
        f"<text xmlns='{STREAM_ERRORS}' xml:lang='en'>{escape(text)}</text></stream:error></stream:stream>"
    ).encode()


def handled_count(element: Element) -> int | None:
    """Returns a stream management element's ``h``, or None if it is not an unsigned 32-bit number."""
    raw = element.attributes.get("h", "")
    if not (raw.isascii() and raw.isdigit() and len(raw) <= MAX_COUNT_DIGITS):
        return None
    count = int(raw)
    return count if count < 1 << 32 else None


class StanzaErrorCondition(NamedTuple):
    """The type and condition of a stanza error (RFC 6120, 8.3); both are empty if there is no error."""

    error_type: str
    condition: str


def error_condition(element: Element) -> StanzaErrorCondition:
    """Returns the error in a stanza."""
    error = element.child(CLIENT, "error")
    if error is None:
        return StanzaErrorCondition("", "")
    conditions = [
        child.name for child in error.children if child.namespace == STANZA_ERRORS and child.name != "text"
    ]
    condition = conditions[0] if conditions else "undefined-condition"
    return StanzaErrorCondition(error.attributes.get("type", ""), condition)


def readdress(raw: bytes, prefixes: Mapping[str, str], addresses: Mapping[str, str]) -> bytes:
    """Replaces the ``to`` and ``from`` addresses in a stanza's bytes.

    ``prefixes`` are the namespace prefixes that its stream declares; those that the stanza uses are declared
    on the stanza.
    """
    match = START_TAG.match(raw)
    assert match is not None  # the parser has matched this tag
    tag = match.group()
    name = TAG_NAME.match(tag)
    assert name is not None
    existing = {found.group(1): found.group() for found in ATTRIBUTE.finditer(tag)}
    attributes = b"".join(text for key, text in existing.items() if key not in (b"to", b"from"))
    for prefix, uri in prefixes.items():
        if f"xmlns:{prefix}".encode() not in existing and f"{prefix}:".encode() in raw:
            attributes += f" xmlns:{prefix}='{escape(uri)}'".encode()
    for key, value in addresses.items():
        if value:
            attributes += f" {key}='{escape(value)}'".encode()
    return name.group() + attributes + (b"/>" if tag.endswith(b"/>") else b">") + raw[match.end() :]


def replace_attribute(raw: bytes, attribute: bytes, value: str) -> bytes:
    """Replaces the value of an attribute of a stanza's start tag, if the tag has that attribute."""
    match = START_TAG.match(raw)
    assert match is not None
    for found in ATTRIBUTE.finditer(raw, 0, match.end()):
        if found.group(1) == attribute:
            return raw[: found.start(2) + 1] + escape(value).encode() + raw[found.end(2) - 1 :]
    return raw


def inner_xml(raw: bytes) -> bytes:
    """Returns the bytes between a stanza's start tag and its end tag; empty for an empty element."""
    match = START_TAG.match(raw)
    assert match is not None
    return b"" if match.group().endswith(b"/>") else raw[match.end() : raw.rindex(b"</")]
