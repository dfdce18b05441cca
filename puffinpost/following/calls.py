"""One node's calls to discovery, one after another, as a machine without I/O.

The protocol page (Discovery) has three things to keep here:

- A watch goes on if its next call comes within 200 ms of the last answer, and what changes in between counts
  as told. So after an answer the next call comes at once, whatever the fleet's size; nobody rests there.
- What discovery has to tell counts as told 6 s after a call, or 2 s after a call's wait is over, whether it
  arrived or not. So after a call that no word came back from, the next one comes at once too.
- A node that neither watches nor asks for ``Rules.AskWithinNs`` counts as told what was true then; after a
  call that failed, for four times that. So only after a failure is there a rest, and `Asking` says how long.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

WAIT_MS = 20_000
GOES_ON_NS = 200_000_000  # a watch goes on where the next call comes within this of the last answer
# Guards against a discovery that has vanished without a word: a call that outlasts its wait by this is given
# up. What it had to tell counts as told 2 s after the wait, so there must be time left for another call.
OVERTIME_NS = 1_000_000_000
WHOLE_NS = 2_500_000_000  # for the whole list: discovery works through calls in turn and gives up after 2 s
# Guards against an agent that answers each watch at once though nothing changed: with this between the calls
# the watch still goes on.
PACE_NS = GOES_ON_NS // 2


class End(Enum):
    """How a call ended without an answer."""

    UNREACHED = "no connection"  # no call was made: what was asked last counts
    SILENT = "no word in time"
    OVERRUN = "overrun"  # 503: it waited too long in turn
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to make. ``after``: the version to wait beyond, None for the whole list; ``limit_ns``: how long
    until it is given up.
    """

    after: int | None
    wait_ms: int
    limit_ns: int


class Following:
    """The next call, by how the ones before it ended.

    ``shares``: the fleet is so large that its calls have to be shared out, so a watch is preferred to the
    whole list, which costs discovery more. ``known``: the node was started with a list.
    """

    __slots__ = ("shares", "whole")

    def __init__(self, shares: bool, known: bool) -> None:
        self.shares = shares
        # Guards against a discovery that counts anew, or that another one has taken the place of: what is
        # newer than a version of the old one's would be waited for in vain. The whole list starts over. So it
        # does at the start: a watch would tell only of what is newer than what this node was started with.
        # In a fleet that has to share its calls out that is enough, and half the calls.
        self.whole = not (shares and known)

    def call(self, index: int) -> Call:
        """The next call, where ``index`` is the version of the list at hand."""
        if self.whole:
            return Call(None, 0, WHOLE_NS)
        return Call(index, WAIT_MS, WAIT_MS * 1_000_000 + OVERTIME_NS)

    def answered(self, news: bool, took_ns: int) -> int:
        """A list came; how long to wait before the next call, in ns: never so long that the watch ends.

        ``news``: it named a transcriber; ``took_ns``: since the call.
        """
        early = not news and not self.whole and took_ns < PACE_NS
        self.whole = False
        return PACE_NS if early else 0

    def ended(self, how: End) -> bool:
        """A call ended without an answer; whether the next one comes at once, or after a rest."""
        # One that is overrun counts on as before, and a whole list costs it more.
        if not (self.shares and how is End.OVERRUN):
            self.whole = True
        return how is End.SILENT

    def redirected(self) -> None:
        """Another discovery is asked from now on; it may count otherwise."""
        self.whole = True
