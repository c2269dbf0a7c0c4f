"""Waits for a condition with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.01


async def wait_until(condition: Callable[[], bool], within_s: float) -> bool:
    """Poll until the condition is true. Returns False if it is not within `within_s` seconds."""
    loop = asyncio.get_running_loop()
    deadline_at_s = loop.time() + within_s
    while not condition():
        if loop.time() >= deadline_at_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
