"""Watches discovery: one long poll after another on one connection, at the address that is in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from puffinpost import inventory, log
from puffinpost.net.link import dial
from puffinpost.protocol import http

WAIT_MS = 20_000
OVERRUN = 503  # a call that waited too long in turn
CONNECT_S = 2.0
# Guards against a discovery that has vanished without a word: a call that outlasts its wait by this fails.
# What it had to tell counts as told 2 s after the wait, so there must be time left for another call.
OVERTIME_S = 1.0
GOES_ON_S = 0.2  # a watch goes on where the next call comes within this of the last answer (the protocol page)
WHOLE_S = 2.5  # for the whole list, which is answered in turn: after 2 s discovery gives up by itself


class Watch:
    """Calls discovery from when it is told to start until a call fails; then it waits to be told again.

    A watch is never left between an answer and the next call, only by a call that failed.
    """

    def __init__(self, address: tuple[str, int], index: Callable[[], int],
                 told: Callable[[dict[str, Any]], None], failed: Callable[[], None],
                 shares: bool = False) -> None:
        self.address = address
        self.index = index
        self.told = told
        self.failed = failed
        # Guards against a discovery that counts anew, or that another one has taken the place of: what is
        # newer than a version of the old one's would be waited for in vain. The whole list starts over. So it
        # does at the start: a watch would tell only of what is newer than what this node was started with.
        # In a fleet that has to share its calls out that is enough, and half the calls.
        self._whole = not shares
        self.shares = shares
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to watch, unless a watch goes on already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    def redirect(self, address: tuple[str, int]) -> None:
        """Leaves an address for another, which is asked at once and for the whole list.

        The call that was out is dropped unanswered: what it would have told, the list holds.
        """
        if address != self.address:
            self.address, self._whole = address, True
            if self._task is not None:
                self._task.cancel()
                self._task = None
        self.start()

    async def _run(self) -> None:
        overrun = await self._watch()
        # One that is overrun counts on as before, and a whole list costs it more.
        self._task, self._whole = None, self._whole or not (self.shares and overrun)
        self.failed()

    async def _watch(self) -> bool:
        """Calls until one fails; whether that was for want of discovery's time."""
        link = await dial(self.address, CONNECT_S)
        try:
            if link is None:
                log.say("discovery: no connection")
                return False
            while True:
                wait_ms = 0 if self._whole else WAIT_MS
                path = "/api/targets" + (f"?after={self.index()}&wait_ms={wait_ms}" if wait_ms else "")
                call = self._call(link.stream, http.get(path, f"{self.address[0]}:{self.address[1]}"))
                limit = wait_ms / 1000 + OVERTIME_S if wait_ms else WHOLE_S
                reply = await asyncio.wait_for(call, limit)
                if reply.status != 200:
                    log.say(f"discovery: status {reply.status}")
                    return reply.status == OVERRUN
                self.told(inventory.parse(reply.body))
                self._whole = False
                # The next call goes out at once. Guards the drain rule: for `GOES_ON_S` after an answer what
                # changes counts as told, though nobody watches; who rests here learns of it when it is late.
                if not reply.keep or link.stream.closed():
                    link.close()
                    link = await dial(self.address, CONNECT_S)
                    if link is None:
                        return False
        except (TimeoutError, StreamClosedError, OSError, ValueError) as problem:
            log.say(f"discovery: {type(problem).__name__} {problem}")
        except Exception:
            log.say_exception("discovery")
        finally:
            if link is not None:
                link.close()
        return False

    async def _call(self, stream: IOStream, request: bytes) -> http.Reply:
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
