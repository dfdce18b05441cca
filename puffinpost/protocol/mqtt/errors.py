"""The error that the MQTT parser and the delivery state raise if input violates the standard."""

from __future__ import annotations

from puffinpost.errors import PuffinpostError
from puffinpost.protocol.mqtt.codes import ReasonCode
from puffinpost.protocol.mqtt.packets import Packet


class MqttError(PuffinpostError, ValueError):
    """A protocol violation; the connection must be closed with ``reason``.

    ``packets_before`` holds the complete packets that the same call to ``PacketParser.feed`` parsed first.
    """

    def __init__(self, reason: ReasonCode, text: str) -> None:
        super().__init__(text)
        self.reason = reason
        self.packets_before: list[Packet] = []
