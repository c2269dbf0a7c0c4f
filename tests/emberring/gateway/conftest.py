"""What holds for all tests of the gateway."""

from __future__ import annotations

import pytest
from gateway_world import PATIENCE_S

from emberring.gateway import connect_timeout, connection_pool


@pytest.fixture(autouse=True)
def unhurried(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine under load is not taken for a server that does not answer a connection."""
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", PATIENCE_S)
    monkeypatch.setattr(connect_timeout, "MIN_CONNECT_TIMEOUT_S", PATIENCE_S)
