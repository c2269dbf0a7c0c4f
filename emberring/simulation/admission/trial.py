"""The record of a trial of admission, and the metrics derived from it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

# Value of a request relative to one of mean size: base, share proportional to its size, and maximum.
VALUE_BASE, VALUE_PER_RELATIVE_SIZE, VALUE_MAX = 0.3, 0.7, 4.0
OUTPUT_TOKEN_WEIGHT = 10  # weight of an output token, in prompt tokens
LARGEST_SHARE, SECOND_LARGEST_SHARE = 0.1, 0.2  # of the requests, by size


@attrs.define
class RequestRecord:
    """One request of a client, or one batch item, over all its attempts."""

    kind: str
    batch: bool
    size: float
    arrived_ms: float
    value: float
    late_value: float
    refusals: int = 0
    served: bool = False
    in_time: bool = False
    first_event_ms: float | None = None
    failed_attempts: int = 0


@attrs.define
class TrialRecord:
    """Counters and request records of a trial."""

    requests: list[RequestRecord] = attrs.field(factory=list)
    refusals_with_free_slots: int = 0
    full_answers: int = 0
    busy_ms: dict[str, float] = attrs.field(factory=dict)
    calls: dict[str, int] = attrs.field(factory=dict)
    shared_prefilled: int = 0
    prefilled: int = 0
    preempted: int = 0
    up_ms: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Figures:
    """The metrics of a trial; shares are fractions. Field names are keys of the JSON output."""

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


def figures_of(record: TrialRecord) -> Figures:
    """Return the metrics of a finished trial."""
    live = [one for one in record.requests if not one.batch]
    items = [one for one in record.requests if one.batch]
    firsts = sorted(one.first_event_ms for one in live if one.first_event_ms is not None)
    return Figures(
        live=len(live),
        live_in_aim=_share(live, lambda one: one.in_time),
        live_served=_share(live, lambda one: one.served),
        first_ms_median=_quantile(firsts, 0.5),
        first_ms_99=_quantile(firsts, 0.99),
        items=len(items),
        items_in_time=_share(items, lambda one: one.in_time),
        items_done=_share(items, lambda one: one.served),
        worth=_earned_value(record.requests),
        refused=sum(one.refusals for one in live),
        refused_with_room=record.refusals_with_free_slots,
        full_answers=record.full_answers,
        balance=_balance(record),
        shared_prefilled=record.shared_prefilled,
        preempted=record.preempted,
        largest_served=_largest_served(live),
    )


def _share(requests: Iterable[RequestRecord], fits: Callable[[RequestRecord], bool]) -> float:
    results = [fits(one) for one in requests]
    return sum(results) / len(results) if results else 1.0


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


def _earned_value(requests: list[RequestRecord]) -> float:
    """Return the ratio of earned to possible value, weighted by relative size within each kind."""
    means: dict[str, float] = {}
    for kind in {one.kind for one in requests}:
        sizes = [one.size for one in requests if one.kind == kind]
        means[kind] = sum(sizes) / len(sizes)
    possible = earned = 0.0
    for one in requests:
        factor = min(VALUE_MAX, VALUE_BASE + VALUE_PER_RELATIVE_SIZE * one.size / means[one.kind])
        possible += factor * one.value
        if one.served:
            earned += factor * (one.value if one.in_time else one.late_value)
    return earned / possible if possible else 1.0


def _balance(record: TrialRecord) -> float:
    """Return the ratio of the highest to the mean utilization of servers, excluding servers that were up briefly."""
    longest_ms = max(record.up_ms.values(), default=0.0)
    busy = [
        record.busy_ms[name] / up
        for name, up in record.up_ms.items()
        if up >= 0.5 * longest_ms and name in record.busy_ms
    ]
    return max(busy) / (sum(busy) / len(busy)) if busy and sum(busy) > 0.0 else 1.0


def _largest_served(live: list[RequestRecord]) -> float:
    """Return the minimum served share of the largest tenth and the next fifth of requests, relative to their kind."""
    least = 1.0
    for kind in {one.kind for one in live}:
        ordered = sorted((one for one in live if one.kind == kind), key=lambda one: -one.size)
        overall = _share(ordered, lambda one: one.served)
        tenth, fifth = (
            int(LARGEST_SHARE * len(ordered)),
            int((LARGEST_SHARE + SECOND_LARGEST_SHARE) * len(ordered)),
        )
        for group in (ordered[:tenth], ordered[tenth:fifth]):
            if group and overall > 0.0:
                least = min(least, _share(group, lambda one: one.served) / overall)
    return least
