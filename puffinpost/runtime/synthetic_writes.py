"""Synthetic writes to replicated state, for fault tests and benchmarks that need a steady rate of rows.

It runs only if a test has set a folder for overrides; production nodes do not start it.
"""

from __future__ import annotations

import asyncio

from puffinpost.cluster.replication_driver import ReplicationDriver
from puffinpost.replication.row_values import AttemptCounts

ROW_KIND = "@load"
INTERVAL_S = 0.02
NS_PER_S = 1_000_000_000
OVERRIDE = "writes"  # two numbers: writes per second, and the number of keys that they cycle through


class SyntheticWrites:
    """Writes at the rate that the override sets, also if the timer fires late."""

    def __init__(self, replication: ReplicationDriver) -> None:
        self.replication = replication
        self.written = 0
        self.due = 0.0
        self.updated_at_ns = 0

    def start(self) -> None:
        """Starts the timer; the first writes follow after one interval."""
        self.updated_at_ns = self.replication.now_ns()
        self._run()

    def _run(self) -> None:
        now_ns = self.replication.now_ns()
        override = self.replication.test_override(OVERRIDE)
        rate, key_count = override if len(override) == 2 else (0.0, 1.0)
        self.due += (now_ns - self.updated_at_ns) / NS_PER_S * rate
        self.updated_at_ns = now_ns
        while self.due >= 1.0:
            self.due -= 1.0
            self.written += 1
            key = f"{self.written % int(key_count):06}"
            self.replication.write(ROW_KIND, key, AttemptCounts(1, self.written))
        asyncio.get_running_loop().call_later(INTERVAL_S, self._run)
