"""Writes a trace line for each event and action of the balancer that concerns a request.

The dispatcher calls it around every decision, and it does nothing until an output is set. Tools outside the
program read the fields ``ms=``, ``n=`` and ``id=``, so they must not change.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost.balancing.actions import Action
from puffinpost.balancing.events import EndpointListUpdate, Event, RequestReceived
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.exchange_table import ExchangeTable
from puffinpost.units import MS

# Exchanges whose request ids are kept after completion, to trace their last events.
MAX_TRACED_REQUESTS = 4096


class DecisionTracer:
    """Writes the trace of events and actions."""

    def __init__(self, context: ProxyContext, exchanges: ExchangeTable) -> None:
        self.context = context
        self.exchanges = exchanges
        self.write: Callable[[str], None] | None = None  # None: no trace is written
        self._request_ids: dict[int, int] = {}  # by exchange number, until its request is finished

    def trace(self, decision: Event | Action) -> None:
        """Writes the line of an event or action. ``n``: exchange number; ``id``: request id, in hex."""
        if self.write is None:
            return
        if isinstance(decision, EndpointListUpdate):
            self.write(self._endpoint_list_line(decision))
        request = getattr(decision, "request", None)
        if request is None:
            return
        number = request.request if isinstance(request, RequestReceived) else request
        request_id = self._request_id(number, finished=getattr(decision, "request_finished", False))
        self.write(self._decision_line(decision, number, request_id))

    def _request_id(self, number: int, finished: bool) -> int | None:
        exchange = self.exchanges.get(number)
        if exchange is not None and exchange.request.request_id is not None:
            self._request_ids[number] = exchange.request.request_id
            # Exchanges that end without a last event would never be removed.
            while len(self._request_ids) > MAX_TRACED_REQUESTS:
                del self._request_ids[next(iter(self._request_ids))]
        request_id = self._request_ids.get(number)
        if finished:
            self._request_ids.pop(number, None)
        return request_id

    def _decision_line(self, decision: Event | Action, number: int, request_id: int | None) -> str:
        fields = " ".join(
            f"{name}={_field_text(getattr(decision, name))}"
            for name in decision.__slots__
            if name != "request"
        )
        endpoint = getattr(decision, "endpoint", None)
        at = f" at={self.context.endpoints.endpoint_list.name(endpoint)}" if isinstance(endpoint, int) else ""
        id_text = "-" if request_id is None else f"{request_id:016x}"
        return (
            f"trace ms={self.context.clock.now() // MS} n={number} "
            f"id={id_text} {type(decision).__name__}{at} {fields}"
        )

    def _endpoint_list_line(self, update: EndpointListUpdate) -> str:
        """The endpoint list that the balancer receives: name, status and start in ms of each endpoint."""
        name = self.context.endpoints.endpoint_list.name
        entries = " ".join(
            f"{name(entry.endpoint)}={entry.status.name}@{entry.started_ns // MS}" for entry in update.entries
        )
        return f"trace ms={self.context.clock.now() // MS} list {update.kind.name} {entries}"


def _field_text(value: object) -> str:
    """The short text of a trace field: enums by name, requests by number."""
    if isinstance(value, RequestReceived):
        return str(value.request)
    name = getattr(value, "name", None)
    return name if isinstance(name, str) else str(value)
