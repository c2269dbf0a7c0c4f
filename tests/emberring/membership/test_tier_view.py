"""Partial views: merging, expiry, and discovery of control nodes without the seeds."""

from __future__ import annotations

import random

import pytest

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.membership.view import (
    CONTROL_VIEW_SIZE,
    MAX_DESCRIPTOR_AGE_S,
    SHUFFLE_LENGTH,
    VIEW_SIZE,
    Descriptor,
    PartialView,
)


def node(number: int, role: NodeRole = NodeRole.GATEWAY) -> NodeRecord:
    return NodeRecord(f"{role.value}-{number}", role, f"10.0.{number // 250}.{number % 250}:77", "a")


def initial_views(gateways: int, controls: int) -> dict[str, PartialView]:
    """Return the views of nodes that each know one control node."""
    nodes = [node(number) for number in range(gateways)]
    nodes += [node(1000 + number, NodeRole.CONTROL) for number in range(controls)]
    views = {item.address: PartialView(item, seed) for seed, item in enumerate(nodes)}
    for view in views.values():
        view.record_contact(0.0, nodes[-1])
    return views


def shuffle_all(views: dict[str, PartialView], now_s: float, dead: frozenset[str] = frozenset()) -> None:
    for address, view in views.items():
        call = view.next_shuffle(now_s)
        if address in dead or call is None:
            continue
        if call.address in dead:
            view.on_failure(call.address)
            continue
        answer = views[call.address].on_shuffle(now_s, view.me.name, call.descriptors)
        view.on_shuffle_reply(now_s, call.address, answer)


@pytest.mark.parametrize("gateways", [5, 60, 300])
def test_views_and_shuffles_do_not_grow_with_the_number_of_nodes(gateways: int) -> None:
    views = initial_views(gateways, 3)
    for turn in range(1, 31):
        shuffle_all(views, 2.0 * turn)
    for view in views.values():
        assert len(view.nodes()) <= VIEW_SIZE + CONTROL_VIEW_SIZE
        call = view.next_shuffle(61.0)
        assert call is not None
        assert len(call.descriptors) <= SHUFFLE_LENGTH


def test_every_node_learns_control_nodes_other_than_its_seed() -> None:
    views = initial_views(100, 3)
    for turn in range(1, 21):
        shuffle_all(views, 2.0 * turn)
    isolated = [view.me.name for view in views.values() if len(view.control_nodes()) < 2]
    assert isolated == []


def test_a_control_node_that_replaces_the_seed_becomes_known_to_all() -> None:
    views = initial_views(40, 3)
    for turn in range(1, 16):
        shuffle_all(views, 2.0 * turn)
    seed = node(1002, NodeRole.CONTROL)
    new = node(2000, NodeRole.CONTROL)
    views[new.address] = PartialView(new, 99)
    views[new.address].record_contact(30.0, node(3))
    for turn in range(16, 60):
        shuffle_all(views, 2.0 * turn, frozenset((seed.address,)))
    for view in views.values():
        if view.me != seed:
            assert new in view.control_nodes() or view.me == new


def test_a_node_that_does_not_reply_is_removed_from_the_view() -> None:
    view = PartialView(node(1), 1)
    view.record_contact(0.0, node(2))
    view.on_failure(node(2).address)
    assert view.next_shuffle(1.0) is None


def test_a_descriptor_that_is_not_renewed_expires() -> None:
    view = PartialView(node(1), 1)
    view.record_contact(0.0, node(2))
    assert view.next_shuffle(MAX_DESCRIPTOR_AGE_S - 1.0) is not None
    assert view.next_shuffle(MAX_DESCRIPTOR_AGE_S + 1.0) is None


def test_the_younger_descriptor_of_a_node_wins() -> None:
    view = PartialView(node(1), 1)
    moved = NodeRecord("gateway-2", NodeRole.GATEWAY, "10.9.9.9:77", "a")
    view.on_shuffle(10.0, "x", (Descriptor(moved, 1.0),))
    view.on_shuffle(10.0, "x", (Descriptor(node(2), 5.0),))
    assert [item.address for item in view.nodes()] == ["10.9.9.9:77"]


def test_a_view_never_contains_its_own_node() -> None:
    view = PartialView(node(1), 1)
    view.on_shuffle(1.0, "x", (Descriptor(node(1), 0.0),))
    assert view.nodes() == []


def test_views_stay_connected_while_a_third_of_the_nodes_stop_and_return() -> None:
    views = initial_views(90, 3)
    draw = random.Random(5)
    for turn in range(1, 16):
        shuffle_all(views, 2.0 * turn)
    dead = frozenset(draw.sample([address for address in views if address.startswith("10.0.0.")], 30))
    for turn in range(16, 26):
        shuffle_all(views, 2.0 * turn, dead)
    for turn in range(26, 60):
        shuffle_all(views, 2.0 * turn)
    assert all(len(view.control_nodes()) >= 2 for view in views.values())
