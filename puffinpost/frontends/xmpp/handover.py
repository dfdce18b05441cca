"""The state of an XMPP session that a process of the node hands over to its successor.

The keys on the handover channel differ from the field names here; only this module knows both.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from puffinpost.resumption.snapshot import SessionSnapshot

KIND = "xmpp"


@dataclass(frozen=True, slots=True)
class XmppSessionState:
    """A session without a connection and without a request under way."""

    resumable: SessionSnapshot
    bound_jid: str

    def to_message(self) -> dict[str, Any]:
        """The state with the keys of the handover channel."""
        return {"kind": KIND, "session": self.resumable.to_message(), "bound": self.bound_jid}

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> XmppSessionState:
        """Parses the output of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        return cls(SessionSnapshot.from_message(message["session"]), str(message["bound"]))
