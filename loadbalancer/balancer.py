"""The decision module of loadbalancer. Its types, events and actions are in loadbalancer/interface.py.

Admission control: once per period the pool's load moves a cursor one step over a table of queue thresholds.
A request over the threshold of its row is rejected at once; an admitted one goes to the best-ranked ready
server. The module does no I/O: `Balancer.handle(now_ms, event)` returns actions and uses no clock, no globals
and its own seeded random generator. deploy/balancer.toml lists its modules, one for each concern.
"""

from __future__ import annotations

import math
from random import Random

from loadbalancer import interface as api
from loadbalancer.attempt_sender import HEDGE, RETRY, AttemptSender
from loadbalancer.attempts import Attempt, RequestState
from loadbalancer.class_latency import ClassLatencies, relative_latency
from loadbalancer.load_estimate import LoadEstimate, upper_median
from loadbalancer.outlier_detection import PANIC_ERROR_SHARE, TrackedServer, decay_errors_in_panic
from loadbalancer.ranking import Ranking
from loadbalancer.server_table import ServerTable
from loadbalancer.slow_start import SlowStart
from loadbalancer.tenant_quota import TokenBucket
from loadbalancer.threshold_table import ThresholdTable

PERIOD_SHARE = 0.15  # length of a period, as a share of the shortest latency target
RETRY_WORTH = 0.5  # worth of a request marked as a retry, as a share of its class's worth
COST_HINT_GAIN = 0.03  # smoothing factor of the mean cost hint, per request
QUEUE_WEIGHT_MIN, QUEUE_WEIGHT_MAX = 0.25, 4.0  # of a request, from its cost hint over the mean one
REPORT_FRESH_MS = 1500.0  # a reported utilisation is used for this long
WATCH_RETRY_MS = 250.0  # half the first wait before discovery is called again; doubled for each failure,
WATCH_RETRY_DOUBLINGS = 8  # this many times at most
WATCH_RETRY_MAX_MS = 12_000.0  # upper limit of the wait

PERIOD_ALARM, WATCH_ALARM = "period", "watch"

INCONCLUSIVE_RESULTS = (
    api.Result.CANCELLED,
    api.Result.MOOT,
    api.Result.NO_ROOM,
)  # no evidence about the server


class Balancer:
    """Decides about admission, server selection, retries and hedges for one pool."""

    def __init__(self, settings: api.Settings, seed: int, now_ms: float) -> None:
        self.cfg = settings
        self.rng = Random(seed)
        self.classes = {kind.name: kind for kind in settings.classes}
        self.period_ms = PERIOD_SHARE * min(kind.aim_ms for kind in settings.classes)
        self.top_worth = max(kind.worth for kind in settings.classes) or 1.0
        self.table = ThresholdTable(settings)
        self.estimate = LoadEstimate(settings, self.period_ms)
        self.latencies = ClassLatencies(settings.classes)
        self.slow_start = SlowStart(settings, self.rng, now_ms)
        self.servers = ServerTable(self.slow_start)
        self.ranking = Ranking(self.rng, self.servers, self.slow_start, self.latencies)
        self.sender = AttemptSender(settings, self.rng, self.ranking, self.latencies)
        self.requests: dict[str, RequestState] = {}
        self.ejected_share = 0.0  # among the servers in use, at the end of the last period
        self.mean_cost_hint_ms = 0.0
        shares = {tenant.name: tenant.quota_per_s / settings.siblings for tenant in settings.tenants}
        self.buckets = {name: TokenBucket(share, now_ms) for name, share in shares.items()}
        self._started = False
        self._watch_failures = 0

    @property
    def servers_by_address(self) -> dict[str, TrackedServer]:
        """All servers of the server list, by address."""
        return self.servers.by_address

    @property
    def ready(self) -> list[TrackedServer]:
        """The servers in use."""
        return self.servers.ready

    def replace_settings(self, settings: api.Settings) -> None:
        """Replace the settings of ranking, slow start and attempts; classes and tenants are not replaced."""
        self.cfg = self.slow_start.cfg = self.ranking.cfg = self.sender.cfg = settings

    def handle(self, now: float, event: api.Event, lag_ms: float = 0.0) -> api.Actions:
        """Return the actions for an event; responses of the last `lag_ms` may not have been read yet."""
        acts: api.Actions = []
        self.ranking.lag_ms = lag_ms
        if not self._started:
            self._start(acts)
        if isinstance(event, api.Request):
            self._on_request(now, event, acts)
        elif isinstance(event, api.Outcome):
            self._on_outcome(now, event, acts)
        elif isinstance(event, api.Alarm):
            self._on_alarm(now, event.name, acts)
        elif isinstance(event, api.Membership):
            self._on_membership(now, event, acts)
        elif isinstance(event, api.Probed):
            self._note_report(now, event.server, event.report)
        elif event.id in self.requests:
            self._on_client_event(self.requests[event.id], event, acts)
        return acts

    def _start(self, acts: api.Actions) -> None:
        self._started = True
        acts.append(api.Wake(self.period_ms, PERIOD_ALARM))
        if self.cfg.ask_discovery:
            acts.append(api.Watch())

    def _on_client_event(
        self, state: RequestState, event: api.Lapsed | api.Started, acts: api.Actions
    ) -> None:
        """Handle the disconnect of a client or the start of a streamed response."""
        if isinstance(event, api.Lapsed):
            self._end_request(state, acts)
        else:
            state.streaming = True
            self._cancel_pending(state, event.attempt, acts)

    def _on_alarm(self, now: float, name: str, acts: api.Actions) -> None:
        prefix, _, request_id = name.partition(" ")
        state = self.requests.get(request_id)
        if name == PERIOD_ALARM:
            acts.append(api.Wake(self.period_ms, PERIOD_ALARM))
            self._on_period(now)
        elif name == WATCH_ALARM:
            acts.append(api.Watch())
        elif state is None or state.done:
            return
        elif prefix == HEDGE:
            self.sender.send_hedge(now, state, acts)
        elif prefix == RETRY and not self.sender.send_scheduled(now, state, acts):
            self._reject_or_fail(state, acts)

    def _on_membership(self, now: float, event: api.Membership, acts: api.Actions) -> None:
        if event.form is api.ListForm.FAILED:
            acts.append(api.Wake(self._watch_retry_ms(), WATCH_ALARM))
            self.ranking.list_validity.on_failure(now, event.complete_until_ms)
            return
        if event.form is api.ListForm.CACHED:
            self.ranking.list_validity.on_cached(now)
        else:
            self._watch_failures = 0
            self.ranking.list_validity.on_answer()
        self.servers.update(now, event)

    def _watch_retry_ms(self) -> float:
        """Return the backoff before the next subscription, so that discovery is not overloaded."""
        # Without the limit, the power overflows a float after about a thousand consecutive failures.
        self._watch_failures = min(self._watch_failures + 1, WATCH_RETRY_DOUBLINGS)
        wait_ms = min(WATCH_RETRY_MAX_MS, WATCH_RETRY_MS * 2.0**self._watch_failures)
        return wait_ms * self.rng.uniform(0.5, 1.0)

    def _worth(self, now: float, request: api.Request, kind: api.ServiceClass) -> float:
        """Return a request's share of the highest worth; in tier 0 this consumes its tenant's quota."""
        worth = kind.worth if request.worth is None else min(kind.worth, request.worth)
        worth /= self.top_worth
        if request.is_retry:
            worth *= RETRY_WORTH
        bucket = self.buckets.get(request.tenant or "")
        if bucket is not None and self.cfg.tier == 0 and not bucket.take(now):
            return worth * self.cfg.over_share_worth
        return worth

    def threshold(self, worth: float, servers: int) -> float:
        """Return the table's entry at the cursor, in the row of this worth (1: the highest)."""
        return self.table.threshold(worth, servers, self.estimate)

    def reject_if_over_threshold(self, now: float, request: api.Request) -> api.Refuse | None:
        """Return the threshold table's rejection, or None; lets a host check admission before other work."""
        # The host marks a request that passes as `admitted`, so that it is checked once. One with an earlier
        # copy always passes, because it needs the full checks. Rejecting early matters in overload: at five
        # times the capacity, a full rejection costs almost as much as a response.
        kind, queue = self.classes[request.service], self.servers.in_flight()
        if request.earlier is not None or not self._over_threshold(now, request, kind, queue):
            return None
        return api.Refuse(request.id, self._retry_after_ms())

    def _on_request(self, now: float, request: api.Request, acts: api.Actions) -> None:
        kind = self.classes[request.service]
        queue_weight = self._queue_weight(request.cost_hint_ms)
        state = self.requests[request.id] = RequestState(request, kind, now, queue_weight)
        queue = self.servers.in_flight()
        state.in_flight_at_start = queue + queue_weight
        rejected = not request.admitted and self._over_threshold(now, request, kind, queue)
        if rejected or not self.sender.send_first(now, state, acts):
            self._reject_or_fail(state, acts)

    def _queue_weight(self, cost_hint_ms: float | None) -> float:
        """Return a request's weight in the queue: 1, or by its cost hint if worth is counted by work."""
        if not self.cfg.worth_by_work or not cost_hint_ms:
            return 1.0
        gain = COST_HINT_GAIN if self.mean_cost_hint_ms else 1.0
        self.mean_cost_hint_ms += (cost_hint_ms - self.mean_cost_hint_ms) * gain
        return min(QUEUE_WEIGHT_MAX, max(QUEUE_WEIGHT_MIN, cost_hint_ms / self.mean_cost_hint_ms))

    def _over_threshold(self, now: float, request: api.Request, kind: api.ServiceClass, queue: float) -> bool:
        """Whether the table rejects a request while `queue` calls are in flight."""
        capacity = self.threshold(self._worth(now, request, kind), len(self.ready)) - queue
        # With hundreds of balancers, one call from each would keep the servers overloaded, so a threshold
        # below one call is applied as a probability.
        over = capacity < 1.0 and self.rng.random() >= capacity
        levels = self.servers.levels
        return over or (levels is not None and self.rng.random() < levels.drop)

    def _on_outcome(self, now: float, event: api.Outcome, acts: api.Actions) -> None:
        self._note_report(now, event.server, event.report)
        state = self.requests.get(event.id)
        if state is None or event.attempt >= len(state.attempts):
            return
        attempt = state.attempts[event.attempt]
        if attempt.result is not None:
            return
        attempt.result = event.result
        attempt.server.pending.pop((event.id, event.attempt), None)
        if event.result in (api.Result.TIMEOUT, api.Result.CANCELLED):
            mean_ms = self.latencies.mean_ms.get(state.kind.name, 0.0)
            attempt.server.abandon(now + mean_ms, state.queue_weight)
        else:
            attempt.server.finish(state.queue_weight)
        self._record_outcome(now, state, attempt, event)
        self._continue_request(now, state, event, acts)

    def _continue_request(
        self, now: float, state: RequestState, event: api.Outcome, acts: api.Actions
    ) -> None:
        """Retry, reject, fail or end the request of an attempt that has ended."""
        if event.done or state.done:
            state.streaming = state.streaming and not event.done
            self._end_request(state, acts)
        elif state.pending():
            return
        elif event.result is api.Result.NO_ROOM:
            # A retry would visit all servers within one turn of the event loop and count a failure for each.
            self._reject_or_fail(state, acts)
        elif not state.retry_scheduled and not self.sender.retry(now, state, acts):
            self._reject_or_fail(state, acts)

    def _reject_or_fail(self, state: RequestState, acts: api.Actions) -> None:
        """Reject the request if it is safe for the client to retry it, else fail it."""
        may_have_run = state.may_have_run() or state.request.earlier is not None
        if not may_have_run or state.kind.effect is api.Effect.SAFE:
            acts.append(api.Refuse(state.request.id, self._retry_after_ms()))
        else:
            acts.append(api.Fail(state.request.id))
        self._end_request(state, acts)

    def _retry_after_ms(self) -> float:
        """Return the Retry-After time of a rejection; 0: none is sent."""
        if not self.cfg.retry_after or self.cfg.tier != 0:
            return 0.0
        wait_ms = self.period_ms * self.table.cursor
        if self.cfg.retry_after_spread > 0.0:
            # Spread the retries of callers that were rejected at the same time.
            wait_ms *= 1.0 + self.cfg.retry_after_spread * self.rng.uniform(-1.0, 1.0)
        return min(self.cfg.max_retry_after_ms, wait_ms)

    def _end_request(self, state: RequestState, acts: api.Actions) -> None:
        if not state.done:
            state.done = True
            self._cancel_pending(state, -1, acts)
        if not state.pending():
            self.requests.pop(state.request.id, None)

    def _cancel_pending(self, state: RequestState, keep: int, acts: api.Actions) -> None:
        """Cancel the pending attempts except number `keep` (-1: all, unless a response is being streamed)."""
        if self.cfg.may_cancel and not (state.streaming and keep < 0):
            pending = (at for at, item in enumerate(state.attempts) if item.result is None and at != keep)
            acts.extend(api.Cancel(state.request.id, at) for at in pending)

    def _note_report(self, now: float, address: str, report: dict[str, float] | None) -> None:
        server = self.servers_by_address.get(address)
        if server is not None and report:
            server.record_report(now, report)

    def _record_outcome(self, now: float, state: RequestState, attempt: Attempt, event: api.Outcome) -> None:
        """Record an outcome for its server, its class and the pool's load."""
        server, result = attempt.server, event.result
        ok = result is api.Result.OK
        if result is api.Result.CANCELLED:
            self._note_abandoned_latency(state.kind, event.latency_ms)
        if result in INCONCLUSIVE_RESULTS:
            return
        self.sender.note_result(not ok)
        if not ok:
            server.note_failure(result)
        if result is api.Result.FULL and not self._is_faulty(server):
            self.estimate.note_ended(rejected=True)
            server.note_rejection(now)
            return
        if result is not api.Result.FULL:
            # Tier 0 sees rejections of the tiers below as errors only.
            self.estimate.note_ended(rejected=result is api.Result.ERROR and self.cfg.tier == 0)
        server.note_error_share(not ok)
        if ok:
            server.note_success(now, attempt.sent_ms, attempt.idle_ms, self.cfg.starts_told)
            in_flight = state.in_flight_at_start
            self.estimate.note_completed(event.latency_ms, state.kind.aim_ms, state.queue_weight, in_flight)
        if ok or result is api.Result.TIMEOUT:  # the latency of errors would make a failing server look fast
            self._note_latency(now, state.kind, attempt, event)

    def _is_faulty(self, server: TrackedServer) -> bool:
        """Whether rejections are a fault of this server rather than a sign of the pool's load."""
        # Draining servers that are still listed reject all calls, look idle and so got six attempts of each
        # request. If their rejections count as load, the table rejects requests that others could handle.
        return server.ejected and self.ejected_share < PANIC_ERROR_SHARE

    def _note_abandoned_latency(self, kind: api.ServiceClass, latency_ms: float) -> None:
        """Record the latency of a call that its caller abandoned, if it is above its class's mean."""
        # Callers abandon slow calls; without those, an overloaded pool looks fast.
        if latency_ms > self.latencies.mean_ms.get(kind.name, math.inf):
            self.estimate.note_latency(latency_ms, kind.aim_ms)

    def _note_latency(self, now: float, kind: api.ServiceClass, attempt: Attempt, event: api.Outcome) -> None:
        self.estimate.note_latency(event.latency_ms, kind.aim_ms)
        if event.result is api.Result.OK:
            self.latencies.note_success_latency(kind.name, event.latency_ms)
        mean_ms = self.latencies.mean_ms.get(kind.name)
        factor = 1.0 if mean_ms is None else relative_latency(event.latency_ms, mean_ms, self.cfg.near_ms)
        attempt.server.note_latency(now, factor)

    def _on_period(self, now: float) -> None:
        """Move the cursor one step by the period's load."""
        ready = self.ready
        self.estimate.periods += 1
        for server in ready:
            server.remove_ended_abandoned(now)
        median_error_share = upper_median([server.error_share for server in ready]) or 0.0
        decay_errors_in_panic(ready, median_error_share, self.period_ms)
        self.ejected_share = sum([server.ejected for server in ready]) / max(1, len(ready))
        in_flight, utilisation = self.servers.in_flight(), self._utilisation(now)
        table_open = self.table.cursor == 0
        self.table.move(self.estimate.close_period(len(ready), in_flight, utilisation, table_open))

    def _utilisation(self, now: float) -> float | None:
        """Return the median of the recently reported utilisations."""
        fresh = [server for server in self.ready if server.reported_ms >= now - REPORT_FRESH_MS]
        reported = [server.reported_utilisation for server in fresh]
        return upper_median([value for value in reported if value is not None])
