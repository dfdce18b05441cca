"""Watches discovery: one long poll after another, on one connection, at the address in force.

The runtime starts it when the balancer polls the endpoint list, and redirects it when the configuration names
another discovery. `WatchState` decides each call; endpoint lists and failures go to the coordinator.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from puffinpost.discovery import endpoint_list
from puffinpost.discovery.watch import RESPONSE_BODY_TIMEOUT_NS, CallFailure, WatchState
from puffinpost.net.connection import Connection
from puffinpost.net.dialing import dial
from puffinpost.observability import log
from puffinpost.protocol import http
from puffinpost.units import MS

STATUS_OK = 200
STATUS_OVERLOADED = 503  # the call waited too long in discovery's queue
MAX_LATE_CALLS = 3  # calls that timed out and are kept open
CONNECT_TIMEOUT_S = 1.0  # part of the 6 s within which a change has to be known, once discovery is back
MAX_READ_SIZE = 64 * 1024
NS_PER_S = 1e9


class DiscoveryClient:
    """The watch of one node: runs from ``start`` until a call fails and a backoff is due.

    Then it reports the failure, and the balancer has it started again when the next poll is due.
    """

    def __init__(
        self,
        address: tuple[str, int],
        watch_state: WatchState,
        index: Callable[[], int],
        on_list: Callable[[dict[str, Any]], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.address = address
        self.watch_state = watch_state
        self.index = index
        self.on_list = on_list
        self.on_failure = on_failure
        self.trace: Callable[[str], None] | None = None  # takes a line for each call
        self.last_end: CallFailure | None = None  # of the last watch
        self._task: asyncio.Task[None] | None = None
        # Another address and what to call when it is taken, until the time of the redirect has come.
        self._redirect_timer: asyncio.TimerHandle | None = None
        self._redirect_target: tuple[tuple[str, int], Callable[[], None]] | None = None
        # Calls that timed out stay open until another one is answered: discovery may take this node for
        # watching still. What it writes on them counts as known to the node, so they are read.
        self._late_calls: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the watch, unless it runs already."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stops the watch, without reporting a failure."""
        self._cancel_redirect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._drop_late_calls(0)

    @property
    def running(self) -> bool:
        """Whether the watch runs."""
        return self._task is not None

    def redirect(
        self, address: tuple[str, int], after_ns: int = 0, on_redirected: Callable[[], None] = lambda: None
    ) -> None:
        """Watches at another address ``after_ns`` from now, or as soon as the watch at the old one ends.

        ``on_redirected`` is called then. The pending call is dropped: the new discovery has its changes too.
        """
        if self._redirect_target is not None and self._redirect_target[0] == address:
            return
        self._cancel_redirect()
        if address == self.address:
            self.start()
            return
        self._redirect_target = address, on_redirected
        if after_ns and self._task is not None:
            self._redirect_timer = asyncio.get_running_loop().call_later(
                after_ns / NS_PER_S, self._redirect_now
            )
        else:
            self._redirect_now()

    def _cancel_redirect(self) -> None:
        """Forgets the redirect that is to come."""
        if self._redirect_timer is not None:
            self._redirect_timer.cancel()
        self._redirect_timer = self._redirect_target = None

    def _take_redirect(self) -> bool:
        """Takes the address of the redirect that is to come. Returns False if there is none."""
        if self._redirect_target is None:
            return False
        self.address, on_redirected = self._redirect_target
        self._cancel_redirect()
        self._drop_late_calls(0)
        self.watch_state.on_redirect()
        on_redirected()
        return True

    def _redirect_now(self) -> None:
        self._take_redirect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.start()

    def _drop_late_calls(self, max_kept: int) -> None:
        while len(self._late_calls) > max_kept:
            self._late_calls.pop(0).cancel()

    async def _run(self) -> None:
        self.last_end = await self._watch()
        # The old discovery accepts no new connection once a redirect is configured.
        while self._take_redirect() or self.watch_state.on_call_failed(self.last_end):
            self.last_end = await self._watch()
        self._task = None
        self.on_failure()

    async def _watch(self) -> CallFailure:
        """Calls until one ends without an answer; returns how."""
        connection: Connection | None = None
        try:
            while True:
                if connection is None or connection.stream.closed():
                    connection = await dial(self.address, CONNECT_TIMEOUT_S)
                if connection is None:
                    log.info("discovery unreachable", high_volume=True)
                    return CallFailure.UNREACHABLE
                began_ns = time.monotonic_ns()
                response = await self._call(connection)
                if response is None:
                    log.info("discovery call timed out", high_volume=True)
                    connection = None  # `_read_late` closes it
                    return CallFailure.TIMED_OUT
                if response.status != STATUS_OK:
                    return _end_of_status(response.status)
                pause_ns = self._on_response(response, began_ns)
                if not response.keep_alive:
                    connection.close()
                if pause_ns:
                    await asyncio.sleep(pause_ns / NS_PER_S)
        except TimeoutError:
            log.info("discovery response incomplete", high_volume=True)
            return CallFailure.TIMED_OUT
        except (StreamClosedError, OSError, ValueError) as problem:
            log.info("discovery call failed", reason=f"{type(problem).__name__} {problem}")
        except Exception:  # noqa: BLE001
            # A border: a defect must not end the watch for ever. The next call follows after a backoff.
            log.exception("discovery")
        finally:
            if connection is not None:
                connection.close()
        return CallFailure.FAILED

    def _on_response(self, response: http.Response, began_ns: int) -> int:
        """Passes the endpoint list on. Returns the pause before the next call, in ns."""
        answer = endpoint_list.parse(response.body)
        index_before, index = self.index(), answer.get("index")
        self.on_list(answer)
        self._drop_late_calls(0)
        now_ns = time.monotonic_ns()
        has_changes = bool(answer.get("endpoints"))
        is_outdated = isinstance(index, int) and index < index_before
        return self.watch_state.on_answer(has_changes, now_ns - began_ns, now_ns, is_outdated)

    async def _call(self, connection: Connection) -> http.Response | None:
        """Makes the next call. Returns None if it times out; its answer is then awaited in the background."""
        call = self.watch_state.next_call(self.index(), time.monotonic_ns())
        query = "" if call.after is None else f"?after={call.after}&wait_ms={call.wait_ms}"
        request = http.encode_get(f"/api/targets{query}", f"{self.address[0]}:{self.address[1]}")
        began_ns, outcome = time.monotonic_ns(), "none"
        loop = asyncio.get_running_loop()
        answer = loop.create_task(_exchange(connection.stream, request))
        try:
            done, _ = await asyncio.wait({answer}, timeout=call.timeout_ns / NS_PER_S)
            if not done:
                self._late_calls.append(loop.create_task(self._read_late(connection, answer)))
                self._drop_late_calls(MAX_LATE_CALLS)
                return None
            response = answer.result()
            outcome = f"{response.status} size={len(response.body)}"
        except BaseException as problem:
            answer.cancel()
            outcome = type(problem).__name__
            raise
        else:
            return response
        finally:
            self._trace_call(query, began_ns, outcome)

    def _trace_call(self, query: str, began_ns: int, outcome: str) -> None:
        if self.trace is not None:
            elapsed_ms = (time.monotonic_ns() - began_ns) // MS
            self.trace(
                f"trace ms={time.time_ns() // MS} call {query or 'whole'} took_ms={elapsed_ms} {outcome}"
            )

    async def _read_late(self, connection: Connection, answer: asyncio.Task[http.Response]) -> None:
        """Waits for the answer to a call that timed out."""
        try:
            response = await answer
            if response.status == STATUS_OK:
                self.on_list(endpoint_list.parse(response.body))
                # The balancer waits for the next answer now that a list has come, so the watch has to run.
                self.start()
        except (StreamClosedError, OSError, ValueError, TimeoutError):
            pass  # nobody waits for it any more
        except Exception:  # noqa: BLE001
            # A border: the task has no caller that could handle a defect.
            log.exception("discovery")
        finally:
            answer.cancel()
            connection.close()


def _end_of_status(status: int) -> CallFailure:
    log.info("discovery call failed", status=status)
    return CallFailure.OVERLOADED if status == STATUS_OVERLOADED else CallFailure.FAILED


async def _exchange(stream: IOStream, request: bytes) -> http.Response:
    """Writes a request and reads the response. Raises ``TimeoutError`` if it starts but does not end."""
    await stream.write(request)
    first = await _read_some(stream)
    return await asyncio.wait_for(_read_response(stream, first), RESPONSE_BODY_TIMEOUT_NS / NS_PER_S)


async def _read_some(stream: IOStream) -> bytes:
    return await stream.read_bytes(MAX_READ_SIZE, partial=True)


async def _read_response(stream: IOStream, data: bytes) -> http.Response:
    """Reads the response that begins with ``data``. Raises ``HttpError`` if it is invalid or incomplete."""
    parser = http.ResponseParser()
    while (response := parser.feed(data)) is None:
        try:
            data = await _read_some(stream)
        except StreamClosedError:
            return parser.end()
    return response
