"""Room, descriptors and calls that run out in the very moment in which they are asked for."""

from __future__ import annotations

import os
import resource
import signal
import threading
import time
from pathlib import Path

import pytest
from conftest import Deployment
from stand_ins import SETTINGS, WAIT_TIMEOUT_S, NodeProcess, SocketPeer, StandInDiscovery
from test_endings import establish_at, have_no_attempts, wait_for_list
from test_mqtt import OPEN as MQTT_OPEN
from test_mqtt import MqttDeployment
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id

from puffinpost.balancing.poll_schedule import DISCOVERY_QUEUE_TIMEOUT_NS, PROPAGATION_LIMIT_NS

# --- descriptors ------------------------------------------------------------------------------------


def held(node: NodeProcess) -> set[int]:
    """The descriptors that the process has."""
    return {int(it.name) for it in Path(f"/proc/{node.process.pid}/fd").iterdir()}


def cpu_s(node: NodeProcess) -> float:
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("spare", [True, False])
def test_accepting_without_a_descriptor_neither_spins_nor_stops(deployment: Deployment, spare: bool) -> None:
    """The system has fewer than the node was told. With its spare one it answers; without, clients wait."""
    node = deployment.start()
    wait_for_list(deployment.discovery)
    first_free = min(set(range(4096)) - held(node))
    limits = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (first_free if spare else 3, limits[1]))
    began, cpu = time.monotonic(), cpu_s(node)
    clients = [node.connect(b"PING\r\n") for _ in range(20)]
    if spare:
        for client in clients:
            assert client.read_line().startswith(b"BUSY") and client.wait_for_close() == "end"
    while time.monotonic() - began < 1.0:
        time.sleep(0.05)
    assert cpu_s(node) - cpu < 0.5
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limits)
    if not spare:
        assert {client.read_line() for client in clients} == {b"PONG\r\n"}
    establish_request(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert node.process.poll() is None


# --- room -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("asks_first", [True, False])
def test_who_asks_as_its_place_is_needed_is_served_or_told_busy_and_not_both(
    deployment: Deployment, asks_first: bool
) -> None:
    """Three may rest here. One of them asks, and a fourth comes, while the node is stopped."""
    node = deployment.start(sockets=32 + 14 + 14)
    wait_for_list(deployment.discovery)
    resting = [node.connect(b"PING\r\n") for _ in range(3)]
    assert [client.read_line() for client in resting] == [b"PONG\r\n"] * 3
    fourth = node.connect()
    node.wait_for_counter("late", 0)  # a turn of its loop: the fourth is accepted
    node.process.send_signal(signal.SIGSTOP)
    for asks in (True, False) if asks_first else (False, True):
        if asks:
            resting[0].send(with_new_id(OPEN_LINE % 3000))
        else:
            fourth.send(b"PING\r\n")
    node.process.send_signal(signal.SIGCONT)
    assert fourth.read_line() == b"PONG\r\n"
    resting[0].socket.settimeout(0.5)
    try:
        said = resting[0].read_line()
    except TimeoutError:  # it has a place: its relay waits for the transcriber
        resting[0].socket.settimeout(WAIT_TIMEOUT_S)
        establish_request(deployment, resting[0])
        return
    assert said.startswith(b"BUSY") and resting[0].wait_for_close() == "end" and resting[0].buffer == b""
    assert have_no_attempts(*deployment.endpoints) and node.read_counters().get("relays", 0) == 0


# --- a device that cancels --------------------------------------------------------------------------


@pytest.mark.parametrize("when", ["an attempt is out", "between attempts", "it stands"])
def test_a_device_that_cancels_gets_no_further_attempt(deployment: Deployment, when: str) -> None:
    front = MqttDeployment(deployment)
    phone = front.connect_device()
    phone.subscribe()
    if when == "it stands":
        relay = phone.open_session(deployment)
    else:
        phone.publish("open", MQTT_OPEN % 1, correlation_data=b"c")
        phone.flush()
        relay = accept_attempt(deployment.endpoints)[1]
        relay.read_line()
    if when == "between attempts":
        # The next one goes out at once, and the one after that fails too: from then on it is held back.
        relay.send(b"ERR\r\n")
        relay = accept_attempt(deployment.endpoints)[1]
        relay.read_line()
        front.node.process.send_signal(signal.SIGSTOP)  # both come in one turn
        relay.send(b"ERR\r\n")
    phone.publish("bye", b"")
    phone.flush()
    front.node.process.send_signal(signal.SIGCONT)
    phone.synchronize()
    assert relay.wait_for_close() == "end"
    front.node.wait_for_counter("served" if when == "it stands" else "gone", 1)
    relays = front.node.read_counters()["relays"]
    ended = time.monotonic()
    while time.monotonic() - ended < 0.5:  # longer than what is held back waits
        time.sleep(0.05)
    assert front.node.read_counters()["relays"] == relays and have_no_attempts(*deployment.endpoints)


# --- discovery at its limit -------------------------------------------------------------------------


class Overrun(StandInDiscovery):
    """While it is at its limit, each call waits in turn and is then answered 503."""

    def __init__(self) -> None:
        super().__init__()
        self.limit = threading.Event()  # set: it answers
        self.limit.set()
        self.failed = 0

    def encode_reply(self, body: bytes) -> list[bytes]:
        if self.limit.is_set():
            return super().encode_reply(body)
        self.limit.wait(DISCOVERY_QUEUE_TIMEOUT_NS / 1e9)
        with self.changed:
            self.failed += 1
            self.changed.notify_all()
        return [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]

    def reset(self) -> None:
        """All watches end."""
        while self.connections:
            SocketPeer(self.connections.pop()).close("reset")


@pytest.mark.parametrize("crowd", [False, True])
def test_a_drain_is_heard_in_time_from_a_discovery_at_its_limit(deployment: Deployment, crowd: bool) -> None:
    """It counts as told 6 s after discovery could be reached, whatever became of the calls before; also where
    idle clients fill all that clients may have meanwhile.
    """
    discovery = deployment.discovery = Overrun()
    rules = {**SETTINGS["Rules"], "AskWithinNs": 10_000_000_000}
    node = deployment.start(settings={"FleetSize": 200, "Rules": rules}, sockets=32 + 14 + 14)
    discovery.wait_for_polls(1)
    wait_for_list(discovery)
    discovery.limit.clear()
    discovery.reset()
    with discovery.changed:
        discovery.index += 1  # each call has an answer that it could be given
    idle: list[SocketPeer] = []
    until = time.monotonic() + 3 * WAIT_TIMEOUT_S
    while discovery.failed < 2:
        idle += [node.connect() for _ in range(20 * crowd)]
        with discovery.changed:
            discovery.changed.wait_for(lambda: discovery.failed >= 2, 0.2)
        assert time.monotonic() < until
    discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    reached = time.monotonic()
    discovery.limit.set()
    with discovery.changed:
        index = discovery.index
        assert discovery.changed.wait_for(
            lambda: index in discovery.polled_versions, PROPAGATION_LIMIT_NS / 1e9
        )
    assert time.monotonic() - reached < PROPAGATION_LIMIT_NS / 1e9
    for client in idle:
        client.close()
    kept = establish_at(node, deployment.endpoints[1], 3)
    assert len(kept) == 3 and have_no_attempts(deployment.endpoints[0])
