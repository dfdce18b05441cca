"""SCRAM on the XMPP frontend, tested with the client of the scramp library."""

from __future__ import annotations

import base64

import pytest
from conftest import Deployment
from scramp import ScramClient
from stand_ins import SocketPeer
from xmpp_stand_ins import (
    CERTIFICATE,
    FEATURES_END,
    SASL_XMLNS,
    STREAM_HEADER,
    XmppDeployment,
    bind_resource,
    plain_auth,
)

from puffinpost.protocol.scram import VerifierStore, channel_binding_data


def base64_text(text: str) -> bytes:
    return base64.b64encode(text.encode())


def authenticate_with_scram(
    xmpp: XmppDeployment, user: str, password: str, mechanism: str = "SCRAM-SHA-256", binding: bytes = b""
) -> tuple[SocketPeer, bytes]:
    """Runs SCRAM over TLS with the library's client; returns the peer and ``success`` or the failure."""
    peer = xmpp.connect_over_tls()
    peer.read_until(FEATURES_END)
    client = ScramClient([mechanism], user, password, ("tls-server-end-point", binding) if binding else None)
    peer.send(
        b"<auth "
        + SASL_XMLNS
        + b" mechanism='%s'>" % mechanism.encode()
        + base64_text(client.get_client_first())
        + b"</auth>"
    )
    response = peer.read_until(b">")
    if b"<challenge" not in response:
        return peer, response + peer.read_until(b"</failure>")
    client.set_server_first(base64.b64decode(peer.read_until(b"</challenge>").split(b"<")[0]).decode())
    peer.send(b"<response " + SASL_XMLNS + b">" + base64_text(client.get_client_final()) + b"</response>")
    response = peer.read_until(b">")
    if b"<success" not in response:
        return peer, response + peer.read_until(b"</failure>")
    client.set_server_final(base64.b64decode(peer.read_until(b"</success>").split(b"<")[0]).decode())
    return peer, b"success"


MECHANISMS = 'mechanisms = ["SCRAM-SHA-256-PLUS", "SCRAM-SHA-256", "PLAIN"]'


def test_scram_authenticates_both_ends_with_and_without_channel_binding(deployment: Deployment) -> None:
    xmpp = XmppDeployment(deployment, mechanisms=MECHANISMS)
    peer = xmpp.connect(STREAM_HEADER)
    offered = peer.read_until(FEATURES_END)
    assert b"<mechanism>SCRAM-SHA-256</mechanism>" in offered and b"PLUS" not in offered
    peer = xmpp.connect_over_tls()
    offered = peer.read_until(FEATURES_END)
    assert b"<mechanism>SCRAM-SHA-256-PLUS</mechanism>" in offered
    assert b"<channel-binding type='tls-server-end-point'/>" in offered
    data = channel_binding_data(CERTIFICATE.read_text())
    for mechanism, binding in (("SCRAM-SHA-256", b""), ("SCRAM-SHA-256-PLUS", data)):
        peer, result = authenticate_with_scram(xmpp, "ada", "lovelace", mechanism, binding)
        assert result == b"success"
        assert bind_resource(peer, b"phone") == b"ada@edge.test/phone"
        peer.close()


@pytest.mark.parametrize(
    ("user", "password", "mechanism", "binding"),
    [
        ("ada", "wrong", "SCRAM-SHA-256", b""),
        ("nobody", "lovelace", "SCRAM-SHA-256", b""),
        ("ada", "lovelace", "SCRAM-SHA-256-PLUS", b"another channel"),
    ],
)
def test_scram_failures_are_indistinguishable(
    deployment: Deployment, user: str, password: str, mechanism: str, binding: bytes
) -> None:
    """A wrong password, an unknown user and a wrong channel binding (a man in the middle) fail alike."""
    xmpp = XmppDeployment(deployment, mechanisms=MECHANISMS)
    peer, result = authenticate_with_scram(xmpp, user, password, mechanism, binding)
    assert result == b"<failure " + SASL_XMLNS + b"><not-authorized/></failure>"
    peer.send(plain_auth("ada", "lovelace"))  # the stream remains open for another attempt
    assert b"<success " in peer.read_until(b"/>")
    peer.close()
    peer = xmpp.connect_over_tls()
    peer.read_until(FEATURES_END)
    for malformed in (b"eCx4", b"biwsbj1hZGEscj0=", b"cD10bHMtdW5pcXVlLCxuPWFkYSxyPXg="):
        peer.send(b"<auth " + SASL_XMLNS + b" mechanism='SCRAM-SHA-256'>" + malformed + b"</auth>")
        assert b"<malformed-request/>" in peer.read_until(b"</failure>")


def test_unknown_user_name_has_a_stable_salt() -> None:
    """A salt that changes between attempts would reveal in the challenge that the user does not exist."""
    verifiers = VerifierStore({"ada": "lovelace"})
    assert verifiers.keys_for("nobody")[0] == verifiers.keys_for("nobody")[0] != verifiers.keys_for("ada")[0]
