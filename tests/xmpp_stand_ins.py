"""Stand-in XMPP clients and endpoints for tests that start the program."""

from __future__ import annotations

import base64
import re
import ssl
from pathlib import Path
from typing import Any

from conftest import Deployment
from stand_ins import ALWAYS_HAND_OVER, NodeProcess, SocketPeer, StandInEndpoint, free_port

DATA = Path(__file__).parent / "data"
CERTIFICATE, KEY = DATA / "certificate.pem", DATA / "key.pem"
DOMAIN, UPSTREAM_DOMAIN = "edge.test", "transcribers.test"
SESSION_NAMESPACE = "urn:puffinpost:session:0"
STREAM_HEADER = (
    b"<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    b"xmlns:stream='http://etherx.jabber.org/streams' xmlns:q='urn:q' to='edge.test' version='1.0'>"
)
SASL_XMLNS = b"xmlns='urn:ietf:params:xml:ns:xmpp-sasl'"
ANONYMOUS_AUTH = b"<auth " + SASL_XMLNS + b" mechanism='ANONYMOUS'/>"
BIND_REQUEST = b"<iq type='set' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'>%s</bind></iq>"
TLS_XMLNS = b"xmlns='urn:ietf:params:xml:ns:xmpp-tls'"
FEATURES_END = b"</stream:features>"


def open_request(wait_ms: int, request_class: str = "live-text", iq_id: str = "s1") -> bytes:
    return (
        f"<iq type='set' id='{iq_id}' to='{DOMAIN}'>"
        f"<open xmlns='{SESSION_NAMESPACE}' class='{request_class}' wait='{wait_ms}' key='7f3a' "
        f"note='a&gt;b'/></iq>"
    ).encode()


class XmppDeployment:
    """A deployment with one node whose XMPP frontend is enabled."""

    def __init__(
        self,
        deployment: Deployment,
        upstream_tls: bool = False,
        extra_config: str = "",
        port: int = 0,
        mechanisms: str = 'mechanisms = ["PLAIN", "EXTERNAL", "ANONYMOUS"]',
        **node_options: Any,
    ) -> None:
        self.deployment = deployment
        self.port = free_port()
        (deployment.folder / "users.toml").write_text('ada = "lovelace"\n')
        (deployment.folder / "password").write_text("secret\n")
        upstream_config = (
            f'tls = true\nca = "{CERTIFICATE}"\nmechanism = "PLAIN"\nusername = "node"\n'
            f'password_file = "{deployment.folder / "password"}"\n'
            if upstream_tls
            else ""
        )
        edge = (
            f"{ALWAYS_HAND_OVER}"
            f'[xmpp]\nlisten = "127.0.0.1:{self.port}"\ndomain = "{DOMAIN}"\ncertificate = "{CERTIFICATE}"\n'
            f'key = "{KEY}"\nca = "{CERTIFICATE}"\nusers = "{deployment.folder / "users.toml"}"\n'
            f"{mechanisms}\n{extra_config}"
            f'[xmpp.transcribers]\ndomain = "{UPSTREAM_DOMAIN}"\nport = {port}\n{upstream_config}'
        )
        self.edge = edge
        self.node: NodeProcess = deployment.start(edge=edge, **node_options)

    def connect(self, data: bytes = b"") -> SocketPeer:
        return self.node.connect(data, self.port)

    def connect_and_bind(self, resource: bytes = b"") -> tuple[SocketPeer, bytes]:
        """Connects a client and binds a resource; returns the connection and the bound JID."""
        peer = self.connect(STREAM_HEADER)
        peer.read_until(FEATURES_END)
        peer.send(ANONYMOUS_AUTH)
        peer.read_until(b"<success " + SASL_XMLNS + b"/>")
        return peer, bind_resource(peer, resource)

    def connect_over_tls(self, certificate: bool = False) -> SocketPeer:
        """Connects a client that has negotiated TLS but has not authenticated."""
        peer = self.connect(STREAM_HEADER)
        assert b"<starttls" in peer.read_until(FEATURES_END)
        peer.send(b"<starttls " + TLS_XMLNS + b"/>")
        peer.read_until(b"<proceed " + TLS_XMLNS + b"/>")
        context = ssl.create_default_context(cafile=str(CERTIFICATE))
        if certificate:
            context.load_cert_chain(CERTIFICATE, KEY)
        peer.socket = context.wrap_socket(peer.socket, server_hostname=DOMAIN)
        peer.send(STREAM_HEADER)
        return peer


def bind_resource(peer: SocketPeer, resource: bytes) -> bytes:
    peer.send(STREAM_HEADER)
    assert b"<bind" in peer.read_until(FEATURES_END)
    peer.send(BIND_REQUEST % (b"<resource>%s</resource>" % resource if resource else b""))
    found = re.search(rb"<jid>(.*)</jid>", peer.read_until(b"</iq>"))
    assert found is not None
    return found.group(1)


def plain_auth(user: str, password: str) -> bytes:
    credentials = base64.b64encode(f"\0{user}\0{password}".encode())
    return b"<auth " + SASL_XMLNS + b" mechanism='PLAIN'>" + credentials + b"</auth>"


def negotiate_as_endpoint(peer: SocketPeer, tls: bool = False) -> bytes:
    """Negotiates the stream as the endpoint does; returns the IQ that requests the session."""
    header = STREAM_HEADER.replace(b"to='edge.test'", b"from='transcribers.test' id='t1'")
    features = b"<stream:features>%s" + FEATURES_END
    mechanism = b"PLAIN" if tls else b"ANONYMOUS"
    peer.read_until(b"version='1.0'>")
    if tls:
        peer.send(header + features % (b"<starttls " + TLS_XMLNS + b"><required/></starttls>"))
        peer.read_until(b"<starttls " + TLS_XMLNS + b"/>")
        peer.send(b"<proceed " + TLS_XMLNS + b"/>")
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(CERTIFICATE, KEY)
        peer.socket = context.wrap_socket(peer.socket, server_side=True)
        peer.read_until(b"version='1.0'>")
    mechanism_list = b"<mechanisms " + SASL_XMLNS + b"><mechanism>" + mechanism + b"</mechanism></mechanisms>"
    peer.send(header + features % mechanism_list)
    auth_request = peer.read_until(b"</auth>")
    if tls:
        assert base64.b64decode(auth_request.split(b">")[1].split(b"<")[0]) == b"\0node\0secret"
    peer.send(b"<success " + SASL_XMLNS + b"/>")
    peer.read_until(b"version='1.0'>")
    peer.send(header + features % b"<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>")
    peer.read_until(b"</iq>")
    jid = b"<jid>node@transcribers.test/r</jid>"
    peer.send((BIND_REQUEST % jid).replace(b"type='set' id='b'", b"type='result' id='bind'"))
    return peer.read_until(b"</iq>")


def answer_iq(peer: SocketPeer, request: bytes, payload: bytes, iq_type: bytes = b"result") -> None:
    """Answers the IQ that requested the session."""
    found = re.search(rb"id='([^']*)'", request)
    assert found is not None
    peer.send(b"<iq type='%s' id='%s'>%s</iq>" % (iq_type, found.group(1), payload))


RESOURCE_CONSTRAINT = (
    b"<error type='wait'><resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></error>"
)
INTERNAL_SERVER_ERROR = (
    b"<error type='cancel'><internal-server-error xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></error>"
)
SESSION_UP = b"<up xmlns='urn:puffinpost:session:0' receipt='77'/>"


def establish_session(client: SocketPeer, accepted: tuple[StandInEndpoint, SocketPeer]) -> SocketPeer:
    """Accepts the session as the endpoint; returns once the client has received that."""
    upstream = accepted[1]
    answer_iq(upstream, negotiate_as_endpoint(upstream), SESSION_UP)
    assert SESSION_UP in client.read_until(b"</iq>")
    return upstream
