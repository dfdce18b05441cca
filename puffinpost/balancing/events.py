"""The events that a balancer handles, one type each.

`Balancer.handle` takes one event at a time with the caller's clock. All times are integer nanoseconds of that
clock; a span is named ``..._ns`` too. Loads are work per second, in nanoseconds of a standard core.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from puffinpost.balancing.settings import EndpointId, RequestId, Settings


class EndpointStatus(IntEnum):
    """An endpoint's status on the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class ListUpdateKind(IntEnum):
    """Where an endpoint list came from, and whether it is a delta."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class AttemptResult(IntEnum):
    """How an attempt or a health check ended."""

    ERROR = 0
    SERVED = 1
    REJECTED = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    SUPERSEDED = 7


NO_EFFECT_RESULTS = frozenset(
    {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.SUPERSEDED}
)
"""Results which prove that the attempt had no effect."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    endpoint: EndpointId
    zone: int
    endpoint_type: int
    cell: int
    status: EndpointStatus
    weight: float
    started_ns: int  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list was received, or a poll for it failed."""

    kind: ListUpdateKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointBanChanged:
    """Operators ban an endpoint from new connections, or (``banned`` is false) lift the ban."""

    endpoint: EndpointId
    banned: bool
    since_ns: int


@dataclass(frozen=True, slots=True)
class LearnedEndpointState:
    """What a balancer has learned of one endpoint. Times in ns."""

    endpoint: EndpointId
    load: float | None
    load_ns: int
    reported_connections: float
    connection_capacity: float
    consecutive_failures: int
    ejected_until_ns: int
    started_ns: int
    warming_since_ns: int
    admission_tokens: float
    tokens_updated_ns: int
    health_checked_ns: int


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a balancer has learned, for the one that replaces it. Loads are work a second."""

    endpoints: tuple[LearnedEndpointState, ...] = ()
    hinted_load_sum: float = 0.0
    hinted_load_count: float = 0.0
    peer_multiplier: float = 1.0
    concurrency_limit: float = 1.0
    readmitted: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipedEndpoint:
    """What other balancers learned of an endpoint.

    A ``connection_capacity`` of 0: not known; ``ejected_for_ns``: how long most of them still eject it.
    """

    endpoint: EndpointId
    connection_capacity: float
    ejected_for_ns: int


@dataclass(frozen=True, slots=True)
class GossipState:
    """What other balancers learned. ``tenant_usage``: their connections by tenant; empty: not known."""

    endpoints: tuple[GossipedEndpoint, ...] = ()
    tenant_usage: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply. A class that existed before keeps its index."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client requests a connection. ``load``: as declared by the client; None: not declared."""

    request: RequestId
    request_class: int
    deadline_ns: int
    tenant: int = 0
    key: int = 0
    group: int = 0
    load: int | None = None
    is_retry: bool = False
    is_mid_flow: bool = False
    is_returning: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionAdopted:
    """A connection was open in the process that this balancer replaces."""

    request: RequestReceived
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class AttemptEstablished:
    """An attempt's connection is established."""

    request: RequestId
    attempt: int
    endpoint: EndpointId
    elapsed_ns: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt or its connection has ended. ``request_finished``: so has the request."""

    request: RequestId
    attempt: int
    endpoint: EndpointId
    result: AttemptResult
    request_finished: bool
    elapsed_ns: int
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; its request gets no answer any more."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that this balancer started is due."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check ended, with an answer or without."""

    endpoint: EndpointId
    result: AttemptResult
    elapsed_ns: int
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadReported:
    """The load of an open connection has changed."""

    request: RequestId
    load: int


@dataclass(frozen=True, slots=True)
class DelayReported:
    """Messages at an endpoint take this long now, as measured on one connection."""

    request: RequestId
    endpoint: EndpointId
    delay_ns: int


@dataclass(frozen=True, slots=True)
class ResponseOverdue:
    """A response is overdue by this on an open connection. Responses are immediate otherwise."""

    request: RequestId
    endpoint: EndpointId
    overdue_ns: int


RequestEvent: TypeAlias = (
    RequestReceived
    | ConnectionAdopted
    | AttemptEstablished
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckCompleted
    | LoadReported
)
"""The events of requests and their attempts, and those that placements wait for."""

FleetEvent: TypeAlias = (
    EndpointListUpdate
    | EndpointBanChanged
    | SettingsChanged
    | LearnedState
    | GossipState
    | DelayReported
    | ResponseOverdue
)
"""The events of the endpoints, the other balancers and the operators."""

Event: TypeAlias = RequestEvent | FleetEvent
