"""The maps that one process of a node hands to the next, as an earlier version wrote them.

Each test plays both neighbours of one real process: the earlier one hands it a map of `data/stored`, and the
later one is handed the same map, to the byte.
"""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path
from typing import Any

import orjson
import pytest
from conftest import Deployment
from stand_ins import ALWAYS_HAND_OVER, WAIT_TIMEOUT_S, NodeProcess, SocketPeer, free_port
from xmpp_stand_ins import XmppDeployment

MAPS: dict[str, Any] = json.loads((Path(__file__).parent / "data" / "stored" / "handover.json").read_text())
SIZE = 1 << 18


class Neighbour:
    """One end of the channel between two processes."""

    def __init__(self, channel: socket.socket) -> None:
        self.channel = channel
        channel.settimeout(WAIT_TIMEOUT_S)

    def send(self, message: dict[str, Any], *sockets: socket.socket) -> None:
        socket.send_fds(self.channel, [orjson.dumps(message)], [it.fileno() for it in sockets])

    def receive(self, what: str) -> tuple[bytes, list[socket.socket]]:
        """The next message that does this, as it is on the channel, and its sockets."""
        while True:
            data, descriptors, _, _ = socket.recv_fds(self.channel, SIZE, 8)
            assert data, "the channel has ended"
            if orjson.loads(data)["do"] == what:
                return data, [socket.socket(fileno=each) for each in descriptors]


def pair() -> tuple[SocketPeer, socket.socket]:
    """A connection on loopback: the end that a test plays, and the one that is handed over."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        near = socket.create_connection(listening.getsockname())
        return SocketPeer(near), listening.accept()[0]


def follow(deployment: Deployment, ports: list[int], edge: str) -> tuple[NodeProcess, Neighbour]:
    """A process that takes the place of the one that the test plays; the channel between them."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as meeting:
        meeting.settimeout(WAIT_TIMEOUT_S)
        meeting.bind(str(deployment.folder / "puffinpost-n0.sock"))
        meeting.listen()
        node = deployment.start(edge=edge, wait_until_listening=False)
        earlier = Neighbour(meeting.accept()[0])
        assert earlier.receive("ready")[0] == orjson.dumps(MAPS["ready"])
    listening = [socket.create_server(("127.0.0.1", port)) for port in (node.port, *ports)]
    earlier.send({**MAPS["yours"], "listening": [it.getsockname() for it in listening]}, *listening)
    for each in listening:
        each.close()
    node.wait_for_log("listening for clients", len(listening))
    return node, earlier


def precede(deployment: Deployment) -> tuple[Neighbour, bytes, list[socket.socket]]:
    """The process that comes after the node, played by the test; what it is told first."""
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.connect(str(deployment.folder / "puffinpost-n0.sock"))
    later = Neighbour(channel)
    later.send(MAPS["ready"])
    return later, *later.receive("yours")


def test_what_a_process_says_of_itself_first(deployment: Deployment) -> None:
    node, earlier = follow(deployment, [], ALWAYS_HAND_OVER)
    earlier.send(MAPS["taken"])
    earlier.send({**MAPS["free"], "ident": MAPS["yours"]["idents"][0]})
    _, data, listening = precede(deployment)
    told = orjson.loads(data)
    assert list(told) == list(MAPS["yours"]) and told["process"] == node.process.pid
    assert told["listening"] == [list(it.getsockname()) for it in listening]
    wanted = MAPS["yours"]["memory"]
    assert list(told["memory"]) == list(wanted)
    assert [list(it) for it in told["memory"]["servers"]] == [list(it) for it in wanted["servers"]]
    assert {**told["memory"], "servers": []} == {**wanted, "servers": []}


def test_a_session_on_the_platform_s_lines(deployment: Deployment) -> None:
    _, earlier = follow(deployment, [], ALWAYS_HAND_OVER)
    client, near = pair()
    relay, far = pair()
    earlier.send(MAPS["session"], near, far)
    later, _, _ = precede(deployment)
    assert later.receive("session")[0] == orjson.dumps(MAPS["session"])
    assert client.socket.getpeername() and relay.socket.getpeername()  # both stand


@pytest.mark.parametrize("name", ["mqtt up with", "mqtt up without", "mqtt away with"])
def test_a_device_s_session_over_mqtt(deployment: Deployment, name: str) -> None:
    port = free_port()
    (deployment.folder / "users.toml").write_text('ada = "lovelace"\n')
    users = f'users = "{deployment.folder / "users.toml"}"'
    edge = f'{ALWAYS_HAND_OVER}[mqtt]\nlisten = "127.0.0.1:{port}"\n{users}\n[resume]\n'
    node, earlier = follow(deployment, [port], edge)
    told = MAPS[name]
    if told["session"]["expires_ns"] is not None:
        told = {**told, "session": {**told["session"], "expires_ns": time.time_ns() + 2_000_000_000}}
    ends = [pair() for _ in range(("south" in told) + told["north"])]
    earlier.send(told, *[it[1] for it in ends])
    node.wait_for_counter("edge_restored", 1)
    later, _, _ = precede(deployment)
    assert without_expiry(later.receive("device")[0]) == without_expiry(orjson.dumps(told))


def test_a_device_s_session_over_xmpp(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    edge, port = xmpp.edge, xmpp.port
    xmpp.node.process.kill()
    xmpp.node.process.wait()
    (deployment.folder / "puffinpost-n0.sock").unlink(missing_ok=True)
    node, earlier = follow(deployment, [port], edge)
    told = MAPS["xmpp away without"]
    told = {**told, "session": {**told["session"], "expires_ns": time.time_ns() + 20_000_000_000}}
    earlier.send(told)
    node.wait_for_counter("edge_restored", 1)
    later, _, _ = precede(deployment)
    told["session"]["outbox"]["out"] = 0  # nothing is out on a link that is lost
    assert without_expiry(later.receive("device")[0]) == without_expiry(orjson.dumps(told))


def without_expiry(data: bytes) -> list[Any]:
    """A map's items in order, and whether its session has an end, which is a moment."""
    told = orjson.loads(data)
    expires_ns = told["session"].pop("expires_ns")
    return [list(told.items()), list(told["session"].items()), expires_ns is None]
