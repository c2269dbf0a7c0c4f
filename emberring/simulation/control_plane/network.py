"""The network between simulated processes: messages are delayed, lost, or dropped by partitions and dead processes."""

from __future__ import annotations

import asyncio
from typing import Any

from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.simulation.common.wire import over_wire
from emberring.simulation.control_plane.process import Process
from emberring.simulation.control_plane.world import ControlWorld
from emberring.transport.network import Caller, Network, Reply, check_reply

FOREVER_S = 1e6


class SimulatedNetwork(Network):
    """The network of one process."""

    def __init__(self, world: ControlWorld, process: Process, hub: dict[str, SimulatedNetwork]) -> None:
        super().__init__()
        self.process = process
        self._world = world
        self._hub = hub
        hub[process.address] = self

    async def listen(self, address: str) -> None:
        """Nothing: the hub knows the address."""

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait for its reply, at most `timeout_s` in all."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(address, body)
        except TimeoutError:
            raise PeerTimeoutError(f"no reply from {address}") from None
        return check_reply(reply, answer, address)

    async def tell(self, address: str, body: Any) -> None:
        """Nothing: hints are sent by the register's simulated host."""

    async def _exchange(self, address: str, body: Any) -> Any:
        me = self.process.address
        await self._transfer(me, address)
        peer = self._hub.get(address)
        if peer is None or not peer.process.alive:
            await self._report_dead_process(address)
            raise PeerUnavailableError(f"nobody at {address}")
        answering = peer.process.start(peer.dispatch(over_wire(body), Caller(me)))
        await asyncio.wait({answering})  # the caller may time out while the peer goes on
        if answering.cancelled():
            await self._report_dead_process(address)
            raise PeerTimeoutError(f"the connection to {address} ended")
        await self._transfer(address, me)
        return over_wire(answering.result())

    async def _report_dead_process(self, address: str) -> None:
        """Wait for ever where the machine has no power: a dead process is reported by a reset, that is not."""
        if address in self._world.dark:
            await asyncio.sleep(FOREVER_S)

    async def _transfer(self, sender: str, target: str) -> None:
        self._world.sync()
        lost = sender != target and (not self._world.passes(sender, target) or self._world.is_lost())
        await asyncio.sleep(FOREVER_S if lost else self._world.delay_s())
