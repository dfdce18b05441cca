"""Decides a node's next call to discovery from the results of its earlier calls.

`net/discovery_client` and the emulator make the calls and report their results; this module does no I/O. Its
limits come from the documentation (the protocol page, Discovery; the standing page):

- A watch is continuous if its next call is made within 200 ms of the last answer; changes in between count
  as known to the node. So the next call follows an answer at once, whatever the size of the fleet.
- A watch without an answer is broken. The changes that it misses count as known 2 s after the wait of its
  call has ended, whether they arrived or not, and in any case 6 s after discovery had them. So a call waits
  at most 4 s, times out well before the 2 s, and is followed by the next one at once. Each call has a new
  random wait, since the watches of a whole fleet may break at the same time.
- A change counts as known 6 s after discovery had it and was reachable, whatever the results of the calls. So
  a failure is followed by a short backoff, which `PollSchedule` draws.
- What an agent on the node's own machine has counts as known at once, and a call to it costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from puffinpost.balancing.poll_schedule import PollSchedule
from puffinpost.units import MS

# How long a call may wait for a change: long enough that the empty answers of a fleet cost discovery little,
# and short enough that a node whose watch broke has the next answer within the 6 s.
MIN_WAIT_MS = 1_500
MAX_WAIT_MS = 4_000
LOCAL_AGENT_WAIT_MS = 1_000
# The wait of two kinds of calls: those whose answer's index shows whether discovery has restarted its index,
# in a fleet too large to request full lists instead; and the first call of a process in such a fleet, since
# the process admits clients once it has an answer and must not wait for a change.
SHORT_WAIT_MS = 500
WATCH_GAP_LIMIT_NS = 200 * MS  # a watch is continuous if its next call is made within this of the last answer
# A call times out this long after its wait has ended: discovery may be down without closing the connection.
# Its changes count as known 2 s after the wait, so there must be time left for another call.
RESPONSE_GRACE_NS = 500 * MS
FULL_LIST_TIMEOUT_NS = 2_500 * MS  # discovery queues the calls for full lists, and fails them after 2 s
LOCAL_AGENT_TIMEOUT_NS = 400 * MS
RESPONSE_BODY_TIMEOUT_NS = 1_000 * MS  # from an answer's first byte to its last
# The minimum time between two calls that are answered at once without a change, as a faulty agent may do. It
# is short enough for the watch to stay continuous.
MIN_CALL_INTERVAL_NS = WATCH_GAP_LIMIT_NS // 2


class CallFailure(Enum):
    """Why a call had no answer."""

    UNREACHABLE = "unreachable"  # no connection, so no call was made
    TIMED_OUT = "timed out"
    OVERLOADED = "overloaded"  # status 503: it waited too long in discovery's queue
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class DiscoveryCall:
    """A call to make."""

    after: int | None  # the index after which to wait for a change; None: the full list, at once
    wait_ms: int
    timeout_ns: int


class WatchState:
    """What the next call must request, given the earlier ones. Times in ns, on any monotonic clock.

    ``poll_schedule`` is the node's share of the fleet's calls; in a large fleet a watch is preferred to the
    full list, which costs discovery more. ``has_startup_list``: the node was started with an endpoint list.
    """

    __slots__ = ("index_uncertain", "is_first_call", "needs_full_list", "poll_schedule", "recheck_ns")

    def __init__(self, poll_schedule: PollSchedule, has_startup_list: bool) -> None:
        self.poll_schedule = poll_schedule
        # A full list is safe with a discovery that has restarted its index or replaced another one, where a
        # watch would wait in vain for changes after the old index. It is also needed at the start, since a
        # watch reports only what is newer than the list that the node was started with; in a large fleet the
        # watch is enough, and halves the calls.
        self.needs_full_list = not (poll_schedule.is_large_fleet and has_startup_list)
        self.is_first_call = True  # nothing has been answered yet
        self.index_uncertain = False  # discovery may have restarted its index since the last answer
        self.recheck_ns: int | None = None  # when to request the full list, in case the index has restarted

    def next_call(self, index: int, now_ns: int) -> DiscoveryCall:
        """Returns the next call. ``index``: of the current endpoint list."""
        is_local_agent = self.poll_schedule.has_local_agent
        if self.recheck_ns is not None and now_ns >= self.recheck_ns:
            self.needs_full_list = True
        if self.needs_full_list:
            return DiscoveryCall(None, 0, LOCAL_AGENT_TIMEOUT_NS if is_local_agent else FULL_LIST_TIMEOUT_NS)
        if self.index_uncertain or (self.is_first_call and not is_local_agent):
            return DiscoveryCall(index, SHORT_WAIT_MS, SHORT_WAIT_MS * MS + FULL_LIST_TIMEOUT_NS)
        wait_ms = self._wait_ms()
        if self.recheck_ns is not None:
            wait_ms = min(wait_ms, 1 + (self.recheck_ns - now_ns) // MS)
        grace_ns = LOCAL_AGENT_TIMEOUT_NS if is_local_agent else RESPONSE_GRACE_NS
        return DiscoveryCall(index, wait_ms, wait_ms * MS + grace_ns)

    def _wait_ms(self) -> int:
        if self.poll_schedule.has_local_agent:
            return LOCAL_AGENT_WAIT_MS
        return self.poll_schedule.random.randrange(MIN_WAIT_MS, MAX_WAIT_MS)

    def on_answer(self, has_changes: bool, elapsed_ns: int, now_ns: int, is_outdated: bool = False) -> int:
        """Handles a list. Returns the pause before the next call, short enough for a continuous watch.

        ``has_changes``: the list has entries; ``elapsed_ns``: since the call; ``is_outdated``: its index is
        lower than that of the current list, so discovery has restarted its index.
        """
        is_plain_watch = not (self.needs_full_list or self.index_uncertain or self.is_first_call)
        answered_early = is_plain_watch and not has_changes and elapsed_ns < MIN_CALL_INTERVAL_NS
        if self.needs_full_list:
            self.needs_full_list = False
            self.recheck_ns = None
        elif is_outdated:
            self.needs_full_list = True
        elif self.index_uncertain:
            self.recheck_ns = now_ns + self.poll_schedule.recheck_delay_ns()
        self.index_uncertain = self.is_first_call = False
        return MIN_CALL_INTERVAL_NS if answered_early else 0

    def on_call_failed(self, failure: CallFailure) -> bool:
        """Handles a call without an answer. Returns whether the next one follows at once, without a backoff.

        The next call requests the full list. In a large fleet that would overload discovery, so the next call
        is a watch, and the full list follows later: a discovery that was overloaded has not restarted its
        index, and in the other cases the index of the watch's answer may show a restart.
        """
        if not self.poll_schedule.is_large_fleet:
            self.needs_full_list = True
        elif failure is not CallFailure.OVERLOADED:
            self.index_uncertain = not self.needs_full_list
        return failure is CallFailure.TIMED_OUT

    def on_redirect(self) -> None:
        """Handles the switch to another discovery: requests its full list, as its index is not comparable.

        All nodes of a fleet may be redirected within seconds, and full lists for all of them are more than
        discovery can write in the remaining time. So a large fleet watches first, which shows an outdated
        index at once, and requests the full list later.
        """
        self.index_uncertain = self.poll_schedule.is_large_fleet
        self.needs_full_list = not self.index_uncertain
        self.recheck_ns = None
