"""Runs a node's peer sampling: exchanges a part of its view with one peer at regular intervals."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Sequence

import attrs

from emberring.distribution.records import NodeRecord
from emberring.errors import EmberringError
from emberring.membership.view import Descriptor, PartialView
from emberring.transport.messages import message
from emberring.transport.network import Caller, Network

SHUFFLE_INTERVAL_S = 2.0
SPARSE_VIEW_INTERVAL_S = 0.5  # while fewer than `SPARSE_VIEW_NODES` nodes are known
SHUFFLE_TIMEOUT_S = 0.8  # of one call
SPARSE_VIEW_NODES = 4


@message("membership.shuffle")
@attrs.frozen
class Shuffle:
    """Descriptors that a node sends to a peer, about 200 bytes each; `sender` is the node's name."""

    sender: str
    descriptors: tuple[Descriptor, ...]


@message("membership.shuffled")
@attrs.frozen
class Shuffled:
    """The reply to a shuffle: some of the peer's descriptors."""

    descriptors: tuple[Descriptor, ...]


class Sampler:
    """The peer sampling of one process.

    `me` is this node's record. `seeds` are the addresses that it contacts while its view is empty. `seed` initializes
    the random generator.
    """

    def __init__(self, network: Network, me: NodeRecord, seeds: Sequence[str], seed: int) -> None:
        self._network = network
        self._seeds = tuple(address for address in seeds if address != me.address)
        self._seed_index = 0
        self._task: asyncio.Task[None] | None = None
        self.view = PartialView(me, seed)
        network.handle(Shuffle, self._on_shuffle)

    def control_nodes(self) -> list[NodeRecord]:
        """Return the control nodes in the view, the most recently seen first."""
        return self.view.control_nodes()

    def start(self) -> None:
        """Start the periodic shuffles."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic shuffles."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _on_shuffle(self, call: Shuffle, caller: Caller) -> Shuffled:
        now_s = asyncio.get_running_loop().time()
        return Shuffled(self.view.on_shuffle(now_s, call.sender, call.descriptors))

    async def _run(self) -> None:
        while True:
            await self._shuffle_once()
            view_is_sparse = len(self.view.nodes()) < SPARSE_VIEW_NODES
            await asyncio.sleep(SPARSE_VIEW_INTERVAL_S if view_is_sparse else SHUFFLE_INTERVAL_S)

    async def _shuffle_once(self) -> None:
        loop = asyncio.get_running_loop()
        call = self.view.next_shuffle(loop.time())
        address = call.address if call is not None else self._next_seed()
        if not address:
            return
        own_descriptor = (Descriptor(self.view.me, 0.0),)
        body = Shuffle(self.view.me.name, call.descriptors if call is not None else own_descriptor)
        try:
            reply = await self._network.call(address, body, Shuffled, SHUFFLE_TIMEOUT_S)
        except EmberringError:
            self.view.on_failure(address)
            return
        self.view.on_shuffle_reply(loop.time(), address, reply.descriptors)

    def _next_seed(self) -> str:
        if not self._seeds:
            return ""
        self._seed_index += 1
        return self._seeds[self._seed_index % len(self._seeds)]
