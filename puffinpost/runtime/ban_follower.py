"""Polls the ban file, which another process of the node may have changed."""

from __future__ import annotations

import asyncio

from puffinpost.runtime.node_services import NodeServices

POLL_INTERVAL_S = 0.05


class BanFollower:
    """Applies the bans of the file whenever they change."""

    def __init__(self, node: NodeServices) -> None:
        self.node = node

    def start(self) -> None:
        """Starts polling the file; this goes on until the process ends."""
        self._poll()

    def _poll(self) -> None:
        asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        if self.node.ban_file.reload():
            self.node.apply_bans(self.node.ban_file.banned_since_ns)
