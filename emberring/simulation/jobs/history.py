"""What clients and model servers saw of simulated batch jobs, judged by the rules of batch jobs."""

from __future__ import annotations

from enum import Enum

import attrs
import orjson

SETTLE_S = 0.0  # an owner's answer is certain, so nothing needs to settle here
CANCEL_S = 3.0
OVERAGE = 1.1


class Try(Enum):
    """How one try of a client to hand in a batch job ended."""

    TAKEN = "taken"
    QUOTA = "quota"
    NOT_READY = "not_ready"
    UNCLEAR = "unclear"


@attrs.define(eq=False)
class ItemTruth:
    """What servers did with an item."""

    tokens: int
    events: int
    impossible: bool
    started: int = 0
    finished: bool = False
    failures: int = 0
    refused_422: bool = False


@attrs.define(eq=False)
class RunTruth:
    """A run at a server: the event after which it was asked to go on, None from the start."""

    item: str
    resume_after: int | None
    whole: bool


@attrs.define(eq=False)
class JobTruth:
    """A batch job as its client knows it."""

    id: str
    items: dict[str, ItemTruth]
    sent_s: float
    tries: list[Try] = attrs.field(factory=list)
    taken_s: float | None = None
    end_asked_s: float | None = None
    end_acked_s: float | None = None
    visible: dict[int, tuple[str, str, str]] = attrs.field(factory=dict)


class History:
    """Everything that happened, and the mutations found in it."""

    def __init__(self, max_tokens: int, max_attempts: int, retention_s: float) -> None:
        self.max_tokens = max_tokens
        self.max_attempts = max_attempts
        self.retention_s = retention_s
        self.jobs: dict[str, JobTruth] = {}
        self.runs: dict[int, RunTruth] = {}
        self.mistakes: list[str] = []
        self._owners: dict[str, JobTruth] = {}

    def wrong(self, now_s: float, text: str) -> None:
        """A mutation."""
        self.mistakes.append(f"{now_s:.3f} s: {text}")

    def sent(self, now_s: float, job: JobTruth) -> None:
        """A batch job is submitted for the first time."""
        self.jobs[job.id] = job
        for item in job.items:
            self._owners[item] = job

    def tried(self, now_s: float, job: JobTruth, how: Try) -> None:
        """A try has ended."""
        job.tries.append(how)
        if how is Try.TAKEN and job.taken_s is None:
            job.taken_s = now_s
            waiting = sum(self._waiting(other) for other in self.jobs.values())
            if waiting > self.max_tokens * OVERAGE:
                self.wrong(now_s, f"QUOTA {waiting} tokens wait after {job.id}")

    def _waiting(self, job: JobTruth) -> int:
        if job.taken_s is None or job.end_asked_s is not None:
            return 0
        dead = {item for item, state, _ in job.visible.values() if state == "dead_letter"}
        return sum(
            item.tokens
            for name, item in job.items.items()
            if not item.finished and not item.refused_422 and name not in dead
        )

    # Servers.

    def started(self, now_s: float, item: str, resume_after: int | None) -> int:
        """An item reached a server; the number of the run."""
        job = self._owners[item]
        job.items[item].started += 1
        if job.end_acked_s is not None and now_s > job.end_acked_s + CANCEL_S:
            self.wrong(now_s, f"UNASKED {item} ran after the end of {job.id}")
        number = len(self.runs) + 1
        self.runs[number] = RunTruth(item, resume_after, False)
        return number

    # Reads.

    def read(self, now_s: float, job: JobTruth, start: int, body: bytes) -> None:
        """A page came."""
        page = orjson.loads(body)
        if page["Total"] != len(job.items):
            self.wrong(now_s, f"MIXED Total {page['Total']} of {job.id}")
        results = page["Results"]
        if page["NextPageToken"] != start + len(results):
            self.wrong(now_s, f"MIXED NextPageToken of {job.id}")
        if not results and start in job.visible:
            self.wrong(now_s, f"LOST nothing at {start} of {job.id}, which was read before")
        for offset, result in enumerate(results):
            found = (result["Id"], result["State"], result["Message"])
            self._shown(now_s, job, start + offset, found)

    def _shown(self, now_s: float, job: JobTruth, position: int, found: tuple[str, str, str]) -> None:
        before = job.visible.get(position)
        if before is not None:
            if before != found:
                self.wrong(now_s, f"TWICE {job.id} at {position}: {before} then {found}")
            return
        if any(other[0] == found[0] for other in job.visible.values()):
            self.wrong(now_s, f"TWICE {found[0]} at two positions of {job.id}")
        job.visible[position] = found
        item = job.items.get(found[0])
        if item is None:
            self.wrong(now_s, f"MIXED {found[0]} is not of {job.id}")
        elif found[1] == "completed":
            self._check_text(now_s, found[0], item, found[2])
        elif not self._may_be_dead(now_s, job, item):
            self.wrong(now_s, f"MIXED {found[0]} dead too soon")

    def _may_be_dead(self, now_s: float, job: JobTruth, item: ItemTruth) -> bool:
        old = now_s - job.sent_s >= self.retention_s
        ended = job.end_asked_s is not None
        return item.refused_422 or item.failures >= self.max_attempts or old or ended

    def _check_text(self, now_s: float, name: str, item: ItemTruth, text: str) -> None:
        last_run, last = 0, -1
        for line in text.split("\n"):
            found, run_text, number_text = line.split("#")
            run, number = int(run_text), int(number_text)
            if found != name or number != last + 1:
                self.wrong(now_s, f"ORDER {line} after {last} in the text of {name}")
                return
            asked = self.runs[run].resume_after
            if run != last_run and (last if last >= 0 else None) != asked:
                self.wrong(now_s, f"ORDER run {run} of {name} goes on after {last}, asked {asked}")
            last_run, last = run, number
        if last != item.events - 1:
            self.wrong(now_s, f"MIXED the text of {name} ends after {last}")

    def not_found(self, now_s: float, job: JobTruth, asked_s: float) -> None:
        """A read was told that there is no such batch job."""
        if job.taken_s is not None and asked_s >= job.taken_s + SETTLE_S:
            self.wrong(now_s, f"LOST {job.id} is not found")

    # The end.

    def finish(self, now_s: float) -> list[str]:
        """The last checks: refused batch jobs never ran, taken ones are whole."""
        for job in self.jobs.values():
            refused = job.tries and all(how in (Try.QUOTA, Try.NOT_READY) for how in job.tries)
            if refused and any(item.started for item in job.items.values()):
                self.wrong(now_s, f"REFUSED {job.id} ran")
            if job.taken_s is not None and job.end_asked_s is None and len(job.visible) != len(job.items):
                self.wrong(now_s, f"LOST {job.id} has {len(job.visible)} of {len(job.items)} results")
        return self.mistakes
