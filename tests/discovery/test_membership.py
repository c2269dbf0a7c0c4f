"""One owner of which servers are there: what is new, what changed, what is cold."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.discovery.membership import Change, Entry, Roster
from loadbalancer.interface import Levels, ListForm, Server, ServerState


def entry(name: str, port: int = 1, **more) -> Entry:
    return Entry(Server(name, **more), ("127.0.0.1", port))


def launched(news) -> dict[str, float | None]:
    return {server.address: server.launched_ms for server in news.servers}


def test_the_first_list_is_warm_and_what_comes_later_is_cold():
    roster = Roster()
    assert launched(roster.tell(100.0, [entry("a"), entry("b", 2)])) == {"a": None, "b": None}
    news = roster.tell(200.0, [entry("a"), entry("b", 2), entry("c", 3)])
    assert launched(news) == {"a": None, "b": None, "c": 200.0}
    assert news.changes == (("c", Change.ADDED),)
    assert launched(roster.tell(300.0, [entry("a"), entry("b", 2), entry("c", 3)])) == launched(news)


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
    roster = Roster()
    roster.tell(100.0, [entry("a")])
    roster.tell(200.0, between)
    assert launched(roster.tell(300.0, back))["a"] in (200.0, 300.0)


def test_a_start_that_the_source_knows_counts():
    roster = Roster()
    assert launched(roster.tell(100.0, [entry("a", launched_ms=40.0)])) == {"a": 40.0}
    assert launched(roster.tell(200.0, [entry("a", launched_ms=150.0)])) == {"a": 150.0}


def test_draining_and_back_is_the_same_process():
    roster = Roster()
    roster.tell(100.0, [entry("a")])
    roster.tell(200.0, [entry("a", state=ServerState.DRAINING)])
    assert launched(roster.tell(300.0, [entry("a")])) == {"a": None}


def test_a_list_that_cant_be_taken_changes_nothing():
    roster = Roster()
    roster.tell(100.0, [entry("a")], Levels(panic=0.1))
    with pytest.raises(ValueError, match="'b' stands twice"):
        roster.tell(200.0, [entry("b"), entry("b", 2)])
    assert (list(roster.entries), roster.told_ms, roster.levels) == (["a"], 100.0, Levels(panic=0.1))


def test_age_is_told_from_the_last_news_that_the_source_vouches_for():
    roster = Roster(starts_known=True)
    assert roster.age_ms(1.0) is None
    roster.tell(500.0, [entry("a")], form=ListForm.CACHED)
    assert roster.age_ms(600.0) is None
    roster.tell(1000.0, [entry("a")])
    assert roster.age_ms(1400.0) == 400.0
    roster.change(2000.0, [])  # nothing is new: the list still holds
    assert (roster.age_ms(2100.0), list(roster.entries)) == (100.0, ["a"])


def test_changes_are_told_as_changes_and_held_in_the_whole():
    roster = Roster(starts_known=True)
    roster.tell(100.0, [entry("a"), entry("b", 2), entry("c", 3)])
    news = roster.change(
        200.0,
        [entry("a"), entry("b", 9), entry("c", 3, state=ServerState.REMOVED), entry("d", 4)],
    )
    assert news.form is ListForm.DELTA
    assert [server.address for server in news.servers] == ["a", "b", "c", "d"]
    assert news.changes == (("b", Change.CHANGED), ("c", Change.REMOVED), ("d", Change.ADDED))
    assert {name: item.endpoint[1] for name, item in roster.entries.items()} == {"a": 1, "b": 9, "d": 4}
    again = roster.change(300.0, [entry("c", 3, state=ServerState.REMOVED)])
    assert again.changes == ()


def test_a_source_that_knows_of_starts_is_not_guessed_at():
    roster = Roster(starts_known=True)
    roster.tell(100.0, [entry("a", launched_ms=50.0)])
    assert launched(roster.tell(200.0, [entry("a", 9, launched_ms=50.0), entry("b", 2)])) == {
        "a": 50.0,
        "b": None,
    }
    assert launched(roster.change(300.0, [entry("c", 3)])) == {"c": None}


def test_where_starts_are_not_known_what_a_change_brings_is_cold():
    roster = Roster()
    roster.tell(100.0, [entry("a")])
    assert launched(roster.change(200.0, [entry("b", 2)])) == {"b": 200.0}
    roster.change(300.0, [entry("a", state=ServerState.REMOVED)])
    assert launched(roster.change(400.0, [entry("a"), entry("b", 2)])) == {"a": 400.0, "b": 200.0}


def test_a_whole_list_that_names_one_as_gone_does_not_hold_it():
    roster = Roster(starts_known=True)
    roster.tell(100.0, [entry("a"), entry("b", 2)])
    news = roster.tell(200.0, [entry("a"), entry("b", 2, state=ServerState.REMOVED)])
    assert news.changes == (("b", Change.REMOVED),)
    assert (list(roster.entries), len(news.servers)) == (["a"], 2)


def test_a_copy_knows_what_was_there_and_goes_its_own_way():
    roster = Roster()
    roster.tell(100.0, [entry("a")])
    copy = roster.copy()
    assert launched(copy.tell(200.0, [entry("a"), entry("b", 2)])) == {"a": None, "b": 200.0}
    assert list(roster.entries) == ["a"]


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
    roster = Roster()
    known: dict[str, Entry] = {}
    for at, given_list in enumerate(lists):
        news = roster.tell(float(at), given_list)
        assert news.form is ListForm.FULL
        by_kind = {kind: {name for name, change in news.changes if change is kind} for kind in Change}
        now = dict(roster.entries)
        assert by_kind[Change.ADDED] == now.keys() - known.keys()
        assert by_kind[Change.REMOVED] == known.keys() - now.keys()
        assert by_kind[Change.CHANGED] == {
            name for name in now.keys() & known.keys() if now[name] != known[name]
        }
        assert news.endpoints == {name: item.endpoint for name, item in now.items()}
        known = now
