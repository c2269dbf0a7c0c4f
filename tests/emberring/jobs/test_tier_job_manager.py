"""Job manager of a shard: submission, quota, execution, results, end and deletion of batch jobs."""

from __future__ import annotations

import base64

import attrs
import orjson
import pytest
from job_manager_harness import HOST, STATUS_S, TERMS, JobManagerHarness, body, events, states

from emberring.configuration.model import Configuration, Route, RouteType, Share
from emberring.errors import (
    BadRequestError,
    EmberringError,
    NotFoundError,
    NotReadyError,
    QuotaExceededError,
    UnknownOutcomeError,
)
from emberring.jobs.calls import (
    EventData,
    FinishRunReply,
    ItemBody,
    ReadItem,
)
from emberring.jobs.definition import encode_definition
from emberring.jobs.execution import RETENTION_GRACE_S, RUN_LEASE_S, TAKEOVER_GRACE_S
from emberring.jobs.items import OutcomeKind
from emberring.jobs.job_manager import UNENDED_RETENTION_MARGIN_S
from emberring.jobs.packing import compress, unpack_events
from emberring.jobs.records import DEFINITION, END, TOMBSTONE
from emberring.jobs.results import page_json
from emberring.transport.messages import Ok

# Items that an older version accepted.


# Guards against a header stored by an older version that ends the item's request and begins another one.
def test_a_stored_item_that_can_not_be_sent_ends_as_a_dead_letter() -> None:
    harness = JobManagerHarness()
    stored = orjson.loads(body(2))
    stored["Requests"][0]["Headers"]["Note"] = "a\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1"
    value = encode_definition(TERMS, compress(orjson.dumps(stored)))
    harness.records.put(f"{HOST}/l", DEFINITION, value, 0.0)
    owned = harness.records.find(f"{HOST}/l", DEFINITION)
    assert owned is not None
    harness.records.mark_committed(owned)
    new_owner = harness.takeover()
    new_owner.pass_time(TAKEOVER_GRACE_S)
    assert [item.id for item in new_owner.lease_items()] == ["i1"]
    new_owner.pass_time(0.0)
    assert states(new_owner.read("l")) == [("i0", "dead_letter", "")]


# Submission.


def test_a_job_is_accepted_once_durable_and_repeated_submissions_add_nothing() -> None:
    harness = JobManagerHarness(commit_at_once=False)
    assert harness.submit("l", body(2)) is None
    assert harness.submit("l", body(2)) is None
    assert isinstance(harness.read("l"), NotReadyError)
    assert harness.lease_items() == []
    harness.commit_proposals()
    assert harness.answers[1] == harness.answers[2] == Ok()
    assert harness.submit("l", body(2)) == Ok()
    assert [item.id for item in harness.lease_items()] == ["i0", "i1"]


@pytest.mark.parametrize(
    "content",
    [
        b"{",
        b"[]",
        b'{"Requests":[]}',
        b'{"Requests":[{"Id":"","Path":"/x","Tokens":1}]}',
        b'{"Requests":[{"Id":"a","Path":"x","Tokens":1}]}',
        b'{"Requests":[{"Id":"a","Path":"/x","Tokens":-1}]}',
        b'{"Requests":[{"Id":"a","Path":"/x","Tokens":true}]}',
        b'{"Requests":[{"Id":"a","Path":"/x","Body":"*"}]}',
        b'{"Requests":[{"Id":"a","Path":"/x","Headers":{"A":1}}]}',
        b'{"Requests":[{"Id":"a","Path":"/x"},{"Id":"a","Path":"/y"}]}',
        body(201),
    ],
)
def test_an_invalid_job_is_rejected_and_not_stored(content: bytes) -> None:
    harness = JobManagerHarness()
    assert isinstance(harness.submit("l", content), BadRequestError)
    assert harness.records.jobs == {}


def test_a_job_over_the_quota_is_not_stored_and_is_accepted_later() -> None:
    harness = JobManagerHarness()
    assert harness.submit("one", body(6)) == Ok()
    assert isinstance(harness.submit("two", body(5)), QuotaExceededError)
    assert "lots.example/two" not in harness.records.jobs
    assert isinstance(harness.read("two"), NotFoundError)
    assert harness.submit("three", body(4)) == Ok()
    item = harness.lease_items(1)[0]
    harness.finish(item, run_events=events("x"))
    assert harness.submit("two", body(1)) == Ok()
    assert harness.job_manager.waiting_tokens == {"r": 100}


@pytest.mark.parametrize("outcome", [OutcomeKind.COMPLETED, OutcomeKind.IMPOSSIBLE_422])
def test_tokens_are_released_when_a_result_arrives_even_before_it_is_durable(outcome: OutcomeKind) -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    item = harness.lease_items(1)[0]
    harness.commit_at_once = False
    harness.finish(item, outcome)
    assert harness.job_manager.waiting_tokens == {"r": 90}


def test_an_end_releases_all_waiting_tokens() -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    assert harness.end("one") == Ok()
    assert harness.submit("two", body(10)) == Ok()


def test_a_quota_of_0_is_no_limit_and_a_newer_configuration_changes_the_quota() -> None:
    route = Route("r", HOST, "/batch/", RouteType.BATCH, 4000, (Share("s", 1),), max_queued_tokens=20)
    harness = JobManagerHarness()
    assert harness.submit("free", body(100), attrs.evolve(TERMS, max_queued_tokens=0)) == Ok()
    harness.job_manager.configure(Configuration(4, (route,), ()))
    # 1,000 tokens are waiting; the limit is 100.
    assert isinstance(harness.submit("one", body(1)), QuotaExceededError)
    harness.end("free")
    # The limit of 20 in the older configuration is ignored.
    assert harness.submit("two", body(5)) == Ok()
    harness.job_manager.configure(Configuration(5, (route,), ()))
    assert isinstance(harness.submit("three", body(1)), QuotaExceededError)


def test_after_a_takeover_all_items_without_a_result_wait() -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    for item in harness.lease_items(4):
        harness.finish(item, run_events=events("x"))
    other = harness.takeover()
    assert other.job_manager.waiting_tokens == {"r": 60}
    assert isinstance(other.submit("two", body(5)), QuotaExceededError)
    assert other.submit("three", body(4)) == Ok()


# Reads.


def test_pages_list_results_in_the_order_of_their_positions() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(3))
    first, second, third = harness.lease_items()
    harness.finish(second, run_events=events("b0", "b1"))
    assert harness.read("l") == {
        "Total": 3,
        "NextPageToken": 1,
        "Results": [{"Id": "i1", "State": "completed", "Message": "b0\nb1"}],
    }
    harness.finish(first, OutcomeKind.IMPOSSIBLE_422)
    assert states(harness.read("l", 1)) == [("i0", "dead_letter", "")]
    assert harness.read("l", 2) == {"Total": 3, "NextPageToken": 2, "Results": []}
    harness.finish(third, run_events=events("c"))
    assert [entry[0] for entry in states(harness.read("l"))] == ["i1", "i0", "i2"]
    assert isinstance(harness.read("unknown"), NotFoundError)


def test_a_result_is_visible_only_once_it_and_all_earlier_ones_are_durable() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, second = harness.lease_items()
    harness.commit_at_once = False
    assert harness.finish(first, run_events=events("a")) is None
    assert harness.finish(second, run_events=events("b")) is None
    proposals, harness.proposed = harness.proposed, harness.proposed[1:]
    harness.commit_proposals()
    assert harness.read("l")["Results"] == []
    harness.proposed = proposals[:1]
    harness.commit_proposals()
    assert len(harness.read("l")["Results"]) == 2


def test_a_read_waits_for_the_next_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    assert harness.read("l", 0, 1000) is None
    harness.pass_time(0.5)
    assert 2 not in harness.answers
    harness.finish(harness.lease_items(1)[0], run_events=events("a"))
    assert len(orjson.loads(page_json(harness.answers[2]))["Results"]) == 1
    assert harness.read("l", 1, 300) is None
    harness.pass_time(0.31)
    assert orjson.loads(page_json(harness.answers[4]))["Results"] == []


def test_a_page_has_at_most_a_megabyte_but_at_least_one_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(3))
    for item in harness.lease_items():
        harness.finish(item, run_events=events("x" * 1_200_000 if item.index == 0 else "y" * 400_000))
    assert [len(harness.read("l", start)["Results"]) for start in (0, 1, 2)] == [1, 2, 1]


def test_item_bodies_are_readable_until_the_job_is_ended() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    for name, expected in (("i0", ItemBody(b"\xab\xcd")), ("other", None)):
        call = harness.next_call()
        harness.perform(harness.job_manager.read_item(call, ReadItem(HOST, "l", name)))
        if expected is None:
            assert isinstance(harness.answers[call], NotFoundError)
        else:
            assert harness.answers[call] == expected
    harness.end("l")
    call = harness.next_call()
    harness.perform(harness.job_manager.read_item(call, ReadItem(HOST, "l", "i0")))
    assert isinstance(harness.answers[call], NotFoundError)


# Execution.


def test_items_run_in_the_order_of_their_due_times_and_late_ones_last() -> None:
    harness = JobManagerHarness()
    terms = attrs.evolve(TERMS, completion_ms=2000.0)
    harness.submit("slow", body(1, 1, "s"))
    harness.submit("quick", body(1, 1, "q"), terms)
    harness.now_s = 0.5
    harness.submit("late", body(1, 1, "l"), attrs.evolve(TERMS, completion_ms=100.0))
    assert [item.id for item in harness.lease_items()] == ["q0", "s0", "l0"]


def test_a_late_item_about_to_expire_goes_first() -> None:
    harness = JobManagerHarness()
    harness.submit("old", body(1, 1, "o"), attrs.evolve(TERMS, completion_ms=100.0, retention_s=10.0))
    harness.now_s = 8.0
    harness.submit("new", body(1, 1, "n"))
    assert [item.id for item in harness.lease_items()] == ["o0", "n0"]


# Guards against a reply with more items than fit into a line, of which none would ever run.
def test_a_poll_gets_items_up_to_a_number_of_bytes_and_at_least_one() -> None:
    harness = JobManagerHarness()
    content = orjson.loads(body(5, tokens=1))
    for item in content["Requests"]:
        item["Body"] = base64.b64encode(bytes(1000)).decode()
    harness.submit("l", orjson.dumps(content))
    assert [item.id for item in harness.lease_items(max_bytes=1)] == ["i0"]
    assert [item.id for item in harness.lease_items(max_bytes=1001)] == ["i1", "i2"]
    assert harness.lease_items(max_bytes=0) == []
    assert [item.id for item in harness.lease_items()] == ["i3", "i4"]


def test_a_run_without_reports_is_leased_again_with_its_events() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    assert harness.report(item, 0, events("a", "b")) == (True, 2)
    assert harness.report(item, 2, (EventData(2, "c"),)) == (True, 3)
    harness.pass_time(RUN_LEASE_S - 0.1)
    assert harness.lease_items() == []
    harness.pass_time(0.2)
    (again,) = harness.lease_items(gateway="h")
    assert unpack_events(again.events) == events("a", "b", "c")
    assert harness.report(item, 3, ()) == (False, 0)
    assert harness.finish(again, run_events=(EventData(3, "d"),), start=3) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a\nb\nc\nd")]


def test_events_that_the_owner_lacks_are_requested_again() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    assert harness.report(item, 2, (EventData(2, "c"),)) == (True, 0)
    assert harness.finish(item, run_events=(EventData(2, "c"),), start=2) == FinishRunReply(False)
    assert harness.finish(item, run_events=events("a", "b", "c")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a\nb\nc")]


def test_events_of_two_runs_are_never_joined() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    harness.report(item, 0, events("old0", "old1"))
    harness.finish(item, OutcomeKind.BROKEN, events("old0"))
    (again,) = harness.lease_items()
    assert unpack_events(again.events) == events("old0", "old1")
    # A run that the owner does not know, from its first event on.
    other = attrs.evolve(item, ticket=item.ticket + 1)
    assert harness.report(other, 0, events("new0")) == (False, 0)
    assert harness.finish(other, run_events=(EventData(1, "new1"),), start=1) == FinishRunReply(False)
    assert harness.finish(other, run_events=events("new0", "new1")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "new0\nnew1")]


def test_two_runs_of_an_item_that_end_together_give_one_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    other = attrs.evolve(item, ticket=item.ticket + 1)
    harness.commit_at_once = False
    assert harness.finish(item, run_events=events("a")) is None
    assert harness.finish(other, run_events=events("b")) is None
    assert len(harness.proposed) == 1
    harness.commit_proposals()
    assert harness.answers[2] == harness.answers[3] == FinishRunReply(True)
    assert harness.finish(other, run_events=events("b")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a")]


def test_status_500_at_the_last_attempt_makes_a_dead_letter_and_each_run_counts_once() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    assert harness.finish(item, OutcomeKind.FAILED_500) == FinishRunReply(True)
    assert harness.finish(item, OutcomeKind.FAILED_500) == FinishRunReply(True)
    assert harness.read("l")["Results"] == []
    (again,) = harness.lease_items()
    harness.finish(again, OutcomeKind.NOT_RUN)
    (third,) = harness.lease_items()
    harness.finish(third, OutcomeKind.FAILED_500)
    assert states(harness.read("l")) == [("i0", "dead_letter", "")]
    assert harness.lease_items() == []


@pytest.mark.parametrize(("age_s", "expired"), [(39.9, False), (40.0 + RETENTION_GRACE_S + 0.6, True)])
def test_after_the_retention_unfinished_items_are_dead_letters(age_s: float, expired: bool) -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    harness.lease_items(1)
    harness.pass_time(age_s)
    assert (len(harness.read("l")["Results"]) == 2) is expired


def test_items_of_a_removed_route_are_dead_letters_unless_the_configuration_is_older() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    harness.job_manager.configure(Configuration(4, (), ()))
    harness.pass_time(1.0)
    assert harness.read("l")["Results"] == []
    renamed = Route("q", HOST, "/batch/", RouteType.BATCH, 4000, (Share("s", 1),))
    harness.job_manager.configure(Configuration(6, (renamed,), ()))
    harness.pass_time(1.0)
    assert harness.read("l")["Results"] == []
    harness.job_manager.configure(Configuration(7, (), ()))
    harness.pass_time(1.0)
    assert states(harness.read("l")) == [("i0", "dead_letter", "")]


# End and ownership.


def test_an_end_is_acknowledged_once_durable_and_nothing_is_leased_from_its_request_on() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    (item,) = harness.lease_items(1)
    harness.commit_at_once = False
    assert harness.end("l") is None
    assert harness.lease_items() == []
    assert harness.report(item, 0, ()) == (False, 0)
    harness.commit_proposals()
    assert harness.answers[2] == Ok()
    assert harness.end("l") == Ok()
    assert isinstance(harness.end("unknown"), NotFoundError)
    assert harness.finish(item, run_events=events("x")) == FinishRunReply(True)
    assert harness.read("l", 0, 1000)["Results"] == []


def test_an_ended_job_stays_ended_at_another_owner() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    harness.finish(harness.lease_items(1)[0], run_events=events("x"))
    harness.end("l")
    other = harness.takeover()
    other.pass_time(TAKEOVER_GRACE_S + 0.1)
    assert other.lease_items() == []
    assert len(other.read("l")["Results"]) == 1
    assert other.job_manager.waiting_tokens.get("r", 0) == 0


def test_a_new_owner_waits_for_reports_of_runs_and_lets_them_continue() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, _ = harness.lease_items()
    harness.report(first, 0, events("a"))
    other = harness.takeover()
    assert other.lease_items() == []
    assert other.report(first, 1, (EventData(1, "b"),)) == (True, 0)
    assert other.report(first, 0, events("a", "b")) == (True, 2)
    other.pass_time(TAKEOVER_GRACE_S + 0.01)
    assert [item.index for item in other.lease_items()] == [1]
    assert other.finish(first, run_events=(EventData(2, "c"),), start=2) == FinishRunReply(True)
    assert states(other.read("l")) == [("i0", "completed", "a\nb\nc")]


def test_a_result_delivered_to_a_new_owner_is_listed_without_another_run() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.lease_items()
    harness.commit_at_once = False
    # The owner fails before the result is durable.
    assert harness.finish(item, run_events=events("a")) is None
    other = harness.takeover()
    assert other.finish(item, run_events=events("a")) == FinishRunReply(True)
    other.pass_time(TAKEOVER_GRACE_S + 1.0)
    assert other.lease_items() == []
    assert states(other.read("l")) == [("i0", "completed", "a")]


def test_the_same_owner_under_another_term_continues_its_runs() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, second = harness.lease_items()
    harness.report(first, 0, events("a"))
    harness.finish(second, OutcomeKind.FAILED_500)
    harness.perform(harness.job_manager.on_ownership_gained(harness.now_s, harness.records.jobs))
    assert harness.report(first, 1, (EventData(1, "b"),)) == (True, 2)
    harness.pass_time(TAKEOVER_GRACE_S + 0.01)
    (again,) = harness.lease_items()
    harness.finish(again, OutcomeKind.FAILED_500)
    assert states(harness.read("l")) == [("i1", "dead_letter", "")]


def test_waiting_calls_get_an_unknown_outcome_when_the_owner_changes() -> None:
    harness = JobManagerHarness(commit_at_once=False)
    harness.submit("l", body(1))
    harness.commit_proposals()
    (item,) = harness.lease_items()
    harness.submit("new", body(1))
    harness.read("l", 0, 1000)
    harness.finish(item, run_events=events("x"))
    harness.end("l")
    harness.perform(harness.job_manager.on_ownership_lost())
    assert isinstance(harness.answers[2], UnknownOutcomeError)
    assert isinstance(harness.answers[3], NotReadyError)
    assert harness.answers[4] == FinishRunReply(False)
    assert isinstance(harness.answers[5], UnknownOutcomeError)
    assert harness.job_manager.jobs == {}
    assert all(not isinstance(answer, EmberringError) or answer.detail for answer in harness.answers.values())


@pytest.mark.parametrize(
    ("ended", "age_s", "forgotten"),
    [
        (True, STATUS_S - 1, False),
        (True, STATUS_S + 6, True),
        (False, STATUS_S + 6, False),
        (False, STATUS_S + UNENDED_RETENTION_MARGIN_S + 1, True),
    ],
)
def test_jobs_are_deleted_after_their_retention(ended: bool, age_s: float, forgotten: bool) -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1), attrs.evolve(TERMS, retention_s=1000.0))
    harness.finish(harness.lease_items(1)[0], run_events=events("x"))
    if ended:
        harness.end("l")
    harness.pass_time(age_s)
    assert bool(harness.forgotten) is forgotten
    if forgotten:
        harness.records.put("lots.example/l", TOMBSTONE, b"", 0.0)
        harness.perform(harness.job_manager.on_committed(harness.now_s, "lots.example/l", TOMBSTONE))
        assert isinstance(harness.read("l"), NotFoundError)


def test_a_job_with_an_unfinished_item_is_not_deleted() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1), attrs.evolve(TERMS, retention_s=100_000.0))
    harness.pass_time(10 * STATUS_S)
    assert harness.forgotten == []


def test_slots_without_a_definition_or_with_a_tombstone_are_not_loaded() -> None:
    harness = JobManagerHarness()
    harness.records.put("lots.example/l", END, b"", 0.0)
    harness.records.put("lots.example/m", DEFINITION, b"", 0.0)
    harness.records.put("lots.example/m", TOMBSTONE, b"", 0.0)
    harness.perform(harness.job_manager.on_ownership_gained(0.0, harness.records.jobs))
    assert harness.job_manager.jobs == {}
