"""Answers the pulls of gateways and stores: at once where they lack something, otherwise when something changes."""

from __future__ import annotations

import asyncio

from emberring.control.board import Board
from emberring.distribution.facts import NodeRole
from emberring.distribution.messages import Pull, Update
from emberring.transport.network import Caller

LONGEST_WAIT_S = 2.0
NEVER_MS = 1e9  # stands for "no majority since the start"
BUNDLE_S = 0.005  # changes that come together are told together


class Feed:
    """Tells followers what they lack."""

    def __init__(self, board: Board) -> None:
        self._board = board

    async def on_pull(self, pull: Pull, caller: Caller) -> Update:
        """The answer to a pull."""
        loop = asyncio.get_running_loop()
        self._board.node_called(loop.time(), pull.me, pull.load)
        give_up_at = loop.time() + min(LONGEST_WAIT_S, pull.wait_ms / 1000)
        while True:
            update = self._update(loop.time(), pull)
            left_s = give_up_at - loop.time()
            if left_s <= 0 or _has_news(pull, update):
                return update
            await self._board.wait(left_s)
            await asyncio.sleep(BUNDLE_S)

    def _update(self, now_s: float, pull: Pull) -> Update:
        board = self._board
        state = board.state
        placement = state.placement
        newer_placement = placement is not None and placement.epoch > pull.placement_epoch
        return Update(
            origin=board.me.incarnation,
            quorum_age_ms=min(NEVER_MS, board.quorum_age_s() * 1000),
            delta=board.store.newer_than(pull.vector, gateways=False),
            live_origins=tuple(board.live_origins(now_s)),
            gateways=board.gateways(now_s),
            configuration_version=state.version,
            configuration=state.packed if state.version > pull.configuration_version else None,
            placement=placement if newer_placement else None,
            server_load=board.load(now_s) if pull.me.role is NodeRole.GATEWAY else {},
            controls=board.peers.addresses(),
        )


def _has_news(pull: Pull, update: Update) -> bool:
    return (
        not update.delta.empty
        or update.configuration is not None
        or update.placement is not None
        or update.gateways != pull.gateways
    )
