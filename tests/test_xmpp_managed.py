"""Tests stream management (XEP-0198) of the XMPP frontend of a started node."""

from __future__ import annotations

import contextlib
import re
import select

import pytest
from conftest import Deployment
from stand_ins import WAIT_TIMEOUT_S, SocketPeer
from test_node import accept_attempt
from xmpp_stand_ins import (
    BIND_REQUEST,
    FEATURES_END,
    SASL_XMLNS,
    SESSION_UP,
    STREAM_HEADER,
    XmppDeployment,
    answer_iq,
    negotiate_as_endpoint,
    open_request,
    plain_auth,
)

SM = b"xmlns='urn:xmpp:sm:3'"


class ManagedClient:
    """A client that keeps the state that XEP-0198 requires: unacknowledged stanzas and the handled count."""

    def __init__(self, xmpp: XmppDeployment, resource: bytes = b"phone", user: str = "ada") -> None:
        self.xmpp, self.user = xmpp, user
        self.handled_count = 0
        self.stanzas: list[bytes] = []
        self.unacknowledged: list[bytes] = []
        self.acknowledged_count = 0
        self.peer = self.connect_and_authenticate()
        self.peer.send(BIND_REQUEST % (b"<resource>" + resource + b"</resource>"))
        self.peer.read_until(b"</iq>")
        self.peer.send(b"<enable " + SM + b" resume='true' max='60'/>")
        found = re.search(
            rb"<enabled [^>]*id='([0-9a-f]{48})'[^>]*max='(\d+)'/>", self.peer.read_until(b"/>")
        )
        assert found is not None
        self.token, self.max_s = found.group(1), int(found.group(2))

    def connect_and_authenticate(self) -> SocketPeer:
        peer = self.xmpp.connect_over_tls()
        peer.read_until(FEATURES_END)
        peer.send(plain_auth(self.user, "lovelace"))
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        peer.send(STREAM_HEADER)
        assert b"<sm " + SM + b"/>" in peer.read_until(FEATURES_END)
        return peer

    def send(self, stanza: bytes) -> None:
        self.unacknowledged.append(stanza)
        self.peer.send(stanza)

    def resume(self, token: bytes = b"", handled_count: int | None = None) -> bytes:
        """Resumes the session on a new connection and returns the node's response."""
        self.peer = self.connect_and_authenticate()
        count = self.handled_count if handled_count is None else handled_count
        self.peer.send(b"<resume " + SM + b" h='%d' previd='%s'/>" % (count, token or self.token))
        response = self.peer.read_until(b">")
        if b"<resumed " in response:
            found = re.search(rb" h='(\d+)'", response)
            assert found is not None
            self.on_acknowledged(int(found.group(1)))
            for stanza in self.unacknowledged:
                self.peer.send(stanza)
        return response if b"/>" in response else response + self.peer.read_until(b"</failed>")

    def on_acknowledged(self, count: int) -> None:
        self.unacknowledged = self.unacknowledged[count - self.acknowledged_count :]
        self.acknowledged_count = count

    def receive_stanza(self) -> bytes:
        """Returns the next stanza, and answers acknowledgement requests that arrive before it."""
        while True:
            response = self.peer.read_until(b">")
            if response.startswith(b"<r "):
                self.peer.send(b"<a " + SM + b" h='%d'/>" % self.handled_count)
            elif not response.startswith(b"<a "):
                name = re.match(rb"<(\w+)", response)
                assert name is not None
                if not response.endswith(b"/>"):
                    response += self.peer.read_until(b"</" + name.group(1) + b">")
                self.handled_count += 1
                self.stanzas.append(response)
                return response

    def request_handled_count(self) -> int:
        """Requests and returns how many of the sent stanzas the node has handled."""
        self.peer.send(b"<r " + SM + b"/>")
        found = re.search(rb"<a [^>]*h='(\d+)'", self.peer.read_until(b"/>"))
        assert found is not None
        return int(found.group(1))


def open_session(deployment: Deployment, client: ManagedClient) -> SocketPeer:
    client.send(open_request(3000))
    upstream = accept_attempt(deployment.endpoints)[1]
    answer_iq(upstream, negotiate_as_endpoint(upstream), SESSION_UP)
    assert SESSION_UP in client.receive_stanza()
    return upstream


def lose_connection(client: ManagedClient) -> None:
    client.peer.close("reset")
    client.xmpp.node.wait_for_counter(
        "edge_detached", 1 + client.xmpp.node.read_counters().get("edge_resumed", 0)
    )


def test_after_a_connection_loss_in_mid_stanza_each_message_arrives_once(
    deployment: Deployment,
) -> None:
    client = ManagedClient(XmppDeployment(deployment))
    upstream = open_session(deployment, client)
    client.send(b"<message id='1'><body>first</body></message>")
    assert client.request_handled_count() == 2
    partial = b"<message id='2'><body>second</body></message>"
    client.unacknowledged.append(partial)
    client.peer.send(partial[:20])
    lose_connection(client)
    for number in range(40):
        upstream.send(b"<message><body>meanwhile %d</body></message>" % number)
    assert b"<resumed " in client.resume()
    bodies = [client.receive_stanza() for _ in range(40)]
    assert [b"meanwhile %d<" % number in body for number, body in enumerate(bodies)] == [True] * 40
    client.send(b"<message id='3'><body>third</body></message>")
    forwarded = [upstream.read_until(b"</message>") for _ in range(3)]
    assert [re.search(rb"<body>(\w+)", each).group(1) for each in forwarded] == [  # type: ignore[union-attr]
        b"first",
        b"second",
        b"third",
    ]
    assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)
    assert client.xmpp.node.read_counters()["relays"] == 1


def test_an_answer_given_while_disconnected_is_delivered_once_after_resumption(
    deployment: Deployment,
) -> None:
    client = ManagedClient(XmppDeployment(deployment))
    client.send(open_request(3000))
    upstream = accept_attempt(deployment.endpoints)[1]
    open_iq = negotiate_as_endpoint(upstream)
    lose_connection(client)
    answer_iq(upstream, open_iq, SESSION_UP)
    client.xmpp.node.wait_for_counter("up", 1)
    assert b"<resumed " in client.resume()
    assert SESSION_UP in client.receive_stanza() and not client.unacknowledged
    lose_connection(client)
    assert b"<resumed " in client.resume()
    assert client.request_handled_count() == 1
    assert not client.peer.buffer and not select.select([client.peer.socket], [], [], 0)[0]
    upstream.send(b"<message><body>x</body></message>")
    assert b"<body>x" in client.receive_stanza() and not any(
        endpoint.has_pending_connection() for endpoint in deployment.endpoints
    )


def test_a_repeated_open_joins_the_request_under_way(deployment: Deployment) -> None:
    client = ManagedClient(XmppDeployment(deployment))
    client.send(open_request(3000))
    upstream = accept_attempt(deployment.endpoints)[1]
    open_iq = negotiate_as_endpoint(upstream)
    client.send(open_request(3000))
    assert client.request_handled_count() == 2
    answer_iq(upstream, open_iq, SESSION_UP)
    assert SESSION_UP in client.receive_stanza() and client.request_handled_count() == 2
    assert client.xmpp.node.read_counters()["messages"] == 1 and not any(
        endpoint.has_pending_connection() for endpoint in deployment.endpoints
    )


def test_a_connection_that_resumes_a_session_replaces_the_earlier_connection(deployment: Deployment) -> None:
    client = ManagedClient(XmppDeployment(deployment))
    upstream = open_session(deployment, client)
    earlier = client.peer
    assert b"<resumed " in client.resume()
    assert b"<conflict " in earlier.read_until(b"</stream:stream>") and earlier.wait_for_close() == "end"
    client.send(b"<message><body>newer</body></message>")
    assert b"newer" in upstream.read_until(b"</message>")


@pytest.mark.parametrize("how", ["wrong", "foreign", "ended"])
def test_an_invalid_token_is_refused_and_reveals_nothing(deployment: Deployment, how: str) -> None:
    xmpp = XmppDeployment(deployment)
    client = ManagedClient(xmpp)
    upstream = open_session(deployment, client)
    if how == "ended":
        client.peer.send(b"</stream:stream>")
        assert upstream.wait_for_close() == "end"
    else:
        lose_connection(client)
    if how == "foreign":
        other_client, _ = xmpp.connect_and_bind()
        other_client.close()
        peer = xmpp.connect(STREAM_HEADER)
        peer.read_until(FEATURES_END)
        peer.send(b"<auth " + SASL_XMLNS + b" mechanism='ANONYMOUS'/>")
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        peer.send(STREAM_HEADER)
        peer.read_until(FEATURES_END)
        peer.send(b"<resume " + SM + b" h='0' previd='" + client.token + b"'/>")
        response = peer.read_until(b"</failed>")
    else:
        response = client.resume(b"0" * 48 if how == "wrong" else b"")
        peer = client.peer
    handled_attribute = b" h='1'" if how == "ended" else b""  # returned for the user's own session
    condition = b"<item-not-found xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/>"
    assert response == b"<failed " + SM + handled_attribute + b">" + condition + b"</failed>"
    peer.send(BIND_REQUEST % b"")  # the stream stays usable
    assert b"<jid>" in peer.read_until(b"</iq>")


@pytest.mark.parametrize("count", [5, 4294967295])
def test_an_acknowledgement_of_unsent_stanzas_ends_the_stream(deployment: Deployment, count: int) -> None:
    client = ManagedClient(XmppDeployment(deployment))
    open_session(deployment, client)
    client.peer.send(b"<a " + SM + b" h='%d'/>" % count)
    response = client.peer.read_until(b"</stream:stream>")
    assert b"<handled-count-too-high " + SM + b" h='%d' send-count='0'/>" % count in response
    assert b"undefined-condition" in response


def test_stream_management_out_of_sequence_is_refused(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    peer = xmpp.connect_over_tls()
    peer.read_until(FEATURES_END)
    peer.send(plain_auth("ada", "lovelace"))
    peer.read_until(b"<success " + SASL_XMLNS + b"/>")
    peer.send(STREAM_HEADER)
    peer.read_until(FEATURES_END)
    peer.send(b"<enable " + SM + b"/>")
    assert b"<unexpected-request " in peer.read_until(b"</failed>")
    peer.send(BIND_REQUEST % b"")
    peer.read_until(b"</iq>")
    peer.send(b"<resume " + SM + b" h='0' previd='x'/>")
    assert b"<unexpected-request " in peer.read_until(b"</failed>")
    peer.send(b"<enable " + SM + b"/>")
    assert peer.read_until(b"/>") == b"<enabled " + SM + b"/>"
    peer.send(b"<enable " + SM + b"/>")
    assert b"<unexpected-request " in peer.read_until(b"</failed>")


def test_a_managed_client_is_notified_of_migration_when_it_resumes(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    client = ManagedClient(xmpp)
    upstream = open_session(deployment, client)
    lose_connection(client)
    for number, endpoint in enumerate(deployment.endpoints):
        if endpoint.port == upstream.socket.getsockname()[1]:
            deployment.discovery.set_endpoint(f"s-{number}", endpoint.address, "draining")
    assert upstream.read_until(b"</stream:stream>") and upstream.wait_for_close() == "end"
    assert b"<resumed " in client.resume()
    assert b"<move xmlns='urn:puffinpost:session:0'/>" in client.receive_stanza()
    open_session(deployment, client)


def test_a_session_ends_after_the_grace_period(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment, extra_config="[resume]\ngrace_s = 1\n")
    client = ManagedClient(xmpp)
    assert client.max_s == 1
    upstream = open_session(deployment, client)
    client.peer.close("reset")
    assert upstream.read_until(b"</stream:stream>") and upstream.wait_for_close() == "end"
    assert b"<item-not-found " in client.resume()


def test_service_discovery_lists_the_features(deployment: Deployment) -> None:
    client, _ = XmppDeployment(deployment).connect_and_bind()
    client.send(b"<iq type='get' id='d'><query xmlns='http://jabber.org/protocol/disco#info'/></iq>")
    response = client.read_until(b"</iq>")
    features = re.findall(rb"<feature var='([^']*)'", response)
    assert features == [
        b"http://jabber.org/protocol/disco#info",
        b"urn:xmpp:ping",
        b"urn:puffinpost:session:0",
    ]
    client.send(b"<iq type='get' id='e'><query xmlns='http://jabber.org/protocol/disco#info' node='x'/></iq>")
    assert b"<item-not-found " in client.read_until(b"</iq>")


# A client that opened its next session right after <move/> could not resume (item-not-found).
def test_sessions_that_are_opened_after_a_move_at_an_upgrade_can_be_resumed(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    clients = [ManagedClient(xmpp, b"phone%d" % number) for number in range(8)]
    upstreams = [open_session(deployment, client) for client in clients]
    predecessor = xmpp.node
    xmpp.node = deployment.start(edge=xmpp.edge, same_port_as=predecessor)
    xmpp.node.wait_until_ready()
    predecessor.process.terminate()
    for client in clients:
        assert b"<move " in client.receive_stanza()
        with contextlib.suppress(ConnectionError):
            client.peer.send(open_request(3000))
    for client in clients:
        assert b"<system-shutdown " in client.peer.read_until(b"</stream:stream>")
    assert predecessor.process.wait(WAIT_TIMEOUT_S) == 0
    assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)
    for client in clients:
        assert b"<resumed " in client.resume()
    assert upstreams


@pytest.mark.parametrize("disconnected", [False, True])
def test_after_a_hot_restart_a_client_resumes_and_no_stanza_is_lost(
    deployment: Deployment, disconnected: bool
) -> None:
    """The client resumes at the successor and receives unacknowledged stanzas and the migration notice."""
    xmpp = XmppDeployment(deployment)
    client = ManagedClient(xmpp)
    upstream = open_session(deployment, client)
    predecessor = xmpp.node
    upstream.send(b"<message><body>one</body></message>")
    assert b"<body>one" in client.receive_stanza()
    client.send(b"<message id='x'><body>there</body></message>")
    assert client.request_handled_count() == 2
    if disconnected:
        lose_connection(client)
        upstream.send(b"<message><body>two</body></message>")
    xmpp.node = deployment.start(edge=xmpp.edge, same_port_as=predecessor)
    xmpp.node.wait_until_ready()
    predecessor.process.terminate()
    if not disconnected:
        upstream.send(b"<message><body>two</body></message>")
        assert b"<body>two" in client.receive_stanza()
    assert upstream.read_until(b"</stream:stream>") and upstream.wait_for_close() == "end"
    if not disconnected:
        assert b"<move " in client.receive_stanza()
        assert b"<system-shutdown " in client.peer.read_until(b"</stream:stream>")
    xmpp.node.wait_for_counter("edge_restored", 1)
    assert predecessor.process.wait(WAIT_TIMEOUT_S) == 0
    assert b"<resumed " in client.resume() and client.acknowledged_count == 2
    if disconnected:
        assert b"<body>two" in client.receive_stanza() and b"<move " in client.receive_stanza()
    open_session(deployment, client)
