"""Settings of all tests: deterministic Hypothesis examples without a time limit, and short garbage collections."""

from __future__ import annotations

import gc

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def pytest_collection_finish(session: pytest.Session) -> None:
    """Leave the objects of all collected tests, which live until the end, out of later garbage collections.

    Each process collects some hundred thousand of them, so a full collection stops a test for a fifth of a second.
    """
    gc.collect()
    gc.freeze()
