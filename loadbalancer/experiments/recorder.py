"""Collects the figures of a run in bounded memory: latency histograms, counts by class and second, samples of load."""

from __future__ import annotations

from array import array
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = (
    1,
    3_600_000_000,
    3,
)  # of a histogram
FLUSH_COUNT = 65_536  # latencies buffered before they are added to the histogram
OUTCOMES = ("in_time", "late", "refused", "failed")  # outcomes of a request, as its caller sees them


class Latencies:
    """Records latencies given in ms in an HDR histogram of microseconds."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._buffer = array("d")

    def add(self, ms: float) -> None:
        self._buffer.append(ms)
        if len(self._buffer) >= FLUSH_COUNT:
            self.flush()

    def flush(self) -> None:
        if self._buffer:
            values, counts = np.unique(
                np.rint(np.asarray(self._buffer) * 1000.0).astype(np.int64), return_counts=True
            )
            for value, count in zip(values.tolist(), counts.tolist(), strict=True):
                self.histogram.record_value(min(HIGHEST_US, max(LOWEST_US, value)), count)
            self._buffer = array("d")

    def row(self) -> dict[str, Any]:
        """Percentiles in ms, and the histogram in the compressed HDR format."""
        self.flush()
        found = self.histogram
        names = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}
        row: dict[str, Any] = dict.fromkeys(names)
        if found.total_count:
            row = {name: found.get_value_at_percentile(at) / 1000.0 for name, at in names.items()}
        return row | {"count": found.total_count, "hdr": found.encode().decode()}


class Recorder:
    """Counts requests by their due time; those due during the warm-up are excluded from the totals."""

    def __init__(self, classes: list[str], worths: list[float], late: list[float], warm_ms: float) -> None:
        self.classes, self.worths, self.late = classes, worths, late
        self.warm_ms = warm_ms
        self.counts = [dict.fromkeys(("due", *OUTCOMES), 0) for _ in classes]
        self.latencies = [Latencies() for _ in classes]
        self.seconds: dict[int, list[int]] = {}  # by second: requests due, then the count of each outcome
        self.samples: list[dict[str, Any]] = []
        self.attempts = 0

    def due(self, kind: int, due_ms: float) -> None:
        if due_ms >= self.warm_ms:
            self.counts[kind]["due"] += 1
        second = int(due_ms // 1000.0)
        row = self.seconds.get(second)
        if row is None:
            row = self.seconds[second] = [0] * (1 + len(OUTCOMES))
        row[0] += 1

    def ended(self, kind: int, due_ms: float, outcome: int, latency_ms: float) -> None:
        """Count a request's end; `outcome` is an index of OUTCOMES."""
        self.seconds[int(due_ms // 1000.0)][1 + outcome] += 1
        if due_ms >= self.warm_ms:
            self.counts[kind][OUTCOMES[outcome]] += 1
            if outcome < 2:
                self.latencies[kind].add(latency_ms)

    def row(self) -> dict[str, Any]:
        """All figures, as plain types for JSON."""
        served_worth = due = 0.0
        for worth, late, counts in zip(self.worths, self.late, self.counts, strict=True):
            served_worth += worth * (counts["in_time"] + late * counts["late"])
            due += worth * counts["due"]
        return {
            "goodput": served_worth / due if due else 1.0,
            "classes": {
                name: counts | {"latency_ms": latencies.row()}
                for name, counts, latencies in zip(self.classes, self.counts, self.latencies, strict=True)
            },
            "seconds": [[second, *row] for second, row in sorted(self.seconds.items())],
            "samples": self.samples,
            "attempts": self.attempts,
        }
