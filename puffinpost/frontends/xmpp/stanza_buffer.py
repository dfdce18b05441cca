"""Buffers messages of a client until its session is established. Each session owns one buffer."""

from __future__ import annotations

OVERHEAD_BYTES = 64  # memory per stanza beside its bytes


class StanzaBuffer:
    """Stanzas in order of arrival."""

    def __init__(self) -> None:
        self._stanzas: list[bytes] = []
        self.size_bytes = 0  # including the overhead of each stanza

    def append(self, raw: bytes) -> None:
        """Adds a stanza in the form in which it is sent to the endpoint."""
        self._stanzas.append(raw)
        self.size_bytes += len(raw) + OVERHEAD_BYTES

    def clear(self) -> list[bytes]:
        """Empties the buffer and returns its stanzas."""
        stanzas, self._stanzas, self.size_bytes = self._stanzas, [], 0
        return stanzas
