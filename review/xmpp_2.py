"""XMPP stand-ins for the cases: a client (RFC 6120, RFC 7677, XEP-0198) and a transcriber."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import hmac
import re
import secrets
import ssl
from collections.abc import Callable

from rig_2 import LOOPBACK, Record

DOMAIN, FAR_DOMAIN = "localhost", "transcribers.localhost"
SESSION = "urn:puffinpost:session:0"
SASL = "urn:ietf:params:xml:ns:xmpp-sasl"
SM = "urn:xmpp:sm:3"
TLS = "urn:ietf:params:xml:ns:xmpp-tls"
BREAK_AFTER_S = 0.02
HEADER = (
    "<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    "xmlns:stream='http://etherx.jabber.org/streams' to='localhost' version='1.0'>"
)
UP = f"<up xmlns='{SESSION}' receipt='77'/>"


class Stream:
    """Reads a stream up to given texts."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.text = ""

    def write(self, text: str) -> None:
        """Writes text of the stream."""
        self.writer.write(text.encode())

    async def until(self, pattern: str, within_s: float = 10.0) -> str:
        """Returns the text up to the end of the pattern's first match. Raises ``EOFError``."""

        async def wait() -> str:
            while (found := re.search(pattern, self.text, re.S)) is None:
                data = await self.reader.read(65536)
                if not data:
                    raise EOFError(self.text)
                self.text += data.decode()
            head, self.text = self.text[: found.end()], self.text[found.end() :]
            return head

        return await asyncio.wait_for(wait(), within_s)


class Client:
    """A named client; it logs in by SCRAM-SHA-256."""

    def __init__(self, record: Record, port: int, user: str, password: str) -> None:
        self.record, self.port, self.user, self.password = record, port, user, password
        self.stream: Stream
        self.token = ""
        self.handled = 0  # stanzas received since <enabled/>
        self.stanzas: list[str] = []
        self._salted = b""

    async def connect(self) -> None:
        """Connects and logs in, up to the features after SASL."""
        self.stream = Stream(*await asyncio.open_connection(LOOPBACK, self.port))
        stream = self.stream
        stream.write(HEADER)
        await stream.until("</stream:features>")
        bare = f"n={self.user},r={secrets.token_hex(12)}"
        first = base64.b64encode(f"n,,{bare}".encode()).decode()
        stream.write(f"<auth xmlns='{SASL}' mechanism='SCRAM-SHA-256'>{first}</auth>")
        challenge = re.search(">([^<]+)</challenge>", await stream.until("</challenge>"))
        assert challenge is not None
        server_first = base64.b64decode(challenge[1]).decode()
        values = dict(item.split("=", 1) for item in server_first.split(","))
        if not self._salted:
            salt, count = base64.b64decode(values["s"]), int(values["i"])
            self._salted = hashlib.pbkdf2_hmac("sha256", self.password.encode(), salt, count)
            self._salt = salt
        elif self._salt != base64.b64decode(values["s"]):
            self._salt = base64.b64decode(values["s"])
            self._salted = hashlib.pbkdf2_hmac("sha256", self.password.encode(), self._salt, int(values["i"]))
        without_proof = f"c=biws,r={values['r']}"
        message = f"{bare},{server_first},{without_proof}".encode()
        key = hmac.digest(self._salted, b"Client Key", "sha256")
        signature = hmac.digest(hashlib.sha256(key).digest(), message, "sha256")
        proof = base64.b64encode(bytes(a ^ b for a, b in zip(key, signature, strict=True))).decode()
        final = base64.b64encode(f"{without_proof},p={proof}".encode()).decode()
        stream.write(f"<response xmlns='{SASL}'>{final}</response>")
        await stream.until("<success[^>]*>.*?</success>|<success[^>]*/>")
        stream.write(HEADER)
        await stream.until("</stream:features>")

    async def bind(self) -> None:
        """Binds a resource."""
        self.stream.write("<iq type='set' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>")
        await self.stream.until("</iq>")

    async def enable(self) -> None:
        """Enables stream management, with resumption."""
        self.stream.write(f"<enable xmlns='{SM}' resume='true'/>")
        found = re.search("id='([^']+)'", await self.stream.until("<enabled[^>]*/>"))
        assert found is not None
        self.token, self.handled = found[1], 0

    def open_request(self, iq_id: str, wait_ms: int, request_class: str = "live-text") -> str:
        """Returns the IQ that opens a session."""
        self.record(f"{self.user} sends open {iq_id}, waits {wait_ms} ms")
        attributes = f"class='{request_class}' wait='{wait_ms}' key='{secrets.token_hex(8)}'"
        return f"<iq type='set' id='{iq_id}'><open xmlns='{SESSION}' {attributes}/></iq>"

    async def open(self, iq_id: str, wait_ms: int = 4800) -> str:
        """Opens a session; returns the answer."""
        self.stream.write(self.open_request(iq_id, wait_ms))
        return await self.stanza(f"<iq [^>]*id='{iq_id}'.*?</iq>", wait_ms / 1000 + 1)

    async def stanza(self, pattern: str = "<iq .*?</iq>|<message.*?</message>", within_s: float = 10) -> str:
        """Waits for the next stanza; counts it as handled."""
        text = await self.stream.until(pattern, within_s)
        found = re.search("<(?:iq|message)[ >].*", text, re.S)
        assert found is not None, text
        self.handled += 1
        self.stanzas.append(found[0])
        self.record(f"{self.user} got {found[0]}")
        return found[0]

    async def resume(self) -> str:
        """Logs in on a new connection and resumes; returns the node's answer."""
        await self.connect()
        self.stream.write(f"<resume xmlns='{SM}' h='{self.handled}' previd='{self.token}'/>")
        answer = await self.stream.until("<resumed[^>]*/>|<failed.*?</failed>|<failed[^>]*/>|<stream:error.*")
        self.record(f"{self.user} asked to resume h={self.handled}, was answered {answer}")
        return answer

    def drop(self) -> None:
        """Loses the link: a reset."""
        with contextlib.suppress(Exception):
            self.stream.writer.transport.abort()


class Transcriber:
    """A sound transcriber over XMPP: one session a stream, answered at once."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.sessions: list[Stream] = []
        self.opened: list[str] = []
        self.received: list[str] = []
        self.ended = 0
        self.on_session: Callable[[Stream], None] = lambda _stream: None
        self.on_message: Callable[[Stream, str], None] = lambda stream, text: stream.write(text)  # the echo
        self.tls: ssl.SSLContext | None = None  # with one, STARTTLS is required
        self.breaks: Callable[[], bool] = lambda: (
            False
        )  # whether to reset this connection during the handshake

    async def start(self) -> str:
        """Listens; returns the address."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = Stream(reader, writer)
        header = HEADER.replace("to='localhost'", f"from='{FAR_DOMAIN}' id='t'")
        try:
            await stream.until("<stream:stream[^>]*>")
            if self.tls is not None and not await self._start_tls(stream, header, self.tls):
                return
            mechanism = f"<mechanisms xmlns='{SASL}'><mechanism>ANONYMOUS</mechanism></mechanisms>"
            stream.write(f"{header}<stream:features>{mechanism}</stream:features>")
            await stream.until("<auth[^>]*(/>|>.*?</auth>)")
            stream.write(f"<success xmlns='{SASL}'/>")
            await stream.until("<stream:stream[^>]*>")
            bind = "<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>"
            stream.write(f"{header}<stream:features>{bind}</stream:features>")
            found = re.search("id='([^']+)'", await stream.until("</iq>"))
            assert found is not None
            jid = f"<jid>node@{FAR_DOMAIN}/r</jid>"
            stream.write(f"<iq type='result' id='{found[1]}'>{bind[:-2]}>{jid}</bind></iq>")
            request = await stream.until("</iq>", 60)
            self.opened.append(request)
            self.record(f"{self.name} ran {request}")
            found = re.search("<iq[^>]*id='([^']+)'", request)
            assert found is not None
            stream.write(f"<iq type='result' id='{found[1]}'>{UP}</iq>")
            self.sessions.append(stream)
            self.on_session(stream)
            while True:
                text = await stream.until("<message.*?</message>|</stream:stream>", 120)
                if "</stream:stream>" in text:
                    stream.write("</stream:stream>")
                    break
                self.received.append(text)
                self.record(f"{self.name} got {text}")
                self.on_message(stream, text)
        except (EOFError, OSError, TimeoutError):
            pass
        finally:
            self.ended += 1
            self.record(f"{self.name} end of a stream")
            writer.close()

    async def _start_tls(self, stream: Stream, header: str, context: ssl.SSLContext) -> bool:
        """Upgrades a stream to TLS; returns whether it goes on."""
        required = f"<starttls xmlns='{TLS}'><required/></starttls>"
        stream.write(f"{header}<stream:features>{required}</stream:features>")
        await stream.until("<starttls[^>]*/>")
        stream.write(f"<proceed xmlns='{TLS}'/>")
        if self.breaks():
            await stream.writer.drain()
            await asyncio.sleep(BREAK_AFTER_S)
            stream.writer.transport.abort()
            self.record(f"{self.name} reset a connection during the TLS handshake")
            return False
        await stream.writer.start_tls(context)
        await stream.until("<stream:stream[^>]*>")
        return True
