"""The initiating end of an XMPP stream to an endpoint: STARTTLS, SASL and resource binding.

The XMPP frontend passes it the endpoint's bytes. It does no I/O and has no knowledge of sessions: stanzas go
to its handler once a resource is bound.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass

from puffinpost.protocol.xmpp import namespaces
from puffinpost.protocol.xmpp.elements import Element
from puffinpost.protocol.xmpp.namespaces import BIND, CLIENT, SASL, TLS
from puffinpost.protocol.xmpp.negotiation import NegotiatedStream, StreamHandler
from puffinpost.protocol.xmpp.sasl import EMPTY_RESPONSE
from puffinpost.protocol.xmpp.stanzas import stanza, stream_header
from puffinpost.protocol.xmpp.stream_parser import Stanza, StreamOpened


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How the node connects to endpoints. ``tls``: STARTTLS is required before any other step."""

    domain: str
    mechanism: str = "ANONYMOUS"
    username: str = ""
    password: str = ""
    tls: bool = False
    max_stanza_bytes: int = 65536


class ClientStream(NegotiatedStream):
    """The initiating end of a stream to an endpoint."""

    def __init__(self, handler: StreamHandler, options: ClientOptions) -> None:
        super().__init__(handler, options.max_stanza_bytes)
        self.options = options
        self._is_authenticated = False

    def begin(self) -> None:
        """Opens the stream."""
        self.handler.write_data(stream_header({"to": self.options.domain, "version": "1.0"}))

    def on_tls_established(self, _certificate_name: str = "") -> None:
        """Restarts the stream over TLS."""
        self.secure, self.upgrading = True, False
        self._restart()
        self.begin()

    def _on_opened(self, event: StreamOpened) -> None:
        if event.content_namespace != CLIENT:
            self.fail("invalid-namespace", f"the content namespace is not {CLIENT}")

    def _on_stanza(self, event: Stanza) -> None:
        element = event.element
        match element.namespace, element.name:
            case namespaces.STREAM, "error":
                self.close()
            case namespaces.STREAM, "features":
                self._on_features(element)
            case namespaces.TLS, "proceed" if self.options.tls and not self.secure:
                self.upgrading = True
                self.handler.start_tls()
            case namespaces.SASL, "challenge" if not self._is_authenticated:
                self._send_sasl("response")
            case namespaces.SASL, "success" if not self._is_authenticated:
                self._is_authenticated = True
                self._restart()
                self.begin()
            case namespaces.CLIENT, "iq" if self._is_authenticated and not self.bound_jid:
                self._on_bound(element)
            case namespaces.CLIENT, _ if self.bound_jid:
                self.handler.on_stanza(event)
            case _:
                self.fail("undefined-condition", f"{element.name} was not expected")

    def _on_features(self, features: Element) -> None:
        if self.bound_jid:
            return
        if self.options.tls and not self.secure:
            self._request_tls(features)
        elif not self._is_authenticated:
            self._authenticate(features)
        else:
            bind = f"<bind xmlns='{BIND}'/>".encode()
            self.handler.write_data(stanza("iq", {"type": "set", "id": "bind"}, bind))

    def _request_tls(self, features: Element) -> None:
        if features.child(TLS, "starttls") is None:
            self.fail("policy-violation", "STARTTLS is needed and not offered")
        else:
            self.handler.write_data(f"<starttls xmlns='{TLS}'/>".encode())

    def _authenticate(self, features: Element) -> None:
        offered = features.child(SASL, "mechanisms")
        names = [child.text.strip() for child in offered.children] if offered is not None else []
        mechanism = self.options.mechanism
        if mechanism not in names or (mechanism == "PLAIN" and not self.secure):
            self.fail("policy-violation", f"{mechanism} is not to be had here")
        else:
            self._send_sasl("auth")

    def _send_sasl(self, name: str) -> None:
        """Sends the mechanism's only message, in an ``auth`` or a ``response`` element."""
        options = self.options
        message = f"\0{options.username}\0{options.password}" if options.mechanism == "PLAIN" else ""
        encoded = base64.b64encode(message.encode()).decode() or EMPTY_RESPONSE
        mechanism = f" mechanism='{options.mechanism}'" if name == "auth" else ""
        self.handler.write_data(f"<{name} xmlns='{SASL}'{mechanism}>{encoded}</{name}>".encode())

    def _on_bound(self, element: Element) -> None:
        bind = element.child(BIND, "bind")
        jid = bind.child(BIND, "jid") if bind is not None else None
        if element.attributes.get("type") != "result" or jid is None or not jid.text:
            self.fail("undefined-condition", "no resource was bound")
            return
        self.bound_jid = jid.text
        self.handler.on_resource_bound()
