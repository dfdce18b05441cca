"""One node of a simulated fleet: the program's own coordinator on a simulated runtime.

`Fleet` starts and kills the node, which implements `Ports` for its coordinator and opens no sockets.
"""

from __future__ import annotations

import random

from puffinpost.balancing.events import AttemptResult, EndpointStatus
from puffinpost.balancing.poll_schedule import STARTUP_LIST_TIMEOUT_NS
from puffinpost.balancing.settings import EndpointId, Settings
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.discovery.watch import CallFailure
from puffinpost.emulator.fleet.client import SimulatedClient
from puffinpost.emulator.fleet.clock import MS, S
from puffinpost.emulator.fleet.discovery import ListDocument, SimulatedDiscovery
from puffinpost.emulator.fleet.environment import Environment, NodeContext
from puffinpost.emulator.fleet.poller import Poller
from puffinpost.observability.counters import Counters
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import SessionRequest

READY_CHECK_NS = 10 * MS
HEALTH_CHECK_NS = 2 * MS  # the round trip of a health check
HEALTH_CHECK_LOAD = (0.3, 5.0)  # the load report of each health check
DEADLINES_MS = (1200, 2000, 4800)  # of requests


class FleetNode:
    """One process of a node."""

    def __init__(self, environment: Environment, number: int, settings: Settings, seed: int) -> None:
        self.environment, self.clock = environment, environment.clock
        self.endpoint_list = EndpointList(("amman",), ("large",))
        rng = random.Random(seed)
        self.coordinator = Coordinator(
            settings, ("a",), seed, self.endpoint_list, self.clock, self, Counters()
        )
        self.context = NodeContext(number, environment, self.coordinator, rng)
        self.poller = Poller(self.context)

    # --- Ports ----------------------------------------------------------------------------------------

    def check_health(self, endpoint: EndpointId) -> None:
        """Every health check succeeds, with the same load report."""
        self.clock.call_later(
            HEALTH_CHECK_NS,
            lambda: self.coordinator.health_check_completed(
                endpoint, AttemptResult.SERVED, HEALTH_CHECK_NS, HEALTH_CHECK_LOAD
            ),
        )

    def poll_endpoint_list(self) -> None:
        """The coordinator requests the endpoint list."""
        self.poller.poll()

    def write_log(self, text: str) -> None:
        """Log lines are dropped."""

    # --- the process ----------------------------------------------------------------------------------

    def start(self, cached_list: ListDocument) -> None:
        """Starts the process with the list that an earlier process saved."""
        self.coordinator.endpoint_list_received(cached_list, cached=True)
        self._serve_when_ready(self.clock.now_ns + STARTUP_LIST_TIMEOUT_NS)

    def _serve_when_ready(self, until_ns: int) -> None:
        ready = (
            self.coordinator.endpoints.is_current
            or self.clock.now_ns >= until_ns
            or self.poller.last_failure is CallFailure.UNREACHABLE
        )
        if ready or not self.environment.options.waits_for_list:
            self._open_request()
        else:
            self.clock.call_later(READY_CHECK_NS, lambda: self._serve_when_ready(until_ns))

    def kill(self) -> ListDocument:
        """Kills the process; returns the list that it had, in discovery's format."""
        self.context.stopped = True
        self.poller.stop()
        endpoints = self.endpoint_list
        documents = [
            {
                "name": endpoints.name(endpoint),
                "address": "127.0.0.1:1",
                "zone": "amman",
                "type": "large",
                "status": "up" if status is EndpointStatus.READY else "draining",
                "since_ms": endpoints.started_ms(endpoint),
            }
            for endpoint, status in endpoints.statuses.items()
            if status is not EndpointStatus.REMOVED
        ]
        return {"index": endpoints.index, "snapshot": True, "endpoints": documents}

    def redirect(self, discovery: SimulatedDiscovery) -> None:
        """A new configuration names another discovery."""
        self.poller.redirect(discovery)

    def _open_request(self) -> None:
        """A client opens a request; the next client follows after a random time."""
        if self.context.stopped:
            return
        rng = self.context.rng
        deadline_ns = rng.choice(DEADLINES_MS) * MS
        request = SessionRequest(0, deadline_ns, key=rng.getrandbits(32))
        self.coordinator.open(request, SimulatedClient(self.context))
        next_ns = int(rng.expovariate(self.environment.arrivals_per_s) * S)
        self.clock.call_later(next_ns, self._open_request)
