"""Simulates a fleet of nodes and its discovery on a virtual clock, with faults, from a single seed.

Tests create a `Fleet`, run it, and read the drain rule's violations. The same seed and options give the same
run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from puffinpost.balancing.settings import RequestClass, Settings
from puffinpost.emulator.fleet.clock import MS, Clock, S
from puffinpost.emulator.fleet.discovery import EndpointRecord, ListDocument, SimulatedDiscovery
from puffinpost.emulator.fleet.drain_rule import DrainRule
from puffinpost.emulator.fleet.environment import DEFAULT_OPTIONS, Environment, FleetFault, FleetOptions
from puffinpost.emulator.fleet.node import FleetNode

SAMPLED_FAULTS = (
    FleetFault.NONE,
    FleetFault.DISCOVERY_DOWN,
    FleetFault.DISCOVERY_STALLED,
    FleetFault.DISCOVERY_RESTARTED,
    FleetFault.DISCOVERY_REPLACED,
    FleetFault.DISCOVERY_SLOW,
)
SMALL_FLEET_SIZE = 40  # each node of a larger fleet has less traffic, which bounds the duration of a run
SLOWDOWN_FACTOR = 10  # of a slow discovery's processing
NODE_SEED_STEP = 10_007


class Fleet:
    """One simulation run of a fleet."""

    def __init__(self, seed: int, node_count: int, options: FleetOptions = DEFAULT_OPTIONS) -> None:
        self.seed, self.options = seed, options
        self.clock, self.rule = Clock(), DrainRule()
        self.rng = rng = random.Random(seed)
        slow_connect_probability = rng.choice((0.0, 0.3))
        arrivals_per_s = rng.choice((1.0, 4.0)) if node_count <= SMALL_FLEET_SIZE else 0.3
        self.environment = Environment(
            self.clock, self.rule, options, slow_connect_probability, arrivals_per_s
        )
        self.span_ns = int(options.span_s * S)
        self._create_discoveries(node_count)
        self.settings = self._sample_settings(node_count)
        self.nodes = [
            FleetNode(self.environment, number, self.settings, seed * NODE_SEED_STEP + number)
            for number in range(node_count)
        ]
        documents = [record.document() for record in self.environment.endpoints.values()]
        cached_list = {"index": 1, "snapshot": True, "endpoints": documents}
        for node in self.nodes:
            self.clock.call_later(rng.randrange(S // 5), partial(self._start, node, cached_list))
        self.fault = options.fault
        self._schedule_events()

    @property
    def extra_answers(self) -> int:
        """Final answers beyond the first of a request; there should be none."""
        return self.environment.extra_answers

    def run(self) -> Fleet:
        """Runs the simulation to its end."""
        self.clock.run_until(self.span_ns)
        return self

    # --- setup ----------------------------------------------------------------------------------------

    def _create_discoveries(self, node_count: int) -> None:
        rng, environment, options = self.rng, self.environment, self.options
        round_ns = options.watch_round_s * S or S / rng.uniform(0.15, 4.0)
        cost_ns = int(round_ns / node_count)
        lag_ns = int(rng.uniform(0, 1.0) * S)
        environment.discoveries = [
            SimulatedDiscovery(self.clock, self.rule, cost_ns),
            SimulatedDiscovery(self.clock, self.rule, cost_ns, lag_ns, version=1000),
        ]
        names = [f"s-{number}" for number in range(rng.randrange(3, 9))]
        environment.endpoints = {name: EndpointRecord(name) for name in names}
        for discovery in environment.discoveries:
            discovery.add_endpoints(list(environment.endpoints.values()))
            discovery.node_count = node_count
            discovery.snapshot_cost_factor = options.snapshot_cost_factor
            discovery.set_watch_cost(cost_ns)

    def _sample_settings(self, node_count: int) -> Settings:
        rng = self.rng
        return Settings(
            balancer_index=0,
            balancer_count=node_count,
            zone=0,
            zone_count=1,
            endpoint_type_count=1,
            endpoint_list_is_polled=True,
            classes=(RequestClass(latency_objective_ns=rng.choice((300, 800)) * MS, deadline_ns=4800 * MS),),
            poll_within_ns=rng.choice((2, 5, 10)) * S,
            drain_grace_ns=500 * MS,
            warmup_initial_capacity=0.3,
            warmup_duration_ns=9 * S,
            warmup_load_multiple=3.0,
            warmup_window_ns=3 * S,
            processing_interval_ns=50 * MS,
            max_attempts=5,
            max_retry_after_ns=2 * S,
            dial_timeout_ns=rng.choice((250, 1500)) * MS,
            health_checks_enabled=rng.random() < 0.5,
            cancellation_enabled=True,
            load_report_fields=("x0", "concurrent"),
        )

    def _start(self, node: FleetNode, cached_list: ListDocument) -> None:
        poll_within_ns = node.coordinator.settings.poll_within_ns
        self.rule.node_started(node.context.number, self.clock.now_ns, poll_within_ns, node.poller.discovery)
        node.start(cached_list)

    # --- events ---------------------------------------------------------------------------------------

    def _at(self, fraction: float, callback: Callable[[], None]) -> None:
        """Schedules a call at this fraction of the simulated time span."""
        self.clock.call_later(int(self.span_ns * fraction), callback)

    def _schedule_events(self) -> None:
        """Schedules one fault, and batches of changes at random times, as close as discovery's period."""
        rng = self.rng
        at, period = rng.uniform(0.1, 0.3), rng.uniform(0.18, 1.5) * S / self.span_ns
        while at < 0.95:
            self._at(at, self._change_endpoints)
            at += period * rng.choice((1, 1, 2, 8)) + rng.uniform(0, 0.004)
        begins = rng.uniform(0.2, 0.6)
        ends = begins + rng.uniform(0.02, 0.25)
        if self.fault is None:
            self.fault = rng.choice(SAMPLED_FAULTS)
        self._schedule_fault(self.fault, begins, ends)

    def _schedule_fault(self, fault: FleetFault, begins: float, ends: float) -> None:
        rng = self.rng
        discovery, other_discovery = self.environment.discoveries
        match fault:
            case FleetFault.NONE:
                pass
            case FleetFault.DISCOVERY_DOWN:
                self._at(begins, discovery.go_down)
                self._at(ends, discovery.recover)
            case FleetFault.DISCOVERY_STALLED:
                self._at(begins, discovery.stall)
                self._at(ends, discovery.recover)
            case FleetFault.DISCOVERY_RESTARTED:
                self._at(begins, lambda: discovery.restart(rng.choice((1, 2, 5000))))
            case FleetFault.DISCOVERY_REPLACED:
                for node in self.nodes:
                    self._at(begins + rng.uniform(0, 0.02), partial(node.redirect, other_discovery))
            case FleetFault.DISCOVERY_SLOW:
                self._at(begins, lambda: discovery.set_watch_cost(discovery.watch_cost_ns * SLOWDOWN_FACTOR))
                self._at(ends, lambda: discovery.set_watch_cost(discovery.watch_cost_ns // SLOWDOWN_FACTOR))
            case FleetFault.CALLS_MUTED:
                self._at(begins, discovery.mute_pending_calls)
            case FleetFault.NODES_KILLED:
                self._at(begins, self._kill_nodes)

    def _kill_nodes(self) -> None:
        """Kills 70% of the nodes at once; they restart 0.5 to 5.6 s later, with the lists that they had."""
        down_ns = int(self.rng.uniform(0.5, 5.5) * S)
        count = max(1, len(self.nodes) * 7 // 10)
        for number in self.rng.sample(range(len(self.nodes)), count):
            cached_list = self.nodes[number].kill()
            after_ns = down_ns + self.rng.randrange(S // 10)
            self.clock.call_later(after_ns, partial(self._restart, number, cached_list))

    def _restart(self, number: int, cached_list: ListDocument) -> None:
        seed = (self.seed + 1) * NODE_SEED_STEP + number
        node = FleetNode(self.environment, number, self.settings, seed)
        self.nodes[number] = node
        self.rule.node_restarted(number, self.clock.now_ns)
        node.start(cached_list)

    def _change_endpoints(self) -> None:
        """Changes a batch of endpoints: some drain, some are removed, some are available again."""
        rng = self.rng
        records = list(self.environment.endpoints.values())
        batch = rng.sample(records, rng.randrange(1, max(2, len(records) // 2)))
        for record in batch:
            self._change_endpoint(record)
        for discovery in self.environment.discoveries:
            discovery.publish([replace(record) for record in batch])
        if rng.random() < 0.2:
            self.clock.call_later(rng.randrange(1, 60) * MS, self._change_endpoints)

    def _change_endpoint(self, record: EndpointRecord) -> None:
        rng = self.rng
        if record.status == "up":
            record.status = rng.choice(("draining", "draining", "removed"))
        elif record.status == "draining" and rng.random() < 0.5:
            record.status = "removed"
        else:
            record.status, record.since_ms = "up", max(1, self.clock.now_ns // MS)
        record.change = self.rule.endpoint_changed(record.name, record.status == "up", self.clock.now_ns)
