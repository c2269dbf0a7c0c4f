"""Schedule of a store's claims for a shard: when the next one is sent, and under which term."""

from __future__ import annotations

import random

from emberring.jobs.records import Term
from emberring.jobs.replica import REPLICA_LEASE_S, Replica
from emberring.placement.model import Group, sort_by_preference

RANK_DELAY_S = 0.25  # additional delay for each live store that precedes this one in the claim order
CLAIM_BACKOFF_S = (0.05, 0.25)  # bounds of the random delay after a claim or an ownership has ended
FIRST_EPOCH = 1  # first epoch of a group; all its replicas are empty when it begins


class ClaimSchedule:
    """Terms, order and backoff of the claims of one store for one shard.

    Parameters: `identity` of the store's disk, the store's own `replica` of the shard, and the `seed` of the backoff.
    """

    def __init__(self, identity: str, replica: Replica, seed: int) -> None:
        self._identity = identity
        self._replica = replica
        self._random = random.Random(seed)
        self._highest_counter = 0
        self._not_before_s = 0.0

    def observe(self, term: Term) -> None:
        """Record a term that a replica has promised: the next claim uses a higher one."""
        self._highest_counter = max(self._highest_counter, term.counter)

    def next_term(self, epoch: int, current: Term) -> Term:
        """Return a term that is higher than all terms known to this store."""
        known = max(self._highest_counter, self._replica.promised.counter, current.counter)
        self._highest_counter = known + 1
        return Term(epoch, self._highest_counter, self._identity)

    def on_joined_group(self, now_s: float, group: Group) -> None:
        """Handle that this store has become a replica of the group: its first claim waits until old leases expire."""
        self._not_before_s = now_s + (REPLICA_LEASE_S if self._may_miss_lease(group) else 0.0)

    def _may_miss_lease(self, group: Group) -> bool:
        """Whether another owner may have an active lease of which this replica has no record."""
        has_no_record = group.epoch > FIRST_EPOCH and not self._replica.owner
        return has_no_record or self._identity not in group.members

    def back_off(self, now_s: float) -> None:
        """Delay the next claim by a random time within `CLAIM_BACKOFF_S`."""
        self._not_before_s = now_s + self._random.uniform(*CLAIM_BACKOFF_S)

    def earliest_claim_s(self, group: Group, live: set[str]) -> float:
        """Return the earliest time of this store's next claim; `live` are the identities of the stores in contact."""
        order = self._claim_order(group)
        preceding = order[: order.index(self._identity)]
        # The last owner is not counted: its lease has expired or was released, so it would only delay the others.
        rank = sum(1 for identity in preceding if identity in live and identity != self._replica.owner)
        return max(self._not_before_s, self._replica.lease_until_s) + rank * RANK_DELAY_S

    @staticmethod
    def _claim_order(group: Group) -> list[str]:
        """Return the identities of the group's replicas: members that stay in the group first, then all others."""
        remaining = group.joining or group.members
        staying = [identity for identity in group.members if identity in remaining]
        order = sort_by_preference(group.shard, staying)
        return order + [
            identity for identity in sort_by_preference(group.shard, group.everyone) if identity not in order
        ]
