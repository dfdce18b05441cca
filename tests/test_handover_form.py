"""Handover messages between processes of a node are compatible with those that an earlier version wrote.

Each test stands in for the predecessor and the successor of one real process: the predecessor sends a message
of `data/stored`, and the successor must receive the same message; only a time of expiry may differ.
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

STORED_MESSAGES: dict[str, Any] = json.loads(
    (Path(__file__).parent / "data" / "stored" / "handover.json").read_text()
)
RECEIVE_BUFFER_BYTES = 1 << 18


class HandoverPeer:
    """The test's end of the handover channel to the process under test."""

    def __init__(self, channel: socket.socket) -> None:
        self.channel = channel
        channel.settimeout(WAIT_TIMEOUT_S)

    def send(self, message: dict[str, Any], *sockets: socket.socket) -> None:
        socket.send_fds(self.channel, [orjson.dumps(message)], [it.fileno() for it in sockets])

    def receive(self, kind: str) -> tuple[bytes, list[socket.socket]]:
        """Returns the next message of a kind, as bytes, and its sockets. Skips messages of other kinds."""
        while True:
            data, descriptors, _, _ = socket.recv_fds(self.channel, RECEIVE_BUFFER_BYTES, 8)
            assert data, "the channel is closed"
            if orjson.loads(data)["do"] == kind:
                return data, [socket.socket(fileno=each) for each in descriptors]


def connect_loopback() -> tuple[SocketPeer, socket.socket]:
    """Opens a loopback connection; returns the end that the test uses and the end that is handed over."""
    with socket.create_server(("127.0.0.1", 0)) as listening:
        peer = socket.create_connection(listening.getsockname())
        return SocketPeer(peer), listening.accept()[0]


def start_successor(deployment: Deployment, ports: list[int], edge: str) -> tuple[NodeProcess, HandoverPeer]:
    """Starts a process that takes over from the test; returns it and the test's end of the channel."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as handover_listener:
        handover_listener.settimeout(WAIT_TIMEOUT_S)
        handover_listener.bind(str(deployment.folder / "puffinpost-n0.sock"))
        handover_listener.listen()
        node = deployment.start(edge=edge, wait_until_listening=False)
        predecessor = HandoverPeer(handover_listener.accept()[0])
        assert predecessor.receive("ready")[0] == orjson.dumps(STORED_MESSAGES["ready"])
    listening = [socket.create_server(("127.0.0.1", port)) for port in (node.port, *ports)]
    predecessor.send(
        {**STORED_MESSAGES["yours"], "listening": [it.getsockname() for it in listening]}, *listening
    )
    for each in listening:
        each.close()
    node.wait_for_log("listening for clients", len(listening))
    return node, predecessor


def connect_as_successor(deployment: Deployment) -> tuple[HandoverPeer, bytes, list[socket.socket]]:
    """Takes over from the node; returns the end of the channel, the takeover message and its sockets."""
    channel = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel.connect(str(deployment.folder / "puffinpost-n0.sock"))
    successor = HandoverPeer(channel)
    successor.send(STORED_MESSAGES["ready"])
    return successor, *successor.receive("yours")


def test_takeover_message_has_the_stored_form_and_the_learned_state(deployment: Deployment) -> None:
    node, predecessor = start_successor(deployment, [], ALWAYS_HAND_OVER)
    predecessor.send(STORED_MESSAGES["taken"])
    predecessor.send({**STORED_MESSAGES["free"], "ident": STORED_MESSAGES["yours"]["idents"][0]})
    _, data, listening = connect_as_successor(deployment)
    takeover = orjson.loads(data)
    assert list(takeover) == list(STORED_MESSAGES["yours"]) and takeover["process"] == node.process.pid
    assert takeover["listening"] == [list(it.getsockname()) for it in listening]
    stored = STORED_MESSAGES["yours"]["memory"]
    assert list(takeover["memory"]) == list(stored)
    assert [list(it) for it in takeover["memory"]["servers"]] == [list(it) for it in stored["servers"]]
    assert {**takeover["memory"], "servers": []} == {**stored, "servers": []}


def test_established_session_is_handed_on_byte_for_byte(deployment: Deployment) -> None:
    _, predecessor = start_successor(deployment, [], ALWAYS_HAND_OVER)
    client, client_connection = connect_loopback()
    endpoint, upstream_connection = connect_loopback()
    predecessor.send(STORED_MESSAGES["session"], client_connection, upstream_connection)
    successor, _, _ = connect_as_successor(deployment)
    assert successor.receive("session")[0] == orjson.dumps(STORED_MESSAGES["session"])
    assert client.socket.getpeername() and endpoint.socket.getpeername()  # both connections are still open


@pytest.mark.parametrize("name", ["mqtt up with", "mqtt up without", "mqtt away with"])
def test_mqtt_session_is_handed_on_unchanged(deployment: Deployment, name: str) -> None:
    port = free_port()
    (deployment.folder / "users.toml").write_text('ada = "lovelace"\n')
    users = f'users = "{deployment.folder / "users.toml"}"'
    edge = f'{ALWAYS_HAND_OVER}[mqtt]\nlisten = "127.0.0.1:{port}"\n{users}\n[resume]\n'
    node, predecessor = start_successor(deployment, [port], edge)
    message = STORED_MESSAGES[name]
    if message["session"]["expires_ns"] is not None:
        message = {**message, "session": {**message["session"], "expires_ns": time.time_ns() + 2_000_000_000}}
    connections = [connect_loopback() for _ in range(("south" in message) + message["north"])]
    predecessor.send(message, *[it[1] for it in connections])
    node.wait_for_counter("edge_restored", 1)
    successor, _, _ = connect_as_successor(deployment)
    assert without_expiry(successor.receive("device")[0]) == without_expiry(orjson.dumps(message))


def test_xmpp_session_is_handed_on_unchanged(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    edge, port = xmpp.edge, xmpp.port
    xmpp.node.process.kill()
    xmpp.node.process.wait()
    (deployment.folder / "puffinpost-n0.sock").unlink(missing_ok=True)
    node, predecessor = start_successor(deployment, [port], edge)
    message = STORED_MESSAGES["xmpp away without"]
    message = {**message, "session": {**message["session"], "expires_ns": time.time_ns() + 20_000_000_000}}
    predecessor.send(message)
    node.wait_for_counter("edge_restored", 1)
    successor, _, _ = connect_as_successor(deployment)
    message["session"]["outbox"]["out"] = 0  # without a connection, no message of the outbox is in flight
    assert without_expiry(successor.receive("device")[0]) == without_expiry(orjson.dumps(message))


def without_expiry(data: bytes) -> list[Any]:
    """A session message's items in order without the time of expiry, and whether there is none."""
    message = orjson.loads(data)
    expires_ns = message["session"].pop("expires_ns")
    return [list(message.items()), list(message["session"].items()), expires_ns is None]
