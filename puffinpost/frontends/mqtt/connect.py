"""Handles a CONNECT packet: refuses it, begins a new session, or resumes an earlier session.

The connection calls it once for each CONNECT. It writes no packet.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from puffinpost.config import MqttConfig
from puffinpost.errors import PuffinpostError
from puffinpost.frontends.mqtt import topics
from puffinpost.frontends.mqtt.session import MqttSession
from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import ReasonCode
from puffinpost.resumption.errors import RegistryFullError
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.frontend import MqttFrontend

MAX_CLIENT_ID_LENGTH = 256
MIN_UNGUESSABLE_CLIENT_ID_LENGTH = 22  # characters of base64: 128 bits
ASSIGNED_CLIENT_ID_BYTES = 18
EXPIRY_NEVER_S = 0xFFFFFFFF  # MQTT 5.0, 3.1.2.11.2


class ConnectRefusedError(PuffinpostError):
    """A CONNECT is refused with a reason code and, in version 5, with a text."""

    def __init__(self, reason: ReasonCode, text: str = "") -> None:
        super().__init__(text)
        self.reason = reason
        self.text = text


@dataclass(frozen=True, slots=True)
class ConnectResult:
    """The session that an accepted CONNECT attaches to."""

    session: MqttSession
    session_present: bool  # an earlier session is resumed
    assigned_client_id: str  # empty if the client has sent an identifier
    requested_expiry_s: int


def accept_connect(frontend: MqttFrontend, packet: mqtt.Connect, certificate_name: str) -> ConnectResult:
    """Authenticates the client, and resumes or begins its session. Raises ``ConnectRefusedError``."""
    _check_properties(packet)
    user = authenticated_user(frontend.config, packet, certificate_name)
    if user is None:
        frontend.coordinator.counters.add("mqtt_bad_login")
        if packet.username is not None:
            raise ConnectRefusedError(ReasonCode.BAD_USER_NAME_OR_PASSWORD)
        raise ConnectRefusedError(ReasonCode.NOT_AUTHORIZED)
    if frontend.draining:
        raise ConnectRefusedError(ReasonCode.SHUTTING_DOWN)
    _check_client_id(packet)
    return _open_session(frontend, packet, user)


def authenticated_user(config: MqttConfig, packet: mqtt.Connect, certificate_name: str) -> str | None:
    """Returns the client's user name: empty if it is anonymous, None if authentication fails."""
    if packet.username is None:
        if certificate_name:
            return certificate_name
        return "" if config.anonymous else None
    if certificate_name and packet.username == certificate_name and packet.password is None:
        return certificate_name
    password = config.users.get(packet.username, "")
    # The comparison runs for unknown users too, so that its time does not reveal which users exist.
    is_equal = hmac.compare_digest(password.encode(), packet.password or b"")
    return packet.username if password and is_equal else None


def _check_properties(packet: mqtt.Connect) -> None:
    if "authentication_method" in packet.properties:
        raise ConnectRefusedError(ReasonCode.BAD_AUTH_METHOD)
    min_bytes = topics.MIN_CLIENT_PACKET_BYTES
    if packet.properties.get("maximum_packet_size", min_bytes) < min_bytes:
        raise ConnectRefusedError(ReasonCode.IMPLEMENTATION_SPECIFIC, f"a line may need {min_bytes} bytes")


def _check_client_id(packet: mqtt.Connect) -> None:
    is_too_long = len(packet.client_id) > MAX_CLIENT_ID_LENGTH
    is_missing = not packet.client_id and packet.version == mqtt.V311 and not packet.clean_start
    if is_too_long or is_missing:
        raise ConnectRefusedError(ReasonCode.BAD_CLIENT_ID)


def _requested_expiry_s(packet: mqtt.Connect) -> int:
    if packet.version == mqtt.V5:
        return int(packet.properties.get("session_expiry", 0))
    return 0 if packet.clean_start else EXPIRY_NEVER_S


def _open_session(frontend: MqttFrontend, packet: mqtt.Connect, user: str) -> ConnectResult:
    registry = frontend.registry
    # Anonymous clients are distinguished by their identifiers alone, so these must not be guessable.
    is_resumable = (
        bool(user) or len(packet.client_id) >= MIN_UNGUESSABLE_CLIENT_ID_LENGTH or not packet.client_id
    )
    assigned_id = "" if packet.client_id else secrets.token_urlsafe(ASSIGNED_CLIENT_ID_BYTES)
    # The length precedes the user name: user "a:b" with client "c" must differ from "a" with "b:c".
    name = f"mqtt:{len(user)}:{user}:{packet.client_id or assigned_id}" if is_resumable else ""
    owner = f"mqtt:{user}"
    expiry_s = _requested_expiry_s(packet)
    grace_ns = min(expiry_s * 1000 * MS, registry.limits.grace_ns) if is_resumable else 0
    session = registry.find_by_name(name, owner) if name else None
    session_present = (
        session is not None and not packet.clean_start and isinstance(session.owner, MqttSession)
    )
    if session is not None and not session_present:
        session.owner.on_session_replaced()  # closes its request before the new session begins
        session = None
    if session is None:
        try:
            session = registry.begin(owner, name, grace_ns)
        except RegistryFullError:
            raise ConnectRefusedError(ReasonCode.QUOTA_EXCEEDED) from None
        MqttSession(frontend, session)
    session.grace_ns = grace_ns
    return ConnectResult(session.owner, session_present, assigned_id, expiry_s)


def connack_properties(
    frontend: MqttFrontend, result: ConnectResult, server_keep_alive_s: int | None
) -> dict[str, Any]:
    """Returns the properties of the CONNACK. ``server_keep_alive_s``: None if the client's own applies."""
    properties: dict[str, Any] = {
        "receive_maximum": frontend.config.receive_maximum,
        "retain_available": 0,
        "maximum_packet_size": topics.MAX_PACKET_BYTES,
        "subscription_ids_available": 0,
        "shared_available": 0,
    }
    if result.assigned_client_id:
        properties["assigned_client_id"] = result.assigned_client_id
    granted_expiry_s = result.session.session.grace_ns // (1000 * MS)
    if granted_expiry_s != result.requested_expiry_s:
        properties["session_expiry"] = granted_expiry_s
    if server_keep_alive_s is not None:
        properties["server_keep_alive"] = server_keep_alive_s
    return properties
