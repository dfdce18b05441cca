"""The common part of MQTT and XMPP sessions: the current request, its upstream, and flow control.

Such a session outlives its client connections. Each subclass translates one protocol; this module is
independent of the wire formats.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, Protocol, TypeVar

from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.upstream import UpstreamConnector, UpstreamHandler
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Attempt, Exchange, SessionRequest
from puffinpost.resumption.session import ResumableSession


class ClientConnection(Protocol):
    """A client's connection, wrapped by the frontend of its protocol."""

    connection: Connection

    def on_timeout(self) -> None:
        """Its timeout has passed, or its slot is needed: answer and close."""


class Upstream(UpstreamHandler, Protocol):
    """The connection of one attempt, in a protocol that endpoints use."""

    def close(self) -> None:
        """Closes the connection; the attempt has ended."""


ConnectionT = TypeVar("ConnectionT", bound=ClientConnection)
UpstreamT = TypeVar("UpstreamT", bound=Upstream)


class ResumableClient(ABC, Generic[ConnectionT, UpstreamT]):
    """The client side of at most one request at a time, whether the client is connected or not."""

    def __init__(
        self, coordinator: Coordinator, connector: UpstreamConnector, admission: ConnectionAdmission
    ) -> None:
        self.coordinator = coordinator
        self.connector = connector
        self.admission = admission
        self.connection: ConnectionT | None = None
        self.exchange: Exchange | None = None
        self.upstream: UpstreamT | None = None

    @abstractmethod
    def start_attempt(self, attempt: Attempt) -> None:
        """Connects to the endpoint of an attempt."""

    @abstractmethod
    def reject(self, retry_after_ns: int) -> None:
        """Answers that the client should retry later."""

    @abstractmethod
    def fail(self, timed_out: bool) -> None:
        """Answers that the request failed."""

    @abstractmethod
    def migrate(self) -> None:
        """Asks the client to open its session again."""

    @abstractmethod
    def on_session_expired(self) -> None:
        """The session has ended, and its current request ends with it."""

    def abort_attempt(self, attempt: Attempt) -> None:
        """Closes the connection of an attempt."""
        if self.upstream is not None and self.upstream.attempt is attempt:
            self.upstream.close()

    def on_session_evicted(self) -> None:
        """The registry has ended the session because its capacity was needed."""
        self.on_session_expired()

    @property
    def upstream_connection(self) -> Connection | None:
        """The connection of the current or last attempt."""
        return self.upstream.connection if self.upstream is not None else None

    def _reserve_capacity(self, request: SessionRequest) -> bool:
        """Reserves capacity for a request; returns False if there is none.

        From then on the session's reservation replaces that of the client's connection."""
        if not self.admission.reserve_session(self):
            self.coordinator.count_rejected(request.request_class)
            return False
        if self.connection is not None:
            self.admission.release(self.connection)
        return True

    def _start_exchange(self, request: SessionRequest) -> None:
        """Opens a request. Raises ``DuplicateRequestError`` if its id is in use."""
        exchange = self.coordinator.open(request, self)
        # The final answer may have been given during the call.
        self.exchange = None if exchange.answered else exchange

    def _connect_flow_control(self) -> None:
        """Makes each connection be read only as fast as the other one is written."""
        upstream = self.upstream_connection
        if self.connection is not None and upstream is not None and self.exchange is not None:
            client = self.connection.connection
            client.forward_target, upstream.forward_target = upstream, client

    def _regulate_upstream(self, session: ResumableSession) -> None:
        """Pauses reading the upstream of a client that does not acknowledge, and resumes it later.

        This bounds the memory that one client's unacknowledged messages use.
        """
        exchange, upstream = self.exchange, self.upstream_connection
        if exchange is None or upstream is None or not exchange.established:
            return
        if session.is_full and not exchange.reading_paused:
            self.coordinator.counters.add("edge_held_back")
            upstream.set_reading_paused(True)
            self.coordinator.set_reading_paused(exchange, True)
            self._on_upstream_paused()
        elif exchange.reading_paused and session.has_capacity:
            upstream.set_reading_paused(False)
            self.coordinator.set_reading_paused(exchange, False)

    def _on_upstream_paused(self) -> None:
        """Reading the upstream is paused until the client has acknowledged enough."""
