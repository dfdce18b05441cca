"""The options of a simulated fleet, and the state that its nodes share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

from puffinpost.emulator.fleet.clock import Clock
from puffinpost.emulator.fleet.discovery import EndpointRecord, SimulatedDiscovery
from puffinpost.emulator.fleet.drain_rule import DrainRule
from puffinpost.proxy.coordinator import Coordinator


class FleetFault(Enum):
    """The fault that is injected into a simulated fleet."""

    NONE = "none"
    DISCOVERY_DOWN = "discovery down"
    DISCOVERY_STALLED = "discovery stalled"
    DISCOVERY_RESTARTED = "discovery restarted"
    DISCOVERY_REPLACED = "discovery replaced"  # a new configuration names another discovery
    DISCOVERY_SLOW = "discovery slow"
    CALLS_MUTED = "calls muted"  # all open watches stop being answered at the same moment
    NODES_KILLED = "nodes killed"


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """The options of a simulation run.

    ``fault``: None samples one with the seed. ``watch_round_s``: how long discovery takes to answer one watch
    of each node; 0 samples it. ``snapshot_cost_factor``: the cost of a full list, in watches. The last three
    options inject defects: a pause after each answer, attempts that are not checked against the list before
    their first byte, and processes that serve before they have a current list.
    """

    span_s: float = 15.0
    fault: FleetFault | None = None
    watch_round_s: float = 0.0
    snapshot_cost_factor: float = 1.0
    pause_after_answer_s: float = 0.0
    checks_before_write: bool = True
    waits_for_list: bool = True


DEFAULT_OPTIONS = FleetOptions()


@dataclass(slots=True)
class Environment:
    """State shared by all nodes of a fleet. A node polls the first of ``discoveries`` until a redirect."""

    clock: Clock
    rule: DrainRule
    options: FleetOptions
    slow_connect_probability: float
    arrivals_per_s: float  # of requests, at each node
    discoveries: list[SimulatedDiscovery] = field(default_factory=list)
    endpoints: dict[str, EndpointRecord] = field(default_factory=dict)
    extra_answers: int = 0  # final answers beyond the first of a request


@dataclass(slots=True)
class NodeContext:
    """State shared by the parts of one node's process. ``rng``: the random generator of all of them."""

    number: int
    environment: Environment
    coordinator: Coordinator
    rng: random.Random
    stopped: bool = False
