"""Opens connections to other servers."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import StreamClosedError

from puffinpost.net.connection import Connection, ConnectionTracker
from puffinpost.net.stream import create_stream
from puffinpost.observability import log


def create_connection(
    address: tuple[str, int], tracker: ConnectionTracker | None = None
) -> Connection | None:
    """Returns an unconnected connection for an address, or None if no descriptor is available."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        return Connection(create_stream(socket.socket(family, socket.SOCK_STREAM)), tracker)
    except OSError as error:
        log.info("no socket available", reason=error)
        return None


async def connect(connection: Connection, address: tuple[str, int], timeout_s: float) -> bool:
    """Connects to an address. Returns False, with the connection closed, if that fails or times out."""
    try:
        await asyncio.wait_for(connection.stream.connect(address), timeout_s)
    except (TimeoutError, StreamClosedError, OSError):
        connection.abort()
        return False
    except asyncio.CancelledError:
        connection.abort()  # else a cancelled call would leave its descriptor open
        raise
    return True


async def dial(address: tuple[str, int], timeout_s: float) -> Connection | None:
    """Returns a connection to an address, or None if it could not be established in time."""
    connection = create_connection(address)
    if connection is None or not await connect(connection, address, timeout_s):
        return None
    return connection
