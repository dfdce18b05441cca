"""Writes a member's output to disk off the event loop, in order, before its messages are sent.

`consensus_driver` submits each output. All queued outputs are written in one transaction, because the cost of
a commit is its sync. A failed write is retried, and none of its messages are sent until it succeeds.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from puffinpost.cluster.consensus_store import ConsensusStore, Transaction
from puffinpost.consensus.log import HardState
from puffinpost.consensus.messages import Entry
from puffinpost.consensus.output import Output
from puffinpost.consensus.raft import Raft
from puffinpost.observability import log

RETRY_DELAY_S = 0.2
STOP_TIMEOUT_S = 1.0  # limited, because a full disk may block the last write


class ConsensusWriter:
    """Owns the thread that writes to a store. Without a store, it only keeps outputs in order.

    ``on_written`` is called with each output once it is on disk.
    """

    def __init__(
        self,
        store: ConsensusStore | None,
        raft: Raft | None,
        on_written: Callable[[Output], None],
        count: Callable[[str], None],
    ) -> None:
        self.store, self.raft = store, raft
        self.on_written, self.count = on_written, count
        self.executor = ThreadPoolExecutor(1, "cluster-store") if store is not None else None
        self.queue: deque[Output] = deque()
        self.task: asyncio.Task[None] | None = None

    def submit(self, output: Output) -> None:
        """Queues an output, or passes it on at once if nothing is to be written and no write is running."""
        if self.task is None and not (output.ready.must_persist() or output.updated_documents):
            self.on_written(output)
            return
        self.queue.append(output)
        if self.task is None:
            self.task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Waits a limited time for the current write, then closes the store."""
        if self.task is not None:
            await asyncio.wait({self.task}, timeout=STOP_TIMEOUT_S)
            self.task.cancel()
        if self.executor is not None and self.store is not None:
            self.executor.shutdown()
            self.store.close()

    async def _run(self) -> None:
        while self.queue:
            batch = list(self.queue)
            self.queue.clear()
            if self.store is None or await self._write(self.store, batch):
                for output in batch:
                    self.on_written(output)
            else:
                self.queue.extendleft(reversed(batch))
                await asyncio.sleep(RETRY_DELAY_S)
        self.task = None

    async def _write(self, store: ConsensusStore, batch: list[Output]) -> bool:
        """Writes a batch and returns whether it is on disk."""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self.executor, store.write, self._transaction(batch))
        except sqlite3.Error as problem:
            self.count("cluster_write_failed")
            log.info("consensus write failed", reason=str(problem), high_volume=True)
            return False
        return True

    def _transaction(self, batch: list[Output]) -> Transaction:
        """Combines a batch into one transaction.

        Entries are taken from the current log, which has all entries of the batch; later entries in it are
        written ahead of their own output.
        """
        batch_ready = [output.ready for output in batch]
        hard_states = [ready.hard_state for ready in batch_ready if ready.hard_state is not None]
        hard_state = hard_states[-1] if hard_states else None
        indexes = [each.first_changed_index for each in batch_ready if each.first_changed_index is not None]
        has_snapshot = any(ready.snapshot is not None for ready in batch_ready)
        documents = {document.name: document for output in batch for document in output.updated_documents}
        if self.raft is None or not (indexes or has_snapshot):
            return Transaction(hard_state, documents=tuple(documents.values()))
        raft_log, state = self.raft.log, self.raft.persistent_state
        first_index = max(min(indexes, default=raft_log.last_index + 1), raft_log.snapshot.index + 1)
        entries: tuple[Entry, ...] = raft_log.entries_after(first_index - 1, raft_log.last_index)
        return Transaction(
            HardState(state.term, state.voted_for),
            raft_log.snapshot if has_snapshot else None,
            first_index,
            entries,
            tuple(documents.values()),
        )
