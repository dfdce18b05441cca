"""The receiving end of SCRAM (RFC 5802, RFC 7677) on an XMPP stream, based on the scramp library.

It adds a cache of each user's keys, a salt for unknown user names too, so that a client cannot distinguish
them from known names before its proof, and the same error for every reason of a failed proof.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections import OrderedDict
from collections.abc import Mapping

from scramp import ScramException, ScramMechanism
from scramp.utils import saslprep

from puffinpost.errors import PuffinpostError

ITERATIONS = 4096  # RFC 7677, 4
MAX_CACHED_USERS = 1024
SALT_BYTES = 16
CHANNEL_BINDING_TYPE = "tls-server-end-point"  # RFC 5929, 4: available in every version of TLS
Keys = tuple[bytes, bytes, bytes, int]


class ScramError(PuffinpostError):
    """The exchange failed; ``condition`` is SASL's error condition (RFC 6120, 6.5)."""

    def __init__(self, condition: str) -> None:
        super().__init__(condition)
        self.condition = condition


class VerifierStore:
    """Derives and caches each user's salt, stored key, server key and iteration count."""

    def __init__(self, users: Mapping[str, str]) -> None:
        self.users = users
        self._unknown_user_secret = secrets.token_bytes(32)
        self._cached_keys: OrderedDict[str, Keys] = OrderedDict()

    def keys_for(self, user: str) -> Keys:
        """Returns the keys of a user; for an unknown name, keys that no password matches."""
        keys = self._cached_keys.get(user)
        if keys is None:
            keys = self._cached_keys[user] = self._derive(user)
            if len(self._cached_keys) > MAX_CACHED_USERS:
                self._cached_keys.popitem(last=False)
        self._cached_keys.move_to_end(user)
        return keys

    def _derive(self, user: str) -> Keys:
        salt = hmac.digest(self._unknown_user_secret, user.encode(), "sha256")[:SALT_BYTES]
        password = self.users.get(user)
        # An unknown name takes the same work: a secret replaces the password.
        secret = saslprep(password).encode() if password is not None else self._unknown_user_secret
        salted = hashlib.pbkdf2_hmac("sha256", secret, salt, ITERATIONS)
        stored = hashlib.sha256(hmac.digest(salted, b"Client Key", "sha256")).digest()
        return salt, stored, hmac.digest(salted, b"Server Key", "sha256"), ITERATIONS


class ScramExchange:
    """One authentication attempt of a client: ``handle_first``, then ``handle_final``."""

    def __init__(self, mechanism: str, verifiers: VerifierStore, binding: bytes) -> None:
        self.user = ""  # the authenticated user, once ``handle_final`` has returned
        self.authzid = ""
        self._claimed_user = ""
        self._verifiers = verifiers
        self._server = ScramMechanism(mechanism).make_server(
            self._keys_for, channel_binding=(CHANNEL_BINDING_TYPE, binding) if binding else None
        )

    def _keys_for(self, user: str) -> Keys:
        self._claimed_user = user
        return self._verifiers.keys_for(user)

    def handle_first(self, message: str) -> str:
        """Returns the response to the client's first message. Raises ``ScramError`` if it is malformed."""
        try:
            self._server.set_client_first(message)
            attributes = message.split(",", 2)
            self.authzid = attributes[1].removeprefix("a=").replace("=2C", ",").replace("=3D", "=")
            return str(self._server.get_server_first())
        except ScramException:
            raise ScramError("malformed-request") from None

    def handle_final(self, message: str) -> str:
        """Returns the server's signature. Raises ``ScramError`` if the client's proof is invalid."""
        try:
            self._server.set_client_final(message)
        except ScramException:
            raise ScramError("not-authorized") from None
        if self._claimed_user not in self._verifiers.users:
            raise ScramError("not-authorized")
        self.user = self._claimed_user
        return str(self._server.get_server_final())


def channel_binding_data(pem: str) -> bytes:
    """Returns the channel binding data of a certificate, which is a hash of it (RFC 5929, 4.1).

    Raises ``ValueError`` if the library cannot use the certificate.
    """
    try:
        server = ScramMechanism("SCRAM-SHA-256-PLUS").make_server(
            lambda _user: None, (CHANNEL_BINDING_TYPE, pem)
        )
    except ScramException as error:
        raise ValueError(str(error)) from None
    return bytes(server.cb.data)
