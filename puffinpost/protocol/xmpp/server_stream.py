"""The receiving end of a client's XMPP stream: header, features, STARTTLS, SASL and resource binding.

The XMPP frontend passes it the client's bytes. It does no I/O and has no knowledge of sessions: stanzas go to
its handler once a resource is bound.
"""

from __future__ import annotations

import secrets

from puffinpost.protocol.xmpp import namespaces
from puffinpost.protocol.xmpp.elements import Element, escape
from puffinpost.protocol.xmpp.namespaces import (
    BIND,
    CLIENT,
    SASL,
    SASL_CHANNEL_BINDING,
    STREAM_MANAGEMENT,
    TLS,
)
from puffinpost.protocol.xmpp.negotiation import NegotiatedStream, StreamHandler
from puffinpost.protocol.xmpp.sasl import SaslFailure, SaslResult, SaslServer, SaslSuccess, ServerOptions
from puffinpost.protocol.xmpp.stanzas import (
    STREAM_CLOSE,
    handled_count_too_high,
    management_failed,
    stanza,
    stanza_error,
    stream_header,
)
from puffinpost.protocol.xmpp.stream_parser import Stanza, StreamOpened

MAX_SASL_ATTEMPTS = 3
MAX_RESOURCE_BYTES = 128
_CHANNEL_BINDINGS = (
    f"<sasl-channel-binding xmlns='{SASL_CHANNEL_BINDING}'>"
    "<channel-binding type='tls-server-end-point'/></sasl-channel-binding>"
)


class ServerStream(NegotiatedStream):
    """The receiving end of a client's stream. ``user`` is the local part of the authenticated JID."""

    def __init__(self, handler: StreamHandler, options: ServerOptions) -> None:
        super().__init__(handler, options.max_stanza_bytes)
        self.options = options
        self.user = ""
        self.header_sent = False
        self._sasl = SaslServer(options)
        self._failed_attempts = 0

    def on_tls_established(self, certificate_name: str = "") -> None:
        """Restarts the stream over TLS; ``certificate_name`` is the name in the client's certificate."""
        self.secure, self.upgrading = True, False
        self._sasl.secure, self._sasl.certificate_name = True, certificate_name
        self.header_sent = False
        self._restart()

    def on_resumed(self, jid: str) -> None:
        """Continues an earlier stream, which had bound this JID (XEP-0198, 5)."""
        self.bound_jid = jid

    def fail(self, condition: str, text: str = "") -> None:
        """Ends the stream with an error; opens it first if needed, as an error is sent inside a stream."""
        if not self.header_sent and not self.ended:
            self._send_header()
        super().fail(condition, text)

    def fail_handled_count(self, handled: int, sent: int, text: str) -> None:
        """Ends the stream of a client that acknowledges more stanzas than were sent (XEP-0198, 4)."""
        if not self.ended:
            self.handler.write_data(handled_count_too_high(handled, sent, text))
            self._end(clean=False)

    def _on_opened(self, event: StreamOpened) -> None:
        self._send_header()
        to = event.attributes.get("to", "")
        version = event.attributes.get("version", "0.9").split(".")[0]
        if event.content_namespace != CLIENT:
            self.fail("invalid-namespace", f"the content namespace is not {CLIENT}")
        elif to.lower() != self.options.domain.lower():
            self.fail("host-unknown", f"this is {self.options.domain}")
        elif not version.isdigit() or int(version) < 1:
            self.fail("unsupported-version", "version 1.0 is spoken here")
        else:
            # If the stream is restarted during a session, the resource remains bound.
            self.handler.write_data(self._features())

    def _send_header(self) -> None:
        self.header_sent = True
        attributes = {
            "from": self.options.domain,
            "id": secrets.token_hex(8),
            "version": "1.0",
            "xml:lang": "en",
        }
        self.handler.write_data(stream_header(attributes))

    def _features(self) -> bytes:
        features = self._session_features() if self.user else self._negotiation_features()
        return f"<stream:features>{features}</stream:features>".encode()

    def _session_features(self) -> str:
        management = f"<sm xmlns='{STREAM_MANAGEMENT}'/>" if self.options.stream_management else ""
        return f"<bind xmlns='{BIND}'/>{management}"

    def _negotiation_features(self) -> str:
        offers_tls = self.options.tls and not self.secure
        features = ""
        if offers_tls:
            required = "<required/>" if self.options.require_tls else ""
            features = f"<starttls xmlns='{TLS}'>{required}</starttls>"
        if not (offers_tls and self.options.require_tls):
            features += self._mechanism_features()
        return features

    def _mechanism_features(self) -> str:
        names = self._sasl.available_mechanisms()
        if not names:
            return ""
        mechanisms = "".join(f"<mechanism>{name}</mechanism>" for name in names)
        bindings = _CHANNEL_BINDINGS if any(name.endswith("-PLUS") for name in names) else ""
        return f"<mechanisms xmlns='{SASL}'>{mechanisms}</mechanisms>{bindings}"

    def _on_stanza(self, event: Stanza) -> None:
        element = event.element
        if not self.user:
            self._negotiate(element)
        elif element.namespace == STREAM_MANAGEMENT and self.options.stream_management:
            self._on_management_element(element)
        elif element.namespace != CLIENT or element.name not in ("iq", "message", "presence"):
            self.fail("unsupported-stanza-type", element.name)
        elif not self._is_bound_address(element.attributes.get("from", self.bound_jid)):
            self.fail("invalid-from", "from is not the address that is bound here")
        elif self.bound_jid and element.child(BIND, "bind") is None:
            self.handler.on_stanza(event)
        else:
            self._bind(element)

    def _is_bound_address(self, address: str) -> bool:
        return address in (self.bound_jid, self.bound_jid.partition("/")[0])

    def _negotiate(self, element: Element) -> None:
        match element.namespace, element.name:
            case namespaces.TLS, "starttls":
                self._start_tls()
            case namespaces.SASL, "auth":
                mechanism = element.attributes.get("mechanism", "")
                self._on_sasl_result(self._sasl.on_auth(mechanism, element.text))
            case namespaces.SASL, "response" if self._sasl.awaits_response:
                self._on_sasl_result(self._sasl.on_response(element.text))
            case namespaces.SASL, "abort":
                self._on_sasl_result(self._sasl.on_abort())
            case _:
                self.fail("not-authorized", "no stanza passes before SASL has succeeded")

    def _start_tls(self) -> None:
        if self.options.tls and not self.secure:
            self.handler.write_data(f"<proceed xmlns='{TLS}'/>".encode())
            self.upgrading = True
            self.handler.start_tls()
        else:
            self.handler.write_data(f"<failure xmlns='{TLS}'/>".encode() + STREAM_CLOSE)
            self._end(clean=False)

    def _on_sasl_result(self, result: SaslResult) -> None:
        if isinstance(result, SaslSuccess):
            self.user = result.user
        self.handler.write_data(result.encode())
        if isinstance(result, SaslSuccess):
            self._restart()
        elif isinstance(result, SaslFailure):
            self._failed_attempts += 1
            if self._failed_attempts >= MAX_SASL_ATTEMPTS:
                self.fail("policy-violation", "too many attempts")

    def _on_management_element(self, element: Element) -> None:
        """Accepts elements as XEP-0198 allows: ``resume`` before a resource is bound, the others after it."""
        if element.name not in ("enable", "resume", "r", "a"):
            self.fail("unsupported-stanza-type", element.name)
        elif (element.name == "resume") == bool(self.bound_jid):
            self.handler.write_data(management_failed("unexpected-request"))
        else:
            self.handler.on_management_element(element)

    def _bind(self, element: Element) -> None:
        bind = element.child(BIND, "bind") if element.name == "iq" else None
        iq_id = element.attributes.get("id", "")
        if bind is None or element.attributes.get("type") != "set" or not iq_id:
            self.fail("not-authorized", "no stanza passes before a resource is bound")
            return
        requested = bind.child(BIND, "resource")
        resource = requested.text.strip() if requested is not None else ""
        if len(resource.encode()) > MAX_RESOURCE_BYTES or not resource.isprintable():
            error = stanza_error("modify", "bad-request")
            self.handler.write_data(stanza("iq", {"type": "error", "id": iq_id}, error))
            return
        is_rebind = bool(self.bound_jid)
        if not is_rebind:
            self.bound_jid = f"{self.user}@{self.options.domain}/{resource or secrets.token_hex(6)}"
        result = f"<bind xmlns='{BIND}'><jid>{escape(self.bound_jid)}</jid></bind>".encode()
        self.handler.write_data(stanza("iq", {"type": "result", "id": iq_id}, result))
        if not is_rebind:
            self.handler.on_resource_bound()
