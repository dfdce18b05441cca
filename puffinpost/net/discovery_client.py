"""Watches discovery: makes one long poll after another, on one connection, to the configured address.

The runtime starts the watch when the balancer polls the endpoint list, and redirects it when the
configuration names another discovery. `WatchState` decides each call; endpoint lists and failures go to the
coordinator.
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
MAX_LATE_CALLS = 3  # calls that timed out and stay open
CONNECT_TIMEOUT_S = 1.0  # part of the 6 s after which a change counts as known, once discovery is reachable
MAX_READ_SIZE = 64 * 1024
NS_PER_S = 1e9


class DiscoveryClient:
    """The watch of one node. It runs from ``start`` until a call fails and a backoff is due.

    Then it reports the failure, and the balancer starts it again when the next poll is due.
    """

    def __init__(
        self,
        address: tuple[str, int],
        watch_state: WatchState,
        index: Callable[[], int],
        on_endpoint_list: Callable[[dict[str, Any]], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.address = address
        self.watch_state = watch_state
        self.index = index
        self.on_endpoint_list = on_endpoint_list
        self.on_failure = on_failure
        self.trace: Callable[[str], None] | None = None  # takes a line for each call
        self.last_failure: CallFailure | None = None  # why the last watch ended
        self._task: asyncio.Task[None] | None = None
        # A scheduled redirect: the new address, and the callback for when the client switches to it.
        self._redirect_timer: asyncio.TimerHandle | None = None
        self._redirect_target: tuple[tuple[str, int], Callable[[], None]] | None = None
        # Calls that timed out stay open until another one is answered: discovery may still consider them as
        # watches. What it writes on them counts as known to the node, so they are read.
        self._late_calls: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the watch if it is not running."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stops the watch, without reporting a failure."""
        self._cancel_redirect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._cancel_late_calls(0)

    @property
    def running(self) -> bool:
        """Whether the watch is running."""
        return self._task is not None

    def redirect(
        self, address: tuple[str, int], after_ns: int = 0, on_redirected: Callable[[], None] = lambda: None
    ) -> None:
        """Switches to another address ``after_ns`` from now, or as soon as the watch at the old one ends.

        ``on_redirected`` is called then. The pending call is dropped: the new discovery has the changes too.
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
        """Cancels the scheduled redirect."""
        if self._redirect_timer is not None:
            self._redirect_timer.cancel()
        self._redirect_timer = self._redirect_target = None

    def _apply_redirect(self) -> bool:
        """Switches to the address of the scheduled redirect. Returns False if there is none."""
        if self._redirect_target is None:
            return False
        self.address, on_redirected = self._redirect_target
        self._cancel_redirect()
        self._cancel_late_calls(0)
        self.watch_state.on_redirect()
        on_redirected()
        return True

    def _redirect_now(self) -> None:
        self._apply_redirect()
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self.start()

    def _cancel_late_calls(self, max_open: int) -> None:
        while len(self._late_calls) > max_open:
            self._late_calls.pop(0).cancel()

    async def _run(self) -> None:
        self.last_failure = await self._watch()
        # The old discovery accepts no new connection once a redirect is configured.
        while self._apply_redirect() or self.watch_state.on_call_failed(self.last_failure):
            self.last_failure = await self._watch()
        self._task = None
        self.on_failure()

    async def _watch(self) -> CallFailure:
        """Makes calls until one has no answer. Returns why it has none."""
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
                    return _failure_of_status(response.status)
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
            # Boundary: a defect must not end the watch for good. The next call follows after a backoff.
            log.exception("discovery watch failed")
        finally:
            if connection is not None:
                connection.close()
        return CallFailure.FAILED

    def _on_response(self, response: http.Response, began_ns: int) -> int:
        """Passes on the endpoint list. Returns the pause before the next call, in ns."""
        answer = endpoint_list.parse(response.body)
        index_before, index = self.index(), answer.get("index")
        self.on_endpoint_list(answer)
        self._cancel_late_calls(0)
        now_ns = time.monotonic_ns()
        has_changes = bool(answer.get("endpoints"))
        is_outdated = isinstance(index, int) and index < index_before
        return self.watch_state.on_answer(has_changes, now_ns - began_ns, now_ns, is_outdated)

    async def _call(self, connection: Connection) -> http.Response | None:
        """Makes the next call. Returns None if it times out; a task then waits for its answer."""
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
                self._cancel_late_calls(MAX_LATE_CALLS)
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
                self.on_endpoint_list(endpoint_list.parse(response.body))
                # After a list the balancer expects the watch to be running, and starts no other poll.
                self.start()
        except (StreamClosedError, OSError, ValueError, TimeoutError):
            pass  # nothing depends on this call any more
        except Exception:  # noqa: BLE001
            # Boundary: the task has no caller that could handle a defect.
            log.exception("late discovery answer failed")
        finally:
            answer.cancel()
            connection.close()


def _failure_of_status(status: int) -> CallFailure:
    log.info("discovery call failed", status=status)
    return CallFailure.OVERLOADED if status == STATUS_OVERLOADED else CallFailure.FAILED


async def _exchange(stream: IOStream, request: bytes) -> http.Response:
    """Writes a request and reads the response. Raises ``TimeoutError`` if it starts but does not end."""
    await stream.write(request)
    first = await _read_chunk(stream)
    return await asyncio.wait_for(_read_response(stream, first), RESPONSE_BODY_TIMEOUT_NS / NS_PER_S)


async def _read_chunk(stream: IOStream) -> bytes:
    return await stream.read_bytes(MAX_READ_SIZE, partial=True)


async def _read_response(stream: IOStream, data: bytes) -> http.Response:
    """Reads the response that begins with ``data``. Raises ``HttpError`` if it is invalid or incomplete."""
    parser = http.ResponseParser()
    while (response := parser.feed(data)) is None:
        try:
            data = await _read_chunk(stream)
        except StreamClosedError:
            return parser.end()
    return response
