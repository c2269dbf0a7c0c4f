"""What operators see of budgets: by pool and class, since the start."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

BOUNDS_MS = (0.0, 10.0, 30.0, 100.0, 300.0, 1000.0, 3000.0, 10_000.0)


@dataclass(slots=True)
class Spread:
    """Milliseconds, counted by the highest bound that they reach."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total: float = 0.0

    def add(self, ms: float) -> None:
        self.counts[bisect_right(BOUNDS_MS, ms)] += 1
        self.total += max(0.0, ms)

    def row(self) -> dict[str, Any]:
        names = ["under 0", *(f"from {bound:g}" for bound in BOUNDS_MS)]
        seen = sum(self.counts)
        return {
            "mean": round(self.total / seen, 1) if seen else None,
            "counts": {name: count for name, count in zip(names, self.counts, strict=True) if count},
        }


@dataclass(slots=True)
class ClassFigures:
    at_arrival: Spread = field(default_factory=Spread)  # time left when a request came
    at_end: Spread = field(default_factory=Spread)  # and when it had its answer
    counts: Counter[str] = field(default_factory=Counter)


class Figures:
    """One node's, by pool and class."""

    def __init__(self) -> None:
        self.classes: dict[tuple[str, str], ClassFigures] = {}

    def of(self, pool: str, service: str) -> ClassFigures:
        found = self.classes.get((pool, service))
        if found is None:
            found = self.classes[pool, service] = ClassFigures()
        return found

    def rows(
        self, spent: Mapping[str, Counter[tuple[str, str]]], services: Mapping[str, Iterable[str]]
    ) -> Any:
        """`spent`: by pool, what its retry budget has counted; `services`: the classes of each pool."""
        rows: dict[str, Any] = {}
        for pool, names in services.items():
            counted = spent.get(pool, Counter())
            rows[pool] = {}
            for name in names:
                own = self.classes.get((pool, name), ClassFigures())
                figures = {what: count for (of, what), count in sorted(counted.items()) if of == name}
                first = figures.get("first", 0)
                more = sum(figures.get(what, 0) for what in ("retry", "hedge", "repeat"))
                rows[pool][name] = {
                    "attempts": figures,
                    "amplification": round((first + more) / first, 4) if first else None,
                    "requests": dict(sorted(own.counts.items())),
                    "left_at_arrival_ms": own.at_arrival.row(),
                    "left_at_end_ms": own.at_end.row(),
                }
        return rows
