"""The parameters with which a connection starts TLS, and the name in the peer's certificate."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from typing import Any

HANDSHAKE_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class TlsUpgrade:
    """How a connection starts TLS. ``hostname`` must match the certificate of a server."""

    context: ssl.SSLContext
    server_side: bool
    hostname: str | None = None


def peer_common_name(connected: Any) -> str:
    """Returns the common name in the verified certificate of a TLS socket's peer, or an empty string."""
    if not isinstance(connected, ssl.SSLSocket):
        return ""
    return common_name(connected.getpeercert() or {})


def common_name(certificate: dict[str, Any]) -> str:
    """Returns the common name in a certificate as ``getpeercert`` returns it, or an empty string."""
    for relative_name in certificate.get("subject", ()):
        for key, value in relative_name:
            if key == "commonName":
                return str(value)
    return ""
