"""Keeps messages for one client, in order, until they are acknowledged, and resends them on a new connection.

The session owns the outbox. It reports acknowledgements, either of all messages up to a count
(``acknowledge``) or of one message (``release``), and new connections (``rewind``). The outbox never writes
to a connection.
"""

from __future__ import annotations

from collections import deque

from puffinpost.resumption.errors import AckError
from puffinpost.resumption.outbox_entry import OutboxEntry
from puffinpost.resumption.sequence import advance, distance
from puffinpost.resumption.snapshot import OutboxSnapshot

# How many messages are sent on a resumed connection before the first acknowledgement; each acknowledgement
# lets two more be sent. This bounds what is resent to a client that loses its connection repeatedly.
FIRST_WINDOW = 16


class Outbox:
    """The unacknowledged messages of one session."""

    def __init__(self, first: int = 0) -> None:
        self.acknowledged = first  # number of the last message up to which all are acknowledged
        self.octets = 0
        self.restored_sent_count = 0  # messages that the predecessor wrote on the current connection
        self._last_number = first
        self._sent: dict[int, OutboxEntry] = {}  # on the current connection, in order
        self._waiting: deque[OutboxEntry] = deque()
        self._window: int | None = None  # None: no limit, because all resent messages are acknowledged
        self._replay_count = 0  # how many of the waiting messages were sent before

    def __len__(self) -> int:
        """The number of unacknowledged messages."""
        return len(self._sent) + len(self._waiting)

    def entries(self) -> list[OutboxEntry]:
        """All messages, in order."""
        return [*self._sent.values(), *self._waiting]

    @property
    def replaying(self) -> bool:
        """Whether a message that was sent on an earlier connection is still waiting to be resent."""
        return self._replay_count > 0

    @property
    def is_window_full(self) -> bool:
        """Whether the window holds messages back, so that an acknowledgement should be requested."""
        return bool(self._waiting) and self._window is not None and len(self._sent) >= self._window

    def push(self, kind: str, data: bytes) -> OutboxEntry:
        """Adds a message."""
        self._last_number = advance(self._last_number)
        entry = OutboxEntry(self._last_number, kind, data)
        self._waiting.append(entry)
        self.octets += entry.size
        return entry

    def take_due(self, max_unacknowledged: int | None = None) -> list[OutboxEntry]:
        """Marks the messages that may be written now as sent, and returns them in order.

        ``max_unacknowledged`` is the receive maximum of MQTT 5.0 (4.9); None: there is no such limit.
        """
        waiting, sent, window = self._waiting, self._sent, self._window
        if not waiting:
            return []
        count = len(waiting)
        if max_unacknowledged is not None:
            count = min(count, max_unacknowledged - len(sent))
        if window is not None:
            count = min(count, window - len(sent))
        entries: list[OutboxEntry] = []
        for _ in range(count):
            entry = waiting.popleft()
            if entry.sends and self._replay_count:
                self._replay_count -= 1
            entry.sends += 1
            sent[entry.number] = entry
            entries.append(entry)
        return entries

    def acknowledge(self, count: int) -> list[OutboxEntry]:
        """Releases all messages up to a count. If it is invalid, raises ``AckError`` and changes nothing."""
        newly_acknowledged = distance(count, self.acknowledged)
        if not newly_acknowledged:
            return []
        # Messages that were sent on an earlier connection may be acknowledged even before they are resent.
        resendable = (
            [entry.number for entry in self._waiting if entry.sends]
            if newly_acknowledged > len(self._sent)
            else []
        )
        numbers = [*self._sent, *resendable][:newly_acknowledged]
        if len(numbers) < newly_acknowledged or numbers[-1] != count:
            last_sent = advance(self.acknowledged, len(self._sent) + len(resendable))
            raise AckError(
                f"{count} messages acknowledged, and {self.acknowledged} to {last_sent} is what can be"
            )
        return [entry for number in numbers if (entry := self.release(number)) is not None]

    def release(self, number: int) -> OutboxEntry | None:
        """Releases one sent message; returns None if it is no longer there (a repeated acknowledgement)."""
        entry = self._sent.pop(number, None)
        if entry is None and self._waiting and self._waiting[0].number == number and self._waiting[0].sends:
            entry = self._waiting.popleft()
            self._replay_count -= 1
        if entry is None:
            return None
        self.octets -= entry.size
        self.acknowledged = advance(self._first_unacknowledged(), -1)
        if self._window is not None:
            # Each acknowledgement removes one sent message, so growing the window by one lets two be sent.
            self._window = self._window + 1 if self.replaying else None
        return entry

    def _first_unacknowledged(self) -> int:
        first_sent = next(iter(self._sent), None)
        if first_sent is not None:
            return first_sent
        return self._waiting[0].number if self._waiting else advance(self._last_number)

    def rewind(self) -> None:
        """Prepares for a new connection: unacknowledged messages are sent again, before new ones."""
        self._waiting.extendleft(reversed(list(self._sent.values())))
        self._sent.clear()
        self._replay_count = sum(entry.sends > 0 for entry in self._waiting)
        self._window = FIRST_WINDOW if self._waiting else None

    def clear(self) -> int:
        """Drops all messages and returns their number."""
        dropped = len(self)
        self._sent.clear()
        self._waiting.clear()
        self.octets = self._replay_count = 0
        self.acknowledged, self._window = self._last_number, None
        return dropped

    # Hot restart.

    def snapshot(self) -> OutboxSnapshot:
        """The state that another process of this node needs to continue."""
        return OutboxSnapshot(self.acknowledged, self._last_number, len(self._sent), tuple(self.entries()))

    def restore_sent(self, sent_count: int) -> None:
        """Marks the first messages as sent: the connection on which they were written was handed over too."""
        for _ in range(min(sent_count, len(self._waiting))):
            entry = self._waiting.popleft()
            self._sent[entry.number] = entry
        self._window, self._replay_count = None, 0

    @classmethod
    def restore(cls, snapshot: OutboxSnapshot) -> Outbox:
        """Builds an outbox from a snapshot, with no message sent on a connection of this process."""
        outbox = cls()
        outbox.acknowledged, outbox._last_number = snapshot.acknowledged, snapshot.last_number
        outbox.restored_sent_count = snapshot.sent_count
        for entry in snapshot.entries:
            outbox._waiting.append(entry)
            outbox.octets += entry.size
        outbox.rewind()
        return outbox
