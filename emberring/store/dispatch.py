"""Dispatch of waiting items, in even shares, to the gateways that poll for them.

A gateway gets items of the services that it has free capacity for. Gateways in the zone of this store have priority, as
traffic between zones (bodies and events) costs money. Items that are still waiting after `REMOTE_ZONE_DELAY_S` are also
leased to gateways of other zones. While items of a service have been waiting for longer than that, gateways of all
zones are served at once.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Collection, Sequence

import attrs

from emberring.configuration.service_choice import SplitSegment
from emberring.jobs.calls import Assignment, LeaseItems, LeaseItemsReply
from emberring.jobs.lease_budget import MAX_LEASED_BYTES, LeaseBudget
from emberring.jobs.lease_order import lease_in_order
from emberring.store.shard_manager import ShardManager

REMOTE_ZONE_DELAY_S = 0.25  # for which items wait for gateways of this zone only


@attrs.define(eq=False)
class _Poll:
    """A poll of a gateway that is waiting for items."""

    budget: LeaseBudget
    same_zone: bool
    future: asyncio.Future[LeaseItemsReply]


class Dispatch:
    """Long polls of gateways for items of all shards that this store owns."""

    def __init__(self, shards: ShardManager, zone: str = "") -> None:
        self._shards = shards
        self._zone = zone
        self._waiting_since_s: dict[SplitSegment, float] = {}
        self._polls: list[_Poll] = []
        self._assignment_scheduled = False
        self._turn_bytes = 0  # of content leased in this turn of the event loop
        shards.on_items_waiting = self.schedule_assignment

    async def lease(self, message: LeaseItems) -> LeaseItemsReply:
        """Return items to run: at once if some are waiting, otherwise after at most `message.wait_ms`."""
        loop = asyncio.get_running_loop()
        budget = LeaseBudget(message.gateway, message.capacity, message.service_capacity)
        poll = _Poll(budget, message.zone == self._zone, loop.create_future())
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
        self._assign_evenly(now_s, [poll for poll in self._polls if poll.same_zone], None)
        overdue = {
            segment
            for segment, since_s in self._waiting_since_s.items()
            if now_s - since_s >= REMOTE_ZONE_DELAY_S
        }
        if overdue:
            self._assign_evenly(now_s, [poll for poll in self._polls if not poll.same_zone], overdue)
        self._record_waiting(now_s)

    def _record_waiting(self, now_s: float) -> None:
        """Record since when items of each segment have been waiting, and assign new ones again after the delay."""
        waiting = self._waiting(now_s, None)
        since_s = {segment: self._waiting_since_s.get(segment, now_s) for segment in waiting}
        if since_s.keys() - self._waiting_since_s.keys():
            asyncio.get_running_loop().call_later(REMOTE_ZONE_DELAY_S, self.schedule_assignment)
        self._waiting_since_s = since_s

    def _waiting(self, now_s: float, segments: Collection[SplitSegment] | None) -> dict[SplitSegment, int]:
        """Return upper bounds of the waiting items in the shards that this store owns, by segment."""
        waiting: Counter[SplitSegment] = Counter()
        for shard, owner in self._shards.owners.items():
            if owner.serving(now_s):
                waiting.update(self._shards.job_managers[shard].waiting_by_segment)
        if segments is None:
            return waiting
        return {segment: count for segment, count in waiting.items() if segment in segments}

    def _assign_evenly(
        self, now_s: float, polls: Sequence[_Poll], segments: Collection[SplitSegment] | None
    ) -> None:
        """Assign even shares of the waiting items to these polls; `segments` limits them to some of the segments."""
        waiting = self._waiting(now_s, segments)
        wanted = [(poll, list(filter(poll.budget.allows, waiting))) for poll in polls] if waiting else []
        # The polls that can take items of a segment and had no share of them yet.
        takers = Counter(segment for _, wanted_segments in wanted for segment in wanted_segments)
        for poll, wanted_segments in wanted:
            shares = {
                segment: -(-waiting[segment] // takers[segment])
                for segment in wanted_segments
                if segment in waiting
            }
            takers.subtract(wanted_segments)
            if not shares:
                continue
            if self._turn_bytes >= MAX_LEASED_BYTES:
                # Guard: replies whose encoding in one turn of the event loop takes longer than the lease of the owner.
                self.schedule_assignment()
                return
            items = self._lease_for(now_s, poll.budget.part(shares))
            if items:
                self._polls.remove(poll)
                poll.future.set_result(LeaseItemsReply(tuple(items)))
                waiting = self._waiting(now_s, segments)

    def _lease_for(self, now_s: float, budget: LeaseBudget) -> list[Assignment]:
        """Lease items of all shards that this store owns, in the order in which they are to run."""
        managers = [
            self._shards.job_managers[shard]
            for shard, owner in self._shards.owners.items()
            if owner.serving(now_s)
        ]
        items = list(lease_in_order(now_s, managers, budget))
        self._turn_bytes += budget.leased_bytes
        return items
