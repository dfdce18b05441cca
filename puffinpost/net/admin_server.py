"""The HTTP server for operators: one request per connection, and a limited number of requests at a time.

``admin.commands`` answers complete requests; this module limits connections and time.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from http import HTTPStatus

from puffinpost.config.node import MAX_ADMIN_REQUESTS
from puffinpost.net.connection import Connection
from puffinpost.observability import log
from puffinpost.protocol.http import AdminResponse, HttpError, Request, RequestParser

# A request is not evicted before this age, since its bytes may still be in flight.
MIN_REQUEST_AGE_S = 0.02
REQUEST_TIMEOUT_S = 5.0  # from accepting the connection to a complete request
BUSY = AdminResponse(HTTPStatus.SERVICE_UNAVAILABLE, "no room for another call\n")


class AdminServer:
    """Tracks the connections of operators, and passes complete requests to ``respond``."""

    def __init__(
        self,
        respond: Callable[[Request], AdminResponse],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self.respond = respond
        self.call_later = call_later
        self.connections: dict[Connection, None] = {}  # the oldest first
        self.incomplete: dict[AdminRequest, float] = {}  # with the time of the accept, in seconds
        self.closing: dict[Connection, None] = {}

    def can_accept(self) -> bool:
        """Whether another connection may be accepted. If not, it waits in the kernel's queue."""
        return (
            len(self.connections) < MAX_ADMIN_REQUESTS
            or bool(self.closing)
            or self._oldest_evictable() is not None
        )

    def accept(self, connection: Connection) -> AdminRequest:
        """Accepts a connection. At the limit, it first evicts a closing or incomplete one."""
        if len(self.connections) >= MAX_ADMIN_REQUESTS:
            if self.closing:
                next(iter(self.closing)).stream.close()
            elif (oldest := self._oldest_evictable()) is not None:
                oldest.evict()
        self.connections[connection] = None
        request = AdminRequest(self, connection)
        self.incomplete[request] = time.monotonic()
        self.call_later(REQUEST_TIMEOUT_S, request.on_timeout)
        return request

    def reject(self, connection: socket.socket) -> None:
        """Answers a connection that could only be accepted on the spare descriptor."""
        connection.send(BUSY.encode())

    def connection_closing(self, connection: Connection) -> None:
        """Records that the response is written and the operator has not closed the connection yet."""
        self.closing[connection] = None

    def connection_closed(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self.closing.pop(connection, None)
        self.connections.pop(connection, None)

    def _oldest_evictable(self) -> AdminRequest | None:
        oldest = next(iter(self.incomplete), None)
        return (
            oldest
            if oldest is not None and self.incomplete[oldest] + MIN_REQUEST_AGE_S <= time.monotonic()
            else None
        )


class AdminRequest:
    """The request of one connection."""

    def __init__(self, server: AdminServer, connection: Connection) -> None:
        self.server = server
        self.connection = connection
        self.parser = RequestParser()

    def data_received(self, data: bytes) -> None:
        """Parses input, and responds to a complete or invalid request."""
        try:
            request = self.parser.feed(data)
        except HttpError as error:
            self._send(AdminResponse(error.status, f"{error}\n"))
            return
        if request is not None:
            self._send(self.server.respond(request), request.method == "HEAD")

    def on_timeout(self) -> None:
        """Responds that no complete request arrived in time."""
        if self in self.server.incomplete:
            self._send(AdminResponse(HTTPStatus.REQUEST_TIMEOUT, "no whole call came\n"))

    def evict(self) -> None:
        """Closes the connection immediately, so that a newer one can be accepted."""
        log.info("admin server evicted an incomplete request", high_volume=True)
        self.connection.write(BUSY.encode())
        del self.server.incomplete[self]
        self.connection.stream.close()

    def connection_lost(self, reset: bool) -> None:  # noqa: ARG002 (part of `Receiver`)
        """Removes the request of an operator who has disconnected."""
        self.server.incomplete.pop(self, None)

    def on_internal_error(self) -> None:
        """Responds that handling the request failed."""
        self._send(AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, "the node failed on this call\n"))

    def _send(self, response: AdminResponse, head_only: bool = False) -> None:
        self.server.incomplete.pop(self, None)
        self.connection.write(response.encode(head_only))
        self.connection.close()
