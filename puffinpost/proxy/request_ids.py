"""The client request ids in use, in this process and in the predecessor that hands its connections over.

The exchange table claims and releases ids; the hot restart sets those of the predecessor and listens for
releases. An id is never in use twice.
"""

from __future__ import annotations

from collections.abc import Callable

from puffinpost.errors import PuffinpostError


class DuplicateRequestError(PuffinpostError, ValueError):
    """A request has the id of another request that has not ended."""

    def __init__(self, request_id: int) -> None:
        super().__init__("the id is that of a message that has not ended")
        self.request_id = request_id


class RequestIds:
    """Request ids in use."""

    __slots__ = ("active", "predecessor", "release_listeners")

    def __init__(self) -> None:
        self.active: set[int] = set()
        self.predecessor: set[int | None] = set()  # in use in the process that this process replaces
        self.release_listeners: list[Callable[[int], None]] = []

    def claim(self, request_id: int) -> None:
        """Marks an id as in use. Raises ``DuplicateRequestError`` if it is in use already.

        With two attempts for one id, an endpoint's response could not be assigned to either.
        """
        if request_id in self.active or request_id in self.predecessor:
            raise DuplicateRequestError(request_id)
        self.active.add(request_id)

    def release(self, request_id: int) -> None:
        """Marks an id as free, and notifies the listeners."""
        self.active.discard(request_id)
        for notify in self.release_listeners:
            notify(request_id)
