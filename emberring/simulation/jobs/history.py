"""History of simulated batch jobs as observed by clients and model servers, and its checks."""

from __future__ import annotations

from enum import Enum

import attrs
import orjson

SETTLING_S = 0.0  # the response of an owner takes effect at once
CANCEL_S = 3.0
QUOTA_TOLERANCE = 1.1


class SubmissionOutcome(Enum):
    """Outcome of a client's attempt to submit a batch job."""

    ACCEPTED = "taken"
    QUOTA = "quota"
    NOT_READY = "not_ready"
    UNKNOWN = "unclear"


@attrs.define(eq=False)
class ItemRecord:
    """What servers have done with an item."""

    tokens: int
    events: int
    impossible: bool
    started: int = 0
    finished: bool = False
    failures: int = 0
    refused_422: bool = False


@attrs.define(eq=False)
class RunRecord:
    """A run at a server; `resume_after` is the event after which it resumes, or None to run from the start."""

    item: str
    resume_after: int | None
    complete: bool


@attrs.define(eq=False)
class JobRecord:
    """The state of a batch job as observed by its client; `runnable`: its service has servers."""

    id: str
    items: dict[str, ItemRecord]
    sent_s: float
    runnable: bool = True
    attempts: list[SubmissionOutcome] = attrs.field(factory=list)
    accepted_s: float | None = None
    end_requested_s: float | None = None
    end_acknowledged_s: float | None = None
    visible: dict[int, tuple[str, str, str]] = attrs.field(factory=dict)


class History:
    """All observed events, and the violations found in them."""

    def __init__(self, max_tokens: int, max_attempts: int, retention_s: float) -> None:
        self.max_tokens = max_tokens
        self.max_attempts = max_attempts
        self.retention_s = retention_s
        self.jobs: dict[str, JobRecord] = {}
        self.runs: dict[int, RunRecord] = {}
        self.violations: list[str] = []
        self._job_of_item: dict[str, JobRecord] = {}

    def add_violation(self, now_s: float, text: str) -> None:
        """Add a violation."""
        self.violations.append(f"{now_s:.3f} s: {text}")

    def submitted(self, now_s: float, job: JobRecord) -> None:
        """Record the first submission of a batch job."""
        self.jobs[job.id] = job
        for item in job.items:
            self._job_of_item[item] = job

    def submission_attempted(self, now_s: float, job: JobRecord, outcome: SubmissionOutcome) -> None:
        """Record the outcome of an attempt to submit."""
        job.attempts.append(outcome)
        if outcome is SubmissionOutcome.ACCEPTED and job.accepted_s is None:
            job.accepted_s = now_s
            waiting = sum(self._waiting_tokens(other) for other in self.jobs.values())
            if waiting > self.max_tokens * QUOTA_TOLERANCE:
                self.add_violation(now_s, f"QUOTA {waiting} tokens queued after {job.id}")

    def _waiting_tokens(self, job: JobRecord) -> int:
        if job.accepted_s is None or job.end_requested_s is not None or not job.runnable:
            return 0
        dead = {item for item, state, _ in job.visible.values() if state == "dead_letter"}
        return sum(
            item.tokens
            for name, item in job.items.items()
            if not item.finished and not item.refused_422 and name not in dead
        )

    # Servers.

    def started(self, now_s: float, item: str, resume_after: int | None) -> int:
        """Record that an item reached a server; returns the number of the run."""
        job = self._job_of_item[item]
        job.items[item].started += 1
        if job.end_acknowledged_s is not None and now_s > job.end_acknowledged_s + CANCEL_S:
            self.add_violation(now_s, f"UNASKED {item} ran after the end of {job.id}")
        number = len(self.runs) + 1
        self.runs[number] = RunRecord(item, resume_after, False)
        return number

    # Reads.

    def read(self, now_s: float, job: JobRecord, start: int, body: bytes) -> None:
        """Check a page of results."""
        page = orjson.loads(body)
        if page["Total"] != len(job.items):
            self.add_violation(now_s, f"MIXED Total {page['Total']} of {job.id}")
        results = page["Results"]
        if page["NextPageToken"] != start + len(results):
            self.add_violation(now_s, f"MIXED NextPageToken of {job.id}")
        if not results and start in job.visible:
            self.add_violation(now_s, f"LOST no result at {start} of {job.id}, which was read before")
        for offset, result in enumerate(results):
            found = (result["Id"], result["State"], result["Message"])
            self._check_result(now_s, job, start + offset, found)

    def _check_result(self, now_s: float, job: JobRecord, position: int, found: tuple[str, str, str]) -> None:
        before = job.visible.get(position)
        if before is not None:
            if before != found:
                self.add_violation(now_s, f"TWICE {job.id} at {position}: {before} then {found}")
            return
        if any(other[0] == found[0] for other in job.visible.values()):
            self.add_violation(now_s, f"TWICE {found[0]} at two positions of {job.id}")
        job.visible[position] = found
        item = job.items.get(found[0])
        if item is None:
            self.add_violation(now_s, f"MIXED {found[0]} is not an item of {job.id}")
        elif found[1] == "completed":
            self._check_text(now_s, found[0], item, found[2])
        elif not self._may_be_dead_letter(now_s, job, item):
            self.add_violation(now_s, f"MIXED {found[0]} became a dead letter too early")

    def _may_be_dead_letter(self, now_s: float, job: JobRecord, item: ItemRecord) -> bool:
        expired = now_s - job.sent_s >= self.retention_s
        ended = job.end_requested_s is not None
        return item.refused_422 or item.failures >= self.max_attempts or expired or ended

    def _check_text(self, now_s: float, name: str, item: ItemRecord, text: str) -> None:
        last_run, last = 0, -1
        for line in text.split("\n"):
            found, run_text, number_text = line.split("#")
            run, number = int(run_text), int(number_text)
            if found != name or number != last + 1:
                self.add_violation(now_s, f"ORDER {line} after {last} in the text of {name}")
                return
            resume_after = self.runs[run].resume_after
            if run != last_run and (last if last >= 0 else None) != resume_after:
                self.add_violation(
                    now_s, f"ORDER run {run} of {name} resumed after {last}, requested {resume_after}"
                )
            last_run, last = run, number
        if last != item.events - 1:
            self.add_violation(now_s, f"MIXED the text of {name} ends after {last}")

    def not_found(self, now_s: float, job: JobRecord, sent_s: float) -> None:
        """Check a read that was answered with `NotFoundError`."""
        if job.accepted_s is not None and sent_s >= job.accepted_s + SETTLING_S:
            self.add_violation(now_s, f"LOST {job.id} is not found")

    # Final checks.

    def finish(self, now_s: float) -> list[str]:
        """Check that rejected batch jobs never ran and accepted ones are complete; return all violations."""
        for job in self.jobs.values():
            rejected = job.attempts and all(
                outcome in (SubmissionOutcome.QUOTA, SubmissionOutcome.NOT_READY) for outcome in job.attempts
            )
            if rejected and any(item.started for item in job.items.values()):
                self.add_violation(now_s, f"REFUSED {job.id} ran")
            if (
                job.accepted_s is not None
                and job.runnable
                and job.end_requested_s is None
                and len(job.visible) != len(job.items)
            ):
                self.add_violation(now_s, f"LOST {job.id} has {len(job.visible)} of {len(job.items)} results")
        return self.violations
