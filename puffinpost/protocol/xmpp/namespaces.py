"""XML namespaces of XMPP (RFC 6120) and of the extensions that this project implements."""

from __future__ import annotations

CLIENT = "jabber:client"
STREAM = "http://etherx.jabber.org/streams"
STREAM_ERRORS = "urn:ietf:params:xml:ns:xmpp-streams"
STANZA_ERRORS = "urn:ietf:params:xml:ns:xmpp-stanzas"
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
SASL_CHANNEL_BINDING = "urn:xmpp:sasl-cb:0"  # XEP-0440
TLS = "urn:ietf:params:xml:ns:xmpp-tls"
BIND = "urn:ietf:params:xml:ns:xmpp-bind"
PING = "urn:xmpp:ping"  # XEP-0199
DISCO = "http://jabber.org/protocol/disco#info"  # XEP-0030
STREAM_MANAGEMENT = "urn:xmpp:sm:3"  # XEP-0198
