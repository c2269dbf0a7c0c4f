"""What a run has shown, in bounded memory: histograms of latency, counts by class and second, load over servers."""

from __future__ import annotations

from array import array
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3  # of a histogram, in microseconds
FLUSH = 65_536  # latencies kept before they go into it
KINDS = ("in_time", "late", "refused", "failed")  # how a request may end, for its caller


class Latencies:
    """Milliseconds in, an HDR histogram of microseconds out."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._fresh = array("d")

    def add(self, ms: float) -> None:
        self._fresh.append(ms)
        if len(self._fresh) >= FLUSH:
            self.flush()

    def flush(self) -> None:
        if self._fresh:
            values, counts = np.unique(
                np.rint(np.asarray(self._fresh) * 1000.0).astype(np.int64), return_counts=True
            )
            for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, value)), count)
            self._fresh = array("d")

    def row(self) -> dict[str, Any]:
        """Percentiles in ms, and the histogram in HDR's own compressed form."""
        self.flush()
        found = self.histogram
        names = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
        row: dict[str, Any] = dict.fromkeys(names)
        if found.total_count:
            row = {name: found.get_value_at_percentile(at) / 1000.0 for name, at in names.items()}
        return row | {"count": found.total_count, "hdr": found.encode().decode()}


class Recorder:
    """Counts requests by when they were due; those of the warm-up are left out."""

    def __init__(self, classes: list[str], worths: list[float], late: list[float], warm_ms: float) -> None:
        self.classes, self.worths, self.late = classes, worths, late
        self.warm_ms = warm_ms
        self.counts = [dict.fromkeys(("due", *KINDS), 0) for _ in classes]
        self.latencies = [Latencies() for _ in classes]
        self.seconds: dict[int, list[int]] = {}  # by second: due, and by how they ended
        self.samples: list[dict[str, Any]] = []
        self.attempts = 0

    def due(self, kind: int, due_ms: float) -> None:
        if due_ms >= self.warm_ms:
            self.counts[kind]["due"] += 1
        second = int(due_ms // 1000.0)
        row = self.seconds.get(second)
        if row is None:
            row = self.seconds[second] = [0] * (1 + len(KINDS))
        row[0] += 1

    def ended(self, kind: int, due_ms: float, how: int, latency_ms: float) -> None:
        """`how`: of KINDS."""
        self.seconds[int(due_ms // 1000.0)][1 + how] += 1
        if due_ms >= self.warm_ms:
            self.counts[kind][KINDS[how]] += 1
            if how < 2:
                self.latencies[kind].add(latency_ms)

    def row(self) -> dict[str, Any]:
        """All figures, in plain types."""
        earned = due = 0.0
        for worth, late, counts in zip(self.worths, self.late, self.counts, strict=True):
            earned += worth * (counts["in_time"] + late * counts["late"])
            due += worth * counts["due"]
        return {
            "goodput": earned / due if due else 1.0,
            "classes": {
                name: counts | {"latency_ms": latencies.row()}
                for name, counts, latencies in zip(self.classes, self.counts, self.latencies, strict=True)
            },
            "seconds": [[second, *row] for second, row in sorted(self.seconds.items())],
            "samples": self.samples,
            "attempts": self.attempts,
        }
