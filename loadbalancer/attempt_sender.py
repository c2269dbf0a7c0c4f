"""Sends first attempts, retries and hedges, within the retry budget; part of the decision module."""

from __future__ import annotations

from random import Random

from loadbalancer.attempts import Attempt, RequestState
from loadbalancer.class_latency import ClassLatencies
from loadbalancer.interface import Actions, Result, Send, Settings, Wake
from loadbalancer.outlier_detection import PendingCall
from loadbalancer.ranking import Ranking
from loadbalancer.retry_policy import ExtraAttempt, RetryBudget, backoff_ms

BACKOFF_MAX_MS = 1000.0  # upper limit of the backoff
FAILING_SHARE = 0.2  # smoothed share of failed attempts from which retries are backed off
FAILURE_GAIN = 0.1  # smoothing factor of that share, per outcome
LATENCIES_AFTER_BACKOFF = 2.0  # a backoff leaves at least this many mean latencies of its class
TARGET_MARGIN = 0.98  # timeout as a share of the latency target, where late responses are worth nothing
TRIAL_TIME_SHARE = 0.34  # share of a request's remaining time that a trial call may use
MIN_TIME_LEFT_MS = 1.0  # no attempt is sent with less time left

RETRY, HEDGE = "retry", "hedge"  # prefixes of alarm names; a request id follows


class AttemptSender:
    """Appends `Send` and `Wake` actions for attempts, as far as retry budget and deadline allow."""

    def __init__(self, settings: Settings, rng: Random, ranking: Ranking, latencies: ClassLatencies) -> None:
        self.cfg = settings
        self.failure_share = 0.0  # smoothed share of the pool's attempts that failed
        self.budget: RetryBudget | None = None  # for retries and hedges; None: unlimited
        if settings.retry_share is not None:
            floor_per_s, window_ms = settings.retry_floor_per_s, settings.retry_window_ms
            self.budget = RetryBudget(settings.retry_share, floor_per_s, window_ms)
        self._rng = rng
        self._ranking = ranking
        self._latencies = latencies

    @property
    def failing(self) -> bool:
        """Whether so many attempts fail that retries must be backed off."""
        return self.failure_share >= FAILING_SHARE

    def note_result(self, failed: bool) -> None:
        """Add an outcome to the smoothed share of failures."""
        self.failure_share += FAILURE_GAIN * (failed - self.failure_share)

    def send_first(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send the first attempt; returns False if none can be sent."""
        # Retries of callers would multiply the load of a failing pool if they counted as first attempts, so
        # the first tier charges a request marked as a retry to the retry budget, once.
        budget, request = self.budget, state.request
        if budget is None:
            return self.send(now, state, acts)
        charged = request.is_retry and not request.paid
        if charged and not budget.withdraw(now, state.kind.name, ExtraAttempt.REPEAT):
            return False
        if not self.send(now, state, acts):
            if charged:
                budget.refund(now, state.kind.name, ExtraAttempt.REPEAT)
            return False
        if not (request.is_retry or request.paid):
            budget.note_first_attempt(now, state.kind.name)
        hedge_after_ms = self._latencies.hedge_after_ms(state.kind.name)
        if hedge_after_ms is not None:
            acts.append(Wake(hedge_after_ms, f"{HEDGE} {request.id}"))
        return True

    def send(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send an attempt to the best server; returns False if no time, attempt or server is left."""
        left_ms = state.request.give_up_at_ms - now
        if state.kind.late_worth <= 0.0 and not state.kind.stream:
            # Stop work at the latency target if it is worth nothing afterwards, to free capacity.
            left_ms = min(left_ms, state.received_ms + state.kind.aim_ms * TARGET_MARGIN - now)
        if state.done or left_ms <= MIN_TIME_LEFT_MS or state.attempts_used_up(self.cfg):
            return False
        server, trial = self._ranking.pick(now, state)
        if server is None:
            return False
        if trial and state.may_be_retried(self.cfg):
            left_ms *= TRIAL_TIME_SHARE  # Leaves time for a retry if the server hangs.
        dedup_left_ms = state.dedup_time_left_ms(now)
        idle_ms, server.last_sent_ms = now - server.last_sent_ms, now
        server.pending[(state.request.id, len(state.attempts))] = PendingCall(state.kind.name, now)
        state.attempts.append(Attempt(server, now, idle_ms))
        server.load += state.queue_weight
        acts.append(Send(state.request.id, server.info.address, left_ms, dedup_left_ms))
        return True

    def retry(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send or schedule a retry; returns False if the request must get its final response now."""
        if self.budget is None:
            return self.send(now, state, acts)
        if state.request.give_up_at_ms - now <= MIN_TIME_LEFT_MS or state.attempts_used_up(self.cfg):
            return False
        # A failed connect has not loaded any server, so its retry is not charged to the budget.
        free = state.attempts[-1].result is Result.CONNECT_FAILED
        if not free and not self.budget.withdraw(now, state.kind.name, ExtraAttempt.RETRY):
            return False
        wait_ms = 0.0 if free else self._retry_wait_ms(now, state)
        # Without an eligible server the final response must not wait for the backoff.
        if wait_ms > 0.0 and self._ranking.pick(now, state)[0] is not None:
            state.retry_scheduled = True
            acts.append(Wake(wait_ms, f"{RETRY} {state.request.id}"))
            return True
        if self.send(now, state, acts):
            return True
        if not free:
            self.budget.refund(now, state.kind.name, ExtraAttempt.RETRY)
        return False

    def _retry_wait_ms(self, now: float, state: RequestState) -> float:
        """Return the backoff before a retry: 0 unless the pool is failing, then random."""
        # While most servers work, an immediate retry elsewhere is better. In a failing pool, servers that
        # answer 500 at once would get the retries of the whole tier within milliseconds.
        if self.cfg.backoff_ms <= 0.0 or not self.failing:
            return 0.0
        useful_ms = LATENCIES_AFTER_BACKOFF * self._latencies.mean_ms.get(state.kind.name, 0.0)
        left_ms = state.request.give_up_at_ms - now - useful_ms
        if left_ms <= 0.0:
            return 0.0
        return min(left_ms, backoff_ms(self._rng, len(state.attempts), self.cfg.backoff_ms, BACKOFF_MAX_MS))

    def send_scheduled(self, now: float, state: RequestState, acts: Actions) -> bool:
        """Send a retry after its backoff; returns False if the request must get its final response now."""
        if not state.retry_scheduled:
            return True
        state.retry_scheduled = False
        return bool(state.pending()) or self.send(now, state, acts)

    def send_hedge(self, now: float, state: RequestState, acts: Actions) -> None:
        """Hedge a slow first attempt with a second one, if the retry budget allows."""
        if self.budget is None or state.pending() != 1 or state.attempts_used_up(self.cfg):
            return
        allowed = self.budget.withdraw(now, state.kind.name, ExtraAttempt.HEDGE)
        if allowed and not self.send(now, state, acts):
            self.budget.refund(now, state.kind.name, ExtraAttempt.HEDGE)
