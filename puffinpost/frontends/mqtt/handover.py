"""The state of an MQTT session, as it is handed to the successor in a hot restart.

The keys on the handover channel differ from the field names here; only this module and the frontend have
both.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from puffinpost.frontends.handover import SessionHandover
from puffinpost.frontends.mqtt.last_request import LastRequest
from puffinpost.resumption.snapshot import SessionSnapshot

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.session import MqttSession

KIND = "mqtt"


@dataclass(frozen=True, slots=True)
class MqttConnectionState:
    """The state of the client's connection, if the client is connected."""

    version: int
    keep_alive_timeout_ns: int

    def to_message(self) -> dict[str, Any]:
        """Returns the state under the keys of the handover channel."""
        return {"version": self.version, "silence_ns": self.keep_alive_timeout_ns}

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> MqttConnectionState:
        """Parses the result of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        return cls(int(message["version"]), int(message["silence_ns"]))


@dataclass(frozen=True, slots=True)
class MqttSessionState:
    """The state of a session, without its connections and its current request."""

    resumable: SessionSnapshot
    subscriptions: dict[str, int]
    answer: bytes
    inbound: dict[str, Any]
    outbound: dict[str, Any]
    last_request_id: int | None
    receive_maximum: int
    reply_topic: str

    @classmethod
    def of(cls, session: MqttSession) -> MqttSessionState:
        """Returns the current state of a session."""
        return cls(
            resumable=session.session.snapshot(),
            subscriptions=session.subscriptions.granted,
            answer=session.last_request.answer,
            inbound=session.publish_handler.inbound.pack(),
            outbound=session.delivery.outbound.pack(),
            last_request_id=session.last_request.request_id,
            receive_maximum=session.delivery.receive_maximum,
            reply_topic=session.last_request.reply_topic,
        )

    def apply_to(self, session: MqttSession) -> None:
        """Restores this state in a new session."""
        session.subscriptions.granted = self.subscriptions
        session.publish_handler.inbound.unpack(self.inbound)
        session.delivery.outbound.unpack(self.outbound)
        session.delivery.receive_maximum = self.receive_maximum
        session.last_request = LastRequest(self.last_request_id, self.reply_topic, None, self.answer)

    def to_message(self, connection: MqttConnectionState | None) -> dict[str, Any]:
        """Returns the state under the keys of the handover channel."""
        message: dict[str, Any] = {
            "kind": KIND,
            "session": self.resumable.to_message(),
            "subscriptions": self.subscriptions,
            "answer": self.answer.hex(),
            "inbound": self.inbound,
            "outbound": self.outbound,
            "last_ident": self.last_request_id,
            "most": self.receive_maximum,
            "asked": self.reply_topic,
            "north": connection is not None,
        }
        if connection is not None:
            message["link"] = connection.to_message()
        return message

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> MqttSessionState:
        """Parses the result of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        return cls(
            SessionSnapshot.from_message(message["session"]),
            {str(topic): int(qos) for topic, qos in message["subscriptions"].items()},
            bytes.fromhex(message["answer"]),
            message["inbound"],
            message["outbound"],
            int(message["last_ident"]),
            int(message["most"]),
            str(message["asked"]),
        )


def prepare_handover(session: MqttSession) -> SessionHandover | None:
    """Returns what the successor needs to continue a session; None if it cannot be handed over now.

    It cannot while its request is not established, reading its endpoint is paused, a packet from the client
    is incomplete, or a connection has buffered data.
    """
    connections = []
    connection_state = None
    if session.connection is not None:
        if session.connection.parser.pending or not session.connection.connection.is_quiescent:
            return None
        connection_state = session.connection.state()
        connections.append(session.connection.connection)
    message = MqttSessionState.of(session).to_message(connection_state)
    exchange, upstream = session.exchange, session.upstream
    if exchange is not None:
        if not exchange.established or exchange.reading_paused:
            return None
        if upstream is None or upstream.connection is None or not upstream.connection.is_quiescent:
            return None
        message |= session.coordinator.handover_state(exchange)
        message |= upstream.state().to_message()
        connections.append(upstream.connection)
    return SessionHandover(message, connections)
