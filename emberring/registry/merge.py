"""Merges two records of one model server: a join, so that order and repeats do not matter.

A drain or a goodbye sticks to the server's id, whatever its sequence. Of the rest the higher sequence wins; at
the same sequence `LOST` wins, until a later heartbeat shows that the server lives.
"""

from __future__ import annotations

import attrs

from emberring.distribution.records import ServerRecord, ServerState

_LEVEL = {ServerState.READY: 0, ServerState.LOST: 0, ServerState.DRAINING: 1, ServerState.GONE: 2}


def level(state: ServerState) -> int:
    """How far a server has ended: 0 ready or lost, 1 draining, 2 gone."""
    return _LEVEL[state]


def merged(first: ServerRecord, second: ServerRecord) -> ServerRecord:
    """The join of two records of the same server id."""
    newer, older = (first, second) if _rank(first) >= _rank(second) else (second, first)
    if level(older.state) > level(newer.state):
        return attrs.evolve(newer, state=older.state)
    return newer


def dominates(first: ServerRecord, second: ServerRecord) -> bool:
    """Whether the first record includes all of the second, so that the second need not be kept."""
    joined = merged(first, second)
    return joined.state is first.state and joined.sequence == first.sequence


def _rank(record: ServerRecord) -> tuple[int, bool, int]:
    return (record.sequence, record.state is ServerState.LOST, level(record.state))
