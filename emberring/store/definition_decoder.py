"""Decodes definitions of batch jobs without holding up the event loop, which renews the leases of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from emberring.errors import CorruptRecordError
from emberring.jobs.definition import ItemSpec, decode_items, decode_terms
from emberring.jobs.loading import DecodeDefinition
from emberring.logs import get_logger

MAX_INLINE_BYTES = 64 * 1024  # compressed; decoded on the event loop, in less than a millisecond

logger = get_logger("store")

DecodedCallback = Callable[[int, list[ItemSpec] | None], None]


class DefinitionDecoder:
    """Decodes definitions in turn: small ones on the event loop, others in a thread."""

    def __init__(self) -> None:
        self._executor = ThreadPoolExecutor(1, "definition-decoder")
        self._tasks: set[asyncio.Task[None]] = set()

    def decode(self, action: DecodeDefinition, callback: DecodedCallback) -> None:
        """Decode a definition; `callback` receives the action's number and the items, None if it is damaged."""
        task = asyncio.get_running_loop().create_task(self._decode(action, callback))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _decode(self, action: DecodeDefinition, callback: DecodedCallback) -> None:
        try:
            specs: list[ItemSpec] | None = await self._items(action.value)
        except CorruptRecordError as error:
            logger.error("event=definition_damaged detail=%r", error.detail)  # noqa: TRY400
            specs = None
        callback(action.number, specs)

    async def _items(self, value: bytes) -> list[ItemSpec]:
        decode_terms(value)  # damaged terms count as a damaged definition, too
        if len(value) <= MAX_INLINE_BYTES:
            return decode_items(value)
        return await asyncio.get_running_loop().run_in_executor(self._executor, decode_items, value)

    def close(self) -> None:
        """Cancel what is in progress."""
        for task in self._tasks:
            task.cancel()
        self._executor.shutdown(wait=False, cancel_futures=True)
