"""Mutations of the control plane that the checks of the simulator must detect."""

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
from emberring.distribution.records import ServerState
from emberring.distribution.sources import SourceSelector
from emberring.distribution.view import FollowerView
from emberring.errors import VersionConflictError
from emberring.register.acceptor import Acceptor
from emberring.register.catch_up import CatchUp
from emberring.register.model import Proposal, ReplicaSet, State
from emberring.register.proposal_loop import ProposalLoop
from emberring.registry.servers import ServerRegistry
from emberring.simulation.control_plane import network
from emberring.simulation.control_plane.control_machine import ControlMachine, HostedRegister
from emberring.transport.messages import Envelope, decode, encode


class Mutation(Enum):
    """A fault seeded into the code of the control plane; each of the first four guarantees is covered."""

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
    ENCODES_NO_DRAIN = "encodes-no-drain"
    ORDERS_BY_ARRIVAL = "orders-by-arrival"


async def _read_from_memory(self: HostedRegister, timeout_s: float) -> bytes | None:
    return self._machine._last_learned


_decide = ProposalLoop._decide


def _decide_including_queued_jobs(self: ProposalLoop, found: Proposal, committed: bool) -> State:
    self._in_attempt.extend(self._queued)
    self._queued.clear()
    return _decide(self, found, committed)


def _always_replicated(self: HeartbeatHandler, now_s: float, server_id: str) -> bool:
    return True


_answered = SourceSelector.answered


def _answered_whatever_its_quorum(
    self: SourceSelector, now_s: float, address: str, quorum_age_s: float
) -> None:
    _answered(self, now_s, address, 0.0)


_apply_update = FollowerView.apply_update


def _apply_older(self: FollowerView, now_s: float, update: Any, *rest: Any) -> bool:
    if update.configuration_version < self.configuration_version:
        self.configuration_version = 0  # makes the next received version count as newer
    return _apply_update(self, now_s, update, *rest)


_with_configuration = ControlState.with_configuration


def _with_last_digest_alone(self: ControlState, version: int, document: bytes, digest: bytes) -> ControlState:
    return attrs.evolve(_with_configuration(self, version, document, digest), accepted_digests=(digest,))


_judge = change_requests.evaluate


def _judge_without_comparison(
    state: ControlState, request: change_requests.ChangeRequest
) -> change_requests.Accepted | change_requests.Rejected:
    if request.digest not in state.accepted_digests and request.version > state.version:
        request = attrs.evolve(request, base_version=state.version)
    return _judge(state, request)


_configure = operator_requests.OperatorRequests.configure


async def _configure_by_memory(
    self: Any, kind: change_requests.ChangeRequestKind, if_match: str | None, body: bytes
) -> int:
    request = change_requests.read_change_request(kind, if_match, body)
    outcome = _judge(self._cluster_state.state, request)
    if isinstance(outcome, change_requests.Rejected) and isinstance(outcome.error, VersionConflictError):
        raise outcome.error
    return await _configure(self, kind, if_match, body)


def _quorum_of_members(self: ReplicaSet, identities: frozenset[str]) -> bool:
    group = frozenset(member.identity for member in self.members)
    return 2 * len(group & identities) > len(group)


def _reclaim_without_snapshot(self: ControlMachine) -> None:
    ring = self._ring
    if ring is None:
        return
    while ring.reclaim_needed and ring.oldest is not None:
        ring.release(ring.oldest)


def _ignore_announcement(self: CatchUp, *_: object) -> None:
    return


_restore = Acceptor.restore


def _restore_without_promise(self: Acceptor, payload: bytes) -> None:
    _restore(self, payload)
    self.promised = None if self.accepted is None else self.accepted.number


def _without_drains(body: Any) -> Any:
    line = encode(Envelope(1, body)).replace(b'"draining"', b'"ready"')
    return decode(line.rstrip(b"\n")).body


def _gone_by_arrival(self: ServerRegistry, now_s: float, record: Any, known: Any) -> list[Any]:
    """Take an unknown server for newer than all others at its address that have been silent for a second."""
    return [
        attrs.evolve(other, state=ServerState.GONE)
        for other in known.values()
        if other.address == record.address
        and other.id != record.id
        and (last_seen := self._last_seen.get(other.id)) is not None
        and now_s - last_seen.received_s > 1.0
    ]


_PATCHES: dict[Mutation, tuple[tuple[Any, str, Callable[..., Any]], ...]] = {
    Mutation.READS_FROM_MEMORY: ((HostedRegister, "read", _read_from_memory),),
    Mutation.LATE_JOBS: ((ProposalLoop, "_decide", _decide_including_queued_jobs),),
    Mutation.LONE_DRAINS: ((HeartbeatHandler, "_is_replicated", _always_replicated),),
    Mutation.KEEPS_WEAK_SOURCES: ((SourceSelector, "answered", _answered_whatever_its_quorum),),
    Mutation.TAKES_OLDER_CONFIGURATION: ((FollowerView, "apply_update", _apply_older),),
    Mutation.FORGETS_DIGESTS: ((ControlState, "with_configuration", _with_last_digest_alone),),
    Mutation.NO_COMPARISON: ((operator_requests, "evaluate", _judge_without_comparison),),
    Mutation.REFUSES_BY_MEMORY: ((operator_requests.OperatorRequests, "configure", _configure_by_memory),),
    Mutation.OLD_SET_ALONE: ((ReplicaSet, "has_quorum", _quorum_of_members),),
    Mutation.REWRITES_WITHOUT_SNAPSHOT: ((ControlMachine, "_reclaim", _reclaim_without_snapshot),),
    Mutation.NEVER_FETCHES: ((CatchUp, "on_announced", _ignore_announcement),),
    Mutation.FORGETS_PROMISES: ((Acceptor, "restore", _restore_without_promise),),
    Mutation.ORDERS_BY_ARRIVAL: ((ServerRegistry, "_silent_at", _gone_by_arrival),),
    Mutation.ENCODES_NO_DRAIN: ((network, "over_wire", _without_drains),),
}


@contextlib.contextmanager
def seeded(mutation: Mutation | None) -> Iterator[None]:
    """Patch the code with this mutation for the duration of the `with` block."""
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in _PATCHES.get(mutation, ()) if mutation is not None else ():
            stack.enter_context(mock.patch.object(owner, name, replacement))
        yield
