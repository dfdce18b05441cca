"""Buffers a client's lines until its session is established. Sessions of line protocols own one each."""

from __future__ import annotations


class LineBuffer:
    """Complete lines in the order in which they arrived."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.line_count = 0

    def __len__(self) -> int:
        """The size of the buffered lines in bytes."""
        return len(self._data)

    def append(self, line: bytes) -> None:
        """Adds a complete line, including its line ending."""
        self._data += line
        self.line_count += 1

    def clear(self) -> None:
        """Discards all lines."""
        self._data = bytearray()
        self.line_count = 0

    @property
    def data(self) -> bytes:
        """All lines, in the form in which they are sent upstream."""
        return bytes(self._data)
