"""Dispatch of waiting items: gateways in the zone of the store first, others after a delay."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import attrs
import pytest

from emberring.jobs.calls import LeaseItems, LeaseItemsReply
from emberring.jobs.execution import MAX_LEASED_BYTES, LeasePoll
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


class FakeJobManager:
    """Job manager of a shard whose items have a number and a size."""

    def __init__(self) -> None:
        self.items: deque[FakeItem] = deque()
        self.leased_by_turn: list[int] = []  # bytes of content leased by each call

    @property
    def waiting(self) -> int:
        return len(self.items)

    def lease_items(self, now_s: float, poll: LeasePoll) -> list[Any]:
        leased: list[FakeItem] = []
        while self.items and len(leased) < poll.capacity and size_of(leased) < poll.max_bytes:
            leased.append(self.items.popleft())
        self.leased_by_turn.append(size_of(leased))
        return leased


def size_of(items: list[FakeItem]) -> int:
    return sum(item.content_bytes for item in items)


class FakeShardManager:
    def __init__(self) -> None:
        self.job_manager, self.owner = FakeJobManager(), FakeOwner()
        self.job_managers, self.owners = {0: self.job_manager}, {0: self.owner}
        self.on_items_waiting: Any = None

    def add(self, count: int, content_bytes: int = 0) -> None:
        self.job_manager.items.extend(FakeItem(number, content_bytes) for number in range(count))
        self.on_items_waiting()


@attrs.frozen
class PollResult:
    """Result of a gateway's poll: its zone, its capacity, the number of items received and when (seconds)."""

    zone: str
    capacity: int
    items: int
    at_s: float


async def poll(dispatch: Dispatch, zone: str, capacity: int) -> PollResult:
    leased: LeaseItemsReply = await dispatch.lease(LeaseItems(f"gateway-{zone}", capacity, WAIT_MS, zone))
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
            leased = len(shard.job_manager.leased_by_turn)
            await asyncio.sleep(0)
            turns += 1
            assert len(shard.job_manager.leased_by_turn) <= leased + 1
        assert turns >= 3
        assert [(await result).items for result in results] == [1, 1, 1]
        assert [(await poll(dispatch, "here", 20)).items for _ in range(6)] == [1] * 6

    run_virtually(check())
