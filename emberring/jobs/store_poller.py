"""Polls of a gateway for items at one store.

There is at most one poll at a time for each service. A poll covers all services that have free capacity and no poll
yet, so as long as all services have free capacity there is one poll for all of them.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from emberring.errors import EmberringError
from emberring.jobs.calls import LeaseItems, LeaseItemsReply
from emberring.transport.network import Network

POLL_WAIT_MS = 800
POLL_MARGIN_S = 0.6  # for the reply to a poll, in addition to `POLL_WAIT_MS`
MAX_LEASE_BATCH = 32  # items in one poll
NO_CAPACITY_WAIT_S = 0.03  # until the capacity is checked again, if no run ends before
FAILED_POLL_PAUSE_S = 0.2


@attrs.frozen
class GatewayIdentity:
    """The gateway that polls: its name with its incarnation, and its zone."""

    name: str
    zone: str


class StorePoller:
    """Keeps polling one store for the services that have free capacity.

    Args:
        network: connection to the store.
        address: address of the store.
        gateway: this gateway.
        service_capacity: returns how many items may be started now, by each service that has servers.
        on_leased: called with the reply to each poll.
    """

    def __init__(
        self,
        network: Network,
        address: str,
        gateway: GatewayIdentity,
        service_capacity: Callable[[], dict[str, int]],
        on_leased: Callable[[LeaseItemsReply], None],
    ) -> None:
        self._network = network
        self._address = address
        self._gateway = gateway
        self._service_capacity = service_capacity
        self._on_leased = on_leased
        self._polls: dict[asyncio.Task[None], frozenset[str]] = {}

    async def run(self, run_ended: asyncio.Event) -> None:
        """Poll until cancelled; `run_ended` is set whenever the end of a run has freed capacity."""
        try:
            while True:
                capacity = self._service_capacity()
                self._start_poll(capacity)
                await self._wait(run_ended, complete=self._covered() >= capacity.keys() and bool(capacity))
        finally:
            for poll in list(self._polls):
                poll.cancel()

    def _covered(self) -> frozenset[str]:
        return frozenset[str]().union(*self._polls.values())

    def _start_poll(self, capacity: dict[str, int]) -> None:
        """Start a poll for the services with free capacity that no poll covers; the others have capacity 0 in it."""
        covered = self._covered()
        wanted = {service: 0 if service in covered else free for service, free in capacity.items()}
        total = min(MAX_LEASE_BATCH, sum(wanted.values()))
        if total <= 0:
            return
        message = LeaseItems(self._gateway.name, total, POLL_WAIT_MS, self._gateway.zone, wanted)
        poll = asyncio.get_running_loop().create_task(self._poll(message))
        self._polls[poll] = frozenset(service for service, free in wanted.items() if free > 0)
        poll.add_done_callback(self._polls.pop)

    async def _poll(self, message: LeaseItems) -> None:
        timeout_s = POLL_WAIT_MS / 1000 + POLL_MARGIN_S
        try:
            leased = await self._network.call(self._address, message, LeaseItemsReply, timeout_s)
        except EmberringError:
            await asyncio.sleep(FAILED_POLL_PAUSE_S)
            return
        self._on_leased(leased)
        # Let the new runs start, so that they reduce the capacity of the next poll.
        await asyncio.sleep(0)

    async def _wait(self, run_ended: asyncio.Event, complete: bool) -> None:
        """Wait until a poll has ended; if the polls are not `complete`, also until there may be other capacity."""
        if complete:
            await asyncio.wait(self._polls, return_when=asyncio.FIRST_COMPLETED)
            return
        run_ended.clear()
        polls = set(self._polls)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(NO_CAPACITY_WAIT_S):
                await _first_of(run_ended, polls)


async def _first_of(event: asyncio.Event, tasks: set[asyncio.Task[None]]) -> None:
    """Wait until the event is set or one of the tasks has ended."""
    if not tasks:
        await event.wait()
        return
    waiting = asyncio.get_running_loop().create_task(event.wait())
    try:
        await asyncio.wait({waiting, *tasks}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiting.cancel()
