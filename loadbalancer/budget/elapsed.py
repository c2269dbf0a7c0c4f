"""Estimates how long a request was in transit since an earlier node wrote it, without synchronised clocks.

Source: the minimum filter over one-way differences of NTP (RFC 5905, section 10). The minimum difference between the
reader's and the writer's clock over a time window is the clock offset plus the shortest transit time. The excess of a
single difference over that minimum is time spent waiting or working in between.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from loadbalancer.budget.carried import Stamp

# A minimum applies for one to two windows. Within one, clocks that drift by 100 ppm diverge by 15 ms.
WINDOW_MS = 150_000.0
MAX_WRITERS = 1024  # writers that are remembered
MAX_EXCESS_MS = 600_000.0  # a larger excess means that a clock was set


@dataclass(slots=True)
class _Writer:
    window_start_ms: float
    minimum: float
    previous_minimum: float  # minimum of the previous window


class Elapsed:
    """Keeps the minimum clock difference of each writer over its last two windows."""

    def __init__(self) -> None:
        self._writers: OrderedDict[str, _Writer] = OrderedDict()

    def excess_ms(self, stamp: Stamp, now_ms: float) -> float:
        """Milliseconds since the stamp in excess of the shortest observed transit; 0 for an unknown writer."""
        difference = now_ms - stamp.ms
        writer = self._writers.get(stamp.mark)
        if writer is not None and difference - min(writer.minimum, writer.previous_minimum) > MAX_EXCESS_MS:
            # Guard: after a clock is set, every request would look expired for minutes unless the minimum is reset.
            writer = None
        if writer is None:
            self._writers[stamp.mark] = _Writer(now_ms, difference, difference)
            while len(self._writers) > MAX_WRITERS:
                self._writers.popitem(last=False)
            return 0.0
        self._writers.move_to_end(stamp.mark)
        if now_ms - writer.window_start_ms > WINDOW_MS:
            writer.window_start_ms, writer.previous_minimum, writer.minimum = (
                now_ms,
                writer.minimum,
                difference,
            )
        writer.minimum = min(writer.minimum, difference)
        return max(0.0, difference - min(writer.minimum, writer.previous_minimum))
