"""When discovery is asked: one service, which works through the calls of the whole fleet in turn.

A call that has waited too long fails, and so does each behind it: once all nodes ask faster than discovery
can answer, nobody learns anything for as long as they go on. So a large fleet shares its calls out over time.
"""

from __future__ import annotations

import random

from puffinpost.interface import Settings

# How far apart the calls of two nodes are to come; a call that fails is a sign that it is too little.
APART_NS = 100_000_000
# A call fails after this in discovery's queue. A fleet whose calls fit in it asks whenever it wants to.
QUEUE_NS = 2_000_000_000
ASK_PART = 0.9  # of the time within which the list has to be asked for, the most that a call is put off
RETRY_DOUBLINGS = 4  # a call that fails again and again is put off by no more than this
ASK_SPREAD = 0.5  # of the time within which the list must be asked: a small fleet spreads its calls over it
CALLS_APART_NS = 100_000_000  # between two nodes' calls after one that failed, in a small fleet
STARTS_APART_NS = 500_000_000  # between two nodes' first calls, in a small fleet


class Asking:
    """One node's part of the calls, and when its next one is due. Times in ns.

    ``Rules.AskWithinNs`` is 0 where the list costs nobody anything: an agent of the node's machine has it.
    """

    def __init__(self, settings: Settings, chance: random.Random) -> None:
        self.chance = chance
        self.ask_ns: int | None = None
        self.fails = 0  # calls in a row that failed
        self.tune(settings)

    def tune(self, settings: Settings) -> None:
        """Settings come into force; a call that is due stays due."""
        self.balancers = settings.balancers
        self.most_ns = settings.ask_within_ns
        self.within_ns = int(settings.ask_within_ns * ASK_PART)
        self.on_request = settings.list_on_request

    @property
    def shared(self) -> bool:
        """Whether the fleet is so large that its calls have to be shared out."""
        return self.within_ns > 0 and self.balancers * APART_NS > QUEUE_NS

    def begin(self, now_ns: int) -> None:
        """The node starts: it asks soon, for what it was started with may be old, and a peer starts alone."""
        if self.on_request:
            spread = min(int(self.most_ns * ASK_SPREAD), (self.balancers - 1) * STARTS_APART_NS)
            self.ask_ns = now_ns + (self.rest_ns() if self.shared else self.chance.randrange(spread + 1))

    def due(self, now_ns: int) -> bool:
        """Whether to ask now; then the call is no longer due."""
        if self.ask_ns is None or now_ns < self.ask_ns:
            return False
        self.ask_ns = None
        return True

    def came(self) -> None:
        """A list came: it is followed."""
        self.ask_ns, self.fails = None, 0

    def failed(self, now_ns: int, asked: bool, aim_ns: int) -> None:
        """Guards against a list that is down or overrun: ask again later, at a chance moment.

        Soon at first, for most calls fail because a connection broke, and what changes meanwhile is not told;
        then at twice the distance each time. Where no call was made at all (``asked`` is false), the time
        within which the list has to be asked for runs on; a call that failed makes it four times that.
        """
        soon = CALLS_APART_NS * self.balancers << min(self.fails, 20)
        step = max(1, min(soon, int(self.most_ns * ASK_SPREAD / 2) if self.most_ns else aim_ns))
        self.fails += 1
        after = step // 2 + self.chance.randrange(step)
        self.ask_ns = now_ns + (self.retry_ns(self.fails) if self.shared and asked else after)

    def rest_ns(self) -> int:
        """How long to wait before the first call, and at least after one that failed: nobody watches then.

        Even over one call of each node, or over the time within which a node must ask
        (``Rules.AskWithinNs``) where that is shorter. Never between an answer and the next call: see `Watch`.
        """
        if not self.shared:
            return 0
        return self.chance.randrange(min(self.within_ns, self.balancers * APART_NS) + 1)

    def retry_ns(self, fails: int) -> int:
        """How long to wait after a call that failed, the ``fails``-th in a row from 1 on.

        A call that failed puts the need to ask off to four times ``Rules.AskWithinNs``; the longest wait is
        one and a half times twice ``within_ns``, which is less.
        """
        share = min(self.within_ns, self.balancers * APART_NS)
        step = min(share << min(fails - 1, RETRY_DOUBLINGS), 2 * self.within_ns)
        return step // 2 + self.chance.randrange(step + 1)
