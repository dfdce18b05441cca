"""A resumable session, with or without a connection.

| state | event | next state |
|---|---|---|
| ATTACHED | the connection is lost | DETACHED |
| ATTACHED | another connection resumes the session | RESUMING, and the earlier connection is closed |
| DETACHED | a connection resumes the session | RESUMING |
| DETACHED | the grace period is over, or the capacity is needed | ENDED |
| RESUMING | all unacknowledged messages are resent | ATTACHED |
| RESUMING | the connection is lost | DETACHED |
| any | the client or the frontend closes the session | ENDED |

Invariants: a connection that was replaced cannot detach the session (``generation``); each unacknowledged
message is written once per connection, in order; ENDED is final.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from puffinpost.resumption.limits import ResumptionLimits
from puffinpost.resumption.outbox import Outbox
from puffinpost.resumption.outbox_entry import OutboxEntry
from puffinpost.resumption.sequence import advance
from puffinpost.resumption.snapshot import SessionSnapshot


class State(Enum):
    """The states of a session; the table above lists the transitions."""

    ATTACHED = "attached"
    DETACHED = "detached"
    RESUMING = "resuming"
    ENDED = "ended"


class EndReason(Enum):
    """Why a session ended."""

    DONE = "done"  # the client or the frontend closed it
    EXPIRED = "expired"  # the grace period was over
    EVICTED = "evicted"  # the capacity was needed
    REPLACED = "replaced"  # the client began a new session in its place


_TRANSITIONS: dict[State, frozenset[State]] = {
    State.ATTACHED: frozenset({State.DETACHED, State.RESUMING, State.ENDED}),
    State.DETACHED: frozenset({State.RESUMING, State.ENDED}),
    State.RESUMING: frozenset({State.ATTACHED, State.DETACHED, State.RESUMING, State.ENDED}),
    State.ENDED: frozenset(),
}


def ignore_size_change(octets: int) -> None:
    """Size callback of a session without a registry. ``octets`` is by how much the session grew."""


class SessionOwner(Protocol):
    """The interface of a frontend's session to the registry and the runtime."""

    @property
    def can_hand_over(self) -> bool:
        """Whether the session can ever be handed over to another process of this node."""

    def on_session_expired(self) -> None:
        """The grace period is over: ends the request under way."""

    def on_session_evicted(self) -> None:
        """The session's capacity is needed: ends the request under way."""

    def on_session_replaced(self) -> None:
        """The client begins a new session: ends this one and its request."""

    def release_to_successor(self) -> None:
        """Another process serves the session: closes the descriptors of this process."""


class ResumableSession:
    """A client's session with this node. The registry creates it, and a frontend drives it.

    ``user`` is the authenticated user; only this user may resume it. ``owner`` is the frontend's session.
    """

    __slots__ = (
        "owner",
        "on_size_changed",
        "token_digest",
        "expires_ns",
        "generation",
        "grace_ns",
        "limits",
        "name",
        "number",
        "outbox",
        "handled_count",
        "state",
        "user",
        "end_reason",
    )

    def __init__(self, number: int, user: str, name: str, limits: ResumptionLimits, grace_ns: int) -> None:
        self.number = number
        self.user = user
        self.name = name  # unique in the registry; empty if the session is found only by its token
        self.limits = limits
        self.grace_ns = grace_ns
        self.outbox = Outbox()
        self.handled_count = 0  # messages from the client; wraps at 2^32 (sequence.py)
        self.state = State.ATTACHED
        self.generation = 1  # number of the current connection
        self.expires_ns: int | None = None  # set while the session is detached
        self.token_digest = b""  # empty if the session has no token
        self.end_reason: EndReason | None = None
        self.owner: Any = None  # a SessionOwner, once a frontend has set it
        self.on_size_changed: Callable[[int], None] = ignore_size_change

    @property
    def has_connection(self) -> bool:
        """Whether there is a connection to write to."""
        return self.state in (State.ATTACHED, State.RESUMING)

    @property
    def is_full(self) -> bool:
        """Whether no more messages for the client should be accepted for now."""
        outbox = self.outbox
        return len(outbox) >= self.limits.messages or outbox.octets >= self.limits.octets

    @property
    def has_capacity(self) -> bool:
        """Whether a session that was full may accept messages again: at half its limits (hysteresis)."""
        outbox = self.outbox
        return 2 * len(outbox) <= self.limits.messages and 2 * outbox.octets <= self.limits.octets

    def count_handled(self, count: int = 1) -> None:
        """Records that messages of the client were handled, so that it need not send them again."""
        self.handled_count = advance(self.handled_count, count)

    def push(self, kind: str, data: bytes) -> OutboxEntry | None:
        """Adds a message for the client; returns None if the session has ended."""
        if self.state is State.ENDED:
            return None
        entry = self.outbox.push(kind, data)
        self.on_size_changed(entry.size)
        return entry

    def take_due(self, max_unacknowledged: int | None = None) -> list[OutboxEntry]:
        """Marks the messages that may be written now as sent, and returns them; none without a connection."""
        if not self.has_connection:
            return []
        entries = self.outbox.take_due(max_unacknowledged)
        if self.state is State.RESUMING and not self.outbox.replaying:
            self._transition(State.ATTACHED)
        return entries

    def acknowledge(self, count: int) -> list[OutboxEntry]:
        """Releases all messages up to the count that the client acknowledges. Raises ``AckError``."""
        before = self.outbox.octets
        released = self.outbox.acknowledge(count)
        self.on_size_changed(self.outbox.octets - before)
        return released

    def release(self, number: int) -> OutboxEntry | None:
        """Releases the message that the client acknowledges."""
        before = self.outbox.octets
        entry = self.outbox.release(number)
        self.on_size_changed(self.outbox.octets - before)
        return entry

    def attach(self) -> int:
        """Attaches a new connection and returns its generation."""
        self._transition(State.RESUMING)
        self.generation += 1
        self.expires_ns = None
        self.outbox.rewind()
        if not self.outbox.replaying:
            self._transition(State.ATTACHED)
        return self.generation

    def detach(self, generation: int, now: int) -> bool:
        """Detaches a lost connection. False if the session has another connection by now, or has ended."""
        if generation != self.generation or not self.has_connection:
            return False
        self._transition(State.DETACHED)
        self.expires_ns = now + self.grace_ns
        return True

    def end(self, reason: EndReason) -> int:
        """Ends the session and returns the number of dropped messages."""
        self._transition(State.ENDED)
        self.end_reason, self.expires_ns = reason, None
        before = self.outbox.octets
        dropped = self.outbox.clear()
        self.on_size_changed(-before)
        return dropped

    # Hot restart.

    def on_connection_adopted(self) -> None:
        """Marks messages as sent that the predecessor wrote on the connection that was handed over."""
        self.outbox.restore_sent(self.outbox.restored_sent_count)

    def snapshot(self) -> SessionSnapshot:
        """The state that another process of this node needs to continue."""
        return SessionSnapshot(
            user=self.user,
            name=self.name,
            grace_ns=self.grace_ns,
            handled_count=self.handled_count,
            token_digest=self.token_digest,
            outbox=self.outbox.snapshot(),
            expires_ns=self.expires_ns,
        )

    def _transition(self, state: State) -> None:
        if state not in _TRANSITIONS[self.state]:
            raise AssertionError(
                f"session {self.number}: no transition from {self.state.value} to {state.value}"
            )
        self.state = state
