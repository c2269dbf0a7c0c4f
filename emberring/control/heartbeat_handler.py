"""Heartbeats and goodbyes of model servers.

A drain is acknowledged once it is replicated on enough control nodes to survive the simultaneous failures to be
tolerated, and on a quorum of the register's replicas. Followers stop pulling from a control node without a quorum, so
during a partition a drain known to a minority only would reach no follower.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberring.control.cluster_state import ClusterState
from emberring.control.replication_policy import ReplicationPolicy
from emberring.errors import NotReadyError
from emberring.registry.heartbeats import read_heartbeat

REPLICATION_TIMEOUT_S = 0.8  # a drain or goodbye that is not replicated by then is rejected


class HeartbeatHandler:
    """Handles heartbeats and goodbyes.

    `policy` decides on which control nodes a drain must be replicated; `is_quorum` returns whether the replicas of the
    register with these identities are a quorum.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        policy: ReplicationPolicy,
        is_quorum: Callable[[frozenset[str]], bool],
    ) -> None:
        self._cluster_state = cluster_state
        self._policy = policy
        self._is_quorum = is_quorum

    async def heartbeat(self, server_id: str, body: bytes) -> None:
        """Handle a heartbeat.

        Raises `BadRequestError` for a malformed one, and `NotReadyError` if a drain is not replicated within
        `REPLICATION_TIMEOUT_S`.
        """
        heartbeat = read_heartbeat(server_id, body)
        self._cluster_state.on_heartbeat(asyncio.get_running_loop().time(), heartbeat)
        if heartbeat.draining:
            await self._wait_until_replicated(server_id)

    async def goodbye(self, server_id: str) -> None:
        """Handle a server's goodbye. Raises `NotReadyError` if it is not replicated in time."""
        self._cluster_state.on_goodbye(asyncio.get_running_loop().time(), server_id)
        await self._wait_until_replicated(server_id)

    async def _wait_until_replicated(self, server_id: str) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + REPLICATION_TIMEOUT_S
        while not self._is_replicated(loop.time(), server_id):
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                raise NotReadyError(f"no other control node knows yet that {server_id} ends")
            self._cluster_state.expedite_exchanges(loop.time())
            await self._cluster_state.ended_exchanges.wait(remaining_s)

    def _is_replicated(self, now_s: float, server_id: str) -> bool:
        own_record = self._cluster_state.me
        peers = self._cluster_state.peers_with_end_record(now_s, server_id)
        if not self._policy.is_satisfied(own_record, peers, self._cluster_state.peers.seen_records()):
            return False
        return self._is_quorum(frozenset(record.identity for record in (own_record, *peers)))
