"""The actions that a balancer returns for its caller to carry out, one type each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from puffinpost.balancing.settings import EndpointId, RequestId


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start the request's next attempt."""

    request: RequestId
    endpoint: EndpointId
    timeout_ns: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; a retry is safe, at any time if ``retry_after_ns`` is 0."""

    request: RequestId
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have had an effect."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Start a timer that delivers a `TimerFired` event with this token."""

    after_ns: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Check an endpoint's health and fetch its load report."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Migrate:
    """Close a client's open connection gracefully; the client reconnects."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll discovery for the endpoint list and watch it for changes."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a line to the operators' log."""

    text: str


Action: TypeAlias = (
    StartAttempt
    | Reject
    | Fail
    | CancelAttempt
    | StartTimer
    | CheckHealth
    | Migrate
    | PollEndpointList
    | WriteLog
)
