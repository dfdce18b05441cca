"""The state that all policies share: settings, clock, random number generator, endpoints and requests.

`Balancer` owns the only instance and passes it to each policy. This module makes no decisions.
"""

from __future__ import annotations

import random

from puffinpost.balancing.actions import Action
from puffinpost.balancing.draining import drain_window_ns
from puffinpost.balancing.load_accounting import LoadAccounting
from puffinpost.balancing.model import EndpointState, PendingRequest
from puffinpost.balancing.settings import EndpointId, RequestId, Settings
from puffinpost.balancing.tenant_quotas import TenantQuotas

# No connection is placed on an endpoint above this predicted load, because the endpoint could not serve it.
FULL_LOAD = 0.9
# The same where a group's work is done once per endpoint; lower, because there is no rebalancing.
FULL_LOAD_SHARED_GROUPS = 0.8
# An overloaded endpoint is brought down to this load, so that it can work off its backlog.
RECOVERY_TARGET_LOAD = 0.7
# The same where a group's work is repeated at each endpoint that its connections are migrated to.
RECOVERY_TARGET_LOAD_SHARED_GROUPS = 0.85
TICKS_PER_OBJECTIVE = 20  # ticks per shortest latency objective: fine enough for clients not to notice


class BalancerState:
    """State of one balancer. Times in ns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ns = 0
        self.actions: list[Action] = []  # for the event being handled, in order
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.list_version = 0
        self.banned: dict[EndpointId, int] = {}  # endpoints banned by operators, with the start of the ban
        self.readmitted: list[EndpointId] = []  # no longer banned, but without an established attempt since
        self.requests: dict[RequestId, PendingRequest] = {}
        self.tenant_quotas = TenantQuotas()
        self.accounting = LoadAccounting(self.tenant_quotas)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Applies settings, at startup or later. A request keeps the class that it was received with."""
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
        """Whether an endpoint gets no new requests because of the endpoint list or a ban."""
        return endpoint.is_down or endpoint.id in self.banned

    def is_over_quota(self, tenant: int) -> bool:
        """Whether a tenant has more connections than its quota."""
        return self.tenant_quotas.is_over_quota(tenant, self.settings.tenants, self.settings.balancer_count)

    def remove_request(self, request: PendingRequest) -> None:
        """Removes an attempt or connection that has ended; an unlisted endpoint goes with its last one."""
        endpoint = self.accounting.remove(request)
        if endpoint is not None and not endpoint.is_listed and not endpoint.requests:
            self.endpoints.pop(endpoint.id, None)

    def update_load(self, request_id: RequestId, load: float) -> None:
        """Records the load that a client reports for its open connection, in work per second."""
        request = self.requests.get(request_id)
        if request is not None:
            self.accounting.update(request, load)
