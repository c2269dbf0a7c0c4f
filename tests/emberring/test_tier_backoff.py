"""Waits that double with each failure in a row."""

from __future__ import annotations

import pytest

from emberring.backoff import doubled_wait_s


# Guards against a wait that can't be computed after some thousand failures, as a power of two is no number any more.
@pytest.mark.parametrize(
    ("count", "wait_s"), [(1, 0.5), (2, 1.0), (3, 2.0), (5, 8.0), (6, 10.0), (7, 10.0), (5000, 10.0)]
)
def test_the_wait_doubles_up_to_the_maximum(count: int, wait_s: float) -> None:
    assert doubled_wait_s(0.5, 10.0, count) == wait_s
