"""Balancers on a virtual clock, with the endpoints and clients of a simulated fleet, for `bench.heard`.

Four nodes decide with the program's own `Balancer`. Endpoints serve sessions of drawn lengths; two of them
can be bad: one rejects every set-up, one never answers.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from dataclasses import dataclass, replace
from functools import partial

from puffinpost.balancing.actions import CheckHealth, Fail, Migrate, Reject, StartAttempt, StartTimer
from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckCompleted,
    ListUpdateKind,
    RequestReceived,
    TimerFired,
)
from puffinpost.balancing.settings import Settings
from puffinpost.emulator.virtual_time import MS, S, VirtualTime

NODES = 4
ENDPOINT_CAPACITY = 40  # sessions at load 1
MEAN_SESSION_S = 20
REJECTING, SILENT = 1, 2  # the endpoints that can be bad
DEADLINE_NS, SET_UP_NS, CONNECT_TIMEOUT_NS = 2 * S, 8 * MS, 200 * MS
HEALTH_CHECK_NS = 2 * MS

RequestKey = tuple[int, int]  # the node and its request


@dataclass(slots=True)
class SimulatedRequest:
    """A client's request at one node. ``answered``: it has had its final answer."""

    tenant: int
    attempts: int = 0
    answered: bool = False


@dataclass(frozen=True, slots=True)
class EstablishedSession:
    """A session with an endpoint, by the attempt that opened it."""

    endpoint: int
    tenant: int
    attempt: int


class BalancerSimulation:
    """The fleet. ``has_bad_endpoints``: two of them are. ``counts``: attempts, and final answers by kind."""

    def __init__(self, settings: Settings, seed: int, endpoints: int, has_bad_endpoints: bool) -> None:
        self.settings, self.has_bad_endpoints = settings, has_bad_endpoints
        self.rng = random.Random(seed)
        self.time = VirtualTime(S)
        self.counts: Counter[str] = Counter()
        self.nodes: list[Balancer] = []
        self.sessions: dict[RequestKey, EstablishedSession] = {}
        self._requests: dict[RequestKey, SimulatedRequest] = {}
        self._request_numbers = itertools.count(1)
        self._load: dict[int, Counter[int]] = {  # sessions of each tenant, by endpoint
            endpoint: Counter() for endpoint in range(1, endpoints + 1)
        }
        self._incarnation = 0
        self.restart(seed)

    @property
    def now(self) -> int:
        """The virtual time, in ns."""
        return self.time.now_ns

    def restart(self, seed: int) -> None:
        """All nodes start anew, with the endpoint list; all sessions end."""
        self._incarnation += 1
        self.nodes = [
            Balancer(replace(self.settings, balancer_index=node), seed * 100 + 10 * self._incarnation + node)
            for node in range(NODES)
        ]
        self.sessions.clear()
        self._requests.clear()
        self._load = {endpoint: Counter() for endpoint in self._load}
        entries = tuple(
            EndpointEntry(endpoint, 0, 0, 0, EndpointStatus.READY, 1.0, 0) for endpoint in self._load
        )
        for node in range(NODES):
            self.deliver(node, EndpointListUpdate(ListUpdateKind.FULL, entries))

    def run_until(self, until_ns: int) -> None:
        """Advances time."""
        self.time.run_until(until_ns)

    # --- clients --------------------------------------------------------------------------------------

    def schedule_arrivals(
        self, begin_ns: int, end_ns: int, per_s: float, tenant: int, node: int | None
    ) -> None:
        """Schedules a tenant's requests, at one node or spread over all."""
        when = begin_ns
        while (when := when + int(self.rng.expovariate(per_s) * S)) < end_ns:
            target = self.rng.randrange(NODES) if node is None else node
            self.schedule_request(when, target, tenant)

    def schedule_request(self, when_ns: int, node: int, tenant: int) -> None:
        """Schedules one request."""
        self.time.at(when_ns, partial(self._request, node, tenant))

    def _request(self, node: int, tenant: int) -> None:
        request = next(self._request_numbers)
        self._requests[node, request] = SimulatedRequest(tenant)
        self.deliver(node, RequestReceived(request, 0, self.now + DEADLINE_NS, tenant=tenant))

    def _answer(self, node: int, request: int, answer: str) -> None:
        simulated = self._requests[node, request]
        if not simulated.answered:
            simulated.answered = True
            self.counts[answer] += 1

    # --- the balancers' events and actions ------------------------------------------------------------

    def deliver(self, node: int, event: Event) -> None:
        """Gives a node's balancer an event, and carries out its actions."""
        for action in self.nodes[node].handle(event, self.now):
            match action:
                case StartTimer(after_ns, token):
                    self._deliver_later(node, after_ns, TimerFired(token))
                case CheckHealth(endpoint):
                    self._check_health(node, endpoint)
                case StartAttempt(request, endpoint, timeout_ns):
                    self._attempt(node, request, endpoint, timeout_ns)
                case Migrate(request):
                    self.counts["moved"] += 1
                    self._end_session(node, request)
                case Reject(request) | Fail(request):
                    self._answer(node, request, "refused")

    def _deliver_later(self, node: int, after_ns: int, event: Event) -> None:
        """Delivers an event after a delay, unless the nodes have started anew by then."""
        self.time.at(self.now + after_ns, partial(self._deliver_to, self._incarnation, node, event))

    def _deliver_to(self, incarnation: int, node: int, event: Event) -> None:
        if incarnation == self._incarnation:
            self.deliver(node, event)

    def _check_health(self, node: int, endpoint: int) -> None:
        if self.has_bad_endpoints and endpoint in (REJECTING, SILENT):
            result, report, after_ns = AttemptResult.TIMEOUT, (), CONNECT_TIMEOUT_NS
            event = HealthCheckCompleted(endpoint, result, CONNECT_TIMEOUT_NS, report)
        else:
            sessions = sum(self._load[endpoint].values())
            load_report = (sessions / ENDPOINT_CAPACITY, float(sessions))
            after_ns = HEALTH_CHECK_NS
            event = HealthCheckCompleted(endpoint, AttemptResult.SERVED, CONNECT_TIMEOUT_NS, load_report)
        self._deliver_later(node, after_ns, event)

    def _attempt(self, node: int, request: int, endpoint: int, timeout_ns: int) -> None:
        simulated = self._requests[node, request]
        attempt = simulated.attempts
        simulated.attempts += 1
        self.counts["attempts"] += 1
        if self.has_bad_endpoints and endpoint in (REJECTING, SILENT):
            self.counts["failed attempts"] += 1
            rejects = endpoint == REJECTING
            result = AttemptResult.CONNECT_FAILED if rejects else AttemptResult.TIMEOUT
            elapsed_ns = SET_UP_NS if rejects else timeout_ns
            failure = AttemptEnded(request, attempt, endpoint, result, False, elapsed_ns)
            self._deliver_later(node, elapsed_ns, failure)
            return
        self._load[endpoint][simulated.tenant] += 1
        self.sessions[node, request] = EstablishedSession(endpoint, simulated.tenant, attempt)
        self._deliver_later(node, SET_UP_NS, AttemptEstablished(request, attempt, endpoint, SET_UP_NS))
        length_ns = int(self.rng.expovariate(1 / MEAN_SESSION_S) * S)
        self.time.at(self.now + length_ns, partial(self._session_over, self._incarnation, node, request))
        self._answer(node, request, f"served {simulated.tenant}")

    def _session_over(self, incarnation: int, node: int, request: int) -> None:
        if incarnation == self._incarnation:
            self._end_session(node, request)

    def _end_session(self, node: int, request: int) -> None:
        session = self.sessions.pop((node, request), None)
        if session is not None:
            self._load[session.endpoint][session.tenant] -= 1
            ended = AttemptEnded(request, session.attempt, session.endpoint, AttemptResult.SERVED, True, S)
            self.deliver(node, ended)
