"""The share of the slots that batch items may occupy, by how urgent they are when they are admitted.

Items that arrive with nearly all their time left can wait, so a small share keeps slots free for live calls. Items with
little time left show that jobs are queueing and will miss their completion targets, so the share grows. The measured
value is the time left of the items admitted by this gateway, as a share of the completion target of their jobs.
"""

from __future__ import annotations

import math

import attrs

RELAXED_TIME_LEFT = 0.95  # share of the completion target; at or above this there is no pressure
URGENT_TIME_LEFT = 0.75  # at or below this the pressure is full
RELAXED_SLOT_SHARE = 0.7  # of the slots, without pressure
URGENT_SLOT_SHARE = 0.95  # of the slots, under full pressure
GAIN = 0.2  # smoothing factor per item
DECAY_S = 3.0  # time constant of the return to the default without items
DEFAULT_TIME_LEFT = 0.83  # gives a slot share of 0.85


@attrs.define
class JobPressure:
    """The smoothed share of the completion target that items have left when they are admitted. Times are in seconds."""

    _time_left: float = DEFAULT_TIME_LEFT
    _updated_s: float = -math.inf

    def record_item(self, now_s: float, due_s: float, target_s: float) -> None:
        """Record an admitted item; one that is already late is ignored, because more slots no longer help it.

        Args:
            now_s: the current time (monotonic clock).
            due_s: when the item is due (monotonic clock).
            target_s: completion target of its job.
        """
        if target_s <= 0.0 or due_s <= now_s:
            return
        time_left_share = min(1.0, (due_s - now_s) / target_s)
        self._time_left = self.time_left(now_s)
        self._time_left += GAIN * (time_left_share - self._time_left)
        self._updated_s = now_s

    def time_left(self, now_s: float) -> float:
        """Return the smoothed share of the completion target that items have left, from 0 to 1."""
        return DEFAULT_TIME_LEFT + (self._time_left - DEFAULT_TIME_LEFT) * math.exp(
            (self._updated_s - now_s) / DECAY_S
        )

    def slot_share(self, now_s: float) -> float:
        """Return the share of the slots that items may occupy."""
        pressure = (RELAXED_TIME_LEFT - self.time_left(now_s)) / (RELAXED_TIME_LEFT - URGENT_TIME_LEFT)
        return RELAXED_SLOT_SHARE + (URGENT_SLOT_SHARE - RELAXED_SLOT_SHARE) * min(1.0, max(0.0, pressure))
