"""The predecessor's side of a hot restart: this process hands over to another one that was started later.

It listens for the successor. Once the successor can serve, this process stops accepting clients, and hands
over its listening sockets, its learned state and then sessions until it ends. If the successor fails, it
accepts clients again.
"""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any, Protocol

import orjson

from puffinpost.frontends.platform import PlatformSession
from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.connection import Connection
from puffinpost.net.handover_channel import HandoverChannel, HandoverListener, HandoverMessage
from puffinpost.net.listener import Listener
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Exchange
from puffinpost.runtime.frontends import Frontends
from puffinpost.runtime.handover_messages import (
    ACKNOWLEDGING,
    Capabilities,
    DescriptorsUsed,
    EndpointListTold,
    EstablishedSessionHandover,
    Ready,
    RequestIdReleased,
    ResumableSessionHandover,
    Serving,
    SessionMessage,
    SessionReceived,
    Takeover,
    decode,
    encode,
    encode_learned_state,
    encode_numbered,
)
from puffinpost.runtime.session_adopter import SessionAdopter
from puffinpost.runtime.unacknowledged_sessions import UnacknowledgedSessions

BATCH_INTERVAL_S = 0.02
BATCH_SIZE = 32  # sessions handed over before the event loop runs other callbacks
REFUSAL_PAUSE_S = 1.0
# What a successor of an earlier version can receive in one message.
EARLIER_MAX_SOCKETS = 2
EARLIER_MAX_MESSAGE_BYTES = 160 * 1024


class HandoverSession(Protocol):
    """A frontend's session that another process can continue."""

    def prepare_handover(self) -> tuple[dict[str, Any], list[Connection]] | None:
        """Its state and its connections; None if it cannot be handed over now."""

    def release_to_successor(self) -> None:
        """Called once another process has the session."""


class HandoverSender:
    """Hands over everything that the successor needs, a batch at a time."""

    def __init__(
        self,
        coordinator: Coordinator,
        frontends: Frontends,
        admission: ConnectionAdmission,
        adopter: SessionAdopter,
    ) -> None:
        self.coordinator = coordinator
        self.frontends = frontends
        self.admission = admission
        self._listeners: list[Listener] = []
        self._handover_listener: HandoverListener | None = None
        self._channel: HandoverChannel | None = None  # to the successor
        self._successor_is_serving = False  # it can receive sessions
        self._unacknowledged = UnacknowledgedSessions(adopter.adopt)
        self._batches_started = False
        self._next_batch_s = 0.0  # not before this time of the event loop
        self._reported_descriptors = -1

    def listen(self, path: Path, listeners: list[Listener]) -> None:
        """Listens for a successor on a Unix socket. ``listeners`` are handed over to it."""
        self._listeners = listeners
        try:
            self._handover_listener = HandoverListener(path, self._on_connection)
        except OSError as problem:
            log.info("hot restart: cannot listen for a successor", path=path, reason=problem)

    @property
    def has_successor(self) -> bool:
        """Whether another process accepts clients in place of this one."""
        return self._channel is not None

    @property
    def has_pending_sessions(self) -> bool:
        """Whether sessions remain to be handed over, or the successor has to answer for some."""
        registry = self.frontends.registry
        return self.has_successor and (
            bool(self._unacknowledged)
            or (
                registry is not None
                and any(session.owner.can_hand_over for session in registry.sessions.values())
            )
        )

    # --- the takeover ---------------------------------------------------------------------------------

    def _on_connection(self, channel: HandoverChannel) -> None:
        def on_message(data: HandoverMessage, _sockets: list[socket.socket]) -> None:
            match decode(data):
                case Capabilities(highest):
                    channel.sends_fragments = highest >= ACKNOWLEDGING
                case Ready():
                    self._on_ready(channel)
                case Serving() if channel is self._channel:
                    self._successor_is_serving = True
                case SessionReceived() as answer if channel is self._channel:
                    self._on_session_received(answer)

        channel.on_message = on_message

    def _on_ready(self, channel: HandoverChannel) -> None:
        if self._unacknowledged:
            # The earlier successor may own these sessions already, so it stays the successor.
            log.info("hot restart: another successor is refused")
            channel.close()
            return
        if not channel.sends_fragments and not self._fits_earlier_form():
            log.info(
                "hot restart: a successor of an earlier version cannot take over",
                sockets=len(self._listeners),
            )
            channel.close()
            return
        if self._channel is not None:
            self._channel.close()
        self._channel = channel
        self._successor_is_serving = not channel.sends_fragments
        channel.on_closed = self._on_successor_disconnected
        for listener in self._listeners:
            listener.pause()
        log.info("hot restart: successor takes over")
        self._tell_endpoint_list()
        channel.send(encode(self._takeover()), [listener.socket for listener in self._listeners])
        if not self._batches_started:
            self._batches_started = True
            self.coordinator.request_ids.release_listeners.append(self._on_request_id_released)
            self.coordinator.endpoint_list_listeners.append(self._tell_endpoint_list)
            self._send_batch()

    def _fits_earlier_form(self) -> bool:
        """Whether a successor that reads neither fragments nor more sockets can receive the takeover."""
        message_bytes = len(orjson.dumps(encode(self._takeover())))
        return len(self._listeners) <= EARLIER_MAX_SOCKETS and message_bytes <= EARLIER_MAX_MESSAGE_BYTES

    def _takeover(self) -> Takeover:
        return Takeover(
            os.getpid(),
            list(self.coordinator.request_ids.active),
            encode_learned_state(self.coordinator.balancer.learned_state()),
            self.admission.descriptors_used,
            [listener.socket.getsockname()[:2] for listener in self._listeners],
        )

    def _tell_endpoint_list(self) -> None:
        """Sends the endpoint list: what this process was told counts as told to its successor."""
        endpoints = self.coordinator.endpoints
        if self._channel is not None and self._channel.sends_fragments and endpoints.has_list:
            answer = endpoints.endpoint_list.snapshot()
            self._channel.send(encode(EndpointListTold(answer, endpoints.is_current)))

    def _on_request_id_released(self, request_id: int) -> None:
        if self._channel is not None:
            self._channel.send(encode(RequestIdReleased(request_id)))

    def _on_successor_disconnected(self) -> None:
        """The successor has failed: accepts clients again, unless this process is draining."""
        self._channel = None
        restored = self._unacknowledged.restore_all()
        if not self.frontends.platform.draining:
            log.info("hot restart: successor disconnected", restored=restored)
            for listener in self._listeners:
                listener.resume()

    # --- sessions -------------------------------------------------------------------------------------

    def _send_batch(self) -> None:
        """Hands over sessions that are ready for it; repeats this at an interval until the process ends."""
        asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self._send_batch)
        channel = self._channel
        if channel is None or not self._successor_is_serving or channel.is_congested:
            return
        if asyncio.get_running_loop().time() < self._next_batch_s:
            return
        limit = BATCH_SIZE - len(self._unacknowledged)
        sent = self._send_established(channel, limit)
        self._send_resumable(channel, limit - sent)
        self._report_descriptors(channel)

    def _on_session_received(self, answer: SessionReceived) -> None:
        """A refused session stays here, and is offered again after a pause, behind the others."""
        if not answer.adopted:
            self._next_batch_s = asyncio.get_running_loop().time() + REFUSAL_PAUSE_S
        self._unacknowledged.on_answer(answer)

    def _send_established(self, channel: HandoverChannel, limit: int) -> int:
        """Hands over at most ``limit`` established sessions; returns how many."""
        sent = 0
        for exchange in self.coordinator.established_exchanges():
            if sent >= limit or channel.closed:
                break
            sent += self._send_exchange(channel, exchange)
        return sent

    def _send_resumable(self, channel: HandoverChannel, limit: int) -> None:
        registry = self.frontends.registry
        if registry is None:
            return
        sent = 0
        for session in list(registry.sessions.values()):
            if sent >= limit or channel.closed:
                break
            sent += self._send_session(channel, session.owner)

    def _report_descriptors(self, channel: HandoverChannel) -> None:
        used = self.admission.descriptors_used
        if used != self._reported_descriptors and not channel.closed:
            self._reported_descriptors = used
            channel.send(encode(DescriptorsUsed(used)))

    def _send_exchange(self, channel: HandoverChannel, exchange: Exchange) -> bool:
        """Hands over one established session; returns whether it is sent."""
        session = exchange.client
        if not isinstance(session, PlatformSession):
            return False
        prepared = session.prepare_handover()
        if prepared is None:
            return False
        session_state, connections = prepared
        state = {**self.coordinator.handover_state(exchange), **session_state}
        if not self._send_message(channel, EstablishedSessionHandover(state), _sockets(connections)):
            return False
        session.release_to_successor()
        self.coordinator.handed_over(exchange)
        return True

    def _send_session(self, channel: HandoverChannel, session: HandoverSession) -> bool:
        """Hands over one resumable session; returns whether it is sent."""
        prepared = session.prepare_handover()
        if prepared is None:
            return False
        state, connections = prepared
        if not self._send_message(channel, ResumableSessionHandover(state), _sockets(connections)):
            return False
        session.release_to_successor()
        return True

    def _send_message(
        self, channel: HandoverChannel, message: SessionMessage, sockets: list[socket.socket]
    ) -> bool:
        """Sends a session. Returns False if a successor of an earlier version cannot receive it now."""
        if channel.sends_fragments:
            number = self._unacknowledged.add(message, sockets)
            channel.send(encode_numbered(message, number), sockets)
            return True
        encoded = encode(message)
        if len(orjson.dumps(encoded)) > EARLIER_MAX_MESSAGE_BYTES:
            return False
        return channel.send_with_sockets(encoded, sockets)


def _sockets(connections: list[Connection]) -> list[socket.socket]:
    return [connection.stream.socket for connection in connections]
