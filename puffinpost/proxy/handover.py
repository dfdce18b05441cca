"""The handover of established connections from one process of a node to the next.

The runtime's hot restart and the frontends call it through the coordinator, on both sides. It builds and
reads the map that is sent over the channel; other modules hand over the sockets and the protocol state.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from puffinpost.balancing.balancer import Balancer
from puffinpost.balancing.events import AttemptEnded, AttemptResult, ConnectionAdopted
from puffinpost.proxy.attempts import AttemptController
from puffinpost.proxy.context import ProxyContext
from puffinpost.proxy.dispatcher import Dispatcher
from puffinpost.proxy.exchange import Attempt, DownstreamClient, Exchange, ExchangeState, SessionRequest
from puffinpost.proxy.exchange_table import ExchangeTable

# The keys of the map, in order, and the fields of ``HandoverState``.
FIELD_OF_KEY = {
    "class": "class_name",
    "at": "endpoint_address",
    "key": "key",
    "server": "endpoint_name",
    "load": "load",
    "group": "group",
    "source": "client_address",
    "ident": "request_id",
    "tenant": "tenant_name",
    "came_ns": "received_ns",
    "up_ns": "established_ns",
    "sent": "unanswered_sent_ns",
    "octets": "forwarded_bytes",
}


@dataclass(frozen=True, slots=True)
class HandoverState:
    """What another process needs to know about an established connection."""

    class_name: str
    endpoint_address: tuple[str, int]
    key: int
    endpoint_name: str
    load: int | None  # nanoseconds of work per second
    group: int
    client_address: tuple[str, int]
    request_id: int | None
    tenant_name: str | None
    received_ns: int
    established_ns: int
    unanswered_sent_ns: list[int]
    forwarded_bytes: list[int]  # from the client, and from the endpoint

    def to_map(self) -> dict[str, Any]:
        """The map that is sent over the channel."""
        return {key: getattr(self, field) for key, field in FIELD_OF_KEY.items()}

    @classmethod
    def from_map(cls, state: dict[str, Any]) -> HandoverState:
        """Reads a map; ignores other keys in it. Raises ``KeyError`` if a key is missing."""
        fields = {field: state[key] for key, field in FIELD_OF_KEY.items() if key != "tenant"}
        fields["endpoint_address"] = _address(state["at"])
        fields["client_address"] = _address(state["source"])
        return cls(**fields, tenant_name=state.get("tenant"))  # earlier versions have no tenant


class ConnectionHandover:
    """Hands established connections to another process of the node, and takes them over from one."""

    def __init__(
        self,
        context: ProxyContext,
        exchanges: ExchangeTable,
        attempts: AttemptController,
        dispatcher: Dispatcher,
        balancer: Balancer,
    ) -> None:
        self.context = context
        self.exchanges = exchanges
        self.attempts = attempts
        self.dispatcher = dispatcher
        self.balancer = balancer

    def describe(self, exchange: Exchange) -> HandoverState:
        """The state of an established connection."""
        request = exchange.request
        attempt = exchange.attempt
        endpoints, settings_view = self.context.endpoints, self.context.settings_view
        return HandoverState(
            class_name=settings_view.class_names[request.request_class],
            endpoint_address=exchange.endpoint_address,
            key=request.key,
            endpoint_name=endpoints.endpoint_list.name(attempt.endpoint) if attempt is not None else "",
            load=self._current_load(exchange),
            group=request.group,
            client_address=request.client_address,
            request_id=request.request_id,
            tenant_name=settings_view.tenant_name(request.tenant),
            received_ns=exchange.received_ns,
            established_ns=exchange.established_ns,
            unanswered_sent_ns=list(exchange.unanswered_sent_ns),
            forwarded_bytes=[exchange.bytes_from_client, exchange.bytes_from_endpoint],
        )

    def _current_load(self, exchange: Exchange) -> int | None:
        """The load that the endpoint reported last, else the load that the client declared."""
        tracked = self.balancer.state.requests.get(exchange.number)
        if tracked is not None and tracked.hinted_load is not None:
            return int(tracked.hinted_load)
        return exchange.request.load

    def release(self, exchange: Exchange) -> None:
        """Ends an exchange whose connection another process has taken over, without an answer."""
        attempt = exchange.attempt
        assert attempt is not None and exchange.established
        self.context.counters.add("handed_over")
        self.attempts.stop_timers(attempt)
        attempt.completed = True
        exchange.transition(ExchangeState.CLOSED)
        exchange.attempt = None
        elapsed_ns = self.context.clock.now() - attempt.started_ns
        self.dispatcher.dispatch(
            lambda: AttemptEnded(
                exchange.number, attempt.number, attempt.endpoint, AttemptResult.CANCELLED, True, elapsed_ns
            )
        )
        self.exchanges.forget(exchange)

    def take_over(self, state: HandoverState, client: DownstreamClient) -> Exchange:
        """Registers a connection that was established in another process, with its attempt.

        Raises ``KeyError`` for a class unknown here, and ``DuplicateRequestError`` for a request id in use.
        """
        request = self._request(state)
        self.exchanges.request_ids.predecessor.discard(request.request_id)
        exchange = self.exchanges.register(request, client)
        exchange.adopted = True
        exchange.transition(ExchangeState.ESTABLISHED)
        exchange.received_ns, exchange.established_ns = state.received_ns, state.established_ns
        exchange.bytes_from_client, exchange.bytes_from_endpoint = state.forwarded_bytes
        exchange.unanswered_sent_ns.extend(state.unanswered_sent_ns)
        endpoint = self.context.endpoints.endpoint_list.identify(state.endpoint_name)
        attempt = Attempt(
            exchange, 0, endpoint, state.endpoint_address, exchange.established_ns, exchange.deadline_ns
        )
        attempt.written = True
        exchange.attempt, exchange.endpoint_address = attempt, attempt.address
        self.context.counters.add("taken_over")
        received = exchange.received_event()
        self.dispatcher.dispatch(lambda: ConnectionAdopted(received, endpoint))
        return exchange

    def _request(self, state: HandoverState) -> SessionRequest:
        settings_view = self.context.settings_view
        return SessionRequest(
            request_class=settings_view.class_indexes[state.class_name],
            client_timeout_ns=0,
            key=state.key,
            group=state.group,
            load=state.load,
            client_address=state.client_address,
            request_id=state.request_id,
            tenant=settings_view.tenant_index(state.tenant_name),
        )


def _address(value: Any) -> tuple[str, int]:
    return str(value[0]), int(value[1])
