"""Invalid input is answered, logged with its sender and counted, and the node keeps serving other clients."""

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


def logged_reason(node: NodeProcess, peer: SocketPeer) -> str:
    """Returns the reason that the log gives for rejecting this peer's input."""
    host, port = peer.socket.getsockname()
    address = f"{host}:{port} reason="
    node.wait_for_log(address)
    return node.log_path.read_text().split(address)[1].split("\n")[0]


def assert_node_serves(deployment: Deployment, node: NodeProcess) -> None:
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
def test_an_invalid_first_line_of_a_client_is_answered_with_err_logged_and_counted(
    deployment: Deployment, sent: bytes
) -> None:
    node = deployment.start()
    peer = node.connect(sent)
    assert peer.read_line() == b"ERR\r\n" and peer.wait_for_close() == "end"
    assert logged_reason(node, peer) and node.read_counters()["bad_lines"] == 1
    assert_node_serves(deployment, node)


def test_an_invalid_mqtt_packet_closes_its_connection_and_is_logged_and_counted(
    deployment: Deployment,
) -> None:
    frontend = MqttDeployment(deployment)
    peer = frontend.node.connect(b"GET / HTTP/1.1\r\n\r\n", frontend.port)
    assert peer.wait_for_close() == "end"
    assert logged_reason(frontend.node, peer) and frontend.node.read_counters()["mqtt_bad_packets"] == 1
    assert_node_serves(deployment, frontend.node)


def test_an_invalid_xmpp_stream_is_closed_logged_and_counted(deployment: Deployment) -> None:
    frontend = XmppDeployment(deployment)
    peer = frontend.connect(STREAM_HEADER + b"<a></b>")
    peer.read_until(b"</stream:stream>")
    assert logged_reason(frontend.node, peer).startswith("not-well-formed")
    assert frontend.node.read_counters()["xmpp_bad_streams"] == 1 and frontend.node.process.poll() is None


def test_an_invalid_open_message_of_an_mqtt_client_is_logged_and_counted(deployment: Deployment) -> None:
    frontend = MqttDeployment(deployment)
    device = frontend.connect_device()
    device.subscribe()
    device.publish("open", b"OPEN 1 2 c=live-text,d=soon")
    device.flush()
    assert logged_reason(frontend.node, device.peer) and frontend.node.read_counters()["bad_lines"] == 1
    assert_node_serves(deployment, frontend.node)


def test_an_invalid_session_request_of_an_xmpp_client_is_rejected_logged_and_counted(
    deployment: Deployment,
) -> None:
    frontend = XmppDeployment(deployment)
    peer, _ = frontend.connect_and_bind()
    peer.send(open_request(2000, "other"))
    assert b"<bad-request" in peer.read_until(b"</iq>")
    assert logged_reason(frontend.node, peer) and frontend.node.read_counters()["bad_lines"] == 1


@pytest.mark.parametrize("established", [False, True])
def test_an_invalid_line_of_an_endpoint_ends_its_attempt_and_is_logged_and_counted(
    deployment: Deployment, established: bool
) -> None:
    """Before the session is established the client is retried elsewhere, since its class is idempotent."""
    node = deployment.start()
    client = node.connect(with_new_id(OPEN_LINE % 3000))
    endpoint, upstream = accept_attempt(deployment.endpoints)
    upstream.read_line()
    if established:
        upstream.send(b"UP 1\r\n")
        assert client.read_line() == b"UP 1\r\n"
    upstream.send(b"x" * 5000)
    name = f"s-{deployment.endpoints.index(endpoint)}"
    node.wait_for_log(f"invalid line from an endpoint endpoint={name} reason=")
    assert node.read_counters()["bad_answers"] == 1 and upstream.wait_for_close() in ("end", "reset")
    if established:
        assert client.wait_for_close() == "reset"
    else:
        establish_request(deployment, client)
    assert_node_serves(deployment, node)


def test_log_messages_about_invalid_lines_are_rate_limited(deployment: Deployment) -> None:
    node = deployment.start()
    start_s = time.monotonic()
    for _ in range(100):
        assert node.connect(b"GARBAGE\r\n").read_line() == b"ERR\r\n"
    assert node.read_counters()["bad_lines"] == 100
    logged_count = len(re.findall("invalid line from a client peer=", node.log_path.read_text()))
    assert 1 <= logged_count <= MAX_HIGH_VOLUME_LINES_PER_SECOND * (time.monotonic() - start_s + 2)
