"""Stream management (XEP-0198) on the XMPP front, spoken to the real program."""

from __future__ import annotations

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


class Managed:
    """A client that keeps what XEP-0198 wants kept: its own stanzas, and a count of those that came."""

    def __init__(self, xmpp: XmppDeployment, resource: bytes = b"phone", user: str = "ada") -> None:
        self.xmpp, self.user = xmpp, user
        self.handled = 0
        self.stanzas: list[bytes] = []
        self.sent: list[bytes] = []  # not acknowledged
        self.total = 0  # acknowledged
        self.peer = self.authenticated()
        self.peer.send(BIND_REQUEST % (b"<resource>" + resource + b"</resource>"))
        self.peer.read_until(b"</iq>")
        self.peer.send(b"<enable " + SM + b" resume='true' max='60'/>")
        found = re.search(
            rb"<enabled [^>]*id='([0-9a-f]{48})'[^>]*max='(\d+)'/>", self.peer.read_until(b"/>")
        )
        assert found is not None
        self.token, self.max = found.group(1), int(found.group(2))

    def authenticated(self) -> SocketPeer:
        peer = self.xmpp.connect_over_tls()
        peer.read_until(FEATURES_END)
        peer.send(plain_auth(self.user, "lovelace"))
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        peer.send(STREAM_HEADER)
        assert b"<sm " + SM + b"/>" in peer.read_until(FEATURES_END)
        return peer

    def send(self, stanza: bytes) -> None:
        self.sent.append(stanza)
        self.peer.send(stanza)

    def resume(self, token: bytes = b"", handled: int | None = None) -> bytes:
        """Comes back on a new connection; what the node says to that."""
        self.peer = self.authenticated()
        count = self.handled if handled is None else handled
        self.peer.send(b"<resume " + SM + b" h='%d' previd='%s'/>" % (count, token or self.token))
        said = self.peer.read_until(b">")
        if b"<resumed " in said:
            found = re.search(rb" h='(\d+)'", said)
            assert found is not None
            self.acknowledged(int(found.group(1)))
            for stanza in self.sent:
                self.peer.send(stanza)
        return said if b"/>" in said else said + self.peer.read_until(b"</failed>")

    def acknowledged(self, count: int) -> None:
        self.sent = self.sent[count - self.total :]
        self.total = count

    def stanza(self) -> bytes:
        """The next stanza; what stream management says between is answered."""
        while True:
            said = self.peer.read_until(b">")
            if said.startswith(b"<r "):
                self.peer.send(b"<a " + SM + b" h='%d'/>" % self.handled)
            elif not said.startswith(b"<a "):
                name = re.match(rb"<(\w+)", said)
                assert name is not None
                if not said.endswith(b"/>"):
                    said += self.peer.read_until(b"</" + name.group(1) + b">")
                self.handled += 1
                self.stanzas.append(said)
                return said

    def ask(self) -> int:
        """How much of what was sent the node has handled."""
        self.peer.send(b"<r " + SM + b"/>")
        found = re.search(rb"<a [^>]*h='(\d+)'", self.peer.read_until(b"/>"))
        assert found is not None
        return int(found.group(1))


def up(deployment: Deployment, client: Managed) -> SocketPeer:
    client.send(open_request(3000))
    relay = accept_attempt(deployment.endpoints)[1]
    answer_iq(relay, negotiate_as_endpoint(relay), SESSION_UP)
    assert SESSION_UP in client.stanza()
    return relay


def lose(client: Managed) -> None:
    client.peer.close("reset")
    client.xmpp.node.wait_for_counter(
        "edge_detached", 1 + client.xmpp.node.read_counters().get("edge_resumed", 0)
    )


def test_a_connection_lost_in_mid_stanza_is_resumed_and_each_message_arrives_once(
    deployment: Deployment,
) -> None:
    client = Managed(XmppDeployment(deployment))
    relay = up(deployment, client)
    client.send(b"<message id='1'><body>first</body></message>")
    assert client.ask() == 2
    half = b"<message id='2'><body>second</body></message>"
    client.sent.append(half)
    client.peer.send(half[:20])
    lose(client)
    for number in range(40):
        relay.send(b"<message><body>meanwhile %d</body></message>" % number)
    assert b"<resumed " in client.resume()
    bodies = [client.stanza() for _ in range(40)]
    assert [b"meanwhile %d<" % number in body for number, body in enumerate(bodies)] == [True] * 40
    client.send(b"<message id='3'><body>third</body></message>")
    passed = [relay.read_until(b"</message>") for _ in range(3)]
    assert [re.search(rb"<body>(\w+)", each).group(1) for each in passed] == [  # type: ignore[union-attr]
        b"first",
        b"second",
        b"third",
    ]
    assert not any(server.has_pending_connection() for server in deployment.endpoints)
    assert client.xmpp.node.read_counters()["relays"] == 1


def test_an_answer_given_while_disconnected_is_delivered_once_and_a_retry_joins(
    deployment: Deployment,
) -> None:
    client = Managed(XmppDeployment(deployment))
    client.send(open_request(3000))
    relay = accept_attempt(deployment.endpoints)[1]
    asked = negotiate_as_endpoint(relay)
    lose(client)
    answer_iq(relay, asked, SESSION_UP)
    client.xmpp.node.wait_for_counter("up", 1)
    assert b"<resumed " in client.resume()
    assert SESSION_UP in client.stanza() and not client.sent
    lose(client)
    assert b"<resumed " in client.resume()
    assert client.ask() == 1
    assert not client.peer.buffer and not select.select([client.peer.socket], [], [], 0)[0]
    relay.send(b"<message><body>x</body></message>")
    assert b"<body>x" in client.stanza() and not any(
        server.has_pending_connection() for server in deployment.endpoints
    )


def test_a_repeated_open_joins_the_one_under_way(deployment: Deployment) -> None:
    client = Managed(XmppDeployment(deployment))
    client.send(open_request(3000))
    relay = accept_attempt(deployment.endpoints)[1]
    asked = negotiate_as_endpoint(relay)
    client.send(open_request(3000))
    assert client.ask() == 2
    answer_iq(relay, asked, SESSION_UP)
    assert SESSION_UP in client.stanza() and client.ask() == 2
    assert client.xmpp.node.read_counters()["messages"] == 1 and not any(
        server.has_pending_connection() for server in deployment.endpoints
    )


def test_the_newer_of_two_connections_wins(deployment: Deployment) -> None:
    client = Managed(XmppDeployment(deployment))
    relay = up(deployment, client)
    old = client.peer
    assert b"<resumed " in client.resume()
    assert b"<conflict " in old.read_until(b"</stream:stream>") and old.wait_for_close() == "end"
    client.send(b"<message><body>newer</body></message>")
    assert b"newer" in relay.read_until(b"</message>")


@pytest.mark.parametrize("how", ["wrong", "foreign", "ended"])
def test_an_invalid_token_reveals_nothing(deployment: Deployment, how: str) -> None:
    xmpp = XmppDeployment(deployment)
    client = Managed(xmpp)
    relay = up(deployment, client)
    if how == "ended":
        client.peer.send(b"</stream:stream>")
        assert relay.wait_for_close() == "end"
    else:
        lose(client)
    if how == "foreign":
        stranger, _ = xmpp.connect_and_bind()
        stranger.close()
        peer = xmpp.connect(STREAM_HEADER)
        peer.read_until(FEATURES_END)
        peer.send(b"<auth " + SASL_XMLNS + b" mechanism='ANONYMOUS'/>")
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        peer.send(STREAM_HEADER)
        peer.read_until(FEATURES_END)
        peer.send(b"<resume " + SM + b" h='0' previd='" + client.token + b"'/>")
        said = peer.read_until(b"</failed>")
    else:
        said = client.resume(b"0" * 48 if how == "wrong" else b"")
        peer = client.peer
    handled = b" h='1'" if how == "ended" else b""  # his own, so he is told how far it came
    why = b"<item-not-found xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/>"
    assert said == b"<failed " + SM + handled + b">" + why + b"</failed>"
    peer.send(BIND_REQUEST % b"")  # the stream goes on
    assert b"<jid>" in peer.read_until(b"</iq>")


@pytest.mark.parametrize("count", [5, 4294967295])
def test_an_acknowledgement_of_unsent_stanzas_ends_the_stream(deployment: Deployment, count: int) -> None:
    client = Managed(XmppDeployment(deployment))
    up(deployment, client)
    client.peer.send(b"<a " + SM + b" h='%d'/>" % count)
    said = client.peer.read_until(b"</stream:stream>")
    assert b"<handled-count-too-high " + SM + b" h='%d' send-count='0'/>" % count in said
    assert b"undefined-condition" in said


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
    client = Managed(xmpp)
    relay = up(deployment, client)
    lose(client)
    for number, server in enumerate(deployment.endpoints):
        if server.port == relay.socket.getsockname()[1]:
            deployment.discovery.set_endpoint(f"s-{number}", server.address, "draining")
    assert relay.read_until(b"</stream:stream>") and relay.wait_for_close() == "end"
    assert b"<resumed " in client.resume()
    assert b"<move xmlns='urn:puffinpost:session:0'/>" in client.stanza()
    up(deployment, client)


def test_nothing_is_kept_after_the_grace_period(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment, extra_config="[resume]\ngrace_s = 1\n")
    client = Managed(xmpp)
    assert client.max == 1
    relay = up(deployment, client)
    client.peer.close("reset")
    assert relay.read_until(b"</stream:stream>") and relay.wait_for_close() == "end"
    assert b"<item-not-found " in client.resume()


def test_service_discovery_lists_the_features(deployment: Deployment) -> None:
    client, _ = XmppDeployment(deployment).connect_and_bind()
    client.send(b"<iq type='get' id='d'><query xmlns='http://jabber.org/protocol/disco#info'/></iq>")
    said = client.read_until(b"</iq>")
    features = re.findall(rb"<feature var='([^']*)'", said)
    assert features == [
        b"http://jabber.org/protocol/disco#info",
        b"urn:xmpp:ping",
        b"urn:puffinpost:session:0",
    ]
    client.send(b"<iq type='get' id='e'><query xmlns='http://jabber.org/protocol/disco#info' node='x'/></iq>")
    assert b"<item-not-found " in client.read_until(b"</iq>")


@pytest.mark.parametrize("away", [False, True])
def test_after_an_upgrade_a_client_resumes_and_no_stanza_is_lost(deployment: Deployment, away: bool) -> None:
    """The client resumes at the process that has come: what it had not acknowledged, and the move."""
    xmpp = XmppDeployment(deployment)
    client = Managed(xmpp)
    relay = up(deployment, client)
    old = xmpp.node
    relay.send(b"<message><body>one</body></message>")
    assert b"<body>one" in client.stanza()
    client.send(b"<message id='x'><body>there</body></message>")
    assert client.ask() == 2
    if away:
        lose(client)
        relay.send(b"<message><body>two</body></message>")
    xmpp.node = deployment.start(edge=xmpp.edge, same_port_as=old)
    xmpp.node.wait_until_ready()
    old.process.terminate()
    if not away:
        relay.send(b"<message><body>two</body></message>")
        assert b"<body>two" in client.stanza()
    assert relay.read_until(b"</stream:stream>") and relay.wait_for_close() == "end"
    if not away:
        assert b"<move " in client.stanza()
        assert b"<system-shutdown " in client.peer.read_until(b"</stream:stream>")
    xmpp.node.wait_for_counter("edge_restored", 1)
    assert old.process.wait(WAIT_TIMEOUT_S) == 0
    assert b"<resumed " in client.resume() and client.total == 2
    if away:
        assert b"<body>two" in client.stanza() and b"<move " in client.stanza()
    up(deployment, client)
