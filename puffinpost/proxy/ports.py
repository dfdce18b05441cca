"""What the coordinator needs from the rest of the node, as protocols.

The runtime implements the clock, the ports and the activation guard. The coordinator calls them and knows no
socket and no wire format.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from puffinpost.balancing.settings import EndpointId


class Clock(Protocol):
    """Time and timers."""

    def now(self) -> int:
        """Monotonic time in ns."""

    def call_later(self, after_ns: int, callback: Callable[[], None]) -> Any:
        """Calls back once, after a delay in ns; returns a handle for ``cancel``."""

    def cancel(self, handle: Any) -> None:
        """Cancels a timer; None and timers that have fired are ignored."""


class Ports(Protocol):
    """Operations that the balancer requests and the node performs."""

    def check_health(self, endpoint: EndpointId) -> None:
        """Requests a load report from an endpoint; ends with ``Coordinator.health_check_completed``."""

    def poll_endpoint_list(self) -> None:
        """Starts to watch discovery.

        Ends with ``Coordinator.endpoint_list_received`` or ``Coordinator.endpoint_list_failed``.
        """

    def write_log(self, text: str) -> None:
        """Writes a line to the log."""


class ActivationGuard(Protocol):
    """Keeps a node from acting on settings that may have been replaced; asked before new work starts."""

    def can_start(self, class_name: str) -> bool:
        """Whether new work of a class may be started now."""

    def attempt_started(self, class_name: str, endpoint_name: str) -> None:
        """New work of a class was sent to an endpoint."""
