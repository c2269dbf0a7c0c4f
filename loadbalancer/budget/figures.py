"""Budget statistics for operators, by pool and class, since the start of the process."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

BOUNDS_MS = (0.0, 10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0, 10_000.0)


@dataclass(slots=True)
class Histogram:
    """A histogram of durations: each counts at the highest bound that it reaches."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total: float = 0.0

    def add(self, ms: float) -> None:
        self.counts[bisect_right(BOUNDS_MS, ms)] += 1
        self.total += max(0.0, ms)

    def row(self) -> dict[str, Any]:
        names = ["under 0", *(f"from {bound:g}" for bound in BOUNDS_MS)]
        samples = sum(self.counts)
        return {
            "mean": round(self.total / samples, 1) if samples else None,
            "counts": {name: count for name, count in zip(names, self.counts, strict=True) if count},
        }


@dataclass(slots=True)
class ClassStatistics:
    at_arrival: Histogram = field(default_factory=Histogram)  # time left when a request arrived
    at_end: Histogram = field(default_factory=Histogram)  # time left when its response was sent
    counts: Counter[str] = field(default_factory=Counter)


class BudgetStatistics:
    """The statistics of one node, by pool and class."""

    def __init__(self) -> None:
        self.classes: dict[tuple[str, str], ClassStatistics] = {}

    def class_statistics(self, pool: str, service: str) -> ClassStatistics:
        figures = self.classes.get((pool, service))
        if figures is None:
            figures = self.classes[pool, service] = ClassStatistics()
        return figures

    def rows(
        self, spent: Mapping[str, Counter[tuple[str, str]]], services: Mapping[str, Iterable[str]]
    ) -> Any:
        """Rows for the admin page.

        `spent`: the counters of each pool's retry budget; `services`: the classes of each pool.
        """
        rows: dict[str, Any] = {}
        for pool, names in services.items():
            pool_counts = spent.get(pool, Counter())
            rows[pool] = {}
            for name in names:
                class_figures = self.classes.get((pool, name), ClassStatistics())
                figures = {
                    counter: count
                    for (service, counter), count in sorted(pool_counts.items())
                    if service == name
                }
                first = figures.get("first", 0)
                extra_attempts = sum(figures.get(counter, 0) for counter in ("retry", "hedge", "repeat"))
                rows[pool][name] = {
                    "attempts": figures,
                    "amplification": round((first + extra_attempts) / first, 4) if first else None,
                    "requests": dict(sorted(class_figures.counts.items())),
                    "left_at_arrival_ms": class_figures.at_arrival.row(),
                    "left_at_end_ms": class_figures.at_end.row(),
                }
        return rows
