"""The endpoint list of a pool: which servers are new, changed, removed or cold."""

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


def test_servers_of_the_first_list_are_warm_and_later_ones_are_cold():
    endpoint_list = EndpointList()
    assert launched(endpoint_list.replace(100.0, [entry("a"), entry("b", 2)])) == {"a": None, "b": None}
    update = endpoint_list.replace(200.0, [entry("a"), entry("b", 2), entry("c", 3)])
    assert launched(update) == {"a": None, "b": None, "c": 200.0}
    assert update.changes == (("c", EndpointChange.ADDED),)
    assert launched(endpoint_list.replace(300.0, [entry("a"), entry("b", 2), entry("c", 3)])) == launched(
        update
    )


@pytest.mark.parametrize(
    ("between", "returning"),
    [
        ([], [entry("a")]),  # removed, then added again with the same address
        ([entry("a", 9)], [entry("a", 9)]),  # its address changed
        ([entry("a", state=ServerState.SICK)], [entry("a")]),
        ([entry("a", weight=0.0)], [entry("a")]),
    ],
)
def test_a_server_that_may_be_another_process_is_cold(between, returning):
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    endpoint_list.replace(200.0, between)
    assert launched(endpoint_list.replace(300.0, returning))["a"] in (200.0, 300.0)


def test_a_start_time_reported_by_the_source_is_used():
    endpoint_list = EndpointList()
    assert launched(endpoint_list.replace(100.0, [entry("a", launched_ms=40.0)])) == {"a": 40.0}
    assert launched(endpoint_list.replace(200.0, [entry("a", launched_ms=150.0)])) == {"a": 150.0}


def test_a_server_that_returns_from_draining_is_the_same_process():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    endpoint_list.replace(200.0, [entry("a", state=ServerState.DRAINING)])
    assert launched(endpoint_list.replace(300.0, [entry("a")])) == {"a": None}


def test_an_invalid_list_changes_nothing():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")], Levels(panic=0.1))
    with pytest.raises(ValueError, match="'b' is listed twice"):
        endpoint_list.replace(200.0, [entry("b"), entry("b", 2)])
    assert (list(endpoint_list.entries), endpoint_list.updated_ms, endpoint_list.levels) == (
        ["a"],
        100.0,
        Levels(panic=0.1),
    )


def test_age_is_measured_from_the_last_report_of_the_source_itself():
    endpoint_list = EndpointList(starts_known=True)
    assert endpoint_list.age_ms(1.0) is None
    endpoint_list.replace(500.0, [entry("a")], form=ListForm.CACHED)
    assert endpoint_list.age_ms(600.0) is None
    endpoint_list.replace(1000.0, [entry("a")])
    assert endpoint_list.age_ms(1400.0) == 400.0
    endpoint_list.update(2000.0, [])  # no changes: the list is confirmed
    assert (endpoint_list.age_ms(2100.0), list(endpoint_list.entries)) == (100.0, ["a"])


def test_changes_are_reported_and_applied_to_the_list():
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


def test_start_times_are_not_derived_if_the_source_reports_them():
    endpoint_list = EndpointList(starts_known=True)
    endpoint_list.replace(100.0, [entry("a", launched_ms=50.0)])
    assert launched(endpoint_list.replace(200.0, [entry("a", 9, launched_ms=50.0), entry("b", 2)])) == {
        "a": 50.0,
        "b": None,
    }
    assert launched(endpoint_list.update(300.0, [entry("c", 3)])) == {"c": None}


def test_a_server_added_by_a_change_is_cold_if_start_times_are_not_reported():
    endpoint_list = EndpointList()
    endpoint_list.replace(100.0, [entry("a")])
    assert launched(endpoint_list.update(200.0, [entry("b", 2)])) == {"b": 200.0}
    endpoint_list.update(300.0, [entry("a", state=ServerState.REMOVED)])
    assert launched(endpoint_list.update(400.0, [entry("a"), entry("b", 2)])) == {"a": 400.0, "b": 200.0}


def test_a_server_that_a_complete_list_reports_as_removed_is_not_in_the_list():
    endpoint_list = EndpointList(starts_known=True)
    endpoint_list.replace(100.0, [entry("a"), entry("b", 2)])
    update = endpoint_list.replace(200.0, [entry("a"), entry("b", 2, state=ServerState.REMOVED)])
    assert update.changes == (("b", EndpointChange.REMOVED),)
    assert (list(endpoint_list.entries), len(update.servers)) == (["a"], 2)


def test_a_copy_has_the_known_servers_and_is_independent():
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
def test_changes_are_the_differences_between_successive_lists(lists):
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
