"""Limits the descriptors that clients' connections use, across all frontends.

A connection is pending until its first message. Then it belongs to a session, which needs a second descriptor
for its upstream connection. A connection that may stay open without a session is idle, and one whose client
has not read the final response yet is closing. Frontends report each change; this module closes no connection
that belongs to a session. It alone records which of these states a connection is in.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any, Protocol

from puffinpost.net.connection import Connection
from puffinpost.observability.counters import Counters

# A first line may take 2 s to write, and a client that cannot be served must be answered within 3 s.
FIRST_MESSAGE_TIMEOUT_S = 2.6
# A pending connection is not evicted this soon after its last input, as more may be in flight.
MIN_PENDING_AGE_S = 0.1
SWEEP_INTERVAL_S = 0.1
# This fraction of the descriptors is reserved for pending and closing connections.
RESERVED_DIVISOR = 8
# This fraction is available to idle connections, such as XMPP streams between sessions.
IDLE_DIVISOR = 4


class AdmittedConnection(Protocol):
    """A pending or idle connection of a frontend. Any object may identify a session."""

    def on_timeout(self) -> None:
        """Answers and closes the connection: its time limit has passed, or its descriptor is needed."""


class ConnectionAdmission:
    """Counts the descriptors that clients' connections use, and evicts the least needed above the limit."""

    def __init__(
        self,
        max_descriptors: int,
        counters: Counters,
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        self.max_descriptors = self.limit = max_descriptors
        self.session_limit = self.limit - max(4, self.limit // RESERVED_DIVISOR)
        self.counters = counters
        self.closing: dict[Connection, None] = {}
        self._pending_deadlines: dict[AdmittedConnection, float] = {}  # in order of arrival or last input
        self._last_progress: dict[AdmittedConnection, float] = {}
        self._started: set[AdmittedConnection] = set()  # pending connections that have sent something
        self._idle_deadlines: dict[AdmittedConnection, float] = {}  # the most recent last
        self._sessions: set[Any] = set()
        self._detached: set[Any] = set()  # sessions that have an upstream connection but no client
        self._call_later = call_later
        self._sweep()

    def can_accept(self) -> bool:
        """Whether another connection may be accepted. If not, it waits briefly in the kernel's queue."""
        return (
            self.descriptors_used < self.limit
            or bool(self.closing or self._idle_deadlines)
            or self._oldest_evictable(time.monotonic()) is not None
        )

    def admit_pending(
        self, connection: AdmittedConnection, timeout_s: float = FIRST_MESSAGE_TIMEOUT_S
    ) -> None:
        """Adds a client that has connected, or has started a message, with ``timeout_s`` to complete it."""
        self._release_waiting(connection)
        now = time.monotonic()
        self._pending_deadlines[connection], self._last_progress[connection] = now + timeout_s, now
        self._evict_excess(now)

    def on_progress(self, connection: AdmittedConnection) -> None:
        """Records that a client has sent something: connections without progress are evicted before it."""
        if connection in self._pending_deadlines:
            self._pending_deadlines[connection] = self._pending_deadlines.pop(connection)
            self._last_progress[connection] = time.monotonic()
            self._started.add(connection)

    def mark_idle(self, connection: AdmittedConnection, timeout_s: float = math.inf) -> None:
        """Records that a client awaits no response: its connection may stay open for ``timeout_s``."""
        self._release_waiting(connection)
        now = time.monotonic()
        self._idle_deadlines[connection] = now + timeout_s
        if len(self._idle_deadlines) > self.limit // IDLE_DIVISOR:
            self._time_out(next(iter(self._idle_deadlines)))
        self._evict_excess(now)

    def is_idle(self, connection: AdmittedConnection) -> bool:
        """Whether a connection may stay open without a session, and has started no message."""
        return connection in self._idle_deadlines

    def reserve_session(self, session: Any) -> bool:
        """Reserves descriptors for a session and its upstream connection. False if too few are left."""
        # Detached sessions count in full: their clients may reconnect at any moment.
        if 2 * (len(self._sessions) + len(self._detached) + 1) > self.session_limit:
            self.counters.add("no_room")
            return False
        self.release(session)
        self._sessions.add(session)
        self._evict_excess(time.monotonic())
        return True

    def mark_detached(self, session: Any) -> None:
        """Records that a session's client has disconnected; the upstream connection keeps its descriptor."""
        if session in self._sessions:
            self._sessions.discard(session)
            self._detached.add(session)

    def mark_reattached(self, session: Any) -> None:
        """Records that the client of a detached session has reconnected."""
        if session in self._detached:
            self._detached.discard(session)
            self._sessions.add(session)
            self._evict_excess(time.monotonic())

    def adopt_session(self, session: Any) -> None:
        """Adds a session that the predecessor of this process had reserved, without checking the limit."""
        self._sessions.add(session)
        self._evict_excess(time.monotonic())

    def set_predecessor_usage(self, descriptors: int) -> None:
        """Subtracts the descriptors that the predecessor of this process still uses from the limits.

        Pending and idle connections may be evicted to meet the new limits; sessions are not.
        """
        self.limit = max(0, self.max_descriptors - descriptors)
        self.session_limit = self.limit - max(4, self.limit // RESERVED_DIVISOR)
        self._evict_excess(time.monotonic())

    @property
    def has_started_requests(self) -> bool:
        """Whether any pending client has sent part of its first message."""
        return bool(self._started)

    @property
    def descriptors_used(self) -> int:
        """The number of descriptors that clients and the upstream connections of their sessions use."""
        without_session = len(self._pending_deadlines) + len(self._idle_deadlines) + len(self.closing)
        return without_session + 2 * len(self._sessions) + len(self._detached)

    def _release_waiting(self, connection: AdmittedConnection) -> None:
        """Removes a connection that is pending or idle, before it becomes the one or the other."""
        has_session = connection in self._sessions or connection in self._detached
        assert not has_session, "a connection with a session can be neither pending nor idle"
        self.release(connection)

    def release(self, connection: Any) -> None:
        """Removes a connection or session that has ended or changes its state."""
        self._pending_deadlines.pop(connection, None)
        self._last_progress.pop(connection, None)
        self._started.discard(connection)
        self._idle_deadlines.pop(connection, None)
        self._sessions.discard(connection)
        self._detached.discard(connection)

    def close_idle(self, kind: type) -> None:
        """Answers and closes all idle connections of one type, at the shutdown of the process."""
        for connection in [connection for connection in self._idle_deadlines if isinstance(connection, kind)]:
            self._time_out(connection)

    def close_pending(self) -> None:
        """Answers and closes all connections without a complete first message, at shutdown."""
        for connection in list(self._pending_deadlines):
            self._time_out(connection)

    def connection_closing(self, connection: Connection) -> None:
        """Records that a connection is being closed and waits for its client to read the answer."""
        self.closing[connection] = None
        self._evict_excess(time.monotonic())

    def connection_closed(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self.closing.pop(connection, None)

    def _evict_excess(self, now: float) -> None:
        """Evicts connections above the limit: closing ones first, then pending, then idle ones."""
        while self.descriptors_used > self.limit:
            if self.closing:
                connection = next(iter(self.closing))
                del self.closing[connection]
                self.counters.add("hurried")
                connection.stream.close()
                continue
            pending = self._oldest_evictable(now)
            if pending is not None:
                self._time_out(pending)
            elif self._idle_deadlines:
                self._time_out(next(iter(self._idle_deadlines)))
            else:
                return

    def _oldest_evictable(self, now: float) -> AdmittedConnection | None:
        first = next(iter(self._pending_deadlines), None)
        return first if first is not None and self._last_progress[first] + MIN_PENDING_AGE_S <= now else None

    def _time_out(self, connection: AdmittedConnection) -> None:
        self.release(connection)
        self.counters.add("late")
        connection.on_timeout()

    def _sweep(self) -> None:
        self._call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        for expired in [connection for connection, until in self._pending_deadlines.items() if until <= now]:
            self._time_out(expired)
        for expired in [connection for connection, until in self._idle_deadlines.items() if until <= now]:
            self._time_out(expired)
        self._evict_excess(now)
