"""Model servers' heartbeats and goodbyes. A drain is acknowledged when enough other control nodes know of it: as many
as outlive what may be lost at once, and a quorum of the register's replicas. Nodes that pull leave a control node that
has no quorum in contact, so a drain that only a minority knew could reach none of them while a cut lasts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberring.control.cluster_state import ClusterState
from emberring.control.replication_policy import ReplicationPolicy
from emberring.errors import NotReadyError
from emberring.registry.heartbeats import read_heartbeat

CONFIRM_TIMEOUT_S = 0.8


class HeartbeatHandler:
    """Takes heartbeats. `rule` says which other control nodes must know of a drain, `is_quorum` whether the register's
    replicas among those who know it are a quorum."""

    def __init__(
        self, board: ClusterState, rule: ReplicationPolicy, is_quorum: Callable[[frozenset[str]], bool]
    ) -> None:
        self._board = board
        self._rule = rule
        self._is_quorum = is_quorum

    async def heartbeat(self, server_id: str, body: bytes) -> None:
        """A server says how it is; `NotReadyError` where its drain could not be told to others in time."""
        beat = read_heartbeat(server_id, body)
        self._board.on_heartbeat(asyncio.get_running_loop().time(), beat)
        if beat.draining:
            await self._confirm(server_id)

    async def goodbye(self, server_id: str) -> None:
        """A server says that it ends; `NotReadyError` where that could not be told to others in time."""
        self._board.on_goodbye(asyncio.get_running_loop().time(), server_id)
        await self._confirm(server_id)

    async def _confirm(self, server_id: str) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + CONFIRM_TIMEOUT_S
        while not self._held(loop.time(), server_id):
            left_s = give_up_at - loop.time()
            if left_s <= 0:
                raise NotReadyError(f"no other control node knows yet that {server_id} ends")
            self._board.hurry(loop.time())
            await self._board.wait_for_exchange(left_s)

    def _held(self, now_s: float, server_id: str) -> bool:
        me = self._board.me
        holders = self._board.peers_knowing_end(now_s, server_id)
        if not self._rule.satisfied(me, holders, self._board.peers.met()):
            return False
        return self._is_quorum(frozenset(record.identity for record in (me, *holders)))
