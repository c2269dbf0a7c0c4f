"""The decision module of loadbalancer. Its types, events and actions are in loadbalancer/interface.py.

Cursor-table admission: every period the pool's load moves a cursor one step over a table of queue
thresholds; a call that meets its row's threshold is refused at once; an admitted call goes to the
best-ranked ready server. Exceptions are marked `Guard:` with the failure they answer.
Sans-I/O: `Balancer.handle(now_ms, event)` returns actions; no clock, no globals, a random source of its own.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

from loadbalancer import interface as api
from loadbalancer.priority_levels import Group, groups_of
from loadbalancer.retry_policy import Quantile, RetryBudget, Spent, backoff_ms

PERIOD = 0.15  # P, as a share of the shortest aim
FLAT = 2  # n: slots of T1 at the table's left
STEPS = 14  # slots after them
STEP = 0.86  # each of which is this share of the one before
OCTAVES = 4.0  # worth this many halvings under the highest gets the lowest row
ROW_GAP = 0.25  # the lowest row's T1 is lower by this share
TOP_BEND = 0.5  # and the top row bends this much less in each slot: low worth is shed first
LEAST = 0.1  # no entry is less, so that some calls are let through to find out
RETRY_WORTH = 0.5  # a marked retry counts as this share of its class's worth
T1_SLACK = 0.30  # T1 holds what completes in the quiet latency plus this share of what is left to the aim
ROOTS = 2.0  # and this many of its square roots, for chance (small pools vary more)
START_MS = 3000.0  # but no less than the settings' start for each ready server until rates are known
FLOOR = 2.0  # and this much afterwards
FEW_QUIET = 8  # answers that are enough to know a pool in its first period
QUIET = 0.1  # share of the aim under which no latency is load, whatever it was before
BORNE = 2.0  # T1 holds so many times what the pool has borne in quiet
SLACK = 0.11  # target: quiet latency plus this share of the way from there to the aim
SLACK_ROOM = 0.3  # the same while the servers are far from crowded: latency is then mostly chance
CROWD = 5.0  # calls in flight a server, all siblings' taken to be like ours, from which they may be crowded
SLACK_SEEN = 0.35  # the same where utilisation is reported: latency then stands for the tiers below only
WEIGHTY = 20.0  # outcomes that give a period half the say in the smoothed latency
JAM = 0.6  # a smoothed latency over this share of the aim also counts in a period without answers
BASE_LEAST = 20  # outcomes from which the quiet baseline is first taken
BASE_FALL = 0.1  # how fast the quiet baseline follows a lower period,
BASE_RISE = 0.01  # and a higher one
UTIL_TARGET = 0.97  # target of the median reported utilisation
UTIL_ROOM = 0.03  # less this much where many balancers, each seeing little, load servers unevenly,
FEW = 8.0  # that is, where there are more than this many
FULL_TARGET = 0.05  # target share of attempts turned away
RATE_MS = 1000.0  # smoothing of the completion rate
PEAK_MS = 15000.0  # how slowly the rate's peak is forgotten
GAIN = 0.2  # smoothing of a server's latency and errors, per outcome
CLASS_GAIN = 0.03  # smoothing of a class's latency, per outcome
PANIC = 0.5  # share of errors at the middle server from which
PANIC_MS = 5000.0  # errors are forgotten at this pace
FORGET_MS = 8000.0  # an unheard server drifts back to the mean at this pace
STALE_MS = 500.0  # a reported queue is believed for about this long
FRESH_MS = 1500.0  # a reported utilisation counts for this long
JITTER = 0.1  # width of the draw that parts equal ranks
ZONE_WEIGHT = 64.0  # calls in the queue that a crossing of zones counts as, per unit of its price
WATCH_MS = 250.0  # half the first wait before discovery is asked again; doubled at each failure
WATCH_DOUBLINGS = 8  # that many times at most
WATCH_MAX_MS = 4000.0  # the longest such wait
COLD_SHARE = 0.4  # of the overload factor: what a cold server may get of its present capacity
HEDGE_SHARE = 0.95  # of a class's answers come before a second copy of a call may go out
BACKOFF_MAX_MS = 1000.0  # the longest wait before a retry
SOUR = 0.2  # smoothed share of failed attempts of the pool, from which a retry waits before it goes out
SOUR_GAIN = 0.1  # smoothing of it, per outcome
USEFUL = 2.0  # a retry waits no longer than leaves this many mean latencies of its class
AIM_MARGIN = 0.98  # attempts worth nothing late are given up at this share of the aim
ASK_SHARE = 0.2  # of an average server's calls: what one that stands apart gets, to find out how it is now
ASK_MS = 500.0  # the least time between two such calls; doubled for each failure in a row,
ASK_DOUBLINGS = 3  # so many times at most
ASK_WAIT = 0.34  # share of a request's time that such a call may take, so that another can follow
SILENT_MS = 15_000.0  # or one that has failed is not asked for so long
OUT = 2  # failures in a row from which a server is out
BACK = 0.5  # share of its errors that one which was out keeps at each answer,
TRUSTED = 0.05  # until it has less than these, and its rank has it asked as any other


@dataclass(slots=True)
class _Peer:
    """What this balancer knows of one server."""

    info: api.Server
    slow: float | None = None  # smoothed latency over its class's mean
    errs: float = 0.0  # smoothed share of failed attempts
    heard_ms: float = -math.inf
    load: float = 0.0  # calls in flight from here, by weight, those given up too while they may run on
    given_up: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # when each is held to end, its weight
    queue: float = 0.0  # reported waiting requests
    told_ms: float = -math.inf
    util: float | None = None
    fails: int = 0  # in a row
    lost: bool = False  # one of them was no answer at all, so that it may have been started anew
    returns: bool = False  # it was out, and has answered since
    asked_ms: float = -math.inf  # when it was last sent a call
    back_ms: float | None = None  # since when it answers again, where lists don't tell of starts
    out: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first


@dataclass(slots=True)
class _Bucket:
    """A tenant's share at this balancer, in requests a second."""

    quota: float
    tokens: float
    then: float


@dataclass(slots=True)
class _Try:
    peer: _Peer
    sent_ms: float
    idle_ms: float  # since the server was last sent a call
    result: api.Result | None = None  # None: still out


@dataclass(slots=True)
class _Job:
    """One request and its attempts."""

    request: api.Request
    kind: api.ServiceClass
    taken_ms: float
    units: float  # its weight in the queue
    tries: list[_Try] = field(default_factory=list)
    done: bool = False
    streaming: bool = False
    beside: float = 0.0  # calls in flight when it was taken, with it
    waits: bool = False  # for the moment of its next attempt, which the budget has given

    def out(self) -> int:
        return sum(1 for item in self.tries if item.result is None)

    def may_have_run(self) -> list[_Try]:
        return [item for item in self.tries if item.result is None or not item.result.never_ran]


def _group(kind: api.ServiceClass, peer: _Peer) -> tuple[str, int]:
    """The servers among which a repeat of this keyed class is dropped."""
    zone = "" if kind.scope is api.Scope.ALL else peer.info.zone
    return zone, peer.info.cell if kind.scope is api.Scope.CELL else 0


def _ratio(latency_ms: float, mean_ms: float, near_ms: float) -> float:
    """How much slower than the mean; `near_ms` on both sides has small differences count little.

    Guard: beside a mean of a fraction of a millisecond any hitch made a server look a hundred times slower.
    """
    whole = mean_ms + near_ms
    return max(0.0, latency_ms + near_ms) / whole if whole > 0.0 else 1.0


def _middle(values: list[float]) -> float | None:
    return sorted(values)[len(values) // 2] if values else None


class Balancer:
    def __init__(self, settings: api.Settings, seed: int, now_ms: float) -> None:
        self.cfg = settings
        self.rng = Random(seed)
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.period_ms = PERIOD * min(kind.aim_ms for kind in settings.classes)
        self.top_worth = max(kind.worth for kind in settings.classes) or 1.0
        self.shape = [1.0] * FLAT + [STEP**step for step in range(1, STEPS + 1)]
        self.cursor = 0
        self.heard = WEIGHTY  # outcomes since it last went right
        self.peers: dict[str, _Peer] = {}
        self.ready: list[_Peer] = []  # the servers in use
        self.levels: api.Levels | None = None
        self.groups: list[Group[_Peer]] = []  # where there are levels: who gets which share, by level
        self.width, self.width_ms = 0.0, now_ms  # how many servers bore the load, forgotten as one gets warm
        self.jobs: dict[str, _Job] = {}
        self.started = False
        self.watch_failures = 0
        self.periods = 0
        self.ratios: list[float] = []  # this period's latencies over their aims
        self.first: list[float] = []  # the first latencies over their aims, up to BASE_LEAST or a few more
        self.base: float | None = None  # quiet latency as a share of the aim
        self.level = 0.0  # smoothed latency as a share of the aim
        self.load, self.target = 0.0, 1.0  # of the last period; the level from which latency is load
        self.completed = self.ended = self.full = 0.0
        self.out = 0.0  # share of the servers in use that were out at the last period
        self.rate = self.peak = 0.0  # completed units per ms
        # The most calls in flight beside which one was answered in quiet, since there was load.
        self.borne = 0.0
        self.lag = 0.0  # ms: what came within it may not have been read yet
        self.mean_aim = sum(kind.aim_ms for kind in settings.classes) / len(settings.classes)
        self.mean_hint = 0.0
        self.class_ms: dict[str, float] = {}
        shares = {tenant.name: tenant.quota_per_s / settings.siblings for tenant in settings.tenants}
        self.buckets = {name: _Bucket(share, share, now_ms) for name, share in shares.items()}
        self.budget: RetryBudget | None = None
        if settings.retry_share is not None:
            self.budget = RetryBudget(
                settings.retry_share, settings.retry_floor_per_s, settings.retry_window_ms
            )
        self.hedged = {kind.name: Quantile(HEDGE_SHARE) for kind in settings.classes if kind.hedge}
        self.sour = 0.0  # smoothed share of attempts that failed

    def handle(self, now: float, event: api.Event, lag_ms: float = 0.0) -> list[api.Action]:
        """What follows from an event; what came within `lag_ms` may not have been read yet."""
        acts: list[api.Action] = []
        self.lag = lag_ms
        if not self.started:
            self.started = True
            acts.append(api.Wake(self.period_ms, "period"))
            if self.cfg.ask_discovery:
                acts.append(api.Watch())
        if isinstance(event, api.Request):
            self._on_request(now, event, acts)
        elif isinstance(event, api.Outcome):
            self._on_outcome(now, event, acts)
        elif isinstance(event, api.Alarm) and event.name == "period":
            acts.append(api.Wake(self.period_ms, "period"))
            self._on_period(now, self.ready)
        elif isinstance(event, api.Alarm) and event.name == "watch":
            acts.append(api.Watch())
        elif isinstance(event, api.Alarm):
            self._on_turn(now, *event.name.partition(" ")[::2], acts)
        elif isinstance(event, api.Membership):
            self._on_membership(now, event, acts)
        elif isinstance(event, api.Lapsed) and event.id in self.jobs:
            self._end(self.jobs[event.id], acts)
        elif isinstance(event, api.Started) and event.id in self.jobs:
            self.jobs[event.id].streaming = True
            self._cancel_others(self.jobs[event.id], event.attempt, acts)
        elif isinstance(event, api.Probed):
            self._hear(now, event.server, event.report)
        return acts

    # ------------------------------------------------------------ membership

    def _on_membership(self, now: float, event: api.Membership, acts: list[api.Action]) -> None:
        if event.form is api.ListForm.FAILED:  # subscribe anew, backing off so as not to crowd discovery
            # Guard: after a thousand failures in a row the power was too large for a float.
            self.watch_failures = min(self.watch_failures + 1, WATCH_DOUBLINGS)
            wait = min(WATCH_MAX_MS, WATCH_MS * 2.0**self.watch_failures)
            acts.append(api.Wake(wait * self.rng.uniform(0.5, 1.0), "watch"))
            return
        if event.form is not api.ListForm.CACHED:
            self.watch_failures = 0
        if event.form is not api.ListForm.DELTA:  # a server absent from a whole list is gone
            named = {server.address for server in event.servers}
            self.peers = {address: peer for address, peer in self.peers.items() if address in named}
        for server in event.servers:
            if server.state is api.ServerState.REMOVED:
                self.peers.pop(server.address, None)
                continue
            known = self.peers.get(server.address)
            if known is None or known.info.launched_ms != server.launched_ms:  # new, or restarted
                self.peers[server.address] = _Peer(server)
            else:
                known.info = server
        self.levels = event.levels or self.levels
        if self.levels is None:
            self.ready = [peer for peer in self.peers.values() if peer.info.state is api.ServerState.UP]
            return
        self.width, self.width_ms = max(float(len(self.ready)), self._wide(now)), now
        self.groups = groups_of([(peer.info, peer) for peer in self.peers.values()], self.levels)
        self.ready = list({id(peer): peer for group in self.groups for peer in group.members}.values())

    def _wide(self, now: float) -> float:
        """Guard: a new server to which a list gave all weight took the calls of all that had been there; its
        share of an average server's calls counts those too, for as long as one takes to get warm."""
        if self.levels is None or self.cfg.cold_ms <= 0.0:
            return float(len(self.ready))
        return max(float(len(self.ready)), self.width * math.exp((self.width_ms - now) / self.cfg.cold_ms))

    # ------------------------------------------------------------- admission

    def _worth(self, now: float, request: api.Request, kind: api.ServiceClass) -> float:
        worth = kind.worth if request.worth is None else min(kind.worth, request.worth)
        worth /= self.top_worth
        if request.is_retry:
            worth *= RETRY_WORTH
        bucket = self.buckets.get(request.tenant or "")
        if bucket is not None and self.cfg.tier == 0:  # a token bucket of one second's share
            bucket.tokens = min(bucket.quota, bucket.tokens + bucket.quota * (now - bucket.then) / 1000.0)
            bucket.then = now
            if bucket.tokens < 1.0:
                return worth * self.cfg.over_share_worth
            bucket.tokens -= 1.0
        return worth

    def threshold(self, worth: float, ready: int) -> float:
        """The table's entry at the cursor, in the row of this worth (1: the most)."""
        halvings = -math.log2(max(worth, 1e-6))
        below = min(1.0, max(0.0, halvings / OCTAVES))  # 0: the top row, 1: the lowest
        base = 0.5 if self.base is None else self.base
        first = self.peak * self.mean_aim * (base + T1_SLACK * (1.0 - base))
        # Guard: all siblings share the floor; one for each balancer summed to a T1 that never bound at size.
        # Guard: rates are known a latency later than they are counted; a node whose calls take 2 s refused
        # most of what came in its 4th second, with servers half idle.
        starting = self.periods * self.period_ms < START_MS + base * self.mean_aim
        # Guard: a pool that was asked seldom was held to be slow, and a burst on idle servers was refused.
        floor = self.cfg.quiet_calls if self.quiet else FLOOR
        floor = self.cfg.start_calls if starting else floor
        first = max(first, ready * floor / self.cfg.siblings, BORNE * self.borne if self.quiet else 0.0)
        first += ROOTS * math.sqrt(first)
        first *= 1.0 - ROW_GAP * below
        return max(LEAST, first * math.pow(self.shape[self.cursor], TOP_BEND + (1.0 - TOP_BEND) * below))

    @property
    def quiet(self) -> bool:
        """Whether latency is known and is no load, however it compares with what it was."""
        if self.base is None:  # Guard: all of a burst at the start had come before the first period was over
            return len(self.ratios) >= FEW_QUIET and max(self.ratios) < QUIET
        return self.level < QUIET

    def _on_request(self, now: float, request: api.Request, acts: list[api.Action]) -> None:
        kind = self.kinds[request.service]
        units, hint = 1.0, request.cost_hint_ms
        if self.cfg.worth_by_work and hint:  # where worth goes by work, so does the count in flight
            self.mean_hint += (hint - self.mean_hint) * (CLASS_GAIN if self.mean_hint else 1.0)
            units = min(4.0, max(0.25, hint / self.mean_hint))
        job = self.jobs[request.id] = _Job(request, kind, now, units)
        queue = self._in_flight()
        job.beside = queue + units
        full = not request.admitted and self._full(now, request, kind, queue)
        if full or not self._begin(now, job, acts):
            self._answer(job, acts)

    def _in_flight(self) -> float:
        return sum([peer.load for peer in self.ready])

    def _full(self, now: float, request: api.Request, kind: api.ServiceClass, queue: float) -> bool:
        """Whether the table turns a request away, so many calls being in flight."""
        room = self.threshold(self._worth(now, request, kind), len(self.ready)) - queue
        # Guard: one call from each of hundreds of balancers kept a jam alive, so a fraction of one is drawn.
        full = room < 1.0 and self.rng.random() >= room
        return full or (self.levels is not None and self.rng.random() < self.levels.drop)

    def turns_away(self, now: float, request: api.Request) -> api.Refuse | None:
        """The table's word alone, for a host that asks before it makes anything of a request. One that is let
        in is to be told as `admitted`, once; one that may have run before is let in to be looked at.

        Guard: at five times what servers bear, a refusal cost most of what an answer does.
        """
        queue = self._in_flight()
        if request.earlier is not None or not self._full(now, request, self.kinds[request.service], queue):
            return None
        return api.Refuse(request.id, self._retry_after())

    def _begin(self, now: float, job: _Job, acts: list[api.Action]) -> bool:
        """The first attempt.

        Guard: a sick pool was multiplied by callers that ask again, as each of their tries was a first one;
        a repeat that is told is taken from the retry budget, once, by the first tier.
        """
        budget, request = self.budget, job.request
        if budget is None:
            return self._send(now, job, acts)
        costs = request.is_retry and not request.paid
        if costs and not budget.take(now, job.kind.name, Spent.REPEAT):
            return False
        if not self._send(now, job, acts):
            if costs:
                budget.give_back(now, job.kind.name, Spent.REPEAT)
            return False
        if not (request.is_retry or request.paid):
            budget.first(now, job.kind.name)
        hedge = self.hedged.get(job.kind.name)
        if hedge is not None and hedge.value is not None:
            acts.append(api.Wake(hedge.value, f"hedge {request.id}"))
        return True

    # --------------------------------------------------------------- ranking

    def _pick(self, now: float, job: _Job) -> tuple[_Peer | None, bool]:
        """The server for the next attempt, and whether it is asked only to find out how it is now."""
        ran, effect = job.may_have_run(), job.kind.effect
        bound = _group(job.kind, ran[0].peer) if ran and effect is api.Effect.KEYED else None
        earlier = job.request.earlier if effect is api.Effect.KEYED else None
        if earlier is not None:
            # Guard: a caller's second try with its key went to any server, also to one of a group that had
            # never heard of it, or that had forgotten it since.
            known = self.peers.get(earlier.server)
            if known is not None:
                bound = bound or _group(job.kind, known)
            elif job.kind.scope is not api.Scope.ALL:
                return None, False
        if ran and effect is api.Effect.UNSAFE:
            return None, False
        if effect is api.Effect.KEYED and now - self._since(job, ran) >= job.kind.memory_ms:
            return None, False
        tried = [item.peer for item in job.tries]
        wide = self._wide(now)
        crowd: float | None = None
        for peers in self._order():
            best, best_rank = None, math.inf
            apart: list[_Peer] = []
            for peer in peers:
                if peer in tried or (bound is not None and bound != _group(job.kind, peer)):
                    continue
                rank, warmth = self._rank(now, peer), self._warmth(now, peer)
                if warmth < 1.0:
                    # Guard: of many balancers each saw some warm server idle, and the cold ones, a third of
                    # what the pool could do, got a twentieth of the calls while the warm ones were jammed.
                    if crowd is None:  # at a server by all siblings, taken to be like ours, beside ours
                        crowd = (self.cfg.siblings - 1) * self._in_flight() / max(1.0, wide)
                    rank *= min(1.0, 1.0 / (warmth * (1.0 + crowd)))
                if rank < best_rank and self._paced(warmth, wide):
                    best, best_rank = peer, rank
                if not tried and not peer.out and self._apart(now, peer):
                    apart.append(peer)
            if apart and self.rng.random() * wide < ASK_SHARE * len(apart):
                asked = self._asked(now, job, apart, wide)
                if asked is not None:
                    return asked, True
            if best is not None:
                return best, False
        return None, False

    def _repeatable(self, job: _Job) -> bool:
        """Whether a first attempt may fail and another one follow."""
        return job.kind.effect is api.Effect.SAFE and self._most(job) > 1 and job.request.attempts != 1

    def _apart(self, now: float, peer: _Peer) -> bool:
        """Whether its rank may keep a server from being asked, so that nothing would be learned of it."""
        return (
            peer.fails >= OUT
            or peer.returns
            or (peer.errs > BACK * GAIN and now - peer.asked_ms >= SILENT_MS)
        )

    def _asked(self, now: float, job: _Job, apart: list[_Peer], wide: float) -> _Peer | None:
        """The one of these servers that is to be asked now whatever its rank.

        Guard: a server whose calls had failed was never asked again while another one was idle; where each
        balancer has few calls that was always, and a zone that had come back stood idle for good.
        """
        peer = min(apart, key=lambda item: item.asked_ms)
        wait = 0.0 if peer.returns else ASK_MS * 2.0 ** min(ASK_DOUBLINGS, peer.fails)
        if not self._repeatable(job):
            wait *= 4.0  # what may not be repeated goes there only if nothing else does
        return peer if now - peer.asked_ms >= wait and self._paced(self._warmth(now, peer), wide) else None

    def _order(self) -> list[list[_Peer]]:
        """The servers to rank: all, or those of the group that is drawn by its share, then of the others."""
        if self.levels is None:
            return [self.ready]
        draw = self.rng.random()
        for at, group in enumerate(self.groups):
            draw -= group.share
            if draw < 0.0 and group.share > 0.0:
                others = self.groups[:at] + self.groups[at + 1 :]
                return [group.members, *(other.members for other in others)]
        return [group.members for group in self.groups]

    def _rank(self, now: float, peer: _Peer) -> float:
        """Smoothed latency x (queue + 1); a silent server drifts to the mean of the others, which is 1."""
        slow = 1.0
        if peer.slow is not None:
            slow += (peer.slow - 1.0) * math.exp((peer.heard_ms - now) / FORGET_MS)
        if peer.out:
            # Guard: a server that hangs shows in its oldest unanswered attempt long before a time-out.
            (name, _), sent_ms = next(iter(peer.out.items()))
            mean = self.class_ms.get(self.jobs[name].kind.name) if peer.heard_ms <= sent_ms else None
            if mean:
                # Guard: while the host was busy every server looked as if it hung.
                slow = max(slow, _ratio(now - self.lag - sent_ms, mean, self.cfg.near_ms))
        failing = 1.0 - min(0.9, peer.errs)
        queue = peer.queue * math.exp((peer.told_ms - now) / STALE_MS) if peer.queue else 0.0
        far = ZONE_WEIGHT * self.cfg.cross_zone_price if peer.info.zone != self.cfg.zone else 0.0
        length = (peer.load + queue + 1.0 + far) / peer.info.weight
        return slow * length / failing * (1.0 + JITTER * (self.rng.random() - 0.5))

    @property
    def failing(self) -> bool:
        """Whether so many attempts fail that retries are better made a little later."""
        return self.sour >= SOUR

    def survey(self, now: float) -> list[tuple[api.Server, float, float, float]]:
        """Each server's line of the list, rank (less goes first), calls in flight and share of errors."""
        state = self.rng.getstate()  # Guard: to look must not change what is drawn next.
        rows = [
            (peer.info, self._rank(now, peer) if peer.info.weight > 0.0 else math.inf, peer.load, peer.errs)
            for peer in self.peers.values()
        ]
        self.rng.setstate(state)
        return rows

    def _warmth(self, now: float, peer: _Peer) -> float:
        """A server's present share of what it does when warm, by the settings."""
        launched = peer.info.launched_ms if peer.back_ms is None else peer.back_ms
        return 1.0 if launched is None else api.warmth(now - launched, self.cfg.cold_from, self.cfg.cold_ms)

    def _paced(self, warmth: float, ready: float) -> bool:
        """Guard: all balancers together must not push a cold server over. A call may go to it with the chance
        of its present share (from `cold_from`, even over `cold_ms`) of an average server's calls: a draw for
        each call, not a count, so that the sum keeps to the share however many balancers there are."""
        return warmth >= 1.0 or self.rng.random() * ready < COLD_SHARE * self.cfg.overload_factor * warmth

    # -------------------------------------------------------------- attempts

    def _send(self, now: float, job: _Job, acts: list[api.Action]) -> bool:
        left = job.request.give_up_at_ms - now
        if job.kind.late_worth <= 0.0 and not job.kind.stream:
            # Guard: late work is worth nothing, so it is stopped at the aim and does not crowd out the rest.
            left = min(left, job.taken_ms + job.kind.aim_ms * AIM_MARGIN - now)
        if job.done or left <= 1.0 or self._spent(job):
            return False
        peer, asking = self._pick(now, job)
        if peer is None:
            return False
        if asking and self._repeatable(job):
            left *= ASK_WAIT  # Guard: a call to a server that hangs still took all of its request's time.
        known_for = self._known_for(now, job)
        idle, peer.asked_ms = now - peer.asked_ms, now
        peer.out[(job.request.id, len(job.tries))] = now
        job.tries.append(_Try(peer, now, idle))
        peer.load += job.units
        acts.append(api.Send(job.request.id, peer.info.address, left, known_for))
        return True

    def _known_for(self, now: float, job: _Job) -> float:
        """How long the servers still drop a next attempt as a repeat, in ms; 0: no attempt may have run."""
        ran = job.may_have_run()
        if job.kind.effect is not api.Effect.KEYED or not (ran or job.request.earlier):
            return 0.0
        return self._since(job, ran) + job.kind.memory_ms - now

    @staticmethod
    def _since(job: _Job, ran: list[_Try]) -> float:
        """When the first attempt that may have run was sent."""
        since = ran[0].sent_ms if ran else math.inf
        return since if job.request.earlier is None else min(since, job.request.earlier.sent_ms)

    def _again(self, now: float, job: _Job, acts: list[api.Action]) -> bool:
        """Another attempt after those that have ended, now or, where that is better, a little later."""
        if self.budget is None:
            return self._send(now, job, acts)
        if job.request.give_up_at_ms - now <= 1.0 or self._spent(job):
            return False
        # A connection that never came up has cost no server anything, so it costs no budget.
        free = job.tries[-1].result is api.Result.CONNECT_FAILED
        if not free and not self.budget.take(now, job.kind.name, Spent.RETRY):
            return False
        wait = 0.0 if free else self._wait(now, job)
        # No answer is held back for an attempt that can't follow.
        if wait > 0.0 and self._pick(now, job)[0] is not None:
            job.waits = True
            acts.append(api.Wake(wait, f"retry {job.request.id}"))
            return True
        if self._send(now, job, acts):
            return True
        if not free:
            self.budget.give_back(now, job.kind.name, Spent.RETRY)
        return False

    def _most(self, job: _Job) -> int:
        """Attempts that its class may have."""
        return min(self.cfg.max_attempts, job.kind.max_attempts or self.cfg.max_attempts)

    def _spent(self, job: _Job) -> bool:
        """Whether it has had all its attempts."""
        # Guard: a request that brings one attempt was refused when a drain came before its first byte left.
        reached = sum(1 for item in job.tries if item.result is not api.Result.CONNECT_FAILED)
        return len(job.tries) >= self._most(job) or 0 < job.request.attempts <= reached

    def _wait(self, now: float, job: _Job) -> float:
        """How long to wait before a retry: nothing while others of the pool work, as they are better now;
        where most fails, a moment that is drawn, so that retries of many callers do not come in one wave.

        Guard: servers that answer 500 at once got the retries of a whole tier within milliseconds.
        """
        if self.cfg.backoff_ms <= 0.0 or not self.failing:
            return 0.0
        room = job.request.give_up_at_ms - now - USEFUL * self.class_ms.get(job.kind.name, 0.0)
        if room <= 0.0:
            return 0.0
        return min(room, backoff_ms(self.rng, len(job.tries), self.cfg.backoff_ms, BACKOFF_MAX_MS))

    def _on_turn(self, now: float, what: str, name: str, acts: list[api.Action]) -> None:
        """The moment has come for the attempt that was put off, or for a second copy of one that is out."""
        job = self.jobs.get(name)
        if job is None or job.done:
            return
        if what == "retry" and job.waits:
            job.waits = False
            if not job.out() and not self._send(now, job, acts):
                self._answer(job, acts)
        elif what == "hedge" and job.out() == 1 and not self._spent(job) and self.budget is not None:
            if not self.budget.take(now, job.kind.name, Spent.HEDGE):
                return
            if not self._send(now, job, acts):
                self.budget.give_back(now, job.kind.name, Spent.HEDGE)

    def _on_outcome(self, now: float, event: api.Outcome, acts: list[api.Action]) -> None:
        self._hear(now, event.server, event.report)
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.tries) or job.tries[event.attempt].result is not None:
            return
        item = job.tries[event.attempt]
        item.result = event.result
        item.peer.out.pop((event.id, event.attempt), None)
        if event.result in (api.Result.TIMEOUT, api.Result.CANCELLED):
            # Guard: a server works on at what was given up; while callers left early, servers held to be half
            # empty were crowded until they turned slow.
            mean = self.class_ms.get(job.kind.name, 0.0)
            item.peer.given_up.append((now + mean, job.units))
        else:
            item.peer.load = max(0.0, item.peer.load - job.units)
        self._judge(now, job, item, event)
        if event.done:
            job.streaming = False
            self._end(job, acts)
        elif job.done:
            self._end(job, acts)
        elif event.result is api.Result.NO_ROOM and not job.out():
            # Guard: tried again, it went round all servers within a turn, and each was told to have failed.
            self._answer(job, acts)
        elif not job.out() and not job.waits and not self._again(now, job, acts):
            self._answer(job, acts)

    def _answer(self, job: _Job, acts: list[api.Action]) -> None:
        """The one final answer: a refusal where it is true that a retry is harmless, else a failure."""
        ran = job.may_have_run() or job.request.earlier is not None
        if not ran or job.kind.effect is api.Effect.SAFE:
            acts.append(api.Refuse(job.request.id, self._retry_after()))
        else:
            acts.append(api.Fail(job.request.id))
        self._end(job, acts)

    def _retry_after(self) -> float:
        """When a refused caller is told to come back, in ms; 0: nothing is said."""
        if not self.cfg.retry_after or self.cfg.tier != 0:
            return 0.0
        wait = self.period_ms * self.cursor
        if self.cfg.retry_after_spread > 0.0:
            # Guard: callers that were turned away together were all told to come back at one moment.
            wait *= 1.0 + self.cfg.retry_after_spread * self.rng.uniform(-1.0, 1.0)
        return min(self.cfg.max_retry_after_ms, wait)

    def _end(self, job: _Job, acts: list[api.Action]) -> None:
        if not job.done:
            job.done = True
            self._cancel_others(job, -1, acts)
        if not job.out():
            self.jobs.pop(job.request.id, None)

    def _cancel_others(self, job: _Job, keep: int, acts: list[api.Action]) -> None:
        if self.cfg.may_cancel and not (job.streaming and keep < 0):
            out = (at for at, item in enumerate(job.tries) if item.result is None and at != keep)
            acts.extend(api.Cancel(job.request.id, at) for at in out)

    # ---------------------------------------------------------------- health

    def _hear(self, now: float, server: str, report: dict[str, float] | None) -> None:
        peer = self.peers.get(server)
        if peer is not None and report:
            peer.queue, peer.told_ms = report.get("queue", 0.0), now
            peer.util = report.get("util", peer.util)

    def _judge(self, now: float, job: _Job, item: _Try, event: api.Outcome) -> None:
        peer, result = item.peer, event.result
        if result is api.Result.CANCELLED and event.latency_ms > self.class_ms.get(job.kind.name, math.inf):
            # Guard: the calls that callers leave are the slow ones; without them a jam looked quick.
            self.ratios.append(event.latency_ms / job.kind.aim_ms)
        if result in (api.Result.CANCELLED, api.Result.MOOT, api.Result.NO_ROOM):
            return
        self.sour += SOUR_GAIN * ((result is not api.Result.OK) - self.sour)
        if result is not api.Result.OK:
            peer.fails += 1
            peer.returns = False
            peer.lost |= result not in (api.Result.ERROR, api.Result.FULL)
        # Guard: servers that drained and were still listed turned all away, looked idle for it, and got
        # six tries of each request; what they turned away had the table refuse the rest.
        declines = result is api.Result.FULL and peer.fails > OUT and self.out < PANIC
        if not declines:
            self.ended += 1
            if result is api.Result.FULL or (result is api.Result.ERROR and self.cfg.tier == 0):
                self.full += 1  # Guard: a tier below that refuses shows at the front as errors only
            if result is api.Result.FULL:
                peer.queue, peer.told_ms = max(peer.queue, peer.load), now
                return
        peer.errs += GAIN * ((result is not api.Result.OK) - peer.errs)
        if result is api.Result.OK:
            self._clear(now, peer, item.idle_ms)
        if result in (api.Result.OK, api.Result.TIMEOUT):  # a fast error must not look fast
            self.ratios.append(event.latency_ms / job.kind.aim_ms)
            mean = self.class_ms.get(job.kind.name)
            if result is api.Result.OK:
                mean = event.latency_ms if mean is None else mean + CLASS_GAIN * (event.latency_ms - mean)
                self.class_ms[job.kind.name] = mean
                if job.kind.name in self.hedged:
                    self.hedged[job.kind.name].add(event.latency_ms)
            ratio = 1.0 if mean is None else _ratio(event.latency_ms, mean, self.cfg.near_ms)
            peer.slow = ratio if peer.slow is None else peer.slow + GAIN * (ratio - peer.slow)
            peer.heard_ms = now
        if result is api.Result.OK:
            if event.latency_ms < QUIET * job.kind.aim_ms:
                self.borne = max(self.borne, job.beside)
            self.completed += job.units
            self.mean_aim += CLASS_GAIN * (job.kind.aim_ms - self.mean_aim)

    def _clear(self, now: float, peer: _Peer, idle_ms: float) -> None:
        """A server has answered well that had not been sent a call for so long before."""
        if peer.errs > 0.0 and (peer.fails >= OUT or idle_ms >= SILENT_MS):
            # What it was before tells little of what it is now.
            peer.returns, peer.slow = True, None
            # Guard: a pool that had answered errors was held to be cold when it did well again.
            if peer.lost and not self.cfg.starts_told:
                peer.back_ms = now
        peer.fails, peer.lost = 0, False
        if peer.returns:
            peer.errs *= BACK
            peer.returns = peer.errs >= TRUSTED

    # ------------------------------------------------------------- pool load

    def _on_period(self, now: float, ready: list[_Peer]) -> None:
        """Move the cursor one step by the period's load, scaled so that 1 is the target."""
        self.periods += 1
        for peer in ready:
            while peer.given_up and peer.given_up[0][0] <= now:
                peer.load = max(0.0, peer.load - peer.given_up.popleft()[1])
        # Guard: when all servers had failed, the first that did well again got all calls for good, and the
        # others none that could have cleared them: 40% were refused at a third of the load, without end.
        if (_middle([peer.errs for peer in ready]) or 0.0) > PANIC:
            for peer in ready:
                peer.errs *= math.exp(-self.period_ms / PANIC_MS)
        self.out = sum([peer.fails > OUT for peer in ready]) / max(1, len(ready))
        load = 0.0
        fresh = [peer for peer in ready if peer.told_ms >= now - FRESH_MS]  # Guard: old reports mislead
        utils = _middle([peer.util for peer in fresh if peer.util is not None])
        if self.ratios:  # the median resists one sick server
            middle = _middle(self.ratios) or 0.0
            # Guard: classes differ in quiet latency over aim, and short calls end first; a baseline from one
            # early outcome lay a third too low, and an idle pool was held to be over its target for good.
            if self.base is None or len(self.first) < BASE_LEAST:
                self.first += self.ratios
                self.level = self.base = _middle(self.first) or 0.0
            else:  # a period with few outcomes says little
                self.level += len(self.ratios) / (len(self.ratios) + WEIGHTY) * (middle - self.level)
            if self.level < self.base:
                self.base += BASE_FALL * (self.level - self.base)
            elif self.cursor == 0:  # never learned under load
                self.base += BASE_RISE * (self.level - self.base)
        # Guard: with less than an answer a period, each silent one moved the cursor left and a jam stayed.
        jammed = self.level > JAM and any(peer.load > 0.0 for peer in ready)
        if self.base is not None and (self.ratios or jammed):
            # Guard: a strict target over few outcomes shed work that servers had room for; a loose one let
            # crowded servers turn slow.
            crowd = self.cfg.siblings * self._in_flight()
            slack = SLACK if crowd >= CROWD * len(ready) else SLACK_ROOM
            slack = slack if utils is None else SLACK_SEEN
            self.target = self.base + slack * (1.0 - self.base)
            load = self.level / self.target
        if utils is not None:
            # Guard: at size the servers over the median were jammed one by one while it was under 0.97.
            room = UTIL_ROOM * (1.0 - min(1.0, FEW / self.cfg.siblings))
            load = max(load, utils / (UTIL_TARGET - room))
        if self.ended:
            load = max(load, self.full / self.ended / FULL_TARGET)
        self.heard += self.ended
        self.load = load
        step = 1 if load > 1.0 else -1
        if step > 0 and self.level <= JAM:
            # Guard: answers tell of calls sent before; where few come in a period, the cursor went 6 to 10
            # steps right before the first one showed, at all siblings alike, and servers stood half empty.
            # So a step is given as many outcomes as the smoothed latency remembers. It covers any late sign
            # of load, and hurts where load grows faster than answers come: a jam doesn't wait.
            step = int(self.heard >= WEIGHTY)
        if step > 0:
            self.heard = self.borne = 0.0
        self.cursor = max(0, min(len(self.shape) - 1, self.cursor + step))
        gain = min(1.0, self.period_ms / RATE_MS)
        self.rate += gain * (self.completed / self.period_ms - self.rate)
        self.peak = max(self.rate, self.peak * (1.0 - min(1.0, self.period_ms / PEAK_MS)))
        self.ratios, self.completed, self.ended, self.full = [], 0.0, 0.0, 0.0
