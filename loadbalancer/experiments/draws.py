"""Random numbers by seed and name: one stream for each use, so that a change in one part does not shift the draws
of another.

numpy's PCG64, drawn in blocks; the streams' bits are fixed by numpy's compatibility policy (NEP 19).
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence
from itertools import chain

import numpy as np

BLOCK = 4096  # numbers drawn per call of the generator


def generator(seed: int, name: str) -> np.random.Generator:
    """The generator of this stream; the same for a seed and name on every machine."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, zlib.crc32(name.encode())])))


def _draw_in_blocks(draw_block: Callable[[], list[float]]) -> Callable[[], float]:
    return chain.from_iterable(iter(draw_block, None)).__next__


def uniform(seed: int, name: str) -> Callable[[], float]:
    """Uniform draws in [0, 1)."""
    rng = generator(seed, name)
    return _draw_in_blocks(lambda: rng.random(BLOCK).tolist())


def exponential(seed: int, name: str) -> Callable[[], float]:
    """Exponential draws with mean 1."""
    rng = generator(seed, name)
    return _draw_in_blocks(lambda: rng.standard_exponential(BLOCK).tolist())


def lognormal(seed: int, name: str, mean: float, cv: float) -> Callable[[], float]:
    """Lognormal draws; `cv` is the standard deviation divided by the mean."""
    rng, log_variance = generator(seed, name), float(np.log1p(cv * cv))
    log_mean = float(np.log(mean)) - log_variance / 2.0
    return _draw_in_blocks(lambda: rng.lognormal(log_mean, log_variance**0.5, BLOCK).tolist())


def weighted_choice(
    seed: int, name: str, values: Sequence[float], weights: Sequence[float]
) -> Callable[[], float]:
    """Draws from `values` with probabilities proportional to `weights`."""
    rng, cumulative_weights = generator(seed, name), np.cumsum(np.asarray(weights, dtype=float))
    value_array = np.asarray(values, dtype=float)
    return _draw_in_blocks(
        lambda: value_array[
            np.searchsorted(cumulative_weights, rng.random(BLOCK) * cumulative_weights[-1], side="right")
        ].tolist()
    )
