"""Errors that resumable sessions raise. Frontends translate them to their protocols."""

from __future__ import annotations

from enum import Enum

from puffinpost.errors import PuffinpostError


class RefusalReason(Enum):
    """Why a resumption was refused. Used for counters and never sent to the client."""

    UNKNOWN = "unknown"
    OTHER_USER = "foreign"
    ENDED = "ended"
    THROTTLED = "throttled"


class AckError(PuffinpostError):
    """An acknowledgement of messages that were never sent, or one that is lower than an earlier one."""


class RegistryFullError(PuffinpostError):
    """There is no capacity for another session."""


class ResumeError(PuffinpostError):
    """A resumption is refused.

    ``handled_count`` is how many of the client's messages were handled in the session. It is set only if the
    session belonged to this client and has ended.
    """

    def __init__(self, reason: RefusalReason, handled_count: int | None = None) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.handled_count = handled_count
