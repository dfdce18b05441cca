"""Probes: ``STATS`` to a transcriber, on a connection that is kept for the next one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from puffinpost import log
from puffinpost.interface import Result, ServerId
from puffinpost.net.link import Link, dial
from puffinpost.protocol import lines

TIMEOUT_S = 0.25
Done = Callable[[ServerId, Result, int, tuple[float, ...]], None]


class Prober:
    """Keeps a connection for each transcriber that is probed. The decisions send one probe at a time."""

    def __init__(self, fields: Callable[[], tuple[str, ...]], done: Done) -> None:
        self.fields = fields
        self.done = done
        self._links: dict[ServerId, tuple[tuple[str, int], Link]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def probe(self, server: ServerId, address: tuple[str, int]) -> None:
        """Sends a probe; ``done`` is called once."""
        task = asyncio.get_running_loop().create_task(self._run(server, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def forget(self, keep: Callable[[ServerId], bool]) -> None:
        """Closes the connections to transcribers that are no longer of interest."""
        for server in [server for server in self._links if not keep(server)]:
            self._links.pop(server)[1].close()

    async def _run(self, server: ServerId, address: tuple[str, int]) -> None:
        began = time.monotonic_ns()
        result = Result.ERROR
        report: tuple[float, ...] = ()
        try:
            result, report = await asyncio.wait_for(self._ask(server, address), TIMEOUT_S)
        except TimeoutError:
            result = Result.TIMEOUT
        except (StreamClosedError, OSError, lines.LineError):
            result = Result.RESET
        except Exception:
            log.say_exception("probe")
        finally:
            if result is not Result.SERVED:
                # Guards against an answer that comes late and would be taken for the next one's.
                _, link = self._links.pop(server, (None, None))
                if link is not None:
                    link.close()
            self.done(server, result, time.monotonic_ns() - began, report)

    async def _ask(self, server: ServerId, address: tuple[str, int]) -> tuple[Result, tuple[float, ...]]:
        kept, link = self._links.get(server, (None, None))
        if link is not None and (kept != address or link.stream.closed()):
            link.close()
            link = None
        if link is None:
            link = await dial(address, TIMEOUT_S)
            if link is None:
                return Result.CONNECT_FAILED, ()
            # Guards against a transcriber that closes an idle connection: without this the end is unseen.
            link.stream.set_close_callback(lambda: None)
            self._links[server] = address, link
        link.write(lines.STATS)
        line = await link.stream.read_until(b"\n", max_bytes=lines.LONGEST_LINE)
        word = lines.word_of(line)
        if word is lines.Word.PONG:
            return Result.SERVED, lines.report_of(line, self.fields())
        return (Result.REJECTED if word is lines.Word.BUSY else Result.ERROR), ()
