"""Stand-ins on loopback for the services that a node talks to: transcribers and discovery.

The transcribers accept every session and send each line back with ``echo`` before it. Local deployments and
process clusters start them; they simulate no load, warm-up or faults.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from puffinpost.protocol import xmpp

HOST = "127.0.0.1"
READ_SIZE = 8192
ENDED = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)  # also by the loop's end


def ignore_event(text: str) -> None:
    """The callback of a stand-in whose events nobody reads."""


class StandIn:
    """A server on a port of its own. ``port`` is 0 until it is started."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until its end."""
        raise NotImplementedError


class StandInEndpoint(StandIn):
    """Accepts sessions in the platform's line protocol. ``lines``: what was received, by the session's id."""

    def __init__(self, name: str, on_event: Callable[[str], None] = ignore_event) -> None:
        super().__init__()
        self.name = name
        self.on_event = on_event
        self.session_count = 0
        self.lines: dict[str, list[bytes]] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            first = await reader.readuntil(b"\r\n")
            words = first.split()
            if len(words) == 4 and words[0] == b"OPEN":
                await self._echo_lines(words[1].decode(), reader, writer)
            else:
                is_command = first.startswith((b"PING", b"STATS"))
                writer.write(b"NO\r\n" if is_command else b"SYNTAX\r\n")
        writer.close()

    async def _echo_lines(
        self, session_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.session_count += 1
        lines = self.lines.setdefault(session_id, [])
        self.on_event(f"{self.name} takes session {session_id}")
        writer.write(b"UP %d\r\n" % self.session_count)
        while True:
            line = await reader.readuntil(b"\r\n")
            lines.append(line)
            writer.write(b"echo " + line)
            await writer.drain()


class StandInXmppEndpoint(StandIn):
    """Accepts every session over XMPP, and sends each message back."""

    def __init__(self, on_event: Callable[[str], None] = ignore_event) -> None:
        super().__init__()
        self.on_event = on_event
        self.session_count = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        options = xmpp.ServerOptions("transcribers.localhost", ("ANONYMOUS",))
        stream = xmpp.ServerStream(_EchoStream(self, writer), options)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (data := await reader.read(READ_SIZE)) and not stream.ended:
                stream.feed(data)
                await writer.drain()
        writer.close()


class _EchoStream:
    """The owner of one XMPP stream that a node has opened."""

    def __init__(self, endpoint: StandInXmppEndpoint, writer: asyncio.StreamWriter) -> None:
        self.endpoint = endpoint
        self.writer = writer

    def write_data(self, data: bytes) -> None:
        self.writer.write(data)

    def start_tls(self) -> None:
        raise AssertionError("no TLS is offered")

    def on_resource_bound(self) -> None:
        pass

    def on_management_element(self, element: xmpp.Element) -> None:
        pass

    def on_stream_ended(self, clean: bool) -> None:
        del clean  # the connection is closed either way
        self.writer.close()

    def on_stanza(self, stanza: xmpp.Stanza) -> None:
        element = stanza.element
        if element.name == "message":
            self.writer.write(xmpp.readdress(stanza.raw, {}, {}))
        elif element.name == "iq":
            self._accept_session(element)

    def _accept_session(self, request: xmpp.Element) -> None:
        endpoint = self.endpoint
        endpoint.session_count += 1
        endpoint.on_event("a session over XMPP is taken")
        receipt = f"<up xmlns='urn:puffinpost:session:0' receipt='{endpoint.session_count}'/>".encode()
        attributes = {"type": "result", "id": request.attributes.get("id", "")}
        self.writer.write(xmpp.stanza("iq", attributes, receipt))


class StandInDiscovery(StandIn):
    """Serves a list of transcribers, and lets watches wait for a change of it."""

    def __init__(self, endpoints: list[StandInEndpoint]) -> None:
        super().__init__()
        self.endpoints = endpoints
        self.index = 1
        self.statuses: dict[str, str] = {}
        self._responsive = asyncio.Event()
        self._responsive.set()
        self.call_count = 0
        self._changed = asyncio.Event()

    def set_responsive(self, responsive: bool) -> None:
        """While it is not responsive, calls are accepted and not answered."""
        if responsive:
            self._responsive.set()
        else:
            self._responsive.clear()

    def set_status(self, name: str, status: str) -> None:
        """Changes a transcriber's status, and answers the watches."""
        self.index += 1
        self.statuses[name] = status
        self._changed.set()
        self._changed = asyncio.Event()

    def endpoint_list(self) -> dict[str, Any]:
        """The full list, in discovery's form."""
        entries = [
            {
                "name": endpoint.name,
                "address": f"{HOST}:{endpoint.port}",
                "zone": "amman",
                "type": "large",
                "group": 0,
                "status": self.statuses.get(endpoint.name, "up"),
                "weight": 1.0,
                "since_ms": 0,
            }
            for endpoint in self.endpoints
        ]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                self.call_count += 1
                body = orjson.dumps(await self._answer(query))
                await self._responsive.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        """The list; for a watch, once it has changed, or an empty answer once the wait is over."""
        if "after" not in query or int(query["after"][0]) < self.index:
            return self.endpoint_list()
        wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), wait_s)
        if int(query["after"][0]) >= self.index:
            return {"index": self.index, "snapshot": False, "endpoints": []}
        return self.endpoint_list()
