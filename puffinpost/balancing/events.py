"""The events that a balancer handles, one type each.

`Balancer.handle` takes one event at a time with the caller's clock. All times are integer nanoseconds of that
clock; names of durations end in ``_ns`` too. Loads are work per second, in nanoseconds of a standard core.
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
    """The source of an endpoint list, and whether it is a delta."""

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
    """An endpoint list was received, or polling for it failed."""

    kind: ListUpdateKind
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class EndpointBanChanged:
    """An operator banned an endpoint from new connections or, if ``banned`` is false, lifted the ban."""

    endpoint: EndpointId
    banned: bool
    since_ns: int


@dataclass(frozen=True, slots=True)
class LearnedEndpointState:
    """What a balancer has learned about one endpoint. Times in ns."""

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
    """What a balancer has learned, for its successor. Loads are work per second."""

    endpoints: tuple[LearnedEndpointState, ...] = ()
    hinted_load_sum: float = 0.0
    hinted_load_count: float = 0.0
    peer_multiplier: float = 1.0
    concurrency_limit: float = 1.0
    readmitted: tuple[EndpointId, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipedEndpoint:
    """What other balancers have learned about an endpoint.

    A ``connection_capacity`` of 0 means unknown; ``ejected_for_ns`` is how long most of them still eject it.
    """

    endpoint: EndpointId
    connection_capacity: float
    ejected_for_ns: int


@dataclass(frozen=True, slots=True)
class GossipState:
    """What other balancers have learned. ``tenant_usage``: their connections by tenant; empty if unknown."""

    endpoints: tuple[GossipedEndpoint, ...] = ()
    tenant_usage: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings take effect. A class that existed before keeps its index."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client requests a connection. ``load``: declared by the client; None if not declared."""

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
    """A connection that was open in the process that this balancer replaces was taken over."""

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
    """An attempt or its connection has ended. ``request_finished``: whether the request has ended too."""

    request: RequestId
    attempt: int
    endpoint: EndpointId
    result: AttemptResult
    request_finished: bool
    elapsed_ns: int
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; its request gets no final answer."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that this balancer started has expired."""

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
    """The current delay of messages at an endpoint, measured on one connection."""

    request: RequestId
    endpoint: EndpointId
    delay_ns: int


@dataclass(frozen=True, slots=True)
class ResponseOverdue:
    """A response on an open connection is overdue by ``overdue_ns``; responses are normally immediate."""

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
"""Events of requests and their attempts, and events that placements wait for."""

FleetEvent: TypeAlias = (
    EndpointListUpdate
    | EndpointBanChanged
    | SettingsChanged
    | LearnedState
    | GossipState
    | DelayReported
    | ResponseOverdue
)
"""Events of endpoints, other balancers and operators."""

Event: TypeAlias = RequestEvent | FleetEvent
