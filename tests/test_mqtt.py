"""The MQTT frontend of a started node: over lossy links, in edge cases, and with a third-party client."""

from __future__ import annotations

import contextlib
import socket
import ssl
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import paho.mqtt.client as paho
import pytest
from conftest import Deployment
from paho.mqtt.enums import CallbackAPIVersion
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties
from stand_ins import ALWAYS_HAND_OVER, ROOT, WAIT_TIMEOUT_S, NodeProcess, SocketPeer, free_port
from test_node import accept_attempt
from xmpp_stand_ins import CERTIFICATE, KEY

from puffinpost.emulator.mqtt_device import MqttDevice
from puffinpost.protocol import mqtt
from puffinpost.protocol.mqtt import ReasonCode

OPEN = b"OPEN %016x 7f3a9c21e0b4d655 c=live-text,d=2500"


class LinkProcess:
    """A ``puffinpost link`` process, controlled by commands on its standard input."""

    def __init__(self, to: int, *options: str) -> None:
        self.port = free_port()
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "puffinpost",
                "link",
                "--listen",
                f"127.0.0.1:{self.port}",
                "--to",
                f"127.0.0.1:{to}",
                *options,
            ],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.wait_for_output("listening")

    def wait_for_output(self, prefix: str) -> None:
        assert self.process.stdout is not None
        while not self.process.stdout.readline().startswith(prefix):
            assert self.process.poll() is None

    def send_command(self, command: str, expected_output: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        self.wait_for_output(expected_output)


class SocketDevice(MqttDevice):
    """An MQTT device that communicates over a socket."""

    peer: SocketPeer

    def connect_to(
        self, port: int, context: ssl.SSLContext | None = None, **connect_fields: Any
    ) -> SocketDevice:
        """Connects, or reconnects, and waits for CONNACK."""
        connection = socket.create_connection(("127.0.0.1", port))
        self.peer = SocketPeer(
            connection if context is None else context.wrap_socket(connection, server_hostname="edge.test")
        )
        self.peer.send(self.connect(**connect_fields))
        self.wait_until(lambda: self.connack is not None)
        return self

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Reads and responds until the condition holds."""
        self.flush()
        while not condition():
            data = self.peer.socket.recv(65536)
            if not data:
                raise EOFError(self.reason_codes)
            self.feed(data)
            self.flush()

    def flush(self) -> None:
        self.peer.send(self.take_output())

    def payloads(self, topic: str) -> list[bytes]:
        return [payload for received_topic, payload, _ in self.received if received_topic == topic]

    def open_session(self, deployment: Deployment, number: int = 1) -> SocketPeer:
        """Opens a session and establishes it; returns the endpoint's connection."""
        self.subscribe()
        self.publish("open", OPEN % number, correlation_data=b"c")
        self.flush()
        upstream = accept_attempt(deployment.endpoints)[1]
        assert upstream.read_line().startswith(b"OPEN ")
        upstream.send(b"UP 7\r\n")
        self.wait_until(lambda: bool(self.payloads("answer")))
        assert self.payloads("answer") == [b"UP 7"]
        return upstream

    def synchronize(self) -> None:
        """Waits until the node has handled all packets sent so far and its responses are received."""
        self.send(mqtt.Unsubscribe(2, ("puffinpost/none",)))
        self.granted_qos = (-1,)
        self.wait_until(lambda: self.granted_qos != (-1,))


class MqttDeployment:
    """A deployment with one node whose MQTT frontend is enabled."""

    def __init__(
        self, deployment: Deployment, extra_config: str = "", resume_config: str = "", **node_options: Any
    ) -> None:
        self.port = free_port()
        (deployment.folder / "users.toml").write_text('ada = "lovelace"\neve = "x"\n')
        users = f'users = "{deployment.folder / "users.toml"}"'
        edge = (
            f'{ALWAYS_HAND_OVER}[mqtt]\nlisten = "127.0.0.1:{self.port}"\n'
            f"{users}\n{extra_config}\n[resume]\n{resume_config}\n"
        )
        self.edge = edge
        self.node: NodeProcess = deployment.start(edge=edge, **node_options)

    def connect_device(
        self, client_id: str = "device", qos: int = 2, version: int = mqtt.V5, **connect_fields: Any
    ) -> SocketDevice:
        return SocketDevice(client_id, version, qos).connect_to(
            connect_fields.pop("port", self.port), username="ada", password=b"lovelace", **connect_fields
        )


@pytest.fixture
def start_link() -> Iterator[Callable[..., LinkProcess]]:
    started: list[LinkProcess] = []

    def start(to: int, *options: str) -> LinkProcess:
        started.append(LinkProcess(to, *options))
        return started[-1]

    yield start
    for link in started:
        link.process.kill()
        link.process.wait()


def has_pending_attempt(deployment: Deployment) -> bool:
    return any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)


@pytest.mark.parametrize("qos", [1, 2])
def test_a_session_resumes_without_loss_after_its_connection_is_lost_in_mid_packet(
    deployment: Deployment, start_link: Callable[..., LinkProcess], qos: int
) -> None:
    """A partial packet is not forwarded; each message is delivered once and in order, in both directions."""
    frontend = MqttDeployment(deployment)
    link = start_link(frontend.port, "--delay-ms", "20", "--jitter-ms", "10", "--seed", "3")
    device = frontend.connect_device(qos=qos, port=link.port)
    upstream = device.open_session(deployment)
    device.publish("up", b"first")
    device.publish("up", b"second, " + b"x" * 2000)
    data = device.take_output()
    device.peer.send(data[:-700])  # all of the first message, part of the second
    assert upstream.read_line() == b"first\r\n"
    link.send_command("cut", "cut")
    for number in range(40):
        upstream.send(b"meanwhile %d\r\n" % number)
    device.connect_to(link.port, username="ada", password=b"lovelace")
    assert device.connack is not None and device.connack.session_present
    assert upstream.read_line() == b"second, " + b"x" * 2000 + b"\r\n"
    device.wait_until(lambda: len(device.payloads("down")) == 40)
    device.publish("up", b"third")
    device.synchronize()
    assert upstream.read_line() == b"third\r\n" and not has_pending_attempt(deployment)
    assert device.payloads("down") == [b"meanwhile %d" % number for number in range(40)]
    counts = frontend.node.read_counters()
    assert counts["relays"] == 1 and counts["edge_resumed"] + counts.get("edge_taken_over", 0) == 1


@pytest.mark.parametrize("reconnect", ["same link", "new link", "half-open link"])
def test_a_repeated_request_joins_the_pending_attempt(
    deployment: Deployment, start_link: Callable[..., LinkProcess], reconnect: str
) -> None:
    frontend = MqttDeployment(deployment)
    link = start_link(frontend.port)
    device = frontend.connect_device(port=link.port)
    device.subscribe()
    device.publish("open", OPEN % 1, correlation_data=b"c")
    device.flush()
    upstream = accept_attempt(deployment.endpoints)[1]
    assert upstream.read_line().startswith(b"OPEN ")
    if reconnect != "same link":
        link.send_command(*(("cut", "cut") if reconnect == "new link" else ("freeze", "frozen")))
        device.connect_to(link.port, username="ada", password=b"lovelace")
    device.publish("open", OPEN % 1, correlation_data=b"c")
    device.synchronize()
    assert not has_pending_attempt(deployment)
    upstream.send(b"UP 7\r\n")
    device.wait_until(lambda: bool(device.payloads("answer")))
    device.synchronize()
    assert device.payloads("answer") == [b"UP 7"]
    counts = frontend.node.read_counters()
    assert counts["relays"] == counts["messages"] == counts["edge_joined"] == 1


@pytest.mark.parametrize("answer", [b"UP 7\r\n", b"ERR\r\n"])
def test_an_answer_given_while_the_device_was_disconnected_is_delivered_once(
    deployment: Deployment, answer: bytes
) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device()
    device.subscribe()
    device.publish("open", (OPEN % 1).replace(b"live-text", b"once"), correlation_data=b"mine")
    device.flush()
    upstream = accept_attempt(deployment.endpoints)[1]
    assert upstream.read_line().startswith(b"OPEN ")
    device.peer.close("reset")
    frontend.node.wait_for_counter("edge_detached", 1)
    upstream.send(answer)
    frontend.node.wait_for_counter("up" if answer[:2] == b"UP" else "failed", 1)
    for _ in range(3):
        device.connect_to(frontend.port, username="ada", password=b"lovelace")
        device.wait_until(lambda: bool(device.received))
        device.synchronize()
        device.peer.close("reset")
    assert device.received == [("answer", answer.rstrip(), {"correlation_data": b"mine"})]


@pytest.mark.parametrize("reason", ["drain", "ban", "bye"])
def test_a_disconnected_device_is_notified_of_migration_or_bye_when_it_resumes(
    deployment: Deployment, reason: str
) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device()
    upstream = device.open_session(deployment)
    device.peer.close("reset")
    frontend.node.wait_for_counter("edge_detached", 1)
    name = next(
        f"s-{number}"
        for number, endpoint in enumerate(deployment.endpoints)
        if endpoint.port == upstream.socket.getsockname()[1]
    )
    if reason == "drain":
        deployment.discovery.set_endpoint(name, deployment.endpoints[int(name[2:])].address, "draining")
    elif reason == "ban":
        assert frontend.node.request_admin("POST", f"/transcribers/disable/{name}")[0] == 200
    else:
        upstream.send(b"BYE\r\n")
        upstream.close()
    if reason != "bye":
        assert upstream.wait_for_close() == "end"  # the endpoint is freed before the device reconnects
    device.connect_to(frontend.port, username="ada", password=b"lovelace")
    topic = "bye" if reason == "bye" else "move"
    device.wait_until(lambda: bool(device.payloads(topic)))
    device.received.clear()
    device.open_session(deployment, 2)


def test_a_detached_session_and_its_upstream_end_after_the_grace_period(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment, resume_config="grace_s = 1")
    device = frontend.connect_device()
    assert device.connack is not None and device.connack.properties["session_expiry"] == 1
    upstream = device.open_session(deployment)
    device.peer.close("reset")
    start_s = time.monotonic()
    assert upstream.wait_for_close() == "end" and 0.9 < time.monotonic() - start_s < 2.5
    device.connect_to(frontend.port, username="ada", password=b"lovelace")
    assert device.connack is not None and not device.connack.session_present


def test_a_newer_connection_of_the_same_user_and_client_id_takes_over_the_session(
    deployment: Deployment,
) -> None:
    frontend = MqttDeployment(deployment)
    older = frontend.connect_device()
    upstream = older.open_session(deployment)
    newer = frontend.connect_device()
    with pytest.raises(EOFError):
        older.wait_until(lambda: False)
    assert older.reason_codes[-1] == ReasonCode.SESSION_TAKEN_OVER
    newer.publish("up", b"from the newer")
    newer.flush()
    assert upstream.read_line() == b"from the newer\r\n"
    other_user_device = SocketDevice("device").connect_to(frontend.port, username="eve", password=b"x")
    # The same client id belongs to another session if the user differs.
    assert other_user_device.connack is not None and not other_user_device.connack.session_present
    clean_start_device = frontend.connect_device(clean=True)
    assert (
        clean_start_device.connack is not None
        and not clean_start_device.connack.session_present
        and upstream.wait_for_close() == "end"
    )


def test_user_and_client_id_pairs_that_concatenate_alike_are_distinct(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment)
    (deployment.folder / "users.toml").write_text('ada = "lovelace"\n"ada:b" = "x"\n')
    successor = deployment.start(edge=frontend.edge, same_port_as=frontend.node)
    successor.wait_until_ready()
    first = frontend.connect_device("b:c")
    second = SocketDevice("c").connect_to(frontend.port, username="ada:b", password=b"x")
    assert first.connack is not None and second.connack is not None
    assert (first.connack.code, second.connack.code) == (0, 0)


def test_an_invalid_line_is_refused_and_no_other_message_is_lost(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device(qos=1)
    upstream = device.open_session(deployment)
    for payload in (b"before", b"a\rb", b"a\nb", b"x" * 4095, b"x" * 4094, b"after"):
        device.publish("up", payload)
    device.synchronize()
    assert device.reason_codes[-6:] == [0, 0x99, 0x99, 0x99, 0, 0]
    assert [upstream.read_line() for _ in range(3)] == [b"before\r\n", b"x" * 4094 + b"\r\n", b"after\r\n"]
    for topic, code in (("elsewhere", ReasonCode.TOPIC_INVALID), ("answer", ReasonCode.TOPIC_INVALID)):
        device.publish(topic, b"x")
        device.synchronize()
        assert device.reason_codes[-1] == code
    device.publish("open", OPEN % 9)
    device.synchronize()
    assert device.reason_codes[-1] == ReasonCode.QUOTA_EXCEEDED


@pytest.mark.parametrize("version", [mqtt.V5, mqtt.V311])
def test_unsupported_subscriptions_are_refused_with_their_code(deployment: Deployment, version: int) -> None:
    device = MqttDeployment(deployment).connect_device(version=version)
    device.subscribe("puffinpost/down", "#", "other/x", "$share/g/puffinpost/down", "puffinpost/+")
    device.wait_until(lambda: bool(device.granted_qos))
    is_v5 = version == mqtt.V5
    assert device.granted_qos == (
        2,
        0x8F if is_v5 else 0x80,
        0x8F if is_v5 else 0x80,
        0x9E if is_v5 else 0x80,
        2,
    )


@pytest.mark.parametrize(
    ("connect_fields", "code"),
    [
        ({"password": b"wrong"}, ReasonCode.BAD_USER_NAME_OR_PASSWORD),
        ({"username": "nobody"}, ReasonCode.BAD_USER_NAME_OR_PASSWORD),
        ({"username": None, "password": None}, ReasonCode.NOT_AUTHORIZED),
        ({"properties": {"authentication_method": "SCRAM"}}, ReasonCode.BAD_AUTH_METHOD),
        ({"properties": {"maximum_packet_size": 100}}, ReasonCode.IMPLEMENTATION_SPECIFIC),
    ],
)
def test_a_refused_connect_has_its_reason_code(
    deployment: Deployment, connect_fields: dict[str, Any], code: ReasonCode
) -> None:
    frontend = MqttDeployment(deployment)
    device = SocketDevice("device").connect_to(
        frontend.port, **{"username": "ada", "password": b"lovelace", **connect_fields}
    )
    assert (
        device.connack is not None and device.connack.code == code and device.peer.wait_for_close() == "end"
    )


def test_guessable_client_ids_of_anonymous_clients_are_not_resumable(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment, "anonymous = true")
    guessable = SocketDevice("device").connect_to(frontend.port)
    assert guessable.connack is not None and guessable.connack.properties["session_expiry"] == 0
    upstream = guessable.open_session(deployment)
    other = SocketDevice("device").connect_to(frontend.port)
    assert other.connack is not None and not other.connack.session_present
    guessable.publish("up", b"still here")
    guessable.flush()
    assert upstream.read_line() == b"still here\r\n"
    assigned = SocketDevice("").connect_to(frontend.port)
    assert assigned.connack is not None
    assigned.client_id = assigned.connack.properties["assigned_client_id"]
    assigned.peer.close()
    assigned.connect_to(frontend.port)
    assert assigned.connack is not None and assigned.connack.session_present


def test_a_certificate_authenticates_its_common_name(deployment: Deployment) -> None:
    frontend = MqttDeployment(
        deployment, f'certificate = "{CERTIFICATE}"\nkey = "{KEY}"\nca = "{CERTIFICATE}"'
    )
    context = ssl.create_default_context(cafile=str(CERTIFICATE))
    without_certificate = SocketDevice("device").connect_to(frontend.port, context)
    assert (
        without_certificate.connack is not None
        and without_certificate.connack.code == ReasonCode.NOT_AUTHORIZED
    )
    context.load_cert_chain(CERTIFICATE, KEY)
    device = SocketDevice("device").connect_to(frontend.port, context)
    upstream = device.open_session(deployment)
    device.publish("up", b"over TLS")
    device.flush()
    assert upstream.read_line() == b"over TLS\r\n"
    device.peer.close("reset")
    device.connect_to(frontend.port, context)
    assert device.connack is not None and device.connack.session_present


def test_a_client_that_sends_nothing_is_disconnected_after_its_keep_alive(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment, "keep_alive_s = 5")
    device = frontend.connect_device(keep_alive=1)
    assert device.connack is not None and "server_keep_alive" not in device.connack.properties
    upstream = device.open_session(deployment)
    with pytest.raises(EOFError):
        device.wait_until(lambda: False)
    assert device.reason_codes[-1] == ReasonCode.KEEP_ALIVE_TIMEOUT
    device.connect_to(frontend.port, username="ada", password=b"lovelace")
    assert device.connack.properties["server_keep_alive"] == 5
    device.publish("up", b"back")
    device.flush()
    assert upstream.read_line() == b"back\r\n"


def test_a_device_that_does_not_acknowledge_pauses_only_its_own_upstream(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment, resume_config="lines = 32")
    device, other = frontend.connect_device(), frontend.connect_device("other")
    upstream = device.open_session(deployment)
    upstream.socket.settimeout(0.5)
    sent_bytes = 0
    with pytest.raises(TimeoutError):
        while sent_bytes < 50_000_000:  # far more than the kernel and a bounded buffer can hold
            upstream.send(b"y" * 4000 + b"\r\n")
            sent_bytes += 4002
    assert sent_bytes < 50_000_000
    upstream.socket.settimeout(WAIT_TIMEOUT_S)
    other_upstream = other.open_session(deployment, 2)
    other_upstream.send(b"for the other\r\n")
    other.wait_until(lambda: other.payloads("down") == [b"for the other"])
    device.wait_until(lambda: len(device.payloads("down")) > 200)
    assert set(device.payloads("down")) == {b"y" * 4000}
    assert frontend.node.read_counters()["edge_held_back"] >= 1


def test_sigterm_disconnects_clients_with_a_reason(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device()
    upstream = device.open_session(deployment)
    frontend.node.process.terminate()
    with pytest.raises(EOFError):
        device.wait_until(lambda: False)
    assert device.payloads("move") == [b"MOVE"] and device.reason_codes[-1] == ReasonCode.SHUTTING_DOWN
    assert upstream.wait_for_close() == "end" and frontend.node.process.wait(WAIT_TIMEOUT_S) == 0


def test_at_qos_0_messages_are_queued_while_disconnected_and_an_answer_is_resent(
    deployment: Deployment,
) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device(qos=0)
    upstream = device.open_session(deployment)
    device.publish("up", b"a\nb")
    device.wait_until(lambda: bool(device.payloads("fault")))
    assert device.payloads("fault")[0].startswith(b"153 ")
    device.peer.close("reset")
    frontend.node.wait_for_counter("edge_detached", 1)
    for number in range(5):
        upstream.send(b"down %d\r\n" % number)
    device.connect_to(frontend.port, username="ada", password=b"lovelace")
    device.publish("open", OPEN % 1)
    device.wait_until(lambda: len(device.payloads("down")) == 5 and len(device.payloads("answer")) == 2)
    assert device.payloads("down") == [b"down %d" % number for number in range(5)]
    assert device.payloads("answer") == [b"UP 7"] * 2 and not has_pending_attempt(deployment)


def test_sigterm_closes_the_upstream_of_a_disconnected_device(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device()
    upstream = device.open_session(deployment)
    device.peer.close("reset")
    frontend.node.wait_for_counter("edge_detached", 1)
    assert frontend.node.stop() == 0 and upstream.wait_for_close() == "end"


@pytest.mark.parametrize("protocol", [paho.MQTTv5, paho.MQTTv311])
def test_a_third_party_client_keeps_its_session_over_a_link_that_is_cut_repeatedly(
    deployment: Deployment, start_link: Callable[..., LinkProcess], protocol: Any
) -> None:
    """paho-mqtt reconnects by itself; the link is cut after every ten messages in each direction."""
    frontend = MqttDeployment(deployment)
    link = start_link(frontend.port, "--delay-ms", "5")
    is_v5 = protocol == paho.MQTTv5
    client = paho.Client(CallbackAPIVersion.VERSION2, "handset", None if is_v5 else False, protocol=protocol)
    received: list[bytes] = []
    subscribed, answered, arrived = threading.Event(), threading.Event(), threading.Condition()

    def on_message(client: Any, data: Any, message: Any) -> None:
        if message.topic == "puffinpost/answer":
            answered.set()
        else:
            with arrived:
                received.append(message.payload)
                arrived.notify_all()

    client.username_pw_set("ada", "lovelace")
    client.reconnect_delay_set(1, 1)
    client.on_message = on_message
    client.on_connect = lambda client, data, flags, code, connack_properties: client.subscribe(
        "puffinpost/#", 2
    )
    client.on_subscribe = lambda *args: subscribed.set()
    properties = None
    if is_v5:
        properties = Properties(PacketTypes.CONNECT)  # type: ignore[no-untyped-call]
        properties.SessionExpiryInterval = 30
    clean_start = False if is_v5 else paho.MQTT_CLEAN_START_FIRST_ONLY
    client.connect("127.0.0.1", link.port, clean_start=clean_start, properties=properties)
    client.loop_start()
    try:
        assert subscribed.wait(WAIT_TIMEOUT_S)
        client.publish("puffinpost/open", OPEN % 1, qos=2)
        upstream = accept_attempt(deployment.endpoints)[1]
        assert upstream.read_line().startswith(b"OPEN ")
        upstream.send(b"UP 7\r\n")
        assert answered.wait(WAIT_TIMEOUT_S)
        for cycle in range(3):
            for number in range(10):
                client.publish("puffinpost/up", b"up %d" % (10 * cycle + number), qos=2)
                upstream.send(b"down %d\r\n" % (10 * cycle + number))
            link.send_command("cut", "cut")
        assert [upstream.read_line() for _ in range(30)] == [b"up %d\r\n" % number for number in range(30)]
        with arrived:
            assert arrived.wait_for(lambda: len(received) >= 30, WAIT_TIMEOUT_S)
        assert received == [b"down %d" % number for number in range(30)] and not has_pending_attempt(
            deployment
        )
        assert frontend.node.read_counters()["relays"] == 1
    finally:
        client.disconnect()
        client.loop_stop()
        with contextlib.suppress(OSError):
            upstream.close()


@pytest.mark.parametrize("detached", [False, True])
def test_a_session_is_handed_to_the_successor_without_loss_or_duplication(
    deployment: Deployment, detached: bool
) -> None:
    """The endpoint's connection stays open, and no line is lost or duplicated, attached or detached."""
    frontend = MqttDeployment(deployment)
    device, idle_device = frontend.connect_device(), frontend.connect_device("idle")
    idle_device.subscribe()
    idle_device.synchronize()
    upstream = device.open_session(deployment)
    predecessor = frontend.node
    device.publish("up", b"before")
    if detached:
        device.flush()
        assert upstream.read_line() == b"before\r\n"
        device.peer.close("reset")
        predecessor.wait_for_counter("edge_detached", 1)
    else:
        device.synchronize()
        assert upstream.read_line() == b"before\r\n"
    for number in range(10):
        upstream.send(b"down %d\r\n" % number)
    upstream.send(b"half a ")
    if not detached:
        device.wait_until(lambda: len(device.payloads("down")) == 10)
        device.synchronize()
    successor = deployment.start(edge=frontend.edge, same_port_as=predecessor)
    successor.wait_until_ready()
    successor.wait_for_counter("edge_restored", 2)
    assert predecessor.stop() == 0
    upstream.send(b"line\r\n")
    if detached:
        device.connect_to(frontend.port, username="ada", password=b"lovelace")
        assert device.connack is not None and device.connack.session_present
    device.publish("up", b"after")
    device.wait_until(lambda: len(device.payloads("down")) == 11)
    device.synchronize()
    assert upstream.read_line() == b"after\r\n"
    assert device.payloads("down") == [b"down %d" % number for number in range(10)] + [b"half a line"]
    device.publish("open", OPEN % 1)  # a repeated request: the successor knows its answer
    device.synchronize()
    assert (
        successor.read_counters().get("relays", 0) == 0
        and device.payloads("answer") == [b"UP 7"]
        and not has_pending_attempt(deployment)
    )
    idle_device.open_session(deployment, 2)


def test_the_grace_period_of_a_detached_session_continues_across_a_hot_restart(
    deployment: Deployment,
) -> None:
    frontend = MqttDeployment(deployment, resume_config="grace_s = 3")
    device = frontend.connect_device()
    upstream = device.open_session(deployment)
    device.synchronize()
    device.peer.close("reset")
    frontend.node.wait_for_counter("edge_detached", 1)
    start_s = time.monotonic()
    successor = deployment.start(edge=frontend.edge, same_port_as=frontend.node)
    successor.wait_for_counter("edge_restored", 1)
    assert frontend.node.stop() == 0
    assert upstream.wait_for_close() == "end" and time.monotonic() - start_s < 4.5
    assert successor.read_counters()["edge_ended_expired"] == 1
