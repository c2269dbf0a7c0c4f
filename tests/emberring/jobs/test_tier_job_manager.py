"""The job manager of a shard's batch jobs: submission, quota, execution, results, end, deletion."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import pytest

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
    Assignment,
    EndJob,
    EventData,
    FinishRun,
    FinishRunReply,
    ItemBody,
    JobPage,
    JobTerms,
    ReadItem,
    ReadJob,
    ReportRuns,
    RunProgress,
    SubmitJob,
)
from emberring.jobs.execution import RETENTION_GRACE_S, RUN_LEASE_S, TAKEOVER_GRACE_S
from emberring.jobs.items import OutcomeKind
from emberring.jobs.job_manager import UNENDED_RETENTION_MARGIN_S, JobManager
from emberring.jobs.job_table import AnswerCall, ForgetJob, JobManagerAction, ProposeValue, RejectCall
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.packing import compress, pack_events, unpack_events
from emberring.jobs.records import DEFINITION, END, TOMBSTONE
from emberring.jobs.results import page_json
from emberring.transport.messages import Ok

HOST = "lots.example"
TERMS = JobTerms("r", "/batch/", 5, 8000.0, 40.0, 2, 100)
STATUS_S = 120.0


def body(items: int, tokens: int = 10, prefix: str = "i", filler: str = "") -> bytes:
    return orjson.dumps(
        {
            "Requests": [
                {
                    "Id": f"{prefix}{n}",
                    "Path": f"/batch/{n}",
                    "Headers": {"Model": "m"},
                    "Body": "q80=",
                    "Tokens": tokens,
                }
                for n in range(items)
            ]
        }
    )


def events(*texts: str) -> tuple[EventData, ...]:
    return tuple(EventData(number, text) for number, text in enumerate(texts))


@attrs.define
class JobManagerHarness:
    """A job manager whose proposals are committed when a test says so."""

    records: OwnedRecords = attrs.field(factory=OwnedRecords)
    now_s: float = 0.0
    at_once: bool = True
    answers: dict[int, Any] = attrs.field(factory=dict)
    proposed: list[ProposeValue] = attrs.field(factory=list)
    forgotten: list[str] = attrs.field(factory=list)
    calls: int = 0
    job_manager: JobManager = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.job_manager = JobManager(0, self.records, STATUS_S, 1)

    def act(self, actions: list[JobManagerAction]) -> None:
        for action in actions:
            if isinstance(action, AnswerCall):
                self.answers[action.call] = action.body
            elif isinstance(action, RejectCall):
                self.answers[action.call] = action.error
            elif isinstance(action, ForgetJob):
                self.forgotten.append(action.key)
            else:
                self.records.put(action.key, action.slot, action.value, action.accepted_s)
                self.proposed.append(action)
                if self.at_once:
                    self.last()

    def last(self) -> None:
        """Commit what was proposed."""
        proposed, self.proposed = self.proposed, []
        for proposal in proposed:
            owned = self.records.find(proposal.key, proposal.slot)
            assert owned is not None
            self.records.mark_committed(owned)
            self.act(self.job_manager.on_committed(self.now_s, proposal.key, proposal.slot))

    def number(self) -> int:
        self.calls += 1
        return self.calls

    def submit(self, job: str, content: bytes, terms: JobTerms = TERMS) -> Any:
        call = self.number()
        self.act(self.job_manager.submit(self.now_s, call, SubmitJob(HOST, job, terms, compress(content))))
        return self.answers.get(call)

    def read(self, job: str, start: int = 0, wait_ms: int = 0) -> Any:
        call = self.number()
        self.act(self.job_manager.read(self.now_s, call, ReadJob(HOST, job, start, wait_ms)))
        found = self.answers.get(call)
        return orjson.loads(page_json(found)) if isinstance(found, JobPage) else found

    def end(self, job: str) -> Any:
        call = self.number()
        self.act(self.job_manager.end(call, EndJob(HOST, job)))
        return self.answers.get(call)

    def take(self, capacity: int = 100, gateway: str = "g") -> list[Assignment]:
        return self.job_manager.lease_items(self.now_s, gateway, capacity)

    def finish(
        self,
        item: Assignment,
        kind: OutcomeKind = OutcomeKind.COMPLETED,
        found: tuple[EventData, ...] = (),
        start: int = 0,
    ) -> Any:
        call = self.number()
        message = FinishRun(
            "g",
            0,
            item.key,
            item.index,
            item.ticket,
            kind.value,
            start,
            start + len(found),
            pack_events(found),
        )
        self.act(self.job_manager.finish_run(self.now_s, call, message))
        return self.answers.get(call)

    def report(
        self, item: Assignment, start: int, found: tuple[EventData, ...], gateway: str = "g"
    ) -> tuple[bool, int]:
        run = RunProgress(item.key, item.index, item.ticket, start, pack_events(found))
        (answer,) = self.job_manager.report_runs(self.now_s, ReportRuns(gateway, 0, (run,))).runs
        return answer.lease_renewed, answer.events_received

    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        self.act(self.job_manager.tick(self.now_s))

    def takeover(self) -> JobManagerHarness:
        """Return another owner's job manager with the committed records."""
        for key, job in list(self.records.jobs.items()):
            for slot, owned in list(job.slots.items()):
                if not owned.committed:
                    self.records.erase(key, slot)
        other = JobManagerHarness(self.records, self.now_s, calls=1000)
        other.act(other.job_manager.on_ownership_gained(self.now_s, self.records.jobs))
        return other


def states(page: dict[str, Any]) -> list[tuple[str, str, str]]:
    return [(result["Id"], result["State"], result["Message"]) for result in page["Results"]]


# Taking.


def test_a_job_is_accepted_once_durable_and_only_once() -> None:
    harness = JobManagerHarness(at_once=False)
    assert harness.submit("l", body(2)) is None
    assert harness.submit("l", body(2)) is None
    assert isinstance(harness.read("l"), NotReadyError)
    assert harness.take() == []
    harness.last()
    assert harness.answers[1] == harness.answers[2] == Ok()
    assert harness.submit("l", body(2)) == Ok()
    assert [item.id for item in harness.take()] == ["i0", "i1"]


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
def test_what_is_no_job_is_refused_and_leaves_nothing(content: bytes) -> None:
    harness = JobManagerHarness()
    assert isinstance(harness.submit("l", content), BadRequestError)
    assert harness.records.jobs == {}


def test_a_job_that_does_not_fit_leaves_nothing_and_fits_later() -> None:
    harness = JobManagerHarness()
    assert harness.submit("one", body(6)) == Ok()
    assert isinstance(harness.submit("two", body(5)), QuotaExceededError)
    assert "lots.example/two" not in harness.records.jobs
    assert isinstance(harness.read("two"), NotFoundError)
    assert harness.submit("three", body(4)) == Ok()
    item = harness.take(1)[0]
    harness.finish(item, found=events("x"))
    assert harness.submit("two", body(1)) == Ok()
    assert harness.job_manager.waiting_tokens == {"r": 100}


@pytest.mark.parametrize("how", [OutcomeKind.COMPLETED, OutcomeKind.IMPOSSIBLE_422])
def test_tokens_are_released_when_the_result_arrives_not_when_it_is_durable(how: OutcomeKind) -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    item = harness.take(1)[0]
    harness.at_once = False
    harness.finish(item, how)
    assert harness.job_manager.waiting_tokens == {"r": 90}


def test_an_end_gives_back_all_that_waits() -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    assert harness.end("one") == Ok()
    assert harness.submit("two", body(10)) == Ok()


def test_no_limit_and_a_limit_that_a_newer_configuration_sets() -> None:
    route = Route("r", HOST, "/batch/", RouteType.BATCH, 4000, (Share("s", 1),), max_queued_tokens=20)
    harness = JobManagerHarness()
    assert harness.submit("free", body(100), attrs.evolve(TERMS, max_queued_tokens=0)) == Ok()
    harness.job_manager.configure(Configuration(4, (route,), ()))
    assert isinstance(harness.submit("one", body(1)), QuotaExceededError)  # 1,000 tokens wait, 100 may
    harness.end("free")
    assert harness.submit("two", body(5)) == Ok()  # the older configuration's 20 do not count
    harness.job_manager.configure(Configuration(5, (route,), ()))
    assert isinstance(harness.submit("three", body(1)), QuotaExceededError)


def test_after_a_takeover_all_that_has_no_result_waits() -> None:
    harness = JobManagerHarness()
    harness.submit("one", body(10))
    for item in harness.take(4):
        harness.finish(item, found=events("x"))
    other = harness.takeover()
    assert other.job_manager.waiting_tokens == {"r": 60}
    assert isinstance(other.submit("two", body(5)), QuotaExceededError)
    assert other.submit("three", body(4)) == Ok()


# Reading.


def test_pages_hold_results_in_their_positions() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(3))
    first, second, third = harness.take()
    harness.finish(second, found=events("b0", "b1"))
    assert harness.read("l") == {
        "Total": 3,
        "NextPageToken": 1,
        "Results": [{"Id": "i1", "State": "completed", "Message": "b0\nb1"}],
    }
    harness.finish(first, OutcomeKind.IMPOSSIBLE_422)
    assert states(harness.read("l", 1)) == [("i0", "dead_letter", "")]
    assert harness.read("l", 2) == {"Total": 3, "NextPageToken": 2, "Results": []}
    harness.finish(third, found=events("c"))
    assert [entry[0] for entry in states(harness.read("l"))] == ["i1", "i0", "i2"]
    assert isinstance(harness.read("unknown"), NotFoundError)


def test_a_result_is_visible_only_once_durable_and_behind_no_gap() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, second = harness.take()
    harness.at_once = False
    assert harness.finish(first, found=events("a")) is None
    assert harness.finish(second, found=events("b")) is None
    proposals, harness.proposed = harness.proposed, harness.proposed[1:]
    harness.last()
    assert harness.read("l")["Results"] == []
    harness.proposed = proposals[:1]
    harness.last()
    assert len(harness.read("l")["Results"]) == 2


def test_a_read_waits_for_the_next_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    assert harness.read("l", 0, 1000) is None
    harness.pass_time(0.5)
    assert 2 not in harness.answers
    harness.finish(harness.take(1)[0], found=events("a"))
    assert len(orjson.loads(page_json(harness.answers[2]))["Results"]) == 1
    assert harness.read("l", 1, 300) is None
    harness.pass_time(0.31)
    assert orjson.loads(page_json(harness.answers[4]))["Results"] == []


def test_a_page_holds_about_a_megabyte_and_at_least_one_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(3))
    for item in harness.take():
        harness.finish(item, found=events("x" * 1_200_000 if item.index == 0 else "y" * 400_000))
    assert [len(harness.read("l", start)["Results"]) for start in (0, 1, 2)] == [1, 2, 1]


def test_item_bodies_are_readable_until_the_job_is_ended() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    for name, found in (("i0", ItemBody(b"\xab\xcd")), ("other", None)):
        call = harness.number()
        harness.act(harness.job_manager.read_item(call, ReadItem(HOST, "l", name)))
        if found is None:
            assert isinstance(harness.answers[call], NotFoundError)
        else:
            assert harness.answers[call] == found
    harness.end("l")
    call = harness.number()
    harness.act(harness.job_manager.read_item(call, ReadItem(HOST, "l", "i0")))
    assert isinstance(harness.answers[call], NotFoundError)


# Running.


def test_items_due_first_run_first_and_late_ones_behind_those_in_time() -> None:
    harness = JobManagerHarness()
    terms = attrs.evolve(TERMS, completion_ms=2000.0)
    harness.submit("slow", body(1, 1, "s"))
    harness.submit("quick", body(1, 1, "q"), terms)
    harness.now_s = 0.5
    harness.submit("late", body(1, 1, "l"), attrs.evolve(TERMS, completion_ms=100.0))
    assert [item.id for item in harness.take()] == ["q0", "s0", "l0"]


def test_a_late_item_about_to_expire_goes_first() -> None:
    harness = JobManagerHarness()
    harness.submit("old", body(1, 1, "o"), attrs.evolve(TERMS, completion_ms=100.0, retention_s=10.0))
    harness.now_s = 8.0
    harness.submit("new", body(1, 1, "n"))
    assert [item.id for item in harness.take()] == ["o0", "n0"]


def test_a_run_without_reports_is_leased_again_with_its_events() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    assert harness.report(item, 0, events("a", "b")) == (True, 2)
    assert harness.report(item, 2, (EventData(2, "c"),)) == (True, 3)
    harness.pass_time(RUN_LEASE_S - 0.1)
    assert harness.take() == []
    harness.pass_time(0.2)
    (again,) = harness.take(gateway="h")
    assert unpack_events(again.events) == events("a", "b", "c")
    assert harness.report(item, 3, ()) == (False, 0)
    assert harness.finish(again, found=(EventData(3, "d"),), start=3) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a\nb\nc\nd")]


def test_events_that_the_owner_lacks_are_wanted_again() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    assert harness.report(item, 2, (EventData(2, "c"),)) == (True, 0)
    assert harness.finish(item, found=(EventData(2, "c"),), start=2) == FinishRunReply(False)
    assert harness.finish(item, found=events("a", "b", "c")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a\nb\nc")]


def test_events_of_two_runs_are_never_joined() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    harness.report(item, 0, events("old0", "old1"))
    harness.finish(item, OutcomeKind.BROKEN, events("old0"))
    (again,) = harness.take()
    assert unpack_events(again.events) == events("old0", "old1")
    other = attrs.evolve(item, ticket=item.ticket + 1)  # a run that nobody here knows, from its start
    assert harness.report(other, 0, events("new0")) == (False, 0)
    assert harness.finish(other, found=(EventData(1, "new1"),), start=1) == FinishRunReply(False)
    assert harness.finish(other, found=events("new0", "new1")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "new0\nnew1")]


def test_two_runs_that_end_at_once_give_one_result() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    other = attrs.evolve(item, ticket=item.ticket + 1)
    harness.at_once = False
    assert harness.finish(item, found=events("a")) is None
    assert harness.finish(other, found=events("b")) is None
    assert len(harness.proposed) == 1
    harness.last()
    assert harness.answers[2] == harness.answers[3] == FinishRunReply(True)
    assert harness.finish(other, found=events("b")) == FinishRunReply(True)
    assert states(harness.read("l")) == [("i0", "completed", "a")]


def test_answers_of_500_make_a_dead_letter_at_the_last_attempt_and_count_once_each() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    assert harness.finish(item, OutcomeKind.FAILED_500) == FinishRunReply(True)
    assert harness.finish(item, OutcomeKind.FAILED_500) == FinishRunReply(True)
    assert harness.read("l")["Results"] == []
    (again,) = harness.take()
    harness.finish(again, OutcomeKind.NOT_RUN)
    (third,) = harness.take()
    harness.finish(third, OutcomeKind.FAILED_500)
    assert states(harness.read("l")) == [("i0", "dead_letter", "")]
    assert harness.take() == []


@pytest.mark.parametrize(("age_s", "dead"), [(39.9, False), (40.0 + RETENTION_GRACE_S + 0.6, True)])
def test_past_the_retention_items_are_dead_letters(age_s: float, dead: bool) -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    harness.take(1)
    harness.pass_time(age_s)
    assert (len(harness.read("l")["Results"]) == 2) is dead


def test_items_of_a_route_that_is_gone_are_dead_letters_but_not_by_an_older_configuration() -> None:
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


# Ends and ownership.


def test_an_end_is_acknowledged_once_durable_and_nothing_is_leased_from_its_request_on() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    (item,) = harness.take(1)
    harness.at_once = False
    assert harness.end("l") is None
    assert harness.take() == []
    assert harness.report(item, 0, ()) == (False, 0)
    harness.last()
    assert harness.answers[2] == Ok()
    assert harness.end("l") == Ok()
    assert isinstance(harness.end("unknown"), NotFoundError)
    assert harness.finish(item, found=events("x")) == FinishRunReply(True)
    assert harness.read("l", 0, 1000)["Results"] == []


def test_an_ended_job_stays_ended_at_another_owner() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    harness.finish(harness.take(1)[0], found=events("x"))
    harness.end("l")
    other = harness.takeover()
    other.pass_time(TAKEOVER_GRACE_S + 0.1)
    assert other.take() == []
    assert len(other.read("l")["Results"]) == 1
    assert other.job_manager.waiting_tokens.get("r", 0) == 0


def test_a_new_owner_waits_for_word_of_runs_and_lets_them_go_on() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, _ = harness.take()
    harness.report(first, 0, events("a"))
    other = harness.takeover()
    assert other.take() == []
    assert other.report(first, 1, (EventData(1, "b"),)) == (True, 0)
    assert other.report(first, 0, events("a", "b")) == (True, 2)
    other.pass_time(TAKEOVER_GRACE_S + 0.01)
    assert [item.index for item in other.take()] == [1]
    assert other.finish(first, found=(EventData(2, "c"),), start=2) == FinishRunReply(True)
    assert states(other.read("l")) == [("i0", "completed", "a\nb\nc")]


def test_a_result_delivered_to_a_new_owner_is_listed_without_another_run() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1))
    (item,) = harness.take()
    harness.at_once = False
    assert harness.finish(item, found=events("a")) is None  # the owner dies before it lasts
    other = harness.takeover()
    assert other.finish(item, found=events("a")) == FinishRunReply(True)
    other.pass_time(TAKEOVER_GRACE_S + 1.0)
    assert other.take() == []
    assert states(other.read("l")) == [("i0", "completed", "a")]


def test_the_same_owner_under_another_term_goes_on_with_its_runs() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(2))
    first, second = harness.take()
    harness.report(first, 0, events("a"))
    harness.finish(second, OutcomeKind.FAILED_500)
    harness.act(harness.job_manager.on_ownership_gained(harness.now_s, harness.records.jobs))
    assert harness.report(first, 1, (EventData(1, "b"),)) == (True, 2)
    harness.pass_time(TAKEOVER_GRACE_S + 0.01)
    (again,) = harness.take()
    harness.finish(again, OutcomeKind.FAILED_500)
    assert states(harness.read("l")) == [("i1", "dead_letter", "")]


def test_waiting_calls_get_an_unknown_outcome_when_the_owner_changes() -> None:
    harness = JobManagerHarness(at_once=False)
    harness.submit("l", body(1))
    harness.last()
    (item,) = harness.take()
    harness.submit("new", body(1))
    harness.read("l", 0, 1000)
    harness.finish(item, found=events("x"))
    harness.end("l")
    harness.act(harness.job_manager.on_ownership_lost())
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
    harness.finish(harness.take(1)[0], found=events("x"))
    if ended:
        harness.end("l")
    harness.pass_time(age_s)
    assert bool(harness.forgotten) is forgotten
    if forgotten:
        harness.records.put("lots.example/l", TOMBSTONE, b"", 0.0)
        harness.act(harness.job_manager.on_committed(harness.now_s, "lots.example/l", TOMBSTONE))
        assert isinstance(harness.read("l"), NotFoundError)


def test_a_job_with_an_unfinished_item_is_not_deleted() -> None:
    harness = JobManagerHarness()
    harness.submit("l", body(1), attrs.evolve(TERMS, retention_s=100_000.0))
    harness.pass_time(10 * STATUS_S)
    assert harness.forgotten == []


def test_slots_without_a_definition_are_no_job() -> None:
    harness = JobManagerHarness()
    harness.records.put("lots.example/l", END, b"", 0.0)
    harness.records.put("lots.example/m", DEFINITION, b"", 0.0)
    harness.records.put("lots.example/m", TOMBSTONE, b"", 0.0)
    harness.act(harness.job_manager.on_ownership_gained(0.0, harness.records.jobs))
    assert harness.job_manager.jobs == {}
