"""The successor's side of a hot restart: this process takes over from another one that is already running.

The node calls it once this process can serve. From then on sessions arrive on the channel and are passed to
the frontends; it never accepts a client itself.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from puffinpost.net.admission import ConnectionAdmission
from puffinpost.net.handover_channel import HandoverChannel, HandoverMessage, connect
from puffinpost.net.handover_framing import HandoverFormatError
from puffinpost.net.listener import bind_listener
from puffinpost.observability import log
from puffinpost.proxy.coordinator import Coordinator
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
    decode_learned_state,
    encode,
)
from puffinpost.runtime.session_adopter import SessionAdopter

# A predecessor that does not answer within this time is considered stuck, and the start goes on without it.
TAKEOVER_TIMEOUT_S = 1.0

Address = tuple[str, int]


class HandoverReceiver:
    """Takes over listening sockets, learned state, request ids and sessions from the predecessor.

    ``reserved_descriptors``: how many descriptors a process needs besides those of its clients.
    """

    def __init__(
        self,
        coordinator: Coordinator,
        admission: ConnectionAdmission,
        adopter: SessionAdopter,
        reserved_descriptors: int,
    ) -> None:
        self.coordinator = coordinator
        self.admission = admission
        self.adopter = adopter
        self.reserved_descriptors = reserved_descriptors
        self._channel: HandoverChannel | None = None
        self._takeover: asyncio.Future[Takeover] | None = None
        self._sockets: dict[Address, socket.socket] = {}  # handed over, not in use yet

    def connect(self, path: Path) -> bool:
        """Connects to a process of this node that listens on a Unix socket; returns whether there is one."""
        channel = connect(path)
        if channel is None:
            return False
        self._channel = channel
        channel.on_message, channel.on_closed = self._on_message, self._on_predecessor_disconnected
        channel.send(encode(Capabilities(ACKNOWLEDGING)))
        return True

    async def take_over(self) -> None:
        """Takes over from the predecessor, or gives up on it. Called once this process can serve."""
        channel = self._channel
        if channel is None:
            return  # the predecessor has ended in the meantime
        self._takeover = asyncio.get_running_loop().create_future()
        channel.send(encode(Ready()))
        try:
            takeover = await asyncio.wait_for(self._takeover, TAKEOVER_TIMEOUT_S)
        except (TimeoutError, ConnectionError, HandoverFormatError) as problem:
            log.info("hot restart: takeover failed", reason=repr(problem))
            channel.close()
            self._on_predecessor_disconnected()
            return
        log.info("hot restart: took over from the predecessor", process_id=takeover.process_id)

    def listening_socket(self, address: Address) -> socket.socket:
        """A socket that listens on an address: the one that was handed over, otherwise a new one."""
        return self._sockets.pop(address, None) or bind_listener(address)

    def start_serving(self) -> None:
        """Called once this process listens: closes the unused sockets, and requests the sessions."""
        for unused in self._sockets.values():
            unused.close()
        if self._channel is not None:
            self._channel.send(encode(Serving()))

    def _on_message(self, data: HandoverMessage, sockets: list[socket.socket]) -> None:
        match decode(data):
            case Takeover() as takeover if self._takeover is not None and not self._takeover.done():
                self._on_takeover(self._takeover, takeover, sockets)
            case EndpointListTold(answer, is_current):
                self.coordinator.predecessor_list_received(answer, is_current)
            case EstablishedSessionHandover() | ResumableSessionHandover() as session:
                assert self._channel is not None  # the message came on it
                self._on_session(self._channel, session, sockets)
            case RequestIdReleased(request_id):
                self.coordinator.request_ids.predecessor.discard(request_id)
            case DescriptorsUsed(count):
                self._set_predecessor_usage(count)

    def _on_takeover(
        self, result: asyncio.Future[Takeover], takeover: Takeover, sockets: list[socket.socket]
    ) -> None:
        """Takes everything over before sessions arrive. An invalid message counts as none."""
        try:
            listening = dict(zip(takeover.listening_addresses, sockets, strict=True))
            self.coordinator.restore_learned_state(decode_learned_state(takeover.learned_state))
        except (KeyError, TypeError, ValueError) as problem:
            for each in sockets:
                each.close()
            result.set_exception(HandoverFormatError(f"the takeover is invalid: {problem!r}"))
            return
        self._sockets = listening
        self.coordinator.request_ids.predecessor.update(takeover.active_request_ids)
        self._set_predecessor_usage(takeover.descriptors_used)
        result.set_result(takeover)

    def _set_predecessor_usage(self, descriptors: int) -> None:
        self.admission.set_predecessor_usage(self.reserved_descriptors + descriptors)

    def _on_session(
        self, channel: HandoverChannel, session: SessionMessage, sockets: list[socket.socket]
    ) -> None:
        """Adopts a session. The predecessor keeps one that is not adopted, if it awaits the answer.

        Otherwise its connections are closed: a session that no process has must end at the endpoint too.
        """
        adopted = False
        try:
            adopted = self.adopter.adopt(session, sockets)
        finally:
            if not adopted:
                for each in sockets:
                    each.close()
            if session.number is not None:
                channel.send(encode(SessionReceived(session.number, adopted)))

    def _on_predecessor_disconnected(self) -> None:
        self._channel = None
        self.coordinator.request_ids.predecessor.clear()
        self.admission.set_predecessor_usage(0)
        if self._takeover is not None and not self._takeover.done():
            self._takeover.set_exception(ConnectionError("the predecessor closed the channel"))
