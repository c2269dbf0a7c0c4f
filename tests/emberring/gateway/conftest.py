"""Fixtures for all tests of the gateway."""

from __future__ import annotations

import pytest
from gateway_world import PATIENCE_S

from emberring.gateway import connect_timeout, connection_pool


@pytest.fixture(autouse=True)
def long_connect_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use long connect timeouts, so that a server on a busy test machine does not count as unreachable."""
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", PATIENCE_S)
    monkeypatch.setattr(connect_timeout, "MIN_CONNECT_TIMEOUT_S", PATIENCE_S)
