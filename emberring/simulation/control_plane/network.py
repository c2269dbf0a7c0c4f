"""The network between simulated processes: messages as they are, late, lost, or held up by a cut or a dead process."""

from __future__ import annotations

import asyncio
from typing import Any

from emberring.errors import PeerTimeoutError, PeerUnavailableError
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
        """Nothing to do: the hub knows the address."""

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait for its reply, at most `timeout_s` in all."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._exchange(address, body)
        except TimeoutError:
            raise PeerTimeoutError(f"no reply from {address}") from None
        return check_reply(reply, answer, address)

    async def tell(self, address: str, body: Any) -> None:
        """Hints go by the register's own host."""

    async def _exchange(self, address: str, body: Any) -> Any:
        me = self.process.address
        await self._way(me, address)
        peer = self._hub.get(address)
        if peer is None or not peer.process.alive:
            await self._refused(address)
            raise PeerUnavailableError(f"nobody at {address}")
        answering = peer.process.start(peer.dispatch(body, Caller(me)))
        await asyncio.wait({answering})  # the caller's time may end, and the peer goes on with it
        if answering.cancelled():
            await self._refused(address)
            raise PeerTimeoutError(f"the connection to {address} ended")
        await self._way(address, me)
        return answering.result()

    async def _refused(self, address: str) -> None:
        """A dead process is told by a reset; a machine without power says nothing."""
        if address in self._world.dark:
            await asyncio.sleep(FOREVER_S)

    async def _way(self, origin: str, target: str) -> None:
        self._world.sync()
        lost = origin != target and (not self._world.passes(origin, target) or self._world.is_lost())
        await asyncio.sleep(FOREVER_S if lost else self._world.way_s())
