"""Keeps a gateway or store up to date by pulling configuration, servers and nodes from two control nodes."""

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

PULLERS = 2  # concurrent pulls, each from a different control node
WAIT_S = 0.5  # how long a control node may delay the reply to a pull (long poll)
REPORT_WAIT_S = 0.3  # the same if this node reports load
DETAIL_WAIT_S = 0.1  # the minimum if the reply to a load report has the calls at every server
DETAIL_WAIT_PER_SERVER_S = 0.001  # the same per server, which bounds the bytes per second
REPLY_SLACK_S = 0.5  # timeout of a pull beyond its wait
MIN_PULL_INTERVAL_S = 0.02  # pause after a pull that took less than this, to batch changes

logger = get_logger("distribution")


class Follower:
    """This node's view of the tier, updated in the background.

    `configuration` never returns to an older version, and is None until one committed by a quorum is received;
    `servers` has those that are ready or draining, `nodes` the live stores and control nodes by name. The view does
    not change while no control node replies. `report`, if set, returns this node's calls in flight by server id; its
    argument is whether the reply will have the load of single servers, including these calls. `load` is the sum over
    all gateways. `suspects`, if set, returns the value of the suspected fault by server id. `me` may be replaced at
    any time, for instance to announce a shutdown.
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
        """Start pulling; returns immediately."""
        loop = asyncio.get_running_loop()
        self._view = view = FollowerView(loop.time())
        self._tasks = [loop.create_task(self._pull_repeatedly(slot, view)) for slot in range(PULLERS)]

    async def stop(self) -> None:
        """Stop pulling; the view stays as it is."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._tasks = []

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration received."""
        return self._view.configuration if self._view is not None else None

    @property
    def servers(self) -> dict[str, ServerRecord]:
        """Servers that are ready or draining, by id."""
        return self._view.servers if self._view is not None else {}

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        """Live stores and control nodes, by name."""
        return self._view.nodes if self._view is not None else {}

    @property
    def gateway_count(self) -> int:
        """The number of live gateways; at least 1."""
        return self._view.gateways if self._view is not None else 1

    @property
    def placement(self) -> Placement | None:
        """The stores of each shard; None until received."""
        return self._view.placement if self._view is not None else None

    @property
    def load(self) -> KnownLoad:
        """Calls in flight over all gateways, as last received."""
        return self._view.load if self._view is not None else NO_LOAD

    @property
    def in_contact(self) -> bool:
        """Whether a control node with a majority replied within `sources.CONTACT_S`."""
        return self._sources.in_contact(asyncio.get_running_loop().time())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change other than one of the load."""
        self._callbacks.append(callback)

    def subscribe_load(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each reply that has the calls in flight at single servers."""
        self._load_callbacks.append(callback)

    def add_control_addresses(self, addresses: Iterable[str]) -> None:
        """Add internal addresses of control nodes found by other means."""
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
        """How long the reply to a pull may be delayed.

        The load of every server must be recent to be useful, as a call occupies its slot for about a second.
        """
        if self.report is None:
            return WAIT_S
        if load_detail is not LoadReportDetail.EVERY_SERVER or slot != 0:
            return REPORT_WAIT_S
        return min(REPORT_WAIT_S, max(DETAIL_WAIT_S, DETAIL_WAIT_PER_SERVER_S * servers))

    def _load_detail(self, now_s: float, view: FollowerView, slot: int) -> LoadReportDetail:
        """The detail of the load to request."""
        if self.report is None:
            return LoadReportDetail.TOTALS
        return self._load_report_schedule.next(now_s, view.gateways, len(view.servers), reporting=slot == 0)

    def _pull_request(
        self, view: FollowerView, slot: int, load_detail: LoadReportDetail, wait_s: float
    ) -> Pull:
        """Build the pull to send.

        Only the first of the two control nodes receives this node's load report. If the load of single servers is
        requested rarely, then only from that node too: the reply of the other would not match the report.
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
