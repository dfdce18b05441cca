"""Which endpoints may receive new work: discovery's endpoint list and the operators' bans, together.

The coordinator updates it before it passes the same change to the balancer. It does not track load,
health or attempts.
"""

from __future__ import annotations

from typing import Any

from puffinpost.balancing.events import EndpointBanChanged, EndpointListUpdate
from puffinpost.balancing.settings import EndpointId
from puffinpost.discovery.endpoint_list import EndpointList


class EndpointDirectory:
    """The endpoint list and the bans in force."""

    __slots__ = ("banned", "endpoint_list", "has_list", "is_current")

    def __init__(self, endpoint_list: EndpointList) -> None:
        self.endpoint_list = endpoint_list
        self.banned: dict[str, int] = {}  # endpoint name -> time of the ban, ns
        self.has_list = False
        self.is_current = False  # discovery itself has answered since the start of the process

    def apply_list(self, answer: dict[str, Any], cached: bool) -> EndpointListUpdate:
        """Applies discovery's answer. Raises ``EndpointListError``, with no effect, if it is not a list."""
        update = self.endpoint_list.apply(answer, cached)
        self.has_list = True
        self.is_current = self.is_current or not cached
        return update

    def apply_predecessor_list(self, answer: dict[str, Any], is_current: bool) -> EndpointListUpdate | None:
        """Applies the list of the process that this one replaces; returns None if it changes nothing.

        ``is_current``: discovery itself had told it. What discovery has told this process is newer, but does
        not undo a drain in a later version of the list. Raises ``EndpointListError`` if it is not a list.
        """
        if not self.is_current:
            update = self.apply_list(answer, cached=True)
            self.is_current = is_current
            return update
        index = answer.get("index")
        if not isinstance(index, int) or index <= self.endpoint_list.index:
            return None
        return self.endpoint_list.merge_unavailable(answer)

    def apply_bans(self, banned: dict[str, int]) -> list[EndpointBanChanged]:
        """Replaces the bans; returns the changes, in the order of the endpoints' names."""
        before, self.banned = self.banned, dict(banned)
        return [
            EndpointBanChanged(self.endpoint_list.identify(name), name in banned, banned.get(name, 0))
            for name in sorted(before.keys() | banned.keys())
            if (name in before) != (name in banned)
        ]

    def accepts_new_work(self, endpoint: EndpointId) -> bool:
        """Whether an endpoint is ready by the endpoint list and not banned."""
        return (
            self.endpoint_list.accepts_new_work(endpoint)
            and self.endpoint_list.name(endpoint) not in self.banned
        )
