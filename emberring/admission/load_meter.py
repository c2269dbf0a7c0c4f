"""The load of a pool of servers, from what this gateway sees: latency over its quiet baseline, and answers that
said "full". 1 is the target; above it the cursor of the table steps right.

The baseline, its pace and its slack are those of the decision module of the node (`loadbalancer.balancer`). What
differs: outcomes are the waits for a first event, each as a share of its own aim, and since the prompts' lengths
differ a hundredfold, the wait that the prompt itself explains is taken off before.
"""

from __future__ import annotations

from loadbalancer.balancer import BASE_FALL, BASE_LEAST, BASE_RISE, FULL_TARGET, JAM, QUIET, SLACK_ROOM

OUTCOMES_FOR_HALF_WEIGHT = 10.0  # outcomes that give a period half the say in the smoothed wait
MAX_WAIT_SHARE = 3.0  # a wait counts as no more than this, so that a jam is forgotten once it has passed
IDLE_DECAY = 0.97  # of the smoothed wait, by a period without outcomes: load that nobody sees must pass


class LoadMeter:
    """Counts a period's outcomes; `close_period` turns them into the load."""

    def __init__(self) -> None:
        self.smoothed_wait = 0.0  # smoothed wait as a share of the aim
        self.baseline: float | None = None  # the same in quiet
        self.load = 0.0
        self._waits: list[float] = []
        self._first: list[float] = []
        self._outcomes_since_step = 0  # outcomes since the last step right
        self._ended = 0
        self._full = 0

    def record_wait(self, share_of_aim: float) -> None:
        """A first event came after this share of its aim, the prompt's own reading taken off."""
        self._waits.append(min(MAX_WAIT_SHARE, max(0.0, share_of_aim)))
        self._outcomes_since_step += 1

    def record_outcome(self, full: bool) -> None:
        """An attempt ended; `full`: the server turned it away for want of room."""
        self._ended += 1
        self._full += full

    def may_step_right(self) -> bool:
        """Whether enough was heard since the last step right for another one to be known to be needed; a step's
        effect shows only in calls sent after it. A jam doesn't wait for that."""
        if self._outcomes_since_step < OUTCOMES_FOR_HALF_WEIGHT and not self.jammed:
            return False
        self._outcomes_since_step = 0
        return True

    @property
    def jammed(self) -> bool:
        """Whether waits are near the aim itself."""
        return self.smoothed_wait > JAM

    def close_period(self, quiet: bool) -> float:
        """The load of the period that ends; `quiet`: the table is fully open, so the baseline may rise."""
        if self._waits:
            middle = sorted(self._waits)[len(self._waits) // 2]
            self._follow(middle, quiet)
        else:
            self.smoothed_wait *= IDLE_DECAY
        load = 0.0
        if self.baseline is not None and self.smoothed_wait >= QUIET:
            load = self.smoothed_wait / (self.baseline + SLACK_ROOM * (1.0 - self.baseline))
        if self._ended:
            load = max(load, self._full / self._ended / FULL_TARGET)
        self.load = load
        self._waits, self._ended, self._full = [], 0, 0
        return load

    def _follow(self, middle: float, quiet: bool) -> None:
        count = len(self._waits)
        if self.baseline is None or len(self._first) < BASE_LEAST:
            self._first += self._waits
            self.smoothed_wait = self.baseline = min(JAM, sorted(self._first)[len(self._first) // 2])
            return
        self.smoothed_wait += count / (count + OUTCOMES_FOR_HALF_WEIGHT) * (middle - self.smoothed_wait)
        if self.smoothed_wait < self.baseline:
            self.baseline += BASE_FALL * (self.smoothed_wait - self.baseline)
        elif quiet:
            self.baseline += BASE_RISE * (self.smoothed_wait - self.baseline)
