"""When a store claims a shard, and under which term."""

from __future__ import annotations

import random

from emberring.jobs.records import Term
from emberring.jobs.replica import REPLICA_LEASE_S, Replica
from emberring.placement.model import Group, in_order

RANK_DELAY_S = 0.25  # each store waits so much longer than the one before it in the order
CLAIM_BACKOFF_S = (0.05, 0.25)  # bounds of the random wait after a stage was left without success
FIRST_EPOCH = 1  # of a group's lifetime, when all its replicas are empty


class ClaimSchedule:
    """Order and backoff of the claims of one store for one shard.

    Parameters: `identity` of the store's disk, the store's own `replica` of the shard, and the `seed` of the backoff.
    """

    def __init__(self, identity: str, replica: Replica, seed: int) -> None:
        self._identity = identity
        self._replica = replica
        self._random = random.Random(seed)
        self._highest_counter = 0
        self._not_before_s = 0.0

    def observe(self, term: Term) -> None:
        """Take note of a term that a replica has promised: the next claim is above it."""
        self._highest_counter = max(self._highest_counter, term.counter)

    def next_term(self, epoch: int, current: Term) -> Term:
        """Return a term above all that are known here."""
        known = max(self._highest_counter, self._replica.promised.counter, current.counter)
        self._highest_counter = known + 1
        return Term(epoch, self._highest_counter, self._identity)

    def joined(self, now_s: float, group: Group) -> None:
        """Take note that this store is a replica of the group from now on."""
        self._not_before_s = now_s + (REPLICA_LEASE_S if self._may_miss_lease(group) else 0.0)

    def _may_miss_lease(self, group: Group) -> bool:
        """Whether this replica knows of no lease although one may be active."""
        empty = group.epoch > FIRST_EPOCH and not self._replica.owner
        return empty or self._identity not in group.members

    def back_off(self, now_s: float) -> None:
        """Delay the next claim by a random time within `CLAIM_BACKOFF_S`."""
        self._not_before_s = now_s + self._random.uniform(*CLAIM_BACKOFF_S)

    def earliest_claim_s(self, group: Group, live: set[str]) -> float:
        """Return when this store may claim the shard, given the identities of the `live` stores."""
        order = self._claim_order(group)
        before = order[: order.index(self._identity)]
        # Whoever held the lease last has let it expire or released it: it is not waited for.
        rank = sum(1 for identity in before if identity in live and identity != self._replica.owner)
        return max(self._not_before_s, self._replica.lease_until_s) + rank * RANK_DELAY_S

    @staticmethod
    def _claim_order(group: Group) -> list[str]:
        """Members that stay in the group come first, then all others."""
        remaining = group.joining or group.members
        staying = [identity for identity in group.members if identity in remaining]
        order = in_order(group.shard, staying)
        return order + [
            identity for identity in in_order(group.shard, group.everyone) if identity not in order
        ]
