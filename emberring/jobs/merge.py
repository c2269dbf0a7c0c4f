"""Merge of the inventories of replicas by a new owner: for each slot, the record with the highest term."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from emberring.jobs.lease import has_quorum
from emberring.jobs.records import TOMBSTONE, JobState, SlotState, Term
from emberring.placement.model import Group


@attrs.frozen
class MergedSlot:
    """The record of a slot with the highest term; `holders` are the replicas that have it.

    `committed`: these are a quorum.
    """

    state: SlotState
    holders: tuple[str, ...]
    committed: bool


@attrs.frozen
class MergedJob:
    """The merged slots of a batch job, and the greatest age that a replica reports."""

    age_ms: int
    slots: dict[int, MergedSlot]


Inventories = Mapping[str, Mapping[str, JobState]]


def merge(inventories: Inventories, group: Group) -> dict[str, MergedJob]:
    """Return the records that a new owner of this group recovers from the inventories of a quorum."""
    # A dict and not a set: the order of a set of strings differs between processes.
    keys = dict.fromkeys(key for inventory in inventories.values() for key in inventory)
    quorums: dict[tuple[str, ...], bool] = {}
    return {key: _merge_job(key, inventories, group, quorums) for key in keys}


def _merge_job(
    key: str, inventories: Inventories, group: Group, quorums: dict[tuple[str, ...], bool]
) -> MergedJob:
    states = [(identity, inventory[key]) for identity, inventory in inventories.items() if key in inventory]
    highest_by_slot: dict[int, tuple[SlotState, list[str]]] = {}
    for identity, job in states:
        for slot, state in job.slots.items():
            highest = highest_by_slot.get(slot)
            if highest is None or state.term > highest[0].term:
                highest_by_slot[slot] = (state, [identity])
            elif state.term == highest[0].term:
                highest[1].append(identity)
    if TOMBSTONE in highest_by_slot:
        highest_by_slot = {TOMBSTONE: highest_by_slot[TOMBSTONE]}
    slots: dict[int, MergedSlot] = {}
    for slot, (state, names) in highest_by_slot.items():
        holders = tuple(names)
        if holders not in quorums:
            quorums[holders] = has_quorum(group, set(holders))
        slots[slot] = MergedSlot(state, holders, quorums[holders])
    return MergedJob(max(job.age_ms for _, job in states), slots)


def duplicate_positions(results: Mapping[int, tuple[Term, int]]) -> set[int]:
    """Return the positions to leave out: of all positions of the same item, only the one with the highest term stays.

    `results` has the term and the item by position. A committed result always stays: every owner of a later
    term knows it, so another position of the same item can only have a lower term.
    """
    position_by_item: dict[int, int] = {}
    duplicates: set[int] = set()
    for position, (term, item) in sorted(results.items()):
        other = position_by_item.get(item)
        if other is None:
            position_by_item[item] = position
        elif term > results[other][0]:
            duplicates.add(other)
            position_by_item[item] = position
        else:
            duplicates.add(position)
    return duplicates
