"""The state that all policies share: settings, clock, random generator, endpoints and requests.

`Balancer` owns the one instance and hands it to each policy. It decides nothing.
"""

from __future__ import annotations

import random

from puffinpost.balancing.actions import Action
from puffinpost.balancing.draining import drain_window_ns
from puffinpost.balancing.load_accounting import LoadAccounting
from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.settings import EndpointId, RequestId, Settings
from puffinpost.balancing.tenant_quotas import TenantQuotas

FULL_LOAD = 0.9  # no connection is placed on an endpoint past this predicted load: it would serve none
FULL_LOAD_SHARED_GROUPS = 0.8  # ... where a group's work is done once per endpoint: there is no rebalancing
RECOVERY_TARGET_LOAD = (
    0.7  # load that an overloaded endpoint is brought down to, so that its backlog is worked off
)
RECOVERY_TARGET_LOAD_SHARED_GROUPS = (
    0.85  # ... where a group's work is done anew wherever a connection moves to
)
TICKS_PER_OBJECTIVE = 20  # ticks in the shortest latency objective: fine enough for no client to notice


class BalancerState:
    """State of one balancer. Times in ns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ns = 0
        self.actions: list[Action] = []  # of the event in hand, in order
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.list_version = 0
        self.banned: dict[EndpointId, int] = {}  # by operators, since when
        self.readmitted: list[EndpointId] = []  # no longer banned, and not used again yet
        self.requests: dict[RequestId, PendingRequest] = {}
        self.tenant_quotas = TenantQuotas()
        self.accounting = LoadAccounting(self.tenant_quotas)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Applies settings, at the start or later. A request keeps the class that it was received with."""
        self.settings = settings
        self.latency_objective_ns = min(item.latency_objective_ns for item in settings.classes)
        self.full_load = FULL_LOAD_SHARED_GROUPS if settings.groups_share_work else FULL_LOAD
        self.recovery_target_load = (
            RECOVERY_TARGET_LOAD_SHARED_GROUPS if settings.groups_share_work else RECOVERY_TARGET_LOAD
        )
        self.drain_window_ns = drain_window_ns([item.deadline_ns for item in settings.classes])
        self.message_latency_objective_ns = min(
            (
                item.message_latency_objective_ns
                for item in settings.classes
                if item.message_latency_objective_ns > 0
            ),
            default=0,
        )
        self.tick_ns = max(settings.processing_interval_ns, self.latency_objective_ns // TICKS_PER_OBJECTIVE)
        self.can_check_health = settings.health_checks_enabled and len(settings.load_report_fields) > 0

    def objectives_ns(self, count: float) -> int:
        """A multiple of the shortest latency objective, in ns."""
        return int(count * self.latency_objective_ns)

    def is_excluded(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint gets nothing new, by the endpoint list or by a ban."""
        return endpoint.is_down or endpoint.id in self.banned

    def is_over_quota(self, tenant: int) -> bool:
        """Whether a tenant has more connections than its quota."""
        return self.tenant_quotas.is_over_quota(tenant, self.settings.tenants, self.settings.balancer_count)

    def remove_request(self, request: PendingRequest) -> None:
        """An attempt or connection has ended. An endpoint that is not listed goes with its last request."""
        endpoint = self.accounting.remove(request)
        if endpoint is not None and not endpoint.is_listed and not endpoint.requests:
            self.endpoints.pop(endpoint.id, None)

    def update_load(self, request_id: RequestId, load: float) -> None:
        """A client reports the load of its open connection, in work a second."""
        request = self.requests.get(request_id)
        if request is not None:
            self.accounting.update(request, load)
