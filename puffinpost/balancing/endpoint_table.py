"""The table of endpoints: applies the endpoint list and operators' bans.

`Balancer` passes both kinds of events here. Connections are drained through `Migration`, and endpoint starts
are reported to `SlowStart`. This module never starts attempts.
"""

from __future__ import annotations

from puffinpost.balancing.events import (
    EndpointBanChanged,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListUpdateKind,
)
from puffinpost.balancing.migration import Migration
from puffinpost.balancing.model import EndpointState
from puffinpost.balancing.slow_start import SlowStart

BAN_DRAIN_OBJECTIVES = 3.0  # latency objectives within which a banned endpoint's connections are migrated
READMISSION_TOKENS = 1.0  # one connection immediately: nothing else shows that the endpoint is back


class EndpointTable:
    """The known endpoints, and which of them are excluded."""

    def __init__(self, slow_start: SlowStart, migration: Migration) -> None:
        self.state, self.slow_start, self.migration = slow_start.state, slow_start, migration

    def on_endpoint_list(self, event: EndpointListUpdate) -> None:
        """Applies a full endpoint list or a delta."""
        endpoints = self.state.endpoints
        if event.kind is not ListUpdateKind.DELTA:
            listed = {entry.endpoint for entry in event.entries}
            for endpoint in endpoints.values():
                if endpoint.id not in listed:
                    self._mark_down(endpoint)
        for entry in event.entries:
            self._apply_entry(entry)
        self.state.list_version += 1
        unused = [it.id for it in endpoints.values() if not it.is_listed and not it.requests]
        for endpoint_id in unused:
            del endpoints[endpoint_id]

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.state.endpoints.get(entry.endpoint)
        if endpoint is None:
            if entry.status is EndpointStatus.REMOVED:
                return
            endpoint = self.state.endpoints[entry.endpoint] = EndpointState(entry)
        if entry.status is EndpointStatus.READY:
            self._mark_ready(endpoint, entry)
            return
        if not endpoint.is_down:
            self.migration.drain_within(endpoint, self.state.drain_window_ns)
        self._mark_down(endpoint)
        endpoint.is_listed = entry.status is EndpointStatus.DRAINING

    def _mark_down(self, endpoint: EndpointState) -> None:
        endpoint.is_down = True
        endpoint.is_listed = False

    def _mark_ready(self, endpoint: EndpointState, entry: EndpointEntry) -> None:
        endpoint.apply_entry(entry)
        endpoint.is_down = False
        endpoint.is_listed = True
        if entry.started_ns != endpoint.started_ns:
            endpoint.started_ns = entry.started_ns
            if entry.started_ns:
                self.slow_start.on_endpoint_started(endpoint, entry.started_ns, self.state.random.random())

    def on_ban_changed(self, event: EndpointBanChanged) -> bool:
        """Bans an endpoint whatever its listed status, or lifts the ban. Returns whether it is readmitted."""
        if event.banned:
            self._ban(event)
            return False
        return self._lift_ban(event)

    def _ban(self, event: EndpointBanChanged) -> None:
        state = self.state
        endpoint = state.endpoints.get(event.endpoint)
        if endpoint is not None and event.endpoint not in state.banned:
            self.migration.drain_within(endpoint, state.objectives_ns(BAN_DRAIN_OBJECTIVES))
        state.banned.setdefault(event.endpoint, event.since_ns)
        if event.endpoint in state.readmitted:
            state.readmitted.remove(event.endpoint)

    def _lift_ban(self, event: EndpointBanChanged) -> bool:
        """Lifts a ban; the endpoint warms up, because operators restart the endpoints that they ban.

        The warm-up starts now, or at the listed start of the endpoint if that is after the ban. The endpoint
        is preferred for the next connection, because nothing else shows that it is back.
        """
        state = self.state
        endpoint = state.endpoints.get(event.endpoint)
        banned_since_ns = state.banned.pop(event.endpoint, None)
        if banned_since_ns is None or endpoint is None:
            return False
        has_restarted_since_ban = endpoint.started_ns > banned_since_ns
        warming_since_ns = endpoint.started_ns if has_restarted_since_ban else state.now_ns
        self.slow_start.on_endpoint_started(endpoint, warming_since_ns, READMISSION_TOKENS)
        state.readmitted.append(event.endpoint)
        return True

    def excluded_count(self) -> int:
        """The number of listed endpoints that currently get no new requests."""
        state = self.state
        return sum(
            endpoint.is_listed and (state.is_excluded(endpoint) or endpoint.ejected_until_ns > state.now_ns)
            for endpoint in state.endpoints.values()
        )
