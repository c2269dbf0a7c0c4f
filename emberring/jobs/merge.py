"""What a new owner makes of the replicas' inventories: for each slot the record of the highest term."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from emberring.jobs.lease import has_quorum
from emberring.jobs.records import TOMBSTONE, JobState, SlotState, Term
from emberring.placement.model import Group


@attrs.frozen
class MergedSlot:
    """The record to adopt, who holds it under its highest term, and whether those are a quorum."""

    state: SlotState
    holders: tuple[str, ...]
    committed: bool


@attrs.frozen
class MergedJob:
    """A batch job's slots, and its greatest known age."""

    age_ms: int
    slots: dict[int, MergedSlot]


Inventories = Mapping[str, Mapping[str, JobState]]


def merge(inventories: Inventories, group: Group) -> dict[str, MergedJob]:
    """The records that an owner of this group recovers, given what a quorum of replicas holds."""
    keys = {key for inventory in inventories.values() for key in inventory}
    quorums: dict[tuple[str, ...], bool] = {}
    return {key: _merge_job(key, inventories, group, quorums) for key in keys}


def _merge_job(
    key: str, inventories: Inventories, group: Group, quorums: dict[tuple[str, ...], bool]
) -> MergedJob:
    held = [(identity, inventory[key]) for identity, inventory in inventories.items() if key in inventory]
    best: dict[int, tuple[SlotState, list[str]]] = {}
    for identity, job in held:
        for slot, state in job.slots.items():
            known = best.get(slot)
            if known is None or state.term > known[0].term:
                best[slot] = (state, [identity])
            elif state.term == known[0].term:
                known[1].append(identity)
    if TOMBSTONE in best:
        best = {TOMBSTONE: best[TOMBSTONE]}
    slots: dict[int, MergedSlot] = {}
    for slot, (state, names) in best.items():
        holders = tuple(names)
        if holders not in quorums:
            quorums[holders] = has_quorum(group, set(holders))
        slots[slot] = MergedSlot(state, holders, quorums[holders])
    return MergedJob(max(job.age_ms for _, job in held), slots)


def duplicate_positions(results: Mapping[int, tuple[Term, int]]) -> set[int]:
    """Positions to be left out: of those that name one item, all but the one of the highest term.

    `results` has the term and the item by position. A committed result is never left out: every owner of a later
    term knows it, so that another position of its item can only be of a lower term.
    """
    best: dict[int, int] = {}
    out: set[int] = set()
    for position, (term, item) in sorted(results.items()):
        other = best.get(item)
        if other is None:
            best[item] = position
        elif term > results[other][0]:
            out.add(other)
            best[item] = position
        else:
            out.add(position)
    return out
