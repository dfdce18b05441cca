"""Connections of health checks, and an aborted attempt, on real sockets without a node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from test_endings import UnacceptingServer

from puffinpost.balancing.events import AttemptResult
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.net.connection import Connection
from puffinpost.net.health_checker import MAX_CACHED_CONNECTIONS, HealthChecker
from puffinpost.net.stream import create_stream

PONG = b"PONG x0=0.5\r\n"
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class CheckRunner:
    """A health checker and its results, in order."""

    def __init__(self, timeout_ms: int = 5000) -> None:
        self.results: list[AttemptResult] = []
        self.completed = asyncio.Event()
        self.checker = HealthChecker(lambda: ("x0",), lambda: timeout_ms * 1_000_000, self._on_checked)

    def _on_checked(
        self, endpoint: int, result: AttemptResult, duration_ns: int, report: tuple[float, ...]
    ) -> None:
        self.results.append(result)
        self.completed.set()

    async def run_check(self, endpoint: int, address: tuple[str, int]) -> AttemptResult:
        self.completed.clear()
        self.checker.check(endpoint, address)
        await asyncio.wait_for(self.completed.wait(), 10)
        return self.results[-1]


async def start_server(serve: Serve) -> tuple[asyncio.Server, tuple[str, int]]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[:2]


def test_a_cached_connection_closed_by_the_endpoint_is_not_a_failed_check() -> None:
    """The endpoint closes the idle connection as the second check arrives, and the check is sent again."""
    requests = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        requests.append("first")
        writer.write(PONG)
        if await reader.readline():
            requests.append("second")
            writer.transport.abort()

    async def run() -> list[AttemptResult]:
        server, address = await start_server(serve)
        checks = CheckRunner()
        await checks.run_check(1, address)
        await checks.run_check(1, address)
        server.close()
        return checks.results

    assert asyncio.run(run()) == [AttemptResult.SERVED, AttemptResult.SERVED]
    assert requests == ["first", "second", "first"]


@pytest.mark.parametrize("included", [True, False])
def test_an_endpoint_that_starts_draining_while_a_check_connects_is_not_checked(included: bool) -> None:
    unaccepting = UnacceptingServer()

    async def run() -> AttemptResult:
        checks = CheckRunner()
        pending_check = asyncio.create_task(checks.run_check(1, ("127.0.0.1", unaccepting.port)))
        await asyncio.sleep(0)
        checks.checker.close_excluded(lambda endpoint: included)
        peer = await asyncio.to_thread(unaccepting.accept_pending)
        if included:
            assert await asyncio.to_thread(peer.read_line) == b"STATS\r\n"
            peer.send(PONG)
        else:
            assert await asyncio.to_thread(peer.wait_for_close) == "end" and peer.buffer == b""
        return await pending_check

    assert asyncio.run(run()) is (AttemptResult.SERVED if included else AttemptResult.SUPERSEDED)


def test_cached_connections_are_limited_and_closed_when_their_endpoints_are_excluded() -> None:
    """A fleet may have 90 endpoints, and the node has few descriptors for health checks."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_connections.add(writer)
        while await reader.readline():
            check_received.set()
            await answers_allowed.wait()
            writer.write(PONG)
        open_connections.discard(writer)
        writer.close()

    open_connections: set[asyncio.StreamWriter] = set()
    check_received, answers_allowed = asyncio.Event(), asyncio.Event()

    async def run() -> None:
        server, address = await start_server(serve)
        checks = CheckRunner()
        answers_allowed.set()
        for endpoint in range(3 * MAX_CACHED_CONNECTIONS):
            assert await checks.run_check(endpoint, address) is AttemptResult.SERVED
        while len(open_connections) > MAX_CACHED_CONNECTIONS:
            await asyncio.sleep(0.01)
        checks.checker.close_excluded(lambda endpoint: False)
        while open_connections:
            await asyncio.sleep(0.01)
        checks.checker.close_excluded(lambda endpoint: True)
        check_received.clear()
        answers_allowed.clear()
        pending_check = asyncio.create_task(checks.run_check(1, address))
        await check_received.wait()
        # The endpoint starts draining while the check is in flight.
        checks.checker.close_excluded(lambda endpoint: False)
        answers_allowed.set()
        assert await pending_check is AttemptResult.SERVED
        while open_connections:
            await asyncio.sleep(0.01)
        server.close()

    asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize(
    ("timeout_ms", "result"), [(100, AttemptResult.TIMEOUT), (2000, AttemptResult.SERVED)]
)
def test_a_check_times_out_after_the_dial_timeout(timeout_ms: int, result: AttemptResult) -> None:
    """The timeout is a setting: a fixed value that suited one site was too short for another's endpoints."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        await asyncio.sleep(0.4)
        writer.write(PONG)

    async def run() -> AttemptResult:
        server, address = await start_server(serve)
        actual = await CheckRunner(timeout_ms).run_check(1, address)
        server.close()
        return actual

    assert asyncio.run(run()) is result


class Stub:
    """Stands in for a coordinator, a session or an attempt."""

    exchange: Any

    def __getattr__(self, name: str) -> Any:
        return Stub()


@pytest.mark.parametrize("established", [False, True])
def test_an_unsent_request_is_dropped_when_its_attempt_is_aborted(established: bool) -> None:
    """The request counts as never sent. Client data on an established connection is still sent."""

    async def run() -> int:
        listener = socket.create_server(("127.0.0.1", 0))
        local = socket.create_connection(listener.getsockname())
        remote = listener.accept()[0]
        local.setblocking(False)
        connection = Connection(create_stream(local))
        attempt: Any = Stub()
        attempt.exchange = Stub()
        attempt.exchange.established = established
        session: Any = Stub()
        upstream = PlatformUpstream(session, attempt, None)
        upstream.connection = connection
        connection.write(b"x" * 20_000_000)
        upstream.close()
        remote.setblocking(False)
        received = 0
        while data := await asyncio.get_running_loop().sock_recv(remote, 1 << 20):
            received += len(data)
        remote.close()
        listener.close()
        return received

    assert (asyncio.run(asyncio.wait_for(run(), 10)) == 20_000_000) is established
