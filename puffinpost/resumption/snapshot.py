"""The state of a session that a process of the node hands over to its successor.

The outbox and the session create and restore it. The keys on the handover channel differ from the field names
here; only this module knows both.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from puffinpost.resumption.outbox_entry import OutboxEntry


@dataclass(frozen=True, slots=True)
class OutboxSnapshot:
    """The unacknowledged messages of a session."""

    acknowledged: int
    last_number: int
    sent_count: int  # how many of the first entries were written on the current connection
    entries: tuple[OutboxEntry, ...]

    def to_message(self) -> dict[str, Any]:
        """The state with the keys of the handover channel."""
        return {
            "acknowledged": self.acknowledged,
            "last": self.last_number,
            "out": self.sent_count,
            "entries": [[entry.number, entry.kind, entry.data.hex(), entry.sends] for entry in self.entries],
        }

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> OutboxSnapshot:
        """Parses the output of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        entries = tuple(
            OutboxEntry(int(number), str(kind), bytes.fromhex(data), int(sends))
            for number, kind, data, sends in message["entries"]
        )
        return cls(int(message["acknowledged"]), int(message["last"]), int(message.get("out", 0)), entries)


@dataclass(frozen=True, slots=True)
class SessionSnapshot:
    """A session without its connection and without its number in the registry."""

    user: str
    name: str
    grace_ns: int
    handled_count: int
    token_digest: bytes
    outbox: OutboxSnapshot
    expires_ns: int | None  # None if the session has a connection

    def to_message(self) -> dict[str, Any]:
        """The state with the keys of the handover channel."""
        return {
            "user": self.user,
            "name": self.name,
            "grace_ns": self.grace_ns,
            "received": self.handled_count,
            "digest": self.token_digest.hex(),
            "outbox": self.outbox.to_message(),
            "expires_ns": self.expires_ns,
        }

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> SessionSnapshot:
        """Parses the output of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        expires_ns = message["expires_ns"]
        return cls(
            str(message["user"]),
            str(message["name"]),
            int(message["grace_ns"]),
            int(message["received"]),
            bytes.fromhex(message["digest"]),
            OutboxSnapshot.from_message(message["outbox"]),
            None if expires_ns is None else int(expires_ns),
        )
