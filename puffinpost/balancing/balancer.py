"""The balancer: passes each event to the policies that it concerns and returns their actions.

`events`, `actions` and `settings` define all input and output types. Decisions are deterministic: the time is
passed to `handle`, random numbers come from a seeded generator, and nothing depends on hash order, because
dicts keep insertion order and sets are never iterated.
"""

from __future__ import annotations

from puffinpost.balancing.actions import Action, PollEndpointList, StartTimer, WriteLog
from puffinpost.balancing.capacity import CapacityEstimator
from puffinpost.balancing.concurrency_limiter import ConcurrencyLimiter
from puffinpost.balancing.endpoint_selector import EndpointSelector
from puffinpost.balancing.endpoint_table import EndpointTable
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionAdopted,
    DelayReported,
    EndpointBanChanged,
    EndpointListUpdate,
    Event,
    FleetEvent,
    GossipState,
    HealthCheckCompleted,
    LearnedState,
    ListUpdateKind,
    LoadReported,
    RequestReceived,
    ResponseOverdue,
    SettingsChanged,
    TimerFired,
)
from puffinpost.balancing.health_checks import CREDIT_PER_OBJECTIVE, HealthCheckScheduler
from puffinpost.balancing.learned_state import merge_gossip, restore, snapshot
from puffinpost.balancing.migration import Migration
from puffinpost.balancing.outlier_detection import OutlierDetector
from puffinpost.balancing.poll_schedule import PollSchedule
from puffinpost.balancing.request_lifecycle import RequestLifecycle
from puffinpost.balancing.settings import Settings
from puffinpost.balancing.slow_start import SlowStart
from puffinpost.balancing.state import BalancerState

TICK_TOKEN = 0  # a timer token above 0 is a request's id plus one


class Balancer:
    """The decisions of one balancer. `handle` takes one event and returns the resulting actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.state = BalancerState(settings, seed)
        self.capacity = CapacityEstimator(self.state)
        self.slow_start = SlowStart(self.capacity)
        self.migration = Migration(self.capacity)
        self.health_checks = HealthCheckScheduler(self.state)
        self.concurrency_limiter = ConcurrencyLimiter()
        self.endpoint_table = EndpointTable(self.slow_start, self.migration)
        self.outlier_detector = OutlierDetector(self.migration, self.health_checks)
        self.endpoint_selector = EndpointSelector(self.capacity, self.slow_start)
        self.request_lifecycle = RequestLifecycle(
            self.endpoint_selector, self.outlier_detector, self.health_checks, self.concurrency_limiter
        )
        self.poll_schedule = PollSchedule(settings, self.state.random)
        self.is_started = False

    def handle(self, event: Event, now_ns: int) -> list[Action]:
        """The actions for an event. Events about unknown or ended requests or endpoints change nothing."""
        state = self.state
        state.now_ns = max(state.now_ns, now_ns)
        state.actions = []
        if not self.is_started:
            self._start()
        match event:
            case RequestReceived():
                self.request_lifecycle.on_request(event)
            case TimerFired(token):
                self._on_timer(token)
            case AttemptEstablished():
                self.request_lifecycle.on_established(event)
            case AttemptEnded():
                self.request_lifecycle.on_attempt_ended(event)
            case HealthCheckCompleted():
                self.request_lifecycle.on_health_check(event)
            case LoadReported():
                state.update_load(event.request, float(event.load))
            case ClientDisconnected():
                self.request_lifecycle.on_client_disconnected(event)
            case ConnectionAdopted():
                self.request_lifecycle.on_connection_adopted(event)
            case _:
                self._handle_fleet_event(event)
        return state.actions

    def _handle_fleet_event(self, event: FleetEvent) -> None:
        match event:
            case DelayReported():
                self.outlier_detector.on_delay_report(event)
            case ResponseOverdue():
                self.outlier_detector.on_response_overdue(event)
            case EndpointListUpdate():
                self._on_endpoint_list(event)
            case EndpointBanChanged():
                self._on_ban_changed(event)
            case SettingsChanged(settings):
                self._apply_settings(settings)
            case LearnedState():
                restore(self.capacity, self.concurrency_limiter, event)
            case GossipState():
                merge_gossip(self.capacity, event)

    def excluded_count(self) -> int:
        """The number of listed endpoints that currently get no new requests."""
        return self.endpoint_table.excluded_count()

    def learned_state(self) -> LearnedState:
        """What this balancer has learned, for its successor."""
        return snapshot(self.capacity, self.concurrency_limiter)

    def _start(self) -> None:
        """Starts the periodic tick and schedules the first poll, at the first event."""
        self.is_started = True
        self.state.actions.append(StartTimer(self.state.tick_ns, TICK_TOKEN))
        self.poll_schedule.start(self.state.now_ns)

    def _apply_settings(self, settings: Settings) -> None:
        self.state.apply_settings(settings)
        self.capacity.apply_settings()
        self.poll_schedule.apply_settings(settings)

    def _on_ban_changed(self, event: EndpointBanChanged) -> None:
        is_readmitted = self.endpoint_table.on_ban_changed(event)
        if is_readmitted:
            self.request_lifecycle.place_queued()

    def _on_endpoint_list(self, event: EndpointListUpdate) -> None:
        if event.kind is ListUpdateKind.FAILED:
            self.poll_schedule.on_failure(self.state.now_ns)
            self.state.actions.append(WriteLog("endpoint list poll failed, retrying"))
            return
        if event.kind is not ListUpdateKind.CACHED:
            self.poll_schedule.on_endpoint_list()
        self.endpoint_table.on_endpoint_list(event)
        self.request_lifecycle.place_queued()

    def _on_timer(self, token: int) -> None:
        if token != TICK_TOKEN:
            self.request_lifecycle.on_deadline(token - 1)
            return
        self._on_tick()

    def _on_tick(self) -> None:
        state = self.state
        state.actions.append(StartTimer(state.tick_ns, TICK_TOKEN))
        self.health_checks.add_credit(CREDIT_PER_OBJECTIVE * state.tick_ns / state.latency_objective_ns)
        if self.capacity.fleet_estimate_due():
            self.capacity.estimate_fleet()
            self.health_checks.check_stale_endpoints()
        if self.poll_schedule.poll_due(state.now_ns):
            state.actions.append(PollEndpointList())
        self.migration.migrate_drained()
        self.request_lifecycle.place_queued()
