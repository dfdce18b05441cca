"""The connection of an attempt to its endpoint on the platform's line protocol.

The platform and the MQTT frontends create an upstream for each attempt; the connector and the connection call
it. It never starts another attempt: it reports to the coordinator how its own ended.
"""

from __future__ import annotations

from typing import Protocol

from puffinpost.balancing.events import AttemptResult
from puffinpost.frontends.platform.handover import PlatformUpstreamState, restore_incomplete_line
from puffinpost.net.connection import Connection
from puffinpost.observability import log
from puffinpost.protocol import lines
from puffinpost.protocol.load_reports import LoadLineClassifier
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Attempt

# The result of an attempt, by the kind of the line with which the endpoint rejected it.
_REJECTION_RESULTS = {
    lines.LineKind.BUSY: AttemptResult.REJECTED,
    lines.LineKind.MOVE: AttemptResult.CANCELLED,
}
# The result of an established attempt, by the kind of the endpoint's final line.
_CLOSE_RESULTS = {
    lines.LineKind.BYE: AttemptResult.SERVED,
    lines.LineKind.MOVE: AttemptResult.CANCELLED,
}


class UpstreamListener(Protocol):
    """The interface of a frontend's session to the upstream of its current attempt."""

    coordinator: Coordinator

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted the session with this line."""

    def on_line(self, line: bytes, kind: lines.LineKind) -> None:
        """A complete line arrived on an established connection."""

    def on_upstream_closed(self, kind: lines.LineKind, reset: bool) -> None:
        """The endpoint has closed an established connection. ``kind`` is that of its final line."""


class PlatformUpstream:
    """The connection of one attempt to its endpoint."""

    def __init__(
        self, session: UpstreamListener, attempt: Attempt, opening: lines.OpenRequest | None
    ) -> None:
        self.session = session
        self.coordinator = session.coordinator
        self.attempt = attempt
        self.opening = opening
        self.connection: Connection | None = None
        self.splitter = lines.LineSplitter()
        self.load_lines = LoadLineClassifier()
        self.last_line_kind = lines.LineKind.OTHER
        self.final_report: tuple[float, ...] = ()  # the load report on the endpoint's final line

    @classmethod
    def restore(
        cls,
        session: UpstreamListener,
        attempt: Attempt,
        connection: Connection,
        state: PlatformUpstreamState,
    ) -> PlatformUpstream:
        """Creates the upstream of an attempt that the predecessor had established."""
        upstream = cls(session, attempt, None)
        upstream.connection, upstream.last_line_kind = connection, state.last_line_kind
        restore_incomplete_line(upstream.splitter, state.incomplete_line)
        return upstream

    def state(self) -> PlatformUpstreamState:
        """Returns what the successor needs to continue the upstream."""
        return PlatformUpstreamState(self.splitter.incomplete_line, self.last_line_kind)

    # UpstreamHandler: called by the connector.

    def on_connected(self) -> None:
        """Writes the OPEN line with the remaining time."""
        assert self.opening is not None  # a restored upstream is connected already
        self._write(self.opening.forwarded(self.coordinator.remaining_ms(self.attempt)))

    def on_flushed(self) -> None:
        """Records that the OPEN line is written: from now on the endpoint may have started the session."""
        self.coordinator.request_written(self.attempt)

    def forward(self, data: bytes, line_count: int = 1) -> None:
        """Forwards complete lines of the client unchanged."""
        self._write(data)
        self.coordinator.lines_forwarded(self.attempt.exchange, len(data), line_count)

    def close(self) -> None:
        """Closes the connection; if it is established, after the queued data is sent.

        An established connection is half-closed first: the endpoint may be writing at this moment, and a
        close with unread input is a reset. If the attempt was not established, the data that is still queued
        must not be sent, because it counts as never written.
        """
        if self.connection is None:
            return
        if self.attempt.exchange.established:
            self.connection.close()
        else:
            self.connection.abort()

    # Receiver: called by the connection.

    def data_received(self, data: bytes) -> None:
        """Handles each line that is complete."""
        try:
            for line in self.splitter.feed(data):
                if self.attempt.completed:
                    return
                if self.attempt.exchange.established:
                    self._on_session_line(line)
                else:
                    self._on_response(line)
        except lines.LineError as error:
            self.coordinator.counters.add("bad_answers")
            name = self.coordinator.endpoint_list.name(self.attempt.endpoint)
            log.info("invalid line from an endpoint", high_volume=True, endpoint=name, reason=error)
            self.on_internal_error()

    def connection_lost(self, reset: bool) -> None:
        """The endpoint has closed or reset the connection."""
        if self.attempt.exchange.established:
            result = _CLOSE_RESULTS.get(self.last_line_kind, AttemptResult.RESET)
            self.session.on_upstream_closed(self.last_line_kind, reset)
            self._complete(result, self.final_report)
        else:
            self._complete(AttemptResult.RESET)

    def on_internal_error(self) -> None:
        """Ends the attempt after invalid input or an unexpected exception."""
        established = self.attempt.exchange.established
        self._complete(AttemptResult.RESET if established else AttemptResult.ERROR)
        if established:
            self.session.on_upstream_closed(lines.LineKind.OTHER, True)

    # Implementation.

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)

    def _on_response(self, line: bytes) -> None:
        kind = lines.line_kind(line)
        if kind is lines.LineKind.UP:
            if self.coordinator.attempt_established(self.attempt):
                self.session.on_established(line)
            return
        result = _REJECTION_RESULTS.get(kind, AttemptResult.ERROR)
        self._complete(result, self._load_report(line))

    def _on_session_line(self, line: bytes) -> None:
        kind = lines.line_kind(line)
        if kind is lines.LineKind.LOAD:
            self._report_load(line)
        elif kind in (lines.LineKind.BYE, lines.LineKind.MOVE):
            self.last_line_kind = kind
            self.final_report = self._load_report(line)
        if not self.attempt.completed:
            self.session.on_line(line, kind)
            self.coordinator.line_received(self.attempt, len(line), kind is lines.LineKind.OTHER)

    def _report_load(self, line: bytes) -> None:
        value = lines.parse_load(line)
        if value is None:
            return
        if self.load_lines.is_delay(value, self.coordinator.clock.now() / 1e9):
            self.coordinator.delay_reported(self.attempt, value)
        else:
            self.coordinator.load_reported(self.attempt, value)

    def _load_report(self, line: bytes) -> tuple[float, ...]:
        return lines.parse_load_report(line, self.coordinator.settings.load_report_fields)

    def _complete(self, result: AttemptResult, report: tuple[float, ...] = ()) -> None:
        self.close()
        self.coordinator.attempt_ended(self.attempt, result, report)
