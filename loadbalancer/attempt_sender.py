"""Sends first attempts, retries and hedges, within the retry budget; part of the decision module."""

from __future__ import annotations

from random import Random

from loadbalancer.attempts import Attempt, RequestState
from loadbalancer.class_latency import ClassLatencies
from loadbalancer.interface import Actions, Result, Send, Settings, Wake
from loadbalancer.outlier_detection import PendingCall
from loadbalancer.ranking import Ranking
from loadbalancer.retry_policy import RetryBudget, Spent, backoff_ms

BACKOFF_MAX_MS = 1000.0  # the longest wait before a retry
FAILING_SHARE = 0.2  # smoothed share of failed attempts from which a retry waits before it goes out
FAILURE_GAIN = 0.1  # smoothing of it, per outcome
USEFUL_LATENCIES = 2.0  # a retry waits no longer than leaves this many mean latencies of its class
TARGET_MARGIN = 0.98  # attempts worth nothing late are given up at this share of the latency target
TRIAL_TIME_SHARE = 0.34  # share of a request's time that a trial call may take, so that another can follow
MIN_TIME_LEFT_MS = 1.0  # no attempt is sent with this little of the request's time left

RETRY, HEDGE = "retry", "hedge"  # first words of this class's alarms; a request's id follows


class AttemptSender:
    """Sends attempts, as far as budget and time allow, by appending `Send` and `Wake` actions."""

    def __init__(self, settings: Settings, rng: Random, ranking: Ranking, latencies: ClassLatencies) -> None:
        self.cfg = settings
        self.failure_share = 0.0  # smoothed share of the pool's attempts that failed
        self.budget: RetryBudget | None = None  # for attempts beyond first ones; None: unlimited
        if settings.retry_share is not None:
            floor_per_s, window_ms = settings.retry_floor_per_s, settings.retry_window_ms
            self.budget = RetryBudget(settings.retry_share, floor_per_s, window_ms)
        self._rng = rng
        self._ranking = ranking
        self._latencies = latencies

    @property
    def failing(self) -> bool:
        """Whether so many attempts fail that retries are better made a little later."""
        return self.failure_share >= FAILING_SHARE

    def note_result(self, failed: bool) -> None:
        """Smooth an outcome into the share of failures."""
        self.failure_share += FAILURE_GAIN * (failed - self.failure_share)

    def send_first(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send the first attempt; False: none can be sent."""
        # A failing pool was multiplied by callers that retry, as each of their attempts was a first one; a
        # repeat that is marked is taken from the retry budget, once, by the first tier.
        budget, request = self.budget, state.request
        if budget is None:
            return self.send(now, state, acts)
        costs = request.is_retry and not request.paid
        if costs and not budget.take(now, state.kind.name, Spent.REPEAT):
            return False
        if not self.send(now, state, acts):
            if costs:
                budget.give_back(now, state.kind.name, Spent.REPEAT)
            return False
        if not (request.is_retry or request.paid):
            budget.first(now, state.kind.name)
        hedge_after_ms = self._latencies.hedge_after_ms(state.kind.name)
        if hedge_after_ms is not None:
            acts.append(Wake(hedge_after_ms, f"{HEDGE} {request.id}"))
        return True

    def send(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send an attempt to the server that is picked; False: there is no time, attempt or server left."""
        left_ms = state.request.give_up_at_ms - now
        if state.kind.late_worth <= 0.0 and not state.kind.stream:
            # Late work is worth nothing, so it is stopped at the target and does not crowd out the rest.
            left_ms = min(left_ms, state.taken_ms + state.kind.aim_ms * TARGET_MARGIN - now)
        if state.done or left_ms <= MIN_TIME_LEFT_MS or state.attempts_used_up(self.cfg):
            return False
        server, trial = self._ranking.pick(now, state)
        if server is None:
            return False
        if trial and state.may_be_retried(self.cfg):
            left_ms *= TRIAL_TIME_SHARE  # A call to a server that hangs took all of its request's time.
        remembered_ms = state.remembered_for_ms(now)
        idle_ms, server.last_sent_ms = now - server.last_sent_ms, now
        server.pending[(state.request.id, len(state.attempts))] = PendingCall(state.kind.name, now)
        state.attempts.append(Attempt(server, now, idle_ms))
        server.load += state.units
        acts.append(Send(state.request.id, server.info.address, left_ms, remembered_ms))
        return True

    def retry(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send or schedule an attempt after those that have ended; False: the request is to be answered."""
        if self.budget is None:
            return self.send(now, state, acts)
        if state.request.give_up_at_ms - now <= MIN_TIME_LEFT_MS or state.attempts_used_up(self.cfg):
            return False
        # A connection that never came up has cost no server anything, so it costs no budget.
        free = state.attempts[-1].result is Result.CONNECT_FAILED
        if not free and not self.budget.take(now, state.kind.name, Spent.RETRY):
            return False
        wait_ms = 0.0 if free else self._retry_wait_ms(now, state)
        # No answer is held back for an attempt that can't follow.
        if wait_ms > 0.0 and self._ranking.pick(now, state)[0] is not None:
            state.retry_scheduled = True
            acts.append(Wake(wait_ms, f"{RETRY} {state.request.id}"))
            return True
        if self.send(now, state, acts):
            return True
        if not free:
            self.budget.give_back(now, state.kind.name, Spent.RETRY)
        return False

    def _retry_wait_ms(self, now: float, state: RequestState) -> float:
        """Return how long to wait before a retry: only where most fails, and then for a drawn time."""
        # While others of the pool work they are better now. Servers that answered 500 at once got the retries
        # of a whole tier within milliseconds.
        if self.cfg.backoff_ms <= 0.0 or not self.failing:
            return 0.0
        useful_ms = USEFUL_LATENCIES * self._latencies.mean_ms.get(state.kind.name, 0.0)
        left_ms = state.request.give_up_at_ms - now - useful_ms
        if left_ms <= 0.0:
            return 0.0
        return min(left_ms, backoff_ms(self._rng, len(state.attempts), self.cfg.backoff_ms, BACKOFF_MAX_MS))

    def send_scheduled(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send the retry that was put off; False: the request is to be answered."""
        if not state.retry_scheduled:
            return True
        state.retry_scheduled = False
        return bool(state.pending()) or self.send(now, state, acts)

    def send_hedge(self, now: float, state: RequestState, acts: Actions) -> None:
        """Send a second copy beside a slow first attempt, where the budget has one."""
        if self.budget is None or state.pending() != 1 or state.attempts_used_up(self.cfg):
            return
        taken = self.budget.take(now, state.kind.name, Spent.HEDGE)
        if taken and not self.send(now, state, acts):
            self.budget.give_back(now, state.kind.name, Spent.HEDGE)
