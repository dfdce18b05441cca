"""The links between node processes: a proxy for each directed pair, whose bytes can be delayed, held or cut.

A node's connection to another goes through a proxy of its own and carries both directions; each obeys
the rules of its sender and its receiver, so that a one-way cut holds on both connections of a pair.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter, deque
from collections.abc import Iterable
from typing import NamedTuple

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

Address = tuple[str, int]
Direction = tuple[str, str]  # sender, receiver
READ_SIZE = 65536
SILENCE_POLL_S = 0.005


class LinkRules:
    """What happens to the bytes from one node to another, for all pairs of the network.

    ``silenced``: connections stay open and carry nothing. ``bytes_carried`` counts by sender.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.silenced: set[Direction] = set()
        self.delay_s: dict[Direction, float] = {}
        self.jitter_s: dict[Direction, float] = {}
        self.bytes_per_s: dict[Direction, float] = {}
        self.bytes_carried: Counter[str] = Counter()

    def transit_s(self, direction: Direction, size: int) -> float:
        """How long a piece of this size is on its way."""
        jitter_s = self.jitter_s.get(direction, 0.0) * self.rng.random()
        bytes_per_s = self.bytes_per_s.get(direction, 0.0)
        transmission_s = size / bytes_per_s if bytes_per_s else 0.0
        return self.delay_s.get(direction, 0.0) + jitter_s + transmission_s

    def heal(self) -> None:
        """Restores all links."""
        self.silenced.clear()
        self.delay_s.clear()
        self.jitter_s.clear()
        self.bytes_per_s.clear()


class _Carrier:
    """Carries the bytes of one direction of a connection, in order."""

    def __init__(self, rules: LinkRules, source: IOStream, target: IOStream, direction: Direction) -> None:
        self.rules, self.source, self.target, self.direction = rules, source, target, direction
        self._pieces: deque[tuple[float, bytes]] = deque()  # when each leaves
        self._changed = asyncio.Event()
        self._source_ended = False

    async def run(self) -> None:
        """Carries until either stream ends; nothing passes while the direction is silenced."""
        reading = asyncio.ensure_future(self._read())
        try:
            with contextlib.suppress(StreamClosedError):
                await self._write()
        finally:
            reading.cancel()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        leaves_at = 0.0
        with contextlib.suppress(StreamClosedError):
            while True:
                data = await self.source.read_bytes(READ_SIZE, partial=True)
                transit_s = self.rules.transit_s(self.direction, len(data))
                leaves_at = max(leaves_at, loop.time() + transit_s)
                self._pieces.append((leaves_at, data))
                self._changed.set()
        self._source_ended = True
        self._changed.set()

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while not self._pieces:
                if self._source_ended:
                    return
                self._changed.clear()
                await self._changed.wait()
            leaves_at, data = self._pieces[0]
            if leaves_at > loop.time():
                await asyncio.sleep(leaves_at - loop.time())
            await self._wait_until_audible()
            self._pieces.popleft()
            self.rules.bytes_carried[self.direction[0]] += len(data)
            await self.target.write(data)

    async def _wait_until_audible(self) -> None:
        while True:  # callers change the set itself, so it is polled
            if self.direction not in self.rules.silenced:
                return
            await asyncio.sleep(SILENCE_POLL_S)


class _Connection(NamedTuple):
    """Both streams of a connection through a proxy."""

    near: IOStream
    far: IOStream

    def close(self) -> None:
        self.near.close()
        self.far.close()


class _PairProxy(TCPServer):
    """Where one node finds another."""

    def __init__(self, network: ProxiedNetwork, near: str, far: str) -> None:
        super().__init__()
        self.network, self.near, self.far = network, near, far
        self.connections: set[_Connection] = set()
        self.port = 0

    async def handle_stream(self, stream: IOStream, address: Address) -> None:
        del address  # only one node knows the port
        try:
            far = await self.network.client.connect(*self.network.addresses[self.far])
        except (OSError, StreamClosedError):
            stream.close()
            return
        connection = _Connection(stream, far)
        self.connections.add(connection)
        for each in connection:
            each.set_nodelay(True)
        rules = self.network.rules
        carriers = [
            asyncio.ensure_future(_Carrier(rules, stream, far, (self.near, self.far)).run()),
            asyncio.ensure_future(_Carrier(rules, far, stream, (self.far, self.near)).run()),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(carriers, return_when=asyncio.FIRST_COMPLETED)
        for carrier in carriers:
            carrier.cancel()
        self.connections.discard(connection)
        connection.close()


class ProxiedNetwork:
    """All proxies. ``addresses``: where each node really listens."""

    def __init__(self, seed: int, addresses: dict[str, Address]) -> None:
        self.rules = LinkRules(seed)
        self.addresses = addresses
        self.client = TCPClient()
        self._proxies: dict[Direction, _PairProxy] = {}

    def address(self, near: str, far: str) -> Address:
        """The address at which ``near`` is to connect to ``far``."""
        host = self.addresses[near][0]
        proxy = self._proxies.get((near, far))
        if proxy is None:
            proxy = self._proxies[near, far] = _PairProxy(self, near, far)
            sockets = bind_sockets(0, host)
            proxy.add_sockets(sockets)
            proxy.port = sockets[0].getsockname()[1]
        return host, proxy.port

    # --- faults ---------------------------------------------------------------------------------------

    def cut(self, near: Iterable[str], far: Iterable[str], one_way: bool = False) -> None:
        """Silences the links from ``near`` to ``far``, and back unless ``one_way``; connections stay open."""
        receivers = list(far)
        for sender in near:
            for receiver in receivers:
                self.rules.silenced.add((sender, receiver))
                if not one_way:
                    self.rules.silenced.add((receiver, sender))

    def drop(self, near: str, far: str) -> None:
        """Closes the connections between two nodes; they may be made again."""
        for direction in ((near, far), (far, near)):
            proxy = self._proxies.get(direction)
            for connection in list(proxy.connections) if proxy is not None else ():
                connection.close()

    def slow(
        self, near: str, far: str, delay_s: float, jitter_s: float = 0.0, bytes_per_s: float = 0.0
    ) -> None:
        """Delays what ``near`` sends to ``far``, and limits its bandwidth; 0: no limit."""
        direction = near, far
        self.rules.delay_s[direction], self.rules.jitter_s[direction] = delay_s, jitter_s
        self.rules.bytes_per_s[direction] = bytes_per_s

    def close(self) -> None:
        """Ends all links."""
        for proxy in self._proxies.values():
            proxy.stop()
            for connection in list(proxy.connections):
                connection.close()
