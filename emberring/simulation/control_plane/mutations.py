"""Known mistakes to seed into the simulated control plane, so that its checks can be shown to find them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any
from unittest import mock

import attrs

from emberring.configuration import change_requests
from emberring.configuration.state import ControlState
from emberring.control import operator_requests
from emberring.control.heartbeat_handler import HeartbeatHandler
from emberring.distribution.sources import SourceChoice
from emberring.distribution.view import FollowerView
from emberring.errors import VersionConflictError
from emberring.register.acceptor import Acceptor
from emberring.register.catch_up import CatchUp
from emberring.register.model import Proposal, ReplicaSet, State
from emberring.register.proposal_loop import ProposalLoop
from emberring.simulation.control_plane.control_machine import ControlMachine, HostedRegister


class Mistake(Enum):
    """The letter's points 1 to 4, some mistakes for each."""

    READS_FROM_MEMORY = "reads-from-memory"
    LATE_JOBS = "late-jobs"
    LONE_DRAINS = "lone-drains"
    KEEPS_WEAK_SOURCES = "keeps-weak-sources"
    TAKES_OLDER_CONFIGURATION = "takes-older-configuration"
    FORGETS_DIGESTS = "forgets-digests"
    NO_COMPARISON = "no-comparison"
    REFUSES_BY_MEMORY = "refuses-by-memory"
    OLD_SET_ALONE = "old-set-alone"
    KEEPS_IDENTITY = "keeps-identity"
    MOVES_WITHOUT_COPY = "moves-without-copy"
    UNSYNCED = "unsynced"
    REWRITES_WITHOUT_SNAPSHOT = "rewrites-without-snapshot"
    NEVER_FETCHES = "never-fetches"
    FORGETS_PROMISES = "forgets-promises"


async def _read_from_memory(self: HostedRegister, timeout_s: float) -> bytes | None:
    return self._machine._last_learned


_decide = ProposalLoop._decide


def _decide_with_late_jobs(self: ProposalLoop, found: Proposal, committed: bool) -> State:
    self._in_attempt.extend(self._queued)
    self._queued.clear()
    return _decide(self, found, committed)


def _held_alone(self: HeartbeatHandler, now_s: float, server_id: str) -> bool:
    return True


_answered = SourceChoice.answered


def _answered_whatever_its_quorum(
    self: SourceChoice, now_s: float, address: str, quorum_age_s: float
) -> None:
    _answered(self, now_s, address, 0.0)


_take = FollowerView.take


def _take_older(self: FollowerView, now_s: float, update: Any, *rest: Any) -> bool:
    if update.configuration_version < self.configuration_version:
        self.configuration_version = 0  # so that what it is told next counts as newer
    return _take(self, now_s, update, *rest)


_with_configuration = ControlState.with_configuration


def _with_last_digest_alone(self: ControlState, version: int, document: bytes, digest: bytes) -> ControlState:
    return attrs.evolve(_with_configuration(self, version, document, digest), taken=(digest,))


_judge = change_requests.judge


def _judge_without_comparison(
    state: ControlState, order: change_requests.ChangeRequest
) -> change_requests.Taken | change_requests.Refused:
    if order.digest not in state.taken and order.version > state.version:
        order = attrs.evolve(order, base=state.version)
    return _judge(state, order)


_configure = operator_requests.OperatorRequests.configure


async def _configure_by_memory(
    self: Any, kind: change_requests.ChangeRequestKind, if_match: str | None, body: bytes
) -> int:
    order = change_requests.read_change_request(kind, if_match, body)
    outcome = _judge(self._board.state, order)
    if isinstance(outcome, change_requests.Refused) and isinstance(outcome.error, VersionConflictError):
        raise outcome.error
    return await _configure(self, kind, if_match, body)


def _quorum_of_members(self: ReplicaSet, identities: frozenset[str]) -> bool:
    group = frozenset(member.identity for member in self.members)
    return 2 * len(group & identities) > len(group)


def _reclaim_without_snapshot(self: ControlMachine) -> None:
    ring = self._ring
    if ring is None:
        return
    while ring.crowded and ring.oldest is not None:
        ring.release(ring.oldest)


def _never_hears(self: CatchUp, *_: object) -> None:
    return


_restore = Acceptor.restore


def _restore_without_promise(self: Acceptor, payload: bytes) -> None:
    _restore(self, payload)
    self.promised = None if self.accepted is None else self.accepted.number


_PATCHES: dict[Mistake, tuple[tuple[Any, str, Callable[..., Any]], ...]] = {
    Mistake.READS_FROM_MEMORY: ((HostedRegister, "read", _read_from_memory),),
    Mistake.LATE_JOBS: ((ProposalLoop, "_decide", _decide_with_late_jobs),),
    Mistake.LONE_DRAINS: ((HeartbeatHandler, "_held", _held_alone),),
    Mistake.KEEPS_WEAK_SOURCES: ((SourceChoice, "answered", _answered_whatever_its_quorum),),
    Mistake.TAKES_OLDER_CONFIGURATION: ((FollowerView, "take", _take_older),),
    Mistake.FORGETS_DIGESTS: ((ControlState, "with_configuration", _with_last_digest_alone),),
    Mistake.NO_COMPARISON: ((operator_requests, "judge", _judge_without_comparison),),
    Mistake.REFUSES_BY_MEMORY: ((operator_requests.OperatorRequests, "configure", _configure_by_memory),),
    Mistake.OLD_SET_ALONE: ((ReplicaSet, "has_quorum", _quorum_of_members),),
    Mistake.REWRITES_WITHOUT_SNAPSHOT: ((ControlMachine, "_reclaim", _reclaim_without_snapshot),),
    Mistake.NEVER_FETCHES: ((CatchUp, "on_announced", _never_hears),),
    Mistake.FORGETS_PROMISES: ((Acceptor, "restore", _restore_without_promise),),
}


@contextlib.contextmanager
def seeded(mistake: Mistake | None) -> Iterator[None]:
    """The program with this mistake in it, for as long as this lasts."""
    with contextlib.ExitStack() as stack:
        for owner, name, wrong in _PATCHES.get(mistake, ()) if mistake is not None else ():
            stack.enter_context(mock.patch.object(owner, name, wrong))
        yield
