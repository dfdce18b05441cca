"""Tests the link impairment: its decisions, and the proxy that applies them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from puffinpost.emulator.impairment import (
    LinkDirection,
    LinkProfile,
    OutageKind,
    OutageSchedule,
    ResetTrigger,
    parse_outage,
)
from puffinpost.emulator.link_proxy import LinkProxy
from puffinpost.emulator.local_deployment import free_port

ClientScript = Callable[[LinkProxy, int, list[asyncio.StreamWriter]], Awaitable[None]]


def test_a_link_direction_keeps_order_and_the_same_seed_gives_the_same_delays() -> None:
    profile = LinkProfile(delay_s=0.1, jitter_s=0.05, stall_probability=0.2, stall_s=1.0)
    departures = [LinkDirection(profile, "x").departure_time(0.0, 10) for _ in range(2)]
    assert departures[0] == departures[1]
    direction, other = LinkDirection(profile, "x"), LinkDirection(profile, "y")
    spaced_departures = [direction.departure_time(number * 0.01, 10) for number in range(500)]
    assert spaced_departures == sorted(spaced_departures) and spaced_departures != [
        other.departure_time(number * 0.01, 10) for number in range(500)
    ]
    jittered = LinkDirection(LinkProfile(delay_s=0.1, jitter_s=0.05), "x")
    delays = [jittered.departure_time(float(number), 10) - number for number in range(500)]
    assert 0.1 <= min(delays) < 0.105 and 0.145 < max(delays) <= 0.15
    stalling = LinkDirection(LinkProfile(stall_probability=0.2, stall_s=0.5), "x")
    stalled = sum(stalling.departure_time(float(number), 10) - number > 0 for number in range(1000))
    assert 150 < stalled < 250


def test_bandwidth_is_limited_and_unused_bandwidth_is_not_saved() -> None:
    direction = LinkDirection(LinkProfile(bytes_per_s=1000.0), "x")
    assert [direction.departure_time(0.0, 500) for _ in range(4)] == [0.5, 1.0, 1.5, 2.0]
    assert direction.departure_time(10.0, 500) == 10.5  # bandwidth unused in the meantime is not saved up


def test_a_reset_trigger_allows_exactly_its_byte_limit() -> None:
    trigger = ResetTrigger(LinkProfile(reset_after_bytes=100, reset_after_s=2.0), 5.0)
    assert (trigger.allow(60), trigger.exhausted, trigger.allow(60), trigger.reset_at) == (60, False, 40, 7.0)
    exact = ResetTrigger(LinkProfile(reset_after_bytes=100), 0.0)
    assert exact.allow(100) == 100 and exact.exhausted and exact.allow(1) == 0
    assert ResetTrigger(LinkProfile(), 0.0).allow(10**9) == 10**9


def test_outages_follow_their_schedule() -> None:
    outages = OutageSchedule(LinkProfile(outages=((2.0, 0.5), (1.0, 1.2))), 100.0)
    assert [outages.down_until(100.0 + at) for at in (0.9, 1.0, 2.1, 2.4, 2.6)] == [
        None,
        102.2,
        102.5,
        102.5,
        None,
    ]
    assert outages.next_outage_at(100.0) == 101.0 and outages.next_outage_at(102.0) is None
    assert parse_outage("2+0.5") == (2.0, 0.5)
    for invalid in ("2", "2+", "-1+1", "1+0", "a+b"):
        with pytest.raises(ValueError, match=r"BEGIN|could not convert"):
            parse_outage(invalid)


def run_with_proxy(profile: LinkProfile, client_script: ClientScript) -> None:
    """Runs a client script against a proxy in front of an echo server."""

    async def run() -> None:
        echo_writers: list[asyncio.StreamWriter] = []

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            echo_writers.append(writer)
            try:
                while data := await reader.read(4096):
                    writer.write(data)
            except ConnectionError:
                pass
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        proxy, port = LinkProxy(("127.0.0.1", server.sockets[0].getsockname()[1]), profile), free_port()
        proxy.listen(port, "127.0.0.1")
        await asyncio.wait_for(client_script(proxy, port, echo_writers), 20)
        proxy.stop()
        server.close()

    asyncio.run(run())


def test_the_proxy_delays_and_delivers_all_bytes_and_resets_connections_on_request() -> None:
    async def client_script(proxy: LinkProxy, port: int, echo_writers: list[asyncio.StreamWriter]) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        began, sent = time.monotonic(), bytes(range(256)) * 800
        writer.write(sent)
        assert await reader.readexactly(len(sent)) == sent and time.monotonic() - began >= 0.1
        proxy.reset_connections()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    run_with_proxy(LinkProfile(delay_s=0.05, jitter_s=0.01), client_script)


def test_a_silent_outage_delays_bytes_and_a_frozen_connection_never_delivers_them() -> None:
    async def client_script(proxy: LinkProxy, port: int, echo_writers: list[asyncio.StreamWriter]) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"before")
        assert await reader.readexactly(6) == b"before"
        proxy.take_down()
        writer.write(b"meanwhile")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)
        proxy.restore()
        assert await reader.readexactly(9) == b"meanwhile"
        proxy.freeze_connections()
        writer.write(b"lost")
        other = await asyncio.open_connection("127.0.0.1", port)
        other[1].write(b"new")
        assert await other[0].readexactly(3) == b"new"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.2)

    run_with_proxy(LinkProfile(), client_script)


def test_a_resetting_outage_rejects_new_connections() -> None:
    async def client_script(proxy: LinkProxy, port: int, echo_writers: list[asyncio.StreamWriter]) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"x")
        assert await reader.readexactly(1) == b"x"
        proxy.take_down()
        for _ in range(2):
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"x")
        proxy.restore()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"y")
        assert await reader.readexactly(1) == b"y"

    run_with_proxy(LinkProfile(outage_kind=OutageKind.RESET), client_script)


def test_a_connection_is_reset_after_its_byte_limit_and_a_close_is_forwarded() -> None:
    async def client_script(proxy: LinkProxy, port: int, echo_writers: list[asyncio.StreamWriter]) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"x" * 10)
        assert await reader.readexactly(10) == b"x" * 10
        writer.write(b"y" * 10)  # 20 bytes have passed, and these exceed the limit of 25
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(11)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"z")
        assert await reader.readexactly(1) == b"z"
        echo_writers[-1].close()
        assert await reader.read() == b""

    run_with_proxy(LinkProfile(reset_after_bytes=25), client_script)
