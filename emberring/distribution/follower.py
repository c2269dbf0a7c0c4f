"""Keeps a gateway or store up to date: it pulls configuration, servers and nodes from two control nodes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence

from emberring.configuration.model import Configuration
from emberring.distribution.load_report import LoadReportDetail, LoadReportSchedule
from emberring.distribution.messages import Pull, Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.distribution.sources import SourceSelector
from emberring.distribution.view import FollowerView
from emberring.errors import EmberringError
from emberring.logs import get_logger
from emberring.placement.model import Placement
from emberring.registry.known_load import NO_LOAD, KnownLoad
from emberring.transport.network import Network

PULLERS = 2  # control nodes asked at the same time
WAIT_S = 0.5  # how long a control node may hold back a reply
REPORT_WAIT_S = 0.3  # the same where this node reports load
DETAIL_WAIT_S = 0.1  # the least where the reply to a report has the calls at every server
DETAIL_WAIT_PER_SERVER_S = 0.001  # more for each of them, so that the bytes in a second are bounded
REPLY_SLACK_S = 0.5  # after that wait the pull times out
MIN_PULL_INTERVAL_S = 0.02  # after a faster pull a puller pauses so long, to batch changes

logger = get_logger("distribution")


class Follower:
    """This node's knowledge of the tier, kept up to date in the background.

    `configuration` never goes back to an older version and is None until one committed by a quorum is known;
    `servers` has those that are ready or drain, `nodes` the live stores and control nodes by name. All of it stays as
    it is while no control node replies. `report`, where it is set, returns this node's calls in flight by server id;
    its argument is whether the reply will have the load of single servers, these calls among it. `load` is the sum
    over all gateways. `suspects`, where it is set, returns the value of the fault suspected by server id. `me` may be
    replaced at any time, for instance to announce a shutdown.
    """

    def __init__(self, network: Network, me: NodeRecord, seeds: Sequence[str]) -> None:
        self.me = me
        self.report: Callable[[bool], dict[str, int]] | None = None
        self.suspects: Callable[[], dict[str, str]] | None = None
        self._network = network
        self._view: FollowerView | None = None
        self._sources = SourceSelector(seeds, random.Random(f"{me.name}/{me.incarnation}"))
        self._callbacks: list[Callable[[], None]] = []
        self._load_callbacks: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._load_report_schedule = LoadReportSchedule()

    async def start(self) -> None:
        """Start to pull; returns at once."""
        loop = asyncio.get_running_loop()
        self._view = view = FollowerView(loop.time())
        self._tasks = [loop.create_task(self._pull_repeatedly(slot, view)) for slot in range(PULLERS)]

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
    def servers(self) -> dict[str, ServerRecord]:
        """Servers that are ready or drain, by id."""
        return self._view.servers if self._view is not None else {}

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        """Live stores and control nodes, by name."""
        return self._view.nodes if self._view is not None else {}

    @property
    def gateway_count(self) -> int:
        """How many gateways live; at least 1."""
        return self._view.gateways if self._view is not None else 1

    @property
    def placement(self) -> Placement | None:
        """Which stores hold which shard; None until known."""
        return self._view.placement if self._view is not None else None

    @property
    def load(self) -> KnownLoad:
        """Calls in flight over all gateways, as last reported."""
        return self._view.load if self._view is not None else NO_LOAD

    @property
    def in_contact(self) -> bool:
        """Whether a control node with a majority answered lately (`sources.CONTACT_S`)."""
        return self._sources.in_contact(asyncio.get_running_loop().time())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call this after any change other than of the load."""
        self._callbacks.append(callback)

    def subscribe_load(self, callback: Callable[[], None]) -> None:
        """Call this after each reply that has calls in flight at single servers."""
        self._load_callbacks.append(callback)

    def note_controls(self, addresses: Iterable[str]) -> None:
        """Add internal addresses of control nodes found in other ways."""
        self._sources.add(addresses)

    async def _pull_repeatedly(self, slot: int, view: FollowerView) -> None:
        loop = asyncio.get_running_loop()
        while True:
            address = self._sources.pick(loop.time(), slot)
            if address is None:
                await asyncio.sleep(self._sources.pause_s(loop.time()))
                continue
            began_s = loop.time()
            await self._pull_once(slot, address, view)
            if loop.time() - began_s < MIN_PULL_INTERVAL_S:
                await asyncio.sleep(MIN_PULL_INTERVAL_S)

    async def _pull_once(self, slot: int, address: str, view: FollowerView) -> None:
        loop = asyncio.get_running_loop()
        requested_s = loop.time()
        load_detail = self._load_detail(requested_s, view, slot)
        wait_s = self._wait_s(load_detail, len(view.servers), slot)
        pull = self._pull_request(
            view, slot, load_detail, wait_s if self._sources.has_answered(address) else 0.0
        )
        try:
            update = await self._network.call(address, pull, Update, wait_s + REPLY_SLACK_S)
        except EmberringError as error:
            self._sources.failed(loop.time(), address)
            logger.debug("event=pull_failed address=%s error=%s", address, error.detail)
            return
        self._sources.answered(loop.time(), address, update.quorum_age_ms / 1000)
        self._sources.add(update.control_addresses)
        self._load_report_schedule.answered(requested_s, pull.load_detail)
        if view.apply_update(loop.time(), update, pull.load_detail):
            self._sources.set_same_zone(self._controls_of_this_zone(view))
            _call_all(self._callbacks)
        if pull.load_detail is not LoadReportDetail.TOTALS:
            _call_all(self._load_callbacks)

    def _controls_of_this_zone(self, view: FollowerView) -> list[str]:
        """Addresses of the live control nodes of this node's zone."""
        return [
            record.address
            for record in view.nodes.values()
            if record.role is NodeRole.CONTROL and record.zone == self.me.zone
        ]

    def _wait_s(self, load_detail: LoadReportDetail, servers: int, slot: int) -> float:
        """How long the reply to a pull may be held back.

        The load of every server is of little use once it is old, as a call occupies its slot for about a second.
        """
        if self.report is None:
            return WAIT_S
        if load_detail is not LoadReportDetail.EVERY_SERVER or slot != 0:
            return REPORT_WAIT_S
        return min(REPORT_WAIT_S, max(DETAIL_WAIT_S, DETAIL_WAIT_PER_SERVER_S * servers))

    def _load_detail(self, now_s: float, view: FollowerView, slot: int) -> LoadReportDetail:
        """The load detail to request."""
        if self.report is None:
            return LoadReportDetail.TOTALS
        return self._load_report_schedule.next(now_s, view.gateways, len(view.servers), reporting=slot == 0)

    def _pull_request(
        self, view: FollowerView, slot: int, load_detail: LoadReportDetail, wait_s: float
    ) -> Pull:
        """The pull to send.

        Only the first of the two control nodes receives this node's load, and is asked for that of single servers
        where it is requested rarely: a reply of the other would not match that report.
        """
        report = self.report
        reported_load = (
            report(load_detail is not LoadReportDetail.TOTALS) if report is not None and slot == 0 else None
        )
        return Pull(
            sender=self.me,
            vector=dict(view.status_table.vector),
            configuration_version=view.configuration_version,
            placement_epoch=view.placement_epoch,
            wait_ms=int(wait_s * 1000),
            load=reported_load or {},
            reports_load=reported_load is not None,
            load_detail=load_detail,
            suspects=self.suspects() if self.suspects is not None and reported_load is not None else {},
        )


def _call_all(callbacks: Iterable[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            logger.exception("event=callback_failed")
