"""Loading of batch jobs at a new owner: bounded steps, the calls meanwhile, and definitions that are damaged."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from job_manager_harness import HOST, STATUS_S, JobManagerHarness, body, events, states

from emberring.errors import NotReadyError
from emberring.jobs.calls import EndJob, ItemBody, ReadItem, ReadJob
from emberring.jobs.execution import TAKEOVER_GRACE_S
from emberring.jobs.items import OutcomeKind
from emberring.jobs.job_manager import RETENTION_MARGIN_S
from emberring.transport.messages import Ok


def previous_owner(jobs: int = 3, items: int = 2) -> JobManagerHarness:
    """Return an owner of batch jobs `l0`, `l1`, ... without results."""
    harness = JobManagerHarness()
    for number in range(jobs):
        assert harness.submit(f"l{number}", body(items, tokens=1)) == Ok()
    return harness


def read_later(harness: JobManagerHarness, job: str) -> int:
    """Send a read and return the number of the call."""
    call = harness.next_call()
    harness.perform(harness.job_manager.read(harness.now_s, call, ReadJob(HOST, job, 0, 0)))
    return call


# Guards against review case 1: an owner that decodes all that is stored in one step and loses its lease meanwhile.
def test_a_new_owner_decodes_one_definition_at_a_time() -> None:
    new_owner = previous_owner(jobs=3).takeover(decode_at_once=False)
    assert (len(new_owner.decodings), len(new_owner.job_manager.jobs)) == (1, 0)
    for loaded in (1, 2, 3):
        new_owner.decode_next()
        assert (len(new_owner.decodings), len(new_owner.job_manager.jobs)) == (int(loaded < 3), loaded)
    assert new_owner.job_manager.job_count == 3


def test_a_batch_job_that_has_ended_is_decoded_only_when_it_is_read() -> None:
    harness = previous_owner(jobs=2)
    (item,) = harness.lease_items(1)
    harness.finish(item, run_events=events("x"))
    harness.end("l0")
    harness.end("l1")
    new_owner = harness.takeover(decode_at_once=False)
    assert not new_owner.decodings
    call = read_later(new_owner, "l0")
    assert call not in new_owner.answers
    new_owner.decode_next()
    assert new_owner.answers[call].total == 2
    assert not new_owner.decodings
    assert set(new_owner.job_manager.jobs) == {f"{HOST}/l0"}


def test_a_batch_job_that_a_caller_waits_for_is_loaded_before_others() -> None:
    new_owner = previous_owner(jobs=3).takeover(decode_at_once=False)
    calls = [read_later(new_owner, "l2"), read_later(new_owner, "l2")]
    new_owner.decode_next()
    assert not set(calls) & set(new_owner.answers)
    new_owner.decode_next()
    assert set(calls) <= set(new_owner.answers)
    assert f"{HOST}/l1" not in new_owner.job_manager.jobs


def test_an_item_and_an_end_wait_until_their_batch_job_is_loaded() -> None:
    new_owner = previous_owner(jobs=1).takeover(decode_at_once=False)
    item, end = new_owner.next_call(), new_owner.next_call()
    new_owner.perform(new_owner.job_manager.read_item(item, ReadItem(HOST, "l0", "i1")))
    new_owner.perform(new_owner.job_manager.end(end, EndJob(HOST, "l0")))
    assert not {item, end} & set(new_owner.answers)
    new_owner.decode_next()
    assert new_owner.answers[item] == ItemBody(b"\xab\xcd")
    assert new_owner.answers[end] == Ok()
    new_owner.pass_time(TAKEOVER_GRACE_S)
    assert new_owner.lease_items() == []


def test_repeated_submissions_and_ends_are_answered_before_loading() -> None:
    harness = previous_owner(jobs=2)
    harness.end("l1")
    new_owner = harness.takeover(decode_at_once=False)
    assert new_owner.submit("l0", body(2, tokens=1)) == Ok()
    assert new_owner.submit("l1", body(2, tokens=1)) == Ok()
    assert new_owner.end("l1") == Ok()


# Guards against a quota that is exceeded because the tokens of batch jobs are not counted yet.
def test_a_new_batch_job_is_refused_until_all_unfinished_ones_are_loaded() -> None:
    harness = previous_owner(jobs=2)
    harness.end("l1")
    new_owner = harness.takeover(decode_at_once=False)
    assert isinstance(new_owner.submit("l9", body(1)), NotReadyError)
    new_owner.decode_next()
    assert new_owner.submit("l9", body(1)) == Ok()


# Guards against runs that a new owner stops, or whose results it discards, because it has not loaded their batch job.
def test_runs_go_on_and_results_are_asked_for_again_until_their_batch_job_is_loaded() -> None:
    harness = previous_owner(jobs=2, items=1)
    first, second = harness.lease_items()
    new_owner = harness.takeover(decode_at_once=False)
    assert new_owner.report(first, 0, events("a")) == (True, 0)
    assert not new_owner.finish(second, run_events=events("b")).acknowledged
    new_owner.decode_next()
    new_owner.decode_next()
    assert new_owner.report(first, 0, events("a")) == (True, 1)
    assert new_owner.finish(second, run_events=events("b")).acknowledged
    new_owner.pass_time(TAKEOVER_GRACE_S)
    assert new_owner.lease_items() == []
    assert states(new_owner.read("l1")) == [("i0", "completed", "b")]


def test_a_run_of_a_batch_job_that_has_ended_is_stopped_before_loading() -> None:
    harness = previous_owner(jobs=1, items=1)
    (item,) = harness.lease_items()
    harness.end("l0")
    new_owner = harness.takeover(decode_at_once=False)
    assert new_owner.report(item, 0, events("a")) == (False, 0)
    assert new_owner.finish(item, OutcomeKind.BROKEN).acknowledged


def lose_ownership(owner: JobManagerHarness) -> None:
    owner.perform(owner.job_manager.on_ownership_lost())


def claim_again(owner: JobManagerHarness) -> None:
    owner.perform(owner.job_manager.on_ownership_gained(owner.now_s, owner.records.jobs))


@pytest.mark.parametrize("change", [lose_ownership, claim_again])
def test_waiting_calls_are_rejected_when_the_owner_changes_and_late_decodings_ignored(
    change: Callable[[JobManagerHarness], None],
) -> None:
    new_owner = previous_owner(jobs=2).takeover(decode_at_once=False)
    call = read_later(new_owner, "l0")
    change(new_owner)
    assert isinstance(new_owner.answers[call], NotReadyError)
    new_owner.decode_next()
    assert not new_owner.job_manager.jobs


def test_the_same_owner_under_another_term_decodes_nothing_again() -> None:
    new_owner = previous_owner(jobs=3).takeover(decode_at_once=False)
    new_owner.decode_next()
    claim_again(new_owner)
    assert set(new_owner.job_manager.jobs) == {f"{HOST}/l0"}
    new_owner.decode_next()
    new_owner.decode_next()
    claim_again(new_owner)
    assert set(new_owner.job_manager.jobs) == {f"{HOST}/l0", f"{HOST}/l1"}


def test_a_damaged_definition_holds_up_nothing_else_and_its_batch_job_is_never_reported_as_absent() -> None:
    new_owner = previous_owner(jobs=2).takeover(decode_at_once=False)
    waiting = read_later(new_owner, "l0")
    new_owner.decode_next(damaged=True)
    new_owner.decode_next()
    assert isinstance(new_owner.answers[waiting], NotReadyError)
    assert isinstance(new_owner.read("l0"), NotReadyError)
    assert isinstance(new_owner.end("l0"), NotReadyError)
    assert new_owner.submit("l0", body(2, tokens=1)) == Ok()
    assert new_owner.submit("l9", body(1)) == Ok()
    assert new_owner.read("l1")["Total"] == 2
    assert new_owner.job_manager.job_count == 3


def test_a_batch_job_that_has_ended_is_deleted_after_its_retention_without_being_loaded() -> None:
    harness = previous_owner(jobs=1)
    harness.end("l0")
    new_owner = harness.takeover(decode_at_once=False)
    new_owner.pass_time(STATUS_S + RETENTION_MARGIN_S)
    assert not new_owner.forgotten
    new_owner.pass_time(1.0)
    assert set(new_owner.forgotten) == {f"{HOST}/l0"}
    assert not new_owner.decodings


def test_tokens_of_a_batch_job_count_once_it_is_loaded() -> None:
    new_owner = previous_owner(jobs=2, items=3).takeover(decode_at_once=False)
    assert sum(new_owner.job_manager.waiting_tokens.values()) == 0
    while new_owner.decodings:
        new_owner.decode_next()
    assert sum(new_owner.job_manager.waiting_tokens.values()) == 6
