"""Waiting for a condition, within a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.01


async def wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    """Poll until the condition holds; whether it did within `within_s` seconds."""
    loop = asyncio.get_running_loop()
    deadline_at_s = loop.time() + within_s
    while not condition():
        if loop.time() >= deadline_at_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
