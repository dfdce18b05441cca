"""Schedules a node's polls of discovery, a single service that answers the calls of the whole fleet in turn.

A change has to reach a node within 6 s of the time when discovery had it and was reachable (the standing
page), but calls that wait too long in discovery's queue fail, and so do the calls behind them. So each node
draws the times of its calls over a span that grows with the fleet and with each failure, but never beyond
`MAX_POLL_SPAN_NS`: a call that starts by then is answered within the 6 s, even after the longest wait in
discovery's queue.
"""

from __future__ import annotations

import random

from puffinpost.balancing.settings import Settings

# Planned interval between the calls of two nodes; a failed call indicates that it is too short.
POLL_SPACING_NS = 100_000_000
# A call fails after this time in discovery's queue. A fleet whose calls fit into it need not spread them.
DISCOVERY_QUEUE_TIMEOUT_NS = 2_000_000_000
# Time after which a change in discovery counts as known to a node; includes queueing and transmission.
PROPAGATION_LIMIT_NS = 6_000_000_000
MAX_POLL_SPAN_NS = (PROPAGATION_LIMIT_NS - DISCOVERY_QUEUE_TIMEOUT_NS) * 3 // 5
# Longest time over which a fleet spreads the calls for full lists that confirm what a watch delivered.
MAX_RECHECK_SPAN_NS = 10_000_000_000
# Once a configuration names another discovery, the old one accepts no new connections and closes the open
# ones after this time; what the new one has counts as known after 4 s.
OLD_DISCOVERY_GRACE_NS = 1_500_000_000
# Earliest next call, as a fraction of the span, so that a service that is down is not flooded with calls.
MIN_BACKOFF_FRACTION = 0.25
# Longest delay of a call, as a fraction of the time within which the endpoint list has to be polled.
MAX_POLL_DELAY_FRACTION = 0.5
# Limits the doublings of the span at consecutive failures; by then it is far beyond its maximum.
MAX_SPAN_DOUBLINGS = 20
# How long a process that starts with an old list waits for a new one before it admits clients: the latest
# first call of a fleet whose nodes all start at one moment, plus the wait in discovery's queue.
STARTUP_LIST_TIMEOUT_NS = MAX_POLL_SPAN_NS + DISCOVERY_QUEUE_TIMEOUT_NS
# Short, because an agent on the node's own machine answers at once and at no cost, and its endpoint list
# counts as known immediately.
LOCAL_AGENT_RETRY_NS = 50_000_000


class PollSchedule:
    """The schedule of one node's calls to discovery. Times in ns.

    ``Rules.AskWithinNs`` is 0 where polling costs nothing, as an agent on the node's machine has the list.
    """

    def __init__(self, settings: Settings, random_source: random.Random) -> None:
        self.random = random_source
        self.next_poll_ns: int | None = None
        self.consecutive_failures = 0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Applies new settings; a call that is already scheduled is kept."""
        self.balancer_count = settings.balancer_count
        self.poll_within_ns = settings.poll_within_ns
        self.is_polled = settings.endpoint_list_is_polled

    @property
    def has_local_agent(self) -> bool:
        """Whether the node polls an agent on its own machine."""
        return self.poll_within_ns == 0

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is so large that its calls have to be spread over time."""
        return not self.has_local_agent and self.balancer_count * POLL_SPACING_NS > DISCOVERY_QUEUE_TIMEOUT_NS

    def start(self, now_ns: int) -> None:
        """Schedules the first poll: soon, because the node may have been started with an old endpoint list.

        The previous process's watch closed when that process ended, so the 6 s are already running. Most of a
        large fleet may start at one moment; calls that discovery cannot answer immediately wait in its queue.
        """
        if self.is_polled:
            can_poll_immediately = self.has_local_agent or self.balancer_count <= 1
            delay_ns = 0 if can_poll_immediately else self.random.randrange(self.span_ns(0) + 1)
            self.next_poll_ns = now_ns + delay_ns

    def poll_due(self, now_ns: int) -> bool:
        """Whether to poll now; if so, the scheduled call is cleared."""
        if self.next_poll_ns is None or now_ns < self.next_poll_ns:
            return False
        self.next_poll_ns = None
        return True

    def on_endpoint_list(self) -> None:
        """Records that an endpoint list was received, whose changes are watched."""
        self.next_poll_ns = None
        self.consecutive_failures = 0

    def on_failure(self, now_ns: int) -> None:
        """Schedules the next poll after a call or watch without a list: random, later at each failure."""
        if self.has_local_agent:
            delay_ns = LOCAL_AGENT_RETRY_NS
        else:
            span_ns = self.span_ns(self.consecutive_failures)
            delay_ns = int(span_ns * self.random.uniform(MIN_BACKOFF_FRACTION, 1.0))
        self.consecutive_failures += 1
        self.next_poll_ns = now_ns + delay_ns

    def span_ns(self, failures: int) -> int:
        """The span over which the fleet's calls are spread, after this many consecutive failures.

        At most `MAX_POLL_SPAN_NS`, and at most half of the time within which a node has to poll.
        """
        other_nodes = max(1, self.balancer_count - 1)
        return min(
            POLL_SPACING_NS * other_nodes << min(failures, MAX_SPAN_DOUBLINGS),
            MAX_POLL_SPAN_NS,
            int(self.poll_within_ns * MAX_POLL_DELAY_FRACTION),
        )

    def recheck_delay_ns(self) -> int:
        """The delay of a poll for the full list after a failure, if a watch delivered changes first."""
        return self.random.randrange(min(POLL_SPACING_NS // 2 * self.balancer_count, MAX_RECHECK_SPAN_NS))

    def redirect_delay_ns(self) -> int:
        """How long to keep using the old discovery once another one is configured.

        All nodes may receive the configuration at the same time, and the old discovery closes its calls
        ``OLD_DISCOVERY_GRACE_NS`` later.
        """
        if not self.is_large_fleet:
            return 0
        return self.random.randrange(min(self.span_ns(0), OLD_DISCOVERY_GRACE_NS) + 1)
