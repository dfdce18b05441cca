"""The messages that two processes of one node exchange during a hot restart, and their encoding.

Both sides of the handover use it; it does no I/O. The process at the other end may be of an earlier or later
version, so keys on the channel stay when an attribute is renamed; only this module maps them to attributes.

The order is: ``Capabilities`` and ``Ready`` from the successor; ``EndpointListTold`` and ``Takeover`` from
the predecessor; ``Serving`` from the successor; then sessions, each answered by ``SessionReceived``. One
of an earlier version sends neither ``Capabilities``, ``Serving`` nor ``SessionReceived``, and ignores them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec

from puffinpost.balancing.events import LearnedEndpointState, LearnedState
from puffinpost.net.handover_channel import HandoverMessage
from puffinpost.net.handover_framing import HandoverFormatError

KIND_KEY = "do"
NUMBER_KEY = "seq"  # of a session that has to be answered
ACKNOWLEDGING = 2  # the form from which on messages may be fragmented and sessions are acknowledged

# By key on the channel, the name of the field.
_ENDPOINT_KEYS = {
    "server": "endpoint",
    "load": "load",
    "load_ns": "load_ns",
    "held": "reported_connections",
    "fills": "connection_capacity",
    "faults": "consecutive_failures",
    "aside_until": "ejected_until_ns",
    "started_ns": "started_ns",
    "cold_ns": "warming_since_ns",
    "budget": "admission_tokens",
    "budget_ns": "tokens_updated_ns",
    "probed_ns": "health_checked_ns",
}
_LEARNED_STATE_KEYS = {
    "told_load": "hinted_load_sum",
    "told_count": "hinted_load_count",
    "spread": "peer_multiplier",
    "window": "concurrency_limit",
    "called": "readmitted",
}


class Capabilities(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="forms"):
    """Sent by the successor before ``Ready``: the latest form of the handover that it knows."""

    highest: int


class EndpointListTold(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="list"):
    """Sent by the predecessor: its endpoint list, before the takeover and after each change.

    ``answer`` has the form of discovery's answers. ``is_current``: discovery itself has told it.
    """

    answer: dict[str, Any]
    is_current: bool


class Serving(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="serving"):
    """Sent by the successor: it listens with the sockets that were handed over, and can receive sessions."""


class SessionReceived(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="received"):
    """Sent by the successor: it owns a session from now on, or has closed its copies of the sockets."""

    number: int = msgspec.field(name=NUMBER_KEY)
    adopted: bool


class Ready(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="ready"):
    """Sent by the successor: it can serve, and requests the takeover."""


class Takeover(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="yours"):
    """Sent by the predecessor in answer to ``Ready``; its listening sockets are sent along in order."""

    process_id: int = msgspec.field(name="process")
    active_request_ids: list[int] = msgspec.field(name="idents")
    learned_state: dict[str, Any] = msgspec.field(name="memory")
    descriptors_used: int = msgspec.field(name="taken")
    listening_addresses: list[tuple[str, int]] = msgspec.field(name="listening")


class RequestIdReleased(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="free"):
    """Sent by the predecessor: it has no active request with that id any more."""

    request_id: int = msgspec.field(name="ident")


class DescriptorsUsed(msgspec.Struct, frozen=True, tag_field=KIND_KEY, tag="taken"):
    """Sent by the predecessor: how many descriptors its client connections use now."""

    count: int = msgspec.field(name="taken")


@dataclass(frozen=True, slots=True)
class EstablishedSessionHandover:
    """Sent by the predecessor: an established session, with the sockets of its client and endpoint.

    It is of the platform's line protocol. ``state`` is written by the coordinator and the platform frontend,
    and read by their counterparts.
    """

    KIND: ClassVar[str] = "session"
    state: dict[str, Any]

    @property
    def number(self) -> int | None:
        """The number to answer with; None if no answer is expected."""
        return self.state.get(NUMBER_KEY)

    @property
    def protocol(self) -> str:
        """The name of the frontend that wrote it."""
        return "platform"

    @property
    def request_class(self) -> str:
        """The name of the request's class."""
        return str(self.state["class"])

    @property
    def client_address(self) -> tuple[str, int]:
        """The client's host and port."""
        host, port = self.state["source"]
        return str(host), int(port)


@dataclass(frozen=True, slots=True)
class ResumableSessionHandover:
    """Sent by the predecessor: a session that outlives its connections, with the sockets of the open ones.

    ``state`` is written by the session's frontend, and read by its counterpart.
    """

    KIND: ClassVar[str] = "device"
    state: dict[str, Any]

    @property
    def number(self) -> int | None:
        """The number to answer with; None if no answer is expected."""
        return self.state.get(NUMBER_KEY)

    @property
    def protocol(self) -> str:
        """The name of the frontend that wrote it: ``xmpp`` or ``mqtt``."""
        return "xmpp" if self.state.get("kind") == "xmpp" else "mqtt"

    @property
    def request_class(self) -> str:
        """The name of the request's class; present only if an endpoint is connected."""
        return str(self.state["class"])

    @property
    def has_client_connection(self) -> bool:
        """Whether the first socket is the client's."""
        return bool(self.state["north"])


SessionMessage = EstablishedSessionHandover | ResumableSessionHandover
Message = (
    Capabilities
    | EndpointListTold
    | Serving
    | SessionReceived
    | Ready
    | Takeover
    | RequestIdReleased
    | DescriptorsUsed
    | EstablishedSessionHandover
    | ResumableSessionHandover
)

_STRUCTS = {
    "forms": Capabilities,
    "list": EndpointListTold,
    "serving": Serving,
    "received": SessionReceived,
    "ready": Ready,
    "yours": Takeover,
    "free": RequestIdReleased,
    "taken": DescriptorsUsed,
}


def encode(message: Message) -> HandoverMessage:
    """Converts a message to a map for the channel."""
    if isinstance(message, EstablishedSessionHandover | ResumableSessionHandover):
        return {KIND_KEY: message.KIND, **message.state}
    encoded: HandoverMessage = msgspec.to_builtins(message)
    return encoded


def encode_numbered(message: SessionMessage, number: int) -> HandoverMessage:
    """Converts a session to a map for the channel that has to be answered with ``SessionReceived``."""
    return {**encode(message), NUMBER_KEY: number}


def decode(data: HandoverMessage) -> Message | None:
    """Converts a map to its message; returns None for a kind that this version does not know.

    Raises ``HandoverFormatError`` if the kind or a field is missing or invalid. A session's state is read
    by its frontend.
    """
    kind = data.get(KIND_KEY)
    if not isinstance(kind, str):
        raise HandoverFormatError(f"a message without a kind: {list(data)}")
    if kind == EstablishedSessionHandover.KIND:
        return EstablishedSessionHandover(data)
    if kind == ResumableSessionHandover.KIND:
        return ResumableSessionHandover(data)
    struct = _STRUCTS.get(kind)
    try:
        return msgspec.convert(data, struct) if struct is not None else None
    except msgspec.ValidationError as problem:
        raise HandoverFormatError(f"{kind}: {problem}") from None


def encode_learned_state(learned: LearnedState) -> dict[str, Any]:
    """Converts what a balancer has learned to a map for the channel."""
    endpoints = [
        {key: getattr(endpoint, field) for key, field in _ENDPOINT_KEYS.items()}
        for endpoint in learned.endpoints
    ]
    rest = {key: getattr(learned, field) for key, field in _LEARNED_STATE_KEYS.items()}
    return {"servers": endpoints, **rest}


def decode_learned_state(data: dict[str, Any]) -> LearnedState:
    """The inverse of ``encode_learned_state``. Raises ``KeyError`` or ``TypeError`` for an invalid map."""
    endpoints = tuple(
        LearnedEndpointState(**{_ENDPOINT_KEYS[key]: value for key, value in endpoint.items()})
        for endpoint in data["servers"]
    )
    rest = {field: data[key] for key, field in _LEARNED_STATE_KEYS.items()}
    rest["readmitted"] = tuple(rest["readmitted"])
    return LearnedState(endpoints=endpoints, **rest)
