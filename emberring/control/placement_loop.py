"""Plans the placement of shards on one control node at a time: of the live ones, the one with the lowest name.

Two that take each other for dead do no harm, as every plan is committed by compare-and-swap on the register.
"""

from __future__ import annotations

import asyncio

import attrs

from emberring.configuration.state import ControlState
from emberring.control.cluster_state import ClusterState
from emberring.control.register_port import Register
from emberring.distribution.records import NodeRole
from emberring.errors import EmberringError
from emberring.logs import get_logger
from emberring.placement.planning import PlanMemory, plan

PLAN_INTERVAL_S = 0.3
CHANGE_TIMEOUT_S = 1.0
MAJORITY_LOST_AFTER_S = (
    1.0  # after longer without a majority or without running, what this node knows of absences is stale
)

logger = get_logger("control")


class PlacementLoop:
    """Compares the placement with the live stores, and changes it where they differ.

    `tolerance` is how many stores may be lost at once.
    """

    def __init__(self, register: Register, cluster_state: ClusterState, tolerance: int) -> None:
        self._register = register
        self._cluster_state = cluster_state
        self._tolerance = tolerance
        self._memory = PlanMemory()
        self._last_s = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_S)
            try:
                await self._plan_once()
            except EmberringError as error:
                logger.info("event=placement_not_changed error=%s", error.detail)

    async def _plan_once(self) -> None:
        now_s = asyncio.get_running_loop().time()
        gap_s, self._last_s = now_s - self._last_s, now_s
        if (
            gap_s > MAJORITY_LOST_AFTER_S + PLAN_INTERVAL_S
            or self._register.majority_age_s() > MAJORITY_LOST_AFTER_S
        ):
            self._memory = PlanMemory()
            return
        live = self._cluster_state.live_nodes(now_s)
        before = self._cluster_state.state.placement
        wanted = plan(before, live, now_s, self._tolerance, self._memory)
        if wanted is None or wanted == before or not self._is_planner(now_s):
            return

        def decide(value: bytes | None) -> bytes | None:
            state = ControlState.decode(value)
            if state.placement != before:
                return None
            return attrs.evolve(state, placement=wanted).encode()

        await self._register.change(decide, CHANGE_TIMEOUT_S)
        logger.info("event=placement_changed epoch=%d stores=%d", wanted.epoch, len(wanted.stores))

    def _is_planner(self, now_s: float) -> bool:
        """Whether this node plans now: no live control node that stays has a lower name."""
        live = self._cluster_state.live_nodes(now_s)
        names = [record.name for record in live if record.role is NodeRole.CONTROL and not record.leaving]
        return not names or self._cluster_state.me.name <= min(names)
