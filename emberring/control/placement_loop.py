"""Plans the placement of shards on stores. Of the live control nodes only the one with the lowest name plans.

Two nodes that consider each other dead may both plan; this is safe, as every plan is committed by compare-and-swap on
the register.
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
# After this long without a majority, or frozen, this node's information about absent stores is stale.
MAJORITY_LOST_AFTER_S = 1.0

logger = get_logger("control")


class PlacementLoop:
    """Compares the placement with the live stores, and changes it if they differ.

    `tolerance` is how many stores may fail simultaneously.
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
        current = self._cluster_state.state.placement
        planned = plan(current, live, now_s, self._tolerance, self._memory)
        if planned is None or planned == current or not self._is_planner(now_s):
            return

        def decide(value: bytes | None) -> bytes | None:
            state = ControlState.decode(value)
            if state.placement != current:
                return None
            return attrs.evolve(state, placement=planned).encode()

        await self._register.change(decide, CHANGE_TIMEOUT_S)
        logger.info("event=placement_changed epoch=%d stores=%d", planned.epoch, len(planned.stores))

    def _is_planner(self, now_s: float) -> bool:
        """Whether this node plans: no live control node with a lower name, other than one shutting down, exists."""
        live = self._cluster_state.live_nodes(now_s)
        names = [record.name for record in live if record.role is NodeRole.CONTROL and not record.leaving]
        return not names or self._cluster_state.me.name <= min(names)
