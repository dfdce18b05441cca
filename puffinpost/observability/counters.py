"""Counters of what a node receives, sends and answers.

Every part of the node adds to them; the runtime logs them at exit, on SIGUSR1, and at a configured interval.
"""

from __future__ import annotations

from collections import Counter


class Counters:
    """Holds counts by name; a name that was never counted has the count 0."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds an amount to the count of a name."""
        self._counts[name] += amount

    def get(self, name: str) -> int:
        """Returns the count of a name."""
        return self._counts[name]

    def text(self) -> str:
        """Returns all counts on one line, sorted by name, or "none" if there are none."""
        return " ".join(f"{name}={count}" for name, count in sorted(self._counts.items())) or "none"
