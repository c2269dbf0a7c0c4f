"""Test fixture: a job manager whose actions are carried out at once, or when the test says so."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from emberring.jobs.calls import (
    Assignment,
    EndJob,
    EventData,
    FinishRun,
    JobPage,
    JobTerms,
    ReadJob,
    ReportRuns,
    RunProgress,
    SubmitJob,
)
from emberring.jobs.definition import decode_items
from emberring.jobs.items import OutcomeKind
from emberring.jobs.job_manager import JobManager
from emberring.jobs.job_table import AnswerCall, ForgetJob, JobManagerAction, ProposeValue, RejectCall
from emberring.jobs.lease_budget import MAX_LEASED_BYTES, LeaseBudget
from emberring.jobs.lease_order import lease_in_order
from emberring.jobs.loading import DecodeDefinition
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.packing import compress, pack_events
from emberring.jobs.results import page_json

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
    """A job manager whose proposals are committed at once, or when a test calls `commit_proposals`."""

    records: OwnedRecords = attrs.field(factory=OwnedRecords)
    now_s: float = 0.0
    commit_at_once: bool = True
    decode_at_once: bool = True
    decodings: list[DecodeDefinition] = attrs.field(factory=list)
    answers: dict[int, Any] = attrs.field(factory=dict)
    proposed: list[ProposeValue] = attrs.field(factory=list)
    forgotten: list[str] = attrs.field(factory=list)
    calls: int = 0
    job_manager: JobManager = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.job_manager = JobManager(0, self.records, STATUS_S, 1)

    def perform(self, actions: list[JobManagerAction]) -> None:
        for action in actions:
            if isinstance(action, AnswerCall):
                self.answers[action.call] = action.body
            elif isinstance(action, RejectCall):
                self.answers[action.call] = action.error
            elif isinstance(action, ForgetJob):
                self.forgotten.append(action.key)
            elif isinstance(action, DecodeDefinition):
                self.decodings.append(action)
                if self.decode_at_once:
                    self.decode_next()
            else:
                self.records.put(action.key, action.slot, action.value, action.accepted_s)
                self.proposed.append(action)
                if self.commit_at_once:
                    self.commit_proposals()

    def decode_next(self, damaged: bool = False) -> None:
        """Carry out the oldest decoding that the job manager ordered."""
        action = self.decodings.pop(0)
        specs = None if damaged else decode_items(action.value)
        self.perform(self.job_manager.on_definition_decoded(self.now_s, action.number, specs))

    def commit_proposals(self) -> None:
        """Commit all pending proposals."""
        proposed, self.proposed = self.proposed, []
        for proposal in proposed:
            owned = self.records.find(proposal.key, proposal.slot)
            assert owned is not None
            self.records.mark_committed(owned)
            self.perform(self.job_manager.on_committed(self.now_s, proposal.key, proposal.slot))

    def next_call(self) -> int:
        self.calls += 1
        return self.calls

    def submit(self, job: str, content: bytes, terms: JobTerms = TERMS) -> Any:
        call = self.next_call()
        self.perform(
            self.job_manager.submit(self.now_s, call, SubmitJob(HOST, job, terms, compress(content)))
        )
        return self.answers.get(call)

    def read(self, job: str, start: int = 0, wait_ms: int = 0) -> Any:
        call = self.next_call()
        self.perform(self.job_manager.read(self.now_s, call, ReadJob(HOST, job, start, wait_ms)))
        answer = self.answers.get(call)
        return orjson.loads(page_json(answer)) if isinstance(answer, JobPage) else answer

    def end(self, job: str) -> Any:
        call = self.next_call()
        self.perform(self.job_manager.end(call, EndJob(HOST, job)))
        return self.answers.get(call)

    def lease_items(
        self,
        capacity: int = 100,
        gateway: str = "g",
        max_bytes: int = MAX_LEASED_BYTES,
        service_capacity: dict[str, int] | None = None,
    ) -> list[Assignment]:
        budget = LeaseBudget(gateway, capacity, service_capacity, max_bytes=max_bytes)
        return list(lease_in_order(self.now_s, [self.job_manager], budget))

    def finish(
        self,
        item: Assignment,
        kind: OutcomeKind = OutcomeKind.COMPLETED,
        run_events: tuple[EventData, ...] = (),
        start: int = 0,
        declined: bool = False,
    ) -> Any:
        call = self.next_call()
        message = FinishRun(
            "g",
            0,
            item.key,
            item.index,
            item.ticket,
            kind.value,
            start,
            start + len(run_events),
            pack_events(run_events),
            declined,
        )
        self.perform(self.job_manager.finish_run(self.now_s, call, message))
        return self.answers.get(call)

    def report(
        self, item: Assignment, start: int, run_events: tuple[EventData, ...], gateway: str = "g"
    ) -> tuple[bool, int]:
        run = RunProgress(item.key, item.index, item.ticket, start, pack_events(run_events))
        (renewal,) = self.job_manager.report_runs(self.now_s, ReportRuns(gateway, 0, (run,))).runs
        return renewal.lease_renewed, renewal.events_received

    def pass_time(self, seconds: float) -> None:
        self.now_s += seconds
        self.perform(self.job_manager.tick(self.now_s))

    def takeover(self, decode_at_once: bool = True) -> JobManagerHarness:
        """Return the job manager of a new owner that has recovered the committed records."""
        for key, job in list(self.records.jobs.items()):
            for slot, owned in list(job.slots.items()):
                if not owned.committed:
                    self.records.erase(key, slot)
        other = JobManagerHarness(self.records, self.now_s, decode_at_once=decode_at_once, calls=1000)
        other.perform(other.job_manager.on_ownership_gained(self.now_s, self.records.jobs))
        return other


def states(page: dict[str, Any]) -> list[tuple[str, str, str]]:
    return [(result["Id"], result["State"], result["Message"]) for result in page["Results"]]
