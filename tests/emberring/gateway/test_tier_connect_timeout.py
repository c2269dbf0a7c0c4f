"""The time-out for opening a connection."""

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
    """Leave the program's own limits unchanged here."""


def learned(seconds: float, count: int = 50) -> ConnectTimeoutEstimator:
    patience = ConnectTimeoutEstimator()
    for _ in range(count):
        patience.record_connected(seconds)
    return patience


@pytest.mark.parametrize(
    ("usual_s", "limit_s"),
    [(0.002, MIN_CONNECT_TIMEOUT_S), (0.02, 0.02 * TIMEOUT_FACTOR), (0.1, MAX_CONNECT_TIMEOUT_S)],
)
def test_the_time_out_follows_the_usual_time_within_limits(usual_s: float, limit_s: float) -> None:
    assert learned(usual_s).timeout_s() == pytest.approx(limit_s)


def test_a_few_connections_are_not_enough_for_an_estimate() -> None:
    assert learned(0.002, MIN_SAMPLES - 1).timeout_s() == MAX_CONNECT_TIMEOUT_S
    assert learned(0.002, MIN_SAMPLES).timeout_s() == MIN_CONNECT_TIMEOUT_S


def test_a_process_that_turned_slow_gets_longer_time_outs() -> None:
    """All connections take longer than the time-out now: each failure lengthens it, up to its limit."""
    patience = learned(0.002)
    limits = []
    for _ in range(60):
        limits.append(patience.timeout_s())
        patience.record_timeout(patience.timeout_s())
    assert limits == sorted(limits)
    assert patience.timeout_s() == pytest.approx(MAX_CONNECT_TIMEOUT_S, abs=0.01)


def test_one_unreachable_server_among_many_leaves_the_time_out_short() -> None:
    patience = learned(0.002)
    for _ in range(20):
        for _ in range(9):
            patience.record_connected(0.002)
        patience.record_timeout(patience.timeout_s())
    assert patience.timeout_s() <= 2 * MIN_CONNECT_TIMEOUT_S
