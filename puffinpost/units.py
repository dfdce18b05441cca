"""Units of time. All durations and points in time are integers in nanoseconds; these are larger units."""

from __future__ import annotations

MS = 1_000_000
"""Nanoseconds in a millisecond."""

S = 1_000 * MS
"""Nanoseconds in a second."""
