"""The placement of shards: first placement, successors of lost disks, moves, retirement."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import ConflictError, NotFoundError
from emberring.placement.model import SHARDS, Group, Placement, finish_move, shard_of, sort_by_preference
from emberring.placement.planning import (
    FIRST_PLACEMENT_DELAY_S,
    FIRST_PLACEMENT_TIMEOUT_S,
    MAX_ABSENCE_S,
    MAX_ABSENCE_WITH_NEW_STORE_S,
    PlanMemory,
    plan,
)
from emberring.placement.retirement import begin_retire, retire_state


def store(name: str, identity: str = "", zone: str = "", address: str = "") -> NodeRecord:
    return NodeRecord(
        name, NodeRole.STORE, address or f"{name}:1", zone or f"zone-{name}", identity or f"id-{name}"
    )


def stores(*names: str) -> list[NodeRecord]:
    return [store(name) for name in names]


def first_placement(live: list[NodeRecord], memory: PlanMemory | None = None) -> Placement:
    memory = memory or PlanMemory()
    assert plan(None, live, 0.0, 1, memory) is None
    placement = plan(None, live, FIRST_PLACEMENT_DELAY_S, 1, memory)
    assert placement is not None
    return placement


def finish_all(placement: Placement) -> Placement:
    for group in placement.groups:
        placement = finish_move(placement, group.shard, group.epoch)
    return placement


def test_the_first_placement_waits_for_enough_stores_and_spreads_over_zones() -> None:
    memory = PlanMemory()
    assert plan(None, stores("a", "b"), 0.0, 1, memory) is None
    assert plan(None, stores("a", "b"), FIRST_PLACEMENT_TIMEOUT_S - 0.1, 1, memory) is None
    small_placement = plan(None, stores("a", "b"), FIRST_PLACEMENT_TIMEOUT_S, 1, memory)
    assert small_placement is not None
    assert all(len(group.members) == 2 for group in small_placement.groups)
    live = [store("a", zone="x"), store("b", zone="x"), store("c", zone="y"), store("d", zone="z")]
    placement = first_placement(live)
    assert len(placement.groups) == SHARDS
    for group in placement.groups:
        assert {placement.stores[identity].zone for identity in group.members} == {"x", "y", "z"}


def test_nothing_changes_while_all_stores_are_live() -> None:
    memory = PlanMemory()
    live = stores("a", "b", "c", "d")
    placement = first_placement(live, memory)
    for step in range(20):
        assert plan(placement, live, 1.0 + step, 1, memory) is placement


def test_a_lost_disk_has_a_successor_without_delay() -> None:
    memory = PlanMemory()
    placement = first_placement(stores("a", "b", "c"), memory)
    live = [store("a"), store("b"), store("c", identity="id-c2")]
    changed = plan(placement, live, 1.0, 1, memory)
    assert changed is not None
    for group in changed.groups:
        assert set(group.members) == {"id-a", "id-b", "id-c"}
        assert set(group.joining) == {"id-a", "id-b", "id-c2"}
    moved = finish_all(changed)
    assert all(set(group.members) == {"id-a", "id-b", "id-c2"} for group in moved.groups)
    assert plan(moved, live, 2.0, 1, memory).stores.keys() == {"id-a", "id-b", "id-c2"}  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("spare_is_new", "absent_s", "replaced"),
    [
        (True, MAX_ABSENCE_WITH_NEW_STORE_S - 0.1, False),
        (True, MAX_ABSENCE_WITH_NEW_STORE_S, True),
        (False, MAX_ABSENCE_S - 0.1, False),
        (False, MAX_ABSENCE_S, True),
    ],
)
def test_an_absent_store_is_replaced_by_a_spare(spare_is_new: bool, absent_s: float, replaced: bool) -> None:
    memory = PlanMemory()
    names = ("a", "b", "c") if spare_is_new else ("a", "b", "c", "d")
    placement = first_placement(stores(*names), memory)
    assert plan(placement, stores(*names), 20.0, 1, memory) is placement
    changed = plan(placement, stores("a", "b", "d"), 20.0 + absent_s, 1, memory)
    assert changed is not None
    group = next(group for group in changed.groups if "id-c" in group.members)
    assert (set(group.joining) == {"id-a", "id-b", "id-d"}) is replaced


def test_a_move_is_cancelled_when_the_absent_store_returns() -> None:
    memory = PlanMemory()
    placement = first_placement(stores("a", "b", "c"), memory)
    moving = plan(placement, stores("a", "b", "d"), 10.0, 1, memory)
    assert moving is not None
    assert moving.groups[0].joining
    returned = plan(moving, stores("a", "b", "c"), 10.5, 1, memory)
    assert returned is not None
    assert returned.groups[0] == Group(0, moving.groups[0].epoch + 1, placement.groups[0].members)


def test_without_a_spare_an_absent_store_stays_a_member() -> None:
    memory = PlanMemory()
    placement = first_placement(stores("a", "b", "c"), memory)
    assert plan(placement, stores("a", "b"), 60.0, 1, memory) is placement


def test_a_store_is_retired_once_its_shards_have_moved() -> None:
    memory = PlanMemory()
    live = stores("a", "b", "c", "d")
    placement = first_placement(live, memory)
    with pytest.raises(NotFoundError):
        begin_retire(placement, "nobody", live)
    with pytest.raises(NotFoundError):
        begin_retire(None, "a", live)
    with pytest.raises(NotFoundError):
        retire_state(placement, "a")
    retiring = begin_retire(placement, "a", live)
    assert begin_retire(retiring, "a", live) is retiring
    assert retire_state(retiring, "a") == "active"
    with pytest.raises(ConflictError):
        begin_retire(retiring, "b", live)
    changed = plan(retiring, live, 1.0, 1, memory)
    assert changed is not None
    assert retire_state(changed, "a") == "active"
    retired = plan(finish_all(changed), live, 2.0, 1, memory)
    assert retired is not None
    assert retire_state(retired, "a") == "completed"
    assert not any("id-a" in group.everyone for group in retired.groups)
    assert begin_retire(retired, "a", live) is retired


def test_a_retirement_that_leaves_too_few_stores_is_rejected() -> None:
    live = stores("a", "b", "c")
    with pytest.raises(ConflictError):
        begin_retire(first_placement(live), "a", live)


def test_a_machine_with_a_new_disk_under_a_retired_name_is_an_ordinary_store() -> None:
    memory = PlanMemory()
    live = stores("a", "b", "c", "d")
    placement = first_placement(live, memory)
    changed = plan(begin_retire(placement, "a", live), live, 1.0, 1, memory)
    assert changed is not None
    retired = plan(finish_all(changed), live, 2.0, 1, memory)
    assert retired is not None
    replanned = plan(retired, [*stores("b", "c", "d"), store("a", identity="id-a2")], 3.0, 1, memory)
    assert replanned is not None
    assert replanned.retired == ()


def test_a_move_is_finished_only_for_its_epoch() -> None:
    group = Group(0, 4, ("a", "b", "c"), ("a", "b", "d"))
    placement = Placement(9, {}, (group,))
    assert finish_move(placement, 0, 3) is placement
    moved = finish_move(placement, 0, 4)
    assert moved.groups[0] == Group(0, 5, ("a", "b", "d"))
    assert moved.epoch == 10
    assert finish_move(moved, 0, 5) is moved


def test_shards_ignore_the_case_of_hosts_and_preference_is_the_same_everywhere() -> None:
    assert shard_of("Lots.Example") == shard_of("lots.example")
    assert len({shard_of(f"h{number}.example") for number in range(200)}) == SHARDS
    assert sort_by_preference(3, ["x", "y", "z"]) == sort_by_preference(3, ["z", "x", "y"])


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["away", "back", "wipe", "add", "retire", "finish", "wait"]),
        st.integers(0, 5),
        st.floats(0.05, 3.0),
    ),
    max_size=25,
)


@settings(max_examples=150, deadline=None)
@given(EVENTS)
def test_every_change_of_placement_keeps_quorums(events: list[tuple[str, int, float]]) -> None:
    memory = PlanMemory()
    facts = {name: store(name) for name in ("a", "b", "c", "d")}
    away: set[str] = set()
    placement = first_placement(list(facts.values()), memory)
    now_s = 1.0
    for kind, number, wait_s in events:
        now_s += wait_s
        name = sorted(facts)[number % len(facts)]
        if kind == "away":
            away.add(name)
        elif kind == "back":
            away.discard(name)
        elif kind == "wipe":
            facts[name] = attrs.evolve(facts[name], identity=f"{facts[name].identity}+")
        elif kind == "add" and len(facts) < 7:
            facts[f"n{len(facts)}"] = store(f"n{len(facts)}")
        live = [fact for name, fact in facts.items() if name not in away]
        if kind == "retire":
            try:
                placement = begin_retire(placement, name, live)
            except (ConflictError, NotFoundError):
                continue
        before = placement
        if kind == "finish":
            placement = finish_all(placement)
        planned = plan(placement, live, now_s, 1, memory)
        assert planned is not None
        placement = planned
        for old, new in zip(before.groups, placement.groups, strict=True):
            assert new.epoch >= old.epoch
            assert (new == old) == (new.epoch == old.epoch)
            assert len(new.members) == 3
            assert not new.joining or len(new.joining) == 3
            # The members change to the joining ones alone, and only when a move ends.
            assert new.members == old.members or (kind == "finish" and new.members == old.joining)
            assert all(identity in placement.stores for identity in new.everyone)
