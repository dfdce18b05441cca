"""XMPP: streams from clients, and streams of the node's own to transcribers.

A client opens a session with an IQ, and its result or error is the final answer; docs/xmpp.md has the
namespace. While a session stands, messages pass both ways as the bytes that came, addresses aside.
"""

from __future__ import annotations

import re
import socket

from puffinpost import interface as api
from puffinpost import log
from puffinpost.config import XmppConfig
from puffinpost.core import LONGEST_WAIT_MS, MS, Core, Exchange, Message, Relay
from puffinpost.net.link import Link, Tls
from puffinpost.net.places import Places
from puffinpost.net.south import Dialler
from puffinpost.protocol import xmpp
from puffinpost.protocol.xmpp_stream import ClientStream, ServerStream

SESSION = "urn:puffinpost:session:0"
NEGOTIATION_S = 30.0  # from the stream's header until a resource is bound; the header has a newcomer's time
MOST_HELD = 8 * 1024  # of a client's messages before its session stands; then it is not read any more
HELD_EXTRA = 64  # what each costs beside its bytes
_OPEN = re.compile(rb"<(?:[^\s:/>]+:)?open[\s/>]")


class BadRequest(ValueError):
    """An IQ that cannot be taken; the text says why."""


class XmppFront:
    """Takes XMPP clients in."""

    def __init__(self, core: Core, config: XmppConfig, dialler: Dialler, places: Places) -> None:
        self.core = core
        self.config = config
        self.dialler = dialler
        self.places = places
        self.sessions: set[XmppSession] = set()
        self.bound: dict[str, XmppSession] = {}

    def accept(self, link: Link) -> XmppSession:
        """A client has connected; the caller runs the link with the session."""
        session = XmppSession(self, link)
        self.sessions.add(session)
        self.places.enter(session)
        return session

    def turn_away(self, connection: socket.socket) -> None:
        """Answers a connection for which there was no descriptor but the spare one."""
        head = xmpp.header({"from": self.config.server.domain, "version": "1.0"})
        connection.send(head + xmpp.stream_error("resource-constraint"))

    def shut_down(self) -> None:
        """Ends the streams that are left."""
        for session in list(self.sessions):
            session.stream.fail("system-shutdown")

    def message(self, element: xmpp.Element, source: tuple[str, int]) -> Message:
        """What an ``open`` asks for, in the core's terms."""
        given = element.attributes
        klass = self.core.class_of(given.get("class", ""))
        if klass is None:
            raise BadRequest("class is missing or unknown")
        wait = _number(given, "wait", 10, LONGEST_WAIT_MS)
        if wait is None or wait == 0:
            raise BadRequest("wait is missing")
        group = _number(given, "group", 16, (1 << 64) - 1) if self.core.settings.groups else None
        return Message(
            klass, wait * MS, _number(given, "key", 16, (1 << 64) - 1) or 0, group or 0,
            _number(given, "load", 10, 10**12), given.get("retry") == "true",
            given.get("returning") == "true", source,
        )


def _number(given: dict[str, str], name: str, base: int, most: int) -> int | None:
    if name not in given:
        return None
    try:
        value = int(given[name], base)
    except ValueError:
        raise BadRequest(f"{name} is not a number") from None
    if not 0 <= value <= most:
        raise BadRequest(f"{name} is out of range")
    return value


class XmppSession:
    """One client's stream, with at most one session on it at a time."""

    def __init__(self, front: XmppFront, link: Link) -> None:
        self.front = front
        self.core = front.core
        self.link = link
        self.stream = ServerStream(self, front.config.server)
        self.exchange: Exchange | None = None
        self.south: TranscriberStream | None = None
        self.iq = ""  # the id of the IQ that opened the session
        self.asked = b""  # its child, as it came
        self.held: list[bytes] = []
        self.held_size = 0
        self.greeted = False

    # --- what the link tells (Receiver) -------------------------------------------------------------

    def received(self, data: bytes) -> None:
        self.front.places.heard(self)
        self.stream.feed(data)
        if not self.greeted and self.stream.headed and not self.stream.over:
            self.greeted = True
            self.front.places.enter(self, NEGOTIATION_S)

    def late(self) -> None:
        self.stream.fail("resource-constraint" if self.stream.bound else "connection-timeout")

    def ending(self) -> None:
        if self.exchange is not None and not self.exchange.standing:
            self.core.withdraw(self.exchange)

    def lost(self, reset: bool) -> None:
        self.stream.over = True
        self._leave(reset)

    def broke(self) -> None:
        self._answer(xmpp.stanza_error("cancel", "internal-server-error"))
        self.stream.fail("internal-server-error")

    # --- what the stream tells (Owner) --------------------------------------------------------------

    def stream_write(self, data: bytes) -> None:
        self.link.write(data)

    def stream_secure(self) -> None:
        context = self.front.config.server_tls
        assert context is not None  # STARTTLS is offered with a certificate only
        self.link.secure(Tls(context, True), self.stream.secured)

    def stream_ready(self) -> None:
        # Guards against a client that has lost its connection and is here again before the node knows:
        # its old stream ends first, and the relay of that with it.
        old = self.front.bound.get(self.stream.bound)
        if old is not None:
            old.stream.fail("conflict")
        self.front.bound[self.stream.bound] = self
        self.greeted = True
        if self.exchange is None:
            self.front.places.rest(self)

    def stream_over(self, clean: bool) -> None:
        self._leave(False)
        self.link.close()

    def stream_stanza(self, stanza: xmpp.Stanza) -> None:
        element = stanza.element
        to = element.attributes.get("to", "").partition("/")[0].lower()
        if to not in ("", self.front.config.server.domain.lower()):
            self._refuse_stanza(element, "cancel", "remote-server-not-found")
        elif element.name == "message":
            self._message(stanza)
        elif element.name == "iq":
            self._iq(stanza)
        # Presence means nothing here, and is passed over.

    # --- stanzas ------------------------------------------------------------------------------------

    def _refuse_stanza(self, element: xmpp.Element, kind: str, condition: str, extra: str = "") -> None:
        if element.attributes.get("type") not in ("error", "result"):
            self._reply(element.name, element.attributes.get("id", ""), "error",
                        xmpp.stanza_error(kind, condition, extra))

    def _reply(self, name: str, number: str, kind: str, inner: bytes = b"") -> None:
        self.link.write(xmpp.stanza(name, {
            "type": kind, "id": number, "from": self.front.config.server.domain, "to": self.stream.bound,
        }, inner))

    def _iq(self, stanza: xmpp.Stanza) -> None:
        element = stanza.element
        kind, number = element.attributes.get("type", ""), element.attributes.get("id", "")
        if kind in ("result", "error"):
            return
        if kind not in ("get", "set") or not number or len(element.children) != 1:
            self._refuse_stanza(element, "modify", "bad-request")
            return
        child = element.children[0]
        match kind, child.namespace, child.name:
            case "get", xmpp.PING, "ping":
                self._reply("iq", number, "result")
            case "set", namespace, "open" if namespace == SESSION:
                self._open(element, child, stanza.raw)
            case "set", namespace, "close" if namespace == SESSION:
                self._end_session(False)
                self._reply("iq", number, "result")
            case _:
                self._refuse_stanza(element, "cancel", "service-unavailable")

    def _open(self, element: xmpp.Element, child: xmpp.Element, raw: bytes) -> None:
        if self.exchange is not None:
            self._refuse_stanza(element, "cancel", "conflict")
            return
        try:
            message = self.front.message(child, self.link.peer)
            if _OPEN.match(xmpp.inner_of(raw).strip()) is None:
                raise BadRequest("something stands before open")
        except BadRequest as problem:
            self.core.counters.add("bad_lines")
            said = f"<text xmlns='{xmpp.STANZA_ERRORS}' xml:lang='en'>{xmpp.escape(str(problem))}</text>"
            self._refuse_stanza(element, "modify", "bad-request", said)
            return
        if not self.front.places.ask(self):
            self.core.turned_away(message.klass)
            self._refuse_stanza(element, "wait", "resource-constraint")
            return
        self.iq = element.attributes["id"]
        self.asked = xmpp.readdress(xmpp.inner_of(raw).strip(), self.stream.prefixes, {})
        exchange = self.core.open(message, self)
        # The answer may have been given by now, and the stream may be gone with it.
        self.exchange = None if exchange.answered else exchange

    def _message(self, stanza: xmpp.Stanza) -> None:
        exchange = self.exchange
        if exchange is None:
            self._refuse_stanza(stanza.element, "wait", "recipient-unavailable")
            return
        raw = xmpp.readdress(stanza.raw, self.stream.prefixes, {"to": self.front.config.client.domain})
        if exchange.standing and self.south is not None:
            self.south.pass_on(raw)
            return
        self.held.append(raw)
        self.held_size += len(raw) + HELD_EXTRA
        if self.held_size > MOST_HELD:
            self.link.hold(True)

    # --- what the core asks for (North) -------------------------------------------------------------

    def start_relay(self, relay: Relay) -> None:
        self.south = TranscriberStream(self, relay, self.asked)
        self.front.dialler.start(self.south)

    def drop_relay(self, relay: Relay) -> None:
        if self.south is not None and self.south.relay is relay:
            self.south.drop()

    def refuse(self, pause_ns: int) -> None:
        pause = f"<pause xmlns='{SESSION}' ms='{pause_ns // MS}'/>" if pause_ns >= MS else ""
        self._answer(xmpp.stanza_error("wait", "resource-constraint", pause))

    def fail(self, overdue: bool) -> None:
        if overdue:
            self._answer(xmpp.stanza_error("wait", "remote-server-timeout"))
        else:
            self._answer(xmpp.stanza_error("cancel", "service-unavailable"))

    def move(self) -> None:
        """Only whole stanzas are ever written north, so this falls between two."""
        self.link.write(xmpp.stanza(
            "message", {"from": self.front.config.server.domain, "to": self.stream.bound},
            f"<move xmlns='{SESSION}'/>".encode(),
        ))
        self.exchange = None
        self.stream.close()

    # --- within -------------------------------------------------------------------------------------

    def _answer(self, error: bytes) -> None:
        """The final answer, where the session does not stand; the stream stays for the next one."""
        if self.iq:
            number, self.iq = self.iq, ""
            self._reply("iq", number, "error", error)
        self.exchange, self.held, self.held_size = None, [], 0
        if not self.stream.over:
            self.front.places.rest(self)
        self.link.hold(False)

    def stands(self, receipt: bytes) -> None:
        """The transcriber took the session: its word goes north, what was held goes south."""
        assert self.south is not None and self.south.link is not None
        number, self.iq = self.iq, ""
        self._reply("iq", number, "result", receipt)
        self.link.sink, self.south.link.sink = self.south.link, self.link
        held, self.held, self.held_size = self.held, [], 0
        for raw in held:
            self.south.pass_on(raw)
        self.link.hold(False)

    def session_over(self, reset: bool) -> None:
        """The transcriber ended a session that stood: this side ends the same way."""
        self.exchange = None
        if reset:
            self.stream.over = True
            self._leave(True)
            self.link.close(True)
        else:
            self.stream.close()

    def _end_session(self, reset: bool) -> None:
        exchange, self.exchange, self.iq = self.exchange, None, ""
        self.held, self.held_size = [], 0
        if exchange is not None:
            if not self.stream.over:
                self.front.places.rest(self)
            if self.south is not None and reset and self.south.link is not None:
                self.south.link.close(True)
            self.core.gone(exchange)

    def _leave(self, reset: bool) -> None:
        self.front.sessions.discard(self)
        self.front.places.left(self)
        if self.front.bound.get(self.stream.bound) is self:
            del self.front.bound[self.stream.bound]
        self._end_session(reset)


class TranscriberStream:
    """One relay's stream to its transcriber, where the node is the client."""

    def __init__(self, session: XmppSession, relay: Relay, asked: bytes) -> None:
        self.session = session
        self.core = session.core
        self.config = session.front.config
        self.relay = relay
        if self.config.port:
            relay.address = relay.exchange.at = relay.address[0], self.config.port
        self.asked = asked
        self.link: Link | None = None
        self.stream = ClientStream(self, self.config.client)
        self.iq = f"open-{relay.exchange.number}-{relay.number}"
        self.last = api.Result.RESET

    # --- what the driver asks for (South) -----------------------------------------------------------

    def connected(self) -> None:
        self.stream.begin()

    def flushed(self) -> None:
        """Nothing but the stream's header is out: the transcriber knows of no session yet."""

    def pass_on(self, raw: bytes) -> None:
        """A message of the client's, as it came but for its addresses."""
        self.stream_write(raw)
        self.core.line_north(self.relay.exchange, len(raw))

    def drop(self) -> None:
        """Closes the socket."""
        if not self.stream.over and self.stream.bound:
            self.stream_write(xmpp.CLOSE)
        self.stream.over = True
        if self.link is not None:
            self.link.close()

    # --- what the link tells (Receiver) -------------------------------------------------------------

    def received(self, data: bytes) -> None:
        if not self.relay.over:
            self.stream.feed(data)

    def lost(self, reset: bool) -> None:
        self._over(self._result(), reset and self.last is api.Result.RESET)

    def broke(self) -> None:
        self._over(self._result(), True)

    def _result(self) -> api.Result:
        # A stream that ended before the session was asked for has run nothing.
        return self.last if self.relay.written else api.Result.CONNECT_FAILED

    # --- what the stream tells (Owner) --------------------------------------------------------------

    def stream_write(self, data: bytes) -> None:
        if self.link is not None:
            self.link.write(data)

    def stream_secure(self) -> None:
        context = self.config.client_tls
        assert context is not None and self.link is not None
        self.link.secure(Tls(context, False, self.config.client.domain), self.stream.secured)

    def stream_ready(self) -> None:
        """Bound: the session is asked for, if it still may be."""
        if not self.core.may_write(self.relay):
            self._over(api.Result.CONNECT_FAILED, False)
            return
        inner = xmpp.rewrite(self.asked, b"wait", str(self.core.left_ms(self.relay)))
        self.stream_write(xmpp.stanza(
            "iq", {"type": "set", "id": self.iq, "to": self.config.client.domain}, inner
        ))
        self.core.written(self.relay)

    def stream_stanza(self, stanza: xmpp.Stanza) -> None:
        if self.relay.over:
            return
        element = stanza.element
        kind = element.attributes.get("type", "")
        if element.name == "iq" and kind in ("result", "error"):
            if element.attributes.get("id") == self.iq and not self.relay.exchange.standing:
                self._answered(stanza, kind)
        elif element.name == "iq":
            pong = kind == "get" and element.child(xmpp.PING, "ping") is not None
            inner = b"" if pong else xmpp.stanza_error("cancel", "service-unavailable")
            self.stream_write(xmpp.stanza("iq", {
                "type": "result" if pong else "error", "id": element.attributes.get("id", ""),
                "to": self.config.client.domain,
            }, inner))
        elif element.name == "message" and self.relay.exchange.standing:
            self._message(stanza)

    def stream_over(self, clean: bool) -> None:
        self._over(self._result(), False)

    # --- within -------------------------------------------------------------------------------------

    def _answered(self, stanza: xmpp.Stanza, kind: str) -> None:
        if kind == "result":
            if self.core.up(self.relay):
                receipt = xmpp.inner_of(stanza.raw).strip()
                self.session.stands(
                    xmpp.readdress(receipt, self.stream.prefixes, {}) if receipt.startswith(b"<") else b""
                )
            return
        refused = xmpp.condition_of(stanza.element) == ("wait", "resource-constraint")
        self._over(api.Result.REJECTED if refused else api.Result.ERROR, False)

    def _message(self, stanza: xmpp.Stanza) -> None:
        element, echo = stanza.element, False
        load = element.child(SESSION, "load")
        if load is not None:
            us = load.attributes.get("us", "")
            if us.isdigit() and len(us) < 13:
                self.core.load(self.relay, int(us))
        elif element.child(SESSION, "bye") is not None:
            self.last = api.Result.SERVED
        elif element.child(SESSION, "move") is not None:
            self.last = api.Result.CANCELLED
        else:
            echo = True
        if not self.relay.over:
            self.session.link.write(xmpp.readdress(stanza.raw, self.stream.prefixes, {
                "from": self.config.server.domain, "to": self.session.stream.bound,
            }))
            self.core.line_south(self.relay, len(stanza.raw), echo)

    def _over(self, result: api.Result, reset: bool) -> None:
        if self.relay.over:
            return
        self.drop()
        if self.relay.exchange.standing:
            self.session.session_over(reset)
        self.core.ended(self.relay, result)
        if result in (api.Result.ERROR, api.Result.CONNECT_FAILED):
            log.say(f"relay to {self.core.inventory.name(self.relay.server)}: {result.name.lower()}")
