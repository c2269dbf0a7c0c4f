"""How gateways and stores learn the configuration, the servers and the nodes: they pull from two control nodes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from emberring.configuration.model import Configuration
from emberring.distribution.facts import NodeFact, ServerFact
from emberring.distribution.messages import Pull, Update
from emberring.distribution.sources import SourceChoice
from emberring.distribution.view import FollowerView
from emberring.errors import EmberringError
from emberring.logs import get_logger
from emberring.lots.placement import Placement
from emberring.transport.network import Network

PULLERS = 2
WAIT_S = 0.5  # how long a control node may hold an answer back
REPORT_WAIT_S = 0.3  # the same while this node reports calls in flight
REPLY_SLACK_S = 0.5  # beyond that wait, an answer that has not come is not waited for
SHORTEST_PULL_S = 0.02  # many changes in a row are taken in bundles of this length

logger = get_logger("distribution")


class Follower:
    """This node's knowledge of the tier, kept up to date in the background.

    `configuration` never goes back to an older version and is None until one chosen by a quorum is known;
    `servers` has those that serve or drain, `nodes` the live stores and control nodes by name. All of it stays as
    it is while no control node answers. `report` may return the calls in flight by server id; `server_load` is
    their sum over all gateways. `me` may be replaced at any time, e.g. to say that this node is leaving.
    """

    def __init__(self, network: Network, me: NodeFact, seeds: Sequence[str]) -> None:
        self.me = me
        self.report: Callable[[], dict[str, int]] | None = None
        self._network = network
        self._view: FollowerView | None = None
        self._sources = SourceChoice(seeds, random.Random(f"{me.name}/{me.incarnation}"))
        self._callbacks: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to pull; returns at once."""
        loop = asyncio.get_running_loop()
        self._view = FollowerView(loop.time())
        self._tasks = [loop.create_task(self._pull_on(slot)) for slot in range(PULLERS)]

    async def stop(self) -> None:
        """Stop pulling; what is known stays."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration known."""
        return self._view.configuration if self._view is not None else None

    @property
    def servers(self) -> dict[str, ServerFact]:
        """Servers that serve or drain, by id."""
        return self._view.servers if self._view is not None else {}

    @property
    def nodes(self) -> dict[str, NodeFact]:
        """Live stores and control nodes, by name."""
        return self._view.nodes if self._view is not None else {}

    @property
    def gateway_count(self) -> int:
        """How many gateways live; at least 1."""
        return self._view.gateways if self._view is not None else 1

    @property
    def placement(self) -> Placement | None:
        """Which stores keep which shard; None until known."""
        return self._view.placement if self._view is not None else None

    @property
    def server_load(self) -> dict[str, int]:
        """Calls in flight by server id, summed over all gateways as last told."""
        return self._view.server_load if self._view is not None else {}

    @property
    def in_contact(self) -> bool:
        """Whether a control node with a majority answered within the last second or so."""
        return self._sources.in_contact(asyncio.get_running_loop().time())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call this after any change of what is known, other than the load."""
        self._callbacks.append(callback)

    def note_controls(self, addresses: Iterable[str]) -> None:
        """Other control nodes (internal addresses) that this node has heard of by other ways."""
        self._sources.note(addresses)

    async def _pull_on(self, slot: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            address = self._sources.pick(loop.time(), slot)
            if address is None:
                await asyncio.sleep(self._sources.pause_s(loop.time()))
                continue
            began_s = loop.time()
            await self._pull_once(slot, address)
            if loop.time() - began_s < SHORTEST_PULL_S:
                await asyncio.sleep(SHORTEST_PULL_S)

    async def _pull_once(self, slot: int, address: str) -> None:
        loop = asyncio.get_running_loop()
        report = self.report
        wait_s = WAIT_S if report is None else REPORT_WAIT_S
        view = self._view
        assert view is not None
        pull = Pull(
            me=self.me,
            vector=dict(view.store.vector),
            configuration_version=view.configuration_version,
            placement_epoch=view.placement_epoch,
            wait_ms=int(wait_s * 1000) if self._sources.settled(address) else 0,
            load=report() if report is not None and slot == 0 else {},
        )
        try:
            update = await self._network.call(address, pull, Update, wait_s + REPLY_SLACK_S)
        except EmberringError as error:
            self._sources.failed(loop.time(), address)
            logger.debug("event=pull_failed address=%s error=%s", address, error.detail)
            return
        self._sources.answered(loop.time(), address, update.quorum_age_ms / 1000)
        if self._take(loop.time(), view, update):
            self._tell()

    def _take(self, now_s: float, view: FollowerView, update: Update) -> bool:
        self._sources.note(update.controls)
        return view.take(now_s, update)

    def _tell(self) -> None:
        for callback in self._callbacks:
            try:
                callback()
            except Exception:
                logger.exception("event=callback_failed")


def leaving(fact: NodeFact) -> NodeFact:
    """The same node on its way out."""
    return attrs.evolve(fact, leaving=True)
