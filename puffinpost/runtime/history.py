"""Records which versions this node acted on and when, for the history checker of the emulator.

``[cluster] history`` names the file, which gets one JSON object per line; without it nothing is written.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import orjson

from puffinpost.observability import log


class History:
    """Appends events to the file, with times of the machine's monotonic clock."""

    def __init__(self, path: Path | None, node_name: str) -> None:
        self.node_name = node_name
        self._file = path.open("ab", buffering=0) if path is not None else None

    def record(self, kind: str, **fields: Any) -> None:
        """Appends one event; ``emulator.mesh.history_checker.Event`` describes its fields."""
        if self._file is None:
            return
        event = {"t": time.monotonic_ns(), "node": self.node_name, "kind": kind, **fields}
        try:
            self._file.write(orjson.dumps(event) + b"\n")
        except OSError as problem:  # a full disk must not fail the request in progress
            log.info("cluster: history not written", high_volume=True, reason=problem)
