"""The table of queue thresholds and its cursor: one row for each worth, one slot for each step of load.

Part of the decision module. T1 is the threshold of the highest worth in the first slot, in calls in flight.
"""

from __future__ import annotations

import math

from loadbalancer.interface import Settings
from loadbalancer.load_estimate import LoadEstimate

FLAT_SLOTS = 2  # slots of T1 at the table's left
FALLING_SLOTS = 14  # slots after them,
SLOT_RATIO = 0.86  # each of which is this share of the one before
WORTH_HALVINGS = 4.0  # worth this many halvings under the highest gets the lowest row
ROW_GAP = 0.25  # the lowest row's T1 is lower by this share
TOP_ROW_BEND = 0.5  # and the top row bends this much less in each slot: low worth is shed first
MIN_THRESHOLD = 0.1  # no entry is less, so that some calls are let through to find out
T1_SLACK = 0.30  # T1 holds what completes in the quiet latency plus this share of what is left to the target
T1_ROOTS = 2.0  # and this many of its square roots, for chance (small pools vary more)
START_MS = 3000.0  # but no less than the settings' start for each ready server until rates are known,
FLOOR_CALLS = 2.0  # and this much for each afterwards
QUIET_IN_FLIGHT_FACTOR = 2.0  # T1 holds so many times the calls in flight that the pool has had in quiet


class ThresholdTable:
    """Thresholds of calls in flight by worth; `cursor` is the slot in force, 0 the widest open."""

    def __init__(self, settings: Settings) -> None:
        self.shape = [1.0] * FLAT_SLOTS + [SLOT_RATIO**step for step in range(1, FALLING_SLOTS + 1)]
        self.cursor = 0
        self._settings = settings

    def move(self, step: int) -> None:
        """Move the cursor within the table; a positive step sheds more."""
        self.cursor = max(0, min(len(self.shape) - 1, self.cursor + step))

    def threshold(self, worth: float, servers: int, estimate: LoadEstimate) -> float:
        """Return the entry at the cursor, in calls in flight, in the row of this worth (1: the highest)."""
        halvings = -math.log2(max(worth, 1e-6))
        row = min(1.0, max(0.0, halvings / WORTH_HALVINGS))  # 0: the top row, 1: the lowest
        first = self._first_threshold(servers, estimate) * (1.0 - ROW_GAP * row)
        bend = TOP_ROW_BEND + (1.0 - TOP_ROW_BEND) * row
        return max(MIN_THRESHOLD, first * math.pow(self.shape[self.cursor], bend))

    def _first_threshold(self, servers: int, estimate: LoadEstimate) -> float:
        """Return T1: what completes within the slack, but at least the floor."""
        quiet = estimate.quiet
        baseline = 0.5 if estimate.baseline is None else estimate.baseline
        first = estimate.peak_rate * estimate.mean_target_ms * (baseline + T1_SLACK * (1.0 - baseline))
        # Rates are known a latency later than they are counted; a node whose calls take 2 s refused most of
        # what came in its 4th second, with servers half idle.
        starting = estimate.periods * estimate.period_ms < START_MS + baseline * estimate.mean_target_ms
        # A pool that was sent few requests was held to be slow, and a burst on idle servers was refused.
        floor = self._settings.quiet_calls if quiet else FLOOR_CALLS
        floor = self._settings.start_calls if starting else floor
        # All siblings share the floor; one for each balancer summed to a T1 that never bound at size.
        shared_floor = servers * floor / self._settings.siblings
        first = max(first, shared_floor, QUIET_IN_FLIGHT_FACTOR * estimate.quiet_in_flight if quiet else 0.0)
        return first + T1_ROOTS * math.sqrt(first)
