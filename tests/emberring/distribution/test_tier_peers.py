"""Which control nodes a control node exchanges with, and when."""

from __future__ import annotations

import attrs
import pytest

from emberring.distribution.messages import Delta, Exchange
from emberring.distribution.peers import (
    FORGET_S,
    LIVE_S,
    MAX_EXCHANGE_INTERVAL_S,
    MIN_EXCHANGE_INTERVAL_S,
    RETRY_S,
    PeerTable,
)
from emberring.distribution.records import NodeRecord, NodeRole


def control(number: int, incarnation: str = "x") -> NodeRecord:
    return NodeRecord(f"core-{number}", NodeRole.CONTROL, f"c{number}", "zone", "", f"{incarnation}{number}")


def exchange_from(record: NodeRecord, vector: dict[str, int] | None = None) -> Exchange:
    return Exchange(record, "x0", Delta(), vector or {}, {}, {"i": 2})


def table() -> PeerTable:
    return PeerTable(control(0), ["c0", "c1", "c2"])


def test_seeds_other_than_this_node_are_due_at_once() -> None:
    peers = table()
    assert [peer.address for peer in peers.due(0.0)] == ["c1", "c2"]
    assert peers.others_exist()
    assert not PeerTable(control(0), ["c0"]).others_exist()


def test_exchanges_recur_and_unresponsive_nodes_are_retried_less_often() -> None:
    peers = table()
    first, second = peers.due(0.0)
    for peer in (first, second):
        peers.exchange_began(0.0, peer)
    assert peers.due(0.0) == []
    peers.exchange_ended(0.0, first, answered=True)
    peers.exchange_ended(0.0, second, answered=False)
    assert peers.due(MAX_EXCHANGE_INTERVAL_S) == [first]
    assert peers.due(RETRY_S) == [first, second]


@pytest.mark.parametrize(
    ("others", "every_s"),
    [(1, MIN_EXCHANGE_INTERVAL_S), (4, 0.1), (8, 0.2), (26, MAX_EXCHANGE_INTERVAL_S)],
)
def test_few_control_nodes_exchange_more_often(others: int, every_s: float) -> None:
    peers = PeerTable(control(0), [f"c{number}" for number in range(1, others + 1)])
    first = peers.due(0.0)[0]
    peers.exchange_began(0.0, first)
    peers.exchange_ended(0.0, first, answered=True)
    assert first.next_exchange_s == pytest.approx(every_s)


def test_the_age_of_a_peer_s_load_starts_as_reported_and_grows() -> None:
    peers = table()
    peers.on_exchange(1.0, attrs.evolve(exchange_from(control(1)), load_age_ms=150.0))
    assert list(peers.load_ages(1.1)) == [(2, pytest.approx(0.25))]
    assert list(peers.load_ages(10.0)) == []


def test_changes_expedite_exchanges_with_live_peers_also_while_one_is_in_flight() -> None:
    peers = table()
    first, second = peers.due(0.0)
    peers.on_exchange(0.0, exchange_from(control(1)))
    peers.exchange_ended(0.0, first, answered=True)
    peers.exchange_ended(0.0, second, answered=False)
    peers.expedite(0.01)
    assert peers.due(0.01) == [first]
    peers.exchange_began(0.01, first)
    peers.expedite(0.02)
    assert peers.due(0.02) == []
    peers.exchange_ended(0.03, first, answered=True)
    assert peers.due(0.03) == [first]


def test_a_peer_is_live_while_it_is_seen() -> None:
    peers = table()
    peers.on_exchange(1.0, exchange_from(control(1), {"x1": 4}))
    assert [peer.incarnation for peer in peers.live(1.0 + LIVE_S / 2)] == ["x1"]
    assert list(peers.loads(1.5)) == [{"i": 2}]
    assert peers.live(1.1 + LIVE_S) == []


def test_the_vector_of_a_new_incarnation_starts_empty() -> None:
    peers = table()
    peers.on_exchange(1.0, exchange_from(control(1), {"x1": 4, "x2": 9}))
    peer = peers.on_exchange(2.0, exchange_from(control(1, "y"), {"x2": 3}))
    assert peer is not None
    assert peer.vector == {"x2": 3}


def test_replies_out_of_order_do_not_lower_a_vector() -> None:
    peers = table()
    peers.on_exchange(1.0, exchange_from(control(1), {"x1": 4}))
    peer = peers.on_exchange(1.1, exchange_from(control(1), {"x1": 3}))
    assert peer is not None
    assert peer.vector == {"x1": 4}


def test_this_node_is_not_its_own_peer() -> None:
    peers = table()
    assert peers.on_exchange(0.0, exchange_from(control(0))) is None
    peers.add(0.0, ["c0"])
    assert len(peers.due(0.0)) == 2


def test_nodes_that_exchange_are_added_and_dropped_without_contact() -> None:
    peers = table()
    peers.on_exchange(1.0, exchange_from(control(3)))
    assert len(peers.due(10.0)) == 3
    peers.forget(1.0 + FORGET_S + 1)
    assert len(peers.due(100.0)) == 2
