"""When discovery is asked: one service, which works through the calls of the whole fleet in turn.

A call that has waited too long fails, and so does each behind it: once all nodes ask faster than discovery
can answer, nobody learns anything for as long as they go on. So a large fleet shares its calls out over time.
"""

from __future__ import annotations

import random

# How far apart the calls of two nodes are to come; a call that fails is a sign that it is too little.
APART_NS = 100_000_000
# A call fails after this in discovery's queue. A fleet whose calls fit in it asks whenever it wants to.
QUEUE_NS = 2_000_000_000
ASK_PART = 0.9  # of the time within which the list has to be asked for, the most that a call is put off
RETRY_DOUBLINGS = 4  # a call that fails again and again is put off by no more than this


class Asking:
    """One node's part of the calls. ``balancers``: how many nodes there are; times in ns.

    ``ask_within_ns`` is 0 where the list costs nobody anything: an agent of the node's own machine has it.
    """

    def __init__(self, balancers: int, ask_within_ns: int, chance: random.Random) -> None:
        self.balancers = balancers
        self.within_ns = int(ask_within_ns * ASK_PART)
        self.chance = chance

    @property
    def shared(self) -> bool:
        """Whether the fleet is so large that its calls have to be shared out."""
        return self.within_ns > 0 and self.balancers * APART_NS > QUEUE_NS

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
