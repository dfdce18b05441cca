"""Limits of a node's resumable sessions, read from the settings file and enforced by the registry."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResumptionLimits:
    """Times are in nanoseconds, sizes in bytes."""

    grace_ns: int = 30_000_000_000  # how long a session is kept without a connection; 0: not at all
    sessions: int = 2000  # with and without a connection
    sessions_per_user: int = 200
    messages: int = 256  # unacknowledged, per session
    octets: int = 65_536  # total size of the unacknowledged messages, per session
    total_octets: int = 16 * 1024 * 1024  # the same for all sessions together
    refusals_per_minute: int = 20  # failed resumptions per client address
