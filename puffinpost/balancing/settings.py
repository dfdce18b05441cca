"""The settings of a balancer, and the identifiers that events and actions share.

Times are integer nanoseconds. Loads are work per second, in nanoseconds of a standard core. The adapters
(`simulator.settings_text`, `config.node`) create them from the platform's settings; no other module knows the
platform's keys.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from puffinpost.errors import PuffinpostError

EndpointId: TypeAlias = int
RequestId: TypeAlias = int

NON_NEGATIVE_FIELDS = (
    "poll_within_ns",
    "drain_grace_ns",
    "warmup_duration_ns",
    "warmup_window_ns",
    "answer_slack_ns",
    "max_retry_after_ns",
    "dial_timeout_ns",
    "park_ns",
    "balancer_index",
    "zone",
    "endpoint_type_count",
    "zone_count",
)
COST_FIELDS = ("migration_cost", "health_check_cost", "zone_crossing_cost", "wasted_work_cost")


class InvalidSettingsError(PuffinpostError, ValueError):
    """A setting is missing, unreadable or out of range. ``key``: its path or its field in `Settings`."""

    def __init__(self, key: str, message: str) -> None:
        super().__init__(message)
        self.key = key


class Idempotency(Enum):
    """Whether a request of a class may be executed more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The set of endpoints among which a keyed request is deduplicated."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. Times in ns; a message latency objective of 0 means none."""

    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    idempotency_window_ns: int = 0
    streaming: bool = True
    message_latency_objective_ns: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quotas across all balancers; a quota of 0 means no limit."""

    quota_share: float
    quota_connections: float = 0.0
    quota_per_s: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one balancer. Raises ``InvalidSettingsError`` with the field that is out of range."""

    balancer_index: int
    balancer_count: int
    zone: int
    zone_count: int
    endpoint_type_count: int
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    endpoint_list_is_polled: bool = False
    poll_within_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    warmup_initial_capacity: float = 1.0
    warmup_duration_ns: int = 0
    warmup_load_multiple: float = 1.0
    warmup_window_ns: int = 0
    answer_slack_ns: int = 0
    processing_interval_ns: int = 1_000_000
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    sends_retry_after: bool = True
    dial_timeout_ns: int = 250_000_000
    health_checks_enabled: bool = False
    cancellation_enabled: bool = False
    load_report_fields: tuple[str, ...] = ()
    endpoints_are_weighted: bool = False
    warms_up_by_work: bool = False
    groups_share_work: bool = False
    is_pass_through: bool = False
    park_ns: int = 0
    migration_cost: float = 0.0
    health_check_cost: float = 0.0
    zone_crossing_cost: float = 0.0
    wasted_work_cost: float = 0.0

    def __post_init__(self) -> None:
        self._check_classes()
        self._check_fields()
        self._check_tenants()

    def _check_classes(self) -> None:
        self._require(len(self.classes) > 0, "classes")
        for number, item in enumerate(self.classes):
            if (
                item.latency_objective_ns <= 0
                or item.deadline_ns <= 0
                or item.idempotency_window_ns < 0
                or item.message_latency_objective_ns < 0
            ):
                raise InvalidSettingsError(
                    f"classes[{number}]",
                    f"settings: classes[{number}] has a time that cannot be right: {item!r}",
                )
            if not item.priority_weight >= 0 or math.isinf(item.priority_weight):
                raise InvalidSettingsError(
                    f"classes[{number}].priority_weight",
                    f"settings: classes[{number}].priority_weight = {item.priority_weight!r} cannot be right",
                )

    def _check_fields(self) -> None:
        for field in NON_NEGATIVE_FIELDS:
            self._require(getattr(self, field) >= 0, field)
        for field in COST_FIELDS:
            self._require(0 <= getattr(self, field) < math.inf, field)
        self._require(0 <= self.over_quota_weight <= 1, "over_quota_weight")
        self._require(self.balancer_count >= 1, "balancer_count")
        self._require(self.processing_interval_ns > 0, "processing_interval_ns")
        self._require(self.max_attempts >= 1, "max_attempts")
        self._require(0 < self.warmup_initial_capacity <= 1, "warmup_initial_capacity")
        self._require(0 < self.warmup_load_multiple < math.inf, "warmup_load_multiple")

    def _check_tenants(self) -> None:
        for number, tenant in enumerate(self.tenants):
            if not (tenant.quota_share >= 0 and tenant.quota_connections >= 0 and tenant.quota_per_s >= 0):
                raise InvalidSettingsError(
                    f"tenants[{number}]", f"settings: tenants[{number}] cannot be right: {tenant!r}"
                )

    def _require(self, is_valid: bool, field: str) -> None:
        if not is_valid:
            value = getattr(self, field, None)
            raise InvalidSettingsError(field, f"settings: {field} = {value!r} cannot be right")
