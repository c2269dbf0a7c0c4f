"""The load of a pool of servers, from latency over its quiet baseline and from answers that said "full".

A load of 1 is the target; above it the cursor of the threshold table steps right. The baseline, its rate of change and
its slack are those of the node (`loadbalancer.load_estimate`). What differs: the measured values are waits
for a first event, each as a share of its own latency target, and since prompt lengths differ a hundredfold, the wait
that the prompt itself explains is subtracted first.
"""

from __future__ import annotations

from loadbalancer.load_estimate import (
    BASELINE_FALL_GAIN,
    BASELINE_MIN_OUTCOMES,
    BASELINE_RISE_GAIN,
    JAMMED_LEVEL,
    QUIET_LEVEL,
    REJECTED_SHARE_TARGET,
    UNCROWDED_SLACK,
)

OUTCOMES_FOR_HALF_WEIGHT = 10.0  # in a period, for half the weight in the smoothed wait
MAX_WAIT_SHARE = 3.0  # a wait counts as no more, so that a jam is forgotten once it has passed
IDLE_DECAY = 0.97  # of the smoothed wait in a period without outcomes: unobserved load must decay


class LoadMeter:
    """Collects the outcomes of a period; `close_period` turns them into the load."""

    def __init__(self) -> None:
        self.smoothed_wait = 0.0  # as a share of the latency target
        self.baseline: float | None = None  # the smoothed wait without load
        self._period_waits: list[float] = []
        self._first_waits: list[float] = []
        self._outcomes_since_step = 0  # outcomes since the last step right
        self._period_outcomes = 0
        self._period_full = 0

    def record_wait(self, target_share: float) -> None:
        """Record a first event: its wait, less its own prompt's, as a share of the latency target."""
        self._period_waits.append(min(MAX_WAIT_SHARE, max(0.0, target_share)))
        self._outcomes_since_step += 1

    def record_outcome(self, full: bool) -> None:
        """Record the end of an attempt; `full`: the server rejected it for lack of capacity."""
        self._period_outcomes += 1
        self._period_full += full

    def may_step_right(self) -> bool:
        """Return whether enough outcomes came since the last step right to know that another one is needed.

        The effect of a step shows only in calls sent after it. A jam does not wait for that.
        """
        if self._outcomes_since_step < OUTCOMES_FOR_HALF_WEIGHT and not self.jammed:
            return False
        self._outcomes_since_step = 0
        return True

    @property
    def jammed(self) -> bool:
        """Whether waits are near the latency target itself."""
        return self.smoothed_wait > JAMMED_LEVEL

    def close_period(self, quiet: bool) -> float:
        """End the period and return its load; `quiet`: the table is fully open, so the baseline may rise."""
        if self._period_waits:
            median = sorted(self._period_waits)[len(self._period_waits) // 2]
            self._update_smoothed_wait(median, quiet)
        else:
            self.smoothed_wait *= IDLE_DECAY
        load = 0.0
        if self.baseline is not None and self.smoothed_wait >= QUIET_LEVEL:
            load = self.smoothed_wait / (self.baseline + UNCROWDED_SLACK * (1.0 - self.baseline))
        if self._period_outcomes:
            load = max(load, self._period_full / self._period_outcomes / REJECTED_SHARE_TARGET)
        self._period_waits, self._period_outcomes, self._period_full = [], 0, 0
        return load

    def _update_smoothed_wait(self, median: float, quiet: bool) -> None:
        count = len(self._period_waits)
        if self.baseline is None or len(self._first_waits) < BASELINE_MIN_OUTCOMES:
            self._first_waits += self._period_waits
            self.smoothed_wait = self.baseline = min(
                JAMMED_LEVEL, sorted(self._first_waits)[len(self._first_waits) // 2]
            )
            return
        self.smoothed_wait += count / (count + OUTCOMES_FOR_HALF_WEIGHT) * (median - self.smoothed_wait)
        if self.smoothed_wait < self.baseline:
            self.baseline += BASELINE_FALL_GAIN * (self.smoothed_wait - self.baseline)
        elif quiet:
            self.baseline += BASELINE_RISE_GAIN * (self.smoothed_wait - self.baseline)
