"""Health checks: sends ``STATS`` to an endpoint, on a connection that is cached for the next check.

The balancer decides which endpoint is checked when; this module sends the check and reports its result.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from puffinpost.balancing.events import AttemptResult
from puffinpost.balancing.settings import EndpointId
from puffinpost.net.connection import Connection
from puffinpost.net.dialing import dial
from puffinpost.observability import log
from puffinpost.protocol import lines

# Added to the timeout of a check, since the event loop may handle a socket this late.
TIMEOUT_SLACK_S = 0.05
# Limits the node's own descriptors (`config.node.RESERVED_SOCKETS`), since a fleet may have more endpoints.
# The least recently used connection is evicted.
MAX_CACHED_CONNECTIONS = 16
OnChecked = Callable[[EndpointId, AttemptResult, int, tuple[float, ...]], None]
Address = tuple[str, int]


class HealthChecker:
    """Caches a connection for each recently checked endpoint. The balancer starts one check at a time.

    ``load_report_fields`` and ``timeout_ns`` are called for each check, since settings may change;
    ``on_checked`` receives the endpoint, the result, the duration in ns and the load report.
    """

    def __init__(
        self,
        load_report_fields: Callable[[], tuple[str, ...]],
        timeout_ns: Callable[[], int],
        on_checked: OnChecked,
    ) -> None:
        self.load_report_fields = load_report_fields
        self.timeout_ns = timeout_ns
        self.on_checked = on_checked
        self._is_included: Callable[[EndpointId], bool] = lambda _endpoint: True
        self._cached: dict[EndpointId, tuple[Address, Connection]] = {}  # unused, the most recently used last
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, endpoint: EndpointId, address: Address) -> None:
        """Starts a check of an endpoint; ``on_checked`` is called once."""
        task = asyncio.get_running_loop().create_task(self._run(endpoint, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_excluded(self, is_included: Callable[[EndpointId], bool]) -> None:
        """Closes cached connections to endpoints that ``is_included`` excludes, and caches none to them."""
        self._is_included = is_included
        for endpoint in [endpoint for endpoint in self._cached if not is_included(endpoint)]:
            self._cached.pop(endpoint)[1].close()

    async def _run(self, endpoint: EndpointId, address: Address) -> None:
        started_ns = time.monotonic_ns()
        result = AttemptResult.ERROR
        report: tuple[float, ...] = ()
        try:
            timeout_s = self.timeout_ns() / 1e9 + TIMEOUT_SLACK_S
            result, report = await asyncio.wait_for(self._check_once(endpoint, address, timeout_s), timeout_s)
        except TimeoutError:
            result = AttemptResult.TIMEOUT
        except (StreamClosedError, OSError, lines.LineError):
            result = AttemptResult.RESET
        except Exception:  # noqa: BLE001 (boundary: a defect in a check is reported as its result)
            log.exception("health check raised an exception")
        finally:
            self.on_checked(endpoint, result, time.monotonic_ns() - started_ns, report)

    async def _check_once(
        self, endpoint: EndpointId, address: Address, timeout_s: float
    ) -> tuple[AttemptResult, tuple[float, ...]]:
        cached_address, connection = self._cached.pop(endpoint, (None, None))
        if connection is not None and cached_address == address and not connection.stream.closed():
            try:
                return await self._exchange(endpoint, address, connection)
            except (StreamClosedError, OSError):
                pass  # the endpoint may just have closed an idle connection, which is not a failure
        elif connection is not None:
            connection.close()
        connection = await dial(address, timeout_s)
        if connection is None:
            return AttemptResult.CONNECT_FAILED, ()
        # Without a callback the stream does not notice that the endpoint closes an idle connection.
        connection.stream.set_close_callback(lambda: None)
        if not self._is_included(endpoint):
            connection.close()  # the endpoint was excluded while this connected, such as for a drain
            return AttemptResult.SUPERSEDED, ()
        return await self._exchange(endpoint, address, connection)

    async def _exchange(
        self, endpoint: EndpointId, address: Address, connection: Connection
    ) -> tuple[AttemptResult, tuple[float, ...]]:
        """Sends a check on a connection, and caches the connection after a good answer."""
        try:
            connection.write(lines.STATS)
            line = await connection.stream.read_until(b"\n", max_bytes=lines.MAX_LINE_BYTES)
            kind = lines.line_kind(line)
            if kind is lines.LineKind.PONG:
                self._cache(endpoint, address, connection)
                return AttemptResult.SERVED, lines.parse_load_report(line, self.load_report_fields())
            return (AttemptResult.REJECTED if kind is lines.LineKind.BUSY else AttemptResult.ERROR), ()
        finally:
            if self._cached.get(endpoint, (None, None))[1] is not connection:
                # A late answer would be taken for the answer to the next check.
                connection.close()

    def _cache(self, endpoint: EndpointId, address: Address, connection: Connection) -> None:
        if not self._is_included(endpoint):
            return
        while len(self._cached) >= MAX_CACHED_CONNECTIONS:
            self._cached.pop(next(iter(self._cached)))[1].close()
        self._cached[endpoint] = address, connection
