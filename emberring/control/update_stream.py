"""Answers the long polls of gateways and stores: at once if they lack an update, otherwise at the next change."""

from __future__ import annotations

import asyncio

from emberring.control.cluster_state import ClusterState
from emberring.distribution.contacts import LoadReport
from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.messages import Pull, Update
from emberring.distribution.records import NodeRole
from emberring.transport.network import Caller

MAX_WAIT_S = 2.0  # maximum delay of a reply without an update
NO_MAJORITY_AGE_MS = 1e9  # reported if no majority has been in contact since the start
BATCH_DELAY_S = 0.004  # after a change, so that nearly simultaneous changes are sent in one reply
BATCH_DELAY_PER_WAITER_S = 0.0005  # added for each waiting follower
MAX_BATCH_DELAY_S = 0.1


class UpdateStream:
    """Replies to pulls with the updates that the sender lacks."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state

    async def on_pull(self, pull: Pull, caller: Caller) -> Update:
        """Reply to a pull once there is an update, or its waiting time has elapsed."""
        loop = asyncio.get_running_loop()
        self._cluster_state.on_node_contact(loop.time(), pull.sender, _load_report_of(pull))
        deadline_s = loop.time() + min(MAX_WAIT_S, pull.wait_ms / 1000)
        while True:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0 or self._has_updates(pull):
                return self._update(loop.time(), pull)
            await self._cluster_state.changes.wait(remaining_s)
            waiters = self._cluster_state.changes.waiters
            await asyncio.sleep(min(MAX_BATCH_DELAY_S, BATCH_DELAY_S + BATCH_DELAY_PER_WAITER_S * waiters))

    def _has_updates(self, pull: Pull) -> bool:
        """Whether the sender lacks an update that it needs at once."""
        state = self._cluster_state.state
        return (
            state.version > pull.configuration_version
            or (state.placement is not None and state.placement.epoch > pull.placement_epoch)
            or self._cluster_state.status_table.has_newer_than(pull.vector)
        )

    def _update(self, now_s: float, pull: Pull) -> Update:
        cluster_state = self._cluster_state
        state = cluster_state.state
        placement = state.placement
        newer_placement = placement is not None and placement.epoch > pull.placement_epoch
        is_gateway = pull.sender.role is NodeRole.GATEWAY
        return Update(
            writer_incarnation=cluster_state.me.incarnation,
            quorum_age_ms=min(NO_MAJORITY_AGE_MS, cluster_state.quorum_age_s() * 1000),
            delta=cluster_state.status_table.newer_than(pull.vector, gateways=False),
            live_writers=tuple(cluster_state.live_writers(now_s)),
            gateways=cluster_state.gateways(now_s),
            configuration_version=state.version,
            configuration=state.packed if state.version > pull.configuration_version else None,
            placement=placement if newer_placement else None,
            server_load=self._server_load(now_s, pull),
            control_addresses=cluster_state.peers.addresses(),
            smoothed_load=cluster_state.load.smoothed(now_s, pull.load)
            if pull.load_detail is LoadReportDetail.SERVERS_IN_USE
            else {},
            service_load=cluster_state.load.totals(now_s) if is_gateway else {},
            load_age_ms=round(cluster_state.load.age_s(now_s) * 1000.0) if is_gateway else 0.0,
        )

    def _server_load(self, now_s: float, pull: Pull) -> dict[str, int]:
        """The calls in flight at each server that the pull requests."""
        if pull.sender.role is not NodeRole.GATEWAY or pull.load_detail is LoadReportDetail.TOTALS:
            return {}
        calls = self._cluster_state.load.calls(now_s)
        if pull.load_detail is LoadReportDetail.SERVERS_IN_USE:
            return {server_id: calls.get(server_id, 0) for server_id in pull.load}
        return calls


def _load_report_of(pull: Pull) -> LoadReport | None:
    """The sender's load report; None if it reports to another control node.

    A load without `reports_load` comes from a node of an older version, which does not set that field.
    """
    return LoadReport(pull.load, pull.suspects) if pull.reports_load or pull.load else None
