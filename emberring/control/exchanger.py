"""Sends and answers the exchanges between control nodes, and runs the periodic tick of the cluster state."""

from __future__ import annotations

import asyncio

from emberring.control.cluster_state import ClusterState
from emberring.distribution.messages import Exchange, Exchanged
from emberring.distribution.peers import Peer
from emberring.errors import EmberringError
from emberring.logs import get_logger
from emberring.transport.network import Caller, Network

TICK_INTERVAL_S = 0.1
EXCHANGE_TIMEOUT_S = 0.6

logger = get_logger("control")


class Exchanger:
    """Runs the exchanges that are due, each in its own task, so that an unresponsive node does not delay the others."""

    def __init__(self, network: Network, cluster_state: ClusterState) -> None:
        self._network = network
        self._cluster_state = cluster_state
        self._tasks: set[asyncio.Task[None]] = set()
        network.handle(Exchange, self._on_exchange)

    async def _on_exchange(self, exchange: Exchange, caller: Caller) -> Exchanged:
        reply = self._cluster_state.on_exchange(asyncio.get_running_loop().time(), exchange)
        self._cluster_state.ended_exchanges.notify_all()
        return reply

    async def run(self) -> None:
        """Run the exchanges and the tick until cancelled."""
        loop = asyncio.get_running_loop()
        next_tick_s = loop.time()
        while True:
            if loop.time() >= next_tick_s:
                next_tick_s = loop.time() + TICK_INTERVAL_S
                self._cluster_state.tick(loop.time())
            for peer in self._cluster_state.peers.due(loop.time()):
                self._start_exchange(peer)
            await self._cluster_state.expedite_requests.wait(max(0.0, next_tick_s - loop.time()))

    def _start_exchange(self, peer: Peer) -> None:
        self._cluster_state.peers.exchange_began(asyncio.get_running_loop().time(), peer)
        task = asyncio.get_running_loop().create_task(self._exchange(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        answered = False
        try:
            exchange = self._cluster_state.exchange_for(loop.time(), peer)
            reply = await self._network.call(peer.address, exchange, Exchanged, EXCHANGE_TIMEOUT_S)
            self._cluster_state.apply_exchange(loop.time(), reply)
            answered = True
        except EmberringError as error:
            logger.debug("event=exchange_failed address=%s error=%s", peer.address, error.detail)
        finally:
            self._cluster_state.peers.exchange_ended(loop.time(), peer, answered)
            self._cluster_state.ended_exchanges.notify_all()

    async def stop(self) -> None:
        """Cancel the exchanges in flight."""
        for task in list(self._tasks):
            task.cancel()
