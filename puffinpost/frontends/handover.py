"""The state that a frontend's session hands to the successor during a hot restart.

The sessions build it, the runtime sends it. The keys of the messages are fixed: the other process may be of
an earlier version.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from puffinpost.net.connection import Connection


class SessionHandover(NamedTuple):
    """A session's state as a JSON-compatible message, and its connections, the client's first."""

    message: dict[str, Any]
    connections: list[Connection]
