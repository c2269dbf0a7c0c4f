"""How long a request has been under way since a node before wrote it, by clocks that need not agree.

Source: the minimum filter over one-way differences of NTP (RFC 5905, section 10): the least difference between the
reader's clock and the writer's over a stretch is their offset and the shortest way; what one lies above it is waiting,
or work that was done in between.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from loadbalancer.budget.carried import Stamp

STRETCH_MS = (
    150_000.0  # a least difference counts for one to two of these; clocks that drift part by 15 ms in one
)
WRITERS = 1024  # that are remembered
MOST_MS = 600_000.0  # over which a difference is held for a clock that jumped


@dataclass(slots=True)
class _Writer:
    since_ms: float
    least: float
    before: float  # the least of the stretch before


class Elapsed:
    """Of each writer the least difference, over its latest stretches."""

    def __init__(self) -> None:
        self._writers: OrderedDict[str, _Writer] = OrderedDict()

    def since(self, stamp: Stamp, now_ms: float) -> float:
        """Milliseconds since the stamp beyond the least that way is seen to take; 0 of a writer not heard before."""
        difference = now_ms - stamp.ms
        writer = self._writers.get(stamp.mark)
        if writer is not None and difference - min(writer.least, writer.before) > MOST_MS:
            # Guard: a clock that was set would have made every request look over for minutes.
            writer = None
        if writer is None:
            self._writers[stamp.mark] = _Writer(now_ms, difference, difference)
            while len(self._writers) > WRITERS:
                self._writers.popitem(last=False)
            return 0.0
        self._writers.move_to_end(stamp.mark)
        if now_ms - writer.since_ms > STRETCH_MS:
            writer.since_ms, writer.before, writer.least = now_ms, writer.least, difference
        writer.least = min(writer.least, difference)
        return max(0.0, difference - min(writer.least, writer.before))
