"""The timeout for opening a connection."""

from __future__ import annotations

import pytest

from emberring.gateway.connect_timeout import (
    MAX_CONNECT_TIMEOUT_S,
    MIN_CONNECT_TIMEOUT_S,
    MIN_SAMPLES,
    TIMEOUT_FACTOR,
    ConnectTimeoutEstimator,
)


@pytest.fixture
def long_connect_timeouts() -> None:
    """Override the fixture of `conftest.py`: these tests use the limits of the program."""


def estimator_after(seconds: float, count: int = 50) -> ConnectTimeoutEstimator:
    estimator = ConnectTimeoutEstimator()
    for _ in range(count):
        estimator.record_connected(seconds)
    return estimator


@pytest.mark.parametrize(
    ("usual_s", "limit_s"),
    [(0.002, MIN_CONNECT_TIMEOUT_S), (0.02, 0.02 * TIMEOUT_FACTOR), (0.1, MAX_CONNECT_TIMEOUT_S)],
)
def test_the_timeout_is_a_multiple_of_the_usual_time_within_limits(usual_s: float, limit_s: float) -> None:
    assert estimator_after(usual_s).timeout_s() == pytest.approx(limit_s)


def test_a_few_connections_are_not_enough_for_an_estimate() -> None:
    assert estimator_after(0.002, MIN_SAMPLES - 1).timeout_s() == MAX_CONNECT_TIMEOUT_S
    assert estimator_after(0.002, MIN_SAMPLES).timeout_s() == MIN_CONNECT_TIMEOUT_S


def test_timeouts_increase_the_estimate_up_to_its_limit() -> None:
    """If all connections take longer than the timeout, each failure increases it up to its upper limit."""
    estimator = estimator_after(0.002)
    limits = []
    for _ in range(60):
        limits.append(estimator.timeout_s())
        estimator.record_timeout(estimator.timeout_s())
    assert limits == sorted(limits)
    assert estimator.timeout_s() == pytest.approx(MAX_CONNECT_TIMEOUT_S, abs=0.01)


def test_one_unreachable_server_among_many_leaves_the_timeout_short() -> None:
    estimator = estimator_after(0.002)
    for _ in range(20):
        for _ in range(9):
            estimator.record_connected(0.002)
        estimator.record_timeout(estimator.timeout_s())
    assert estimator.timeout_s() <= 2 * MIN_CONNECT_TIMEOUT_S
