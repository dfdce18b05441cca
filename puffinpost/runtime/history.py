"""A record of the versions that this node acted on and when, for the checker of the process cluster.

It is a file of JSON objects, one a line, that ``[cluster] history`` names; without it nothing is written.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import orjson

from puffinpost.observability import log


class History:
    """Appends events to the file, timed by the machine's monotonic clock."""

    def __init__(self, path: Path | None, node_name: str) -> None:
        self.node_name = node_name
        self._file = path.open("ab", buffering=0) if path is not None else None

    def note(self, kind: str, **fields: Any) -> None:
        """Appends one event; ``emulator.mesh.history_checker.Event`` has its form."""
        if self._file is None:
            return
        event = {"t": time.monotonic_ns(), "node": self.node_name, "kind": kind, **fields}
        try:
            self._file.write(orjson.dumps(event) + b"\n")
        except OSError as problem:  # guards the request in progress: it must not fail for a full disk
            log.info("cluster: history not written", high_volume=True, reason=problem)
