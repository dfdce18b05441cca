"""Writes log lines to standard error, as text or as JSON, and limits their number per second.

Each line is an event dictionary, a message with fields, that passes through structlog processors. structlog
itself runs only for JSON; plain text does not import it, because a starting process competes with the process
that it replaces. Lines that clients or a repeated failure can trigger at will have a lower limit of their
own, so that they cannot crowd out other lines.
"""

from __future__ import annotations

import contextlib
import sys
import time
import traceback
from collections.abc import Callable, MutableMapping
from typing import Any

import orjson

from puffinpost.errors import PuffinpostError

MAX_LINES_PER_SECOND = 20
MAX_HIGH_VOLUME_LINES_PER_SECOND = 5  # part of MAX_LINES_PER_SECOND; see `info`
HIGH_VOLUME = "high_volume"  # the field that marks such a line; it is not printed
TEXT, JSON = "text", "json"  # the formats, as named in the configuration file

Event = MutableMapping[str, Any]


class LineDroppedError(PuffinpostError):
    """The line exceeds the limit of its second."""


class RateLimit:
    """Drops lines above the limit; the first line of the next second reports how many were dropped."""

    def __init__(
        self,
        max_lines: int = MAX_LINES_PER_SECOND,
        max_high_volume_lines: int = MAX_HIGH_VOLUME_LINES_PER_SECOND,
    ) -> None:
        self.max_lines = max_lines
        self.max_high_volume_lines = max_high_volume_lines
        self._second = 0
        self._lines = self._high_volume_lines = self._dropped = 0

    def __call__(self, _logger: Any, _method: str, event: Event) -> Event:
        """Returns the event, or raises ``LineDroppedError`` if it exceeds the limit."""
        high_volume = bool(event.pop(HIGH_VOLUME, False))
        self._begin_second(event)
        limit_reached = self._lines >= self.max_lines
        high_volume_limit_reached = high_volume and self._high_volume_lines >= self.max_high_volume_lines
        if limit_reached or high_volume_limit_reached:
            self._dropped += 1 + event.get("dropped", 0)
            raise LineDroppedError
        self._lines += 1
        self._high_volume_lines += high_volume
        return event

    def _begin_second(self, event: Event) -> None:
        """Resets the counts in a new second, whose first event reports the lines dropped before."""
        second = int(time.monotonic())
        if second == self._second:
            return
        self._second, self._lines, self._high_volume_lines = second, 0, 0
        dropped, self._dropped = self._dropped, 0
        if dropped:
            event["dropped"] = dropped


def as_text(_logger: Any, _method: str, event: Event) -> str:
    """Formats an event as one line of text: the message, then its fields."""
    message = str(event.pop("event"))
    dropped = event.pop("dropped", 0)
    fields = "".join(f" {name}={value}" for name, value in event.items())
    notice = f"puffinpost: {dropped} lines dropped\n" if dropped else ""
    return f"{notice}puffinpost: {message}{fields}"


def as_json(_logger: Any, _method: str, event: Event) -> str:
    """Formats an event as one JSON object, with the time in Unix milliseconds."""
    return orjson.dumps({"time_ms": time.time_ns() // 1_000_000, **event}, default=str).decode()


class _Stderr:
    """Writes lines to ``sys.stderr``, which is looked up for each line, because tests replace it."""

    def msg(self, line: str) -> None:
        print(line, file=sys.stderr, flush=True)


def _text_writer() -> Callable[[dict[str, Any]], None]:
    rate_limit, stderr = RateLimit(), _Stderr()
    return lambda event: stderr.msg(as_text(None, "msg", rate_limit(None, "msg", event)))


def _json_writer() -> Callable[[dict[str, Any]], None]:
    import structlog

    class JsonLogger(structlog.BoundLoggerBase):
        def write(self, event: str, **fields: Any) -> None:
            self._proxy_to_logger("msg", event, **fields)

    logger = structlog.wrap_logger(_Stderr(), processors=[RateLimit(), as_json], wrapper_class=JsonLogger)
    return lambda event: logger.write(**event)


_write = _text_writer()
_format = TEXT


def configure(log_format: str = TEXT) -> None:
    """Sets the format of lines, ``TEXT`` or ``JSON``, and resets the rate limit."""
    global _write, _format
    _write = _json_writer() if log_format == JSON else _text_writer()
    _format = log_format


def info(text: str, high_volume: bool = False, **fields: Any) -> None:
    """Writes a line, unless it exceeds the rate limit.

    ``high_volume`` marks a line that clients or a repeated failure can trigger at will.
    """
    with contextlib.suppress(LineDroppedError):
        _write({"event": text, HIGH_VOLUME: high_volume, **fields})


def format_peer(peer: tuple[str, int]) -> str:
    """Formats a peer's address as it appears in log lines."""
    return f"{peer[0]}:{peer[1]}"


def trace(text: str) -> None:
    """Writes a line of a request's trace, without a rate limit, because tracing is off by default."""
    event = {"event": text}
    _Stderr().msg(as_json(None, "msg", event) if _format == JSON else as_text(None, "msg", event))


def exception(context: str) -> None:
    """Writes the traceback of the exception that is being handled, after a few words of context."""
    info(f"{context}: {traceback.format_exc(limit=-4)}")
