"""Owns the tasks that run the connections of a node."""

from __future__ import annotations

import asyncio

from puffinpost.net.connection import Connection, Receiver


class ConnectionRunner:
    """Starts a task for each connection, and keeps a reference to it until the connection has ended."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def run_connection(self, connection: Connection, receiver: Receiver) -> None:
        """Starts a task that runs a connection to its end."""
        task = asyncio.get_running_loop().create_task(connection.run(receiver))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
