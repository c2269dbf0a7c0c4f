"""The threshold table: a call that meets the threshold of its row at the cursor is refused at once.

Every period the pool's load moves the cursor by one slot. There is one row for batch items, which falls to zero within
the first slots after the flat ones, and one row for each priority of live calls; these fall only after that, the least
urgent first. Live calls are thus refused only once holding back all batch items was not enough. A threshold is a share
of T1, the limit of its row.
"""

from __future__ import annotations

FLAT_SLOTS = 2  # slots with the full T1 at the left
BATCH_SLOTS = 6  # slots within which the batch row falls to MIN_BATCH_SHARE
PRIORITY_SLOTS = 3  # slots by which a priority falls before the next more urgent one
LIVE_SLOTS = 12  # slots within which a live row falls
LIVE_STEP = 0.88  # threshold of each of these slots over the one before
MIN_BATCH_SHARE = 0.0  # of T1, beyond the slots of the batch row
PRIORITIES = 3  # rows of live calls; less urgent priorities use the last row


class ThresholdTable:
    """Thresholds as shares of T1, and the cursor over them."""

    def __init__(self) -> None:
        self.cursor = 0
        self.last_slot = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1) * PRIORITY_SLOTS + LIVE_SLOTS

    def move(self, over_target: bool) -> None:
        """Move the cursor one slot right if the load is over the target, one slot left otherwise."""
        self.cursor = min(self.last_slot, self.cursor + 1) if over_target else max(0, self.cursor - 1)

    def batch_share(self) -> float:
        """Return the share of T1 that the row of batch items has at the cursor."""
        fallen = max(0, self.cursor - FLAT_SLOTS + 1)
        return max(MIN_BATCH_SHARE, 1.0 - fallen / BATCH_SLOTS)

    def live_share(self, priority: int) -> float:
        """Return the share of T1 that live calls of this priority have at the cursor."""
        row = min(max(priority, 0), PRIORITIES - 1)
        start = FLAT_SLOTS + BATCH_SLOTS + (PRIORITIES - 1 - row) * PRIORITY_SLOTS
        return float(LIVE_STEP ** max(0, self.cursor - start))
