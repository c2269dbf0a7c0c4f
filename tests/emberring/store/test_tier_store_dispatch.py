"""Dispatch of waiting items: gateways in the zone of the store first, others after a delay."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import attrs
import pytest

from emberring.configuration.model import Share
from emberring.configuration.service_choice import SplitSegment
from emberring.jobs.calls import LeaseItems, LeaseItemsReply
from emberring.jobs.lease_budget import MAX_LEASED_BYTES, LeaseBudget
from emberring.jobs.schedule import Rank, Urgency
from emberring.simulation.common.virtual_time import run_virtually
from emberring.store.dispatch import REMOTE_ZONE_DELAY_S, Dispatch

WAIT_MS = 800


class FakeOwner:
    def __init__(self) -> None:
        self.owns = True

    def serving(self, now_s: float) -> bool:
        return self.owns


@attrs.frozen
class FakeItem:
    number: int
    content_bytes: int = 0


def segment_of(service: str) -> SplitSegment:
    return SplitSegment((Share(service, 1.0),), 0.5)


class FakeJobManager:
    """Job manager of a shard whose items have a number, a size and a service."""

    def __init__(self) -> None:
        self.queues: dict[SplitSegment, deque[FakeItem]] = {}
        self.leased_bytes = 0
        self.due_s = 8.0

    @property
    def waiting(self) -> int:
        return sum(self.waiting_by_segment.values())

    @property
    def waiting_by_segment(self) -> dict[SplitSegment, int]:
        return {segment: len(items) for segment, items in self.queues.items() if items}

    def next_rank(self, now_s: float, budget: LeaseBudget) -> Rank | None:
        if budget.exhausted or not any(map(budget.allows, self.waiting_by_segment)):
            return None
        return Rank(Urgency.ON_TIME, self.due_s)

    def lease_item(self, now_s: float, budget: LeaseBudget) -> Any:
        segment = next(filter(budget.allows, self.waiting_by_segment))
        item = self.queues[segment].popleft()
        budget.spend(segment, item.content_bytes)
        self.leased_bytes += item.content_bytes
        return item


class FakeShardManager:
    def __init__(self) -> None:
        self.job_manager, self.owner = FakeJobManager(), FakeOwner()
        self.job_managers, self.owners = {0: self.job_manager}, {0: self.owner}
        self.on_items_waiting: Any = None

    def add(self, count: int, content_bytes: int = 0, service: str = "llm") -> None:
        items = self.job_manager.queues.setdefault(segment_of(service), deque())
        items.extend(FakeItem(number, content_bytes) for number in range(count))
        self.on_items_waiting()


@attrs.frozen
class PollResult:
    """Result of a gateway's poll: its zone, its capacity, the number of items received and when (seconds)."""

    zone: str
    capacity: int
    items: int
    at_s: float


async def poll(
    dispatch: Dispatch, zone: str, capacity: int, service_capacity: dict[str, int] | None = None
) -> PollResult:
    message = LeaseItems(f"gateway-{zone}", capacity, WAIT_MS, zone, service_capacity)
    leased: LeaseItemsReply = await dispatch.lease(message)
    return PollResult(zone, capacity, len(leased.items), asyncio.get_running_loop().time())


async def run_polls(items: int, polls: list[tuple[str, int]]) -> tuple[list[PollResult], FakeShardManager]:
    """Let all gateways poll; then add items. Return the results of the polls."""
    shard = FakeShardManager()
    dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
    results = [asyncio.ensure_future(poll(dispatch, zone, capacity)) for zone, capacity in polls]
    await asyncio.sleep(0)
    shard.add(items)
    return list(await asyncio.gather(*results)), shard


@pytest.mark.parametrize(
    ("items", "polls", "received", "remote_at_s"),
    [
        # Shared among gateways of the same zone.
        (4, [("there", 5), ("here", 5), ("here", 5)], [0, 2, 2], WAIT_MS / 1000),
        # The rest goes to other zones, after the delay.
        (12, [("there", 5), ("here", 5), ("here", 5)], [2, 5, 5], REMOTE_ZONE_DELAY_S),
        # No gateway in the same zone: leased after the delay.
        (3, [("there", 5), ("elsewhere", 5)], [2, 1], REMOTE_ZONE_DELAY_S),
        # A gateway without a zone.
        (1, [("", 5)], [1], REMOTE_ZONE_DELAY_S),
    ],
)
def test_gateways_of_the_same_zone_have_priority(
    items: int, polls: list[tuple[str, int]], received: list[int], remote_at_s: float
) -> None:
    async def check() -> None:
        results, _ = await run_polls(items, polls)
        assert [result.items for result in results] == received
        for result in results:
            assert result.at_s == pytest.approx(0.0 if result.zone == "here" else remote_at_s)

    run_virtually(check())


def test_while_items_have_been_waiting_for_long_all_zones_get_items_at_once() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        first = asyncio.ensure_future(poll(dispatch, "there", 2))
        await asyncio.sleep(0)
        shard.add(10)
        assert (await first).at_s == pytest.approx(REMOTE_ZONE_DELAY_S)
        second = await poll(dispatch, "there", 2)
        assert (second.items, second.at_s) == (2, pytest.approx(REMOTE_ZONE_DELAY_S))
        await poll(dispatch, "here", 50)
        shard.add(1)  # nothing was waiting in between: the same zone has priority again
        third = await poll(dispatch, "there", 2)
        assert third.at_s == pytest.approx(2 * REMOTE_ZONE_DELAY_S)

    run_virtually(check())


def test_a_store_that_lost_its_shard_leases_nothing() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        result = asyncio.ensure_future(poll(dispatch, "here", 5))
        await asyncio.sleep(0)
        shard.owner.owns = False
        shard.add(3)
        assert (await result).items == 0
        assert shard.job_manager.waiting == 3

    run_virtually(check())


def test_a_poll_is_answered_at_once_while_items_are_waiting() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        shard.add(3)
        result = await poll(dispatch, "here", 2)
        assert (result.items, result.at_s) == (2, 0.0)

    run_virtually(check())


# Guards against replies of many large items, which take longer to encode than an owner's lease lasts.
def test_large_items_are_leased_over_several_turns_of_the_event_loop() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        results = [asyncio.ensure_future(poll(dispatch, "here", 20)) for _ in range(3)]
        await asyncio.sleep(0)
        shard.add(9, content_bytes=MAX_LEASED_BYTES + 1)
        turns = 0
        while shard.job_manager.waiting > 6:
            leased_bytes = shard.job_manager.leased_bytes
            await asyncio.sleep(0)
            turns += 1
            assert shard.job_manager.leased_bytes <= leased_bytes + MAX_LEASED_BYTES + 1
        assert turns >= 3
        assert [(await result).items for result in results] == [1, 1, 1]
        assert [(await poll(dispatch, "here", 20)).items for _ in range(6)] == [1] * 6

    run_virtually(check())


# Guards against items of a service without servers that take the place of those of another one in each reply.
def test_a_gateway_gets_items_of_the_services_that_it_has_capacity_for() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        shard.add(40, service="lost")
        shard.add(9, service="sound")
        assert (await poll(dispatch, "here", 5, {"sound": 5})).items == 5
        assert (await poll(dispatch, "here", 8, {"sound": 8, "lost": 0})).items == 4
        assert (await poll(dispatch, "here", 8, {"sound": 8})).items == 0
        assert (await poll(dispatch, "here", 8, {"sound": 0, "lost": 3})).items == 3
        assert shard.job_manager.waiting == 37

    run_virtually(check())


def test_a_poll_without_services_gets_items_of_any_service() -> None:
    """Gateways of earlier versions send no services."""

    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        shard.add(2, service="a")
        shard.add(2, service="b")
        assert (await poll(dispatch, "here", 8)).items == 4

    run_virtually(check())


# Guards against a gateway that can take none of the items and leaves the gateways after it without any.
def test_items_are_shared_among_the_gateways_that_can_take_them() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        capacities = [{"lost": 5}, {"a": 5}, {"a": 5, "b": 5}, {"b": 5}]
        results = [
            asyncio.ensure_future(poll(dispatch, "here", 5, capacity))  # type: ignore[arg-type]
            for capacity in capacities
        ]
        await asyncio.sleep(0)
        shard.add(4, service="a")
        assert [result.items for result in await asyncio.gather(*results[1:3])] == [2, 2]
        shard.add(3, service="b")
        assert (await results[3]).items == 3
        assert (await results[0]).items == 0

    run_virtually(check())


# Guards against items that are sent to other zones at once, because those of another service wait for long.
def test_the_priority_of_the_own_zone_holds_for_each_service() -> None:
    async def check() -> None:
        shard = FakeShardManager()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        shard.add(3, service="lost")
        assert (await poll(dispatch, "there", 5, {"sound": 5})).items == 0  # after WAIT_MS
        shard.add(1, service="sound")
        polling = asyncio.ensure_future(poll(dispatch, "there", 5, {"sound": 5}))
        await asyncio.sleep(REMOTE_ZONE_DELAY_S / 2)
        shard.on_items_waiting()  # as at each tick of the store
        result = await polling
        assert (result.items, result.at_s) == (1, pytest.approx(WAIT_MS / 1000 + REMOTE_ZONE_DELAY_S))

    run_virtually(check())
