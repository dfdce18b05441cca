"""Connections of health checks, and an aborted attempt: real sockets, without a node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from test_lifecycle_races import UnacceptingEndpoint

from puffinpost.balancing.events import AttemptResult
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.net.connection import Connection
from puffinpost.net.health_checker import MAX_CACHED_CONNECTIONS, HealthChecker
from puffinpost.net.stream import create_stream

PONG = b"PONG x0=0.5\r\n"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Checks:
    """A health checker and its results, in order."""

    def __init__(self, limit_ms: int = 5000) -> None:
        self.results: list[AttemptResult] = []
        self.told = asyncio.Event()
        self.checker = HealthChecker(lambda: ("x0",), lambda: limit_ms * 1_000_000, self._done)

    def _done(self, server: int, result: AttemptResult, took_ns: int, report: tuple[float, ...]) -> None:
        self.results.append(result)
        self.told.set()

    async def ask(self, server: int, address: tuple[str, int]) -> AttemptResult:
        self.told.clear()
        self.checker.check(server, address)
        await asyncio.wait_for(self.told.wait(), 10)
        return self.results[-1]


async def listening(serve: Serve) -> tuple[asyncio.Server, tuple[str, int]]:
    made = await asyncio.start_server(serve, "127.0.0.1", 0)
    return made, made.sockets[0].getsockname()[:2]


def test_a_cached_connection_closed_by_the_endpoint_is_not_a_failed_check() -> None:
    """It closes idle ones: the second probe's line meets that end, and is asked anew."""
    asked = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        asked.append("first")
        writer.write(PONG)
        if await reader.readline():
            asked.append("second")
            writer.transport.abort()

    async def play() -> list[AttemptResult]:
        made, address = await listening(serve)
        probes = Checks()
        await probes.ask(1, address)
        await probes.ask(1, address)
        made.close()
        return probes.results

    assert asyncio.run(play()) == [AttemptResult.SERVED, AttemptResult.SERVED]
    assert asked == ["first", "second", "first"]


@pytest.mark.parametrize("wanted", [True, False])
def test_an_endpoint_that_starts_draining_while_a_check_connects_is_not_checked(wanted: bool) -> None:
    held = UnacceptingEndpoint()

    async def play() -> AttemptResult:
        probes = Checks()
        asked = asyncio.create_task(probes.ask(1, ("127.0.0.1", held.port)))
        await asyncio.sleep(0)
        probes.checker.close_unwanted(lambda server: wanted)
        peer = await asyncio.to_thread(held.accept_pending)
        if wanted:
            assert await asyncio.to_thread(peer.read_line) == b"STATS\r\n"
            peer.send(PONG)
        else:
            assert await asyncio.to_thread(peer.wait_for_close) == "end" and peer.buffer == b""
        return await asked

    assert asyncio.run(play()) is (AttemptResult.SERVED if wanted else AttemptResult.SUPERSEDED)


def test_cached_connections_are_limited() -> None:
    """A fleet may have ninety transcribers, and the descriptors are counted."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_now.add(writer)
        while await reader.readline():
            asked.set()
            await answers.wait()
            writer.write(PONG)
        open_now.discard(writer)
        writer.close()

    open_now: set[asyncio.StreamWriter] = set()
    asked, answers = asyncio.Event(), asyncio.Event()

    async def play() -> None:
        made, address = await listening(serve)
        probes = Checks()
        answers.set()
        for server in range(3 * MAX_CACHED_CONNECTIONS):
            assert await probes.ask(server, address) is AttemptResult.SERVED
        while len(open_now) > MAX_CACHED_CONNECTIONS:
            await asyncio.sleep(0.01)
        probes.checker.close_unwanted(lambda server: False)
        while open_now:
            await asyncio.sleep(0.01)
        probes.checker.close_unwanted(lambda server: True)
        asked.clear()
        answers.clear()
        out = asyncio.create_task(probes.ask(1, address))
        await asked.wait()
        probes.checker.close_unwanted(lambda server: False)  # it is told to drain while the probe is out
        answers.set()
        assert await out is AttemptResult.SERVED
        while open_now:
            await asyncio.sleep(0.01)
        made.close()

    asyncio.run(asyncio.wait_for(play(), 20))


@pytest.mark.parametrize(("limit_ms", "result"), [(100, AttemptResult.TIMEOUT), (2000, AttemptResult.SERVED)])
def test_a_check_times_out_after_the_dial_timeout(limit_ms: int, result: AttemptResult) -> None:
    """As the settings have it: what was one site's figure gave up on another's transcribers."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        await asyncio.sleep(0.4)
        writer.write(PONG)

    async def play() -> AttemptResult:
        made, address = await listening(serve)
        got = await Checks(limit_ms).ask(1, address)
        made.close()
        return got

    assert asyncio.run(play()) is result


class Stub:
    """What stands for a core, a session and a relay here."""

    exchange: Any

    def __getattr__(self, name: str) -> Any:
        return Stub()


@pytest.mark.parametrize("stands", [False, True])
def test_an_unsent_request_is_dropped_when_its_attempt_is_aborted(stands: bool) -> None:
    """It counts as never sent. What a client wrote on a connection that stands goes out."""

    async def play() -> int:
        server = socket.create_server(("127.0.0.1", 0))
        ours = socket.create_connection(server.getsockname())
        theirs = server.accept()[0]
        ours.setblocking(False)
        link = Connection(create_stream(ours))
        relay: Any = Stub()
        relay.exchange = Stub()
        relay.exchange.established = stands
        session: Any = Stub()
        side = PlatformUpstream(session, relay, None)
        side.connection = link
        link.write(b"x" * 20_000_000)
        side.close()
        theirs.setblocking(False)
        got = 0
        while data := await asyncio.get_running_loop().sock_recv(theirs, 1 << 20):
            got += len(data)
        theirs.close()
        server.close()
        return got

    assert (asyncio.run(asyncio.wait_for(play(), 10)) == 20_000_000) is stands
