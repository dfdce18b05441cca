"""XMPP streams (RFC 6120): parser, stanzas, and the negotiation at both ends.

All code here works on bytes and does no I/O.
"""

from puffinpost.protocol.xmpp.client_stream import (
    ClientOptions,
    ClientStream,
)
from puffinpost.protocol.xmpp.elements import (
    Element,
    escape,
)
from puffinpost.protocol.xmpp.namespaces import (
    BIND,
    CLIENT,
    DISCO,
    PING,
    SASL,
    STANZA_ERRORS,
    STREAM,
    STREAM_ERRORS,
    STREAM_MANAGEMENT,
    TLS,
)
from puffinpost.protocol.xmpp.negotiation import (
    StreamHandler,
)
from puffinpost.protocol.xmpp.sasl import (
    ServerOptions,
)
from puffinpost.protocol.xmpp.server_stream import (
    ServerStream,
)
from puffinpost.protocol.xmpp.stanzas import (
    ACK_REQUEST,
    STREAM_CLOSE,
    error_condition,
    handled_count,
    handled_count_too_high,
    inner_xml,
    management_ack,
    management_failed,
    readdress,
    replace_attribute,
    stanza,
    stanza_error,
    stream_error,
    stream_header,
)
from puffinpost.protocol.xmpp.stream_parser import (
    Stanza,
    StreamClosed,
    StreamEvent,
    StreamFault,
    StreamOpened,
    StreamParser,
)

__all__ = [
    "ACK_REQUEST",
    "BIND",
    "CLIENT",
    "DISCO",
    "PING",
    "SASL",
    "STANZA_ERRORS",
    "STREAM",
    "STREAM_CLOSE",
    "STREAM_ERRORS",
    "STREAM_MANAGEMENT",
    "TLS",
    "ClientOptions",
    "ClientStream",
    "Element",
    "ServerOptions",
    "ServerStream",
    "Stanza",
    "StreamClosed",
    "StreamEvent",
    "StreamFault",
    "StreamHandler",
    "StreamOpened",
    "StreamParser",
    "error_condition",
    "escape",
    "handled_count",
    "handled_count_too_high",
    "inner_xml",
    "management_ack",
    "management_failed",
    "readdress",
    "replace_attribute",
    "stanza",
    "stanza_error",
    "stream_error",
    "stream_header",
]
