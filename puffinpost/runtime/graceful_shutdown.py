"""Graceful shutdown: answers requests that still arrive, migrates established sessions, and ends in time.

The node runs it once, after SIGTERM. It ends before the platform sends SIGKILL, whatever clients do.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from puffinpost.frontends.platform import PlatformFrontend
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.listener import Listener
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Exchange

# After SIGTERM the platform still routes clients to this process for up to 0.4 s. It sends SIGKILL no sooner
# than the longest deadline (at most 3 s) plus 0.7 s.
ACCEPT_S = 0.5
MAX_DEADLINE_S = 3.0
FINAL_ANSWERS_S = 0.38  # to answer the last requests; the rest of the time until SIGKILL is for the exit
# Migration ends this long before the shutdown does: sessions may be established late, and clients have to
# read MOVE.
MIGRATION_MARGIN_S = 0.4
# The wait after the final answers: an exit while bytes are unread resets the connection, and the client
# loses its answer.
FINAL_READ_TIMEOUT_S = 0.04
# Migration is spread over this time, because migrated sessions are established again at endpoints that have
# other work. It does not begin as early as possible: in a rolling restart, a client that is migrated later
# finds the node that restarted before this one up again.
MIGRATION_SPREAD_S = 1.6
POLL_INTERVAL_S = 0.02
NS_PER_S = 1e9


class ResumableFrontend(Protocol):
    """A frontend whose sessions outlive their connections."""

    draining: bool

    def close_connections(self) -> None:
        """Closes the remaining connections."""


class HandoverProgress(Protocol):
    """The progress of a handover to a successor."""

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts clients in place of this one and receives established sessions."""

    @property
    def has_pending_sessions(self) -> bool:
        """Whether resumable sessions remain to be handed over."""


@dataclass(frozen=True, slots=True)
class Schedule:
    """When the steps of a shutdown take place, in seconds of the event loop's clock."""

    stop_accepting: float
    begin_migration: float
    end_migration: float
    end: float

    @classmethod
    def starting_at(cls, now: float, max_deadline_s: float) -> Schedule:
        """The schedule of a shutdown that begins now, given the longest deadline of any request class."""
        stop_accepting = now + ACCEPT_S
        end = now + min(max_deadline_s, MAX_DEADLINE_S) + FINAL_ANSWERS_S
        begin = max(stop_accepting, end - MIGRATION_MARGIN_S - MIGRATION_SPREAD_S)
        span = max(POLL_INTERVAL_S, end - MIGRATION_MARGIN_S - begin)
        return cls(stop_accepting, begin, begin + span, end)


class GracefulShutdown:
    """Shuts a node down."""

    def __init__(
        self,
        coordinator: Coordinator,
        platform: PlatformFrontend,
        resumable_frontends: Sequence[ResumableFrontend],
        admission: ConnectionAdmission,
        listeners: Sequence[Listener],
        handover: HandoverProgress,
    ) -> None:
        self.coordinator = coordinator
        self.platform = platform
        self.resumable_frontends = resumable_frontends
        self.admission = admission
        self.listeners = listeners
        self.handover = handover
        self._now: Callable[[], float] = asyncio.get_running_loop().time

    async def run(self) -> None:
        """Shuts the node down; returns once the process may exit."""
        max_deadline_ns = max(
            request_class.deadline_ns for request_class in self.coordinator.settings.classes
        )
        schedule = Schedule.starting_at(self._now(), max_deadline_ns / NS_PER_S)
        for frontend in self.resumable_frontends:
            frontend.draining = True
        self.platform.draining = True

        await self._wait_until(schedule.stop_accepting)
        for listener in self.listeners:
            listener.close()
        # Idle clients do not wait for an answer. If one of them sends a request at this moment, the close is
        # its answer.
        self.admission.close_idle(self.platform.pending_connection_type)
        await self._wait_until(schedule.begin_migration)
        await self._migrate_established(schedule)
        self._answer_remaining()
        await self._wait_for_reads(schedule.end + FINAL_READ_TIMEOUT_S)

    def _is_complete(self) -> bool:
        """Whether a successor has taken over everything, so that there is nothing left to wait for."""
        return (
            self.handover.has_successor
            and not self.handover.has_pending_sessions
            and not self._has_requests()
        )

    def _has_requests(self) -> bool:
        return bool(self.coordinator.exchanges) or self.admission.has_started_requests

    async def _wait_until(self, moment: float) -> None:
        while self._now() < moment and not self._is_complete():
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _migrate_established(self, schedule: Schedule) -> None:
        """Migrates sessions in random order and evenly spread, then those that are established late."""
        queue = self.coordinator.established_exchanges()
        random.shuffle(queue)
        span = schedule.end_migration - schedule.begin_migration
        migrated = 0
        while self._now() < schedule.end and not self._is_complete():
            elapsed = self._now() - schedule.begin_migration
            due = len(queue) if elapsed >= span else int(len(queue) * elapsed / span)
            self._migrate(queue[migrated:due])
            migrated = max(migrated, due)
            if elapsed >= span:
                self._migrate(self.coordinator.established_exchanges())
                if not self._has_requests() and not self.handover.has_pending_sessions:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)

    def _migrate(self, exchanges: Sequence[Exchange]) -> None:
        for exchange in exchanges:
            self.coordinator.migrate(exchange)

    def _answer_remaining(self) -> None:
        for exchange in list(self.coordinator.exchanges.values()):
            self.coordinator.migrate(exchange)
            self.coordinator.answer_at_shutdown(exchange)
        self.admission.close_pending()
        for frontend in self.resumable_frontends:
            frontend.close_connections()

    async def _wait_for_reads(self, deadline: float) -> None:
        """Waits until clients have read their final answers: an exit before that resets their connections."""
        await asyncio.sleep(POLL_INTERVAL_S)
        while self.admission.closing and self._now() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
