"""Clients of a process cluster: short sessions in the platform's line protocol at every node.

Each request and its answer are recorded in the history, so that the checker can count answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter

from puffinpost.emulator.mesh.history import EventRecorder
from puffinpost.emulator.mesh.history_checker import EventKind
from puffinpost.emulator.mesh.node_process import NodeProcess
from puffinpost.emulator.platform_settings import CLASS_NAME

ACCOUNT = "7f3a9c21e0b4d655"
WAIT_MS = 2000
ANSWER_TIMEOUT_S = 45.0  # a process may be stopped meanwhile
SESSION_S = 0.02
CLOSE_TIMEOUT_S = 5.0
FIRST_SESSION_ID = 0x5EED_0000_0000_0001


class LoadGenerator:
    """Sends ``per_s`` requests a second to each node, from its creation on."""

    def __init__(
        self, nodes: dict[str, NodeProcess], recorder: EventRecorder, per_s: float, seed: int
    ) -> None:
        self.nodes, self.recorder, self.interval_s = nodes, recorder, 1.0 / per_s
        self.rng = random.Random(seed)
        self.session_ids = itertools.count(FIRST_SESSION_ID)
        self.answers: Counter[tuple[int, str]] = Counter()  # by second and first word
        self.closed = False
        self._requests: set[asyncio.Task[None]] = set()
        self._tasks = [asyncio.ensure_future(self._generate(node)) for node in nodes.values()]

    def answers_by_word(self) -> dict[str, int]:
        """How many answers began with each word."""
        counts: dict[str, int] = {}
        for (_, word), count in self.answers.items():
            counts[word] = counts.get(word, 0) + count
        return counts

    async def close(self) -> None:
        """Sends no new requests, and waits for the answers of those that are open."""
        self.closed = True
        for task in self._tasks:
            task.cancel()
        if self._requests:
            await asyncio.wait(self._requests, timeout=CLOSE_TIMEOUT_S)
        for task in list(self._requests):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._requests, return_exceptions=True)

    async def _generate(self, node: NodeProcess) -> None:
        while not self.closed:
            await asyncio.sleep(self.interval_s * (0.5 + self.rng.random()))
            if node.child is not None and not self.closed:
                task = asyncio.ensure_future(self._request(node))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)

    async def _request(self, node: NodeProcess) -> None:
        """Sends one request; it is removed from the history where the node's process ends under it."""
        session_id, child = f"{next(self.session_ids):016x}", node.child
        try:
            reader, writer = await asyncio.open_connection(*node.frontend)
        except OSError:
            return
        event = self.recorder.record(node.name, EventKind.ASKED, session_id)
        try:
            await self._play_session(node.name, session_id, reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            process_ended = node.child is not child or child is None or child.poll() is not None
            if process_ended or self.closed:
                with contextlib.suppress(ValueError):
                    self.recorder.events.remove(event)
        finally:
            writer.close()

    async def _play_session(
        self, node: str, session_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(f"OPEN {session_id} {ACCOUNT} c={CLASS_NAME},d={WAIT_MS}\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
        if not line:
            raise ConnectionError("it ended without an answer")
        word = line.split()[0].decode()
        self.recorder.record(node, EventKind.ANSWERED, session_id)
        self.answers[int(time.monotonic()), word] += 1
        if word == "UP":
            await asyncio.sleep(SESSION_S)
            writer.write(b"good morning\r\n")
            await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
