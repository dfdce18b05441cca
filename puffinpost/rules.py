"""All decisions of puffinpost. Read puffinpost/interface.py first: it holds every type that goes in and out.

A connection goes to the server with the highest score: free CPU + free RAM + free bandwidth, up to 1000
points each, plus a bonus where this balancer holds connections of the same group. Each placement adds its
predicted load ("inflation") to the chosen server, which decays as reports come in. After Algorithm 2 of
J. Vietor, "A streaming media-specific load balancing algorithm" (2016); docs/design.md says what differs.

The module is one class, `Balancer`, in sections; a section alone changes the state that it names. Time is the
clock handed to `handle`, chance is the seeded generator, and nothing depends on the order of a hash table
(dicts keep the order of insertion, and sets are never walked).
"""

from __future__ import annotations

import math
import random

from puffinpost.decisions.delays import Delay
from puffinpost.decisions.leaving import leaving_chance, load_after, stands_ns
from puffinpost.decisions.shares import IDLE, SCARCE, Shares, few, worth_kept
from puffinpost.decisions.silence import Silence
from puffinpost.following.asking import Asking
from puffinpost.interface import (
    NEVER_RAN, Action, Banned, Cancel, ClientGone, DelayNote, Effect, Established, Event, Fail, Inherited,
    LineOwed, ListKind, LoadNote, Log, Memory, Move, Outcome, Probe, ProbeResult, Refuse, Request,
    RequestClass, RequestId, Result, Retuned, Scope, Send, ServerId, ServerLine, ServerList, ServerMemory,
    Settings, Status, Subscribe, Timer, TimerDue,
)

# --- constants --------------------------------------------------------------------------------------

POINTS = 1000.0  # the most that one free resource gives, as in the paper
GROUP_BONUS = 200.0  # as in the paper: worth a fifth of one resource
KEEPS_GROUP = 3 * POINTS  # where groups pay at each server: one with room that holds it beats any other
CATCH_UP_AIMS = 3.0  # a report covers a placement made this many aims before it: reports come late
CLAMP_RATIO = 16.0  # ceiling over floor of one placement's inflation, as the paper's 0.5 to 8 Mbps
GUESSED_FULLNESS = 0.5  # share of the fleet taken to be in use while reports do not show more
TICKS_PER_AIM = 20  # housekeeping runs this often in the shortest aim: fine enough to be felt by no client
HOMES_ASKED = 2  # of a group's servers, in their order, whose old reports a placement waits for
CHOICES = 4  # servers of its own zone that a connection's score is taken over, and as many elsewhere
FRESH_AIMS = 2.0  # a report younger than this many aims is not asked for again
HOLD_AIMS = 0.1  # a placement waits for its candidates' reports for this part of the aim at most
FULL = 0.9  # no connection is placed on a server whose predicted load is past this: it would serve none
FULL_GROUPS = 0.8  # ... where groups pay at each server, and nothing is moved to even out
HOLD_DOUBLINGS = 4  # a request held again and again is looked at this much more rarely
CROSS_POINTS = 10000.0  # points off for crossing zones, times the fee: 0.03 is a tenth of the load
PROBES_PER_REQUEST = 3.0  # what probing may cost stays a small, fixed part of what the traffic costs
PROBES_SAVED = 12.0  # most unspent probes kept, so that a quiet spell is not followed by a storm
ASIDE_AIMS = 2.0  # a server that fails is put aside for this many aims, doubling with each failure ...
ASIDE_DOUBLINGS = 4  # ... this often at most, so that a recovery is seen within seconds
ATTEMPT_AIMS = 1.0  # an attempt that may be repeated is given up after this many aims
WINDOW_MOST = 64.0  # most attempts out at once that a balancer lets stand open: no limit on a usual day
PROBES_PER_AIM = 0.5  # probes that a balancer may spend with no traffic at all, for the state of the fleet
CROWDED = 0.75  # load past which a server's connections are moved away, if others are freer by ...
CROWDED_RATIO = 1.25  # ... this much; its load is brought down to the fleet's mean, or to ...
ROOMY = 0.65  # past this mean of the fleet there is nowhere better to go: then only a server past ...
OVER = 1.05  # ... this is eased, so that the rest of its connections are served, down to ...
DRAINED = 0.7  # ... this: work piled up has to drain before anything is served again
DRAINED_GROUPS = 0.85  # ... where groups pay: each that leaves pays anew elsewhere
EASED = 0.6  # ... this where the mean is lower: no more moves than are of use
SHOWN = 0.85  # a report under this part of the one that was answered shows that moves have worked
LATE_AIMS = 12.0  # a report that does not show them is taken to be late for this many aims
LEAVE_AIMS = 3.0  # a banned server's connections are moved away over this many aims
MEAN_AIMS = 4.0  # a report's weight in the fleet's mean load halves with this age
SURVEY_AIMS = 0.5  # the fleet is summed up this often; it changes no faster than reports come
SURVEY_GROWTH = 1.25  # or when this balancer's own load has grown by this: at the start it grows fast
DRAWS = 4  # rounds of candidates looked at before a request is held: the cost of a full fleet is bounded
COLD_SAFETY = 0.6  # of a cold server's budget is used: its size is a guess and others round up too
ASK_SPREAD = 0.5  # of the time within which the list must be asked: instances spread their calls over it
LEARN_LEAST = 4.0  # connections that a report must tell of, for what the server can do to be learned from it
LEARN_LOAD = 0.1  # and the load: below it the rounding of a report weighs more than what it tells
LEARN_PART = 0.3  # weight of the newest report in what was learned
SPREAD_LEAST = 8  # connections held here, for the others' part to be learned from the reports
SPREAD_PART = 0.1  # weight of the newest sum in what was learned: some seconds, longer than reports are late
OWN_MOST = 2.0  # the most load that own books alone may say
UNKNOWN_MOST = 12.0  # connections beyond those reported, for a server that has not shown what it can do
CALLS_APART_NS = 100_000_000  # between two balancers' calls for the list after one that failed
STARTS_APART_NS = 500_000_000  # between two balancers' first calls for the list
RATE_HALVING = 0.999  # how slowly running means forget, per item

UNHEARD = (Result.TIMEOUT, Result.CONNECT_FAILED)  # where it took as long as a dial may
TICK_TOKEN = 0
MASK = 0xFFFFFFFFFFFFFFFF


def mix(value: int) -> int:
    """A 64-bit hash of an id or key, the same at every balancer."""
    value = (value * 0x9E3779B97F4A7C15 + 0x632BE59BD9B4E019) & MASK
    value = ((value ^ value >> 31) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & MASK
    return value ^ value >> 31


class Server:
    """What this balancer knows of one server."""

    __slots__ = (
        "aside_until", "budget", "budget_ns", "cell", "cold_ns", "delay", "down", "faults", "fills", "groups",
        "held", "id", "kind", "lot", "leave_ns", "listed", "load", "load_ns", "moved_load", "moved_ns", "own",
        "own_load", "placements", "probe_out", "probed_ns", "salt", "silence", "started_ns", "trusted_ns",
        "watchers", "weight", "zone",
    )

    def __init__(self, line: ServerLine) -> None:
        self.id = line.server
        self.salt = mix(line.server)
        self.zone = line.zone
        self.kind = line.kind
        self.cell = line.cell
        self.weight = line.weight
        self.started_ns = 0  # as the list has it
        self.cold_ns = 0  # since when it counts as cold; 0: it does not
        self.listed = True
        self.down = False  # told that it drains or is gone
        self.load: float | None = None  # last reported load over capacity
        self.load_ns = 0
        self.held = 0.0  # connections that it reported last
        self.fills = 0.0  # connections that fill it, as its reports tell; 0: not known
        self.delay = Delay()
        self.silence = Silence()
        self.lot = 0.5  # drawn at each report: rounds this balancer's share of the room left
        self.leave_ns = 0  # by when its connections are moved away, once it drains or is banned
        self.moved_ns = 0  # no further moves before this
        self.trusted_ns = 0  # nor before this on a report as high as ...
        self.moved_load = 0.0  # ... the one that the last move answered
        self.placements: list[tuple[int, float]] = []  # when, and the load predicted
        self.watchers: list[Flow] = []  # held until this server's probe is back
        self.own: dict[RequestId, Flow] = {}  # attempts out and connections open
        self.own_load = 0.0
        self.groups: dict[int, int] = {}
        self.faults = 0
        self.aside_until = 0
        self.probe_out = False
        self.probed_ns = -1
        self.budget = 0.0
        self.budget_ns = 0


class Flow:
    """One request, from its arrival until its last attempt is over."""

    __slots__ = (
        "asked", "attempts", "awaiting", "deadline_ns", "estimate", "group", "hold_until", "key", "klass",
        "drawn", "far", "holds", "load", "maybe_ns", "near", "order_version", "maybe_server",
        "out", "over", "placed_ns", "request", "server", "standing", "tenant", "tried",
    )

    def __init__(self, event: Request, klass: RequestClass) -> None:
        self.request = event.request
        self.klass = klass
        self.deadline_ns = event.deadline_ns
        self.tenant = event.tenant
        self.key = event.key
        self.group = event.group
        self.load = float(event.load) if event.load else None  # as told
        self.estimate = 0.0  # as booked at its server
        self.near: list[Server] = []  # in the order drawn for this request
        self.far: list[Server] = []
        self.order_version = -1
        self.holds = 0
        self.drawn = 0  # rounds of candidates passed over as full
        self.asked = False  # its candidates were probed
        self.awaiting = 0
        self.hold_until = 0
        self.attempts = 0
        self.out = False  # an attempt is out, or the connection stands
        self.standing = False
        self.over = False  # answered, or the client left
        self.server: Server | None = None
        self.placed_ns = 0
        self.tried: list[ServerId] = []
        self.maybe_server: Server | None = None  # of the first attempt that may have run
        self.maybe_ns = 0


class Balancer:
    """Decides for one balancer. `handle` takes one event and returns the actions that answer it."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.chance = random.Random(seed)
        self._tune(settings)
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[ServerId, Server] = {}
        self.list_version = 0
        self.banned: dict[ServerId, int] = {}  # by hand, since when
        self.called: list[ServerId] = []  # back, and not used again yet
        self.flows: dict[RequestId, Flow] = {}
        self.waiting: dict[RequestId, Flow] = {}  # held: nothing to send them to yet
        self.ticking = False
        self.told_load = 0.0  # running sum and count of told loads
        self.told_count = 0.0
        self.setting_up = 0  # attempts out that do not stand yet
        self.window = WINDOW_MOST  # and how many there may be
        self.own_load = 0.0
        self.shares = Shares()
        self.mean_load = 0.0
        self.load_after = 0.0  # once what drains has left
        self.spread = float(settings.balancers)  # connections of all balancers for each one of this one's
        self.mean_own = 1.0  # mean load of a connection here
        self.learned = 0  # servers of which it is known what they can do
        self.survey_ns = 0
        self.surveyed_load = 0.0
        self.scale = 1.0  # capacity for each unit of weight
        self.full_connections: float | None = None
        self.probe_credit = PROBES_SAVED
        self.ask_ns: int | None = None
        self.list_fails = 0  # calls for the list in a row that failed

    def _tune(self, settings: Settings) -> None:
        """Settings come into force, at the start or later. A request keeps the class that it came under."""
        self.settings = settings
        self.aim_ns = min(item.aim_ns for item in settings.classes)
        self.full, self.drained = (FULL_GROUPS, DRAINED_GROUPS) if settings.groups else (FULL, DRAINED)
        self.asking = Asking(settings.balancers, settings.ask_within_ns, self.chance)
        self.stands_ns = stands_ns([item.deadline_ns for item in settings.classes])
        self.message_aim_ns = min(
            (item.message_aim_ns for item in settings.classes if item.message_aim_ns > 0), default=0
        )
        self.tick_ns = max(settings.round_ns, self.aim_ns // TICKS_PER_AIM)
        self.can_probe = settings.probes and len(settings.report_fields) > 0
        self.load_field = self._field(settings.report_fields, "x0", "load_share")
        self.held_field = self._field(settings.report_fields, "concurrent", "inflight")

    def handle(self, event: Event, now_ns: int) -> list[Action]:
        """The actions that answer an event. Events for what is unknown or over change nothing."""
        self.now = max(self.now, now_ns)
        self.actions = []
        if not self.ticking:
            self.ticking = True
            self._begin()
        match event:
            case Request():
                self._on_request(event)
            case TimerDue(token):
                self._on_timer(token)
            case Established():
                self._on_established(event)
            case Outcome():
                self._on_outcome(event)
            case ProbeResult():
                self._on_probe(event)
            case LoadNote():
                self._on_load_note(event)
            case DelayNote():
                self._on_delay_note(event)
            case LineOwed():
                self._on_line_owed(event)
            case ServerList():
                self._on_list(event)
            case Banned():
                self._on_banned(event)
            case Retuned(settings):
                self._tune(settings)
            case Memory():
                self._remember(event)
            case ClientGone():
                self._on_client_gone(event)
            case Inherited():
                self._on_inherited(event)
        return self.actions

    def _begin(self) -> None:
        self.actions.append(Timer(self.tick_ns, TICK_TOKEN))
        if self.settings.list_on_request:
            # Soon: what this instance was started with may be old, and a peer that restarts starts alone.
            others = self.settings.balancers - 1
            spread = min(int(self.settings.ask_within_ns * ASK_SPREAD), others * STARTS_APART_NS)
            first = self.asking.rest_ns() if self.asking.shared else self.chance.randrange(spread + 1)
            self.ask_ns = self.now + first

    def _on_timer(self, token: int) -> None:
        if token != TICK_TOKEN:
            self._on_deadline(token - 1)
            return
        self.actions.append(Timer(self.tick_ns, TICK_TOKEN))
        gained = PROBES_PER_AIM * self.tick_ns / self.aim_ns
        self.probe_credit = min(PROBES_SAVED, self.probe_credit + gained)
        if self.now >= self.survey_ns or self.own_load > self.surveyed_load * SURVEY_GROWTH:
            self._survey()
            self._spend_probes()
        self._follow_list()
        self._leave_drained()
        self._place_waiting()

    # --- server table: list, drain, cold budget -----------------------------------------------------

    def _on_list(self, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            self._on_list_failed(event.asked)
            return
        if event.kind is not ListKind.CACHED:
            self._on_list_came()
        named = {line.server for line in event.lines}
        if event.kind is not ListKind.DELTA:
            for server in self.servers.values():
                if server.id not in named:
                    self._take_down(server)
        for line in event.lines:
            known = self.servers.get(line.server)
            if known is None:
                if line.status is Status.GONE:
                    continue
                known = self.servers[line.server] = Server(line)
            if line.status is not Status.READY:
                if not known.down:
                    self._leave_within(known, self.stands_ns)
                self._take_down(known)
                known.listed = line.status is Status.DRAINING
            else:
                self._put_up(known, line)
        self.list_version += 1
        for gone in [item.id for item in self.servers.values() if not item.listed and not item.own]:
            del self.servers[gone]
        self._place_waiting()

    def _take_down(self, server: Server) -> None:
        server.down = True
        server.listed = False

    def _put_up(self, server: Server, line: ServerLine) -> None:
        server.zone, server.kind, server.cell, server.weight = line.zone, line.kind, line.cell, line.weight
        server.down, server.listed = False, True
        if line.started_ns != server.started_ns:
            server.started_ns = line.started_ns
            if line.started_ns:
                self._starts_cold(server, line.started_ns, self.chance.random())

    def _starts_cold(self, server: Server, since_ns: int, budget: float) -> None:
        """A new process: it starts cold, with none of the old one's load.

        It may be a faster one. But one that could do more than is usual for its weight is not held back for
        want of reports: where it can do that no more, the first ones show it.
        """
        if server.fills <= (self.full_connections or math.inf) * server.weight:
            server.fills = 0.0
        server.load, server.held, server.faults, server.aside_until = None, 0.0, 0, 0
        server.placements.clear()
        server.delay.clear()
        server.silence.heard()  # what the old process owed, this one does not
        server.cold_ns, server.budget, server.budget_ns = since_ns, budget, self.now

    def _on_banned(self, event: Banned) -> None:
        """Operators ban a server, whatever the list says, or call it back.

        They restart it meanwhile, so its connections are moved away, and it comes back cold: since now,
        unless the list has told of a start during the ban. It has the first connection that there is, for
        nothing else shows that it is back.
        """
        server = self.servers.get(event.server)
        if event.banned:
            if server is not None and event.server not in self.banned:
                self._leave_within(server, int(LEAVE_AIMS * self.aim_ns))
            self.banned.setdefault(event.server, event.since_ns)
            if event.server in self.called:
                self.called.remove(event.server)
            return
        since = self.banned.pop(event.server, None)
        if since is None or server is None:
            return
        known = server.started_ns > since
        self._starts_cold(server, server.started_ns if known else self.now, 1.0)
        self.called.append(event.server)
        self._place_waiting()

    def memory(self) -> Memory:
        """What this balancer has learned, for the one that takes its place."""
        return Memory(
            tuple(ServerMemory(
                it.id, it.load, it.load_ns, it.held, it.fills, it.faults, it.aside_until, it.started_ns,
                it.cold_ns, it.budget, it.budget_ns, it.probed_ns,
            ) for it in self.servers.values()),
            self.told_load, self.told_count, self.spread, self.window, tuple(self.called),
        )

    def _remember(self, told: Memory) -> None:
        """Takes over what another has learned. Of a server that has started since, its size holds."""
        for it in told.servers:
            server = self.servers.get(it.server)
            if server is None:
                continue
            server.fills = it.fills
            if server.started_ns != it.started_ns:
                continue
            server.load, server.load_ns, server.held = it.load, it.load_ns, it.held
            server.faults, server.aside_until, server.cold_ns = it.faults, it.aside_until, it.cold_ns
            server.budget, server.budget_ns, server.probed_ns = it.budget, it.budget_ns, it.probed_ns
        self.told_load, self.told_count = told.told_load, told.told_count
        self.spread, self.window = told.spread, told.window
        self.called = [it for it in told.called if it in self.servers and it not in self.banned]
        self.survey_ns = self.now

    def _off(self, server: Server) -> bool:
        """Whether a server is told to be left out, by the list or by hand."""
        return server.down or server.id in self.banned

    def _is_cold(self, server: Server) -> bool:
        return server.cold_ns > 0 and self.now < server.cold_ns + self.settings.warm_within_ns

    def _warmth(self, server: Server) -> float:
        """The least part of its capacity that a server has by now: the climb is never slower than even."""
        if not self._is_cold(server):
            return 1.0
        part = max(0, self.now - server.cold_ns) / self.settings.warm_within_ns
        return self.settings.cold_from + (1.0 - self.settings.cold_from) * part

    def _cold_room(self, server: Server) -> bool:
        """Whether this balancer's own share of a cold server's budget has room for one more.

        Guards against pushing over a server that has just started. Its budget is a multiple of the rate of
        connections that fills it while it warms; this balancer may use its own part of that. The part can be
        less than one connection, so the first waits for a chance moment.
        """
        if not self._is_cold(server):
            return True
        rules = self.settings
        if not server.fills and self.full_connections is None:
            return server.id in self.called and server.budget >= 1.0
        full = server.fills or (self.full_connections or 0.0) * server.weight
        rate = full / rules.warm_within_ns * self._warmth(server) * rules.fall_multiple * COLD_SAFETY
        server.budget = min(1.5, server.budget + rate / rules.balancers * (self.now - server.budget_ns))
        server.budget_ns = self.now
        return server.budget >= 1.0

    # --- load estimate: reports, capacity, inflation ------------------------------------------------

    @staticmethod
    def _field(fields: tuple[str, ...], *names: str) -> int | None:
        return next((fields.index(name) for name in names if name in fields), None)

    def _learn(self, server: Server, load: float, report: tuple[float, ...]) -> None:
        """What a server can do, from the connections and the load that it reports together.

        Guards against one that is far slower than its weight says: by its weight it would be filled over its
        head after each report that shows it free.
        """
        if self.held_field is None or self.held_field >= len(report):
            return
        held = report[self.held_field]
        if not 0.0 <= held < 1e6:
            return
        server.held = held
        if held >= LEARN_LEAST and load >= LEARN_LOAD:
            seen = held / load / self._warmth(server)
            server.fills += (seen - server.fills) * (LEARN_PART if server.fills else 1.0)

    def _take_report(self, server: Server, report: tuple[float, ...]) -> None:
        if self.load_field is None or self.load_field >= len(report):
            return
        load = report[self.load_field]
        if not 0.0 <= load < 1e6:  # also drops what is not a number
            return
        self._learn(server, load, report)
        server.load = load
        server.load_ns = self.now
        server.lot = self.chance.random()
        covered = self.now - int(CATCH_UP_AIMS * self.aim_ns)
        server.placements = [item for item in server.placements if item[0] > covered]
        self._ease(server)

    def _inflation(self, server: Server) -> float:
        """Predicted load of placements that the last report does not cover yet, or covers in part.

        This balancer sees its own slice only; the others, of which it is told the number, are taken to have
        placed alike.
        """
        if not server.placements:
            return 0.0
        span = CATCH_UP_AIMS * self.aim_ns
        total = 0.0
        for placed_ns, amount in server.placements:
            total += amount * (1.0 - max(0.0, min(1.0, (server.load_ns - placed_ns) / span)))
        return total * self.settings.balancers

    def _typical(self) -> float:
        """The usual load of a connection here; the unit of everything when no load is ever told."""
        return self.told_load / self.told_count if self.told_count else 1.0

    def _estimate(self, flow: Flow, server: Server | None) -> float:
        """A placement's predicted load: as told, else the server's average, else the floor; clamped."""
        floor = self._typical() / math.sqrt(CLAMP_RATIO)
        if flow.load is not None:
            told = flow.load
        elif server is not None and server.own:
            told = server.own_load / len(server.own)
        else:
            told = floor
        return min(max(told, floor), floor * CLAMP_RATIO)

    def _survey(self) -> None:
        """Sums up the fleet in one pass, now and then: its mean load, and capacity for each unit of weight.

        That capacity is learned, in the unit of loads and in connections, as what all balancers hold (this
        one's, times their number) over what the reports say is in use. Guards against reports from before a
        surge, which say that next to nothing is in use: a share of the fleet at the least is taken to be.
        """
        self.survey_ns = self.now + int(SURVEY_AIMS * self.aim_ns)
        self.surveyed_load = self.own_load
        own = sum(len(server.own) for server in self.servers.values())
        self.mean_own = self.own_load / own if own else self._typical()
        weight = used = told_weight = warm_used = 0.0
        clipped = warm_held = 0.0
        self.learned = sum(server.fills > 0 for server in self.servers.values())
        held_told = held_own = 0.0
        for server in self.servers.values():
            if self._off(server):
                continue
            weight += server.weight
            if server.load is None:
                continue
            used += server.weight * server.load
            held_told += server.held
            held_own += len(server.own)
            # Guards against a fleet held for full by reports from a storm that is over.
            trust = server.weight * 0.5 ** ((self.now - server.load_ns) / (MEAN_AIMS * self.aim_ns))
            told_weight += trust
            clipped += trust * min(server.load, 1.0)
            if not self._is_cold(server):
                warm_held += len(server.own)
                warm_used += server.weight * server.load
        if held_own >= SPREAD_LEAST and self.held_field is not None:
            told = min(max(held_told / held_own, 1.0), 2.0 * self.settings.balancers)
            self.spread += (told - self.spread) * SPREAD_PART
        held = max(self.own_load, self._typical()) * self.settings.balancers
        self.scale = max(held / max(used, weight * GUESSED_FULLNESS, 1e-9), 1e-9)
        self.mean_load = clipped / told_weight if told_weight > 0 else 0.0
        known = [it for it in self.servers.values() if it.load is not None and it.id not in self.banned]
        self.load_after = load_after(
            ((it.weight * self._warmth(it), it.load or 0.0) for it in known if not it.down),
            ((it.weight, it.load or 0.0) for it in known if it.down and it.own),
        )
        self.full_connections = None
        if warm_held >= 1 and warm_used > 0:
            self.full_connections = warm_held * self.settings.balancers / warm_used

    def _book(self, flow: Flow, server: Server) -> None:
        flow.estimate = self._estimate(flow, server)
        flow.server = server
        flow.placed_ns = self.now
        server.own[flow.request] = flow
        server.own_load += flow.estimate
        self.own_load += flow.estimate
        self.shares.held[flow.tenant] += 1
        if flow.group:
            server.groups[flow.group] = server.groups.get(flow.group, 0) + 1

    def _unbook(self, flow: Flow) -> None:
        server = flow.server
        if server is None or server.own.pop(flow.request, None) is None:
            return
        server.own_load = max(0.0, server.own_load - flow.estimate) if server.own else 0.0
        self.own_load = max(0.0, self.own_load - flow.estimate)
        self.shares.held[flow.tenant] -= 1
        if flow.group:
            left = server.groups.get(flow.group, 0) - 1
            if left > 0:
                server.groups[flow.group] = left
            else:
                server.groups.pop(flow.group, None)
        if not server.listed and not server.own:
            self.servers.pop(server.id, None)

    def _on_load_note(self, event: LoadNote) -> None:
        flow = self.flows.get(event.request)
        if flow is None or flow.server is None or flow.request not in flow.server.own:
            return
        server = flow.server
        flow.load = float(event.load)
        estimate = self._estimate(flow, server)
        server.own_load += estimate - flow.estimate
        self.own_load += estimate - flow.estimate
        flow.estimate = estimate

    # --- score and choice ---------------------------------------------------------------------------

    def _capacity(self, server: Server) -> float:
        """What a server can do, in the unit of loads."""
        full = server.fills * self.mean_own if server.fills else self.scale * server.weight
        return max(full * self._warmth(server), 1e-9)

    def _score(self, server: Server, flow: Flow) -> float:
        capacity = self._capacity(server)
        if server.load is None:
            free = POINTS
            band = POINTS - server.own_load * self.settings.balancers * POINTS / capacity
        else:
            load = self._load(server)
            free = max(0.0, POINTS - load * POINTS)
            band = POINTS - load * POINTS
        band = max(0.0, band)
        band -= min(band, self._inflation(server) * POINTS / capacity)
        score = free + free + band
        if flow.group and flow.group in server.groups:
            score += KEEPS_GROUP if self.settings.groups else GROUP_BONUS
        if server.zone != self.settings.zone:
            score -= self.settings.cross_fee * CROSS_POINTS
        return score

    def _order(self, flow: Flow) -> None:
        """Draws a connection's order of servers: by the hash of its group or key with the server's id.

        Guards against herds, against the cost of ranking a large fleet for each connection, and against
        lost handovers: every balancer draws the same order for the same key.
        """
        about = mix(flow.group or flow.key or flow.request)
        servers = sorted(
            self.servers.values(), key=lambda item: ((item.salt ^ about) * 0x9E3779B97F4A7C15) & MASK
        )
        zone = self.settings.zone
        flow.near = [item for item in servers if item.zone == zone]
        flow.far = [item for item in servers if item.zone != zone]
        flow.order_version = self.list_version

    def _sample(self, flow: Flow) -> list[Server]:
        """The candidates of a placement: the next few of this zone and the next few elsewhere."""
        if flow.order_version != self.list_version:
            self._order(flow)
        if flow.group and self.settings.groups:
            picked = self._homes(flow)
            if picked or flow.drawn:
                return picked
        picked = []
        for servers in (flow.near, flow.far):
            skip = CHOICES * flow.drawn
            for server in servers:
                if server.aside_until > self.now or not self._may_send(flow, server):
                    continue
                if server.id in flow.tried or not self._cold_room(server):
                    continue
                skip -= 1
                if skip < 0:
                    picked.append(server)
                    if skip <= -CHOICES:
                        break
        if not picked and flow.drawn == 0:
            # Nothing is well and untried: one that was tried or put aside is better than none.
            picked = [it for it in flow.near + flow.far if self._may_send(flow, it) and self._cold_room(it)]
            picked = picked[:CHOICES]
        if self.called and flow.drawn == 0:
            picked += [it for it in flow.near + flow.far if it.id in self.called and it not in picked
                       and it.aside_until <= self.now and self._may_send(flow, it) and self._cold_room(it)]
        return picked

    def _homes(self, flow: Flow) -> list[Server]:
        """The candidates of a connection whose group pays at each server that holds any; these first."""
        picked: list[Server] = []
        for servers in (flow.near, flow.far):
            may = [it for it in servers if it.aside_until <= self.now and self._may_send(flow, it)
                   and it.id not in flow.tried and self._cold_room(it)]
            picked += [it for it in may if flow.group in it.groups]
            picked += [it for it in may if flow.group not in it.groups]
        return picked

    def _over(self, tenant: int) -> bool:
        """Whether a tenant has to give way: room is short, and it holds more than its share."""
        scarce = self.mean_load > SCARCE
        return scarce and self.shares.over(tenant, self.settings.tenants, self.settings.balancers)

    def _load(self, server: Server) -> float:
        """The load as reported, or as this balancer's own books say where that is more.

        Guards against reports from before a surge: what is held here is known at once.
        """
        told = server.load or 0.0
        if not server.fills:
            return told
        return max(told, min(server.own_load * self.spread / self._capacity(server), OWN_MOST))

    def _predicted(self, server: Server) -> float:
        """Load over capacity, with what is on its way."""
        capacity = self._capacity(server)
        if server.load is None:
            return 0.0
        return self._load(server) + self._inflation(server) / self.settings.balancers / capacity

    def _has_room(self, server: Server, flow: Flow) -> bool:
        """Whether a server can take one more without being full.

        Where the fleet has no room, every balancer has clients waiting, and what reports a little room would
        be flooded by all at once: then each takes its own share of that room only, rounded by chance.
        """
        if server.delay.misses(flow.klass.message_aim_ns, self.now):
            return False
        untold = len(server.own) * self.spread - server.held
        unknown = not server.fills and not self._is_cold(server)  # a cold one has its budget
        if unknown and 2 * self.learned > len(self.servers) and untold >= UNKNOWN_MOST:
            # Guards against one that is far slower than its weight says: the others have shown what they do.
            return False
        if server.load is None:
            return True
        if self.shares.over(flow.tenant, self.settings.tenants, self.settings.balancers):
            return self._predicted(server) < IDLE
        if self.mean_load <= ROOMY:
            return self._predicted(server) < self.full
        one = self._estimate(flow, server) * self.settings.balancers
        capacity = self._capacity(server)
        return self._load(server) + (self._inflation(server) + one * server.lot) / capacity < self.full

    def _choose(self, flow: Flow, sample: list[Server]) -> Server | None:
        """The best of the candidates; one that owes its report for too long only if no other is left.

        Guards against a jam: a server that is full serves nothing of what is added, and what it drops comes
        again and is set up again, until set-ups alone fill the fleet.
        """
        answering = [it for it in sample if not it.probe_out] or sample
        open_ones = [it for it in answering if self._has_room(it, flow)]
        if not open_ones:
            return None
        if flow.group and self.settings.groups:
            marks = ((flow.group in it.groups, it.zone == self.settings.zone) for it in open_ones)
            kept = {open_ones[at].id for at in few(marks)}.union(self.called)
            open_ones = [it for it in open_ones if it.id in kept]
        return max(open_ones, key=lambda it: (
            it.id in self.called, self._score(it, flow), self.chance.random()
        ))

    def avoided(self) -> int:
        """How many of the servers on the list get nothing new now."""
        return sum(
            it.listed and (self._off(it) or it.aside_until > self.now) for it in self.servers.values()
        )

    # --- health -------------------------------------------------------------------------------------

    def _fault(self, server: Server) -> None:
        """Guards against a server that does not answer: it is left out for a while, longer each time."""
        aims = ASIDE_AIMS * 2.0 ** min(server.faults, ASIDE_DOUBLINGS)
        server.aside_until = self.now + int(aims * self.aim_ns)
        server.faults += 1

    def _well(self, server: Server) -> None:
        server.silence.heard()
        server.faults = 0
        server.aside_until = 0

    def _on_line_owed(self, event: LineOwed) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            server.silence.owes = True
            self._doubt(server)

    def _doubt(self, server: Server) -> None:
        """There is a sign that a server is silent: it is given up, or asked whether it is there.

        Guards against connections that stay where nothing answers. Where one is given up, those of its zone
        that hold connections are asked too: a zone is lost, or cut off, as one.
        """
        zone = [it for it in self.servers.values() if it.zone == server.zone and it is not server]
        zone_silent = self.settings.zones > 1 and any(it.silence.given_up for it in zone)
        if not server.silence.silent(zone_silent):
            self._ask_if_there([server])
        elif not server.silence.given_up:
            server.silence.given_up = True
            self._move(self._standing(server))
            self._ask_if_there(zone)

    def _ask_if_there(self, servers: list[Server]) -> None:
        """Probes those of the servers that hold connections of this balancer's, whatever the credit."""
        for server in servers:
            if self.settings.probes and server.own and not server.probe_out and not self._off(server):
                self._probe(server)

    def _on_delay_note(self, event: DelayNote) -> None:
        """Messages take long at a server. Where they miss their aim, its report is asked for first, and what
        is too much for it moves away. Guards against a server gone slow that a thin traffic seldom probes.
        """
        server = self.servers.get(event.server)
        if server is None:
            return
        server.delay.note(event.delay_ns, self.now)
        if server.delay.misses(self.message_aim_ns, self.now):
            if self.can_probe and self._may_probe(server):
                self._probe(server)
            self._shed(server, server.delay.excess(self.drained, int(CATCH_UP_AIMS * self.aim_ns)))

    # --- request life cycle: attempts, deadlines, effect kinds, final answer ------------------------

    def _on_request(self, event: Request) -> None:
        if event.request in self.flows or event.klass >= len(self.settings.classes):
            return
        flow = Flow(event, self.settings.classes[event.klass])
        self.flows[event.request] = flow
        if flow.load is not None:
            self.told_load = self.told_load * RATE_HALVING + flow.load
            self.told_count = self.told_count * RATE_HALVING + 1.0
        self.probe_credit = min(PROBES_SAVED, self.probe_credit + PROBES_PER_REQUEST)
        self.actions.append(Timer(max(0, flow.deadline_ns - self.tick_ns - self.now), event.request + 1))
        self._place(flow)

    def _on_inherited(self, event: Inherited) -> None:
        server = self.servers.get(event.server)
        request = event.request
        if request.request in self.flows or request.klass >= len(self.settings.classes):
            return
        flow = Flow(request, self.settings.classes[request.klass])
        flow.attempts, flow.out, flow.standing = 1, True, True
        self.flows[request.request] = flow
        if server is not None:
            self._book(flow, server)

    def _place(self, flow: Flow) -> None:
        """Sends the request's next attempt, or holds the request where nothing may have it now."""
        self.waiting[flow.request] = flow
        if self.setting_up >= self.window:
            return
        sample = self._sample(flow) if flow.drawn < DRAWS else []
        if not sample:
            # All were passed over, or none may have it: from the start again after a while, longer each time.
            flow.drawn, flow.asked = 0, False
            self._hold(flow)
            return
        if not flow.asked and self._ask_candidates(flow, sample):
            return
        server = self._choose(flow, sample)
        if server is None and self._over(flow.tenant):
            self._answer(flow)
            return
        if server is None:
            flow.drawn, flow.asked = flow.drawn + 1, False
            flow.hold_until = self.now
            return
        del self.waiting[flow.request]
        flow.drawn, flow.asked = 0, False
        self._send(flow, server)

    def _hold(self, flow: Flow) -> None:
        flow.holds += 1
        aims = HOLD_AIMS * 2.0 ** min(flow.holds, HOLD_DOUBLINGS) * self.chance.random()
        flow.hold_until = self.now + int(aims * flow.klass.aim_ns)

    def _send(self, flow: Flow, server: Server) -> None:
        left = flow.deadline_ns - self.now
        limit = left
        if flow.klass.effect is Effect.SAFE and flow.attempts + 1 < self.settings.max_attempts:
            # Guards against a silent server: leave time for another one.
            # The time-out doubles: where all are slow, cutting off work only to ask for it again adds to it.
            limit = min(left, int(flow.klass.aim_ns * ATTEMPT_AIMS * 2.0 ** flow.attempts))
        flow.attempts += 1
        flow.out = True
        self.setting_up += 1
        flow.tried.append(server.id)
        if self._is_cold(server):
            server.budget -= 1.0
        self._book(flow, server)
        server.placements.append((self.now, flow.estimate))
        self.actions.append(Send(flow.request, server.id, max(1, limit)))

    def _may_send(self, flow: Flow, server: Server) -> bool:
        """Whether the four rules allow this request's next attempt at this server."""
        if self._off(server) or not server.listed:
            return False
        if flow.maybe_server is None or flow.klass.effect is Effect.SAFE:
            return True
        if flow.klass.effect is Effect.UNSAFE:
            return False
        if self.now - flow.maybe_ns >= flow.klass.window_ns:
            return False
        if flow.klass.scope is Scope.ALL:
            return True
        if flow.klass.scope is Scope.ZONE:
            return server.zone == flow.maybe_server.zone
        return server.zone == flow.maybe_server.zone and server.cell == flow.maybe_server.cell

    def _on_established(self, event: Established) -> None:
        flow = self.flows.get(event.request)
        server = self.servers.get(event.server)
        if server is not None:
            self._well(server)
            if server.id in self.called:
                self.called.remove(server.id)
        if flow is None or not flow.out or event.attempt != flow.attempts - 1:
            return
        if not flow.standing:
            flow.standing = True
            self.setting_up -= 1
            self._widen()

    def _on_outcome(self, event: Outcome) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            if event.report:
                self._take_report(server, event.report)
            if event.result in (Result.TIMEOUT, Result.CONNECT_FAILED):
                self._fault(server)
        flow = self.flows.get(event.request)
        if flow is None or not flow.out or event.attempt != flow.attempts - 1:
            return
        if not flow.standing:
            self.setting_up -= 1
            if event.result in (Result.ERROR, Result.TIMEOUT, Result.REJECTED):
                self._narrow()
        if not flow.standing and flow.server is not None and event.result in NEVER_RAN:
            undone = (flow.placed_ns, flow.estimate)
            flow.server.placements = [item for item in flow.server.placements if item != undone]
        if event.result not in NEVER_RAN and flow.maybe_server is None:
            flow.maybe_server, flow.maybe_ns = flow.server, flow.placed_ns
        self._unbook(flow)
        flow.out = False
        if event.finished or flow.over:
            self._forget(flow)
        elif (
            flow.attempts >= self.settings.max_attempts
            or self.now + self.tick_ns >= flow.deadline_ns
            or (flow.maybe_server is not None and flow.klass.effect is Effect.UNSAFE)
        ):
            self._answer(flow)
        elif event.result is not Result.CONNECT_FAILED and flow.attempts > 1:
            self._hold(flow)
            self.waiting[flow.request] = flow
        else:
            self._place(flow)

    def _on_client_gone(self, event: ClientGone) -> None:
        flow = self.flows.get(event.request)
        if flow is not None:
            self._end(flow)

    def _on_deadline(self, request: RequestId) -> None:
        flow = self.flows.get(request)
        if flow is None or flow.over or flow.standing:
            return
        if flow.out and self.now < flow.deadline_ns:
            self.actions.append(Timer(flow.deadline_ns - self.now, request + 1))  # its attempt has until then
        else:
            self._answer(flow)

    def _answer(self, flow: Flow) -> None:
        """The final answer of a request that could not be served: refused where that is true, else failed."""
        if flow.over:
            return
        if flow.out:
            if self.settings.cancels:
                self.actions.append(Cancel(flow.request, flow.attempts - 1))
            harmless = flow.klass.effect is Effect.SAFE
        else:
            harmless = (
                flow.maybe_server is None
                or flow.klass.effect is Effect.SAFE
                or (flow.klass.effect is Effect.KEYED and flow.klass.scope is Scope.ALL)
            )
        pause = int(self.settings.max_pause_ns * self.chance.uniform(0.5, 1.0)) if self.settings.pauses else 0
        self.actions.append(Refuse(flow.request, pause) if harmless else Fail(flow.request))
        self._end(flow)

    def _end(self, flow: Flow) -> None:
        flow.over = True
        self.waiting.pop(flow.request, None)
        if not flow.out:
            self._forget(flow)

    def _forget(self, flow: Flow) -> None:
        self._unbook(flow)
        self.waiting.pop(flow.request, None)
        self.flows.pop(flow.request, None)

    # --- admission and fairness ---------------------------------------------------------------------

    def _widen(self) -> None:
        if self.window < WINDOW_MOST:
            self.window += 1.0
        if self.waiting:
            self._place_waiting()

    def _narrow(self) -> None:
        """Guards against a storm: set-ups that fail come again, and jam the servers and what they share.

        The number of attempts that may be out at once halves with each that fails and grows by one with each
        that succeeds, so that it settles where about a third fail.
        """
        self.window = max(1.0, min(self.window, self.setting_up + 1.0) / 2)

    def _place_waiting(self) -> None:
        for flow in list(self.waiting.values()):
            if self.setting_up >= self.window:
                break
            if self.now >= flow.hold_until:
                self._place(flow)

    # --- probing ------------------------------------------------------------------------------------

    def _may_probe(self, server: Server) -> bool:
        stale = server.probed_ns < 0 or self.now - server.probed_ns >= FRESH_AIMS * self.aim_ns
        return stale and not server.probe_out and self.probe_credit >= 1.0 and not self._off(server)

    def _probe(self, server: Server) -> None:
        self.probe_credit -= 1.0
        server.probe_out = True
        server.probed_ns = self.now
        self.actions.append(Probe(server.id))

    def _ask_candidates(self, flow: Flow, sample: list[Server]) -> bool:
        """Probes the candidates whose reports are old; whether the placement should wait for the answers."""
        flow.asked = True
        if not self.can_probe:
            return False
        first = HOMES_ASKED if flow.group and self.settings.groups else len(sample)
        for server in sample[:first]:
            if self._may_probe(server):
                self._probe(server)
                server.watchers.append(flow)
                flow.awaiting += 1
        flow.hold_until = self.now + int(HOLD_AIMS * flow.klass.aim_ns)
        return flow.awaiting > 0

    def _spend_probes(self) -> None:
        """Asks the servers whose reports are oldest, as far as the traffic's budget goes."""
        if not self.can_probe or self.probe_credit < PROBES_SAVED / 2:
            return
        due = [item for item in self.servers.values() if not self._off(item) and not item.probe_out]
        due.sort(key=lambda item: item.probed_ns)
        for server in due[:int(self.probe_credit - PROBES_SAVED / 2)]:
            if self._may_probe(server):
                self._probe(server)

    def _on_probe(self, event: ProbeResult) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        server.probe_out = False
        if event.result is Result.SERVED:
            self._well(server)
            self._take_report(server, event.report)
        elif event.result is not Result.REJECTED:
            self._fault(server)
        if event.result in UNHEARD and event.took_ns >= self.settings.dial_timeout_ns:
            server.silence.missed += 1
            self._doubt(server)
        else:
            server.silence.heard()  # a refused connection too: the machine is there, and resets what it lost
        watchers, server.watchers = server.watchers, []
        for flow in watchers:
            flow.awaiting -= 1
            if flow.awaiting == 0 and flow.request in self.waiting:
                flow.hold_until = 0
                self._place(flow)

    # --- moves --------------------------------------------------------------------------------------

    def _ease(self, server: Server) -> None:
        """Moves connections off a server that is far more loaded than the rest.

        Guards against connections that stay on a server gone slow, or that grew together. Every balancer
        moves the same part of its own connections there, so that together they move about what is too
        much; then none moves more until a report can show it.
        """
        if server.load is None or self.now < server.moved_ns or self._off(server):
            return
        if self.settings.groups:
            return  # wherever it goes its group pays anew: evening out fills the fleet
        mean = self.mean_load
        if mean <= ROOMY:
            if server.load <= max(CROWDED, mean * CROWDED_RATIO):
                return
            if self.now < server.trusted_ns and server.load > server.moved_load * SHOWN:
                return  # guards against late reports: this one does not show the last move yet
            goal = max(EASED, mean)
        elif server.load > OVER:
            goal = self.drained
        else:
            return
        self._shed(server, 1.0 - goal / server.load)
        server.moved_ns = self.now + int(CATCH_UP_AIMS * self.aim_ns)
        server.trusted_ns = self.now + int(LATE_AIMS * self.aim_ns)
        server.moved_load = server.load

    def _shed(self, server: Server, part: float) -> None:
        """Moves this part of this balancer's own load on a server, rounded by chance: all do the same.

        What is worth least for its load goes first, and by chance where that is alike.
        """
        wanted = server.own_load * part
        if wanted <= 0.0 or self._off(server):
            return
        standing = self._standing(server)
        self.chance.shuffle(standing)
        standing.sort(key=self._worth)
        for flow in standing:
            if wanted < flow.estimate * self.chance.random():
                break
            wanted -= flow.estimate
            self._move([flow])

    def _worth(self, flow: Flow) -> float:
        part = self.settings.over_share_worth if self._over(flow.tenant) else 1.0
        return worth_kept(flow.klass, flow.estimate, part)

    @staticmethod
    def _standing(server: Server) -> list[Flow]:
        """The connections that stand there and are not on their way."""
        return [flow for flow in server.own.values() if flow.standing and not flow.over]

    def _move(self, flows: list[Flow]) -> None:
        for flow in flows:
            flow.over = True
            self.actions.append(Move(flow.request))

    def _leave_within(self, server: Server, span_ns: int) -> None:
        """A server drains or is banned now: its connections go within this, or sooner where that was said."""
        by_ns = self.now + span_ns
        server.leave_ns = min(server.leave_ns, by_ns) if self._off(server) else by_ns

    def _leave_drained(self) -> None:
        """Moves connections off servers that drain or are banned.

        Guards against connections that are cut off when such a server stops. They go in the last aim for
        which it surely stands, what a set-up may take, if the others have room for them; else they are better
        off where they are. Off one that is banned they go at once, and a share rounded up at each tick:
        operators wait to restart it.
        """
        for server in self.servers.values():
            banned = server.id in self.banned
            if not (server.own and (banned or (server.down and server.listed))):
                continue
            standing = self._standing(server)
            left = server.leave_ns - self.now
            if left <= 0 and not banned:
                left = self.aim_ns  # there was no room before
            chance = leaving_chance(left, self.tick_ns)
            if banned:
                standing = standing[:math.ceil(len(standing) * chance)]
            elif left > self.aim_ns or self.load_after > ROOMY:
                continue
            else:
                standing = [flow for flow in standing if self.chance.random() < chance]
            self._move(standing)

    # --- list following -----------------------------------------------------------------------------

    def _follow_list(self) -> None:
        """Asks for the list until it is followed. Calls are spread: the list serves all instances in turn."""
        if self.ask_ns is None or self.now < self.ask_ns:
            return
        self.ask_ns = None
        self.actions.append(Subscribe())

    def _on_list_came(self) -> None:
        self.ask_ns, self.list_fails = None, 0

    def _on_list_failed(self, asked: bool) -> None:
        """Guards against a list that is down or overrun: ask again later, at a chance moment.

        Soon at first, for most calls fail because a connection broke, and what changes meanwhile is not told;
        then at twice the distance each time. Where no call was made at all, the time within which the list
        has to be asked for runs on (`Rules.AskWithinNs`; a call that failed makes it four times that).
        """
        soon = CALLS_APART_NS * self.settings.balancers << min(self.list_fails, 20)
        most = self.settings.ask_within_ns
        step = max(1, min(soon, int(most * ASK_SPREAD / 2) if most else self.aim_ns))
        self.list_fails += 1
        after = step // 2 + self.chance.randrange(step)
        shared = self.asking.shared and asked
        self.ask_ns = self.now + (self.asking.retry_ns(self.list_fails) if shared else after)
        self.actions.append(Log("server list: call failed, asking again"))
