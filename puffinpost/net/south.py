"""Drives a relay's connection to its transcriber."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tornado.iostream import StreamClosedError

from puffinpost.core import Core, Relay
from puffinpost.interface import Result
from puffinpost.net.link import Door, Link, Receiver, connect, unconnected


class South(Receiver, Protocol):
    """What stands behind a relay's link."""

    relay: Relay
    link: Link | None

    def connected(self) -> None:
        """The connection is up and the relay may be written: write what it begins with."""

    def flushed(self) -> None:
        """What it begins with is out."""


class Dialler:
    """Starts relays. Each gets a socket of its own, which is there to be closed from the start.

    ``door`` counts those that half-close and wait for their transcriber to end too (`Link.close`).
    """

    def __init__(self, core: Core, door: Door | None = None) -> None:
        self.core = core
        self.door = door
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, south: South) -> None:
        """Begins a relay; what becomes of it goes to the core and to ``south``."""
        south.link = unconnected(south.relay.address, self.door)
        task = asyncio.get_running_loop().create_task(self._carry(south, south.relay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, south: South, relay: Relay) -> None:
        link, core = south.link, self.core
        limit = core.settings.dial_timeout_ns / 1e9
        if link is None or relay.over or not await connect(link, relay.address, limit):
            core.ended(relay, Result.CONNECT_FAILED)
            return
        if not core.may_write(relay):
            link.abort()  # nothing was written, and nothing is owed
            core.ended(relay, Result.MOOT)
            return
        try:
            south.connected()
            await link.flushed()
        except StreamClosedError:
            link.close()
            core.ended(relay, Result.CONNECT_FAILED)
            return
        if not relay.over:
            south.flushed()
            await link.run(south)
