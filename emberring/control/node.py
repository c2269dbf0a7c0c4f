"""A control node: its cluster state, exchanges, update stream, placement loop and HTTP application, and their tasks."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from emberring.configuration.state import ControlState
from emberring.control.app import ControlApp
from emberring.control.cluster_state import ClusterState
from emberring.control.exchanger import Exchanger
from emberring.control.heartbeat_handler import HeartbeatHandler
from emberring.control.operator_requests import OperatorRequests
from emberring.control.peer_cache import PeerCache
from emberring.control.placement_loop import PlacementLoop
from emberring.control.register_port import Register
from emberring.control.replication_policy import max_simultaneous_failures, replication_policy
from emberring.control.status_page import StatusPage
from emberring.control.update_stream import UpdateStream
from emberring.distribution.messages import PlacementMoved, Pull
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import EmberringError
from emberring.logs import get_logger
from emberring.settings import CONTROL_PORT_OFFSET, Settings
from emberring.transport.messages import Ok
from emberring.transport.network import Caller, Network

PEER_REPORT_INTERVAL_S = 0.2

logger = get_logger("control")


def new_incarnation() -> str:
    """A new identifier for this start of the process."""
    return uuid.uuid4().hex[:12]


class ControlNode:
    """All components of a control node except its HTTP listener.

    Parameters: `seeds` are internal addresses of control nodes, by default those of the settings; `peer_cache` stores
    the addresses of control nodes seen before; `incarnation` identifies this start, by default a new one.
    """

    def __init__(
        self,
        settings: Settings,
        network: Network,
        register: Register,
        seeds: Sequence[str] | None = None,
        peer_cache: PeerCache | None = None,
        incarnation: str = "",
    ) -> None:
        loop = asyncio.get_running_loop()
        me = NodeRecord(
            name=settings.node_name,
            role=NodeRole.CONTROL,
            address=settings.internal_address(CONTROL_PORT_OFFSET),
            zone=settings.zone,
            identity=register.identity,
            incarnation=incarnation or new_incarnation(),
        )
        tolerance = max_simultaneous_failures(settings.fault_tolerance)
        seed_addresses = settings.internal_seeds() if seeds is None else tuple(seeds)
        other_control_nodes = len(set(seed_addresses) - {me.address})
        self.cluster_state = ClusterState(loop.time(), me, seed_addresses, settings.heartbeat_ms / 1000)
        self.cluster_state.quorum_age_s = register.majority_age_s
        self._peer_cache = peer_cache
        self._save_task: asyncio.Task[None] | None = None
        if peer_cache is not None:
            self.cluster_state.peers.add(loop.time(), peer_cache.load())
        self._register = register
        self._exchanger = Exchanger(network, self.cluster_state)
        self._update_stream = UpdateStream(self.cluster_state)
        self._operator_requests = OperatorRequests(register, self.cluster_state, tolerance)
        self._placement = PlacementLoop(register, self.cluster_state, tolerance)
        heartbeat_handler = HeartbeatHandler(
            self.cluster_state, replication_policy(settings, other_control_nodes), register.is_quorum
        )
        self.app = ControlApp(self._operator_requests, heartbeat_handler, StatusPage(self.cluster_state))
        self._tasks: list[asyncio.Task[None]] = []
        network.handle(Pull, self._update_stream.on_pull)
        network.handle(PlacementMoved, self._on_placement_moved)
        register.subscribe(self._on_committed)

    def _on_committed(self, value: bytes) -> None:
        try:
            self.cluster_state.apply_state(ControlState.decode(value))
        except EmberringError:
            logger.exception("event=unreadable_state bytes=%d", len(value))

    async def _on_placement_moved(self, moved: PlacementMoved, caller: Caller) -> Ok:
        await self._operator_requests.on_placement_moved(moved.shard, moved.epoch)
        return Ok()

    def start(self) -> None:
        """Start the tasks: exchanges, placement, and reports of live peers to the register."""
        self._spawn(self._exchanger.run)
        self._spawn(self._placement.run)
        self._spawn(self._report_live_peers)

    def _spawn(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(run()))

    async def _report_live_peers(self) -> None:
        reported: list[NodeRecord] = []
        while True:
            now_s = asyncio.get_running_loop().time()
            live = [
                record for record in self.cluster_state.live_nodes(now_s) if record.role is NodeRole.CONTROL
            ]
            others = sorted(
                (record for record in live if record.name != self.cluster_state.me.name),
                key=lambda record: record.name,
            )
            if others != reported:
                reported = others
                self._register.set_peers(others)
                self._cache_peers(others)
            await asyncio.sleep(PEER_REPORT_INTERVAL_S)

    def _cache_peers(self, others: list[NodeRecord]) -> None:
        """Save the addresses of the other control nodes in the background, as the disk may stall."""
        if self._peer_cache is not None and (self._save_task is None or self._save_task.done()):
            saving = self._peer_cache.save([record.address for record in others])
            self._save_task = asyncio.get_running_loop().create_task(saving)

    def announce_shutdown(self) -> None:
        """Announce to the other nodes that this one is shutting down."""
        self.cluster_state.announce_shutdown(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Cancel the tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._exchanger.stop()
