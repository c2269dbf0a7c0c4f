"""The table of queue thresholds and its cursor: one row per worth, one slot per step of the cursor.

Part of the decision module. T1 is the threshold of the highest worth in the first slot, in calls in flight.
"""

from __future__ import annotations

import math

from loadbalancer.interface import Settings
from loadbalancer.load_estimate import LoadEstimate

FLAT_SLOTS = 2  # slots with T1 at the start of the table
FALLING_SLOTS = 14  # further slots,
SLOT_RATIO = 0.86  # each of which is this share of the one before
WORTH_HALVINGS = 4.0  # the lowest row is for a worth this many halvings below the highest
LOWEST_ROW_REDUCTION = 0.25  # share by which T1 is lower in the lowest row
TOP_ROW_EXPONENT = 0.5  # exponent of the slot ratio in the top row (1 in the lowest): low worth is shed first
MIN_THRESHOLD = 0.1  # lower limit of all entries, so that some calls still probe the servers
T1_SLACK = 0.30  # T1 covers the completions within the baseline plus this share of the rest to the target
T1_SQRT_FACTOR = 2.0  # plus this many times its square root, for random variation
STARTUP_MS = 3000.0  # during it T1 is at least Settings.start_calls per ready server,
FLOOR_CALLS_PER_SERVER = 2.0  # and at least this many calls per ready server afterwards
LOW_LATENCY_IN_FLIGHT_FACTOR = 2.0  # T1 allows this many times the calls in flight seen at low latency


class ThresholdTable:
    """Thresholds of calls in flight by worth; `cursor` is the current slot, 0 the most permissive one."""

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
        t1 = self._t1(servers, estimate) * (1.0 - LOWEST_ROW_REDUCTION * row)
        exponent = TOP_ROW_EXPONENT + (1.0 - TOP_ROW_EXPONENT) * row
        return max(MIN_THRESHOLD, t1 * math.pow(self.shape[self.cursor], exponent))

    def _t1(self, servers: int, estimate: LoadEstimate) -> float:
        """Return T1: the completions within the latency slack, but at least the floor."""
        quiet = estimate.quiet
        baseline = 0.5 if estimate.baseline is None else estimate.baseline
        t1 = estimate.peak_rate * estimate.mean_target_ms * (baseline + T1_SLACK * (1.0 - baseline))
        # Completion rates lag by one latency, so the startup phase is longer by it. Otherwise a node whose
        # calls take 2 s rejects most requests in its 4th second, with servers half idle.
        starting = estimate.periods * estimate.period_ms < STARTUP_MS + baseline * estimate.mean_target_ms
        # A pool with few requests has a low completion rate, but must not reject a burst on idle servers.
        floor = self._settings.quiet_calls if quiet else FLOOR_CALLS_PER_SERVER
        floor = self._settings.start_calls if starting else floor
        # All siblings share the floor; one per balancer would add up to a T1 that is never reached.
        shared_floor = servers * floor / self._settings.siblings
        t1 = max(
            t1, shared_floor, LOW_LATENCY_IN_FLIGHT_FACTOR * estimate.low_latency_in_flight if quiet else 0.0
        )
        return t1 + T1_SQRT_FACTOR * math.sqrt(t1)
