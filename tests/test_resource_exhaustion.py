"""Descriptors, connection capacity and calls to discovery that run out at the moment they are needed.

Also a device that cancels its request between or during attempts.
"""

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
from test_lifecycle_races import establish_at, have_no_attempts, wait_for_endpoint_list
from test_mqtt import OPEN as MQTT_OPEN
from test_mqtt import MqttDeployment
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id

from puffinpost.balancing.poll_schedule import DISCOVERY_QUEUE_TIMEOUT_NS, PROPAGATION_LIMIT_NS

# --- descriptors ------------------------------------------------------------------------------------


def open_descriptors(node: NodeProcess) -> set[int]:
    """The open descriptors of the process."""
    return {int(entry.name) for entry in Path(f"/proc/{node.process.pid}/fd").iterdir()}


def cpu_s(node: NodeProcess) -> float:
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize("has_spare", [True, False])
def test_accept_without_a_free_descriptor_neither_spins_nor_ends_the_node(
    deployment: Deployment, has_spare: bool
) -> None:
    """The process may open fewer descriptors than the node is configured for. With its spare
    descriptor the node answers clients; without it, they wait.
    """
    node = deployment.start()
    wait_for_endpoint_list(deployment.discovery)
    first_free = min(set(range(4096)) - open_descriptors(node))
    limits = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (first_free if has_spare else 3, limits[1]))
    started_at, cpu_before_s = time.monotonic(), cpu_s(node)
    clients = [node.connect(b"PING\r\n") for _ in range(20)]
    if has_spare:
        for client in clients:
            assert client.read_line().startswith(b"BUSY") and client.wait_for_close() == "end"
    while time.monotonic() - started_at < 1.0:
        time.sleep(0.05)
    assert cpu_s(node) - cpu_before_s < 0.5
    resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limits)
    if not has_spare:
        assert {client.read_line() for client in clients} == {b"PONG\r\n"}
    establish_request(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert node.process.poll() is None


# --- connection capacity ----------------------------------------------------------------------------


@pytest.mark.parametrize("request_first", [True, False])
def test_idle_client_that_sends_a_request_during_its_eviction_is_either_served_or_rejected(
    deployment: Deployment, request_first: bool
) -> None:
    """The node has capacity for three idle clients. While it is suspended, one of them sends a request and a
    fourth client sends its first line.
    """
    node = deployment.start(sockets=32 + 14 + 14)
    wait_for_endpoint_list(deployment.discovery)
    idle_clients = [node.connect(b"PING\r\n") for _ in range(3)]
    assert [client.read_line() for client in idle_clients] == [b"PONG\r\n"] * 3
    fourth = node.connect()
    node.wait_for_counter("late", 0)  # after one iteration of the event loop the fourth is accepted
    node.process.send_signal(signal.SIGSTOP)
    for sends_request in (True, False) if request_first else (False, True):
        if sends_request:
            idle_clients[0].send(with_new_id(OPEN_LINE % 3000))
        else:
            fourth.send(b"PING\r\n")
    node.process.send_signal(signal.SIGCONT)
    assert fourth.read_line() == b"PONG\r\n"
    idle_clients[0].socket.settimeout(0.5)
    try:
        answer = idle_clients[0].read_line()
    except TimeoutError:  # admitted: its attempt waits for the endpoint
        idle_clients[0].socket.settimeout(WAIT_TIMEOUT_S)
        establish_request(deployment, idle_clients[0])
        return
    assert (
        answer.startswith(b"BUSY")
        and idle_clients[0].wait_for_close() == "end"
        and idle_clients[0].buffer == b""
    )
    assert have_no_attempts(*deployment.endpoints) and node.read_counters().get("relays", 0) == 0


# --- cancellation by a device -----------------------------------------------------------------------


@pytest.mark.parametrize("when", ["during an attempt", "between attempts", "established"])
def test_a_device_that_cancels_gets_no_further_attempt(deployment: Deployment, when: str) -> None:
    mqtt = MqttDeployment(deployment)
    device = mqtt.connect_device()
    device.subscribe()
    if when == "established":
        upstream = device.open_session(deployment)
    else:
        device.publish("open", MQTT_OPEN % 1, correlation_data=b"c")
        device.flush()
        upstream = accept_attempt(deployment.endpoints)[1]
        upstream.read_line()
    if when == "between attempts":
        # The second attempt starts at once. It fails too, and the third is delayed.
        upstream.send(b"ERR\r\n")
        upstream = accept_attempt(deployment.endpoints)[1]
        upstream.read_line()
        # Suspended, so that the answer and the cancellation are read in one iteration of the event loop.
        mqtt.node.process.send_signal(signal.SIGSTOP)
        upstream.send(b"ERR\r\n")
    device.publish("bye", b"")
    device.flush()
    mqtt.node.process.send_signal(signal.SIGCONT)
    device.synchronize()
    assert upstream.wait_for_close() == "end"
    mqtt.node.wait_for_counter("served" if when == "established" else "gone", 1)
    attempt_count = mqtt.node.read_counters()["relays"]
    ended_at = time.monotonic()
    while time.monotonic() - ended_at < 0.5:  # longer than the delay of an attempt
        time.sleep(0.05)
    assert mqtt.node.read_counters()["relays"] == attempt_count and have_no_attempts(*deployment.endpoints)


# --- overloaded discovery ---------------------------------------------------------------------------


class OverloadedDiscovery(StandInDiscovery):
    """While it is overloaded, each call waits in the queue and is then answered with 503."""

    def __init__(self) -> None:
        super().__init__()
        self.available = threading.Event()  # while set, calls are answered
        self.available.set()
        self.failed = 0

    def encode_reply(self, body: bytes) -> list[bytes]:
        if self.available.is_set():
            return super().encode_reply(body)
        self.available.wait(DISCOVERY_QUEUE_TIMEOUT_NS / 1e9)
        with self.changed:
            self.failed += 1
            self.changed.notify_all()
        return [b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]

    def reset_connections(self) -> None:
        """Ends all watches."""
        while self.connections:
            SocketPeer(self.connections.pop()).close("reset")


@pytest.mark.parametrize("has_idle_clients", [False, True])
def test_a_drain_is_known_in_time_after_discovery_was_overloaded(
    deployment: Deployment, has_idle_clients: bool
) -> None:
    """A drain counts as known 6 s after discovery is reachable again, whatever the result of earlier calls.

    This also holds where idle clients have used up the connection capacity meanwhile.
    """
    discovery = deployment.discovery = OverloadedDiscovery()
    rules = {**SETTINGS["Rules"], "AskWithinNs": 10_000_000_000}
    node = deployment.start(settings={"FleetSize": 200, "Rules": rules}, sockets=32 + 14 + 14)
    discovery.wait_for_polls(1)
    wait_for_endpoint_list(discovery)
    discovery.available.clear()
    discovery.reset_connections()
    with discovery.changed:
        discovery.index += 1  # a change that each call could be answered with
    idle_clients: list[SocketPeer] = []
    give_up_at = time.monotonic() + 3 * WAIT_TIMEOUT_S
    while discovery.failed < 2:
        idle_clients += [node.connect() for _ in range(20 * has_idle_clients)]
        with discovery.changed:
            discovery.changed.wait_for(lambda: discovery.failed >= 2, 0.2)
        assert time.monotonic() < give_up_at
    discovery.set_endpoint("s-0", deployment.endpoints[0].address, "draining")
    reachable_at = time.monotonic()
    discovery.available.set()
    with discovery.changed:
        index = discovery.index
        assert discovery.changed.wait_for(
            lambda: index in discovery.polled_versions, PROPAGATION_LIMIT_NS / 1e9
        )
    assert time.monotonic() - reachable_at < PROPAGATION_LIMIT_NS / 1e9
    for client in idle_clients:
        client.close()
    upstreams = establish_at(node, deployment.endpoints[1], 3)
    assert len(upstreams) == 3 and have_no_attempts(deployment.endpoints[0])
