"""Checks the drain rule in whole fleets on a virtual clock, and with real calls to discovery."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shlex
import socket
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace

import pytest
from balancer_harness import BALANCER_SETTINGS
from conftest import Deployment
from stand_ins import SETTINGS, NodeProcess, SocketPeer, StandInDiscovery, StandInEndpoint
from test_node import OPEN_LINE, accept_attempt, with_new_id
from test_reload import is_migrated

from puffinpost.balancing.poll_schedule import PollSchedule
from puffinpost.discovery.endpoint_list import EndpointList
from puffinpost.discovery.watch import MIN_CALL_INTERVAL_NS, CallFailure, DiscoveryCall, WatchState
from puffinpost.emulator.fleet.clock import MS, S
from puffinpost.emulator.fleet.discovery import PendingCall
from puffinpost.emulator.fleet.drain_rule import WATCH_LINGER_NS, DrainRule
from puffinpost.emulator.fleet.environment import DEFAULT_OPTIONS, FleetFault, FleetOptions
from puffinpost.emulator.fleet.fleet import Fleet
from puffinpost.emulator.fleet.poller import Poller
from puffinpost.net.discovery_client import DiscoveryClient

CHUNKS = 10
WATCH_WAIT_NS = 20 * S


def fleet_size(seed: int) -> int:
    return 200 if seed % 100 == 99 else 40 if seed % 20 == 19 else 2 + seed % 9


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_no_node_sends_requests_to_drained_endpoints(chunk: int) -> None:
    requests_sent_count = 0
    for seed in range(chunk, 500, CHUNKS):
        fleet = Fleet(seed, fleet_size(seed)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (
            seed,
            fleet.fault,
            fleet.rule.violations[:3],
        )
        requests_sent_count += fleet.rule.requests_sent
    assert requests_sent_count > 5000


def test_a_thousand_nodes_keep_the_drain_rule() -> None:
    fleet = Fleet(2, 1000, FleetOptions(span_s=12)).run()
    assert fleet.rule.violations == [] and fleet.rule.requests_sent > 2000


@pytest.mark.parametrize("chunk", range(4))
def test_muted_watches_are_reopened_in_time(chunk: int) -> None:
    """All watches fall silent at the same moment, and then the whole fleet calls discovery again."""
    for seed in range(chunk, 40, 4):
        fleet = Fleet(seed, fleet_size(seed), FleetOptions(span_s=30, fault=FleetFault.CALLS_MUTED)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (seed, fleet.rule.violations[:3])


@pytest.mark.parametrize("chunk", range(4))
def test_processes_restarted_after_a_kill_keep_the_drain_rule(chunk: int) -> None:
    """The new processes start with the list of the old ones, which has changed in the meantime."""
    for seed in range(chunk, 100, 4):
        fleet = Fleet(seed, fleet_size(seed), FleetOptions(span_s=25, fault=FleetFault.NODES_KILLED)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (seed, fleet.rule.violations[:3])


COSTLY_SNAPSHOTS = FleetOptions(
    fault=FleetFault.DISCOVERY_REPLACED, span_s=20, snapshot_cost_factor=40.0, watch_round_s=0.2
)


@pytest.mark.parametrize("seed", range(7))
def test_a_redirect_is_in_time_where_full_lists_are_costly(seed: int) -> None:
    """Full lists for all nodes take discovery 8 s, but its changes count as known 4 s after the signal."""
    fleet = Fleet(seed, 200 if seed % 2 else 100, COSTLY_SNAPSHOTS).run()
    assert fleet.rule.violations == [] and fleet.extra_answers == 0 and fleet.rule.requests_sent > 300


def test_full_lists_for_all_nodes_after_a_redirect_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def request_full_list(state: WatchState) -> None:
        state.needs_full_list, state.index_uncertain, state.recheck_ns = True, False, None

    monkeypatch.setattr(WatchState, "on_redirect", request_full_list)
    assert Fleet(2, 100, COSTLY_SNAPSHOTS).run().rule.violations


def violates(seeds: range, options: FleetOptions = DEFAULT_OPTIONS) -> bool:
    return any(Fleet(seed, fleet_size(seed), options).run().rule.violations for seed in seeds)


def test_a_process_that_serves_with_its_predecessors_list_is_detected() -> None:
    assert violates(
        range(24, 25), FleetOptions(fault=FleetFault.NODES_KILLED, span_s=25, waits_for_list=False)
    )


def test_a_pause_after_an_answer_is_detected() -> None:
    assert violates(range(8), FleetOptions(pause_after_answer_s=5.0))


def test_a_missing_check_before_the_first_byte_is_detected() -> None:
    assert violates(range(30, 50), FleetOptions(checks_before_write=False))


def test_a_long_backoff_after_a_failure_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was before the limit of 6 s: a failed call was delayed by up to twice the polling time limit."""
    monkeypatch.setattr(
        PollSchedule, "span_ns", lambda schedule, fails: schedule.poll_within_ns if fails else 0
    )
    assert violates(range(20))


def test_a_long_backoff_after_a_refused_connection_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Four times the polling time limit, as after a failed call, though no call was made."""
    call_failed = Poller.call_failed

    def fail_with_long_backoff(poller: Poller, watch: int, end: CallFailure) -> None:
        call_failed(poller, watch, end)
        if end is CallFailure.UNREACHABLE and not poller.watch:
            poller.coordinator.balancer.poll_schedule.next_poll_ns = (
                poller.clock.now_ns + 4 * poller.coordinator.settings.poll_within_ns
            )

    monkeypatch.setattr(Poller, "call_failed", fail_with_long_backoff)
    assert violates(range(40))


def test_a_late_answer_without_a_next_call_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A list that arrives on an abandoned call is an answer: the balancer then waits for the next one."""
    poll = Poller.poll
    monkeypatch.setattr(Poller, "poll", lambda poller: None if poller.handling_late_answer else poll(poller))
    assert {it.node for it in fleet_with_late_answer().rule.violations} == {0}
    monkeypatch.undo()
    assert fleet_with_late_answer().rule.violations == []
    assert Fleet(23, 7, FleetOptions(span_s=35)).run().rule.violations == []


def fleet_with_late_answer() -> Fleet:
    """At 5 s node 0 backs off: it abandoned a call, and the next one failed. Then the first is answered."""
    fleet = Fleet(1, 40, FleetOptions(span_s=25, fault=FleetFault.NONE))
    poller = fleet.nodes[0].poller

    def back_off() -> None:
        poller.discovery.close_calls_of(0)
        poller.watch, poller.pending = 0, None
        call = DiscoveryCall(None, 0, S)
        pending = PendingCall(0, call, lambda end: poller.call_ended(-1, 0, end, pending))
        poller.discovery.accept(pending)
        poller.coordinator.endpoint_list_failed()

    fleet.clock.call_later(5 * S, back_off)
    return fleet.run()


def started_rule(poll_within_s: int = 10) -> DrainRule:
    rule = DrainRule()
    rule.node_started(1, 0, poll_within_s * S)
    return rule


def test_a_written_answer_counts_as_known() -> None:
    rule = started_rule()
    rule.call_received(1, WATCH_WAIT_NS, S)
    rule.endpoint_changed("a", False, 2 * S)
    rule.answer_written(1, 1, 3 * S)
    rule.request_sent(1, "a", 3 * S + 550 * MS)
    rule.request_sent(1, "b", 9 * S)
    assert rule.violations == []
    rule.request_sent(1, "a", 3 * S + 551 * MS)
    assert [(it.endpoint, it.late_ns) for it in rule.violations] == [("a", 551 * MS)]


@pytest.mark.parametrize(("after_ms", "is_violation"), [(199, True), (200, False)])
def test_a_watch_is_continuous_for_a_while_after_its_answer(after_ms: int, is_violation: bool) -> None:
    rule = started_rule()
    rule.call_received(1, WATCH_WAIT_NS, S)
    rule.answer_written(1, 0, 2 * S)
    rule.endpoint_changed("a", False, 2 * S + after_ms * MS)
    rule.request_sent(1, "a", 4 * S)
    assert (rule.violations != []) is is_violation


@pytest.mark.parametrize(("wait_ns", "notified_s"), [(WATCH_WAIT_NS, 23), (0, 7)])
def test_a_change_that_does_not_arrive_counts_as_known_in_the_end(wait_ns: int, notified_s: int) -> None:
    rule = started_rule()
    rule.call_received(1, wait_ns, S)
    rule.endpoint_changed("a", False, 2 * S)
    rule.request_sent(1, "a", notified_s * S + 550 * MS)
    assert rule.violations == []
    rule.request_sent(1, "a", notified_s * S + 551 * MS)
    assert len(rule.violations) == 1


@pytest.mark.parametrize(("failed", "notified_s"), [(True, 42), (False, 11)])
def test_a_node_that_does_not_poll_counts_as_notified(failed: bool, notified_s: int) -> None:
    rule = started_rule()
    if failed:
        rule.call_received(1, 0, S)
        rule.call_failed(1, 2 * S)
    rule.endpoint_changed("a", False, S)
    rule.request_sent(1, "a", notified_s * S + 550 * MS)
    assert rule.violations == []
    rule.request_sent(1, "a", notified_s * S + 551 * MS)
    assert len(rule.violations) == 1


def watch_state(nodes: int, poll_within_ns: int = 10 * S) -> WatchState:
    settings = replace(
        BALANCER_SETTINGS, balancer_count=nodes, poll_within_ns=poll_within_ns, endpoint_list_is_polled=True
    )
    return WatchState(PollSchedule(settings, random.Random(1)), has_startup_list=True)


def is_watch(call: DiscoveryCall, after: int, min_wait_ms: int = 1_500, max_wait_ms: int = 4_000) -> bool:
    return (
        call.after == after
        and min_wait_ms <= call.wait_ms <= max_wait_ms
        and (
            call.timeout_ns < call.wait_ms * MS + 2 * S  # what it misses counts as known then
        )
    )


def test_a_large_fleet_watches_after_a_failure_and_requests_the_full_list_later() -> None:
    state = watch_state(200)
    # The process admits clients once it has an answer.
    assert state.next_call(7, 0) == DiscoveryCall(7, 500, 3_000 * MS)
    assert state.on_answer(False, 500 * MS, 0) == 0 and state.next_call(7, 10 * S).after == 7
    assert is_watch(state.next_call(7, 0), 7)
    assert state.on_answer(True, 0, 0) == 0 and state.on_answer(False, 20 * S, 0) == 0
    assert state.on_answer(False, MS, 0) == MIN_CALL_INTERVAL_NS < WATCH_LINGER_NS
    assert not state.on_call_failed(CallFailure.OVERLOADED) and is_watch(state.next_call(7, 0), 7)
    for failure in (CallFailure.TIMED_OUT, CallFailure.UNREACHABLE, CallFailure.FAILED):
        assert state.on_call_failed(failure) is (failure is CallFailure.TIMED_OUT)
        call = state.next_call(7, 0)
        assert call.after == 7 and call.wait_ms <= 500
        state.on_answer(False, 500 * MS, 0)
        assert state.next_call(7, 0).after == 7 and state.next_call(7, 10 * S).after is None
        state.on_answer(True, MS, 10 * S)
        assert is_watch(state.next_call(8, 10 * S), 8)
    for interrupt in (lambda: state.on_call_failed(CallFailure.FAILED), state.on_redirect):
        interrupt()
        assert state.next_call(7, 0) == DiscoveryCall(7, 500, 3_000 * MS)
        state.on_answer(False, 500 * MS, 0, is_outdated=True)  # discovery has restarted its index
        assert state.next_call(7, 0).after is None
    state.on_redirect()
    state.on_answer(True, MS, 0)
    assert state.next_call(9, 0).after == 9 and state.next_call(9, 10 * S).after is None


def test_a_small_fleet_requests_the_full_list_after_a_failure() -> None:
    state = watch_state(20)
    assert state.next_call(7, 0) == DiscoveryCall(None, 0, 2_500 * MS)
    for failure in CallFailure:
        state.on_answer(True, MS, 0)
        assert is_watch(state.next_call(7, 0), 7)
        assert (
            state.on_call_failed(failure) is (failure is CallFailure.TIMED_OUT)
            and state.next_call(7, 0).after is None
        )


def test_a_local_agent_is_polled_continuously() -> None:
    """Its list counts as known at once, and calls to it cost nothing."""
    state = watch_state(200, poll_within_ns=0)
    assert state.next_call(7, 0).timeout_ns <= 500 * MS
    state.on_answer(True, MS, 0)
    assert is_watch(state.next_call(7, 0), 7, 0, 1_000) and state.next_call(7, 0).timeout_ns <= 1_500 * MS
    state.poll_schedule.start(S)
    assert state.poll_schedule.poll_due(S)
    for _ in range(9):
        state.poll_schedule.on_failure(S)
        assert not state.poll_schedule.poll_due(S) and state.poll_schedule.poll_due(S + 100 * MS)


def test_the_waits_of_a_fleet_do_not_end_at_the_same_time() -> None:
    """All watches are answered at the same moment, and may also break at the same moment."""
    settings = replace(BALANCER_SETTINGS, balancer_count=200)
    states = [WatchState(PollSchedule(settings, random.Random(seed)), True) for seed in range(200)]
    assert all(state.on_answer(True, MS, 0) == 0 for state in states)
    waits = [state.next_call(7, 0).wait_ms for state in states]
    assert max(sum(at <= wait < at + 500 for wait in waits) for at in range(1_500, 4_000, 500)) < 50


def entry(status: str, since_ms: int = 0) -> dict[str, object]:
    return {
        "name": "a",
        "address": "127.0.0.1:1",
        "zone": "z",
        "type": "k",
        "status": status,
        "since_ms": since_ms,
    }


@pytest.mark.parametrize("is_snapshot", [False, True])
@pytest.mark.parametrize("left_out", [False, True])
def test_an_outdated_discovery_after_a_redirect_does_not_undo_a_drain(
    left_out: bool, is_snapshot: bool
) -> None:
    endpoint_list = EndpointList(("z",), ("k",))
    endpoint_list.apply({"index": 3, "snapshot": True, "endpoints": [entry("up")]})
    entries = [] if left_out else [entry("draining")]
    endpoint_list.apply({"index": 4, "snapshot": True, "endpoints": entries})
    endpoint_list.discovery_changed = True
    endpoint_list.apply({"index": 900, "snapshot": is_snapshot, "endpoints": [entry("up")]})
    endpoint = endpoint_list.identify("a")
    assert not endpoint_list.accepts_new_work(endpoint)
    endpoint_list.apply({"index": 901, "snapshot": False, "endpoints": [entry("up", 5)]})
    assert endpoint_list.accepts_new_work(endpoint)


def test_the_next_call_follows_each_answer_within_the_watch_gap() -> None:
    """On real sockets, with the settings of two hundred nodes and a list that keeps changing at once."""
    gaps: list[float] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answered = 0.0
        for index in range(2, 9):
            await reader.readuntil(b"\r\n\r\n")
            gaps.append(time.monotonic() - answered)
            body = b'{"index":%d,"snapshot":false,"endpoints":[]}' % index
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            answered = time.monotonic()
        finished.set()
        writer.close()

    finished = asyncio.Event()

    async def run_scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = DiscoveryClient(
            server.sockets[0].getsockname()[:2],
            watch_state(200),
            lambda: 1,
            lambda answer: None,
            lambda: None,
        )
        client.start()
        await asyncio.wait_for(finished.wait(), 30)
        server.close()

    asyncio.run(run_scenario())
    assert max(gaps[1:7]) < WATCH_LINGER_NS / S


@pytest.mark.parametrize("is_incomplete", [False, True])
def test_a_call_without_a_complete_answer_is_retried_and_a_late_answer_is_read(
    is_incomplete: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On real sockets. An incomplete answer is abandoned soon; a silent call stays open for a late answer."""
    monkeypatch.setattr(WatchState, "next_call", lambda it, index, now_ns: DiscoveryCall(None, 0, 300 * MS))
    monkeypatch.setattr("puffinpost.net.discovery_client.RESPONSE_BODY_TIMEOUT_NS", 100 * MS)
    body = b'{"index":1,"snapshot":true,"endpoints":[]}'
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    answers: list[object] = []
    ended: list[bool] = []

    async def run_scenario() -> None:
        second_call, late_answer = asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if second_call.is_set() or writers:
                second_call.set()
                await reader.read()
                writer.close()
                return
            writers.append(writer)
            if is_incomplete:
                writer.write(response[:50])
                ended.append(await reader.read() == b"")
                return
            await second_call.wait()
            writer.write(response)

        def handle_answer(answer: dict[str, object]) -> None:
            answers.append(answer)
            late_answer.set()

        writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = DiscoveryClient(
            server.sockets[0].getsockname()[:2], watch_state(2), lambda: 0, handle_answer, lambda: None
        )
        client.start()
        await asyncio.wait_for(second_call.wait(), 10)
        if not is_incomplete:
            await asyncio.wait_for(late_answer.wait(), 10)
        client.stop()
        server.close()

    asyncio.run(run_scenario())
    assert (
        (ended == [True] and answers == [])
        if is_incomplete
        else answers[0] == {"index": 1, "snapshot": True, "endpoints": []}
    )


@pytest.mark.parametrize("old_call_closed", [False, True])
def test_the_old_discovery_is_watched_until_the_redirect_or_its_end(old_call_closed: bool) -> None:
    """Nodes of a large fleet redirect at random times. An old discovery that closes is not called again."""

    async def run_scenario() -> list[str]:
        events: list[str] = []
        old_writers: list[asyncio.StreamWriter] = []
        event_added = asyncio.Event()

        async def start_discovery(name: str) -> asyncio.Server:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                events.append(name)
                event_added.set()
                if name == "old":
                    old_writers.append(writer)
                remaining_bytes = await reader.read()
                events.append(f"{name} closed{remaining_bytes.decode()}")
                writer.close()

            return await asyncio.start_server(serve, "127.0.0.1", 0)

        async def wait_for_event(event: str) -> None:
            while event not in events:
                event_added.clear()
                await asyncio.wait_for(asyncio.sleep(0.01), 10)

        old, new = await start_discovery("old"), await start_discovery("new")
        client = DiscoveryClient(
            old.sockets[0].getsockname()[:2], watch_state(200), lambda: 1, lambda answer: None, lambda: None
        )
        client.start()
        await wait_for_event("old")
        events_at_redirect: list[list[str]] = []
        after_ns = 3600 * S if old_call_closed else 200 * MS
        client.redirect(
            new.sockets[0].getsockname()[:2], after_ns, lambda: events_at_redirect.append(list(events))
        )
        if old_call_closed:
            # The same redirect again, while the first one is pending.
            client.redirect(new.sockets[0].getsockname()[:2], after_ns)
            old_writers[0].close()
        await wait_for_event("new")
        assert events_at_redirect in ([["old"]], [["old", "old closed"]] if old_call_closed else [["old"]])
        client.stop()
        await wait_for_event("old closed")
        old.close()
        new.close()
        return events

    assert {"old", "new", "old closed"} <= set(asyncio.run(asyncio.wait_for(run_scenario(), 10)))


def test_pushed_lists_are_polled_from_the_local_agent(deployment: Deployment) -> None:
    """The balancer does not poll if lists are pushed, so with real sockets the node has to fetch them."""
    node = deployment.start(settings={"Discovery": "pushed"})
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    endpoint, peer = accept_attempt(deployment.endpoints)
    peer.read_line()
    peer.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    assert isinstance(endpoint, StandInEndpoint) and SETTINGS["Discovery"] == "on_request"
    deployment.discovery.set_endpoint(
        f"s-{deployment.endpoints.index(endpoint)}", endpoint.address, "draining"
    )
    assert is_migrated(client)


class RecordedCalls(list[int]):
    """The received calls; each is also reported to a recorder."""

    def __init__(self, record: Callable[..., None]) -> None:
        super().__init__()
        self.record = record

    def append(self, after: int) -> None:
        super().append(after)
        self.record("call_received", 1, WATCH_WAIT_NS)


class RecordingDiscovery(StandInDiscovery):
    """A discovery and two endpoints that report to the drain rule what they observe of one real process."""

    def __init__(self) -> None:
        self.rule, self.lock = started_rule(), threading.Lock()
        self.endpoints_by_name = {f"s-{number}": StandInEndpoint() for number in range(2)}
        self.peers: list[SocketPeer] = []
        super().__init__()
        self.polled_versions = RecordedCalls(self.record)
        for name, endpoint in self.endpoints_by_name.items():
            threading.Thread(target=self.accept_attempts, args=(name, endpoint), daemon=True).start()

    def record(self, event: str, *arguments: object) -> None:
        with self.lock:
            getattr(self.rule, event)(*arguments, time.monotonic_ns())

    def set_status(self, name: str, status: str) -> None:
        self.record("endpoint_changed", name, status == "up")
        self.set_endpoint(name, self.endpoints_by_name[name].address, status)

    def encode_reply(self, body: bytes) -> list[bytes]:
        with self.lock:
            last_change = self.rule.changes[-1].number if self.rule.changes else 0
            self.rule.answer_written(1, last_change, time.monotonic_ns())
        return super().encode_reply(body)

    def accept_attempts(self, name: str, endpoint: StandInEndpoint) -> None:
        with contextlib.suppress(OSError):  # the listener is closed
            while True:
                self.peers.append(peer := endpoint.accept())
                # An attempt that is superseded while it connects ends without a line.
                with contextlib.suppress(EOFError, OSError):
                    peer.read_line()
                    self.record("request_sent", 1, name)
                    peer.send(b"UP 1\r\n")


PAUSE_SCRIPT = (
    "from puffinpost.discovery.watch import WatchState; answered = WatchState.on_answer; "
    "WatchState.on_answer = lambda *arguments: (answered(*arguments), 3_000_000_000)[1]; "
    "from puffinpost.__main__ import main; raise SystemExit(main())"
)


@pytest.mark.parametrize("pause_injected", [False, True])
def test_a_real_process_keeps_the_drain_rule_and_an_injected_pause_is_detected(
    deployment: Deployment, pause_injected: bool
) -> None:
    discovery = RecordingDiscovery()
    deployment.discovery = discovery
    for name in discovery.endpoints_by_name:
        discovery.set_status(name, "up")
        socket.create_connection(("127.0.0.1", discovery.endpoints_by_name[name].port)).close()
    shell_command = f"exec {sys.executable} -c {shlex.quote(PAUSE_SCRIPT)}" if pause_injected else ""
    rules = {**SETTINGS["Rules"], "AskWithinNs": 10 * S}
    node = NodeProcess(
        deployment.folder, discovery, settings={"FleetSize": 21, "Rules": rules}, shell_command=shell_command
    )
    deployment.nodes.append(node)
    discovery.wait_for_polls(1)
    clients = []
    for turn in range(6):
        draining, remaining = ("s-0", "s-1") if turn % 2 else ("s-1", "s-0")
        discovery.set_status(remaining, "up")
        time.sleep(0.05)  # the next change follows just after the answer to this one
        discovery.set_status(draining, "draining")
        for _ in range(24):
            clients.append(node.connect(with_new_id(OPEN_LINE % 500)))
            time.sleep(0.03)
    assert discovery.rule.requests_sent > 60
    assert (discovery.rule.violations != []) is pause_injected, discovery.rule.violations
