"""The servers of one service with the cursor table over them: the decision for each call."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from emberring.admission import pacing
from emberring.admission.job_pressure import JobPressure
from emberring.admission.known_calls import KnownCalls, own_calls, places
from emberring.admission.load import LoadMeter
from emberring.admission.placement import choose, place
from emberring.admission.ranking import RankingContext
from emberring.admission.server import Placed, ServerView
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.suspicion import SuspicionBook, SuspicionChange
from emberring.admission.table import CursorTable
from emberring.admission.types import (
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    Decision,
    NoServer,
    Refused,
)
from emberring.distribution.records import ServerState

NEVER_HELD = 0.34  # share of the places under which no item is held back
NEVER_REFUSED = 0.75  # share of the places under which no live call is refused
MOST_PERIODS = 50  # that are made up for after a silence
RETRY_LEAST_S, RETRY_MOST_S = 0.1, 1.0
PAUSE_GAIN = 0.02  # smoothing of the usual pause between events, all servers'
BATCH_PROMPTS = 3.0  # items a server, all gateways' together, whose prompts may wait there to be read
BATCH_AHEAD = 1.0  # of its share of the free places a gateway may fill before it hears from the others
FAILED = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.BROKEN, CallOutcome.SILENT})
BAD_ENDS = FAILED | {CallOutcome.FAILED}


class Pool:
    """One service's servers as this gateway sees them."""

    def __init__(self, settings: AdmissionSettings, random: Random, connected: Callable[[str], bool]) -> None:
        self.gateways = 1
        self.table = CursorTable()
        self.meter = LoadMeter()
        self.pace = ServiceRateEstimator(settings.start_prefill_tokens_per_ms, settings.start_hold_s)
        self.pressure = JobPressure()
        self.usual_pause_ms = 0.0
        self.suspicions = SuspicionBook()
        self._settings = settings
        self._random = random
        self._connected = connected
        self._period_end_s = math.inf
        self.calls = KnownCalls()

    # ------------------------------------------------------------- what is known

    @property
    def servers(self) -> dict[str, ServerView]:
        """The servers now known, by id."""
        return self.calls.servers

    def set_servers(
        self, servers: dict[str, ServerView], gateways: int, total: int | None, true_s: float = -math.inf
    ) -> None:
        """The servers now known and the live gateways; `total` is all gateways' calls, where it is told, and `true_s`
        the moment at which that and the word of each server were true."""
        self.gateways = gateways
        self.calls.told(servers, total, true_s)

    def look_at_servers(self, now_s: float) -> list[SuspicionChange]:
        """Which servers came into trouble, or are well again, since the last look."""
        return self.suspicions.look(now_s, self.servers.values(), self.usual_pause_ms)

    def advance(self, now_s: float) -> None:
        """Close the periods that have passed."""
        period_s = self._settings.period_s
        if self._period_end_s == math.inf:
            self._period_end_s = now_s + period_s
        for _ in range(MOST_PERIODS):
            if now_s < self._period_end_s:
                return
            load = self.meter.close_period(quiet=self.table.cursor == 0)
            if load <= 1.0:
                self.table.move(False)
            elif self.meter.may_tighten():
                self.table.move(True)
            self._period_end_s += period_s
        self._period_end_s = now_s + period_s

    def _ready(self, excluded: frozenset[str]) -> list[ServerView]:
        return [
            server
            for server in self.servers.values()
            if server.fact.state is ServerState.READY and not server.gone and server.fact.id not in excluded
        ]

    def _working(self) -> list[ServerView]:
        """The ready servers that count as places; where none works, all do."""
        ready = self._ready(frozenset())
        return [server for server in ready if not pacing.failing(server)] or ready

    def _sound(self, now_s: float, servers: list[ServerView]) -> list[ServerView]:
        """Those against which nothing speaks now."""
        return [one for one in servers if pacing.sound(now_s, one, self.usual_pause_ms)]

    # ------------------------------------------------------------- decisions

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide at once."""
        self.advance(now_s)
        ready = self._ready(call.excluded)
        if not ready:
            return NoServer()
        if not call.admitted and self._turned_away(now_s, call):
            return Refused(self._retry_after_s())
        sound = self._sound(now_s, ready)
        share = self._batch_share(now_s) if call.batch else 1.0 + self._settings.live_queue_share
        open_ones = [one for one in sound if pacing.room(now_s, one, share, self.gateways) > 0.0]
        if not open_ones and not call.batch:
            open_ones = self._last_resort(now_s, ready, sound)
        if not open_ones:
            return Refused(self._retry_after_s())
        return self._place(now_s, call, open_ones)

    def _last_resort(
        self, now_s: float, ready: list[ServerView], sound: list[ServerView]
    ) -> list[ServerView]:
        """Where pacing leaves nothing for a live call although the pool is not full."""
        if self.calls.fill(self._working()) >= 1.0 + self._settings.live_queue_share:
            return []
        able = sound or ready
        return [one for one in able if len(one.calls) < one.connections and now_s >= one.full_until_s]

    def _turned_away(self, now_s: float, call: CallInfo) -> bool:
        """The table's word: this gateway's calls in flight against the threshold of the call's row."""
        servers = self._working()
        own = own_calls(servers)
        if call.batch:
            if own >= self._batch_threshold(now_s, servers):
                return True
            return self._prompts_room(len(servers), self._sound(now_s, servers)) <= 0
        if self.calls.fill(servers) < NEVER_REFUSED:
            return False
        return own >= self._live_threshold(servers, call.priority)

    def _batch_share(self, now_s: float) -> float:
        """The share of the places up to which items are taken: the lower row's at the cursor, the more the less time
        items have left.

        Guard: after a jam the row stayed at nothing for seconds while servers stood idle; waits of an idle pool have
        another cause than lots.
        """
        return max(NEVER_HELD, self.pressure.share(now_s) * self.table.batch_share())

    def _batch_threshold(self, now_s: float, servers: list[ServerView]) -> float:
        """Calls in flight of this gateway up to which items are taken: what it had when the others' were told and
        its share of the places that were free then, and no more than an even share of all places.

        Guard: the others' calls are known some hundred ms late, and are told piece by piece. Gateways that went by
        them alone took items for the same free places again and again, 330 for 163 places, and then none for
        seconds. Even shares add up to the places whatever is known.
        """
        most = places(servers) * self._batch_share(now_s)
        told = self.calls.own_when_told + self.calls.others_at(servers)
        free = most - told
        ahead = free if free <= 0.0 else max(1.0, BATCH_AHEAD * free / self.gateways)
        return min(self.calls.own_when_told + ahead, max(1.0, most / self.gateways))

    def _prompts_room(self, count: int, sound: list[ServerView]) -> int:
        """How many more items may have their prompts before a server's first word, by this gateway's even share.

        Guard: items come in lots; taken all at once, their prompts stood before those of live calls. Those at a
        server that has gone dark wait for nothing, and held up all others until they were given up: only those at
        `sound` ones of the `count` servers count.
        """
        unheard = sum(1 for one in sound for placed in one.unheard() if placed.call.batch)
        return max(1, math.floor(BATCH_PROMPTS * count / self.gateways + 0.5)) - unheard

    def _live_threshold(self, servers: list[ServerView], priority: int) -> float:
        """The same for live calls: all that the others leave, and no less than an even share."""
        most = places(servers) * (1.0 + self._settings.live_queue_share)
        others = self.calls.others_at(servers)
        return max(most / self.gateways, most - others) * self.table.live_share(priority)

    def _retry_after_s(self) -> float:
        """When the table may be open again: the cursor's way back, and a draw so that callers don't return at once."""
        wait_s = self._settings.period_s * self.table.cursor
        return min(RETRY_MOST_S, max(RETRY_LEAST_S, wait_s)) * self._random.uniform(0.75, 1.25)

    def _place(self, now_s: float, call: CallInfo, servers: list[ServerView]) -> Decision:
        around = RankingContext(
            now_s,
            self.pace,
            self.usual_pause_ms,
            self.calls.others_at(servers) / len(servers),
            self._others_waiting(now_s),
            self.gateways,
            self._settings.zone,
            now_s - self.calls.true_s,
        )
        if call.batch:
            self.pressure.taken(now_s, call.deadline_s, call.target_s)
        choice = choose(around, call, servers, self._connected, self._random)
        place(around, call, choice)
        return Admitted(choice.server.fact.id)

    def _others_waiting(self, now_s: float) -> float:
        """Tokens that wait to be read for each call in flight, the others' being taken to be like ours."""
        calls = own_calls(self.servers.values())
        if not calls:
            return 0.0
        mine = sum(server.waiting_tokens(now_s, self.pace.ms_per_token) for server in self.servers.values())
        return mine / (calls + 1.0)

    def batch_room(self, now_s: float) -> int:
        """How many more items would be taken now."""
        self.advance(now_s)
        servers = self._working()
        if not servers:
            return 0
        own = own_calls(servers)
        share, sound = self._batch_share(now_s), self._sound(now_s, servers)
        room = sum(max(0.0, pacing.room(now_s, one, share, self.gateways)) for one in sound)
        most = min(room, self._batch_threshold(now_s, servers) - own, self._prompts_room(len(servers), sound))
        return max(0, math.ceil(most))

    # ------------------------------------------------------------- outcomes

    def started(self, now_s: float, placed: Placed) -> None:
        """The call's bytes have been sent."""
        placed.sent_s = now_s

    def first_event(self, now_s: float, placed: Placed) -> None:
        """The first event of an answer."""
        server = placed.server
        server.hear(now_s)
        server.failures = 0
        sent_s = placed.placed_s if placed.sent_s is None else placed.sent_s
        wait_ms = (now_s - sent_s) * 1000.0
        placed.first_s = now_s
        if placed.free:
            self.pace.first_event(placed.ahead + placed.to_read, wait_ms)
        server.hear_wait(now_s, (wait_ms + 20.0) / (placed.expected_ms + 20.0))
        own_ms = placed.to_read * self.pace.ms_per_token
        self.meter.waited((wait_ms - own_ms) / max(1.0, placed.call.aim_ms))

    def progress(self, now_s: float, placed: Placed) -> None:
        """A later event."""
        last_s = placed.first_s if placed.later_s is None else placed.later_s
        pause_ms = (now_s - last_s) * 1000.0 if last_s is not None else 0.0
        placed.later_s = now_s
        placed.server.hear(now_s)
        placed.server.hear_pause(now_s, pause_ms)
        self.usual_pause_ms += PAUSE_GAIN * (pause_ms - self.usual_pause_ms)

    def finished(self, now_s: float, placed: Placed, outcome: CallOutcome) -> None:
        """The attempt is over."""
        server = placed.server
        server.calls.pop(placed.call.id, None)
        if outcome in BAD_ENDS or outcome is CallOutcome.COMPLETED:
            server.failed.end(now_s, outcome in BAD_ENDS)
        if outcome in FAILED:
            pacing.note_failure(now_s, server, outcome, self._random)
            server.memory.forget()
        elif outcome is CallOutcome.FULL:
            pacing.note_full(now_s, server, self._random)
        elif outcome is CallOutcome.WRONG_SERVER:
            server.gone = True
        elif outcome in (CallOutcome.COMPLETED, CallOutcome.FAILED):
            server.failures = 0
            server.hear(now_s)
            if placed.sent_s is not None:
                self.pace.held(now_s - placed.sent_s)
        if outcome is not CallOutcome.NOT_SENT:
            self.meter.ended(full=outcome is CallOutcome.FULL)
