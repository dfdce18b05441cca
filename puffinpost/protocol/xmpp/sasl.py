"""The receiving end of SASL on an XMPP stream (RFC 6120, 6): PLAIN, EXTERNAL, ANONYMOUS and SCRAM.

``ServerStream`` passes it the client's elements and writes the results. Ending the stream and counting failed
attempts are left to ``ServerStream``.
"""

from __future__ import annotations

import base64
import binascii
import hmac
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from puffinpost.protocol.xmpp.namespaces import SASL

if TYPE_CHECKING:
    from puffinpost.protocol.scram import ScramExchange, VerifierStore

EMPTY_RESPONSE = "="  # an initial response of no bytes (RFC 6120, 6.4.2)


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """The features that a stream offers to clients.

    ``channel_binding`` is the certificate's channel binding data (RFC 5929, 4.1); ``verifiers`` is set if a
    SCRAM mechanism is offered.
    """

    domain: str
    mechanisms: tuple[str, ...]
    users: Mapping[str, str] = field(default_factory=dict)
    tls: bool = False
    require_tls: bool = False
    max_stanza_bytes: int = 65536
    stream_management: bool = True
    channel_binding: bytes = b""
    verifiers: VerifierStore | None = None


@dataclass(frozen=True, slots=True)
class SaslChallenge:
    """A message to which the client must respond."""

    message: str = ""

    def encode(self) -> bytes:
        """The ``challenge`` element."""
        return _sasl_element("challenge", self.message)


@dataclass(frozen=True, slots=True)
class SaslSuccess:
    """The client is authenticated as ``user``; ``message`` is the mechanism's additional data."""

    user: str
    message: str = ""

    def encode(self) -> bytes:
        """The ``success`` element."""
        return _sasl_element("success", self.message)


@dataclass(frozen=True, slots=True)
class SaslFailure:
    """The attempt failed; ``condition`` is an error condition of RFC 6120, 6.5."""

    condition: str

    def encode(self) -> bytes:
        """The ``failure`` element."""
        return f"<failure xmlns='{SASL}'><{self.condition}/></failure>".encode()


SaslResult: TypeAlias = SaslChallenge | SaslSuccess | SaslFailure


class SaslServer:
    """Authenticates one client. ``secure`` and ``certificate_name`` are set once TLS is established."""

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self.secure = False
        self.certificate_name = ""
        self._pending_mechanism = ""  # the mechanism whose challenge the client has not answered
        self._scram: ScramExchange | None = None  # set once the client's first message was answered

    @property
    def awaits_response(self) -> bool:
        """Whether a challenge was sent and has not been answered."""
        return bool(self._pending_mechanism)

    def available_mechanisms(self) -> list[str]:
        """Returns the configured mechanisms that the connection currently allows, in the configured order."""
        available = {
            "PLAIN": self.secure,
            "EXTERNAL": bool(self.certificate_name),
            "ANONYMOUS": True,
            "SCRAM-SHA-256": True,
            "SCRAM-SHA-256-PLUS": self.secure and bool(self.options.channel_binding),
        }
        return [name for name in self.options.mechanisms if available.get(name, False)]

    def on_auth(self, mechanism: str, initial_response: str) -> SaslResult:
        """Handles an ``auth`` element."""
        if mechanism not in self.available_mechanisms():
            needs_tls = mechanism == "PLAIN" and mechanism in self.options.mechanisms
            return SaslFailure("encryption-required" if needs_tls else "invalid-mechanism")
        if self.options.require_tls and not self.secure:
            return SaslFailure("encryption-required")
        if (mechanism == "PLAIN" or mechanism.startswith("SCRAM")) and not initial_response:
            self._pending_mechanism, self._scram = mechanism, None
            return SaslChallenge()
        return self._authenticate(mechanism, initial_response)

    def on_response(self, response: str) -> SaslResult:
        """Handles a ``response`` element, for which ``awaits_response`` must hold."""
        mechanism, self._pending_mechanism = self._pending_mechanism, ""
        return self._authenticate(mechanism, response)

    def on_abort(self) -> SaslFailure:
        """Handles an ``abort`` element."""
        self._pending_mechanism, self._scram = "", None
        return SaslFailure("aborted")

    def _authenticate(self, mechanism: str, encoded: str) -> SaslResult:
        encoded = encoded.strip()
        try:
            message = base64.b64decode("" if encoded == EMPTY_RESPONSE else encoded, validate=True).decode()
        except (binascii.Error, UnicodeDecodeError):
            return SaslFailure("incorrect-encoding")
        if mechanism.startswith("SCRAM"):
            return self._authenticate_scram(mechanism, message)
        if mechanism == "ANONYMOUS":
            return SaslSuccess(secrets.token_hex(8))
        if mechanism == "EXTERNAL":
            return self._authenticate_external(message)
        return self._authenticate_plain(message)

    def _authenticate_external(self, authzid: str) -> SaslResult:
        if authzid.partition("@")[0] in ("", self.certificate_name):
            return SaslSuccess(self.certificate_name)
        return SaslFailure("invalid-authzid")

    def _authenticate_plain(self, message: str) -> SaslResult:
        fields = message.split("\0")
        if len(fields) != 3 or not fields[1]:
            return SaslFailure("malformed-request")
        authzid, user, password = fields
        expected = self.options.users.get(user, "")
        # The passwords are compared for an unknown user too, so that the response time does not reveal which
        # user names exist.
        matches = hmac.compare_digest(expected.encode(), password.encode())
        if not (expected and matches):
            return SaslFailure("not-authorized")
        if not self._is_authorized_as(user, authzid):
            return SaslFailure("invalid-authzid")
        return SaslSuccess(user)

    def _authenticate_scram(self, mechanism: str, message: str) -> SaslResult:
        # Imported here so that a node without SCRAM does not load the SCRAM library.
        from puffinpost.protocol.scram import ScramError, ScramExchange

        scram, self._scram = self._scram, None
        try:
            if scram is None:
                scram = ScramExchange(mechanism, self._verifiers(), self._channel_binding())
                challenge = scram.handle_first(message)
                self._scram, self._pending_mechanism = scram, mechanism
                return SaslChallenge(challenge)
            signature = scram.handle_final(message)
        except ScramError as error:
            return SaslFailure(error.condition)
        if not self._is_authorized_as(scram.user, scram.authzid):
            return SaslFailure("invalid-authzid")
        return SaslSuccess(scram.user, signature)

    def _verifiers(self) -> VerifierStore:
        assert self.options.verifiers is not None  # SCRAM is only offered if they are set
        return self.options.verifiers

    def _channel_binding(self) -> bytes:
        # Also used for the mechanism without -PLUS: this detects a downgrade, in which an attacker has
        # removed -PLUS from the list of mechanisms that the client received.
        offers_binding = "SCRAM-SHA-256-PLUS" in self.available_mechanisms()
        return self.options.channel_binding if offers_binding else b""

    def _is_authorized_as(self, user: str, authzid: str) -> bool:
        return authzid in ("", user, f"{user}@{self.options.domain}")


def _sasl_element(name: str, message: str) -> bytes:
    content = base64.b64encode(message.encode()).decode()
    if not content:
        return f"<{name} xmlns='{SASL}'/>".encode()
    return f"<{name} xmlns='{SASL}'>{content}</{name}>".encode()
