"""A message in an outbox."""

from __future__ import annotations

from dataclasses import dataclass

ENTRY_OVERHEAD_BYTES = 150  # memory per message beside its data; tracemalloc shows 146 on CPython 3.11


@dataclass(slots=True)
class OutboxEntry:
    """A message for the client. ``kind`` and ``data`` belong to the frontend; ``number`` wraps at 2^32."""

    number: int
    kind: str
    data: bytes
    sends: int = 0  # on how many connections the message was written

    @property
    def size(self) -> int:
        """The memory that the message takes, in bytes."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES
