"""Establishes the connection of an attempt to its endpoint, and runs it with the handler of the protocol."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tornado.iostream import StreamClosedError

from puffinpost.balancing.events import AttemptResult
from puffinpost.net.connection import Connection, ConnectionTracker, Receiver
from puffinpost.net.dialing import connect, create_connection
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Attempt


class UpstreamHandler(Receiver, Protocol):
    """Handles one attempt for its protocol: receives the endpoint's input."""

    attempt: Attempt
    connection: Connection | None

    def on_connected(self) -> None:
        """Writes the request, once the connection is established."""

    def on_flushed(self) -> None:
        """Called when the request is sent."""


class UpstreamConnector:
    """Starts attempts. Each has its own socket, which exists and can be closed from the start.

    ``tracker`` counts connections that linger after a close (``Connection.close``).
    """

    def __init__(self, coordinator: Coordinator, tracker: ConnectionTracker | None = None) -> None:
        self.coordinator = coordinator
        self.tracker = tracker
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, handler: UpstreamHandler) -> None:
        """Starts an attempt, and reports its outcome to the coordinator and its input to ``handler``."""
        handler.connection = create_connection(handler.attempt.address, self.tracker)
        task = asyncio.get_running_loop().create_task(self._run(handler, handler.attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, handler: UpstreamHandler, attempt: Attempt) -> None:
        connection, coordinator = handler.connection, self.coordinator
        timeout_s = coordinator.settings.dial_timeout_ns / 1e9
        if (
            connection is None
            or attempt.completed
            or not await connect(connection, attempt.address, timeout_s)
        ):
            coordinator.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not coordinator.can_write(attempt):
            connection.abort()  # nothing was written
            coordinator.attempt_ended(attempt, AttemptResult.SUPERSEDED)
            return
        try:
            handler.on_connected()
            await connection.flushed()
        except StreamClosedError:
            connection.close()
            coordinator.attempt_ended(attempt, AttemptResult.CONNECT_FAILED)
            return
        if not attempt.completed:
            handler.on_flushed()
            await connection.run(handler)
