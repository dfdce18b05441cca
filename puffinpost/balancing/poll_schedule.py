"""When a node polls discovery for the endpoint list: one service, which answers a fleet's calls in turn.

Changes have to reach a node within 6 s of when discovery had them and was reachable (the standing page), but
calls that wait too long in discovery's queue fail, and so do those behind them. So each node draws its calls
over a span that grows with the fleet and with each failure, but never past `MAX_POLL_SPAN_NS`: a call that
starts by then is answered within the 6 s, also with the longest wait in discovery's queue.
"""

from __future__ import annotations

import random

from puffinpost.balancing.settings import Settings

# Planned time between the calls of two nodes; a failed call is a sign that it is too little.
POLL_SPACING_NS = 100_000_000
# A call fails after this in discovery's queue. A fleet whose calls fit in it polls whenever it wants to.
DISCOVERY_QUEUE_TIMEOUT_NS = 2_000_000_000
# By when a change in discovery counts as known to a node; includes the queue and the way.
PROPAGATION_LIMIT_NS = 6_000_000_000
MAX_POLL_SPAN_NS = (PROPAGATION_LIMIT_NS - DISCOVERY_QUEUE_TIMEOUT_NS) * 3 // 5
# Over how long a fleet spreads the calls for full lists that confirm what a watch delivered.
MAX_RECHECK_SPAN_NS = 10_000_000_000
# Once a configuration names another discovery, the old one takes no new connection and closes the open ones
# after this; what discovery has counts as known after 4 s.
OLD_DISCOVERY_GRACE_NS = 1_500_000_000
# Earliest next call, as a fraction of the span: a service that is down is not overloaded with calls.
MIN_BACKOFF_FRACTION = 0.25
# Longest delay of a call, as a fraction of the time within which the list has to be polled.
MAX_POLL_DELAY_FRACTION = 0.5
# The span doubles with each failure in a row, this often at most: it is far past its maximum by then.
MAX_SPAN_DOUBLINGS = 20
# How long a process that starts with an old list waits for a new one before it admits clients: for the latest
# first call of a fleet that starts at one moment, and discovery's queue.
STARTUP_LIST_TIMEOUT_NS = MAX_POLL_SPAN_NS + DISCOVERY_QUEUE_TIMEOUT_NS
# An agent on the node's own machine answers at once and at no cost, and its list counts as known at once.
LOCAL_AGENT_RETRY_NS = 50_000_000


class PollSchedule:
    """One node's share of the calls, and when its next one is due. Times in ns.

    ``Rules.AskWithinNs`` is 0 where polling costs nothing: an agent on the node's machine has the list.
    """

    def __init__(self, settings: Settings, random_source: random.Random) -> None:
        self.random = random_source
        self.next_poll_ns: int | None = None
        self.consecutive_failures = 0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Applies new settings; a call that is due stays due."""
        self.balancer_count = settings.balancer_count
        self.poll_within_ns = settings.poll_within_ns
        self.is_polled = settings.endpoint_list_is_polled

    @property
    def has_local_agent(self) -> bool:
        """Whether an agent on this machine is polled."""
        return self.poll_within_ns == 0

    @property
    def is_large_fleet(self) -> bool:
        """Whether the fleet is so large that its calls have to be spread."""
        return not self.has_local_agent and self.balancer_count * POLL_SPACING_NS > DISCOVERY_QUEUE_TIMEOUT_NS

    def start(self, now_ns: int) -> None:
        """The node starts: it polls soon, for the list that it was started with may be old.

        The watch of the process before it closed as that ended, so the 6 s run already. Most of a large fleet
        may start at one moment; what discovery cannot answer at once waits in its queue.
        """
        if self.is_polled:
            can_poll_immediately = self.has_local_agent or self.balancer_count <= 1
            delay_ns = 0 if can_poll_immediately else self.random.randrange(self.span_ns(0) + 1)
            self.next_poll_ns = now_ns + delay_ns

    def poll_due(self, now_ns: int) -> bool:
        """Whether to poll now; if so, the call is no longer due."""
        if self.next_poll_ns is None or now_ns < self.next_poll_ns:
            return False
        self.next_poll_ns = None
        return True

    def on_list(self) -> None:
        """A list was received, and its changes are watched."""
        self.next_poll_ns = None
        self.consecutive_failures = 0

    def on_failure(self, now_ns: int) -> None:
        """A call or a watch ended without a list: polls again at a random time, later with each failure."""
        if self.has_local_agent:
            delay_ns = LOCAL_AGENT_RETRY_NS
        else:
            span_ns = self.span_ns(self.consecutive_failures)
            delay_ns = int(span_ns * self.random.uniform(MIN_BACKOFF_FRACTION, 1.0))
        self.consecutive_failures += 1
        self.next_poll_ns = now_ns + delay_ns

    def span_ns(self, failures: int) -> int:
        """Over how long the fleet's calls are spread, after so many failures in a row.

        At most `MAX_POLL_SPAN_NS`, and half of the time within which a node has to poll.
        """
        other_nodes = max(1, self.balancer_count - 1)
        return min(
            POLL_SPACING_NS * other_nodes << min(failures, MAX_SPAN_DOUBLINGS),
            MAX_POLL_SPAN_NS,
            int(self.poll_within_ns * MAX_POLL_DELAY_FRACTION),
        )

    def recheck_delay_ns(self) -> int:
        """How long until the full list is polled after a failure, where a watch delivered changes first."""
        return self.random.randrange(min(POLL_SPACING_NS // 2 * self.balancer_count, MAX_RECHECK_SPAN_NS))

    def redirect_delay_ns(self) -> int:
        """How long to stay with the old discovery once another is configured.

        All nodes may receive the configuration at once, and the old discovery closes its calls
        ``OLD_DISCOVERY_GRACE_NS`` later.
        """
        if not self.is_large_fleet:
            return 0
        return self.random.randrange(min(self.span_ns(0), OLD_DISCOVERY_GRACE_NS) + 1)
