"""Enables stream management (XEP-0198) on a session. The connection calls it for each ``enable`` element."""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.protocol import xmpp
from puffinpost.resumption.errors import RegistryFullError
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.xmpp.session import XmppSession

MAX_RESUME_DIGITS = 9  # of the grace period in seconds that a client requests


def enable_management(session: XmppSession, element: xmpp.Element) -> bytes:
    """Makes a session resumable and returns the answer to the client."""
    connection, registry = session.connection, session.frontend.registry
    if session.resumable is not None or connection is None:
        return xmpp.management_failed("unexpected-request")
    grace_ns = _requested_grace_ns(element, registry.limits.grace_ns)
    try:
        resumable = registry.begin(f"xmpp:{connection.stream.user}", grace_ns=grace_ns)
    except RegistryFullError:
        return xmpp.management_failed("resource-constraint")
    session.resumable, resumable.owner = resumable, session
    connection.generation = resumable.generation
    attributes = ""
    if grace_ns:
        token = registry.issue_token(resumable)
        attributes = f" id='{token}' resume='true' max='{grace_ns // (1000 * MS)}'"
    return f"<enabled xmlns='{xmpp.STREAM_MANAGEMENT}'{attributes}/>".encode()


def _requested_grace_ns(element: xmpp.Element, limit_ns: int) -> int:
    """How long the session is kept after its connection is lost; 0: not at all."""
    if element.attributes.get("resume") not in ("true", "1"):
        return 0
    max_s = element.attributes.get("max", "")
    if max_s.isdigit() and len(max_s) <= MAX_RESUME_DIGITS:
        return min(limit_ns, int(max_s) * 1000 * MS)
    return limit_ns
