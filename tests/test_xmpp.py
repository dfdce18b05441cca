"""Tests the XMPP frontend of a started node with stand-in clients and endpoints."""

from __future__ import annotations

import re
import select
import time

import pytest
from conftest import Deployment
from stand_ins import WAIT_TIMEOUT_S
from test_node import accept_attempt
from xmpp_stand_ins import (
    ANONYMOUS_AUTH,
    BIND_REQUEST,
    FEATURES_END,
    INTERNAL_SERVER_ERROR,
    RESOURCE_CONSTRAINT,
    SASL_XMLNS,
    SESSION_NAMESPACE,
    SESSION_UP,
    STREAM_HEADER,
    UPSTREAM_DOMAIN,
    XmppDeployment,
    answer_iq,
    bind_resource,
    establish_session,
    negotiate_as_endpoint,
    open_request,
    plain_auth,
)

STANZAS = b"xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'"


@pytest.mark.parametrize("step", [1, 11, 4096])
def test_messages_of_a_session_are_forwarded_unchanged_but_for_addresses(
    deployment: Deployment, step: int
) -> None:
    xmpp = XmppDeployment(deployment)
    client, jid = xmpp.connect_and_bind()
    early_message = b"<message to='edge.test' id='&lt;1'><q:x a=\">\"/><body>h\xc3\xa9 </body></message>"
    sent = open_request(2000) + b"\n" + early_message
    for at in range(0, len(sent), step):
        client.send(sent[at : at + step])
    _, upstream = accept_attempt(deployment.endpoints)
    open_iq = negotiate_as_endpoint(upstream)
    found = re.search(rb"<open xmlns='urn:puffinpost:session:0' class='live-text' wait='(\d+)'", open_iq)
    assert found is not None and 0 < int(found.group(1)) < 2000
    assert b" key='7f3a' note='a&gt;b'" in open_iq
    answer_iq(upstream, open_iq, SESSION_UP)
    reply = client.read_until(b"</iq>")
    assert b"type='result'" in reply and b"id='s1'" in reply and SESSION_UP[:-2] in reply
    forwarded = upstream.read_until(b"</message>")
    assert forwarded == early_message.replace(b" to='edge.test'", b"").replace(
        b"'&lt;1'", b"'&lt;1' xmlns:q='urn:q' to='" + UPSTREAM_DOMAIN.encode() + b"'"
    )
    endpoint_message = b"<message from='x' type='chat'><body>partial</body></message>"
    upstream.send(b"<message><load xmlns='urn:puffinpost:session:0' us='41'/></message>" + endpoint_message)
    assert b"<load" in client.read_until(b"</message>")
    assert client.read_until(b"</message>") == (
        b"<message type='chat' from='edge.test' to='" + jid + b"'><body>partial</body></message>"
    )
    upstream.send(b"<message><bye xmlns='urn:puffinpost:session:0'/></message></stream:stream>")
    assert b"<bye" in client.read_until(b"</message>") and client.read_until(b"</stream:stream>")
    assert client.wait_for_close() == "end" and xmpp.node.read_counters()["relay_served"] == 1


def test_a_rejection_carries_retry_after_and_the_stream_stays_open(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    endpoints_by_socket = {endpoint.socket: endpoint for endpoint in deployment.endpoints}
    for number in ("s1", "s2"):
        client.send(open_request(1200, iq_id=number))
        while client.socket not in (
            ready := select.select([client.socket, *endpoints_by_socket], [], [], WAIT_TIMEOUT_S)[0]
        ):
            assert ready
            upstream = endpoints_by_socket[ready[0]].accept()
            answer_iq(upstream, negotiate_as_endpoint(upstream), RESOURCE_CONSTRAINT, b"error")
            assert upstream.wait_for_close() == "end"  # before the next attempt begins
        reply = client.read_until(b"</iq>")
        assert b"<error type='wait'><resource-constraint " + STANZAS in reply
        assert b"<pause xmlns='urn:puffinpost:session:0' ms='" in reply and f"id='{number}'".encode() in reply


def test_a_failed_request_is_answered_with_its_error_condition(deployment: Deployment) -> None:
    client, _ = XmppDeployment(deployment).connect_and_bind()
    client.send(open_request(2000, "once"))
    _, upstream = accept_attempt(deployment.endpoints)
    answer_iq(upstream, negotiate_as_endpoint(upstream), INTERNAL_SERVER_ERROR, b"error")
    assert b"<error type='cancel'><service-unavailable " + STANZAS in client.read_until(b"</iq>")
    assert upstream.wait_for_close() == "end" and not any(
        endpoint.has_pending_connection() for endpoint in deployment.endpoints
    )


@pytest.mark.parametrize("negotiates", [False, True])
def test_the_deadline_is_met_when_an_endpoint_stalls(deployment: Deployment, negotiates: bool) -> None:
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    client.send(open_request(700))
    started = time.monotonic()
    _, upstream = accept_attempt(deployment.endpoints)
    if negotiates:
        negotiate_as_endpoint(upstream)
    assert b"type='wait'" in client.read_until(b"</iq>")
    assert time.monotonic() - started < 0.75 and upstream.wait_for_close() == "end"


@pytest.mark.parametrize("how", ["end", "reset", "stream", "session"])
@pytest.mark.parametrize("established", [False, True])
def test_a_client_that_disconnects_or_closes_ends_its_attempt(
    deployment: Deployment, how: str, established: bool
) -> None:
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    client.send(open_request(3000))
    first = accept_attempt(deployment.endpoints)
    if established:
        establish_session(client, first)
    else:
        negotiate_as_endpoint(first[1])
    if how == "stream":
        client.send(b"</stream:stream>")
        assert client.read_until(b"</stream:stream>")
    elif how == "session":
        client.send(b"<iq type='set' id='c'><close xmlns='urn:puffinpost:session:0'/></iq>")
        assert b"type='result' id='c'" in client.read_until(b"</iq>")
    else:
        client.close(how)
    assert first[1].wait_for_close() == ("reset" if how == "reset" else "end")
    assert xmpp.node.read_counters()["served" if established else "gone"] == 1
    assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)


@pytest.mark.parametrize("declared", [True, False])
@pytest.mark.parametrize("established", [False, True])
def test_a_session_survives_a_stream_restart(
    deployment: Deployment, established: bool, declared: bool
) -> None:
    """A stream restart loses no answer and starts no second attempt: the session outlives the stream."""
    xmpp = XmppDeployment(deployment)
    client, jid = xmpp.connect_and_bind()
    client.send(open_request(3000))
    first = accept_attempt(deployment.endpoints)
    open_iq = negotiate_as_endpoint(first[1])
    if established:
        answer_iq(first[1], open_iq, SESSION_UP)
        assert SESSION_UP in client.read_until(b"</iq>")
    client.send(STREAM_HEADER if declared else STREAM_HEADER[21:])
    assert b"<bind" in client.read_until(FEATURES_END)
    client.send(BIND_REQUEST % b"")
    assert jid in client.read_until(b"</iq>")
    if not established:
        answer_iq(first[1], open_iq, SESSION_UP)
        reply = client.read_until(b"</iq>")
        assert SESSION_UP in reply and b"id='s1'" in reply
    client.send(b"<message><body>after</body></message>")
    assert b"<body>after</body>" in first[1].read_until(b"</message>")
    first[1].send(b"<message><body>back</body></message>")
    assert b"<body>back</body>" in client.read_until(b"</message>")
    assert (
        not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)
        and xmpp.node.read_counters()["relays"] == 1
    )


def test_a_client_that_reconnects_has_one_attempt_under_way(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    peers = []
    for _ in range(2):
        peer = xmpp.connect_over_tls()
        peer.read_until(FEATURES_END)
        peer.send(plain_auth("ada", "lovelace"))
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        assert bind_resource(peer, b"phone") == b"ada@edge.test/phone"
        peer.send(open_request(3000))
        upstream = accept_attempt(deployment.endpoints)[1]
        peers.append((peer, upstream, negotiate_as_endpoint(upstream)))
        if len(peers) == 2:
            assert b"<conflict " in peers[0][0].read_until(b"</stream:stream>")
            assert peers[0][1].wait_for_close() == "end"
    answer_iq(peers[1][1], peers[1][2], SESSION_UP)
    assert SESSION_UP in peers[1][0].read_until(b"</iq>")


def test_a_draining_endpoint_migrates_its_session_and_gets_no_new_one(deployment: Deployment) -> None:
    """The client receives the migration notice before the node closes the upstream."""
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    client.send(open_request(3000))
    first = accept_attempt(deployment.endpoints)
    upstream = establish_session(client, first)
    connected_before, _ = xmpp.connect_and_bind()
    deployment.discovery.set_endpoint(
        f"s-{deployment.endpoints.index(first[0])}", first[0].address, "draining"
    )
    drained_at = time.monotonic()
    client.send(b"<message><body>one</body></message>")
    assert b"<move xmlns='urn:puffinpost:session:0'/>" in client.read_until(b"</message>")
    assert client.read_until(b"</stream:stream>") and client.wait_for_close() == "end"
    assert upstream.wait_for_close() == "end"  # closed by the node; this end is still open
    while time.monotonic() - drained_at < 0.5:
        select.select([], [], [], 0.05)
    connected_after, _ = xmpp.connect_and_bind()
    for number, peer in enumerate((connected_before, connected_after)):
        peer.send(open_request(3000))
        chosen, accepted = accept_attempt(deployment.endpoints)
        assert chosen is not first[0], number
        establish_session(peer, (chosen, accepted))
    assert not first[0].has_pending_connection()


def test_on_sigterm_sessions_migrate_and_streams_are_closed(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    client.send(open_request(3000))
    upstream = establish_session(client, accept_attempt(deployment.endpoints))
    idle, _ = xmpp.connect_and_bind()
    xmpp.node.process.terminate()
    assert b"<move" in client.read_until(b"</stream:stream>") and upstream.wait_for_close() == "end"
    assert b"<system-shutdown" in idle.read_until(b"</stream:stream>") and idle.wait_for_close() == "end"
    assert xmpp.node.process.wait(WAIT_TIMEOUT_S) == 0


@pytest.mark.parametrize(
    ("sent", "condition"),
    [
        (STREAM_HEADER.replace(b"jabber:client", b"jabber:server"), b"invalid-namespace"),
        (STREAM_HEADER.replace(b"edge.test", b"other.test"), b"host-unknown"),
        (STREAM_HEADER.replace(b" version='1.0'>", b">"), b"unsupported-version"),
        (b"<hello/>", b"invalid-namespace"),
        (b"GET / HTTP/1.1\r\n\r\n", b"not-well-formed"),
        (b"<?xml version='1.0' encoding='iso-8859-1'?>" + STREAM_HEADER[21:], b"unsupported-encoding"),
        (STREAM_HEADER + b"<!-- x -->", b"restricted-xml"),
        (STREAM_HEADER + b"<?x y?>", b"restricted-xml"),
        (b"<!DOCTYPE x [<!ENTITY a 'b'>]>" + STREAM_HEADER[21:], b"restricted-xml"),
        (STREAM_HEADER + b"<message>&a;</message>", b"not-well-formed"),
        (STREAM_HEADER + b"<a></b>", b"not-well-formed"),
        (STREAM_HEADER + b"<message/>", b"not-authorized"),
        (STREAM_HEADER + b"text", b"bad-format"),
        (STREAM_HEADER + b"<message>" + 70_000 * b"x", b"policy-violation"),
        (STREAM_HEADER + 100 * b"<a>", b"policy-violation"),
        (STREAM_HEADER + ANONYMOUS_AUTH + STREAM_HEADER + b"<message/>", b"not-authorized"),
        (
            STREAM_HEADER
            + ANONYMOUS_AUTH
            + STREAM_HEADER
            + BIND_REQUEST % b""
            + b"<message from='else@edge.test'/>",
            b"invalid-from",
        ),
        (
            STREAM_HEADER + ANONYMOUS_AUTH + STREAM_HEADER + BIND_REQUEST % b"" + b"<x xmlns='urn:x'/>",
            b"unsupported-stanza-type",
        ),
    ],
)
def test_invalid_input_ends_the_stream_with_its_condition(
    deployment: Deployment, sent: bytes, condition: bytes
) -> None:
    peer = XmppDeployment(deployment).connect(sent)
    response = peer.read_until(b"</stream:stream>")
    assert b"<stream:error><" + condition + b" xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>" in response
    assert response.count(b"<stream:stream ") == response.count(b"<?xml") and b"from='edge.test'" in response


@pytest.mark.parametrize(
    ("sent", "error"),
    [
        (open_request(2000, "other"), b"<error type='modify'><bad-request"),
        (open_request(2000).replace(b"wait='2000'", b""), b"<error type='modify'><bad-request"),
        (open_request(2000).replace(b"key='7f3a'", b"key='zz'"), b"<error type='modify'><bad-request"),
        (open_request(2000).replace(b"<open", b"<![CDATA[]]><open"), b"<error type='modify'><bad-request"),
        (b"<iq type='set' id='s1'><a/><b/></iq>", b"<error type='modify'><bad-request"),
        (
            b"<iq type='get' id='s1'><query xmlns='jabber:iq:roster'/></iq>",
            b"<error type='cancel'><service-una",
        ),
        (
            open_request(2000).replace(b"to='edge.test'", b"to='far.test'"),
            b"<error type='cancel'><remote-server",
        ),
        (open_request(2000) + open_request(2000, iq_id="s2"), b"<error type='cancel'><conflict"),
        (b"<message id='s1'><body/></message>", b"<error type='wait'><recipient-unavailable"),
        (b"<iq type='get' id='s1'><ping xmlns='urn:xmpp:ping'/></iq>", b"<iq type='result' id='s1'"),
    ],
)
def test_an_unsupported_stanza_is_answered_with_an_error(
    deployment: Deployment, sent: bytes, error: bytes
) -> None:
    client, _ = XmppDeployment(deployment).connect_and_bind()
    client.send(sent + b"<iq type='get' id='p'><ping xmlns='urn:xmpp:ping'/></iq>")
    assert error in client.read_until(b"id='p'")
    if not sent.startswith(open_request(2000) + b"<iq"):
        assert not any(endpoint.has_pending_connection() for endpoint in deployment.endpoints)


@pytest.mark.parametrize("sent", [plain_auth("ada", "lovelace"), b"challenge"])
def test_plain_is_accepted_over_tls(deployment: Deployment, sent: bytes) -> None:
    peer = XmppDeployment(deployment).connect_over_tls()
    assert b"<mechanism>PLAIN</mechanism><mechanism>ANONYMOUS" in peer.read_until(FEATURES_END)
    if sent == b"challenge":
        peer.send(b"<auth " + SASL_XMLNS + b" mechanism='PLAIN'/>")
        peer.read_until(b"<challenge " + SASL_XMLNS + b"/>")
        sent = plain_auth("ada", "lovelace").replace(b"<auth", b"<response").replace(b"</auth", b"</response")
    peer.send(sent)
    peer.read_until(b"<success " + SASL_XMLNS + b"/>")
    assert bind_resource(peer, b"").startswith(b"ada@edge.test/")


@pytest.mark.parametrize(
    ("certificate", "sent", "condition"),
    [
        (False, plain_auth("ada", "byron"), b"not-authorized"),
        (False, plain_auth("eve", ""), b"not-authorized"),
        (False, plain_auth("ada", "lovelace").replace(b"PLAIN", b"EXTERNAL"), b"invalid-mechanism"),
        (True, b"<auth " + SASL_XMLNS + b" mechanism='EXTERNAL'>YWRh</auth>", b"invalid-authzid"),
        (True, b"<auth " + SASL_XMLNS + b" mechanism='PLAIN'>AAA</auth>", b"incorrect-encoding"),
        (True, b"<auth " + SASL_XMLNS + b" mechanism='PLAIN'>YWRh</auth>", b"malformed-request"),
        (False, b"<abort " + SASL_XMLNS + b"/>", b"aborted"),
    ],
)
def test_three_sasl_failures_end_the_stream(
    deployment: Deployment, certificate: bool, sent: bytes, condition: bytes
) -> None:
    peer = XmppDeployment(deployment).connect_over_tls(certificate)
    peer.read_until(FEATURES_END)
    for _ in range(3):
        peer.send(sent)
        assert b"<" + condition + b"/>" in peer.read_until(b"</failure>")
    assert b"<policy-violation " in peer.read_until(b"</stream:stream>") and peer.wait_for_close() == "end"


def test_plain_is_refused_without_tls_and_external_accepts_a_certificate(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment, extra_config="require_tls = true\n")
    peer = xmpp.connect(STREAM_HEADER)
    features = peer.read_until(FEATURES_END)
    assert b"<required/>" in features and b"mechanism" not in features
    peer.send(plain_auth("ada", "lovelace"))
    assert b"<encryption-required/>" in peer.read_until(b"</failure>")
    tls_peer = xmpp.connect_over_tls(certificate=True)
    assert b"EXTERNAL" in tls_peer.read_until(FEATURES_END)
    tls_peer.send(b"<auth " + SASL_XMLNS + b" mechanism='EXTERNAL'>=</auth>")
    tls_peer.read_until(b"<success " + SASL_XMLNS + b"/>")
    assert bind_resource(tls_peer, b"r") == b"edge.test@edge.test/r"


def test_endpoints_are_reached_over_tls_where_configured(deployment: Deployment) -> None:
    client, _ = XmppDeployment(deployment, upstream_tls=True).connect_and_bind()
    client.send(open_request(3000))
    upstream = accept_attempt(deployment.endpoints)[1]
    answer_iq(upstream, negotiate_as_endpoint(upstream, tls=True), SESSION_UP)
    assert SESSION_UP in client.read_until(b"</iq>")
    client.send(b"<message><body>over</body></message>")
    assert b"<body>over</body>" in upstream.read_until(b"</message>")


@pytest.mark.parametrize(
    "offers", [b"", b"<mechanisms " + SASL_XMLNS + b"><mechanism>X</mechanism></mechanisms>"]
)
def test_a_request_is_retried_after_an_endpoint_fails_negotiation(
    deployment: Deployment, offers: bytes
) -> None:
    """The attempt counts as a failed connection, so even a request that may run only once is retried."""
    xmpp = XmppDeployment(deployment)
    client, _ = xmpp.connect_and_bind()
    client.send(open_request(3000, "once"))
    first, upstream = accept_attempt(deployment.endpoints)
    upstream.read_until(b"version='1.0'>")
    upstream.send(STREAM_HEADER + b"<stream:features>" + offers + FEATURES_END)
    if not offers:
        upstream.close()
    else:
        assert (
            b"<policy-violation " in upstream.read_until(b"</stream:stream>")
            and upstream.wait_for_close() == "end"
        )
    second, retry_upstream = accept_attempt(deployment.endpoints)
    assert second is not first
    answer_iq(retry_upstream, negotiate_as_endpoint(retry_upstream), SESSION_UP)
    assert SESSION_NAMESPACE.encode() in client.read_until(b"</iq>")


def test_endpoints_may_listen_for_xmpp_on_a_separate_port(deployment: Deployment) -> None:
    listed, xmpp_endpoint = deployment.endpoints
    client, _ = XmppDeployment(deployment, port=xmpp_endpoint.port, endpoint_count=1).connect_and_bind()
    client.send(open_request(3000))
    establish_session(client, (xmpp_endpoint, xmpp_endpoint.accept()))
    assert not listed.has_pending_connection()
