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
from puffinpost.net.handover_channel import (
    MAX_MESSAGE_BYTES,
    HandoverChannel,
    HandoverListener,
    HandoverMessage,
)
from puffinpost.net.listener import Listener
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
from puffinpost.proxy.exchange import Exchange
from puffinpost.runtime.frontends import Frontends
from puffinpost.runtime.handover_messages import (
    DescriptorsUsed,
    EstablishedSessionHandover,
    Ready,
    RequestIdReleased,
    ResumableSessionHandover,
    Takeover,
    decode,
    encode,
    encode_learned_state,
)

BATCH_INTERVAL_S = 0.02
BATCH_SIZE = 32  # sessions handed over before the event loop runs other callbacks


class HandoverSession(Protocol):
    """A frontend's session that another process can continue."""

    def prepare_handover(self) -> tuple[dict[str, Any], list[Connection]] | None:
        """Its state and its connections; None if it cannot be handed over now."""

    def release_to_successor(self) -> None:
        """Called once another process has the session."""


class HandoverSender:
    """Hands over everything that the successor needs, a batch at a time."""

    def __init__(
        self, coordinator: Coordinator, frontends: Frontends, admission: ConnectionAdmission
    ) -> None:
        self.coordinator = coordinator
        self.frontends = frontends
        self.admission = admission
        self._listeners: list[Listener] = []
        self._handover_listener: HandoverListener | None = None
        self._channel: HandoverChannel | None = None  # to the successor
        self._batches_started = False
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
        """Whether sessions that outlive their connections remain to be handed over."""
        registry = self.frontends.registry
        return (
            self.has_successor
            and registry is not None
            and any(session.owner.can_hand_over for session in registry.sessions.values())
        )

    def _on_connection(self, channel: HandoverChannel) -> None:
        def on_message(data: HandoverMessage, _sockets: list[socket.socket]) -> None:
            if isinstance(decode(data), Ready):
                self._on_ready(channel)

        channel.on_message = on_message

    def _on_ready(self, channel: HandoverChannel) -> None:
        if self._channel is not None:
            self._channel.close()
        self._channel = channel
        channel.on_closed = self._on_successor_disconnected
        for listener in self._listeners:
            listener.pause()
        log.info("hot restart: successor takes over")
        channel.send_with_sockets(encode(self._takeover()), [listener.socket for listener in self._listeners])
        if not self._batches_started:
            self._batches_started = True
            self.coordinator.request_ids.release_listeners.append(self._on_request_id_released)
            self._send_batch()

    def _takeover(self) -> Takeover:
        return Takeover(
            os.getpid(),
            list(self.coordinator.request_ids.active),
            encode_learned_state(self.coordinator.balancer.learned_state()),
            self.admission.descriptors_used,
            [listener.socket.getsockname()[:2] for listener in self._listeners],
        )

    def _on_request_id_released(self, request_id: int) -> None:
        if self._channel is not None:
            self._channel.send(encode(RequestIdReleased(request_id)))

    def _on_successor_disconnected(self) -> None:
        """Accepts clients again, unless this process is draining: the successor has failed."""
        self._channel = None
        if not self.frontends.platform.draining:
            log.info("hot restart: successor disconnected")
            for listener in self._listeners:
                listener.resume()

    def _send_batch(self) -> None:
        """Hands over sessions that are ready for it; repeats this at an interval until the process ends."""
        asyncio.get_running_loop().call_later(BATCH_INTERVAL_S, self._send_batch)
        channel = self._channel
        if channel is None:
            return
        sent = self._send_established(channel)
        self._send_resumable(channel, BATCH_SIZE - sent)
        self._report_descriptors(channel)

    def _send_established(self, channel: HandoverChannel) -> int:
        """Hands over at most a batch of established sessions; returns how many."""
        sent = 0
        for exchange in self.coordinator.established_exchanges():
            if sent == BATCH_SIZE or channel.closed:
                break
            sent += self._send_exchange(channel, exchange)
        return sent

    def _send_resumable(self, channel: HandoverChannel, limit: int) -> None:
        registry = self.frontends.registry
        if registry is None:
            return
        sent = 0
        for session in list(registry.sessions.values()):
            if sent == limit or channel.closed:
                break
            sent += self._send_session(channel, session.owner)

    def _report_descriptors(self, channel: HandoverChannel) -> None:
        used = self.admission.descriptors_used
        if used != self._reported_descriptors and not channel.closed:
            self._reported_descriptors = used
            channel.send(encode(DescriptorsUsed(used)))

    def _send_exchange(self, channel: HandoverChannel, exchange: Exchange) -> bool:
        """Hands over one established session; returns whether the successor has it now."""
        session = exchange.client
        if not isinstance(session, PlatformSession):
            return False
        prepared = session.prepare_handover()
        if prepared is None:
            return False
        session_state, connections = prepared
        message = encode(
            EstablishedSessionHandover({**self.coordinator.handover_state(exchange), **session_state})
        )
        if not channel.send_with_sockets(message, _sockets(connections)):
            return False
        session.release_to_successor()
        self.coordinator.handed_over(exchange)
        return True

    def _send_session(self, channel: HandoverChannel, session: HandoverSession) -> bool:
        """Hands over one resumable session; returns whether the successor has it now."""
        prepared = session.prepare_handover()
        if prepared is None:
            return False
        state, connections = prepared
        message = encode(ResumableSessionHandover(state))
        if len(orjson.dumps(message)) > MAX_MESSAGE_BYTES:
            return False
        if not channel.send_with_sockets(message, _sockets(connections)):
            return False
        session.release_to_successor()
        return True


def _sockets(connections: list[Connection]) -> list[socket.socket]:
    return [connection.stream.socket for connection in connections]
