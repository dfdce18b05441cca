"""One MQTT session: the state of a device that outlives its connections, and its current request.

The connection, the coordinator and the upstream call it. Its resumable session decides which messages are
resent after a resumption.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from puffinpost.frontends.handover import SessionHandover
from puffinpost.frontends.line_buffer import LineBuffer
from puffinpost.frontends.mqtt import topics
from puffinpost.frontends.mqtt.device_delivery import DEFAULT_RECEIVE_MAXIMUM, DeviceDelivery
from puffinpost.frontends.mqtt.handover import prepare_handover
from puffinpost.frontends.mqtt.last_request import LastRequest
from puffinpost.frontends.mqtt.publish_handler import PublishHandler
from puffinpost.frontends.mqtt.subscriptions import Subscriptions
from puffinpost.frontends.platform.upstream import PlatformUpstream
from puffinpost.frontends.resumable_client import ResumableClient
from puffinpost.protocol import lines, mqtt
from puffinpost.protocol.mqtt import Ack, PacketType, ReasonCode
from puffinpost.proxy.exchange import Attempt, SessionRequest
from puffinpost.proxy.request_ids import DuplicateRequestError
from puffinpost.resumption.session import EndReason, ResumableSession
from puffinpost.units import MS

if TYPE_CHECKING:
    from puffinpost.frontends.mqtt.connection import MqttConnection
    from puffinpost.frontends.mqtt.frontend import MqttFrontend

MAX_BUFFERED_BYTES = 8 * 1024  # of lines before the session is established; above it, reading is paused
OVERLOAD_RETRY_AFTER_MS = 500
LOST = b"LOST"  # the payload on the BYE topic if the endpoint is lost
_LINE_TOPICS = {lines.LineKind.BYE: topics.BYE, lines.LineKind.MOVE: topics.MOVE}


class MqttSession(ResumableClient["MqttConnection", PlatformUpstream]):
    """A device's session with this node."""

    can_hand_over = True  # to the successor in a hot restart

    def __init__(self, frontend: MqttFrontend, session: ResumableSession) -> None:
        super().__init__(frontend.coordinator, frontend.connector, frontend.admission)
        self.frontend = frontend
        self.session = session
        session.owner = self
        self.subscriptions = Subscriptions()
        self.delivery = DeviceDelivery(session, self.subscriptions, frontend.coordinator.counters)
        self.publish_handler = PublishHandler(self, frontend.config.receive_maximum)
        self.last_request = LastRequest()
        self._opening: lines.OpenRequest | None = None
        self._buffer = LineBuffer()

    @property
    def version(self) -> int:
        """The protocol version of the current connection; 5 if there is none."""
        return self.connection.version if self.connection is not None else mqtt.V5

    @property
    def is_reading_paused(self) -> bool:
        """Whether reading the client is paused because too many of its lines wait for the endpoint."""
        return len(self._buffer) > MAX_BUFFERED_BYTES

    # Connections.

    def attach(self, connection: MqttConnection, packet: mqtt.Connect, session_present: bool) -> None:
        """Attaches a new connection, whose CONNACK is written."""
        earlier, self.connection = self.connection, connection
        self.delivery.receive_maximum = packet.properties.get("receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        if session_present:
            connection.generation = self.frontend.registry.attach(self.session)
        else:
            connection.generation = self.session.generation
        if earlier is not None:
            earlier.close(ReasonCode.SESSION_TAKEN_OVER)
        if self.exchange is not None:
            self.admission.release(connection)
            self.admission.mark_reattached(self)
            self._connect_flow_control()
        if self.is_reading_paused:
            connection.connection.set_reading_paused(True)
        self.delivery.resend_releases(connection)
        self.flush()

    def detach(self, connection: MqttConnection) -> None:
        """A connection is lost. If it was the current one, the session waits for another one or ends."""
        if self.connection is connection:
            self.connection = None
        if not self.frontend.registry.detach(
            self.session, connection.generation, self.coordinator.clock.now()
        ):
            return
        if not self.session.grace_ns:
            self.frontend.registry.end(self.session)
            self.on_session_expired()
        elif self.exchange is not None:
            self.admission.mark_detached(self)

    def on_session_expired(self) -> None:
        """The session has ended, and its current request ends with it."""
        exchange, self.exchange = self.exchange, None
        self.admission.release(self)
        if exchange is not None:
            self.coordinator.client_disconnected(exchange)

    def on_session_replaced(self) -> None:
        """The client begins a new session: this one ends, and its connection is closed."""
        connection, self.connection = self.connection, None
        self.frontend.registry.end(self.session, EndReason.REPLACED)
        if connection is not None:
            connection.close(ReasonCode.SESSION_TAKEN_OVER)
        self.on_session_expired()

    # Messages to the device.

    def notify(self, topic: str, payload: bytes) -> None:
        """Publishes a message to the device, now or when it is connected again."""
        if self.delivery.push(topic, payload):
            self.flush()

    def flush(self) -> None:
        """Publishes the messages that are due, and pauses or resumes reading the upstream."""
        if self.connection is not None:
            self.delivery.flush(self.connection)
        self._regulate_upstream(self.session)

    def on_ack(self, packet: Ack) -> None:
        """A PUBACK, PUBREC, PUBREL or PUBCOMP arrived."""
        if packet.packet_type is PacketType.PUBREL:
            self.publish_handler.on_release(packet)
            return
        assert self.connection is not None
        self.delivery.on_ack(self.connection, packet)
        self.flush()

    # The current request.

    def open_request(
        self,
        opening: lines.OpenRequest,
        request: SessionRequest,
        reply_topic: str,
        correlation_data: bytes | None,
    ) -> None:
        """Opens the device's next request."""
        self.last_request = LastRequest(opening.request_id, reply_topic, correlation_data)
        self._opening = opening
        if not self._reserve_capacity(request):
            retry_after_ms = OVERLOAD_RETRY_AFTER_MS if self.coordinator.settings.sends_retry_after else 0
            self._give_final_answer(lines.busy_response(retry_after_ms))
            return
        try:
            self._start_exchange(request)
        except DuplicateRequestError:
            self._give_final_answer(lines.FAILED)

    def join_request(self, reply_topic: str, correlation_data: bytes | None) -> None:
        """The device has repeated its last request: joins it to that request and starts no second attempt.

        This also holds if the request is complete, because an id identifies one request. A pending answer
        goes to the reply topic of the latest repetition. A given answer is sent once, except at QoS 0, where
        its arrival is unknown: there it is resent unchanged.
        """
        self.coordinator.counters.add("edge_joined")
        self.last_request.reply_topic = reply_topic
        self.last_request.correlation_data = correlation_data
        if self.last_request.answer and self.subscriptions.qos_for(reply_topic) == 0:
            self._send_answer(self.last_request.answer)

    def forward(self, line: bytes) -> None:
        """Forwards a line of the device, or buffers it until the session is established."""
        assert self.exchange is not None
        if self.exchange.established and self.upstream is not None:
            self.upstream.forward(line)
            return
        self._buffer.append(line)
        if self.is_reading_paused and self.connection is not None:
            self.connection.connection.set_reading_paused(True)

    def end_exchange(self) -> None:
        """The device has ended its request."""
        exchange, self.exchange = self.exchange, None
        self._on_exchange_ended()
        if exchange is not None:
            self.coordinator.client_disconnected(exchange)

    def on_internal_error(self) -> None:
        """Ends the request with its answer after an unexpected exception; the session stays for the next one.

        If the request stayed, a device that resends the same data on each resumption would cause the same
        error each time.
        """
        if self.exchange is not None and not self.exchange.established:
            self._send_answer(lines.FAILED)
        elif self.exchange is not None:
            self.notify(topics.BYE, LOST)
        self.end_exchange()

    # DownstreamClient: called by the coordinator.

    def start_attempt(self, attempt: Attempt) -> None:
        """Connects to the endpoint of an attempt."""
        assert self._opening is not None
        self.upstream = PlatformUpstream(self, attempt, self._opening)
        self.connector.start(self.upstream)

    def reject(self, retry_after_ns: int) -> None:
        """Answers that the device should retry later."""
        self._give_final_answer(lines.busy_response(retry_after_ns // MS))

    def fail(self, timed_out: bool) -> None:
        """Answers that the request failed."""
        del timed_out  # the protocol has the same answer for both kinds of failure
        self._give_final_answer(lines.FAILED)

    def migrate(self) -> None:
        """Asks the device to open its session again."""
        self.exchange = None
        self.notify(topics.MOVE, lines.MOVE.rstrip())
        self._on_exchange_ended()

    # UpstreamListener: called by the upstream of the current attempt.

    def on_established(self, response: bytes) -> None:
        """The endpoint has accepted: publishes its response, and forwards the buffered lines."""
        assert self.upstream is not None
        self._send_answer(response)
        if len(self._buffer):
            self.upstream.forward(self._buffer.data, self._buffer.line_count)
        self._resume_reading()
        self._connect_flow_control()

    def on_line(self, line: bytes, kind: lines.LineKind) -> None:
        """Publishes a line of the endpoint."""
        self.notify(_LINE_TOPICS.get(kind, topics.DOWN), line.rstrip(b"\r\n"))

    def on_upstream_closed(self, kind: lines.LineKind, reset: bool) -> None:
        """The endpoint has closed an established session, which is lost unless a final line came first."""
        del reset
        self.exchange = None
        if kind is lines.LineKind.OTHER:
            self.notify(topics.BYE, LOST)
        self._on_exchange_ended()

    # Hot restart: called by the runtime and the frontend.

    def prepare_handover(self) -> SessionHandover | None:
        """Returns what the successor needs to continue the session; None if it cannot be handed over now."""
        return prepare_handover(self)

    def on_restored(self) -> None:
        """Connections and request are restored: what the predecessor has written counts as written."""
        self._connect_flow_control()
        if self.connection is not None:
            self.session.on_connection_adopted()
        self.flush()

    def release_to_successor(self) -> None:
        """The successor serves the session: closes this process's descriptors."""
        exchange, connection = self.exchange, self.connection
        self.exchange = self.connection = None
        self.frontend.registry.detach_to_successor(self.session)
        self.admission.release(self)
        if connection is not None:
            connection.release_to_successor()
        upstream = self.upstream_connection
        if exchange is not None and upstream is not None:
            upstream.detach()
            self.coordinator.handed_over(exchange)

    # Implementation.

    def _give_final_answer(self, line: bytes) -> None:
        """Answers a request that was not established; the connection stays for the next one."""
        self.exchange = None
        self._send_answer(line)
        self._on_exchange_ended()

    def _send_answer(self, line: bytes) -> None:
        request = self.last_request
        request.answer = line.rstrip(b"\r\n")
        self.delivery.push_answer(request.reply_topic, request.correlation_data, request.answer)
        self.flush()

    def _on_exchange_ended(self) -> None:
        """Releases the request's resources; a connected client is idle from now on."""
        self._opening = None
        self._resume_reading()
        self.admission.release(self)
        if self.connection is not None and not self.connection.closed:
            self.admission.mark_idle(self.connection)

    def _resume_reading(self) -> None:
        self._buffer.clear()
        if self.connection is not None:
            self.connection.connection.set_reading_paused(False)
