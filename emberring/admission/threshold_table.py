"""The cursor table: every period the pool's load moves the cursor one slot; a call that meets the threshold of its
row at the cursor is refused at once.

The rows are: one for items of lots, which bends to nothing in the first slots after the flat ones, and one for each
priority of live calls, which bend only after that, the least urgent first. So live calls are refused by load only
once holding back all lots has fallen short. A threshold is a share of T1 of its row.
"""

from __future__ import annotations

FLAT_SLOTS = 2  # n: slots of T1 at the left
BATCH_SLOTS = 6  # slots in which the row of lots bends to LEAST_BATCH
PRIORITY_SLOTS = 3  # slots by which a priority bends before the next more urgent one
LIVE_SLOTS = 12  # slots in which a live row bends
LIVE_STEP = 0.88  # each of which is this share of the one before
MIN_BATCH_SHARE = 0.0
PRIORITIES = 3  # rows of live calls; less urgent ones share the last


class ThresholdTable:
    """Thresholds as shares of T1, and the cursor over them."""

    def __init__(self) -> None:
        self.cursor = 0
        self.last_slot = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1) * PRIORITY_SLOTS + LIVE_SLOTS

    def move(self, over_target: bool) -> None:
        """One slot right above the target, one left otherwise."""
        self.cursor = min(self.last_slot, self.cursor + 1) if over_target else max(0, self.cursor - 1)

    def batch_share(self) -> float:
        """The share of T1 that the row of lots has at the cursor."""
        bent = max(0, self.cursor - FLAT_SLOTS + 1)
        return max(MIN_BATCH_SHARE, 1.0 - bent / BATCH_SLOTS)

    def live_share(self, priority: int) -> float:
        """The share of T1 that live calls of this priority have at the cursor."""
        row = min(max(priority, 0), PRIORITIES - 1)
        start = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1 - row) * PRIORITY_SLOTS
        return float(LIVE_STEP ** max(0, self.cursor - start))
