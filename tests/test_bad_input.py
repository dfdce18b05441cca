"""What cannot be taken: its answer, a log line that names who sent it, a counter, and nobody else hurt."""

from __future__ import annotations

import re
import time

import pytest
from conftest import World
from standins import Node, Peer
from test_mqtt import MqttWorld
from test_node import OPEN, first_of, fresh
from test_node import served as served_on_lines
from xmpp_standins import HEADER, XmppWorld, opening

from puffinpost.observability.log import MAX_HIGH_VOLUME_LINES_PER_SECOND


def named(node: Node, peer: Peer) -> str:
    """What the log says of this peer."""
    host, port = peer.socket.getsockname()
    node.wait_log(f"{host}:{port}: ")
    return node.log.read_text().split(f"{host}:{port}: ")[1].split("\n")[0]


def unhurt(world: World, node: Node) -> None:
    served_on_lines(world, node.client(fresh(OPEN % 3000)))
    assert node.process.poll() is None


@pytest.mark.parametrize(
    "sent",
    [
        b"GARBAGE\r\n",
        fresh(OPEN % 3000).replace(b"d=3000", b"d=soon"),
        b"x" * 5000,
        b"OPEN \xff\r\n",
    ],
)
def test_a_bad_line_of_a_client(world: World, sent: bytes) -> None:
    node = world.start()
    peer = node.client(sent)
    assert peer.line() == b"ERR\r\n" and peer.ending() == "end"
    assert named(node, peer) and node.counts()["bad_lines"] == 1
    unhurt(world, node)


def test_a_bad_packet_of_a_device(world: World) -> None:
    front = MqttWorld(world)
    peer = front.node.client(b"GET / HTTP/1.1\r\n\r\n", front.port)
    assert peer.ending() == "end"
    assert named(front.node, peer) and front.node.counts()["mqtt_bad_packets"] == 1
    unhurt(world, front.node)


def test_a_bad_stream_of_a_client(world: World) -> None:
    front = XmppWorld(world)
    peer = front.connect(HEADER + b"<a></b>")
    peer.until(b"</stream:stream>")
    assert named(front.node, peer).startswith("not-well-formed")
    assert front.node.counts()["xmpp_bad_streams"] == 1 and front.node.process.poll() is None


def test_a_bad_session_of_a_device(world: World) -> None:
    front = MqttWorld(world)
    phone = front.phone()
    phone.subscribe()
    phone.publish("open", b"OPEN 1 2 c=live-text,d=soon")
    phone.flush()
    assert named(front.node, phone.peer) and front.node.counts()["bad_lines"] == 1
    unhurt(world, front.node)


def test_a_bad_session_of_an_xmpp_client(world: World) -> None:
    front = XmppWorld(world)
    peer, _ = front.client()
    peer.send(opening(2000, "other"))
    assert b"<bad-request" in peer.until(b"</iq>")
    assert named(front.node, peer) and front.node.counts()["bad_lines"] == 1


@pytest.mark.parametrize("stands", [False, True])
def test_a_bad_line_of_a_transcriber(world: World, stands: bool) -> None:
    """Before it stands the client is served elsewhere, for its class may be repeated."""
    node = world.start()
    client = node.client(fresh(OPEN % 3000))
    server, relay = first_of(world.servers)
    relay.line()
    if stands:
        relay.send(b"UP 1\r\n")
        assert client.line() == b"UP 1\r\n"
    relay.send(b"x" * 5000)
    name = f"s-{world.servers.index(server)}"
    node.wait_log(f"bad line from transcriber {name}: ")
    assert node.counts()["bad_answers"] == 1 and relay.ending() in ("end", "reset")
    if stands:
        assert client.ending() == "reset"
    else:
        served_on_lines(world, client)
    unhurt(world, node)


def test_bad_input_by_the_hundred_is_a_few_lines_of_the_log(world: World) -> None:
    node = world.start()
    began = time.monotonic()
    for _ in range(100):
        assert node.client(b"GARBAGE\r\n").line() == b"ERR\r\n"
    assert node.counts()["bad_lines"] == 100
    said = len(re.findall("bad line from a client at", node.log.read_text()))
    assert 1 <= said <= MAX_HIGH_VOLUME_LINES_PER_SECOND * (time.monotonic() - began + 2)
