"""The state of one endpoint and of one request, which the policies in this package modify."""

from __future__ import annotations

from typing import NamedTuple

from puffinpost.balancing.events import EndpointEntry, RequestReceived
from puffinpost.balancing.latency_tracker import LatencyTracker
from puffinpost.balancing.settings import DeduplicationScope, EndpointId, Idempotency, RequestClass, RequestId
from puffinpost.balancing.stall_detector import StallDetector

UINT64_MASK = 0xFFFFFFFFFFFFFFFF


def hash64(value: int) -> int:
    """A 64-bit hash of an id or key, identical on every balancer."""
    value = (value * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & UINT64_MASK
    value = ((value ^ value >> 31) * 0xBF58476D1CE4E5B9) & UINT64_MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & UINT64_MASK
    return value ^ value >> 31


class Placement(NamedTuple):
    """The time of an attempt at an endpoint, and the load that it was predicted to add."""

    placed_ns: int
    load: float


class EndpointState:
    """What this balancer knows about one endpoint. Times in ns; a reported load is load over capacity."""

    __slots__ = (
        "admission_tokens",
        "cell",
        "connection_capacity",
        "consecutive_failures",
        "drain_by_ns",
        "ejected_until_ns",
        "endpoint_type",
        "group_connections",
        "health_check_pending",
        "health_checked_ns",
        "id",
        "id_hash",
        "is_down",
        "is_listed",
        "latency",
        "load_reported_ns",
        "local_load",
        "next_rebalance_ns",
        "placements",
        "rebalance_settles_ns",
        "rebalanced_load",
        "reported_connections",
        "reported_load",
        "requests",
        "rounding_draw",
        "stall",
        "started_ns",
        "tokens_updated_ns",
        "waiting_requests",
        "warming_since_ns",
        "weight",
        "zone",
    )

    def __init__(self, entry: EndpointEntry) -> None:
        self.id = entry.endpoint
        self.id_hash = hash64(entry.endpoint)
        self.started_ns = 0  # from the endpoint list
        self.apply_entry(entry)
        self.warming_since_ns = 0  # 0: not warming up
        self.is_listed = True
        self.is_down = False  # draining, or no longer on the endpoint list
        self.reported_load: float | None = None  # load over capacity
        self.load_reported_ns = 0
        self.reported_connections = 0.0
        self.connection_capacity = 0.0  # connections at full load, learned from reports; 0: unknown
        self.latency = LatencyTracker()
        self.stall = StallDetector()
        # Random number in 0 to 1, drawn at each report; rounds this balancer's share of spare capacity.
        self.rounding_draw = 0.5
        self.drain_by_ns = 0  # deadline for migrating its connections while it is draining or banned
        self.next_rebalance_ns = 0  # no rebalancing before this time
        # No rebalancing before this time either, while the load is about as high as `rebalanced_load`.
        self.rebalance_settles_ns = 0
        self.rebalanced_load = 0.0  # reported load at the last rebalancing
        self.placements: list[Placement] = []  # not covered by its last report
        self.waiting_requests: list[PendingRequest] = []  # queued until its health check completes
        self.requests: dict[RequestId, PendingRequest] = {}  # attempts in flight and open connections
        self.local_load = 0.0  # estimated load of `requests`
        self.group_connections: dict[int, int] = {}
        self.consecutive_failures = 0
        self.ejected_until_ns = 0
        self.health_check_pending = False
        self.health_checked_ns = -1  # -1: never
        self.admission_tokens = 0.0
        self.tokens_updated_ns = 0

    def apply_entry(self, entry: EndpointEntry) -> None:
        """Copies zone, endpoint type, cell and weight from an entry of the endpoint list."""
        self.zone = entry.zone
        self.endpoint_type = entry.endpoint_type
        self.cell = entry.cell
        self.weight = entry.weight

    def established_requests(self) -> list[PendingRequest]:
        """The open connections that are not being migrated and whose clients are still connected."""
        return [
            request
            for request in self.requests.values()
            if request.is_established and not request.is_finished
        ]


class PendingRequest:
    """One request, from its arrival to the end of its last attempt or connection. Times in ns."""

    __slots__ = (
        "attempted_endpoints",
        "attempts",
        "backoff_count",
        "backoff_until_ns",
        "candidates_checked",
        "deadline_ns",
        "endpoint",
        "endpoint_order_version",
        "estimated_load",
        "first_uncertain_attempt_ns",
        "first_uncertain_endpoint",
        "group",
        "hinted_load",
        "is_established",
        "is_finished",
        "is_in_flight",
        "key",
        "pending_health_checks",
        "placed_ns",
        "rejected_samples",
        "remote_endpoints",
        "request_class",
        "request_id",
        "tenant",
        "zone_endpoints",
    )

    def __init__(self, event: RequestReceived, request_class: RequestClass) -> None:
        self.request_id = event.request
        self.request_class = request_class
        self.deadline_ns = event.deadline_ns
        self.tenant = event.tenant
        self.key = event.key
        self.group = event.group
        self.hinted_load = float(event.load) if event.load else None  # declared by the client
        self.estimated_load = 0.0  # accounted for at its endpoint
        self.zone_endpoints: list[EndpointState] = []  # in this zone, in the order drawn for this request
        self.remote_endpoints: list[EndpointState] = []  # in other zones, in the same order
        self.endpoint_order_version = -1  # version of the endpoint list that the order was drawn from
        self.backoff_count = 0
        self.rejected_samples = 0  # samples of candidates without capacity
        self.candidates_checked = False
        self.pending_health_checks = 0  # health checks of candidates that the placement waits for
        self.backoff_until_ns = 0
        self.attempts = 0
        self.is_in_flight = False  # an attempt is in flight, or the connection is open
        self.is_established = False
        self.is_finished = False  # answered, being migrated, or the client disconnected
        self.endpoint: EndpointState | None = None
        self.placed_ns = 0
        self.attempted_endpoints: list[EndpointId] = []
        # The endpoint and start of the first attempt that may have had an effect.
        self.first_uncertain_endpoint: EndpointState | None = None
        self.first_uncertain_attempt_ns = 0

    def is_safe_to_retry(self) -> bool:
        """Whether the client can safely retry the request through any balancer."""
        request_class = self.request_class
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if self.is_in_flight:
            return False
        if self.first_uncertain_endpoint is None:
            return True
        return (
            request_class.idempotency is Idempotency.KEYED
            and request_class.deduplication_scope is DeduplicationScope.ALL
        )
