"""Hot restart: one process of a node takes over from another while both run.

Each process has a receiver, which takes over from its predecessor, and a sender, which hands over to its
successor. They connect through a Unix socket in a folder that they share.
"""

from __future__ import annotations

import socket
from pathlib import Path
from urllib.parse import quote

from puffinpost.net.listener import Listener
from puffinpost.runtime.handover_receiver import HandoverReceiver
from puffinpost.runtime.handover_sender import HandoverSender


def handover_socket_path(folder: str, node_name: str) -> Path | None:
    """The socket on which processes of a node connect; None without a folder, which turns hot restart off."""
    return Path(folder) / f"puffinpost-{quote(node_name, safe='')}.sock" if folder else None


class HotRestart:
    """Both sides of the handover, on the same socket path."""

    def __init__(self, path: Path | None, receiver: HandoverReceiver, sender: HandoverSender) -> None:
        self.path = path
        self.receiver = receiver
        self.sender = sender

    def connect_to_predecessor(self) -> bool:
        """Connects to a process of this node that is running; returns whether there is one."""
        return self.path is not None and self.receiver.connect(self.path)

    async def take_over(self) -> None:
        """Takes over from the predecessor. Called once this process can serve."""
        await self.receiver.take_over()

    def listening_socket(self, address: tuple[str, int]) -> socket.socket:
        """A socket that listens on an address: the predecessor's, otherwise a new one."""
        return self.receiver.listening_socket(address)

    def wait_for_successor(self, listeners: list[Listener]) -> None:
        """Lets a process that is started later take over from this one."""
        self.receiver.start_serving()
        if self.path is not None:
            self.sender.listen(self.path, listeners)
