"""An `MqttDevice` on a socket, for the demo and the measurements."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from puffinpost.emulator.mqtt_device import MqttDevice

READ_SIZE = 4096


class MqttClient:
    """A device that can connect again and again. ``timeout_s``: for each read."""

    def __init__(self, device: MqttDevice, timeout_s: float = 10.0) -> None:
        self.device, self.timeout_s = device, timeout_s
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, host: str, port: int, clean: bool = False, expiry_s: int = 60) -> None:
        """Connects, or reconnects, and waits for CONNACK."""
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.writer.write(self.device.connect(clean=clean, expiry_s=expiry_s))
        await self.wait_until(lambda: self.device.connack is not None)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Writes, reads and answers until this holds. Raises ``ConnectionError`` if the node closes."""
        assert self.reader is not None and self.writer is not None, "not connected"
        self.writer.write(self.device.take_output())
        while not condition():
            data = await asyncio.wait_for(self.reader.read(READ_SIZE), self.timeout_s)
            if not data:
                raise ConnectionError
            self.device.feed(data)
            self.writer.write(self.device.take_output())

    async def close(self) -> None:
        """Writes what is left to write, and closes the connection."""
        if self.writer is None:
            return
        self.writer.write(self.device.take_output())
        with contextlib.suppress(ConnectionError):
            await self.writer.drain()
        self.writer.close()
