"""The sessions that a process has sent to its successor and that the successor has not answered for yet.

The sender of a handover owns it. Nobody reads the sockets of such a session: the successor does so from its
answer on, and this process continues the session if there is none.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from puffinpost.net.handover_channel import close_sockets
from puffinpost.observability import log
from puffinpost.runtime.handover_messages import SessionMessage, SessionReceived


class _SentSession(NamedTuple):
    message: SessionMessage
    sockets: list[socket.socket]


class UnacknowledgedSessions:
    """Keeps duplicates of the sockets until the successor's answer. ``restore`` continues a session here."""

    def __init__(self, restore: Callable[[SessionMessage, list[socket.socket]], bool]) -> None:
        self._restore = restore
        self._sent: dict[int, _SentSession] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._sent)

    def add(self, message: SessionMessage, sockets: Sequence[socket.socket]) -> int:
        """Records a session that is about to be sent; returns its number."""
        number = next(self._numbers)
        self._sent[number] = _SentSession(message, [each.dup() for each in sockets])
        return number

    def on_answer(self, answer: SessionReceived) -> None:
        """Handles the successor's answer: it owns the session, or this process continues it."""
        sent = self._sent.pop(answer.number, None)
        if sent is None:
            return
        if answer.adopted:
            close_sockets(sent.sockets)
        else:
            self._continue(sent)

    def restore_all(self) -> int:
        """Continues all sessions here, because the successor has failed; returns how many."""
        sent, self._sent = list(self._sent.values()), {}
        for each in sent:
            self._continue(each)
        return len(sent)

    def _continue(self, sent: _SentSession) -> None:
        restored = False
        try:
            restored = self._restore(sent.message, sent.sockets)
        except Exception:  # noqa: BLE001 (boundary: a defect with one session must not end the others)
            log.exception("hot restart: session not continued")
        if not restored:
            close_sockets(sent.sockets)
