"""One client connection of the platform's line protocol, and the session that is opened on it.

The connection delivers the client's bytes to it, the coordinator has it start attempts and send answers. It
never chooses an endpoint.
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

# Lines that a client sends before its session is established are read and buffered: if they stayed in the
# kernel, the node would not notice that the client has closed the connection. A usual client sends one line
# and waits. Each session may therefore buffer up to the first limit, and up to the second while all sessions
# together stay below the third. A client above its limit is answered and its connection closed.
MAX_BUFFERED_BYTES = 8 * 1024
MAX_BUFFERED_BYTES_OF_ONE = 256 * 1024
MAX_BUFFERED_BYTES_OF_ALL = 4 * 1024 * 1024
PING_IDLE_TIMEOUT_S = 60.0  # how long a connection may be idle after a PONG


class PlatformSession:
    """The session of a client connection, from its first line until the connection is closed."""

    def __init__(self, frontend: PlatformFrontend, connection: Connection) -> None:
        self.frontend = frontend
        self.coordinator = frontend.coordinator
        self.connection = connection
        self.splitter = lines.LineSplitter()
        self.opening: lines.OpenRequest | None = None
        self.exchange: Exchange | None = None
        self.upstream: PlatformUpstream | None = None
        self.closed = False
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
        if self.splitter.pending and self.frontend.admission.is_idle(self):
            # Guards against a client that sends a line slowly after a PING: the timeout of a new connection
            # applies to it.
            self.frontend.admission.admit_pending(self)

    def on_input_ended(self) -> None:
        """The client has half-closed: it may still read its answer, which it cannot after a full close."""
        if self.closed:
            return
        if self.exchange is not None and not self.exchange.established:
            self.coordinator.client_half_closed(self.exchange)
        elif self.exchange is None and self.splitter.pending:
            self._reject_input("the input ended in an incomplete line")

    def connection_lost(self, reset: bool) -> None:
        """The client has closed or reset the connection: the upstream connection is closed the same way."""
        self._release()
        if self.exchange is None:
            return
        upstream = self._upstream_connection
        if self.exchange.established and upstream is not None:
            upstream.close(reset)
        self.coordinator.client_disconnected(self.exchange)

    def on_internal_error(self) -> None:
        """Ends the session with its final answer after an unexpected exception."""
        if self.exchange is not None:
            self.coordinator.migrate(self.exchange)  # does nothing where it is not established
            self.coordinator.client_disconnected(self.exchange)
        self._close_with(lines.FAILED)

    # AdmittedConnection: called by admission.

    def on_timeout(self) -> None:
        """No complete first line arrived in time. No request was started, so the client may safely retry."""
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
        del timed_out  # the protocol has the same answer for both kinds of failure
        self._close_with(lines.FAILED)

    def migrate(self) -> None:
        """Asks the client to reconnect. Only complete lines are written, so no line is interrupted."""
        self._close_with(lines.MOVE)

    # UpstreamListener: called by the upstream of the current attempt.

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted: forwards its response to the client, and the buffered lines upstream."""
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
        """Closes the client connection as the endpoint has closed its own: in order, or with a reset."""
        del kind
        self.close(reset)

    # Hot restart: called by the runtime.

    def prepare_handover(self) -> SessionHandover | None:
        """Returns what the successor needs to continue the session; None if it cannot be handed over now."""
        upstream = self._upstream_connection
        if self.upstream is None or upstream is None or self.closed:
            return None
        if not (self.connection.is_quiescent and upstream.is_quiescent):
            return None
        state = PlatformSessionState(self.splitter.incomplete_line, self.upstream.state())
        return SessionHandover(state.to_message(), [self.connection, upstream])

    def restore(self, exchange: Exchange, upstream: Connection, state: PlatformSessionState) -> None:
        """Continues a session that the predecessor had established."""
        self.exchange = exchange
        assert exchange.attempt is not None
        self.upstream = PlatformUpstream.restore(self, exchange.attempt, upstream, state.upstream)
        self.connection.forward_target, upstream.forward_target = upstream, self.connection
        restore_incomplete_line(self.splitter, state.incomplete_line)

    def release_to_successor(self) -> None:
        """The successor serves the session: closes this process's descriptors."""
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
            # Guards against clients that send several OPEN lines at once: a connection carries one session.
            raise lines.LineError("a second OPEN line before the first was answered")
        else:
            self._buffer_line(line)

    def _answer_ping(self) -> None:
        if self.coordinator.endpoints.has_list and not self.frontend.draining:
            self.connection.write(lines.PONG)
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
                f"at={opening.requested_endpoint[:40]}: no such endpoint in the endpoint list"
            )
        self.exchange = self.coordinator.adopt(request, endpoint, self)

    def _buffer_line(self, line: bytes) -> None:
        self._buffer.append(line)
        self.frontend.buffered_bytes += len(line)
        size = len(self._buffer)
        if size > MAX_BUFFERED_BYTES_OF_ONE or (
            size > MAX_BUFFERED_BYTES and self.frontend.buffered_bytes > MAX_BUFFERED_BYTES_OF_ALL
        ):
            raise lines.LineError("too many bytes before the session is established")

    def _clear_buffer(self) -> None:
        self.frontend.buffered_bytes -= len(self._buffer)
        self._buffer.clear()

    def _reject_input(self, problem: str) -> None:
        """Closes a connection whose client sent invalid input. None of the input reaches an endpoint."""
        self.coordinator.counters.add("bad_lines")
        peer = log.format_peer(self.connection.peer)
        log.info("invalid line from a client", high_volume=True, peer=peer, reason=problem)
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
