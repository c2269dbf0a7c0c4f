"""Faults seeded into the simulated stores that the checks must detect."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from unittest import mock

import attrs

from emberring.jobs import merge, owner, owner_recovery, replication
from emberring.jobs.messages import LeaseRenewal, ShardLease, WriteSlots
from emberring.jobs.owner import ShardOwner
from emberring.jobs.records import NO_TERM
from emberring.jobs.replica import Replica, ReplicaAction
from emberring.placement.model import Group, quorum


@attrs.frozen
class Mutations:
    """Seeded mutations.

    `tokenless`: replicas accept writes and lease renewals of any term. `shows_early`: results become visible
    before they are committed. `unsynced`: replicas confirm writes before the disk has synced. `keeps_identity`:
    a store reuses its identity after the loss of its disk. `doubles`: a new owner keeps one item at two positions.
    `single_quorum`: a change of the group requires a quorum of the next members only. `endless_lease`: the lease of
    an owner never expires. `polls_without_services`: gateways poll for items of any service.
    """

    tokenless: bool = False
    shows_early: bool = False
    unsynced: bool = False
    keeps_identity: bool = False
    doubles: bool = False
    single_quorum: bool = False
    endless_lease: bool = False
    polls_without_services: bool = False


class _TokenlessReplica(Replica):
    """Accepts every write and lease renewal, regardless of the promised term."""

    def _on_write(self, now_s: float, call: int, message: WriteSlots) -> list[ReplicaAction]:
        promised, self.promised = self.promised, NO_TERM
        actions = super()._on_write(now_s, call, message)
        self.promised = max(promised, self.promised)
        return actions

    def renew_lease(self, now_s: float, lease: ShardLease) -> tuple[LeaseRenewal, list[ReplicaAction]]:
        return LeaseRenewal(self.shard, True, lease.term, self.digest), []


class _EndlessOwner(ShardOwner):
    def serving(self, now_s: float) -> bool:
        return super().serving(now_s) or (self._announced and self.group is not None)


def make_replica(mutations: Mutations, shard: int) -> Replica:
    """Return a replica, with its mutation if one is set."""
    return _TokenlessReplica(shard) if mutations.tokenless else Replica(shard)


def make_owner(mutations: Mutations, me: str, replica: Replica, seed: int) -> ShardOwner:
    """Return an owner, with its mutation if one is set."""
    return _EndlessOwner(me, replica, seed) if mutations.endless_lease else ShardOwner(me, replica, seed)


def _quorum_of_next_members(group: Group, identities: set[str]) -> bool:
    members = group.joining or group.members
    return len(identities.intersection(members)) >= quorum(members)


@contextlib.contextmanager
def seeded(mutations: Mutations) -> Iterator[None]:
    """Patch the functions that mutations replace for the duration of the `with` block."""
    with contextlib.ExitStack() as stack:
        if mutations.doubles:
            stack.enter_context(mock.patch.object(owner_recovery, "duplicate_positions", return_value=set()))
        if mutations.single_quorum:
            for module in (merge, owner, replication):
                stack.enter_context(mock.patch.object(module, "has_quorum", _quorum_of_next_members))
        yield
