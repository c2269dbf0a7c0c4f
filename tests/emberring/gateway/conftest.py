"""Fixtures for all tests of the gateway."""

from __future__ import annotations

import pytest
from gateway_world import PATIENCE_S

from emberring.gateway import connect_timeout, connection_pool


@pytest.fixture(autouse=True)
def long_connect_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a machine under load from being taken for a server that accepts no connections."""
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", PATIENCE_S)
    monkeypatch.setattr(connect_timeout, "MIN_CONNECT_TIMEOUT_S", PATIENCE_S)
