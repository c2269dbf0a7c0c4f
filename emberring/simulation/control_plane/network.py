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

    def __init__(self, world: ControlWorld, process: Process, networks: dict[str, SimulatedNetwork]) -> None:
        super().__init__()
        self.process = process
        self._world = world
        self._networks = networks
        networks[process.address] = self

    async def listen(self, address: str) -> None:
        """Do nothing: `networks` already maps the address to this network."""

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait at most `timeout_s` for its reply."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(address, body)
        except TimeoutError:
            raise PeerTimeoutError(f"no reply from {address}") from None
        return check_reply(reply, answer, address)

    async def tell(self, address: str, body: Any) -> None:
        """Do nothing: the simulated host of the register sends the notifications."""

    async def _exchange(self, address: str, body: Any) -> Any:
        me = self.process.address
        await self._transfer(me, address)
        peer = self._networks.get(address)
        if peer is None or not peer.process.alive:
            await self._report_dead_process(address)
            raise PeerUnavailableError(f"nobody at {address}")
        answering = peer.process.start(peer.dispatch(over_wire(body), Caller(me)))
        await asyncio.wait({answering})  # the caller may time out while the peer continues
        if answering.cancelled():
            await self._report_dead_process(address)
            raise PeerTimeoutError(f"the connection to {address} ended")
        await self._transfer(address, me)
        return over_wire(answering.result())

    async def _report_dead_process(self, address: str) -> None:
        """Block if the machine has no power: only a dead process is reported, by a connection reset."""
        if address in self._world.powered_off:
            await asyncio.sleep(FOREVER_S)

    async def _transfer(self, sender: str, target: str) -> None:
        self._world.sync()
        lost = sender != target and (not self._world.can_deliver(sender, target) or self._world.is_lost())
        await asyncio.sleep(FOREVER_S if lost else self._world.delay_s())
