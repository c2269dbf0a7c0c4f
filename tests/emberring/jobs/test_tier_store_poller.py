"""Polls for items at one store: which services a poll covers, and when there is another one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from emberring.errors import PeerUnavailableError
from emberring.jobs.calls import LeaseItems, LeaseItemsReply
from emberring.jobs.store_poller import (
    FAILED_POLL_PAUSE_S,
    MAX_LEASE_BATCH,
    NO_CAPACITY_WAIT_S,
    GatewayIdentity,
    StorePoller,
)
from emberring.simulation.common.virtual_time import run_virtually


async def pass_time(seconds: float) -> None:
    """Advance the virtual clock of `play`, on which every timer in between runs; nothing waits for real."""
    await asyncio.sleep(seconds)


class FakeNetwork:
    """Network whose calls wait until the test answers them; `polls` has all calls so far."""

    def __init__(self) -> None:
        self.polls: list[LeaseItems] = []
        self.open: list[asyncio.Future[LeaseItemsReply]] = []

    async def call(self, address: str, body: LeaseItems, reply: type, timeout_s: float) -> LeaseItemsReply:
        self.polls.append(body)
        self.open.append(asyncio.get_running_loop().create_future())
        return await self.open[-1]

    @property
    def requested(self) -> list[dict[str, int] | None]:
        return [poll.service_capacity for poll in self.polls]


class PolledStore:
    """A poller, the capacity that it is told, and the replies that it passed on."""

    def __init__(self, **capacity: int) -> None:
        self.network = FakeNetwork()
        self.capacity = capacity
        self.run_ended = asyncio.Event()
        self.replies: list[LeaseItemsReply] = []
        poller = StorePoller(
            self.network,  # type: ignore[arg-type]
            "store:1",
            GatewayIdentity("g/1", "z"),
            lambda: dict(self.capacity),
            self.replies.append,
        )
        self.task = asyncio.create_task(poller.run(self.run_ended))


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on virtual time."""

    async def check() -> None:
        await scenario()

    run_virtually(check())


def test_one_poll_covers_all_services_with_capacity() -> None:
    async def scenario() -> None:
        store = PolledStore(a=3, b=2)
        await pass_time(5.0)
        assert store.network.requested == [{"a": 3, "b": 2}]
        assert store.network.polls[0].capacity == 5
        store.network.open[0].set_result(LeaseItemsReply())
        await pass_time(0.01)
        assert len(store.replies) == 1
        assert len(store.network.polls) == 2

    play(scenario)


# Guards against a service whose servers stay idle until a poll for another service ends.
def test_a_service_that_gets_capacity_later_has_a_poll_of_its_own() -> None:
    async def scenario() -> None:
        store = PolledStore(a=3, b=0)
        await pass_time(0.5)
        store.capacity["b"] = 4
        await pass_time(0.05)
        assert store.network.requested == [{"a": 3, "b": 0}, {"a": 0, "b": 4}]
        await pass_time(5.0)
        assert len(store.network.polls) == 2
        store.network.open[0].set_result(LeaseItemsReply())
        await pass_time(0.01)
        assert store.network.requested[2:] == [{"a": 3, "b": 0}]

    play(scenario)


def test_the_end_of_a_run_is_noticed_at_once() -> None:
    async def scenario() -> None:
        store = PolledStore(a=0)
        await pass_time(1.0)
        assert store.network.polls == []
        store.capacity["a"] = 1
        store.run_ended.set()
        await pass_time(NO_CAPACITY_WAIT_S / 10)
        assert store.network.requested == [{"a": 1}]

    play(scenario)


def test_no_poll_has_more_than_a_number_of_items() -> None:
    async def scenario() -> None:
        store = PolledStore(a=500)
        await pass_time(0.01)
        assert store.network.polls[0].capacity == MAX_LEASE_BATCH

    play(scenario)


def test_without_known_servers_there_is_no_poll() -> None:
    async def scenario() -> None:
        store = PolledStore()
        await pass_time(1.0)
        assert store.network.polls == []
        store.capacity["a"] = 2
        await pass_time(0.05)
        assert store.network.requested == [{"a": 2}]

    play(scenario)


def test_after_a_failure_there_is_a_pause() -> None:
    async def scenario() -> None:
        store = PolledStore(a=1)
        await pass_time(0.01)
        store.network.open[0].set_exception(PeerUnavailableError())
        await pass_time(FAILED_POLL_PAUSE_S - 0.02)
        assert len(store.network.polls) == 1
        await pass_time(0.04)
        assert len(store.network.polls) == 2

    play(scenario)


@pytest.mark.parametrize("capacity", [{"a": 1}, {"a": 1, "b": 0}, {}])
def test_a_cancelled_poller_leaves_no_poll(capacity: dict[str, int]) -> None:
    async def scenario() -> None:
        store = PolledStore(**capacity)
        await pass_time(0.1)
        store.task.cancel()
        await pass_time(0.01)
        assert store.task.cancelled()
        assert all(poll.cancelled() for poll in store.network.open)

    play(scenario)
