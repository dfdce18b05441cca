"""Follows the file of bans, which another process of the node may have changed."""

from __future__ import annotations

import asyncio

from puffinpost.runtime.node_services import NodeServices

POLL_INTERVAL_S = 0.05


class BanFollower:
    """Applies the file's bans whenever they have changed."""

    def __init__(self, node: NodeServices) -> None:
        self.node = node

    def start(self) -> None:
        """Begins to poll the file, until the process ends."""
        self._poll()

    def _poll(self) -> None:
        asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        if self.node.ban_file.reload():
            self.node.apply_bans(self.node.ban_file.banned_since_ns)
