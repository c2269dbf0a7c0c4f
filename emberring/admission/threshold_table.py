"""The threshold table: a call is refused if the calls in flight have reached the threshold of its row at the cursor.

Every period the pool's load moves the cursor by one slot (column). There is one row for batch items and one for each
priority of live calls. From left to right, all rows are first at the full limit. Then the batch row falls to zero, and
only after that do the live rows fall, the least urgent first. Live calls are therefore refused only if refusing all
batch items is not enough. A threshold is a share of T1, the limit of its row.
"""

from __future__ import annotations

FLAT_SLOTS = 2  # slots at the left with the full T1 in all rows
BATCH_SLOTS = 6  # slots within which the batch row falls to MIN_BATCH_SHARE
PRIORITY_SLOTS = 3  # slots by which a row falls earlier than that of the next more urgent priority
LIVE_SLOTS = 12  # slots within which a live row falls
LIVE_STEP = 0.88  # ratio of the thresholds of two consecutive slots of a falling live row
MIN_BATCH_SHARE = 0.0  # of T1, right of the slots in which the batch row falls
PRIORITIES = 3  # rows of live calls; priorities beyond the last row use the last row


class ThresholdTable:
    """Thresholds as shares of T1, and the cursor that selects a column."""

    def __init__(self) -> None:
        self.cursor = 0
        self.last_slot = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1) * PRIORITY_SLOTS + LIVE_SLOTS

    def move(self, over_target: bool) -> None:
        """Move the cursor one slot right if the load is over the target, one slot left otherwise."""
        self.cursor = min(self.last_slot, self.cursor + 1) if over_target else max(0, self.cursor - 1)

    def batch_share(self) -> float:
        """Return the threshold of batch items at the cursor, as a share of T1."""
        slots_fallen = max(0, self.cursor - FLAT_SLOTS + 1)
        return max(MIN_BATCH_SHARE, 1.0 - slots_fallen / BATCH_SLOTS)

    def live_share(self, priority: int) -> float:
        """Return the threshold of live calls of this priority at the cursor, as a share of T1."""
        row = min(max(priority, 0), PRIORITIES - 1)
        first_falling_slot = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1 - row) * PRIORITY_SLOTS
        return float(LIVE_STEP ** max(0, self.cursor - first_falling_slot))
