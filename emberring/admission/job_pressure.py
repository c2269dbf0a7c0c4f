"""How urgent batch items are when they are admitted, and the share of the slots that this gives them.

Items that arrive with nearly all their time left can wait: a small share keeps slots free for live calls. Items with
little time left have waited long: jobs are piling up and would be late. What is measured is the time left of the items
offered to this gateway, as a share of the time that their jobs had in all.
"""

from __future__ import annotations

import math

import attrs

RELAXED_TIME_LEFT = 0.95  # share of an item's time; from here on there is no pressure
URGENT_TIME_LEFT = 0.75  # and below this the pressure is full
RELAXED_SLOT_SHARE = 0.7  # of the slots, without pressure
URGENT_SLOT_SHARE = 0.95  # of the slots, under full pressure
GAIN = 0.2  # smoothing, of each item
DECAY_S = 3.0  # time constant by which the figure returns to the default without items
DEFAULT_TIME_LEFT = 0.83  # share of the time left that gives a slot share of 0.85


@attrs.define
class JobPressure:
    """The smoothed share of their time that items have left when they are admitted here. Times are seconds."""

    _time_left: float = DEFAULT_TIME_LEFT
    _at_s: float = -math.inf

    def record_item(self, now_s: float, due_s: float, target_s: float) -> None:
        """Record an admitted item; one that is late already is ignored, as more slots cannot save it.

        Args:
            now_s: the current time (monotonic clock).
            due_s: when the item is due (monotonic clock).
            target_s: time that its job had in all.
        """
        if target_s <= 0.0 or due_s <= now_s:
            return
        left = min(1.0, (due_s - now_s) / target_s)
        self._time_left = self.time_left(now_s)
        self._time_left += GAIN * (left - self._time_left)
        self._at_s = now_s

    def time_left(self, now_s: float) -> float:
        """Return the share of their time that items have left, from 0 to 1."""
        return DEFAULT_TIME_LEFT + (self._time_left - DEFAULT_TIME_LEFT) * math.exp(
            (self._at_s - now_s) / DECAY_S
        )

    def slot_share(self, now_s: float) -> float:
        """Return the share of the slots up to which items may be admitted."""
        pressed = (RELAXED_TIME_LEFT - self.time_left(now_s)) / (RELAXED_TIME_LEFT - URGENT_TIME_LEFT)
        return RELAXED_SLOT_SHARE + (URGENT_SLOT_SHARE - RELAXED_SLOT_SHARE) * min(1.0, max(0.0, pressed))
