"""Owns all resumable sessions: issues their tokens, enforces their limits, and resumes and ends them.

A session is found by its token, of which only a digest is kept, or by a name that its protocol gives it (an
MQTT client identifier). Either way only the user who began the session may resume it. A refusal reveals
nothing about a session, except to the owner of one that has ended.
"""

from __future__ import annotations

import hashlib
import heapq
import hmac
import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from puffinpost.resumption.errors import AckError, RefusalReason, RegistryFullError, ResumeError
from puffinpost.resumption.limits import ResumptionLimits
from puffinpost.resumption.outbox import Outbox
from puffinpost.resumption.rate_limit import ResumptionRateLimit
from puffinpost.resumption.session import EndReason, ResumableSession, State, ignore_size_change
from puffinpost.resumption.snapshot import SessionSnapshot

TOKEN_BYTES = 24  # 192 random bits
MAX_ENDED_SESSIONS = 4096  # ended sessions whose tokens are remembered
MAX_TOKEN_LENGTH = 128


@dataclass(frozen=True, slots=True)
class _EndedSession:
    user: str
    handled_count: int


class SessionRegistry:
    """All resumable sessions of a node. Times are in nanoseconds and come from one clock."""

    def __init__(
        self,
        limits: ResumptionLimits,
        count: Callable[[str], None] = lambda _name: None,
        random: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self.limits = limits
        self.sessions: dict[int, ResumableSession] = {}
        self.octets = 0  # in the outboxes of all sessions
        self._count = count
        self._random = random
        self._last_number = 0
        self._by_name: dict[str, ResumableSession] = {}
        self._by_token_digest: dict[bytes, ResumableSession] = {}
        self._ended: OrderedDict[bytes, _EndedSession] = OrderedDict()
        self._sessions_per_user: dict[str, int] = {}
        self._failed_attempts = ResumptionRateLimit(limits.refusals_per_minute)
        self._expiry_heap: list[tuple[int, int]] = []  # (time of the check, session number)
        self._next_expiry_checks: dict[int, int] = {}  # the earliest check of each session, by number
        self._detached: OrderedDict[int, ResumableSession] = OrderedDict()  # in the order of detaching

    # New and restored sessions.

    def begin(self, user: str, name: str = "", grace_ns: int | None = None) -> ResumableSession:
        """Creates an attached session. Raises ``RegistryFullError``; ``ValueError`` if the name is in use."""
        if name and name in self._by_name:
            raise ValueError(f"session name {name!r} is in use")
        if self._sessions_per_user.get(user, 0) >= self.limits.sessions_per_user:
            self._count("edge_full_user")
            raise RegistryFullError
        if len(self.sessions) >= self.limits.sessions and not self._evict_oldest_detached():
            self._count("edge_full")
            raise RegistryFullError
        self._last_number += 1
        grace = self.limits.grace_ns if grace_ns is None else min(grace_ns, self.limits.grace_ns)
        session = ResumableSession(self._last_number, user, name, self.limits, grace)
        self._register(session)
        self._count("edge_begun")
        return session

    def restore(self, snapshot: SessionSnapshot) -> ResumableSession:
        """Creates an attached session from one that another process of this node has handed over.

        Raises ``ValueError`` if its name is in use: the client has already begun a new session here.
        """
        if snapshot.name and snapshot.name in self._by_name:
            raise ValueError(f"session name {snapshot.name!r} is in use")
        self._last_number += 1
        grace_ns = min(snapshot.grace_ns, self.limits.grace_ns)
        session = ResumableSession(self._last_number, snapshot.user, snapshot.name, self.limits, grace_ns)
        session.handled_count = snapshot.handled_count
        session.outbox = Outbox.restore(snapshot.outbox)
        session.token_digest = snapshot.token_digest
        self._register(session)
        if session.token_digest:
            self._by_token_digest[session.token_digest] = session
        self._count("edge_restored")
        self._on_size_changed(session.outbox.octets)
        return session

    def resume_grace_period(self, session: ResumableSession, snapshot: SessionSnapshot, now: int) -> None:
        """Detaches a restored session that had no connection, for the rest of its grace period.

        Raises ``ValueError`` if the snapshot has no ``expires_ns``.
        """
        if snapshot.expires_ns is None:
            raise ValueError("the snapshot of a detached session has no expires_ns")
        remaining_ns = max(0, snapshot.expires_ns - now)
        self.detach(session, session.generation, now - (session.grace_ns - remaining_ns))

    def detach_to_successor(self, session: ResumableSession) -> None:
        """Removes a session that another process of this node serves from now on."""
        self._count("edge_let_go")
        self._on_size_changed(-session.outbox.octets)
        self._by_token_digest.pop(session.token_digest, None)
        self._unregister(session)
        session.on_size_changed = ignore_size_change

    def _register(self, session: ResumableSession) -> None:
        session.on_size_changed = self._on_size_changed
        self.sessions[session.number] = session
        self._sessions_per_user[session.user] = self._sessions_per_user.get(session.user, 0) + 1
        if session.name:
            self._by_name[session.name] = session

    def issue_token(self, session: ResumableSession) -> str:
        """Issues a new token for a session and revokes an earlier one. Only the digest is kept."""
        self._by_token_digest.pop(session.token_digest, None)
        token = self._random(TOKEN_BYTES).hex()
        session.token_digest = _digest(token)
        self._by_token_digest[session.token_digest] = session
        return token

    # Resumption.

    def find_by_name(self, name: str, user: str) -> ResumableSession | None:
        """Returns the session with this name if it belongs to this user."""
        session = self._by_name.get(name)
        return session if session is not None and _equal_in_constant_time(session.user, user) else None

    def find_by_token(self, token: str, user: str, address: str, now: int) -> ResumableSession:
        """Returns the session with this token if this user began it. Raises ``ResumeError`` otherwise.

        The lookup uses the token's digest, so its duration does not reveal how much of an invalid token is
        correct. For the same reason the user is compared whether or not there is a session.
        """
        if not self._failed_attempts.is_allowed(address, now):
            raise self._refusal(RefusalReason.THROTTLED)
        digest = _digest(token[:MAX_TOKEN_LENGTH])
        session, ended = self._by_token_digest.get(digest), self._ended.get(digest)
        found = session if session is not None else ended
        owner = found.user if found is not None else ""
        is_owner = _equal_in_constant_time(owner, user)
        if session is not None and is_owner:
            return session
        if ended is not None and is_owner:
            raise self._refusal(RefusalReason.ENDED, ended.handled_count)
        self._failed_attempts.record_failure(address, now)
        raise self._refusal(RefusalReason.UNKNOWN if found is None else RefusalReason.OTHER_USER)

    def _refusal(self, reason: RefusalReason, handled_count: int | None = None) -> ResumeError:
        self._count(f"edge_refused_{reason.value}")
        return ResumeError(reason, handled_count)

    def attach(self, session: ResumableSession, acknowledged: int | None = None) -> int:
        """Attaches a connection to a session, even to an attached one; returns the connection's generation.

        ``acknowledged`` is the client's count of received messages. If it is invalid, raises ``AckError`` and
        changes nothing.
        """
        if acknowledged is not None:
            try:
                session.acknowledge(acknowledged)
            except AckError:
                self._count("edge_bad_acks")
                raise
        self._count("edge_taken_over" if session.has_connection else "edge_resumed")
        self._detached.pop(session.number, None)
        return session.attach()

    def detach(self, session: ResumableSession, generation: int, now: int) -> bool:
        """Detaches a lost connection. False if the session has another connection by now, or has ended."""
        if not session.detach(generation, now):
            return False
        self._count("edge_detached")
        self._detached[session.number] = session
        self._schedule_expiry(session)
        return True

    def _schedule_expiry(self, session: ResumableSession) -> None:
        """Adds the session to the heap, unless an earlier check of it is already scheduled.

        This bounds the heap when a session is detached and resumed repeatedly.
        """
        expires_ns = session.expires_ns
        if expires_ns is None:
            return
        scheduled_ns = self._next_expiry_checks.get(session.number)
        if scheduled_ns is None or expires_ns < scheduled_ns:
            self._next_expiry_checks[session.number] = expires_ns
            heapq.heappush(self._expiry_heap, (expires_ns, session.number))

    # The end of sessions.

    def end(self, session: ResumableSession, reason: EndReason = EndReason.DONE) -> None:
        """Ends a session and frees its capacity. Its token's digest is kept among the latest ended ones."""
        if session.state is State.ENDED:
            return
        dropped = session.end(reason)
        self._count(f"edge_ended_{reason.value}")
        for _ in range(dropped):
            self._count("edge_unread")
        self._unregister(session)
        if session.token_digest:
            self._by_token_digest.pop(session.token_digest, None)
            self._ended[session.token_digest] = _EndedSession(session.user, session.handled_count)
            if len(self._ended) > MAX_ENDED_SESSIONS:
                self._ended.popitem(last=False)

    def _unregister(self, session: ResumableSession) -> None:
        del self.sessions[session.number]
        self._detached.pop(session.number, None)
        if self._by_name.get(session.name) is session:
            del self._by_name[session.name]
        remaining = self._sessions_per_user[session.user] - 1
        if remaining:
            self._sessions_per_user[session.user] = remaining
        else:
            del self._sessions_per_user[session.user]

    def expire(self, now: int) -> list[ResumableSession]:
        """Ends the sessions whose grace period is over and returns them; the caller notifies their owners."""
        expired: list[ResumableSession] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            check_ns, number = heapq.heappop(self._expiry_heap)
            if self._next_expiry_checks.get(number) == check_ns:
                del self._next_expiry_checks[number]
            session = self.sessions.get(number)
            if session is None or session.expires_ns is None:
                continue  # the session has ended or was resumed
            if session.expires_ns <= now:
                self.end(session, EndReason.EXPIRED)
                expired.append(session)
            else:
                self._schedule_expiry(session)  # the session was resumed and detached again since
        return expired

    def next_expiry_check_ns(self) -> int | None:
        """When ``expire`` is to be called next; None if no check is scheduled."""
        return self._expiry_heap[0][0] if self._expiry_heap else None

    @property
    def detached_count(self) -> int:
        """The number of sessions without a connection."""
        return len(self._detached)

    def _evict_oldest_detached(self) -> bool:
        """Ends the session that has been detached for longest; False if no session is detached."""
        session = next(iter(self._detached.values()), None)
        if session is None:
            return False
        self.end(session, EndReason.EVICTED)
        if session.owner is not None:
            session.owner.on_session_evicted()
        return True

    def _on_size_changed(self, octets: int) -> None:
        """Bounds the memory of all sessions by evicting detached ones; attached ones have their own limit."""
        self.octets += octets
        while octets > 0 and self.octets > self.limits.total_octets and self._evict_oldest_detached():
            pass


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "replace")).digest()


def _equal_in_constant_time(one: str, other: str) -> bool:
    return hmac.compare_digest(one.encode(), other.encode())
