"""Items that wait are given to the gateways that ask for some: shared evenly among those that ask.

Gateways of this store's zone come first, as bodies and events between zones are paid for. Those of other zones are
given what still waits a moment later, and all alike while something has been waiting for longer than that.
"""

from __future__ import annotations

import asyncio

import attrs

from emberring.jobs.calls import Assignment, LeaseItems, LeaseItemsReply
from emberring.store.shards import Shards

REMOTE_ZONE_DELAY_S = 0.25  # items wait for gateways of this zone for so long


@attrs.define(eq=False)
class _Poll:
    """A gateway's question that waits for items."""

    gateway: str
    capacity: int
    same_zone: bool
    future: asyncio.Future[LeaseItemsReply]


class Dispatch:
    """Long polls of gateways for items of any shard that this store owns."""

    def __init__(self, shards: Shards, zone: str = "") -> None:
        self._shards = shards
        self._zone = zone
        self._waiting_since_s: float | None = None
        self._polls: list[_Poll] = []
        self._assignment_scheduled = False
        shards.on_items_waiting = self.schedule_assignment

    async def lease(self, message: LeaseItems) -> LeaseItemsReply:
        """Items to run, at once if some wait, else within the wait allowed."""
        loop = asyncio.get_running_loop()
        poll = _Poll(message.gateway, message.capacity, message.zone == self._zone, loop.create_future())
        self._polls.append(poll)
        self.schedule_assignment()
        try:
            async with asyncio.timeout(message.wait_ms / 1000):
                return await poll.future
        except TimeoutError:
            # Items that were given just as the time was over are not lost.
            given = poll.future.done() and not poll.future.cancelled()
            return poll.future.result() if given else LeaseItemsReply()
        finally:
            if poll in self._polls:
                self._polls.remove(poll)

    def schedule_assignment(self) -> None:
        """Items or questions have come: look at them once what is being done now is done."""
        if self._polls and not self._assignment_scheduled:
            self._assignment_scheduled = True
            asyncio.get_running_loop().call_soon(self._assign_waiting)

    def _assign_waiting(self) -> None:
        self._assignment_scheduled = False
        now_s = asyncio.get_running_loop().time()
        self._polls = [poll for poll in self._polls if not poll.future.done()]
        self._assign_evenly(now_s, [poll for poll in self._polls if poll.same_zone])
        if self._waiting_since_s is not None and now_s - self._waiting_since_s >= REMOTE_ZONE_DELAY_S:
            self._assign_evenly(now_s, [poll for poll in self._polls if not poll.same_zone])
        if not self._waiting(now_s):
            self._waiting_since_s = None
        elif self._waiting_since_s is None:
            self._waiting_since_s = now_s
            asyncio.get_running_loop().call_later(REMOTE_ZONE_DELAY_S, self.schedule_assignment)

    def _waiting(self, now_s: float) -> int:
        """How many items of the shards that this store owns wait, at most."""
        return sum(
            self._shards.job_managers[shard].waiting
            for shard, owner in self._shards.owners.items()
            if owner.serving(now_s)
        )

    def _assign_evenly(self, now_s: float, polls: list[_Poll]) -> None:
        """Give these polls even shares of what waits."""
        for number, poll in enumerate(polls):
            waiting = self._waiting(now_s)
            if not waiting:
                return
            share = -(-waiting // (len(polls) - number))
            items = self._take(now_s, poll, min(share, poll.capacity))
            if not items:
                return
            self._polls.remove(poll)
            poll.future.set_result(LeaseItemsReply(tuple(items)))

    def _take(self, now_s: float, poll: _Poll, capacity: int) -> list[Assignment]:
        items: list[Assignment] = []
        for shard, owner in self._shards.owners.items():
            if len(items) < capacity and owner.serving(now_s):
                items += self._shards.job_managers[shard].lease_items(
                    now_s, poll.gateway, capacity - len(items)
                )
        return items
