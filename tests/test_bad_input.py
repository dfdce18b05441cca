"""What cannot be taken: its answer, a log line that names who sent it, a counter, and nobody else hurt."""

from __future__ import annotations

import re
import time

import pytest
from conftest import Deployment
from stand_ins import NodeProcess, SocketPeer
from test_mqtt import MqttDeployment
from test_node import OPEN_LINE, accept_attempt, establish_request, with_new_id
from xmpp_stand_ins import STREAM_HEADER, XmppDeployment, open_request

from puffinpost.observability.log import MAX_HIGH_VOLUME_LINES_PER_SECOND


def named(node: NodeProcess, peer: SocketPeer, separator: str = " reason=") -> str:
    """Returns the reason that the log gives for rejecting this peer's input."""
    host, port = peer.socket.getsockname()
    address = f"{host}:{port}{separator}"
    node.wait_for_log(address)
    return node.log_path.read_text().split(address)[1].split("\n")[0]


def unhurt(deployment: Deployment, node: NodeProcess) -> None:
    establish_request(deployment, node.connect(with_new_id(OPEN_LINE % 3000)))
    assert node.process.poll() is None


@pytest.mark.parametrize(
    "sent",
    [
        b"GARBAGE\r\n",
        with_new_id(OPEN_LINE % 3000).replace(b"d=3000", b"d=soon"),
        b"x" * 5000,
        b"OPEN \xff\r\n",
    ],
)
def test_a_bad_line_of_a_client(deployment: Deployment, sent: bytes) -> None:
    node = deployment.start()
    peer = node.connect(sent)
    assert peer.read_line() == b"ERR\r\n" and peer.wait_for_close() == "end"
    assert named(node, peer) and node.read_counters()["bad_lines"] == 1
    unhurt(deployment, node)


def test_a_bad_packet_of_a_device(deployment: Deployment) -> None:
    front = MqttDeployment(deployment)
    peer = front.node.connect(b"GET / HTTP/1.1\r\n\r\n", front.port)
    assert peer.wait_for_close() == "end"
    assert named(front.node, peer) and front.node.read_counters()["mqtt_bad_packets"] == 1
    unhurt(deployment, front.node)


def test_a_bad_stream_of_a_client(deployment: Deployment) -> None:
    front = XmppDeployment(deployment)
    peer = front.connect(STREAM_HEADER + b"<a></b>")
    peer.read_until(b"</stream:stream>")
    assert named(front.node, peer, ": ").startswith("not-well-formed")
    assert front.node.read_counters()["xmpp_bad_streams"] == 1 and front.node.process.poll() is None


def test_a_bad_session_of_a_device(deployment: Deployment) -> None:
    front = MqttDeployment(deployment)
    phone = front.connect_device()
    phone.subscribe()
    phone.publish("open", b"OPEN 1 2 c=live-text,d=soon")
    phone.flush()
    assert named(front.node, phone.peer) and front.node.read_counters()["bad_lines"] == 1
    unhurt(deployment, front.node)


def test_a_bad_session_of_an_xmpp_client(deployment: Deployment) -> None:
    front = XmppDeployment(deployment)
    peer, _ = front.connect_and_bind()
    peer.send(open_request(2000, "other"))
    assert b"<bad-request" in peer.read_until(b"</iq>")
    assert named(front.node, peer, ": ") and front.node.read_counters()["bad_lines"] == 1


@pytest.mark.parametrize("stands", [False, True])
def test_a_bad_line_of_a_transcriber(deployment: Deployment, stands: bool) -> None:
    """Before it stands the client is served elsewhere, for its class may be repeated."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    server, relay = accept_attempt(deployment.endpoints)
    relay.read_line()
    if stands:
        relay.send(b"UP 1\r\n")
        assert client.read_line() == b"UP 1\r\n"
    relay.send(b"x" * 5000)
    name = f"s-{deployment.endpoints.index(server)}"
    node.wait_for_log(f"invalid line from an endpoint endpoint={name} reason=")
    assert node.read_counters()["bad_answers"] == 1 and relay.wait_for_close() in ("end", "reset")
    if stands:
        assert client.wait_for_close() == "reset"
    else:
        establish_request(deployment, client)
    unhurt(deployment, node)


def test_bad_input_by_the_hundred_is_a_few_lines_of_the_log(deployment: Deployment) -> None:
    node = deployment.start()
    began = time.monotonic()
    for _ in range(100):
        assert node.connect(b"GARBAGE\r\n").read_line() == b"ERR\r\n"
    assert node.read_counters()["bad_lines"] == 100
    said = len(re.findall("invalid line from a client peer=", node.log_path.read_text()))
    assert 1 <= said <= MAX_HIGH_VOLUME_LINES_PER_SECOND * (time.monotonic() - began + 2)
