"""Merges two records of one model server. The merge is commutative, associative and idempotent.

A drain or a goodbye is permanent for the server's id, whatever its sequence. Otherwise the record with the higher
sequence wins; at the same sequence `LOST` wins, until a later heartbeat shows that the server is alive.
"""

from __future__ import annotations

import attrs

from emberring.distribution.records import ServerRecord, ServerState

_SHUTDOWN_STAGES = {ServerState.READY: 0, ServerState.LOST: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


def shutdown_stage(state: ServerState) -> int:
    """The stage of a server's shutdown: 0 ready or lost, 1 draining, 2 gone."""
    return _SHUTDOWN_STAGES[state]


def merged(first: ServerRecord, second: ServerRecord) -> ServerRecord:
    """The merge of two records of the same server id."""
    newer, older = (first, second) if _rank(first) >= _rank(second) else (second, first)
    if shutdown_stage(older.state) > shutdown_stage(newer.state):
        return attrs.evolve(newer, state=older.state)
    return newer


def dominates(first: ServerRecord, second: ServerRecord) -> bool:
    """Whether merging in the second record changes neither state nor sequence, so that it may be dropped."""
    joined = merged(first, second)
    return joined.state is first.state and joined.sequence == first.sequence


def _rank(record: ServerRecord) -> tuple[int, bool, int]:
    return (record.sequence, record.state is ServerState.LOST, shutdown_stage(record.state))
