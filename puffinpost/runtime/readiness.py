"""Whether a node is ready to serve, and the wait for its endpoint list at the start."""

from __future__ import annotations

import asyncio
import time

from puffinpost.discovery.watch import CallFailure
from puffinpost.frontends.platform import PlatformFrontend
from puffinpost.net.discovery_client import DiscoveryClient
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.runtime.handover_sender import HandoverSender

POLL_INTERVAL_S = 0.01


class Readiness:
    """Answers the admin server's readiness check. ``is_listening`` is set once the node accepts clients."""

    def __init__(
        self,
        coordinator: Coordinator,
        discovery_client: DiscoveryClient,
        platform: PlatformFrontend,
        handover: HandoverSender,
        stop_requested: asyncio.Event,
    ) -> None:
        self.coordinator = coordinator
        self.discovery_client = discovery_client
        self.platform = platform
        self.handover = handover
        self.stop_requested = stop_requested
        self.is_listening = False

    def not_ready_reason(self) -> str:
        """Why the node is not ready, for operators; empty if it is."""
        if self.platform.draining or self.handover.has_successor:
            return "leaving"
        if not self.is_listening:
            return "not listening yet"
        return "" if self.coordinator.endpoints.is_current else "discovery has not told its list yet"

    async def wait_for_endpoint_list(self, timeout_s: float) -> None:
        """Waits until the list is current, discovery cannot be reached, a stop is requested, or it times out.

        Without the wait, requests could go to endpoints that began to drain before this process started, or
        while its predecessor could not reach discovery. Such a change counts as known 6 s after it was made,
        and the list that a process is started with does not have it.
        """
        deadline = time.monotonic() + timeout_s
        while self._should_wait() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _should_wait(self) -> bool:
        if self.coordinator.endpoints.is_current or self.stop_requested.is_set():
            return False
        return self.discovery_client.last_failure is not CallFailure.UNREACHABLE
