"""Watches discovery: one long poll after another on one connection, at the address that is in force."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from puffinpost import inventory, log
from puffinpost.following.calls import End, Following
from puffinpost.net.link import Link, dial
from puffinpost.protocol import http

OVERRUN = 503  # a call that waited too long in turn
CONNECT_S = 2.0


class Watch:
    """Makes the calls of a ``Following``, from when it is told to start until a rest is due.

    Then it waits to be told again.
    """

    def __init__(self, address: tuple[str, int], following: Following, index: Callable[[], int],
                 told: Callable[[dict[str, Any]], None], failed: Callable[[bool], None]) -> None:
        self.address = address
        self.following = following
        self.index = index
        self.told = told
        self.failed = failed  # is given whether a call was made at all
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to watch, unless a watch goes on already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Watches no more, and is not told of it."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    @property
    def running(self) -> bool:
        """Whether a watch goes on."""
        return self._task is not None

    def redirect(self, address: tuple[str, int]) -> None:
        """Leaves an address for another, which is asked at once and for the whole list.

        The call that was out is dropped unanswered: what it would have told, the list holds.
        """
        if address != self.address:
            self.address = address
            self.following.redirected()
            if self._task is not None:
                self._task.cancel()
                self._task = None
        self.start()

    async def _run(self) -> None:
        how = await self._watch()
        while self.following.ended(how):
            how = await self._watch()
        self._task = None
        self.failed(how is not End.UNREACHED)

    async def _watch(self) -> End:
        """Calls until one ends without an answer."""
        link: Link | None = None
        try:
            while True:
                if link is None or link.stream.closed():
                    link = await dial(self.address, CONNECT_S)
                if link is None:
                    log.say("discovery: no connection")
                    return End.UNREACHED
                began = time.monotonic_ns()
                reply = await self._call(link.stream)
                if reply.status != 200:
                    log.say(f"discovery: status {reply.status}")
                    return End.OVERRUN if reply.status == OVERRUN else End.FAILED
                answer = inventory.parse(reply.body)
                self.told(answer)
                if not reply.keep:
                    link.close()
                took_ns = time.monotonic_ns() - began
                pause_ns = self.following.answered(bool(answer.get("endpoints")), took_ns)
                if pause_ns:
                    await asyncio.sleep(pause_ns / 1e9)
        except TimeoutError:
            log.say("discovery: no word in time")
            return End.SILENT
        except (StreamClosedError, OSError, ValueError) as problem:
            log.say(f"discovery: {type(problem).__name__} {problem}")
        except Exception:
            log.say_exception("discovery")
        finally:
            if link is not None:
                link.close()
        return End.FAILED

    async def _call(self, stream: IOStream) -> http.Reply:
        call = self.following.call(self.index())
        query = "" if call.after is None else f"?after={call.after}&wait_ms={call.wait_ms}"
        request = http.get(f"/api/targets{query}", f"{self.address[0]}:{self.address[1]}")
        return await asyncio.wait_for(_answer(stream, request), call.limit_ns / 1e9)


async def _answer(stream: IOStream, request: bytes) -> http.Reply:
    await stream.write(request)
    parser = http.ReplyParser()
    while True:
        try:
            data = await stream.read_bytes(64 * 1024, partial=True)
        except StreamClosedError:
            return parser.end()
        reply = parser.feed(data)
        if reply is not None:
            return reply
