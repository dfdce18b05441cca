"""IOStreams with the same limits for all connections, and a callback for the end of the peer's input."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from puffinpost.observability import log

READ_CHUNK_BYTES = 8 * 1024
MAX_READ_BUFFER_BYTES = 64 * 1024


class EndNotifyingStream(IOStream):
    """An IOStream that reports the end of the peer's input before it closes, so a response can be sent."""

    on_end_of_stream: Callable[[], None] | None = None

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads from the socket as ``IOStream`` does; 0 means the end of the input."""
        try:
            size = super().read_from_fd(buf)
        finally:
            del buf  # the stream stores its exception, whose traceback refers to this frame
        if size == 0 and self.on_end_of_stream is not None:
            callback, self.on_end_of_stream = self.on_end_of_stream, None
            try:
                callback()
            except Exception:  # noqa: BLE001 (boundary: a defect in a frontend must not break the stream)
                log.exception("end-of-stream callback failed")
        return size


def create_stream(connected: socket.socket) -> EndNotifyingStream:
    """Returns a stream that reads no more at once than a connection passes on at once."""
    return EndNotifyingStream(
        connected, max_buffer_size=MAX_READ_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES
    )
