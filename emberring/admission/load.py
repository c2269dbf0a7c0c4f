"""The load of a pool of servers, from what this gateway sees: latency over its quiet baseline, and answers that
said "full". 1 is the target; above it the cursor of the table steps right.

The baseline, its pace and its slack are those of the decision module of the node (`loadbalancer.load_estimate`). What
differs: outcomes are the waits for a first event, each as a share of its own aim, and since the prompts' lengths
differ a hundredfold, the wait that the prompt itself explains is taken off before.
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

OUTCOMES = 10.0  # outcomes that give a period half the say in the smoothed wait
WORST = 3.0  # a wait counts as no more than this, so that a jam is forgotten once it has passed
SILENT_LEAVES = 0.97  # of the smoothed wait, by a period without outcomes: load that nobody sees must pass


class LoadMeter:
    """Counts a period's outcomes; `close_period` turns them into the load."""

    def __init__(self) -> None:
        self.level = 0.0  # smoothed wait as a share of the aim
        self.base: float | None = None  # the same in quiet
        self.load = 0.0
        self._waits: list[float] = []
        self._first: list[float] = []
        self._heard = 0  # outcomes since the last step right
        self._ended = 0
        self._full = 0

    def waited(self, share_of_aim: float) -> None:
        """A first event came after this share of its aim, the prompt's own reading taken off."""
        self._waits.append(min(WORST, max(0.0, share_of_aim)))
        self._heard += 1

    def ended(self, full: bool) -> None:
        """An attempt ended; `full`: the server turned it away for want of room."""
        self._ended += 1
        self._full += full

    def may_tighten(self) -> bool:
        """Whether enough was heard since the last step right for another one to be known to be needed; a step's
        effect shows only in calls sent after it. A jam doesn't wait for that."""
        if self._heard < OUTCOMES and not self.jammed:
            return False
        self._heard = 0
        return True

    @property
    def jammed(self) -> bool:
        """Whether waits are near the aim itself."""
        return self.level > JAMMED_LEVEL

    def close_period(self, quiet: bool) -> float:
        """The load of the period that ends; `quiet`: the table is fully open, so the baseline may rise."""
        if self._waits:
            middle = sorted(self._waits)[len(self._waits) // 2]
            self._follow(middle, quiet)
        else:
            self.level *= SILENT_LEAVES
        load = 0.0
        if self.base is not None and self.level >= QUIET_LEVEL:
            load = self.level / (self.base + UNCROWDED_SLACK * (1.0 - self.base))
        if self._ended:
            load = max(load, self._full / self._ended / REJECTED_SHARE_TARGET)
        self.load = load
        self._waits, self._ended, self._full = [], 0, 0
        return load

    def _follow(self, middle: float, quiet: bool) -> None:
        count = len(self._waits)
        if self.base is None or len(self._first) < BASELINE_MIN_OUTCOMES:
            self._first += self._waits
            self.level = self.base = min(JAMMED_LEVEL, sorted(self._first)[len(self._first) // 2])
            return
        self.level += count / (count + OUTCOMES) * (middle - self.level)
        if self.level < self.base:
            self.base += BASELINE_FALL_GAIN * (self.level - self.base)
        elif quiet:
            self.base += BASELINE_RISE_GAIN * (self.level - self.base)
