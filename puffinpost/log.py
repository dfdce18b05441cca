"""Lines for the people who run the node: plain prints to standard error, so many a second at most."""

from __future__ import annotations

import sys
import time
import traceback

MOST_PER_SECOND = 20
MOST_OFTEN = 5  # of these, what clients can cause at will: it must not crowd out what operators look for


class _Limit:
    second = 0
    said = 0
    often = 0
    dropped = 0


def say(text: str, often: bool = False) -> None:
    """Prints a line, unless this second has had its share; what was dropped is counted and told later."""
    second = int(time.monotonic())
    if second != _Limit.second:
        if _Limit.dropped:
            print(f"puffinpost: {_Limit.dropped} lines dropped", file=sys.stderr, flush=True)
        _Limit.second, _Limit.said, _Limit.often, _Limit.dropped = second, 0, 0, 0
    _Limit.said += 1
    _Limit.often += often
    if _Limit.said > MOST_PER_SECOND or (often and _Limit.often > MOST_OFTEN):
        _Limit.said -= 1
        _Limit.dropped += 1
        return
    print(f"puffinpost: {text}", file=sys.stderr, flush=True)


def say_exception(where: str) -> None:
    """Prints the exception that is being handled."""
    say(f"{where}: {traceback.format_exc(limit=-4)}")
