"""How much of their time items of lots have left when they are taken, and the share of the places that this gives them.

Items that come with nearly all their time left can wait: few places for them keep places free for live calls. Items
that come with little left have waited long: lots pile up, and would be late. What is observed is the time left of the
items that this gateway is given, as a share of the time that their lots had in all.
"""

from __future__ import annotations

import math

import attrs

RELAXED_TIME_LEFT = 0.95  # of an item's time: from here on nothing presses,
URGENT_TIME_LEFT = 0.75  # and below this it presses in full
RELAXED_SLOT_SHARE = 0.7  # of the places, up to which items are taken then,
URGENT_SLOT_SHARE = 0.95  # and then
GAIN = 0.2  # of each item in what is usual
DECAY_S = 3.0  # without items nothing is known
DEFAULT_TIME_LEFT = 0.83  # what stands for it then: a share of 0.85


@attrs.define
class JobPressure:
    """The usual share of their time that items have left as they are taken here. Times are seconds."""

    _time_left: float = DEFAULT_TIME_LEFT
    _at_s: float = -math.inf

    def record_item(self, now_s: float, due_s: float, target_s: float) -> None:
        """An item is taken that is due then, of a lot that had `target_s` in all. One that is late already says
        nothing: it can't be saved by more places."""
        if target_s <= 0.0 or due_s <= now_s:
            return
        left = min(1.0, (due_s - now_s) / target_s)
        self._time_left = self.time_left(now_s)
        self._time_left += GAIN * (left - self._time_left)
        self._at_s = now_s

    def time_left(self, now_s: float) -> float:
        """The share of their time that items have left, from 0 to 1."""
        return DEFAULT_TIME_LEFT + (self._time_left - DEFAULT_TIME_LEFT) * math.exp(
            (self._at_s - now_s) / DECAY_S
        )

    def slot_share(self, now_s: float) -> float:
        """Of the places, up to which items may be taken."""
        pressed = (RELAXED_TIME_LEFT - self.time_left(now_s)) / (RELAXED_TIME_LEFT - URGENT_TIME_LEFT)
        return RELAXED_SLOT_SHARE + (URGENT_SLOT_SHARE - RELAXED_SLOT_SHARE) * min(1.0, max(0.0, pressed))
