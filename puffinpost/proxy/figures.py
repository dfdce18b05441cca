"""Names of the proxy's counters, and the final answers and outcomes that they count.

Tools outside the program read the names, so they must not change. Where the code uses another term, the
tables here map it to the counter's name.
"""

from __future__ import annotations

from enum import StrEnum

from puffinpost.balancing.events import AttemptResult


class FinalAnswer(StrEnum):
    """How an exchange was completed. The value is the name of its counter."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "gone"


class ClassOutcome(StrEnum):
    """The outcome of a request, counted by request class. The value is the prefix of the counter's name."""

    FULFILLED = "fulfilled"
    THROTTLED = "throttled"
    FAULTED = "faulted"


OUTCOME_OF_ANSWER = {
    FinalAnswer.REJECTED: ClassOutcome.THROTTLED,
    FinalAnswer.FAILED: ClassOutcome.FAULTED,
}

RESULT_NAMES = {
    AttemptResult.ERROR: "error",
    AttemptResult.SERVED: "served",
    AttemptResult.REJECTED: "rejected",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.SUPERSEDED: "moot",
}


def attempt_counter(result: AttemptResult) -> str:
    """The counter of attempts that ended with this result."""
    return f"relay_{RESULT_NAMES[result]}"


def health_check_counter(result: AttemptResult) -> str:
    """The counter of health checks that ended with this result."""
    return f"probe_{RESULT_NAMES[result]}"
