"""Dispatch of waiting items, in even shares, to the gateways that poll for them.

Gateways in the zone of this store have priority, as traffic between zones (bodies and events) costs money. Items that
are still waiting after `REMOTE_ZONE_DELAY_S` are also leased to gateways of other zones. While items have been waiting
for longer than that, gateways of all zones are served at once.
"""

from __future__ import annotations

import asyncio

import attrs

from emberring.jobs.calls import Assignment, LeaseItems, LeaseItemsReply
from emberring.jobs.execution import MAX_LEASED_BYTES, LeasePoll
from emberring.store.shard_manager import ShardManager

REMOTE_ZONE_DELAY_S = 0.25  # for which items wait for gateways of this zone only


@attrs.define(eq=False)
class _Poll:
    """A poll of a gateway that is waiting for items."""

    gateway: str
    capacity: int
    same_zone: bool
    future: asyncio.Future[LeaseItemsReply]


class Dispatch:
    """Long polls of gateways for items of all shards that this store owns."""

    def __init__(self, shards: ShardManager, zone: str = "") -> None:
        self._shards = shards
        self._zone = zone
        self._waiting_since_s: float | None = None
        self._polls: list[_Poll] = []
        self._assignment_scheduled = False
        self._turn_bytes = 0  # of content leased in this turn of the event loop
        shards.on_items_waiting = self.schedule_assignment

    async def lease(self, message: LeaseItems) -> LeaseItemsReply:
        """Return items to run: at once if some are waiting, otherwise after at most `message.wait_ms`."""
        loop = asyncio.get_running_loop()
        poll = _Poll(message.gateway, message.capacity, message.zone == self._zone, loop.create_future())
        self._polls.append(poll)
        self.schedule_assignment()
        try:
            async with asyncio.timeout(message.wait_ms / 1000):
                return await poll.future
        except TimeoutError:
            # Items that were assigned just when the wait timed out are already leased and must not be lost.
            assigned = poll.future.done() and not poll.future.cancelled()
            return poll.future.result() if assigned else LeaseItemsReply()
        finally:
            if poll in self._polls:
                self._polls.remove(poll)

    def schedule_assignment(self) -> None:
        """Assign items to polls after the current callback of the event loop."""
        if self._polls and not self._assignment_scheduled:
            self._assignment_scheduled = True
            asyncio.get_running_loop().call_soon(self._assign_waiting)

    def _assign_waiting(self) -> None:
        self._assignment_scheduled = False
        self._turn_bytes = 0
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
        """Return an upper bound of the number of waiting items in the shards that this store owns."""
        return sum(
            self._shards.job_managers[shard].waiting
            for shard, owner in self._shards.owners.items()
            if owner.serving(now_s)
        )

    def _assign_evenly(self, now_s: float, polls: list[_Poll]) -> None:
        """Assign even shares of the waiting items to these polls."""
        for number, poll in enumerate(polls):
            waiting = self._waiting(now_s)
            if not waiting:
                return
            if self._turn_bytes >= MAX_LEASED_BYTES:
                # Guard: replies whose encoding in one turn of the event loop takes longer than the lease of the owner.
                self.schedule_assignment()
                return
            share = -(-waiting // (len(polls) - number))
            items = self._lease_for(now_s, poll, min(share, poll.capacity))
            if not items:
                return
            self._polls.remove(poll)
            poll.future.set_result(LeaseItemsReply(tuple(items)))

    def _lease_for(self, now_s: float, poll: _Poll, capacity: int) -> list[Assignment]:
        items: list[Assignment] = []
        content_bytes = 0
        for shard, owner in self._shards.owners.items():
            if not owner.serving(now_s):
                continue
            rest = LeasePoll(poll.gateway, capacity - len(items), MAX_LEASED_BYTES - content_bytes)
            leased = self._shards.job_managers[shard].lease_items(now_s, rest)
            content_bytes += sum(item.content_bytes for item in leased)
            items += leased
        self._turn_bytes += content_bytes
        return items
