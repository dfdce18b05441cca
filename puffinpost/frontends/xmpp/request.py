"""Translates the ``open`` element of an IQ into a request to the coordinator.

The stanza handler calls it for each IQ that opens a session. It never contacts an endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping

from puffinpost.errors import PuffinpostError
from puffinpost.protocol import xmpp
from puffinpost.proxy.coordinator import MAX_CLIENT_TIMEOUT_MS, Coordinator
from puffinpost.proxy.exchange import SessionRequest
from puffinpost.units import MS

SESSION_NAMESPACE = "urn:puffinpost:session:0"
MAX_64_BITS = (1 << 64) - 1
MAX_LOAD = 10**12


class BadRequestError(PuffinpostError):
    """An IQ that is rejected as invalid; the message, which the client receives, is the reason."""


def build_session_request(
    coordinator: Coordinator, element: xmpp.Element, client_address: tuple[str, int]
) -> SessionRequest:
    """Builds a request from an ``open`` element. Raises ``BadRequestError``."""
    attributes = element.attributes
    request_class = coordinator.class_index(attributes.get("class", ""))
    if request_class is None:
        raise BadRequestError("class is missing or unknown")
    wait_ms = _number(attributes, "wait", 10, MAX_CLIENT_TIMEOUT_MS)
    if wait_ms is None or wait_ms == 0:
        raise BadRequestError("wait is missing")
    group = _number(attributes, "group", 16, MAX_64_BITS) if coordinator.settings.groups_share_work else None
    return SessionRequest(
        request_class,
        wait_ms * MS,
        _number(attributes, "key", 16, MAX_64_BITS) or 0,
        group or 0,
        _number(attributes, "load", 10, MAX_LOAD),
        attributes.get("retry") == "true",
        attributes.get("returning") == "true",
        client_address,
    )


def _number(attributes: Mapping[str, str], name: str, base: int, maximum: int) -> int | None:
    if name not in attributes:
        return None
    try:
        value = int(attributes[name], base)
    except ValueError:
        raise BadRequestError(f"{name} is not a number") from None
    if not 0 <= value <= maximum:
        raise BadRequestError(f"{name} is out of range")
    return value
