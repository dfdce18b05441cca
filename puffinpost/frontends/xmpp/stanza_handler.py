"""Handles stanzas of a client: IQs for open, close, ping and discovery, and messages for the endpoint.

The session calls it for each stanza. It answers through the session and never writes to a connection.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import TYPE_CHECKING

from puffinpost.frontends.xmpp.request import SESSION_NAMESPACE, BadRequestError, build_session_request
from puffinpost.observability import log
from puffinpost.protocol import xmpp

if TYPE_CHECKING:
    from puffinpost.frontends.xmpp.session import XmppSession

_OPEN_TAG = re.compile(rb"<(?:[^\s:/>]+:)?open[\s/>]")


class StanzaHandler:
    """Handles the stanzas of one session."""

    def __init__(self, session: XmppSession) -> None:
        self._session = session
        self._config = session.frontend.config

    def on_stanza(self, stanza: xmpp.Stanza) -> None:
        """Handles a stanza of the client."""
        element = stanza.element
        to = element.attributes.get("to", "").partition("/")[0].lower()
        if to not in ("", self._config.server.domain.lower()):
            self._refuse(element, "cancel", "remote-server-not-found")
        elif element.name == "message":
            self._on_message(stanza)
        elif element.name == "iq":
            self._on_iq(stanza)
        # Presence has no meaning here and is ignored.

    def reply(self, name: str, stanza_id: str, stanza_type: str, inner: bytes = b"") -> None:
        """Answers a stanza of the client."""
        attributes = {
            "type": stanza_type,
            "id": stanza_id,
            "from": self._config.server.domain,
            "to": self._session.bound_jid,
        }
        self._session.send(xmpp.stanza(name, attributes, inner))

    def _refuse(self, element: xmpp.Element, error_type: str, condition: str, extra: str = "") -> None:
        if element.attributes.get("type") not in ("error", "result"):
            error = xmpp.stanza_error(error_type, condition, extra)
            self.reply(element.name, element.attributes.get("id", ""), "error", error)

    def _on_iq(self, stanza: xmpp.Stanza) -> None:
        element = stanza.element
        iq_type, iq_id = element.attributes.get("type", ""), element.attributes.get("id", "")
        if iq_type in ("result", "error"):
            return
        if iq_type not in ("get", "set") or not iq_id or len(element.children) != 1:
            self._refuse(element, "modify", "bad-request")
            return
        child = element.children[0]
        match iq_type, child.namespace, child.name:
            case "get", xmpp.PING, "ping":
                self.reply("iq", iq_id, "result")
            case "get", xmpp.DISCO, "query":
                self._discover(element, child)
            case "set", namespace, "open" if namespace == SESSION_NAMESPACE:
                self._open(element, child, stanza.raw)
            case "set", namespace, "close" if namespace == SESSION_NAMESPACE:
                self._session.end_exchange(False)
                self.reply("iq", iq_id, "result")
            case _:
                self._refuse(element, "cancel", "service-unavailable")

    def _discover(self, element: xmpp.Element, query: xmpp.Element) -> None:
        """Answers a service discovery (XEP-0030)."""
        if query.attributes.get("node"):
            self._refuse(element, "cancel", "item-not-found")
            return
        namespaces = (xmpp.DISCO, xmpp.PING, SESSION_NAMESPACE)
        features = "".join(f"<feature var='{name}'/>" for name in namespaces)
        identity = "<identity category='component' type='generic' name='puffinpost'/>"
        inner = f"<query xmlns='{xmpp.DISCO}'>{identity}{features}</query>"
        self.reply("iq", element.attributes["id"], "result", inner.encode())

    def _open(self, element: xmpp.Element, child: xmpp.Element, raw: bytes) -> None:
        session = self._session
        iq_id = element.attributes["id"]
        if session.exchange is not None:
            if not session.exchange.established and iq_id == session.open_iq_id:
                # A retry of the same IQ joins the request under way: both get one answer.
                session.coordinator.counters.add("edge_joined")
            else:
                self._refuse(element, "cancel", "conflict")
            return
        open_element = xmpp.inner_xml(raw).strip()
        try:
            request = build_session_request(session.coordinator, child, session.peer)
            _check_open_element(open_element)
        except BadRequestError as error:
            self._refuse_bad_request(element, error)
            return
        if not session.open_request(request, iq_id, xmpp.readdress(open_element, self._prefixes(), {})):
            self._refuse(element, "wait", "resource-constraint")

    def _refuse_bad_request(self, element: xmpp.Element, error: BadRequestError) -> None:
        self._session.coordinator.counters.add("bad_lines")
        peer = log.format_peer(self._session.peer)
        log.info("invalid session request from an XMPP client", high_volume=True, peer=peer, reason=error)
        text = f"<text xmlns='{xmpp.STANZA_ERRORS}' xml:lang='en'>{xmpp.escape(str(error))}</text>"
        self._refuse(element, "modify", "bad-request", text)

    def _on_message(self, stanza: xmpp.Stanza) -> None:
        if self._session.exchange is None:
            self._refuse(stanza.element, "wait", "recipient-unavailable")
            return
        addresses = {"to": self._config.client.domain}
        self._session.forward(xmpp.readdress(stanza.raw, self._prefixes(), addresses))

    def _prefixes(self) -> Mapping[str, str]:
        """The namespace prefixes that the client's current stream declares."""
        connection = self._session.connection
        return connection.stream.prefixes if connection is not None else {}


def _check_open_element(open_element: bytes) -> None:
    if _OPEN_TAG.match(open_element) is None:
        raise BadRequestError("something stands before open")
