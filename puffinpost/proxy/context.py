"""What the parts of the coordinator share: the clock, the counters, the settings and the endpoints.

The coordinator creates it and passes it to its parts. It makes no decisions and starts nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from puffinpost.observability.counters import Counters
from puffinpost.proxy.endpoint_directory import EndpointDirectory
from puffinpost.proxy.exchange import Attempt, Exchange
from puffinpost.proxy.figures import ClassOutcome
from puffinpost.proxy.ports import ActivationGuard, Clock, Ports
from puffinpost.proxy.settings_view import SettingsView


@dataclass(slots=True)
class ProxyContext:
    """Shared by the coordinator and its parts."""

    clock: Clock
    ports: Ports
    counters: Counters
    settings_view: SettingsView
    endpoints: EndpointDirectory
    activation_guard: ActivationGuard | None = None

    def count_outcome(self, outcome: ClassOutcome, request_class: int) -> None:
        """Counts the outcome of a request, by its class."""
        self.counters.add(f"{outcome}.{self.settings_view.class_names[request_class]}")

    def can_activate(self, exchange: Exchange) -> bool:
        """Whether the activation guard, if there is one, allows new work of the request's class."""
        guard = self.activation_guard
        return guard is None or guard.can_start(
            self.settings_view.class_names[exchange.request.request_class]
        )

    def report_activation(self, attempt: Attempt) -> None:
        """Reports new work to the activation guard. A connection from an earlier process is not new."""
        if self.activation_guard is not None and not attempt.exchange.adopted:
            self.activation_guard.attempt_started(
                self.settings_view.class_names[attempt.exchange.request.request_class],
                self.endpoints.endpoint_list.name(attempt.endpoint),
            )
