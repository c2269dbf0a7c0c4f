"""Order in which the items of several shards are leased to a gateway."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence

from emberring.jobs.calls import Assignment
from emberring.jobs.job_manager import JobManager
from emberring.jobs.lease_budget import LeaseBudget


def lease_in_order(now_s: float, managers: Sequence[JobManager], budget: LeaseBudget) -> Iterator[Assignment]:
    """Lease items of these job managers until the budget is exhausted, always the one that is to run first of all.

    Without a common order the items of one shard would wait until none is left in those before it.
    """
    ranked = [
        (rank, number)
        for number, manager in enumerate(managers)
        if (rank := manager.next_rank(now_s, budget)) is not None
    ]
    heapq.heapify(ranked)
    while ranked:
        _, number = ranked[0]
        item = managers[number].lease_item(now_s, budget)
        rank = managers[number].next_rank(now_s, budget) if item is not None else None
        if rank is None:
            heapq.heappop(ranked)
        else:
            heapq.heapreplace(ranked, (rank, number))
        if item is not None:
            yield item
