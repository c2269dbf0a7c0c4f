"""Compares two sets of runs, paired by seed, with confidence intervals."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean

import numpy as np

from loadbalancer.experiments.results import Run

BOOTSTRAP_SAMPLES = 10_000  # bootstrap samples (Efron 1979) of the mean of the paired differences
CONFIDENCE = 0.95
MIN_PAIRS = 3  # minimum number of pairs for an interval to be stated


class CompareError(Exception):
    """No two runs can be compared, or a side has several runs of one seed."""


def latency(name: str) -> Callable[[Run], float | None]:
    """A latency percentile in ms: the highest over all classes."""

    def figure_of(run: Run) -> float | None:
        differences_by_setting = [row["latency_ms"][name] for row in run.figures["classes"].values()]
        return max((value for value in differences_by_setting if value is not None), default=None)

    return figure_of


def share(what: str) -> Callable[[Run], float]:
    def figure_of(run: Run) -> float:
        rows = run.figures["classes"].values()
        return float(sum(row[what] for row in rows) / max(1, sum(row["due"] for row in rows)))

    return figure_of


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
    """The difference B - A of one figure, over pairs of runs with equal seeds."""

    figure: str
    a: float
    b: float
    low: float
    high: float
    pairs: int

    @property
    def beyond_chance(self) -> bool:
        return self.pairs >= MIN_PAIRS and (self.low > 0.0 or self.high < 0.0)

    @property
    def words(self) -> str:
        if self.pairs < MIN_PAIRS:
            return f"too few seeds to say ({self.pairs})"
        if not self.beyond_chance:
            return "no difference beyond chance"
        return f"{self.b - self.a:+.4g} ({self.low:+.4g} to {self.high:+.4g})"


def interval(differences: list[float], seed: int = 0) -> tuple[float, float]:
    """The 95% bootstrap confidence interval of the mean; deterministic for given values."""
    values = np.asarray(differences)
    sample_indexes = np.random.Generator(np.random.PCG64(seed)).integers(
        0, len(values), (BOOTSTRAP_SAMPLES, len(values))
    )
    low, high = np.quantile(values[sample_indexes].mean(axis=1), [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    return float(low), float(high)


def compare(a: Iterable[Run], b: Iterable[Run]) -> dict[tuple[str, str], list[Difference]]:
    """The differences by setting (digest, swept values). CompareError if no pair has the same setting and seed."""
    sides: list[dict[tuple[str, str], dict[int, Run]]] = []
    for runs in (a, b):
        by_setting: dict[tuple[str, str], dict[int, Run]] = defaultdict(dict)
        for run in runs:
            if run.manifest["seed"] in by_setting[run.setting]:
                raise CompareError(
                    f"{run.folder}: more than one run has seed {run.manifest['seed']}; name one policy a side"
                )
            by_setting[run.setting][run.manifest["seed"]] = run
        sides.append(by_setting)
    differences_by_setting = {}
    for setting in sides[0].keys() & sides[1].keys():
        seeds = sorted(sides[0][setting].keys() & sides[1][setting].keys())
        if seeds:
            pairs = [(sides[0][setting][seed], sides[1][setting][seed]) for seed in seeds]
            differences_by_setting[setting] = [
                row for name, figure_of in FIGURES.items() if (row := _difference(name, figure_of, pairs))
            ]
    if not differences_by_setting:
        raise CompareError("no runs of the two sides have the same experiment, swept values and seed")
    return differences_by_setting


def _difference(
    name: str, figure_of: Callable[[Run], float | None], pairs: list[tuple[Run, Run]]
) -> Difference | None:
    values = [(figure_of(a), figure_of(b)) for a, b in pairs]
    complete = [(a, b) for a, b in values if a is not None and b is not None]
    if not complete:
        return None
    low, high = interval([b - a for a, b in complete])
    return Difference(
        name, fmean(a for a, _ in complete), fmean(b for _, b in complete), low, high, len(complete)
    )
