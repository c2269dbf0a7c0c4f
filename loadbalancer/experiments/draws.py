"""Random numbers by seed and name: one stream for each use, so that a change in one part shifts no other part's draws.

numpy's PCG64, drawn in blocks; the streams' bits are fixed by numpy's compatibility policy (NEP 19).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from itertools import chain

import numpy as np

BLOCK = 4096  # numbers drawn at once


def generator(seed: int, name: str) -> np.random.Generator:
    """The stream of this name; the same for the same seed on every machine."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, zlib.crc32(name.encode())])))


def _endless(block: Callable[[], list[float]]) -> Callable[[], float]:
    return chain.from_iterable(iter(block, None)).__next__


def uniform(seed: int, name: str) -> Callable[[], float]:
    """From 0 up to 1."""
    found = generator(seed, name)
    return _endless(lambda: found.random(BLOCK).tolist())


def exponential(seed: int, name: str) -> Callable[[], float]:
    """Of mean 1."""
    found = generator(seed, name)
    return _endless(lambda: found.standard_exponential(BLOCK).tolist())


def lognormal(seed: int, name: str, mean: float, cv: float) -> Callable[[], float]:
    """`cv`: standard deviation over the mean."""
    found, variance = generator(seed, name), float(np.log1p(cv * cv))
    centre = float(np.log(mean)) - variance / 2.0
    return _endless(lambda: found.lognormal(centre, variance**0.5, BLOCK).tolist())


def chosen(seed: int, name: str, values: Sequence[float], weights: Sequence[float]) -> Callable[[], float]:
    """One of these values, each as often as its weight says."""
    found, sums = generator(seed, name), np.cumsum(np.asarray(weights, dtype=float))
    values_ = np.asarray(values, dtype=float)
    return _endless(
        lambda: values_[np.searchsorted(sums, found.random(BLOCK) * sums[-1], side="right")].tolist()
    )
