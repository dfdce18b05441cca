"""Resumable MQTT sessions with any order of connection losses, resumptions, retries, answers and timers.

The coordinator, registry and MQTT frontend are real; connections are stand-ins that may be cut at any byte.
Invariants: each request has one final answer, at most one attempt is under way, lines are forwarded once
and in order, and memory stays within its limits.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from test_coordinator import CoordinatorHarness

from puffinpost.config import MqttConfig
from puffinpost.emulator.mqtt_device import MqttDevice
from puffinpost.frontends.mqtt import MqttConnection, MqttFrontend
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.resumption.limits import ResumptionLimits
from puffinpost.resumption.registry import SessionRegistry
from puffinpost.units import MS

LIMITS = ResumptionLimits(grace_ns=3000 * MS, sessions=4, messages=24, octets=16_384, total_octets=20_000)
OPEN = b"OPEN %016x 7f3a9c21e0b4d655 c=live-text,d=2000"


class StandInConnection:
    """Stands in for a ``Connection``: written bytes wait here until they are transferred or lost."""

    def __init__(self) -> None:
        self.output = b""
        self.closed = self.paused = False
        self.forward_target: Any = None
        self.peer = ("127.0.0.1", 1)

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.output += data

    def close(self, reset: bool = False) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed, self.output = True, b""

    def set_reading_paused(self, paused: bool) -> None:
        self.paused = paused

    def take(self, size: int) -> bytes:
        data, self.output = self.output[:size], self.output[size:]
        return data


class StandInConnector:
    """Records attempts; their connections are established by the state machine."""

    def __init__(self) -> None:
        self.upstreams: list[PlatformUpstream] = []

    def start(self, handler: Any) -> None:
        assert all(upstream.attempt.completed for upstream in self.upstreams), "two attempts under way"
        handler.connection = StandInConnection()
        self.upstreams.append(handler)


class ResumptionMachine(RuleBasedStateMachine):
    """One device, its connections, and the endpoint of its current attempt."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = CoordinatorHarness()
        coordinator = self.harness.coordinator
        self.registry = SessionRegistry(LIMITS, coordinator.counters.add)
        self.connector = StandInConnector()
        config = MqttConfig(("", 0), {"ada": "x"}, False, None, 60, 16)
        admission = ConnectionAdmission(100, coordinator.counters, lambda after, call: None)
        self.frontend = MqttFrontend(coordinator, config, self.connector, admission, self.registry)  # type: ignore[arg-type]
        self.device = MqttDevice("phone", qos=2)
        self.connection = StandInConnection()
        self.connection.closed = True
        self.mqtt_connection: MqttConnection | None = None
        self.in_transit = b""  # from the device to the node
        self.open_count = self.line_count = 0
        self.expected_lines: dict[int, list[bytes]] = {}  # lines not yet at the device, by request
        self.answer_counts: dict[bytes, int] = {}
        self.connect(True)

    # --- connections --------------------------------------------------------------------------------------

    @rule(closes=st.booleans())
    def connect(self, closes: bool) -> None:
        """Opens a new connection; the node may not have detected yet that the earlier one is lost."""
        if closes and self.mqtt_connection is not None and not self.connection.closed:
            self.connection.close()
            self.mqtt_connection.connection_lost(True)
        self.connection = StandInConnection()
        self.mqtt_connection = self.frontend.accept(self.connection)  # type: ignore[arg-type]
        self.in_transit = self.device.connect(username="ada", password=b"x")
        self.transfer(1000)
        assert self.device.connack is not None and self.device.connack.code == 0
        if not self.device.connack.session_present:
            self.device.subscribe()
            self.transfer(10**6)

    @precondition(lambda self: not self.connection.closed)
    @rule(up_bytes=st.integers(0, 400), down_bytes=st.integers(0, 400))
    def lose_connection(self, up_bytes: int, down_bytes: int) -> None:
        """Cuts the connection after so many more bytes are transferred."""
        self.transfer(up_bytes, down_bytes)
        if not self.connection.closed:
            self.connection.close()
            assert self.mqtt_connection is not None
            self.mqtt_connection.connection_lost(True)
        self.connection.output, self.in_transit = b"", b""
        self.device.connack = None

    @rule(up_bytes=st.integers(0, 3000), down_bytes=st.integers(0, 3000))
    def transfer_some(self, up_bytes: int, down_bytes: int) -> None:
        self.transfer(up_bytes, down_bytes)

    def transfer(self, up_bytes: int, down_bytes: int | None = None) -> None:
        assert self.mqtt_connection is not None
        for _ in range(3):
            self.in_transit += self.device.take_output()
            if self.in_transit and up_bytes and not self.connection.closed and not self.connection.paused:
                chunk, self.in_transit = self.in_transit[:up_bytes], self.in_transit[up_bytes:]
                self.mqtt_connection.data_received(chunk)
            self.device.feed(self.connection.take(up_bytes if down_bytes is None else down_bytes))
        self.check_received()

    # --- the device ---------------------------------------------------------------------------------

    @precondition(lambda self: self.device.connack is not None and not self._has_open_request)
    @rule()
    def open(self) -> None:
        self.open_count += 1
        self.device.publish("open", OPEN % self.open_count, correlation_data=b"%d" % self.open_count)

    @precondition(lambda self: self.open_count > 0 and self._has_open_request)
    @rule()
    def retry_open(self) -> None:
        """The device retries while its first attempt is still under way."""
        self.device.publish("open", OPEN % self.open_count, correlation_data=b"%d" % self.open_count)

    @property
    def _has_open_request(self) -> bool:
        return self.open_count > 0 and b"%d" % self.open_count not in self.answer_counts

    @precondition(lambda self: self.open_count > 0)
    @rule(count=st.integers(1, 6))
    def send_lines(self, count: int) -> None:
        for _ in range(count):
            self.line_count += 1
            line = b"%d up %d" % (self.open_count, self.line_count)
            self.device.publish("up", line)

    # --- the endpoint ----------------------------------------------------------------------------

    @property
    def upstream(self) -> PlatformUpstream | None:
        active = [upstream for upstream in self.connector.upstreams if not upstream.attempt.completed]
        return active[0] if active else None

    @precondition(lambda self: self.upstream is not None and not self.upstream.attempt.exchange.established)
    @rule(line=st.sampled_from([b"UP 7\r\n", b"UP 7\r\n", b"BUSY\r\n", b"ERR\r\n"]))
    def answer(self, line: bytes) -> None:
        upstream = self.upstream
        assert upstream is not None
        if not upstream.attempt.written:
            upstream.on_connected()
            upstream.on_flushed()
        upstream.data_received(line)

    @precondition(lambda self: self.upstream is not None and self.upstream.attempt.exchange.established)
    @rule(count=st.integers(1, 30), split_at=st.integers(1, 50))
    def receive_from_endpoint(self, count: int, split_at: int) -> None:
        """Receives lines from the endpoint, each in two parts, unless reading from it is paused."""
        upstream = self.upstream
        assert upstream is not None
        number = self._number(upstream)
        for _ in range(count):
            assert upstream.connection is not None
            if upstream.connection.paused:  # type: ignore[attr-defined]
                return
            line = b"%d down %d" % (number, len(self.expected_lines.setdefault(number, [])))
            self.expected_lines[number].append(line)
            upstream.data_received((line + b"\r\n")[:split_at])
            upstream.data_received((line + b"\r\n")[split_at:])

    @precondition(lambda self: self.upstream is not None and self.upstream.attempt.exchange.established)
    @rule(line=st.sampled_from([b"BYE\r\n", b"MOVE\r\n", b""]))
    def close_upstream(self, line: bytes) -> None:
        upstream = self.upstream
        assert upstream is not None
        if line:
            upstream.data_received(line)
        upstream.connection_lost(not line)

    @rule(status=st.sampled_from(["draining", "up"]))
    def update_discovery(self, status: str) -> None:
        self.harness.update_endpoints(status, "up")

    @rule(span_ms=st.sampled_from([1, 100, 600, 2500, 4000]))
    def advance_clock(self, span_ms: int) -> None:
        self.harness.run(span_ms)
        for session in self.registry.expire(self.harness.now()):
            session.owner.on_session_expired()
            # Its unacknowledged messages are dropped with it, and the same id now denotes a new request.
            self.expected_lines.clear()
            self.answer_counts.pop(b"%d" % self.open_count, None)

    # --- invariants ---------------------------------------------------------------------------------

    def _number(self, upstream: PlatformUpstream) -> int:
        return upstream.attempt.exchange.request.request_id or 0

    def check_received(self) -> None:
        """Checks what the device has received since the last call."""
        for topic, payload, properties in self.device.received:
            if topic == "answer":
                correlation_data = properties["correlation_data"]
                self.answer_counts[correlation_data] = self.answer_counts.get(correlation_data, 0) + 1
            elif topic == "down":
                number = int(payload.split()[0])
                expected = self.expected_lines[number]
                assert expected and payload == expected.pop(0), "a line was lost, doubled or out of order"
                self.expected_lines[number] = expected
        self.device.received.clear()

    @invariant()
    def lines_to_an_endpoint_are_forwarded_once_and_in_order(self) -> None:
        for upstream in self.connector.upstreams:
            written = upstream.connection.output.split(b"\r\n")[:-1]  # type: ignore[union-attr]
            if written:
                assert written[0].startswith(b"OPEN ")
                numbers = [int(line.split()[-1]) for line in written[1:]]
                assert numbers == list(range(numbers[0], numbers[0] + len(numbers))) if numbers else True

    @invariant()
    def memory_is_bounded(self) -> None:
        outboxes = [session.outbox for session in self.registry.sessions.values()]
        assert self.registry.octets == sum(outbox.octets for outbox in outboxes) <= LIMITS.total_octets
        # One line may exceed the limit, followed by an end notification and an answer.
        assert all(len(outbox) <= LIMITS.messages + 3 for outbox in outboxes)
        assert len(self.registry.sessions) <= LIMITS.sessions

    @invariant()
    def each_request_has_one_answer(self) -> None:
        assert all(count == 1 for count in self.answer_counts.values()), self.answer_counts

    def teardown(self) -> None:
        """The device resumes a last time, after which nothing stays unacknowledged."""
        self.connect(True)
        for _ in range(40):
            self.transfer(10**6)
        self.harness.run(10_000)
        for _ in range(10):
            self.transfer(10**6)
        self.each_request_has_one_answer()
        assert self.harness.coordinator.counters.get("exceptions") == 0
        session = next(iter(self.registry.sessions.values()))
        assert len(session.outbox) == 0 and self.registry.octets == 0
        assert session.owner.exchange is None or session.owner.exchange.established


@pytest.mark.parametrize("established", [False, True])
def test_an_exception_ends_the_request_with_its_answer_and_frees_the_endpoint(established: bool) -> None:
    machine = ResumptionMachine()
    machine.open()
    machine.transfer(10**6)
    if established:
        machine.answer(b"UP 7\r\n")
        machine.transfer(10**6)
    mqtt_connection, upstream = machine.mqtt_connection, machine.upstream
    assert mqtt_connection is not None and upstream is not None and mqtt_connection.session is not None
    mqtt_connection.on_internal_error()  # as a connection does whose receiver has raised
    assert (
        upstream.attempt.completed and machine.connection.closed and not machine.harness.coordinator.exchanges
    )
    machine.connect(False)
    machine.transfer(10**6)
    assert machine.device.connack is not None and machine.device.connack.session_present
    assert machine.answer_counts == {b"1": 1}
    machine.open()
    machine.transfer(10**6)
    assert machine.upstream is not None and machine.upstream is not upstream


ResumptionMachine.TestCase.settings = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
TestResumption = ResumptionMachine.TestCase
