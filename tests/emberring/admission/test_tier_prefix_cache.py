"""The estimate of the prompt parts that a server has cached."""

from __future__ import annotations

import pytest

from emberring.admission.prefix_cache import PrefixCacheEstimate
from emberring.admission.types import PrefixPart

A, B, C = PrefixPart("a", 100), PrefixPart("b", 50), PrefixPart("c", 30)


@pytest.mark.parametrize(
    ("sent", "prompt", "cached"),
    [
        ([], (A, B), 0),
        ([(A, B)], (A, B), 2),
        ([(A, B)], (A, C), 1),
        ([(A, B)], (B, A), 0),
        ([(A, B)], (B,), 0),
        ([(A,), (A, B, C)], (A, B, C), 3),
    ],
)
def test_cached_parts(
    sent: list[tuple[PrefixPart, ...]], prompt: tuple[PrefixPart, ...], cached: int
) -> None:
    prefix_cache = PrefixCacheEstimate()
    for parts in sent:
        prefix_cache.record_prompt(parts, 1000.0)
    assert prefix_cache.cached_parts(prompt) == cached


def test_the_least_recently_used_parts_are_evicted() -> None:
    prefix_cache = PrefixCacheEstimate()
    prefix_cache.record_prompt((A,), 150.0)
    prefix_cache.record_prompt((B,), 150.0)
    prefix_cache.record_prompt((A,), 150.0)
    prefix_cache.record_prompt((C,), 150.0)
    assert [prefix_cache.cached_parts((part,)) for part in (A, B, C)] == [1, 0, 1]


def test_nothing_is_cached_after_clear() -> None:
    prefix_cache = PrefixCacheEstimate()
    prefix_cache.record_prompt((A, B), 1000.0)
    prefix_cache.clear()
    assert prefix_cache.cached_parts((A, B)) == 0
