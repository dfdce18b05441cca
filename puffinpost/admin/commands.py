"""Handles the admin server's requests: readiness, metrics, and operators' bans of endpoints.

The admin server passes each complete request to it. It works on the coordinator and uses no sockets itself.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from http import HTTPStatus

from puffinpost.admin.ban_file import BanFile
from puffinpost.observability import log
from puffinpost.protocol.http import AdminResponse, Request
from puffinpost.proxy.coordinator import Coordinator

OUTCOMES = ("fulfilled", "throttled", "faulted")  # counted by request class, under these names
COUNTERS_WITHOUT_CLASS = ("relayed", "cfg_accepted", "cfg_invalid")
MAX_ECHOED_CHARS = 80
OK = HTTPStatus.OK


class AdminCommands:
    """Responds to requests. ``not_ready_reason`` returns why the node is not ready, or "" if it is ready.

    ``propose_ban`` is set if nodes share bans: it proposes to all nodes to ban an endpoint, or to lift its
    ban (None), and returns the proposal's id.
    """

    def __init__(
        self, coordinator: Coordinator, ban_file: BanFile, not_ready_reason: Callable[[], str]
    ) -> None:
        self.coordinator = coordinator
        self.ban_file = ban_file
        self.not_ready_reason = not_ready_reason
        self.propose_ban: Callable[[str, int | None], str] | None = None

    def handle(self, request: Request) -> AdminResponse:
        """Returns the response to a request."""
        match request.path.strip("/").split("/"):
            case ["ready"]:
                return self._require_method(request, "GET", self._ready)
            case ["metrics"]:
                return self._require_method(request, "GET", lambda: AdminResponse(OK, self.metrics()))
            case ["transcribers", ("disable" | "enable") as action, name] if name:
                return self._require_method(request, "POST", lambda: self._set_ban(name, action == "disable"))
        return AdminResponse(HTTPStatus.NOT_FOUND, f"there is no {request.path[:MAX_ECHOED_CHARS]}\n")

    def metrics(self) -> str:
        """Returns all metrics in StatsD format, one per line."""
        return _statsd_lines("c", self._counters()) + _statsd_lines("g", self._gauges())

    def _counters(self) -> dict[str, int]:
        counters = self.coordinator.counters
        counts_by_class = {
            f"operations.{name}.{outcome}": counters.get(f"{outcome}.{name}")
            for name in self.coordinator.class_names
            for outcome in OUTCOMES
        }
        return counts_by_class | {name: counters.get(name) for name in COUNTERS_WITHOUT_CLASS}

    def _gauges(self) -> dict[str, int]:
        coordinator = self.coordinator
        return {
            "open_requests": len(coordinator.exchanges),
            "registry_entries": coordinator.endpoint_list.count(),
            "out_of_rotation": coordinator.balancer.excluded_count(),
        }

    def _set_ban(self, name: str, banned: bool) -> AdminResponse:
        """Bans an endpoint or lifts its ban, in the file and at this node before the response is sent.

        If nodes share bans, the change is only proposed.
        """
        if self.coordinator.endpoint_list.find(name) is None and name not in self.ban_file.banned_since_ns:
            return AdminResponse(HTTPStatus.NOT_FOUND, f"there is no transcriber {name[:MAX_ECHOED_CHARS]}\n")
        since_ns = time.time_ns() if banned else None
        state = "banned" if banned else "in use"
        if self.propose_ban is not None:
            proposal_id = self.propose_ban(name, since_ns)
            text = f"that {name} is {state} at all nodes is proposed: {proposal_id}\n"
            return AdminResponse(HTTPStatus.ACCEPTED, text)
        try:
            self.ban_file.change(name, since_ns)
        except OSError as problem:
            log.info("ban file not written", reason=problem)
            text = f"the ban cannot be kept: {problem.strerror}\n"
            return AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, text)
        self.coordinator.apply_bans(self.ban_file.banned_since_ns)
        log.info(
            "endpoint banned by operator" if banned else "endpoint ban lifted by operator", endpoint=name
        )
        return AdminResponse(OK, f"{name} is {state}\n")

    @staticmethod
    def _require_method(request: Request, method: str, handler: Callable[[], AdminResponse]) -> AdminResponse:
        allowed = ("GET", "HEAD") if method == "GET" else (method,)
        if request.method in allowed:
            return handler()
        return AdminResponse(
            HTTPStatus.METHOD_NOT_ALLOWED, f"{request.method} is not for this\n", ", ".join(allowed)
        )

    def _ready(self) -> AdminResponse:
        reason = self.not_ready_reason()
        if reason:
            return AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, f"not ready: {reason}\n")
        return AdminResponse(OK, "ready\n")


def _statsd_lines(metric_type: str, values: dict[str, int]) -> str:
    return "".join(f"app.{name}:{value}|{metric_type}\n" for name, value in values.items())
