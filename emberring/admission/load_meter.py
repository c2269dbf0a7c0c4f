"""The load of a pool of servers, from the rise of latency over its baseline and from calls rejected as full.

A load of 1 is the target; above it the cursor of the threshold table moves right. The baseline, its rate of change and
its slack are those of the node (`loadbalancer.load_estimate`). Unlike there, the measured values are waits for the
first event, each as a share of its call's latency target. Prompt lengths differ by a factor of 100, so the time to
compute the call's own prompt is subtracted first.
"""

from __future__ import annotations

from loadbalancer.load_estimate import (
    BASELINE_FALL_GAIN,
    BASELINE_MIN_OUTCOMES,
    BASELINE_RISE_GAIN,
    LIGHT_LOAD_SLACK,
    OVERLOADED_LEVEL,
    REJECTED_SHARE_TARGET,
    UNLOADED_LEVEL,
)

OUTCOMES_FOR_HALF_WEIGHT = 10.0  # waits in a period that get half the weight in the smoothed wait
MAX_WAIT_SHARE = 3.0  # larger waits are capped, so that the estimate recovers soon after congestion
IDLE_DECAY = 0.97  # factor of the smoothed wait in a period without waits, so that unobserved load decays


class LoadMeter:
    """Collects the outcomes of a period; `close_period` computes the load from them."""

    def __init__(self) -> None:
        self.smoothed_wait = 0.0  # as a share of the latency target
        self.baseline: float | None = None  # the smoothed wait without load
        self._period_waits: list[float] = []
        self._initial_waits: list[float] = []
        self._outcomes_since_move = 0  # waits recorded since the cursor last moved right
        self._period_outcomes = 0
        self._period_full = 0

    def record_wait(self, target_share: float) -> None:
        """Record the wait for a first event as a share of the latency target, without the time for its own prompt."""
        self._period_waits.append(min(MAX_WAIT_SHARE, max(0.0, target_share)))
        self._outcomes_since_move += 1

    def record_outcome(self, full: bool) -> None:
        """Record the end of an attempt; `full` is whether the server rejected it for lack of capacity."""
        self._period_outcomes += 1
        self._period_full += full

    def may_move_right(self) -> bool:
        """Return whether the cursor may move right again.

        The effect of a move shows only in calls sent after it, so a number of outcomes is required between two moves,
        except during severe congestion.
        """
        if self._outcomes_since_move < OUTCOMES_FOR_HALF_WEIGHT and not self.congested:
            return False
        self._outcomes_since_move = 0
        return True

    @property
    def congested(self) -> bool:
        """Whether waits are close to the latency target."""
        return self.smoothed_wait > OVERLOADED_LEVEL

    def close_period(self, may_raise_baseline: bool) -> float:
        """End the period and return its load.

        `may_raise_baseline` must be True only while the threshold table admits all calls: the waits of an overloaded
        pool must not become its baseline.
        """
        if self._period_waits:
            median = sorted(self._period_waits)[len(self._period_waits) // 2]
            self._update_smoothed_wait(median, may_raise_baseline)
        else:
            self.smoothed_wait *= IDLE_DECAY
        load = 0.0
        if self.baseline is not None and self.smoothed_wait >= UNLOADED_LEVEL:
            load = self.smoothed_wait / (self.baseline + LIGHT_LOAD_SLACK * (1.0 - self.baseline))
        if self._period_outcomes:
            load = max(load, self._period_full / self._period_outcomes / REJECTED_SHARE_TARGET)
        self._period_waits, self._period_outcomes, self._period_full = [], 0, 0
        return load

    def _update_smoothed_wait(self, median: float, may_raise_baseline: bool) -> None:
        count = len(self._period_waits)
        if self.baseline is None or len(self._initial_waits) < BASELINE_MIN_OUTCOMES:
            self._initial_waits += self._period_waits
            self.smoothed_wait = self.baseline = min(
                OVERLOADED_LEVEL, sorted(self._initial_waits)[len(self._initial_waits) // 2]
            )
            return
        self.smoothed_wait += count / (count + OUTCOMES_FOR_HALF_WEIGHT) * (median - self.smoothed_wait)
        if self.smoothed_wait < self.baseline:
            self.baseline += BASELINE_FALL_GAIN * (self.smoothed_wait - self.baseline)
        elif may_raise_baseline:
            self.baseline += BASELINE_RISE_GAIN * (self.smoothed_wait - self.baseline)
