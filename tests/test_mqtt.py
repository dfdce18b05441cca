"""MQTT spoken to the real program: over poor links, in hard cases, and by a client of others' making."""

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


class Link:
    """``puffinpost link``, told what to do by a test."""

    def __init__(self, to: int, *more: str) -> None:
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
                *more,
            ],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.wait("listening")

    def wait(self, word: str) -> None:
        assert self.process.stdout is not None
        while not self.process.stdout.readline().startswith(word):
            assert self.process.poll() is None

    def tell(self, command: str, answer: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        self.wait(answer)


class Phone(MqttDevice):
    """A device on a socket."""

    peer: SocketPeer

    def dial(self, port: int, context: ssl.SSLContext | None = None, **more: Any) -> Phone:
        """Connects, or comes back, and waits for CONNACK."""
        connection = socket.create_connection(("127.0.0.1", port))
        self.peer = SocketPeer(
            connection if context is None else context.wrap_socket(connection, server_hostname="edge.test")
        )
        self.peer.send(self.connect(**more))
        self.until(lambda: self.connack is not None)
        return self

    def until(self, true: Callable[[], bool]) -> None:
        """Reads and answers until something holds."""
        self.flush()
        while not true():
            data = self.peer.socket.recv(65536)
            if not data:
                raise EOFError(self.reason_codes)
            self.feed(data)
            self.flush()

    def flush(self) -> None:
        self.peer.send(self.take_output())

    def topics(self, topic: str) -> list[bytes]:
        return [payload for found, payload, _ in self.received if found == topic]

    def opened(self, deployment: Deployment, number: int = 1) -> SocketPeer:
        """Opens a session and lets it come up."""
        self.subscribe()
        self.publish("open", OPEN % number, correlation_data=b"c")
        self.flush()
        relay = accept_attempt(deployment.endpoints)[1]
        assert relay.read_line().startswith(b"OPEN ")
        relay.send(b"UP 7\r\n")
        self.until(lambda: bool(self.topics("answer")))
        assert self.topics("answer") == [b"UP 7"]
        return relay

    def synced(self) -> None:
        """Waits until the node has taken all that was sent, and said all that it had to."""
        self.send(mqtt.Unsubscribe(2, ("puffinpost/none",)))
        self.granted_qos = (-1,)
        self.until(lambda: self.granted_qos != (-1,))


class MqttWorld:
    """A world whose node has the MQTT front on."""

    def __init__(self, deployment: Deployment, more: str = "", resume: str = "", **kinds: Any) -> None:
        self.port = free_port()
        (deployment.folder / "users.toml").write_text('ada = "lovelace"\neve = "x"\n')
        users = f'users = "{deployment.folder / "users.toml"}"'
        edge = (
            f'{ALWAYS_HAND_OVER}[mqtt]\nlisten = "127.0.0.1:{self.port}"\n'
            f"{users}\n{more}\n[resume]\n{resume}\n"
        )
        self.edge = edge
        self.node: NodeProcess = deployment.start(edge=edge, **kinds)

    def phone(self, name: str = "phone", qos: int = 2, version: int = mqtt.V5, **more: Any) -> Phone:
        return Phone(name, version, qos).dial(
            more.pop("port", self.port), username="ada", password=b"lovelace", **more
        )


@pytest.fixture
def links() -> Iterator[Callable[..., Link]]:
    made: list[Link] = []

    def make(to: int, *more: str) -> Link:
        made.append(Link(to, *more))
        return made[-1]

    yield make
    for each in made:
        each.process.kill()
        each.process.wait()


def asked(deployment: Deployment) -> bool:
    return any(server.has_pending_connection() for server in deployment.endpoints)


@pytest.mark.parametrize("qos", [1, 2])
def test_a_connection_lost_in_mid_packet_is_resumed(
    deployment: Deployment, links: Callable[..., Link], qos: int
) -> None:
    """The half message is not passed on, the whole one once; what came meanwhile arrives once, in order."""
    front = MqttWorld(deployment)
    link = links(front.port, "--delay-ms", "20", "--jitter-ms", "10", "--seed", "3")
    phone = front.phone(qos=qos, port=link.port)
    relay = phone.opened(deployment)
    phone.publish("up", b"first")
    phone.publish("up", b"second, " + b"x" * 2000)
    data = phone.take_output()
    phone.peer.send(data[:-700])  # the whole of the first, and half of the second
    assert relay.read_line() == b"first\r\n"
    link.tell("cut", "cut")
    for number in range(40):
        relay.send(b"meanwhile %d\r\n" % number)
    phone.dial(link.port, username="ada", password=b"lovelace")
    assert phone.connack is not None and phone.connack.session_present
    assert relay.read_line() == b"second, " + b"x" * 2000 + b"\r\n"
    phone.until(lambda: len(phone.topics("down")) == 40)
    phone.publish("up", b"third")
    phone.synced()
    assert relay.read_line() == b"third\r\n" and not asked(deployment)
    assert phone.topics("down") == [b"meanwhile %d" % number for number in range(40)]
    counts = front.node.read_counters()
    assert counts["relays"] == 1 and counts["edge_resumed"] + counts.get("edge_taken_over", 0) == 1


@pytest.mark.parametrize("how", ["same link", "new link", "half dead"])
def test_a_retry_joins_the_attempt_under_way(
    deployment: Deployment, links: Callable[..., Link], how: str
) -> None:
    front = MqttWorld(deployment)
    link = links(front.port)
    phone = front.phone(port=link.port)
    phone.subscribe()
    phone.publish("open", OPEN % 1, correlation_data=b"c")
    phone.flush()
    relay = accept_attempt(deployment.endpoints)[1]
    assert relay.read_line().startswith(b"OPEN ")
    if how != "same link":
        link.tell(*(("cut", "cut") if how == "new link" else ("freeze", "frozen")))
        phone.dial(link.port, username="ada", password=b"lovelace")
    phone.publish("open", OPEN % 1, correlation_data=b"c")
    phone.synced()
    assert not asked(deployment)
    relay.send(b"UP 7\r\n")
    phone.until(lambda: bool(phone.topics("answer")))
    phone.synced()
    assert phone.topics("answer") == [b"UP 7"]
    counts = front.node.read_counters()
    assert counts["relays"] == counts["messages"] == counts["edge_joined"] == 1


@pytest.mark.parametrize("word", [b"UP 7\r\n", b"ERR\r\n"])
def test_an_answer_given_while_the_device_was_disconnected_is_delivered_once(
    deployment: Deployment, word: bytes
) -> None:
    front = MqttWorld(deployment)
    phone = front.phone()
    phone.subscribe()
    phone.publish("open", (OPEN % 1).replace(b"live-text", b"once"), correlation_data=b"mine")
    phone.flush()
    relay = accept_attempt(deployment.endpoints)[1]
    assert relay.read_line().startswith(b"OPEN ")
    phone.peer.close("reset")
    front.node.wait_for_counter("edge_detached", 1)
    relay.send(word)
    front.node.wait_for_counter("up" if word[:2] == b"UP" else "failed", 1)
    for _ in range(3):
        phone.dial(front.port, username="ada", password=b"lovelace")
        phone.until(lambda: bool(phone.received))
        phone.synced()
        phone.peer.close("reset")
    assert phone.received == [("answer", word.rstrip(), {"correlation_data": b"mine"})]


@pytest.mark.parametrize("why", ["drain", "ban", "bye"])
def test_a_disconnected_device_is_notified_of_migration_when_it_resumes(
    deployment: Deployment, why: str
) -> None:
    front = MqttWorld(deployment)
    phone = front.phone()
    relay = phone.opened(deployment)
    phone.peer.close("reset")
    front.node.wait_for_counter("edge_detached", 1)
    name = next(
        f"s-{number}"
        for number, server in enumerate(deployment.endpoints)
        if server.port == relay.socket.getsockname()[1]
    )
    if why == "drain":
        deployment.discovery.set_endpoint(name, deployment.endpoints[int(name[2:])].address, "draining")
    elif why == "ban":
        assert front.node.request_admin("POST", f"/transcribers/disable/{name}")[0] == 200
    else:
        relay.send(b"BYE\r\n")
        relay.close()
    if why != "bye":
        assert relay.wait_for_close() == "end"  # the transcriber is freed before the device is back
    phone.dial(front.port, username="ada", password=b"lovelace")
    topic = "bye" if why == "bye" else "move"
    phone.until(lambda: bool(phone.topics(topic)))
    phone.received.clear()
    phone.opened(deployment, 2)


def test_nothing_is_kept_after_the_grace_period(deployment: Deployment) -> None:
    front = MqttWorld(deployment, resume="grace_s = 1")
    phone = front.phone()
    assert phone.connack is not None and phone.connack.properties["session_expiry"] == 1
    relay = phone.opened(deployment)
    phone.peer.close("reset")
    began = time.monotonic()
    assert relay.wait_for_close() == "end" and 0.9 < time.monotonic() - began < 2.5
    phone.dial(front.port, username="ada", password=b"lovelace")
    assert phone.connack is not None and not phone.connack.session_present


def test_of_two_connections_that_claim_a_session_the_newer_wins(deployment: Deployment) -> None:
    front = MqttWorld(deployment)
    old = front.phone()
    relay = old.opened(deployment)
    new = front.phone()
    with pytest.raises(EOFError):
        old.until(lambda: False)
    assert old.reason_codes[-1] == ReasonCode.SESSION_TAKEN_OVER
    new.publish("up", b"from the newer")
    new.flush()
    assert relay.read_line() == b"from the newer\r\n"
    stranger = Phone("phone").dial(front.port, username="eve", password=b"x")
    assert stranger.connack is not None and not stranger.connack.session_present  # the name is another's
    fresh = front.phone(clean=True)
    assert fresh.connack is not None and not fresh.connack.session_present and relay.wait_for_close() == "end"


def test_user_and_client_id_pairs_that_concatenate_alike_are_distinct(deployment: Deployment) -> None:
    front = MqttWorld(deployment)
    (deployment.folder / "users.toml").write_text('ada = "lovelace"\n"ada:b" = "x"\n')
    other = deployment.start(edge=front.edge, same_port_as=front.node)
    other.wait_until_ready()
    first = front.phone("b:c")
    second = Phone("c").dial(front.port, username="ada:b", password=b"x")
    assert first.connack is not None and second.connack is not None
    assert (first.connack.code, second.connack.code) == (0, 0)


def test_an_invalid_line_is_refused_and_no_other_message_is_lost(deployment: Deployment) -> None:
    front = MqttWorld(deployment)
    phone = front.phone(qos=1)
    relay = phone.opened(deployment)
    for payload in (b"before", b"a\rb", b"a\nb", b"x" * 4095, b"x" * 4094, b"after"):
        phone.publish("up", payload)
    phone.synced()
    assert phone.reason_codes[-6:] == [0, 0x99, 0x99, 0x99, 0, 0]
    assert [relay.read_line() for _ in range(3)] == [b"before\r\n", b"x" * 4094 + b"\r\n", b"after\r\n"]
    for topic, code in (("elsewhere", ReasonCode.TOPIC_INVALID), ("answer", ReasonCode.TOPIC_INVALID)):
        phone.publish(topic, b"x")
        phone.synced()
        assert phone.reason_codes[-1] == code
    phone.publish("open", OPEN % 9)
    phone.synced()
    assert phone.reason_codes[-1] == ReasonCode.QUOTA_EXCEEDED


@pytest.mark.parametrize("version", [mqtt.V5, mqtt.V311])
def test_unsupported_subscriptions_are_refused_with_their_code(deployment: Deployment, version: int) -> None:
    phone = MqttWorld(deployment).phone(version=version)
    phone.subscribe("puffinpost/down", "#", "other/x", "$share/g/puffinpost/down", "puffinpost/+")
    phone.until(lambda: bool(phone.granted_qos))
    known = version == mqtt.V5
    assert phone.granted_qos == (
        2,
        0x8F if known else 0x80,
        0x8F if known else 0x80,
        0x9E if known else 0x80,
        2,
    )


@pytest.mark.parametrize(
    ("more", "code"),
    [
        ({"password": b"wrong"}, ReasonCode.BAD_USER_NAME_OR_PASSWORD),
        ({"username": "nobody"}, ReasonCode.BAD_USER_NAME_OR_PASSWORD),
        ({"username": None, "password": None}, ReasonCode.NOT_AUTHORIZED),
        ({"properties": {"authentication_method": "SCRAM"}}, ReasonCode.BAD_AUTH_METHOD),
        ({"properties": {"maximum_packet_size": 100}}, ReasonCode.IMPLEMENTATION_SPECIFIC),
    ],
)
def test_a_refused_connect_has_its_reason_code(
    deployment: Deployment, more: dict[str, Any], code: ReasonCode
) -> None:
    front = MqttWorld(deployment)
    phone = Phone("phone").dial(front.port, **{"username": "ada", "password": b"lovelace", **more})
    assert phone.connack is not None and phone.connack.code == code and phone.peer.wait_for_close() == "end"


def test_guessable_client_ids_of_anonymous_clients_are_not_resumable(deployment: Deployment) -> None:
    front = MqttWorld(deployment, "anonymous = true")
    weak = Phone("phone").dial(front.port)
    assert weak.connack is not None and weak.connack.properties["session_expiry"] == 0
    relay = weak.opened(deployment)
    other = Phone("phone").dial(front.port)
    assert other.connack is not None and not other.connack.session_present
    weak.publish("up", b"still here")
    weak.flush()
    assert relay.read_line() == b"still here\r\n"
    sure = Phone("").dial(front.port)
    assert sure.connack is not None
    sure.client_id = sure.connack.properties["assigned_client_id"]
    sure.peer.close()
    sure.dial(front.port)
    assert sure.connack is not None and sure.connack.session_present


def test_a_certificate_authenticates_its_common_name(deployment: Deployment) -> None:
    front = MqttWorld(deployment, f'certificate = "{CERTIFICATE}"\nkey = "{KEY}"\nca = "{CERTIFICATE}"')
    context = ssl.create_default_context(cafile=str(CERTIFICATE))
    bare = Phone("phone").dial(front.port, context)
    assert bare.connack is not None and bare.connack.code == ReasonCode.NOT_AUTHORIZED
    context.load_cert_chain(CERTIFICATE, KEY)
    phone = Phone("phone").dial(front.port, context)
    relay = phone.opened(deployment)
    phone.publish("up", b"over TLS")
    phone.flush()
    assert relay.read_line() == b"over TLS\r\n"
    phone.peer.close("reset")
    phone.dial(front.port, context)
    assert phone.connack is not None and phone.connack.session_present


def test_a_silent_client_is_timed_out_by_its_keep_alive(deployment: Deployment) -> None:
    front = MqttWorld(deployment, "keep_alive_s = 5")
    phone = front.phone(keep_alive=1)
    assert phone.connack is not None and "server_keep_alive" not in phone.connack.properties
    relay = phone.opened(deployment)
    with pytest.raises(EOFError):
        phone.until(lambda: False)
    assert phone.reason_codes[-1] == ReasonCode.KEEP_ALIVE_TIMEOUT
    phone.dial(front.port, username="ada", password=b"lovelace")
    assert phone.connack.properties["server_keep_alive"] == 5
    phone.publish("up", b"back")
    phone.flush()
    assert relay.read_line() == b"back\r\n"


def test_a_device_that_does_not_acknowledge_pauses_only_its_own_upstream(deployment: Deployment) -> None:
    front = MqttWorld(deployment, resume="lines = 32")
    phone, other = front.phone(), front.phone("other")
    relay = phone.opened(deployment)
    relay.socket.settimeout(0.5)
    sent = 0
    with pytest.raises(TimeoutError):
        while sent < 50_000_000:  # far more than the kernel and a bounded buffer take together
            relay.send(b"y" * 4000 + b"\r\n")
            sent += 4002
    assert sent < 50_000_000
    relay.socket.settimeout(WAIT_TIMEOUT_S)
    second = other.opened(deployment, 2)
    second.send(b"for the other\r\n")
    other.until(lambda: other.topics("down") == [b"for the other"])
    phone.until(lambda: len(phone.topics("down")) > 200)
    assert set(phone.topics("down")) == {b"y" * 4000}
    assert front.node.read_counters()["edge_held_back"] >= 1


def test_sigterm_disconnects_clients_with_a_reason(deployment: Deployment) -> None:
    front = MqttWorld(deployment)
    phone = front.phone()
    relay = phone.opened(deployment)
    front.node.process.terminate()
    with pytest.raises(EOFError):
        phone.until(lambda: False)
    assert phone.topics("move") == [b"MOVE"] and phone.reason_codes[-1] == ReasonCode.SHUTTING_DOWN
    assert relay.wait_for_close() == "end" and front.node.process.wait(WAIT_TIMEOUT_S) == 0


def test_at_qos_0_messages_are_kept_while_disconnected_and_an_answer_is_repeated(
    deployment: Deployment,
) -> None:
    front = MqttWorld(deployment)
    phone = front.phone(qos=0)
    relay = phone.opened(deployment)
    phone.publish("up", b"a\nb")
    phone.until(lambda: bool(phone.topics("fault")))
    assert phone.topics("fault")[0].startswith(b"153 ")
    phone.peer.close("reset")
    front.node.wait_for_counter("edge_detached", 1)
    for number in range(5):
        relay.send(b"down %d\r\n" % number)
    phone.dial(front.port, username="ada", password=b"lovelace")
    phone.publish("open", OPEN % 1)
    phone.until(lambda: len(phone.topics("down")) == 5 and len(phone.topics("answer")) == 2)
    assert phone.topics("down") == [b"down %d" % number for number in range(5)]
    assert phone.topics("answer") == [b"UP 7"] * 2 and not asked(deployment)


def test_sigterm_closes_the_upstream_of_a_disconnected_device(deployment: Deployment) -> None:
    front = MqttWorld(deployment)
    phone = front.phone()
    relay = phone.opened(deployment)
    phone.peer.close("reset")
    front.node.wait_for_counter("edge_detached", 1)
    assert front.node.stop() == 0 and relay.wait_for_close() == "end"


@pytest.mark.parametrize("protocol", [paho.MQTTv5, paho.MQTTv311])
def test_a_third_party_client_keeps_its_session_over_a_lossy_connection(
    deployment: Deployment, links: Callable[..., Link], protocol: Any
) -> None:
    """paho-mqtt, with every reconnect its own doing, through a link that is cut again and again."""
    front = MqttWorld(deployment)
    link = links(front.port, "--delay-ms", "5")
    known = protocol == paho.MQTTv5
    client = paho.Client(CallbackAPIVersion.VERSION2, "handset", None if known else False, protocol=protocol)
    got: list[bytes] = []
    ready, answered, arrived = threading.Event(), threading.Event(), threading.Condition()

    def heard(client: Any, data: Any, message: Any) -> None:
        if message.topic == "puffinpost/answer":
            answered.set()
        else:
            with arrived:
                got.append(message.payload)
                arrived.notify_all()

    client.username_pw_set("ada", "lovelace")
    client.reconnect_delay_set(1, 1)
    client.on_message = heard
    client.on_connect = lambda client, data, flags, code, more: client.subscribe("puffinpost/#", 2)
    client.on_subscribe = lambda *told: ready.set()
    properties = None
    if known:
        properties = Properties(PacketTypes.CONNECT)  # type: ignore[no-untyped-call]
        properties.SessionExpiryInterval = 30
    start = False if known else paho.MQTT_CLEAN_START_FIRST_ONLY
    client.connect("127.0.0.1", link.port, clean_start=start, properties=properties)
    client.loop_start()
    try:
        assert ready.wait(WAIT_TIMEOUT_S)
        client.publish("puffinpost/open", OPEN % 1, qos=2)
        relay = accept_attempt(deployment.endpoints)[1]
        assert relay.read_line().startswith(b"OPEN ")
        relay.send(b"UP 7\r\n")
        assert answered.wait(WAIT_TIMEOUT_S)
        for turn in range(3):
            for number in range(10):
                client.publish("puffinpost/up", b"up %d" % (10 * turn + number), qos=2)
                relay.send(b"down %d\r\n" % (10 * turn + number))
            link.tell("cut", "cut")
        assert [relay.read_line() for _ in range(30)] == [b"up %d\r\n" % number for number in range(30)]
        with arrived:
            assert arrived.wait_for(lambda: len(got) >= 30, WAIT_TIMEOUT_S)
        assert got == [b"down %d" % number for number in range(30)] and not asked(deployment)
        assert front.node.read_counters()["relays"] == 1
    finally:
        client.disconnect()
        client.loop_stop()
        with contextlib.suppress(OSError):
            relay.close()


@pytest.mark.parametrize("away", [False, True])
def test_a_session_is_handed_to_the_next_process_of_the_node(deployment: Deployment, away: bool) -> None:
    """With its link or without one: the transcriber notices nothing, and no line is lost or doubled."""
    front = MqttWorld(deployment)
    phone, idle = front.phone(), front.phone("idle")
    idle.subscribe()
    idle.synced()
    relay = phone.opened(deployment)
    old = front.node
    phone.publish("up", b"before")
    if away:
        phone.flush()
        assert relay.read_line() == b"before\r\n"
        phone.peer.close("reset")
        old.wait_for_counter("edge_detached", 1)
    else:
        phone.synced()
        assert relay.read_line() == b"before\r\n"
    for number in range(10):
        relay.send(b"down %d\r\n" % number)
    relay.send(b"half a ")
    if not away:
        phone.until(lambda: len(phone.topics("down")) == 10)
        phone.synced()
    new = deployment.start(edge=front.edge, same_port_as=old)
    new.wait_until_ready()
    new.wait_for_counter("edge_restored", 2)
    assert old.stop() == 0
    relay.send(b"line\r\n")
    if away:
        phone.dial(front.port, username="ada", password=b"lovelace")
        assert phone.connack is not None and phone.connack.session_present
    phone.publish("up", b"after")
    phone.until(lambda: len(phone.topics("down")) == 11)
    phone.synced()
    assert relay.read_line() == b"after\r\n"
    assert phone.topics("down") == [b"down %d" % number for number in range(10)] + [b"half a line"]
    phone.publish("open", OPEN % 1)  # the same session, asked again: known here too
    phone.synced()
    assert (
        new.read_counters().get("relays", 0) == 0
        and phone.topics("answer") == [b"UP 7"]
        and not asked(deployment)
    )
    idle.opened(deployment, 2)


def test_a_detached_session_keeps_only_its_grace_period_across_an_upgrade(deployment: Deployment) -> None:
    front = MqttWorld(deployment, resume="grace_s = 3")
    phone = front.phone()
    relay = phone.opened(deployment)
    phone.synced()
    phone.peer.close("reset")
    front.node.wait_for_counter("edge_detached", 1)
    began = time.monotonic()
    new = deployment.start(edge=front.edge, same_port_as=front.node)
    new.wait_for_counter("edge_restored", 1)
    assert front.node.stop() == 0
    assert relay.wait_for_close() == "end" and time.monotonic() - began < 4.5
    assert new.read_counters()["edge_ended_expired"] == 1
