"""The state of one client request: its parameters, its current attempt, and how it was completed.

The coordinator owns every exchange; frontends hold a reference to read it and never change it. An exchange
lives from the arrival of its request until the final answer is given and its last attempt is closed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from puffinpost.balancing.events import AttemptResult, RequestReceived
from puffinpost.balancing.settings import EndpointId, Idempotency, RequestClass
from puffinpost.proxy.figures import FinalAnswer
from puffinpost.units import MS

# A client's timeout starts when it sends its opening line, and the final answer takes time to arrive.
CLIENT_MARGIN_NS = 10 * MS

MAX_UNANSWERED_LINES = 64  # lines per exchange whose send time is kept; the oldest are dropped

UNKNOWN_ADDRESS = ("0.0.0.0", 0)


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """What a client requests, independent of its protocol."""

    request_class: int
    client_timeout_ns: int
    key: int = 0
    group: int = 0
    load: int | None = None
    is_retry: bool = False
    is_returning: bool = False
    client_address: tuple[str, int] = UNKNOWN_ADDRESS  # for flow records
    request_id: int | None = None  # assigned by the client, if its protocol has request ids
    tenant: int = 0  # index into the settings' tenants; one past the last: unknown


class Attempt:
    """One connection to one endpoint on behalf of an exchange."""

    __slots__ = (
        "address",
        "completed",
        "deadline_ns",
        "endpoint",
        "exchange",
        "listed_address",
        "number",
        "started_ns",
        "timer",
        "written",
    )

    def __init__(
        self,
        exchange: Exchange,
        number: int,
        endpoint: EndpointId,
        address: tuple[str, int],
        started_ns: int,
        deadline_ns: int,
    ) -> None:
        self.exchange = exchange
        self.number = number
        self.endpoint = endpoint
        self.address = address  # where to connect; a frontend may change it
        self.listed_address = address  # in the endpoint list when the attempt was started
        self.started_ns = started_ns
        self.deadline_ns = deadline_ns
        self.written = False  # the request is written in full: it may have run
        self.completed = False
        self.timer: Any = None


class ExchangeState(Enum):
    """The stages in the life cycle of an exchange."""

    PENDING = auto()  # no final answer yet; attempts may be started
    ESTABLISHED = auto()  # an endpoint accepted it; lines are forwarded both ways
    ANSWERED = auto()  # completed without a connection: rejected, failed, or the client disconnected
    CLOSED = auto()  # the established connection ended, or another process has taken it over


STATE_TRANSITIONS = {
    ExchangeState.PENDING: frozenset({ExchangeState.ESTABLISHED, ExchangeState.ANSWERED}),
    ExchangeState.ESTABLISHED: frozenset({ExchangeState.CLOSED}),
    ExchangeState.ANSWERED: frozenset[ExchangeState](),
    ExchangeState.CLOSED: frozenset[ExchangeState](),
}


class Exchange:
    """One request, from its arrival until it is completed and its last attempt is closed."""

    __slots__ = (
        "adopted",
        "attempt",
        "attempts_started",
        "bytes_from_client",
        "bytes_from_endpoint",
        "client",
        "deadline_ns",
        "deadline_timer",
        "endpoint_address",
        "established_ns",
        "first_uncertain_attempt_ns",
        "number",
        "reading_paused",
        "received_ns",
        "reported_overdue_ns",
        "request",
        "request_class",
        "state",
        "unanswered_sent_ns",
    )

    def __init__(
        self,
        number: int,
        request: SessionRequest,
        request_class: RequestClass,
        client: DownstreamClient,
        received_ns: int,
    ) -> None:
        self.number = number
        self.request_class = request_class  # as configured when the request arrived
        self.request = request
        self.client = client
        self.received_ns = received_ns
        self.deadline_ns = received_ns + max(0, request.client_timeout_ns - CLIENT_MARGIN_NS)
        self.deadline_timer: Any = None
        self.state = ExchangeState.PENDING
        self.established_ns = 0
        self.adopted = False  # its connection was established before this process started
        self.attempt: Attempt | None = None
        self.attempts_started = 0
        self.first_uncertain_attempt_ns: int | None = None  # start of the first attempt that may have run
        self.endpoint_address = UNKNOWN_ADDRESS  # of the last attempt
        self.bytes_from_client = 0  # forwarded
        self.bytes_from_endpoint = 0  # forwarded
        self.reading_paused = False  # the endpoint is not read, because the client does not read
        self.reported_overdue_ns = 0  # send time of the line that was last reported as overdue
        self.unanswered_sent_ns: deque[int] = deque(maxlen=MAX_UNANSWERED_LINES)  # lines without an echo yet

    @property
    def established(self) -> bool:
        """Whether an endpoint has accepted it; stays true after the connection is closed."""
        return self.state is ExchangeState.ESTABLISHED or self.state is ExchangeState.CLOSED

    @property
    def answered(self) -> bool:
        """Whether it is completed: the final answer is given, or none is expected any more."""
        return self.state is ExchangeState.ANSWERED or self.state is ExchangeState.CLOSED

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once without harm."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT

    def transition(self, state: ExchangeState) -> None:
        """Enters a state. The caller has checked that ``STATE_TRANSITIONS`` allows it."""
        assert state in STATE_TRANSITIONS[self.state], f"{self.state} -> {state}"
        self.state = state

    def complete(self) -> None:
        """Enters the final state that follows the current one."""
        self.transition(ExchangeState.CLOSED if self.established else ExchangeState.ANSWERED)

    def received_event(self) -> RequestReceived:
        """The request as an event for the balancer."""
        request = self.request
        return RequestReceived(
            request=self.number,
            request_class=request.request_class,
            deadline_ns=self.deadline_ns,
            tenant=request.tenant,
            key=request.key,
            group=request.group,
            load=request.load,
            is_retry=request.is_retry,
            is_mid_flow=False,
            is_returning=request.is_returning,
        )

    def can_retry(self, now_ns: int) -> bool:
        """Whether another attempt may run.

        A keyed request may be repeated within its window, which starts with the first attempt that may have
        run; a request that is not idempotent may not be repeated once an attempt may have run.
        """
        if self.first_uncertain_attempt_ns is None or self.is_idempotent:
            return True
        return (
            self.request_class.idempotency is Idempotency.KEYED
            and now_ns - self.first_uncertain_attempt_ns < self.request_class.idempotency_window_ns
        )


@dataclass(frozen=True, slots=True)
class ExchangeCompleted:
    """How an exchange was completed, for statistics and flow records."""

    exchange: Exchange
    answer: FinalAnswer
    result: AttemptResult | None
    completed_ns: int


class DownstreamClient(Protocol):
    """The client's side of one exchange, and the upstream protocol of its attempts."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts an attempt. It ends with ``Coordinator.attempt_ended``, never before this returns."""

    def abort_attempt(self, attempt: Attempt) -> None:
        """Closes an attempt's socket at once. The coordinator records the attempt's end itself."""

    def reject(self, retry_after_ns: int) -> None:
        """Sends the final answer: rejected, retry after ``retry_after_ns``."""

    def fail(self, timed_out: bool) -> None:
        """Sends the final answer: failed. ``timed_out``: because the deadline has passed."""

    def migrate(self) -> None:
        """Asks the client to open its session again, on a new connection where its protocol requires one."""
