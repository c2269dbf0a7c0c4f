"""Items that wait are given to the gateways that ask for some: shared evenly among those that ask."""

from __future__ import annotations

import asyncio

import attrs

from emberring.lots.calls import Assignment, LeasedItems, LeaseItems
from emberring.store.shards import Shards


@attrs.define(eq=False)
class _Poll:
    """A gateway's question that waits for items."""

    gateway: str
    room: int
    future: asyncio.Future[LeasedItems]


class Dispatch:
    """Long polls of gateways for items of any shard that this store owns."""

    def __init__(self, shards: Shards) -> None:
        self._shards = shards
        self._polls: list[_Poll] = []
        self._planned = False
        shards.items_wait = self.plan

    async def lease(self, message: LeaseItems) -> LeasedItems:
        """Items to run, at once if some wait, else within the wait allowed."""
        loop = asyncio.get_running_loop()
        poll = _Poll(message.gateway, message.room, loop.create_future())
        self._polls.append(poll)
        self.plan()
        try:
            async with asyncio.timeout(message.wait_ms / 1000):
                return await poll.future
        except TimeoutError:
            # Guard: items that were given just as the time was over are not lost.
            given = poll.future.done() and not poll.future.cancelled()
            return poll.future.result() if given else LeasedItems()
        finally:
            if poll in self._polls:
                self._polls.remove(poll)

    def plan(self) -> None:
        """Items or questions have come: look at them once what is being done now is done."""
        if self._polls and not self._planned:
            self._planned = True
            asyncio.get_running_loop().call_soon(self._give_out)

    def _give_out(self) -> None:
        self._planned = False
        now_s = asyncio.get_running_loop().time()
        self._polls = [poll for poll in self._polls if not poll.future.done()]
        while self._polls:
            waiting = sum(
                self._shards.books[shard].waiting
                for shard, owner in self._shards.owners.items()
                if owner.serving(now_s)
            )
            if not waiting:
                return
            share = max(1, -(-waiting // len(self._polls)))
            poll = self._polls.pop(0)
            items = self._take(now_s, poll, min(share, poll.room))
            if not items:
                self._polls.insert(0, poll)
                return
            poll.future.set_result(LeasedItems(tuple(items)))

    def _take(self, now_s: float, poll: _Poll, room: int) -> list[Assignment]:
        items: list[Assignment] = []
        for shard, owner in self._shards.owners.items():
            if len(items) < room and owner.serving(now_s):
                items += self._shards.books[shard].take(now_s, poll.gateway, room - len(items))
        return items
