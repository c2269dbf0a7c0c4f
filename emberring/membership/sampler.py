"""Runs a node's partial view: shuffles it with one peer at regular intervals."""

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
FIRST_INTERVAL_S = 0.5  # while fewer than `FEW_NODES` are known
SHUFFLE_TIMEOUT_S = 0.8  # of one call
FEW_NODES = 4


@message("membership.shuffle")
@attrs.frozen
class Shuffle:
    """Descriptors that a node offers to a peer; `sender` is its name. Some 200 bytes each."""

    sender: str
    descriptors: tuple[Descriptor, ...]


@message("membership.shuffled")
@attrs.frozen
class Shuffled:
    """Reply to a shuffle: the peer's descriptors."""

    descriptors: tuple[Descriptor, ...]


class Sampler:
    """Peer sampling of one process.

    `seeds` are addresses asked while the view is empty; `seed` is that of the random choices.
    """

    def __init__(self, network: Network, me: NodeRecord, seeds: Sequence[str], seed: int) -> None:
        self._network = network
        self._seeds = tuple(address for address in seeds if address != me.address)
        self._seed_index = 0
        self._task: asyncio.Task[None] | None = None
        self.view = PartialView(me, seed)
        network.handle(Shuffle, self._on_shuffle)

    def controls(self) -> list[NodeRecord]:
        """The control nodes known from sampling, the most recently seen first."""
        return self.view.controls()

    def start(self) -> None:
        """Start to shuffle."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop shuffling."""
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
            few = len(self.view.nodes()) < FEW_NODES
            await asyncio.sleep(FIRST_INTERVAL_S if few else SHUFFLE_INTERVAL_S)

    async def _shuffle_once(self) -> None:
        loop = asyncio.get_running_loop()
        call = self.view.next_shuffle(loop.time())
        address = call.address if call is not None else self._next_seed()
        if not address:
            return
        own = (Descriptor(self.view.me, 0.0),)
        body = Shuffle(self.view.me.name, call.descriptors if call is not None else own)
        try:
            answer = await self._network.call(address, body, Shuffled, SHUFFLE_TIMEOUT_S)
        except EmberringError:
            self.view.on_failure(address)
            return
        self.view.on_answer(loop.time(), address, answer.descriptors)

    def _next_seed(self) -> str:
        if not self._seeds:
            return ""
        self._seed_index += 1
        return self._seeds[self._seed_index % len(self._seeds)]
