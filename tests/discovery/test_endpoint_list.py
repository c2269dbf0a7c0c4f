"""One owner of which servers are there: what is new, what changed, what is cold."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.discovery.endpoint_list import EndpointChange, EndpointEntry, EndpointList
from loadbalancer.interface import Levels, ListForm, Server, ServerState


def entry(name: str, port: int = 1, **more) -> EndpointEntry:
    return EndpointEntry(Server(name, **more), ("127.0.0.1", port))


def launched(update) -> dict[str, float | None]:
    return {server.address: server.launched_ms for server in update.servers}


def test_the_first_list_is_warm_and_what_comes_later_is_cold():
    endpoint_list = EndpointList()
    assert launched(endpoint_list.replace(100.0, [entry("a"), entry("b", 2)])) == {"a": None, "b": None}
    update = endpoint_list.replace(200.0, [entry("a"), entry("b", 2), entry("c", 3)])
    assert launched(update) == {"a": None, "b": None, "c": 200.0}
    assert update.changes == (("c", EndpointChange.ADDED),)
    assert launched(endpoint_list.replace(300.0, [entry("a"), entry("b", 2), entry("c", 3)])) == launched(
        update
    )


@pytest.mark.parametrize(
    ("between", "back"),
    [
        ([], [entry("a")]),  # removed, and added again at the same address
        ([entry("a", 9)], [entry("a", 9)]),  # its address went to another
        ([entry("a", state=ServerState.SICK)], [entry("a")]),
        ([entry("a", weight=0.0)], [entry("a")]),
    ],
)
def test_what_may_be_another_process_is_cold(between, back):
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    endpoint_list.replace(200.0, between)
    assert launched(endpoint_list.replace(300.0, back))["a"] in (200.0, 300.0)


def test_a_start_that_the_source_knows_counts():
    endpoint_list = EndpointList()
    assert launched(endpoint_list.replace(100.0, [entry("a", launched_ms=40.0)])) == {"a": 40.0}
    assert launched(endpoint_list.replace(200.0, [entry("a", launched_ms=150.0)])) == {"a": 150.0}


def test_draining_and_back_is_the_same_process():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    endpoint_list.replace(200.0, [entry("a", state=ServerState.DRAINING)])
    assert launched(endpoint_list.replace(300.0, [entry("a")])) == {"a": None}


def test_a_list_that_cant_be_taken_changes_nothing():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")], Levels(panic=0.1))
    with pytest.raises(ValueError, match="'b' is listed twice"):
        endpoint_list.replace(200.0, [entry("b"), entry("b", 2)])
    assert (list(endpoint_list.entries), endpoint_list.updated_ms, endpoint_list.levels) == (
        ["a"],
        100.0,
        Levels(panic=0.1),
    )


def test_age_is_taken_from_the_last_report_that_the_source_vouches_for():
    endpoint_list = EndpointList(starts_known=True)
    assert endpoint_list.age_ms(1.0) is None
    endpoint_list.replace(500.0, [entry("a")], form=ListForm.CACHED)
    assert endpoint_list.age_ms(600.0) is None
    endpoint_list.replace(1000.0, [entry("a")])
    assert endpoint_list.age_ms(1400.0) == 400.0
    endpoint_list.update(2000.0, [])  # nothing is new: the list still holds
    assert (endpoint_list.age_ms(2100.0), list(endpoint_list.entries)) == (100.0, ["a"])


def test_changes_are_reported_as_changes_and_kept_in_the_list():
    endpoint_list = EndpointList(starts_known=True)
    endpoint_list.replace(100.0, [entry("a"), entry("b", 2), entry("c", 3)])
    update = endpoint_list.update(
        200.0,
        [entry("a"), entry("b", 9), entry("c", 3, state=ServerState.REMOVED), entry("d", 4)],
    )
    assert update.form is ListForm.DELTA
    assert [server.address for server in update.servers] == ["a", "b", "c", "d"]
    assert update.changes == (
        ("b", EndpointChange.CHANGED),
        ("c", EndpointChange.REMOVED),
        ("d", EndpointChange.ADDED),
    )
    assert {name: item.endpoint[1] for name, item in endpoint_list.entries.items()} == {
        "a": 1,
        "b": 9,
        "d": 4,
    }
    again = endpoint_list.update(300.0, [entry("c", 3, state=ServerState.REMOVED)])
    assert again.changes == ()


def test_a_source_that_knows_of_starts_is_not_guessed_at():
    endpoint_list = EndpointList(starts_known=True)
    endpoint_list.replace(100.0, [entry("a", launched_ms=50.0)])
    assert launched(endpoint_list.replace(200.0, [entry("a", 9, launched_ms=50.0), entry("b", 2)])) == {
        "a": 50.0,
        "b": None,
    }
    assert launched(endpoint_list.update(300.0, [entry("c", 3)])) == {"c": None}


def test_where_starts_are_not_known_what_a_change_brings_is_cold():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    assert launched(endpoint_list.update(200.0, [entry("b", 2)])) == {"b": 200.0}
    endpoint_list.update(300.0, [entry("a", state=ServerState.REMOVED)])
    assert launched(endpoint_list.update(400.0, [entry("a"), entry("b", 2)])) == {"a": 400.0, "b": 200.0}


def test_a_complete_list_that_names_one_as_gone_does_not_hold_it():
    endpoint_list = EndpointList(starts_known=True)
    endpoint_list.replace(100.0, [entry("a"), entry("b", 2)])
    update = endpoint_list.replace(200.0, [entry("a"), entry("b", 2, state=ServerState.REMOVED)])
    assert update.changes == (("b", EndpointChange.REMOVED),)
    assert (list(endpoint_list.entries), len(update.servers)) == (["a"], 2)


def test_a_copy_knows_what_was_there_and_goes_its_own_way():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    copy = endpoint_list.copy()
    assert launched(copy.replace(200.0, [entry("a"), entry("b", 2)])) == {"a": None, "b": 200.0}
    assert list(endpoint_list.entries) == ["a"]


ENTRIES = st.lists(
    st.builds(
        lambda name, port, weight, state: entry(name, port, weight=weight, state=state),
        st.sampled_from("abc"),
        st.integers(1, 2),
        st.sampled_from([0.0, 1.0]),
        st.sampled_from([ServerState.UP, ServerState.SICK, ServerState.DRAINING]),
    ),
    unique_by=lambda item: item.server.address,
)


@settings(max_examples=300)
@given(st.lists(ENTRIES, min_size=2, max_size=6))
def test_changes_lead_from_one_list_to_the_next(lists):
    endpoint_list = EndpointList()
    known: dict[str, EndpointEntry] = {}
    for at, given_list in enumerate(lists):
        update = endpoint_list.replace(float(at), given_list)
        assert update.form is ListForm.FULL
        by_kind = {
            kind: {name for name, change in update.changes if change is kind} for kind in EndpointChange
        }
        now = dict(endpoint_list.entries)
        assert by_kind[EndpointChange.ADDED] == now.keys() - known.keys()
        assert by_kind[EndpointChange.REMOVED] == known.keys() - now.keys()
        assert by_kind[EndpointChange.CHANGED] == {
            name for name in now.keys() & known.keys() if now[name] != known[name]
        }
        assert update.endpoints == {name: item.endpoint for name, item in now.items()}
        known = now
