"""Checks that objects of a scenario are released without a garbage collection."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

RELEASED_WITHIN_S = 2.0  # for callbacks of the event loop that are still to run


def objects_of(kinds: tuple[type, ...]) -> list[object]:
    """Return all objects of these types in memory."""
    return [found for found in gc.get_objects() if type(found) in kinds]


@asynccontextmanager
async def released_at_once(*kinds: type) -> AsyncIterator[None]:
    """Check that no object of these types that comes up within the block is in memory after it.

    The garbage collector is off meanwhile. Objects that other tests of the process keep are not counted.
    """
    gc.collect()
    known = {id(found): found for found in objects_of(kinds)}  # keeps them, so that no id is used again
    gc.disable()
    try:
        yield
        until_s = asyncio.get_running_loop().time() + RELEASED_WITHIN_S
        while (kept := _kinds_kept(kinds, known)) and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(0.01)
    finally:
        gc.enable()
    assert kept == []


def _kinds_kept(kinds: tuple[type, ...], known: dict[int, object]) -> list[str]:
    return [type(found).__name__ for found in objects_of(kinds) if id(found) not in known]
