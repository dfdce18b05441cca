"""Writes changes of replicated state to disk, in batches and off the event loop.

`ReplicationDriver` submits changes as they accumulate; a failed write is retried until it succeeds or the
node ends. This module does not read the store.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from puffinpost.cluster.replication_store import ReplicaStore
from puffinpost.observability import log
from puffinpost.replication.messages import ReplicaPosition
from puffinpost.replication.pending_changes import PendingChanges
from puffinpost.replication.rows import Origin

BATCH_DELAY_S = 0.05  # changes within this time are written in one transaction
RETRY_DELAY_S = 0.5  # after a write that failed
STOP_TIMEOUT_S = 1.0  # for a write in progress when the node ends


class ReplicaWriter:
    """Owns the store, a thread that writes to it, and the task that passes batches to the thread.

    ``stored_positions`` returns the replicas' positions that are to be stored with a batch.
    """

    def __init__(
        self,
        store: ReplicaStore,
        stored_positions: Callable[[], dict[Origin, ReplicaPosition]],
        count: Callable[[str], None],
    ) -> None:
        self.store = store
        self.stored_positions = stored_positions
        self.count = count
        self.executor = ThreadPoolExecutor(1, "replica-store")
        self.pending = PendingChanges()
        self.task: asyncio.Task[None] | None = None

    def enqueue(self, changes: PendingChanges) -> None:
        """Adds changes to the next batch."""
        self.pending.extend(changes)
        if self.task is None:
            self.task = asyncio.ensure_future(self._write_batches())

    async def close(self) -> None:
        """Closes the store, after a limited wait for the current write, because a full disk may block it."""
        task = self.task  # the attribute may change during the wait
        if task is not None:
            await asyncio.wait({task}, timeout=STOP_TIMEOUT_S)
            task.cancel()
        self.executor.shutdown()
        self.store.close()

    async def _write_batches(self) -> None:
        while self.pending:
            await asyncio.sleep(BATCH_DELAY_S)
            await self._write_batch()
        self.task = None

    async def _write_batch(self) -> None:
        """Writes the pending changes and those that arrive between retries, so that positions match rows."""
        loop = asyncio.get_running_loop()
        batch = PendingChanges()
        while True:
            batch.extend(self.pending)
            batch = batch.compacted()
            self.pending = PendingChanges()
            positions = self.stored_positions()
            try:
                await loop.run_in_executor(self.executor, self.store.write, batch, positions)
            except sqlite3.Error as problem:
                self.count("replica_write_failed")
                log.info("replica write failed", reason=str(problem), high_volume=True)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return
