"""Two sets of runs beside each other: paired by seed, with intervals, and plain words where chance explains it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean

import numpy as np

from loadbalancer.experiments.results import Run

DRAWS = 10_000  # of the bootstrap (Efron 1979), percentiles of the mean of paired differences
LEVEL = 0.95
LEAST = 3  # pairs under which no interval is stated


class CompareError(Exception):
    """Runs that have nothing to compare."""


def latency(name: str) -> Callable[[Run], float | None]:
    """A percentile over all classes: the worst of them, in ms."""

    def of(run: Run) -> float | None:
        found = [row["latency_ms"][name] for row in run.figures["classes"].values()]
        return max((value for value in found if value is not None), default=None)

    return of


def share(what: str) -> Callable[[Run], float]:
    def of(run: Run) -> float:
        rows = run.figures["classes"].values()
        return float(sum(row[what] for row in rows) / max(1, sum(row["due"] for row in rows)))

    return of


FIGURES: dict[str, Callable[[Run], float | None]] = {
    "goodput": lambda run: float(run.figures["goodput"]),
    "refused": share("refused"),
    "failed": share("failed"),
    "p50_ms": latency("p50"),
    "p99_ms": latency("p99"),
    "p999_ms": latency("p999"),
}


@dataclass(frozen=True, slots=True)
class Difference:
    """Of one figure: B less A, over pairs of one seed."""

    figure: str
    a: float
    b: float
    low: float
    high: float
    pairs: int

    @property
    def beyond_chance(self) -> bool:
        return self.pairs >= LEAST and (self.low > 0.0 or self.high < 0.0)

    @property
    def words(self) -> str:
        if self.pairs < LEAST:
            return f"too few seeds to say ({self.pairs})"
        if not self.beyond_chance:
            return "no difference beyond chance"
        return f"{self.b - self.a:+.4g} ({self.low:+.4g} to {self.high:+.4g})"


def interval(differences: list[float], seed: int = 0) -> tuple[float, float]:
    """The bootstrap's 95% interval of their mean; the same for the same numbers."""
    values = np.asarray(differences)
    drawn = np.random.Generator(np.random.PCG64(seed)).integers(0, len(values), (DRAWS, len(values)))
    low, high = np.quantile(values[drawn].mean(axis=1), [(1 - LEVEL) / 2, (1 + LEVEL) / 2])
    return float(low), float(high)


def compare(a: Iterable[Run], b: Iterable[Run]) -> dict[tuple[str, str], list[Difference]]:
    """By setting (digest, what was swept). CompareError where no pair of one setting and seed is found."""
    sides: list[dict[tuple[str, str], dict[int, Run]]] = []
    for runs in (a, b):
        by: dict[tuple[str, str], dict[int, Run]] = defaultdict(dict)
        for run in runs:
            if run.manifest["seed"] in by[run.setting]:
                raise CompareError(
                    f"{run.folder}: seed {run.manifest['seed']} is there twice; name one policy a side"
                )
            by[run.setting][run.manifest["seed"]] = run
        sides.append(by)
    found = {}
    for setting in sides[0].keys() & sides[1].keys():
        seeds = sorted(sides[0][setting].keys() & sides[1][setting].keys())
        if seeds:
            pairs = [(sides[0][setting][seed], sides[1][setting][seed]) for seed in seeds]
            found[setting] = [row for name, of in FIGURES.items() if (row := _difference(name, of, pairs))]
    if not found:
        raise CompareError(
            "no run on one side has the experiment, the swept values and the seed of one on the other"
        )
    return found


def _difference(
    name: str, of: Callable[[Run], float | None], pairs: list[tuple[Run, Run]]
) -> Difference | None:
    values = [(of(a), of(b)) for a, b in pairs]
    whole = [(a, b) for a, b in values if a is not None and b is not None]
    if not whole:
        return None
    low, high = interval([b - a for a, b in whole])
    return Difference(name, fmean(a for a, _ in whole), fmean(b for _, b in whole), low, high, len(whole))
