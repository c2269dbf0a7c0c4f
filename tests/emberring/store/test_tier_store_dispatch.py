"""Which gateways get the items that wait: those of the store's zone first, the others a moment later."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import attrs
import pytest

from emberring.jobs.calls import LeaseItems, LeaseItemsReply
from emberring.simulation.common.virtual_time import run_virtually
from emberring.store.dispatch import REMOTE_ZONE_DELAY_S, Dispatch

WAIT_MS = 800


class Owner:
    def __init__(self) -> None:
        self.owns = True

    def serving(self, now_s: float) -> bool:
        return self.owns


class Book:
    """Items are plain numbers here."""

    def __init__(self) -> None:
        self.items: deque[int] = deque()

    @property
    def waiting(self) -> int:
        return len(self.items)

    def lease_items(self, now_s: float, gateway: str, capacity: int) -> list[Any]:
        return [self.items.popleft() for _ in range(min(capacity, len(self.items)))]


class OneShard:
    def __init__(self) -> None:
        self.job_manager, self.owner = Book(), Owner()
        self.job_managers, self.owners = {0: self.job_manager}, {0: self.owner}
        self.on_items_waiting: Any = None

    def add(self, count: int) -> None:
        self.job_manager.items.extend(range(count))
        self.on_items_waiting()


@attrs.frozen
class Asked:
    """A gateway's poll: its zone, its capacity, how many items it got and when (seconds)."""

    zone: str
    capacity: int
    got: int
    at_s: float


async def ask(dispatch: Dispatch, zone: str, capacity: int) -> Asked:
    leased: LeaseItemsReply = await dispatch.lease(LeaseItems(f"gateway-{zone}", capacity, WAIT_MS, zone))
    return Asked(zone, capacity, len(leased.items), asyncio.get_running_loop().time())


async def play(items: int, questions: list[tuple[str, int]]) -> tuple[list[Asked], OneShard]:
    """All gateways ask; then so many items come."""
    shard = OneShard()
    dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
    asked = [asyncio.ensure_future(ask(dispatch, zone, capacity)) for zone, capacity in questions]
    await asyncio.sleep(0)
    shard.add(items)
    return list(await asyncio.gather(*asked)), shard


@pytest.mark.parametrize(
    ("items", "questions", "got", "far_at_s"),
    [
        (4, [("there", 5), ("here", 5), ("here", 5)], [0, 2, 2], WAIT_MS / 1000),  # shared among those near
        (
            12,
            [("there", 5), ("here", 5), ("here", 5)],
            [2, 5, 5],
            REMOTE_ZONE_DELAY_S,
        ),  # the rest goes far, later
        (3, [("there", 5), ("elsewhere", 5)], [2, 1], REMOTE_ZONE_DELAY_S),  # nobody near: late, but taken
        (1, [("", 5)], [1], REMOTE_ZONE_DELAY_S),  # a gateway that does not tell its zone
    ],
)
def test_items_go_near_first(
    items: int, questions: list[tuple[str, int]], got: list[int], far_at_s: float
) -> None:
    async def check() -> None:
        asked, _ = await play(items, questions)
        assert [one.got for one in asked] == got
        for one in asked:
            assert one.at_s == pytest.approx(0.0 if one.zone == "here" else far_at_s)

    run_virtually(check())


def test_while_something_has_waited_long_gateways_of_all_zones_get_some_at_once() -> None:
    async def check() -> None:
        shard = OneShard()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        first = asyncio.ensure_future(ask(dispatch, "there", 2))
        await asyncio.sleep(0)
        shard.add(10)
        assert (await first).at_s == pytest.approx(REMOTE_ZONE_DELAY_S)
        second = await ask(dispatch, "there", 2)
        assert (second.got, second.at_s) == (2, pytest.approx(REMOTE_ZONE_DELAY_S))
        await ask(dispatch, "here", 50)
        shard.add(1)  # nothing waited in between: near comes first again
        third = await ask(dispatch, "there", 2)
        assert third.at_s == pytest.approx(2 * REMOTE_ZONE_DELAY_S)

    run_virtually(check())


def test_a_store_that_lost_its_shard_gives_nothing() -> None:
    async def check() -> None:
        shard = OneShard()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        asked = asyncio.ensure_future(ask(dispatch, "here", 5))
        await asyncio.sleep(0)
        shard.owner.owns = False
        shard.add(3)
        assert (await asked).got == 0
        assert shard.job_manager.waiting == 3

    run_virtually(check())


def test_a_question_that_comes_while_items_wait_is_answered_at_once() -> None:
    async def check() -> None:
        shard = OneShard()
        dispatch = Dispatch(shard, "here")  # type: ignore[arg-type]
        shard.add(3)
        asked = await ask(dispatch, "here", 2)
        assert (asked.got, asked.at_s) == (2, 0.0)

    run_virtually(check())
