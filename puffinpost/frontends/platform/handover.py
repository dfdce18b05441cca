"""The state of an established platform session, as it is handed to the successor in a hot restart.

The keys on the handover channel differ from the field names here; only this module has both.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from puffinpost.protocol.lines import LineKind, LineSplitter


@dataclass(frozen=True, slots=True)
class PlatformUpstreamState:
    """The upstream's incomplete line, and the kind of its final line if it has sent one."""

    incomplete_line: bytes
    last_line_kind: LineKind

    def to_message(self) -> dict[str, Any]:
        """Returns the state under the keys of the handover channel."""
        return {"south": self.incomplete_line.hex(), "last": self.last_line_kind.name}

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> PlatformUpstreamState:
        """Parses the result of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        return cls(bytes.fromhex(message["south"]), LineKind[message["last"]])


@dataclass(frozen=True, slots=True)
class PlatformSessionState:
    """The client's incomplete line, and the state of the upstream."""

    incomplete_line: bytes
    upstream: PlatformUpstreamState

    def to_message(self) -> dict[str, Any]:
        """Returns the state under the keys of the handover channel."""
        return {"north": self.incomplete_line.hex(), **self.upstream.to_message()}

    @classmethod
    def from_message(cls, message: Mapping[str, Any]) -> PlatformSessionState:
        """Parses the result of ``to_message``. Raises ``KeyError``, ``TypeError`` or ``ValueError``."""
        return cls(bytes.fromhex(message["north"]), PlatformUpstreamState.from_message(message))


def restore_incomplete_line(splitter: LineSplitter, incomplete_line: bytes) -> None:
    """Feeds a new splitter the beginning of a line, which the predecessor had read."""
    for _ in splitter.feed(incomplete_line):
        pass  # the predecessor has forwarded all complete lines
