"""A minimal XMPP client on a socket, which negotiates a stream with a node and opens sessions on it.

The demo and the measurements use it. It reads stanzas by their closing tags, and is no general XMPP parser.
"""

from __future__ import annotations

import asyncio

HEADER = (
    b"<?xml version='1.0'?><stream:stream xmlns='jabber:client' "
    b"xmlns:stream='http://etherx.jabber.org/streams' to='localhost' version='1.0'>"
)
FEATURES_END = b"</stream:features>"
IQ_END = b"</iq>"
MESSAGE_END = b"</message>"


class XmppClient:
    """One stream. ``timeout_s``: for each thing that is read; ``TimeoutError`` is raised after it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, timeout_s: float = 10.0
    ) -> None:
        self.reader, self.writer, self.timeout_s = reader, writer, timeout_s
        self.jid = ""
        self._handled = 0  # stanzas received since stream management was enabled

    @classmethod
    async def connect(cls, host: str, port: int, timeout_s: float = 10.0) -> XmppClient:
        """Connects, authenticates with ANONYMOUS, and binds a resource."""
        client = cls(*await asyncio.open_connection(host, port), timeout_s)
        await client._open_stream()
        client.writer.write(b"<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='ANONYMOUS'/>")
        await client._read_until(b"<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>")
        await client._open_stream()
        client.writer.write(b"<iq type='set' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>")
        bound = await client._read_until(IQ_END)
        client.jid = text_between(bound, b"<jid>", b"</jid>")
        return client

    async def enable_stream_management(self) -> None:
        """Enables stream management with resumption (XEP-0198)."""
        self.writer.write(b"<enable xmlns='urn:xmpp:sm:3' resume='true'/>")
        await self._read_until(b"/>")
        self._handled = 0

    async def request(self, kind: str, request_id: str, payload: str) -> bytes:
        """Sends an IQ stanza; returns the answer."""
        self.writer.write(f"<iq type='{kind}' id='{request_id}'>{payload}</iq>".encode())
        return await self._read_stanza(IQ_END)

    async def open_session(self, class_name: str, wait_ms: int) -> bytes:
        """Opens a session with a transcriber; returns the answer."""
        payload = f"<open xmlns='urn:puffinpost:session:0' class='{class_name}' wait='{wait_ms}'/>"
        return await self.request("set", "o", payload)

    async def exchange_message(self, body: bytes) -> bytes:
        """Sends a message; returns the next one that is received."""
        self.writer.write(b"<message><body>%s</body></message>" % body)
        return await self._read_stanza(MESSAGE_END)

    def close(self) -> None:
        """Closes the stream and the connection."""
        self.writer.write(b"</stream:stream>")
        self.writer.close()

    async def _open_stream(self) -> None:
        self.writer.write(HEADER)
        await self._read_until(FEATURES_END)

    async def _read_until(self, mark: bytes) -> bytes:
        return await asyncio.wait_for(self.reader.readuntil(mark), self.timeout_s)

    async def _read_stanza(self, end: bytes) -> bytes:
        """Reads to the end of a stanza, and answers the node's requests for acknowledgement before it."""
        stanza = b""
        while not stanza.endswith(end):
            element = await self._read_until(b">")
            if element.startswith(b"<r "):
                self.writer.write(b"<a xmlns='urn:xmpp:sm:3' h='%d'/>" % self._handled)
            else:
                stanza += element
        self._handled += 1
        return stanza


def text_between(data: bytes, begin: bytes, end: bytes) -> str:
    """The text between two marks."""
    return data.partition(begin)[2].partition(end)[0].decode()
