"""The drain rule, held against whole fleets on a virtual clock, and against the real calls to discovery."""

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
A_WATCH = 20 * S


def size(seed: int) -> int:
    return 200 if seed % 100 == 99 else 40 if seed % 20 == 19 else 2 + seed % 9


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_no_node_sends_requests_to_drained_endpoints(chunk: int) -> None:
    sends = 0
    for seed in range(chunk, 500, CHUNKS):
        fleet = Fleet(seed, size(seed)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (
            seed,
            fleet.fault,
            fleet.rule.violations[:3],
        )
        sends += fleet.rule.requests_sent
    assert sends > 5000


def test_a_thousand_nodes_keep_the_drain_rule() -> None:
    fleet = Fleet(2, 1000, FleetOptions(span_s=12)).run()
    assert fleet.rule.violations == [] and fleet.rule.requests_sent > 2000


@pytest.mark.parametrize("chunk", range(4))
def test_muted_watches_are_reopened_in_time(chunk: int) -> None:
    """All of them in one moment; then the whole fleet asks discovery anew."""
    for seed in range(chunk, 40, 4):
        fleet = Fleet(seed, size(seed), FleetOptions(span_s=30, fault=FleetFault.CALLS_MUTED)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (seed, fleet.rule.violations[:3])


@pytest.mark.parametrize("chunk", range(4))
def test_processes_restarted_after_a_kill_keep_the_drain_rule(chunk: int) -> None:
    """They are given the list that these had, and changes came meanwhile."""
    for seed in range(chunk, 100, 4):
        fleet = Fleet(seed, size(seed), FleetOptions(span_s=25, fault=FleetFault.NODES_KILLED)).run()
        assert fleet.rule.violations == [] and fleet.extra_answers == 0, (seed, fleet.rule.violations[:3])


COSTLY_SNAPSHOTS = FleetOptions(
    fault=FleetFault.DISCOVERY_REPLACED, span_s=20, snapshot_cost_factor=40.0, watch_round_s=0.2
)


@pytest.mark.parametrize("seed", range(7))
def test_a_redirect_is_in_time_where_full_lists_are_costly(seed: int) -> None:
    """Whole lists for all nodes take it 8 s, and what it has counts as told 4 s after the signal."""
    fleet = Fleet(seed, 200 if seed % 2 else 100, COSTLY_SNAPSHOTS).run()
    assert fleet.rule.violations == [] and fleet.extra_answers == 0 and fleet.rule.requests_sent > 300


def test_full_lists_for_all_nodes_after_a_redirect_are_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def redirected(machine: WatchState) -> None:
        machine.needs_full_list, machine.index_uncertain, machine.recheck_ns = True, False, None

    monkeypatch.setattr(WatchState, "on_redirect", redirected)
    assert Fleet(2, 100, COSTLY_SNAPSHOTS).run().rule.violations


def violates(seeds: range, planted: FleetOptions = DEFAULT_OPTIONS) -> bool:
    return any(Fleet(seed, size(seed), planted).run().rule.violations for seed in seeds)


def test_a_process_that_serves_with_its_predecessors_list_is_detected() -> None:
    assert violates(
        range(24, 25), FleetOptions(fault=FleetFault.NODES_KILLED, span_s=25, waits_for_list=False)
    )


def test_a_pause_after_an_answer_is_detected() -> None:
    assert violates(range(8), FleetOptions(pause_after_answer_s=5.0))


def test_a_missing_check_before_the_first_byte_is_detected() -> None:
    assert violates(range(30, 50), FleetOptions(checks_before_write=False))


def test_a_long_backoff_after_a_failure_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was before the 6 s: a call that failed was put off by up to twice the time to ask within."""
    monkeypatch.setattr(
        PollSchedule, "span_ns", lambda schedule, fails: schedule.poll_within_ns if fails else 0
    )
    assert violates(range(20))


def test_a_long_backoff_after_a_refused_connection_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Four times the time to ask within, as it is for a call that failed, where no call was made at all."""
    call_failed = Poller.call_failed

    def failed_with_long_rest(poller: Poller, watch: int, end: CallFailure) -> None:
        call_failed(poller, watch, end)
        if end is CallFailure.UNREACHABLE and not poller.watch:
            poller.coordinator.balancer.poll_schedule.next_poll_ns = (
                poller.clock.now_ns + 4 * poller.coordinator.settings.poll_within_ns
            )

    monkeypatch.setattr(Poller, "call_failed", failed_with_long_rest)
    assert violates(range(40))


def test_a_late_answer_without_a_next_call_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """What came on a call that was given up is a list: the decisions then wait for the next one."""
    poll = Poller.poll
    monkeypatch.setattr(Poller, "poll", lambda poller: None if poller.handling_late_answer else poll(poller))
    assert {it.node for it in fleet_with_late_answer().rule.violations} == {0}
    monkeypatch.undo()
    assert fleet_with_late_answer().rule.violations == []
    assert Fleet(23, 7, FleetOptions(span_s=35)).run().rule.violations == []


def fleet_with_late_answer() -> Fleet:
    """At 5 s a call of node 0 was given up, the next one failed, and it rests; then the first is answered."""
    fleet = Fleet(1, 40, FleetOptions(span_s=25, fault=FleetFault.NONE))
    poller = fleet.nodes[0].poller

    def rests() -> None:
        poller.discovery.close_calls_of(0)
        poller.watch, poller.pending = 0, None
        call = DiscoveryCall(None, 0, S)
        pending = PendingCall(0, call, lambda end: poller.call_ended(-1, 0, end, pending))
        poller.discovery.accept(pending)
        poller.coordinator.endpoint_list_failed()

    fleet.clock.call_later(5 * S, rests)
    return fleet.run()


def started_rule(ask_within_s: int = 10) -> DrainRule:
    rule = DrainRule()
    rule.node_started(1, 0, ask_within_s * S)
    return rule


def test_a_written_answer_counts_as_known() -> None:
    rule = started_rule()
    rule.call_received(1, A_WATCH, S)
    rule.endpoint_changed("a", False, 2 * S)
    rule.answer_written(1, 1, 3 * S)
    rule.request_sent(1, "a", 3 * S + 550 * MS)
    rule.request_sent(1, "b", 9 * S)
    assert rule.violations == []
    rule.request_sent(1, "a", 3 * S + 551 * MS)
    assert [(it.endpoint, it.late_ns) for it in rule.violations] == [("a", 551 * MS)]


@pytest.mark.parametrize(("after_ms", "told"), [(199, True), (200, False)])
def test_a_watch_is_continuous_for_a_while_after_its_answer(after_ms: int, told: bool) -> None:
    rule = started_rule()
    rule.call_received(1, A_WATCH, S)
    rule.answer_written(1, 0, 2 * S)
    rule.endpoint_changed("a", False, 2 * S + after_ms * MS)
    rule.request_sent(1, "a", 4 * S)
    assert (rule.violations != []) is told


@pytest.mark.parametrize(("wait_ns", "told_s"), [(A_WATCH, 23), (0, 7)])
def test_a_change_that_does_not_arrive_counts_as_known_in_the_end(wait_ns: int, told_s: int) -> None:
    rule = started_rule()
    rule.call_received(1, wait_ns, S)
    rule.endpoint_changed("a", False, 2 * S)
    rule.request_sent(1, "a", told_s * S + 550 * MS)
    assert rule.violations == []
    rule.request_sent(1, "a", told_s * S + 551 * MS)
    assert len(rule.violations) == 1


@pytest.mark.parametrize(("failed", "told_s"), [(True, 42), (False, 11)])
def test_a_node_that_does_not_poll_counts_as_informed(failed: bool, told_s: int) -> None:
    rule = started_rule()
    if failed:
        rule.call_received(1, 0, S)
        rule.call_failed(1, 2 * S)
    rule.endpoint_changed("a", False, S)
    rule.request_sent(1, "a", told_s * S + 550 * MS)
    assert rule.violations == []
    rule.request_sent(1, "a", told_s * S + 551 * MS)
    assert len(rule.violations) == 1


def watch_state(nodes: int, ask_within_ns: int = 10 * S) -> WatchState:
    settings = replace(
        BALANCER_SETTINGS, balancer_count=nodes, poll_within_ns=ask_within_ns, endpoint_list_is_polled=True
    )
    return WatchState(PollSchedule(settings, random.Random(1)), has_startup_list=True)


def is_watch(call: DiscoveryCall, after: int, least_ms: int = 1_500, most_ms: int = 4_000) -> bool:
    return (
        call.after == after
        and least_ms <= call.wait_ms <= most_ms
        and (
            call.timeout_ns < call.wait_ms * MS + 2 * S  # what it misses counts as told then
        )
    )


def test_a_large_fleet_watches_after_a_failure_and_requests_the_full_list_later() -> None:
    machine = watch_state(200)
    assert machine.next_call(7, 0) == DiscoveryCall(
        7, 500, 3_000 * MS
    )  # it takes clients once it has been answered
    assert machine.on_answer(False, 500 * MS, 0) == 0 and machine.next_call(7, 10 * S).after == 7
    assert is_watch(machine.next_call(7, 0), 7)
    assert machine.on_answer(True, 0, 0) == 0 and machine.on_answer(False, 20 * S, 0) == 0
    assert machine.on_answer(False, MS, 0) == MIN_CALL_INTERVAL_NS < WATCH_LINGER_NS
    assert not machine.on_call_failed(CallFailure.OVERLOADED) and is_watch(machine.next_call(7, 0), 7)
    for how in (CallFailure.TIMED_OUT, CallFailure.UNREACHABLE, CallFailure.FAILED):
        assert machine.on_call_failed(how) is (how is CallFailure.TIMED_OUT)
        call = machine.next_call(7, 0)
        assert call.after == 7 and call.wait_ms <= 500
        machine.on_answer(False, 500 * MS, 0)
        assert machine.next_call(7, 0).after == 7 and machine.next_call(7, 10 * S).after is None
        machine.on_answer(True, MS, 10 * S)
        assert is_watch(machine.next_call(8, 10 * S), 8)
    for lost in (lambda: machine.on_call_failed(CallFailure.FAILED), machine.on_redirect):
        lost()
        assert machine.next_call(7, 0) == DiscoveryCall(7, 500, 3_000 * MS)
        machine.on_answer(False, 500 * MS, 0, is_outdated=True)  # it has started over
        assert machine.next_call(7, 0).after is None
    machine.on_redirect()
    machine.on_answer(True, MS, 0)
    assert machine.next_call(9, 0).after == 9 and machine.next_call(9, 10 * S).after is None


def test_a_small_fleet_requests_the_full_list_after_a_failure() -> None:
    machine = watch_state(20)
    assert machine.next_call(7, 0) == DiscoveryCall(None, 0, 2_500 * MS)
    for how in CallFailure:
        machine.on_answer(True, MS, 0)
        assert is_watch(machine.next_call(7, 0), 7)
        assert (
            machine.on_call_failed(how) is (how is CallFailure.TIMED_OUT)
            and machine.next_call(7, 0).after is None
        )


def test_a_local_agent_is_polled_continuously() -> None:
    """What it has counts as told at once, and a call costs nothing there."""
    machine = watch_state(200, ask_within_ns=0)
    assert machine.next_call(7, 0).timeout_ns <= 500 * MS
    machine.on_answer(True, MS, 0)
    assert is_watch(machine.next_call(7, 0), 7, 0, 1_000) and machine.next_call(7, 0).timeout_ns <= 1_500 * MS
    machine.poll_schedule.start(S)
    assert machine.poll_schedule.poll_due(S)
    for _ in range(9):
        machine.poll_schedule.on_failure(S)
        assert not machine.poll_schedule.poll_due(S) and machine.poll_schedule.poll_due(S + 100 * MS)


def test_the_waits_of_a_fleet_do_not_end_at_the_same_time() -> None:
    """All watches are answered in one moment, and may fall silent in one."""
    settings = replace(BALANCER_SETTINGS, balancer_count=200)
    machines = [WatchState(PollSchedule(settings, random.Random(seed)), True) for seed in range(200)]
    assert all(machine.on_answer(True, MS, 0) == 0 for machine in machines)
    waits = [machine.next_call(7, 0).wait_ms for machine in machines]
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


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("left_out", [False, True])
def test_an_outdated_discovery_after_a_redirect_does_not_undo_a_drain(left_out: bool, whole: bool) -> None:
    inventory = EndpointList(("z",), ("k",))
    inventory.apply({"index": 3, "snapshot": True, "endpoints": [entry("up")]})
    gone = [] if left_out else [entry("draining")]
    inventory.apply({"index": 4, "snapshot": True, "endpoints": gone})
    inventory.discovery_changed = True
    inventory.apply({"index": 900, "snapshot": whole, "endpoints": [entry("up")]})
    server = inventory.identify("a")
    assert not inventory.accepts_new_work(server)
    inventory.apply({"index": 901, "snapshot": False, "endpoints": [entry("up", 5)]})
    assert inventory.accepts_new_work(server)


def test_the_next_call_follows_each_answer_within_the_watch_gap() -> None:
    """On real sockets: two hundred nodes' settings, and a list that changes at once, again and again."""
    gaps: list[float] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answered = 0.0
        for index in range(2, 9):
            await reader.readuntil(b"\r\n\r\n")
            gaps.append(time.monotonic() - answered)
            body = b'{"index":%d,"snapshot":false,"endpoints":[]}' % index
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            answered = time.monotonic()
        over.set()
        writer.close()

    over = asyncio.Event()

    async def play() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        watch = DiscoveryClient(
            server.sockets[0].getsockname()[:2], watch_state(200), lambda: 1, lambda told: None, lambda: None
        )
        watch.start()
        await asyncio.wait_for(over.wait(), 30)
        server.close()

    asyncio.run(play())
    assert max(gaps[1:7]) < WATCH_LINGER_NS / S


@pytest.mark.parametrize("begins", [False, True])
def test_a_call_without_a_complete_answer_is_retried_and_a_late_answer_is_read(
    begins: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On real sockets. An answer without an end is given up soon; a silent call stays open and is read."""
    monkeypatch.setattr(WatchState, "next_call", lambda it, index, now_ns: DiscoveryCall(None, 0, 300 * MS))
    monkeypatch.setattr("puffinpost.net.discovery_client.RESPONSE_BODY_TIMEOUT_NS", 100 * MS)
    body = b'{"index":1,"snapshot":true,"endpoints":[]}'
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    told: list[object] = []
    ended: list[bool] = []

    async def play() -> None:
        second, late = asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if second.is_set() or calls:
                second.set()
                await reader.read()
                writer.close()
                return
            calls.append(writer)
            if begins:
                writer.write(whole[:50])
                ended.append(await reader.read() == b"")
                return
            await second.wait()
            writer.write(whole)

        def take(answer: dict[str, object]) -> None:
            told.append(answer)
            late.set()

        calls: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        watch = DiscoveryClient(
            server.sockets[0].getsockname()[:2], watch_state(2), lambda: 0, take, lambda: None
        )
        watch.start()
        await asyncio.wait_for(second.wait(), 10)
        if not begins:
            await asyncio.wait_for(late.wait(), 10)
        watch.stop()
        server.close()

    asyncio.run(play())
    assert (
        (ended == [True] and told == [])
        if begins
        else told[0] == {"index": 1, "snapshot": True, "endpoints": []}
    )


@pytest.mark.parametrize("ends", [False, True])
def test_the_old_discovery_is_watched_until_the_redirect_or_its_end(ends: bool) -> None:
    """A large fleet turns to a new one at drawn moments. One that has ended is not asked again."""

    async def play() -> list[str]:
        asked: list[str] = []
        last: list[asyncio.StreamWriter] = []
        again = asyncio.Event()

        async def listening(name: str) -> asyncio.Server:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                asked.append(name)
                again.set()
                if name == "old":
                    last.append(writer)
                said = await reader.read()
                asked.append(f"{name} left{said.decode()}")
                writer.close()

            return await asyncio.start_server(serve, "127.0.0.1", 0)

        async def wait(what: str) -> None:
            while what not in asked:
                again.clear()
                await asyncio.wait_for(asyncio.sleep(0.01), 10)

        old, new = await listening("old"), await listening("new")
        watch = DiscoveryClient(
            old.sockets[0].getsockname()[:2], watch_state(200), lambda: 1, lambda told: None, lambda: None
        )
        watch.start()
        await wait("old")
        turned: list[list[str]] = []
        after_ns = 3600 * S if ends else 200 * MS
        watch.redirect(new.sockets[0].getsockname()[:2], after_ns, lambda: turned.append(list(asked)))
        if ends:
            watch.redirect(new.sockets[0].getsockname()[:2], after_ns)  # once more: it is on its way there
            last[0].close()
        await wait("new")
        assert turned in ([["old"]], [["old", "old left"]] if ends else [["old"]])
        watch.stop()
        await wait("old left")
        old.close()
        new.close()
        return asked

    assert {"old", "new", "old left"} <= set(asyncio.run(asyncio.wait_for(play(), 10)))


def test_pushed_lists_are_polled_from_the_local_agent(deployment: Deployment) -> None:
    """Where settings say so the decisions wait for lists to come; on sockets somebody has to fetch them."""
    node = deployment.start(settings={"Discovery": "pushed"})
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    server, relay = accept_attempt(deployment.endpoints)
    relay.read_line()
    relay.send(b"UP 1\r\n")
    assert client.read_line() == b"UP 1\r\n"
    assert isinstance(server, StandInEndpoint) and SETTINGS["Discovery"] == "on_request"
    deployment.discovery.set_endpoint(f"s-{deployment.endpoints.index(server)}", server.address, "draining")
    assert is_migrated(client)


class Calls(list[int]):
    """The calls that came, each told to a recorder."""

    def __init__(self, saw: Callable[..., None]) -> None:
        super().__init__()
        self.saw = saw

    def append(self, after: int) -> None:
        super().append(after)
        self.saw("call_received", 1, A_WATCH)


class Recorded(StandInDiscovery):
    """A discovery and two transcribers that tell the rule what they saw of one real process."""

    def __init__(self) -> None:
        self.rule, self.lock = started_rule(), threading.Lock()
        self.names = {f"s-{number}": StandInEndpoint() for number in range(2)}
        self.kept: list[SocketPeer] = []
        super().__init__()
        self.polled_versions = Calls(self.saw)
        for name, server in self.names.items():
            threading.Thread(target=self.take, args=(name, server), daemon=True).start()

    def saw(self, what: str, *details: object) -> None:
        with self.lock:
            getattr(self.rule, what)(*details, time.monotonic_ns())

    def put(self, name: str, status: str) -> None:
        self.saw("endpoint_changed", name, status == "up")
        self.set_endpoint(name, self.names[name].address, status)

    def encode_reply(self, body: bytes) -> list[bytes]:
        with self.lock:
            known = self.rule.changes[-1].number if self.rule.changes else 0
            self.rule.answer_written(1, known, time.monotonic_ns())
        return super().encode_reply(body)

    def take(self, name: str, server: StandInEndpoint) -> None:
        with contextlib.suppress(OSError):  # the listener is closed
            while True:
                self.kept.append(peer := server.accept())
                # A relay that turns out moot while it dials ends without a line.
                with contextlib.suppress(EOFError, OSError):
                    peer.read_line()
                    self.saw("request_sent", 1, name)
                    peer.send(b"UP 1\r\n")


REST = (
    "from puffinpost.discovery.watch import WatchState; answered = WatchState.on_answer; "
    "WatchState.on_answer = lambda *told: (answered(*told), 3_000_000_000)[1]; "
    "from puffinpost.__main__ import main; raise SystemExit(main())"
)


@pytest.mark.parametrize("planted", [False, True])
def test_a_real_process_keeps_the_drain_rule_and_a_planted_pause_is_detected(
    deployment: Deployment, planted: bool
) -> None:
    discovery = Recorded()
    deployment.discovery = discovery
    for name in discovery.names:
        discovery.put(name, "up")
        socket.create_connection(("127.0.0.1", discovery.names[name].port)).close()
    run = f"exec {sys.executable} -c {shlex.quote(REST)}" if planted else ""
    rules = {**SETTINGS["Rules"], "AskWithinNs": 10 * S}
    node = NodeProcess(
        deployment.folder, discovery, settings={"FleetSize": 21, "Rules": rules}, shell_command=run
    )
    deployment.nodes.append(node)
    discovery.wait_for_polls(1)
    clients = []
    for turn in range(6):
        leaves, stays = ("s-0", "s-1") if turn % 2 else ("s-1", "s-0")
        discovery.put(stays, "up")
        time.sleep(0.05)  # the next change comes just after the answer that this one makes
        discovery.put(leaves, "draining")
        for _ in range(24):
            clients.append(node.connect(with_new_id(OPEN_LINE % 500)))
            time.sleep(0.03)
    assert discovery.rule.requests_sent > 60
    assert (discovery.rule.violations != []) is planted, discovery.rule.violations
