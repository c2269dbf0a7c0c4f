"""Handles operators' requests: changes and reads of the configuration, retirements of stores.

Each ends within the operator's timeout of one second. If the outcome of a change is unknown, the error says so and the
operator retries the request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from emberring.configuration.change_requests import (
    Accepted,
    ChangeRequest,
    ChangeRequestKind,
    Rejected,
    evaluate,
    read_change_request,
)
from emberring.configuration.state import ControlState
from emberring.control.cluster_state import ClusterState
from emberring.control.register_port import Register
from emberring.distribution.records import NodeRole
from emberring.errors import ConflictError, NotFoundError, NotReadyError
from emberring.logs import get_logger
from emberring.placement.model import finish_move
from emberring.placement.retirement import begin_retire, retire_state

REQUEST_TIMEOUT_S = 0.8
NO_MAJORITY_TIMEOUT_S = 0.25  # without a majority in contact: the operator retries sooner at another node
MAJORITY_LOST_AFTER_S = 1.2  # after this long without a majority, `NO_MAJORITY_TIMEOUT_S` applies
LARGE_BODY_BYTES = 256 * 1024
LARGE_TIMEOUT_S = 1.6  # operators use a longer timeout for large bodies
STABLE_S = 3.0  # a node that started, was partitioned or was frozen more recently may not know all stores

logger = get_logger("control")


class OperatorRequests:
    """Executes operators' requests on the register. `tolerance` is how many stores may fail simultaneously."""

    def __init__(self, register: Register, cluster_state: ClusterState, tolerance: int) -> None:
        self._register = register
        self._cluster_state = cluster_state
        self._tolerance = tolerance

    def _timeout_s(self, body_bytes: int = 0) -> float:
        if self._register.majority_age_s() > MAJORITY_LOST_AFTER_S:
            return NO_MAJORITY_TIMEOUT_S
        return LARGE_TIMEOUT_S if body_bytes > LARGE_BODY_BYTES else REQUEST_TIMEOUT_S

    async def configure(self, kind: ChangeRequestKind, if_match: str | None, body: bytes) -> int:
        """Commit a configuration or a patch, and return its version; a repeat of a committed change succeeds too.

        Raises the error of a rejected request, `NoQuorumError`, or `UnknownOutcomeError`.
        """
        request = read_change_request(kind, if_match, body)
        state = await self._compare_and_swap(
            lambda state: _accepted_state(state, request), self._timeout_s(len(body))
        )
        outcome = evaluate(state, request)  # a quorum stores this value, so a rejection is final
        if isinstance(outcome, Rejected):
            raise outcome.error
        logger.info("event=configuration_taken version=%d current=%d", request.version, state.version)
        return request.version

    async def _compare_and_swap(
        self, next_state: Callable[[ControlState], ControlState | None], timeout_s: float
    ) -> ControlState:
        def decide(value: bytes | None) -> bytes | None:
            state = next_state(ControlState.decode(value))
            return state.encode() if state is not None else None

        return ControlState.decode(await self._register.change(decide, timeout_s))

    async def current_document(self) -> bytes:
        """The complete document of the newest configuration. Raises `NotFoundError` before the first one."""
        state = ControlState.decode(await self._register.read(self._timeout_s()))
        if not state.packed:
            raise NotFoundError("no configuration has been taken yet")
        return state.document

    async def retire(self, name: str) -> str:
        """Begin to retire a store, and return its state. Raises `NotFoundError`, `ConflictError` or `NotReadyError`."""
        loop = asyncio.get_running_loop()
        rejection: list[NotFoundError | ConflictError] = []

        def next_state(state: ControlState) -> ControlState | None:
            rejection.clear()
            live = [
                record
                for record in self._cluster_state.live_nodes(loop.time())
                if record.role is NodeRole.STORE
            ]
            try:
                placement = begin_retire(state.placement, name, live, self._tolerance)
            except (NotFoundError, ConflictError) as error:
                rejection.append(error)
                return None
            return None if placement == state.placement else attrs.evolve(state, placement=placement)

        state = await self._compare_and_swap(next_state, self._timeout_s())
        if rejection:
            self._require_stable_view(state)
            raise rejection[0]
        return retire_state(state.placement, name)

    def _require_stable_view(self, state: ControlState) -> None:
        """Raise `NotReadyError` if this node started, was partitioned or was frozen less than `STABLE_S` ago.

        It may not know all stores then, so a rejection might be wrong. The same applies before the first placement.
        """
        is_stable = self._cluster_state.stable_for_s(asyncio.get_running_loop().time()) > STABLE_S
        if state.placement is None or not is_stable:
            raise NotReadyError("the stores are not all known yet")

    async def retirement(self, name: str) -> str:
        """The state of a store's retirement: `active` or `completed`."""
        state = ControlState.decode(await self._register.read(self._timeout_s()))
        return retire_state(state.placement, name)

    async def on_placement_moved(self, shard: int, epoch: int) -> None:
        """Commit the end of a move: the shard's owner reports that the joining group stores all records."""

        def next_state(state: ControlState) -> ControlState | None:
            if state.placement is None:
                return None
            placement = finish_move(state.placement, shard, epoch)
            return None if placement == state.placement else attrs.evolve(state, placement=placement)

        await self._compare_and_swap(next_state, self._timeout_s())


def _accepted_state(state: ControlState, request: ChangeRequest) -> ControlState | None:
    outcome = evaluate(state, request)
    if isinstance(outcome, Accepted) and not outcome.is_repeat:
        return outcome.state
    return None
