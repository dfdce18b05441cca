"""Ends resumable sessions whose grace period has passed without a connection.

One timer serves all sessions of a node; the registry decides which have expired.
"""

from __future__ import annotations

from puffinpost.proxy.ports import Clock
from puffinpost.resumption.registry import SessionRegistry
from puffinpost.units import MS

# Sessions expire in batches at this interval: a thousand connections lost at once cause few wake-ups.
SWEEP_INTERVAL_NS = 100 * MS


class SessionExpiry:
    """Ends expired sessions and notifies their owners."""

    def __init__(self, registry: SessionRegistry, clock: Clock) -> None:
        self.registry = registry
        self.clock = clock

    def start(self) -> None:
        """Starts sweeping at an interval; this goes on until the process ends."""
        self._sweep()

    def _sweep(self) -> None:
        self.clock.call_later(SWEEP_INTERVAL_NS, self._sweep)
        now_ns = self.clock.now()
        next_due_ns = self.registry.next_expiry_check_ns()
        if next_due_ns is None or next_due_ns > now_ns:
            return
        for session in self.registry.expire(now_ns):
            if session.owner is not None:
                session.owner.on_session_expired()
