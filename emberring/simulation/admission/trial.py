"""What a trial of admission counts, and the figures drawn from it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

SIZE_BASE, SIZE_PART, SIZE_MOST = 0.3, 0.7, 4.0
OUT_WEIGHT = 10  # tokens out count as so many tokens in
LARGEST, NEXT = 0.1, 0.2  # the largest tenth and the fifth below it


@attrs.define
class Asked:
    """One request of a client, or one item of a lot, over all its tries."""

    kind: str
    batch: bool
    size: float
    asked_ms: float
    worth: float
    late_worth: float
    refusals: int = 0
    served: bool = False
    in_time: bool = False
    first_ms: float | None = None
    broken: int = 0


@attrs.define
class Tally:
    """Everything that a trial has seen."""

    asked: list[Asked] = attrs.field(factory=list)
    refusals_with_room: int = 0
    full_answers: int = 0
    busy_ms: dict[str, float] = attrs.field(factory=dict)
    calls: dict[str, int] = attrs.field(factory=dict)
    shared_prefilled: int = 0
    prefilled: int = 0
    preempted: int = 0
    up_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Figures:
    """What a trial showed; shares are of 1."""

    live: int
    live_in_aim: float
    live_served: float
    first_ms_median: float
    first_ms_99: float
    items: int
    items_in_time: float
    items_done: float
    worth: float
    refused: int
    refused_with_room: int
    full_answers: int
    balance: float
    shared_prefilled: int
    preempted: int
    largest_served: float


def figures_of(tally: Tally) -> Figures:
    """The figures of a finished trial."""
    live = [one for one in tally.asked if not one.batch]
    items = [one for one in tally.asked if one.batch]
    firsts = sorted(one.first_ms for one in live if one.first_ms is not None)
    return Figures(
        live=len(live),
        live_in_aim=_share(live, lambda one: one.in_time),
        live_served=_share(live, lambda one: one.served),
        first_ms_median=_at(firsts, 0.5),
        first_ms_99=_at(firsts, 0.99),
        items=len(items),
        items_in_time=_share(items, lambda one: one.in_time),
        items_done=_share(items, lambda one: one.served),
        worth=_worth(tally.asked),
        refused=sum(one.refusals for one in live),
        refused_with_room=tally.refusals_with_room,
        full_answers=tally.full_answers,
        balance=_balance(tally),
        shared_prefilled=tally.shared_prefilled,
        preempted=tally.preempted,
        largest_served=_largest(live),
    )


def _share(asked: Iterable[Asked], fits: Callable[[Asked], bool]) -> float:
    told = [fits(one) for one in asked]
    return sum(told) / len(told) if told else 1.0


def _at(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def _worth(asked: list[Asked]) -> float:
    """Worth earned over worth owed, by size within each kind."""
    means: dict[str, float] = {}
    for kind in {one.kind for one in asked}:
        sizes = [one.size for one in asked if one.kind == kind]
        means[kind] = sum(sizes) / len(sizes)
    owed = earned = 0.0
    for one in asked:
        factor = min(SIZE_MOST, SIZE_BASE + SIZE_PART * one.size / means[one.kind])
        owed += factor * one.worth
        if one.served:
            earned += factor * (one.worth if one.in_time else one.late_worth)
    return earned / owed if owed else 1.0


def _balance(tally: Tally) -> float:
    """The busiest server's part of its time at work, over the mean of all; servers that were up briefly don't
    count."""
    whole = max(tally.up_ms.values(), default=0.0)
    busy = [
        tally.busy_ms[name] / up
        for name, up in tally.up_ms.items()
        if up >= 0.5 * whole and name in tally.busy_ms
    ]
    return max(busy) / (sum(busy) / len(busy)) if busy and sum(busy) > 0.0 else 1.0


def _largest(live: list[Asked]) -> float:
    """The least share served among the largest tenth and the fifth below it, over that of its kind."""
    least = 1.0
    for kind in {one.kind for one in live}:
        ordered = sorted((one for one in live if one.kind == kind), key=lambda one: -one.size)
        whole = _share(ordered, lambda one: one.served)
        tenth, fifth = int(LARGEST * len(ordered)), int((LARGEST + NEXT) * len(ordered))
        for group in (ordered[:tenth], ordered[tenth:fifth]):
            if group and whole > 0.0:
                least = min(least, _share(group, lambda one: one.served) / whole)
    return least
