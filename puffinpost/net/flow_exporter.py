"""Exports flow records to an IPFIX collector over TCP.

The coordinator reports completed exchanges. A slow or absent collector causes records to be dropped,
but never delays a client.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque

from tornado.iostream import StreamClosedError

from puffinpost.balancing.events import AttemptResult
from puffinpost.config import FlowExportConfig
from puffinpost.net.connection import Connection
from puffinpost.net.dialing import dial
from puffinpost.observability import log
from puffinpost.protocol import ipfix
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import ExchangeCompleted

MAX_QUEUED_RECORDS = 4096
MAX_RECORDS_PER_MESSAGE = 128
CONNECT_TIMEOUT_S = 2.0
RECONNECT_INTERVAL_S = 1.0
SEND_TIMEOUT_S = 5.0  # per message; a slower collector counts as disconnected
FINAL_FLUSH_TIMEOUT_S = 0.2

_FLOW_END_REASONS = {
    AttemptResult.SERVED: ipfix.END_DETECTED,
    AttemptResult.TIMEOUT: ipfix.IDLE_TIMEOUT,
    AttemptResult.RESET: ipfix.END_DETECTED,
    AttemptResult.CANCELLED: ipfix.FORCED_END,
}


class FlowExporter:
    """Queues a limited number of records, and sends them in order."""

    def __init__(self, config: FlowExportConfig, coordinator: Coordinator) -> None:
        self.config = config
        self.coordinator = coordinator
        self.counters = coordinator.counters
        self._queue: deque[ipfix.FlowRecord] = deque()
        self._has_records = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def on_exchange_completed(self, completed: ExchangeCompleted) -> None:
        """Queues a record for an exchange that was established."""
        exchange = completed.exchange
        if not exchange.established_ns:
            return
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            self.counters.add("flows_dropped")
            return
        self._queue.append(
            ipfix.FlowRecord(
                exchange.received_ns // 1_000_000,
                completed.completed_ns // 1_000_000,
                exchange.request.client_address,
                exchange.endpoint_address,
                exchange.bytes_from_client,
                exchange.bytes_from_endpoint,
                _FLOW_END_REASONS.get(completed.result or AttemptResult.RESET, ipfix.END_DETECTED),
                self.coordinator.class_names[exchange.request.request_class],
            )
        )
        self._has_records.set()

    async def close(self) -> None:
        """Sends queued records within ``FINAL_FLUSH_TIMEOUT_S``, then stops."""
        deadline = time.monotonic() + FINAL_FLUSH_TIMEOUT_S
        while self._queue and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        self._task.cancel()
        self.counters.add("flows_dropped", len(self._queue))

    async def _run(self) -> None:
        while True:
            await self._has_records.wait()
            connection = await dial(self.config.collector, CONNECT_TIMEOUT_S)
            if connection is not None:
                try:
                    await self._export(connection)
                except (StreamClosedError, TimeoutError) as error:
                    log.info("flow collector disconnected", reason=type(error).__name__)
                except Exception:  # noqa: BLE001 (boundary: a defect must not end the export)
                    log.exception("flow export failed")
                finally:
                    connection.close(reset=True)
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _export(self, connection: Connection) -> None:
        # A collector sends nothing; the stream's close callback reports its disconnect.
        disconnected = asyncio.Event()
        connection.stream.set_close_callback(disconnected.set)
        encoder = ipfix.Encoder(self.config.domain)
        await self._send(connection, encoder.encode_templates(int(time.time())))
        while not disconnected.is_set():
            batch = [self._queue.popleft() for _ in range(min(MAX_RECORDS_PER_MESSAGE, len(self._queue)))]
            if batch:
                try:
                    await self._send(connection, encoder.encode_flows(int(time.time()), batch))
                except BaseException:
                    # It is unknown which records arrived, and the collector must count none twice.
                    self.counters.add("flows_dropped", len(batch))
                    raise
                self.counters.add("flows_sent", len(batch))
            else:
                self._has_records.clear()
                waiters = [
                    asyncio.ensure_future(self._has_records.wait()),
                    asyncio.ensure_future(disconnected.wait()),
                ]
                await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
                for waiter in waiters:
                    waiter.cancel()

    async def _send(self, connection: Connection, data: bytes) -> None:
        connection.write(data)
        await asyncio.wait_for(connection.flushed(), SEND_TIMEOUT_S)
