"""Admission for one service: to which of its servers a call is admitted, and when a call is refused."""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random

from emberring.admission import eligibility
from emberring.admission.job_pressure import JobPressure
from emberring.admission.known_calls import KnownCalls, own_calls, slots
from emberring.admission.outcomes import OutcomeRecorder
from emberring.admission.placement import choose_server, place_call
from emberring.admission.ranking import RankingContext
from emberring.admission.server import ServerView
from emberring.admission.suspicion import SuspicionChange, SuspicionTable
from emberring.admission.threshold_table import ThresholdTable
from emberring.admission.types import (
    AdmissionSettings,
    Admitted,
    CallInfo,
    Decision,
    NoServer,
    Refused,
)
from emberring.distribution.records import ServerState

BATCH_FLOOR_SHARE = 0.34  # of the slots; below this utilization the table refuses no batch item
LIVE_FLOOR_SHARE = 0.75  # of the slots; below this utilization the table refuses no live call
MAX_CATCH_UP_PERIODS = 50  # periods closed in one step after a time without calls
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.1, 1.0
BATCH_PROMPTS_PER_SERVER = 3.0  # batch items of all gateways that may await their first event, per server
# The part of its even share of the free slots that a gateway may fill before the next load report.
BATCH_CLAIM_SHARE = 1.0


class Pool:
    """The servers of one service as known to this gateway, and the admission decisions for them.

    Args:
        settings: settings of the deployment.
        random: random number generator.
        connected: whether an idle connection to a server (by id) is available.
    """

    def __init__(self, settings: AdmissionSettings, random: Random, connected: Callable[[str], bool]) -> None:
        self.gateways = 1
        self.table = ThresholdTable()
        self.outcomes = OutcomeRecorder(settings, random)
        self.pressure = JobPressure()
        self.suspicions = SuspicionTable()
        self._settings = settings
        self._random = random
        self._connected = connected
        self._period_end_s = math.inf
        self.calls = KnownCalls()

    # ------------------------------------------------------------- state

    @property
    def servers(self) -> dict[str, ServerView]:
        """The known servers by id."""
        return self.calls.servers

    def set_servers(
        self,
        servers: dict[str, ServerView],
        gateways: int,
        total: int | None,
        load_measured_s: float = -math.inf,
    ) -> None:
        """Replace the known servers and the load of the other gateways.

        Args:
            servers: the servers of the service by id.
            gateways: number of live gateways, this one included.
            total: calls in flight of all gateways at this service; None if it was not reported.
            load_measured_s: when the reported load was measured (monotonic clock).
        """
        self.gateways = gateways
        self.calls.update(servers, total, load_measured_s)

    def check_servers(self, now_s: float) -> list[SuspicionChange]:
        """Return the servers that became suspected, or were reinstated, since the last check."""
        return self.suspicions.check(now_s, self.servers.values(), self.outcomes.usual_event_gap_ms)

    def advance(self, now_s: float) -> None:
        """Close the measurement periods that have ended, and move the table's cursor for each of them."""
        period_s = self._settings.period_s
        if self._period_end_s == math.inf:
            self._period_end_s = now_s + period_s
        for _ in range(MAX_CATCH_UP_PERIODS):
            if now_s < self._period_end_s:
                return
            load = self.outcomes.meter.close_period(may_raise_baseline=self.table.cursor == 0)
            if load <= 1.0:
                self.table.move(False)
            elif self.outcomes.meter.may_move_right():
                self.table.move(True)
            self._period_end_s += period_s
        self._period_end_s = now_s + period_s

    def _ready(self, excluded: frozenset[str]) -> list[ServerView]:
        return [
            server
            for server in self.servers.values()
            if server.record.state is ServerState.READY and server.record.id not in excluded
        ]

    def _working_servers(self) -> list[ServerView]:
        """Return the ready servers that are not failing; all ready servers if all of them are failing."""
        ready = self._ready(frozenset())
        return [server for server in ready if not eligibility.failing(server)] or ready

    def _eligible(self, now_s: float, servers: list[ServerView]) -> list[ServerView]:
        """Return the servers that may be sent calls now, regardless of their load."""
        return [
            server
            for server in servers
            if eligibility.eligible(now_s, server, self.outcomes.usual_event_gap_ms)
        ]

    # ------------------------------------------------------------- decisions

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide on a call without waiting.

        An admitted call counts against its server from now on.
        """
        self.advance(now_s)
        ready = self._ready(call.excluded)
        if not ready:
            return NoServer()
        if not call.admitted and self._over_threshold(now_s, call):
            return Refused(self._retry_after_s())
        eligible = self._eligible(now_s, ready)
        share = self._batch_share(now_s) if call.batch else 1.0 + self._settings.live_queue_share
        available = [
            server
            for server in eligible
            if eligibility.remaining_capacity(now_s, server, share, self.gateways) > 0.0
        ]
        if not available and not call.batch:
            available = self._fallback_servers(now_s, ready, eligible)
        if not available:
            return Refused(self._retry_after_s())
        return self._place(now_s, call, available)

    def _fallback_servers(
        self, now_s: float, ready: list[ServerView], eligible: list[ServerView]
    ) -> list[ServerView]:
        """Return the servers where a live call may queue although no server has remaining capacity.

        The list is empty if the pool as a whole is full, including the queue share.
        """
        if self.calls.utilization(self._working_servers()) >= 1.0 + self._settings.live_queue_share:
            return []
        candidate_servers = eligible or ready
        return [
            server
            for server in candidate_servers
            if len(server.calls) < server.connections and now_s >= server.full_until_s
        ]

    def _over_threshold(self, now_s: float, call: CallInfo) -> bool:
        """Return whether this gateway's calls in flight have reached the threshold of the call's table row."""
        servers = self._working_servers()
        own_count = own_calls(servers)
        if call.batch:
            if own_count >= self._batch_threshold(now_s, servers):
                return True
            return self._prompt_capacity(len(servers), self._eligible(now_s, servers)) <= 0
        if self.calls.utilization(servers) < LIVE_FLOOR_SHARE:
            return False
        return own_count >= self._live_threshold(servers, call.priority)

    def _batch_share(self, now_s: float) -> float:
        """Return the share of the slots up to which batch items are admitted.

        It is the share by job pressure times the share of the table's batch row at the cursor, and at least
        `BATCH_FLOOR_SHARE`. The lower limit is needed because the row stays at zero for seconds after congestion, when
        servers are idle again. Long waits in a nearly idle pool are not caused by batch items.
        """
        return max(BATCH_FLOOR_SHARE, self.pressure.slot_share(now_s) * self.table.batch_share())

    def _batch_threshold(self, now_s: float, servers: list[ServerView]) -> float:
        """Return the calls in flight of this gateway up to which batch items are admitted.

        It is the number of its calls at the latest load report plus its even share of the slots that were free then,
        limited to an even share of all slots. The limit is needed because reports of the other gateways' calls are
        partial and some hundred ms late. With the reports alone, gateways repeatedly admitted items for the same free
        slots (330 items for 163 slots) and then none for seconds. The sum of even shares never exceeds the slots,
        however old the reports are.
        """
        limit = slots(servers) * self._batch_share(now_s)
        reported = self.calls.own_calls_at_report + self.calls.other_calls_at(servers)
        free = limit - reported
        claimable = free if free <= 0.0 else max(1.0, BATCH_CLAIM_SHARE * free / self.gateways)
        return min(self.calls.own_calls_at_report + claimable, max(1.0, limit / self.gateways))

    def _prompt_capacity(self, count: int, eligible: list[ServerView]) -> int:
        """Return how many more items may await their first event, by this gateway's even share.

        Without the limit, the items of a batch job would be admitted simultaneously, and their prompts would delay
        those of live calls. Of the `count` servers, only items at `eligible` ones are counted. Items at an
        unresponsive server are not processed, and counting them would block all other items until they time out.
        """
        awaiting_prefill = sum(
            1
            for server in eligible
            for placed_call in server.awaiting_first_event()
            if placed_call.call.batch
        )
        return max(1, math.floor(BATCH_PROMPTS_PER_SERVER * count / self.gateways + 0.5)) - awaiting_prefill

    def _live_threshold(self, servers: list[ServerView], priority: int) -> float:
        """Return the calls in flight of this gateway up to which live calls of this priority are admitted.

        It is the number of slots that the other gateways leave free, and at least an even share of all slots.
        """
        limit = slots(servers) * (1.0 + self._settings.live_queue_share)
        other_calls = self.calls.other_calls_at(servers)
        return max(limit / self.gateways, limit - other_calls) * self.table.live_share(priority)

    def _retry_after_s(self) -> float:
        """Return after how many seconds a refused call may be retried.

        It is the time in which the cursor returns to its first slot, randomized so that retries are spread over time.
        """
        wait_s = self._settings.period_s * self.table.cursor
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)) * self._random.uniform(0.75, 1.25)

    def _place(self, now_s: float, call: CallInfo, servers: list[ServerView]) -> Decision:
        context = RankingContext(
            now_s,
            self.outcomes.service_rate,
            self.outcomes.usual_event_gap_ms,
            self.calls.other_calls_at(servers) / len(servers),
            self._waiting_tokens_per_call(now_s),
            self.gateways,
            self._settings.zone,
            now_s - self.calls.load_measured_s,
        )
        if call.batch:
            self.pressure.record_item(now_s, call.deadline_s, call.target_s)
        choice = choose_server(context, call, servers, self._connected, self._random)
        place_call(context, call, choice)
        return Admitted(choice.server.record.id)

    def _waiting_tokens_per_call(self, now_s: float) -> float:
        """Return the mean number of prompt tokens awaiting prefill per call in flight.

        It is computed from this gateway's calls and assumed for those of the other gateways.
        """
        calls = own_calls(self.servers.values())
        if not calls:
            return 0.0
        waiting_tokens = sum(
            server.waiting_tokens(now_s, self.outcomes.service_rate.ms_per_token)
            for server in self.servers.values()
        )
        return waiting_tokens / (calls + 1.0)

    def batch_capacity(self, now_s: float) -> int:
        """Return how many more batch items would be admitted now."""
        self.advance(now_s)
        servers = self._working_servers()
        if not servers:
            return 0
        own_count = own_calls(servers)
        share, eligible = self._batch_share(now_s), self._eligible(now_s, servers)
        capacity = sum(
            max(0.0, eligibility.remaining_capacity(now_s, server, share, self.gateways))
            for server in eligible
        )
        limit = min(
            capacity,
            self._batch_threshold(now_s, servers) - own_count,
            self._prompt_capacity(len(servers), eligible),
        )
        return max(0, math.ceil(limit))
