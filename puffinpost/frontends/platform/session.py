"""One client connection of the platform's line protocol, and the session that is opened on it.

The connection delivers bytes to it, the coordinator asks it for attempts and answers. It never chooses an
endpoint.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.frontends.handover import SessionHandover
from puffinpost.frontends.line_buffer import LineBuffer
from puffinpost.frontends.platform.handover import PlatformSessionState, restore_incomplete_line
from puffinpost.frontends.platform.request import build_session_request
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.net.connection import Connection
from puffinpost.observability import log
from puffinpost.protocol import lines
from puffinpost.proxy.exchange import Attempt, Exchange
from puffinpost.proxy.request_ids import DuplicateRequestError
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.platform.frontend import PlatformFrontend

# Lines that a client sends before its session is established are read and buffered: left in the kernel, they
# would hide that the client has closed. A usual client writes one line and waits, so each may have the first
# limit, and up to the second while all sessions together stay below the third. Beyond it the client is
# answered and its connection closed.
MAX_BUFFERED_BYTES = 8 * 1024
MAX_BUFFERED_BYTES_OF_ONE = 256 * 1024
MAX_BUFFERED_BYTES_OF_ALL = 4 * 1024 * 1024
PING_IDLE_TIMEOUT_S = 60.0  # how long a connection may stay after its PONG before it asks again


class PlatformSession:
    """A client connection, from its first line until it is closed."""

    def __init__(self, frontend: PlatformFrontend, connection: Connection) -> None:
        self.frontend = frontend
        self.coordinator = frontend.coordinator
        self.connection = connection
        self.splitter = lines.LineSplitter()
        self.opening: lines.OpenRequest | None = None
        self.exchange: Exchange | None = None
        self.upstream: PlatformUpstream | None = None
        self.closed = False
        self.is_idle = False  # after a PONG
        self._buffer = LineBuffer()

    # Receiver: called by the client connection.

    def data_received(self, data: bytes) -> None:
        """Handles each line that is complete."""
        self.frontend.admission.on_progress(self)
        try:
            for line in self.splitter.feed(data):
                if self.closed:
                    return
                self._on_line_from_client(line)
        except (lines.LineError, DuplicateRequestError) as error:
            self._reject_input(str(error))
            return
        if self.is_idle and not self.closed and self.splitter.pending:
            # Guards against a client that sends a line slowly after a PING: it has the time of a new one.
            self.is_idle = False
            self.frontend.admission.admit_pending(self)

    def on_input_ended(self) -> None:
        """The client has half-closed: it may still read its answer. One that closed entirely does not."""
        if self.closed:
            return
        if self.exchange is not None and not self.exchange.established:
            self.coordinator.client_half_closed(self.exchange)
        elif self.exchange is None and self.splitter.pending:
            self._reject_input("it ended in the middle of a line")

    def connection_lost(self, reset: bool) -> None:
        """The client has closed or reset the connection: its upstream ends the same way."""
        self._release()
        if self.exchange is None:
            return
        upstream = self._upstream_connection
        if self.exchange.established and upstream is not None:
            upstream.close(reset)
        self.coordinator.client_disconnected(self.exchange)

    def on_internal_error(self) -> None:
        """An unexpected exception ends the session, with its final answer."""
        if self.exchange is not None:
            self.coordinator.migrate(self.exchange)  # does nothing where it is not established
            self.coordinator.client_disconnected(self.exchange)
        self._close_with(lines.FAILED)

    # AdmittedConnection: called by admission.

    def on_timeout(self) -> None:
        """No complete first line arrived in time. Nothing was started, so the client may safely retry."""
        self._close_with(self.frontend.overload_answer)

    # DownstreamClient: called by the coordinator.

    def start_attempt(self, attempt: Attempt) -> None:
        """Connects to the endpoint of an attempt."""
        assert self.opening is not None
        self.upstream = PlatformUpstream(self, attempt, self.opening)
        self.frontend.connector.start(self.upstream)

    def abort_attempt(self, attempt: Attempt) -> None:
        """Closes the connection of an attempt."""
        if self.upstream is not None and self.upstream.attempt is attempt:
            self.upstream.close()

    def reject(self, retry_after_ns: int) -> None:
        """Answers that the client should retry later."""
        self._close_with(lines.busy_response(retry_after_ns // MS))

    def fail(self, timed_out: bool) -> None:
        """Answers that the request failed."""
        del timed_out  # the protocol has one answer for both kinds of failure
        self._close_with(lines.FAILED)

    def migrate(self) -> None:
        """Asks the client to reconnect. Only complete lines are ever written, so this falls between two."""
        self._close_with(lines.MOVE)

    # UpstreamListener: called by the upstream of the current attempt.

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted: forwards its response, and the buffered lines the other way."""
        upstream = self._upstream_connection
        assert self.upstream is not None and upstream is not None
        self.connection.write(response)
        self.connection.forward_target, upstream.forward_target = upstream, self.connection
        if len(self._buffer):
            self.upstream.forward(self._buffer.data, self._buffer.line_count)
            self._clear_buffer()

    def on_line(self, line: bytes, kind: lines.LineKind) -> None:
        """Forwards a line of the endpoint unchanged, whatever its kind."""
        del kind
        self.connection.write(line)

    def on_upstream_closed(self, kind: lines.LineKind, reset: bool) -> None:
        """Closes the client connection the way in which the endpoint closed its own."""
        del kind
        self.close(reset)

    # Hot restart: called by the runtime.

    def prepare_handover(self) -> SessionHandover | None:
        """What another process needs to continue the session; None where it cannot be handed over now."""
        upstream = self._upstream_connection
        if self.upstream is None or upstream is None or self.closed:
            return None
        if not (self.connection.is_quiescent and upstream.is_quiescent):
            return None
        state = PlatformSessionState(self.splitter.incomplete_line, self.upstream.state())
        return SessionHandover(state.to_message(), [self.connection, upstream])

    def restore(self, exchange: Exchange, upstream: Connection, state: PlatformSessionState) -> None:
        """Continues a session that another process of this node had established."""
        self.exchange = exchange
        assert exchange.attempt is not None
        self.upstream = PlatformUpstream.restore(self, exchange.attempt, upstream, state.upstream)
        self.connection.forward_target, upstream.forward_target = upstream, self.connection
        restore_incomplete_line(self.splitter, state.incomplete_line)

    def release_to_successor(self) -> None:
        """Another process serves the session: closes the descriptors of this one."""
        upstream = self._upstream_connection
        assert upstream is not None
        self._release()
        self.connection.detach()
        upstream.detach()

    def close(self, reset: bool) -> None:
        """Closes the client connection."""
        self._release()
        self.connection.close(reset)

    # Implementation.

    @property
    def _upstream_connection(self) -> Connection | None:
        return self.upstream.connection if self.upstream is not None else None

    def _on_line_from_client(self, line: bytes) -> None:
        if self.opening is None and self.exchange is None:
            if line.rstrip(b"\r\n") == lines.PING:
                self._answer_ping()
            else:
                self._open(line)
        elif self.exchange is not None and self.exchange.established and self.upstream is not None:
            self.upstream.forward(line)
        elif line.startswith(lines.OPEN):
            # Guards against clients that send many commands at once: a connection carries one session.
            raise lines.LineError("a second message before the first has its answer")
        else:
            self._buffer_line(line)

    def _answer_ping(self) -> None:
        if self.coordinator.endpoints.has_list and not self.frontend.draining:
            self.connection.write(lines.PONG)
            self.is_idle = True
            self.frontend.admission.mark_idle(self, PING_IDLE_TIMEOUT_S)

    def _open(self, line: bytes) -> None:
        self.opening = opening = lines.parse_open_request(line)
        request = build_session_request(self.coordinator, opening, self.connection.peer)
        if not self.frontend.admission.reserve_session(self):
            self.coordinator.count_rejected(request.request_class)
            self._close_with(self.frontend.overload_answer)
            return
        if opening.requested_endpoint is None:
            self.exchange = self.coordinator.open(request, self)
            return
        endpoint = self.coordinator.endpoint_list.find(opening.requested_endpoint)
        if endpoint is None or endpoint not in self.coordinator.endpoint_list.addresses:
            raise lines.LineError(
                f"at={opening.requested_endpoint[:40]}: discovery has named no such transcriber"
            )
        self.exchange = self.coordinator.adopt(request, endpoint, self)

    def _buffer_line(self, line: bytes) -> None:
        self._buffer.append(line)
        self.frontend.buffered_bytes += len(line)
        size = len(self._buffer)
        if size > MAX_BUFFERED_BYTES_OF_ONE or (
            size > MAX_BUFFERED_BYTES and self.frontend.buffered_bytes > MAX_BUFFERED_BYTES_OF_ALL
        ):
            raise lines.LineError("too much was sent before the answer")

    def _clear_buffer(self) -> None:
        self.frontend.buffered_bytes -= len(self._buffer)
        self._buffer.clear()

    def _reject_input(self, problem: str) -> None:
        """Ends a connection whose client sent invalid input. None of it reaches an endpoint."""
        self.coordinator.counters.add("bad_lines")
        peer = log.format_peer(self.connection.peer)
        log.info(f"bad line from a client at {peer}: {problem}", high_volume=True)
        if self.exchange is not None and not self.closed:
            self.coordinator.client_disconnected(self.exchange)
        self._close_with(lines.FAILED)

    def _close_with(self, line: bytes) -> None:
        """Writes the final answer and closes the connection."""
        if not self.closed:
            self.connection.write(line)
        self.close(False)

    def _release(self) -> None:
        self.closed = True
        self._clear_buffer()
        self.frontend.admission.release(self)
