"""The lots of one shard at its owner: taking, running, listing, ending. No I/O.

Calls that wait have a number and are answered by an `Answer` or a `Refuse` with it. What must last is given as a
`Propose`; `chosen` tells the book when it does. Times are seconds of the steady clock.
"""

from __future__ import annotations

from emberring.configuration.model import Configuration
from emberring.errors import EmberringError
from emberring.jobs.batch_job import BatchJob, Item
from emberring.jobs.calls import (
    Assignment,
    EndJob,
    FinishRun,
    ReadItem,
    ReadJob,
    ReportAnswer,
    ReportRuns,
    SubmitJob,
)
from emberring.jobs.definition import decode_items, decode_terms
from emberring.jobs.execution import JobExecution
from emberring.jobs.job_table import BookAction, Forget, JobTable, Refuse
from emberring.jobs.owned import OwnedJob, OwnedRecords
from emberring.jobs.queries import JobQueries
from emberring.jobs.records import DEFINITION, END, FORGOTTEN
from emberring.jobs.results import item_index
from emberring.jobs.submission import JobSubmission

LOOK_EVERY_S = 0.5  # between looks at all lots
FORGET_SLACK_S = 5.0
LISTED_SLACK_S = 30.0  # a lot that is all listed but not ended is kept for so much longer than `StatusS`


class JobManager:
    """One shard's lots. `status_s`: for how long an ended lot can be read after it was handed in."""

    def __init__(self, shard: int, records: OwnedRecords, status_s: float, seed: int) -> None:
        self.shard = shard
        self._shelf = JobTable(records)
        self._taking = JobSubmission(self._shelf)
        self._reading = JobQueries(self._shelf)
        self._running = JobExecution(self._shelf, seed)
        self._status_s = status_s
        self._looked_s = 0.0

    @property
    def waiting(self) -> int:
        """How many items wait for a server, at most."""
        return self._running.waiting

    @property
    def jobs(self) -> dict[str, BatchJob]:
        """All lots by key."""
        return self._shelf.jobs

    @property
    def waiting_tokens(self) -> dict[str, int]:
        """Tokens that wait, by route."""
        return self._shelf.waiting_tokens

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration is in force."""
        self._shelf.configure(configuration)

    # Ownership.

    def adopt(self, now_s: float, jobs: dict[str, OwnedJob]) -> list[BookAction]:
        """This store owns the shard, and these records are all there are. Runs that the book knows of go on;
        calls that wait for something to last are sent away, to ask again."""
        before = dict(self._shelf.jobs)
        self.lose_calls()
        self._shelf.clear()
        for key, owned in jobs.items():
            if DEFINITION in owned.slots and FORGOTTEN not in owned.slots:
                self._adopt_job(now_s, key, owned, before.get(key))
        return self._take()

    def _adopt_job(self, now_s: float, key: str, owned: OwnedJob, known: BatchJob | None) -> None:
        value = owned.slots[DEFINITION].value
        specs = decode_items(value)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        job = BatchJob(key, decode_terms(value), owned.accepted_s, items, accepted=True)
        job.ended = job.end_lasts = END in owned.slots
        self._shelf.jobs[key] = job
        for position, slot in owned.slots.items():
            if position >= 0:
                job.positions[position] = item_index(slot.value)
                job.choose(position)
        for index, item in enumerate(items):
            if not item.done and not job.ended:
                self._shelf.count(job, item)
                self._running.adopt(now_s, job, index, known.items[index] if known else None)

    def lose(self) -> list[BookAction]:
        """Another store may own the shard."""
        self.lose_calls()
        self._shelf.clear()
        return self._take()

    def lose_calls(self) -> None:
        """Whoever waits is told that nothing is sure."""
        self._taking.lost()
        self._reading.lost()
        self._running.lost()

    def chosen(self, now_s: float, key: str, slot: int) -> list[BookAction]:
        """What was proposed for a slot lasts."""
        job = self._shelf.jobs.get(key)
        if job is None:
            return []
        if slot == DEFINITION:
            self._taking.taken(job)
        elif slot == END:
            self._taking.ended(job)
            self._reading.more(job)
        elif slot == FORGOTTEN:
            del self._shelf.jobs[key]
        elif slot in job.positions:
            job.choose(slot)
            self._running.listed(job, job.positions[slot])
            self._reading.more(job)
        return self._take()

    # Calls.

    def submit(self, now_s: float, call: int, message: SubmitJob) -> list[BookAction]:
        """A lot is handed in."""
        try:
            self._taking.submit(now_s, call, message)
        except EmberringError as error:
            self._shelf.out.append(Refuse(call, error))
        return self._take()

    def end(self, call: int, message: EndJob) -> list[BookAction]:
        """A lot is ended."""
        self._taking.end(call, message)
        return self._take()

    def read(self, now_s: float, call: int, message: ReadJob) -> list[BookAction]:
        """Results are read."""
        self._reading.read(now_s, call, message)
        return self._take()

    def item(self, call: int, message: ReadItem) -> list[BookAction]:
        """An item's body is read."""
        self._reading.item(call, message)
        return self._take()

    def take(self, now_s: float, gateway: str, room: int) -> list[Assignment]:
        """Up to `room` items for a gateway."""
        return self._running.take(now_s, gateway, room, self.shard)

    def report(self, now_s: float, message: ReportRuns) -> ReportAnswer:
        """Runs go on."""
        return self._running.report(now_s, message)

    def finish(self, now_s: float, call: int, message: FinishRun) -> list[BookAction]:
        """A run has ended."""
        self._running.finish(now_s, call, message)
        return self._take()

    # Time.

    def tick(self, now_s: float) -> list[BookAction]:
        """Time goes on."""
        if not self._reading.idle:
            self._reading.tick(now_s)
        if not self._running.idle:
            self._running.tick(now_s)
        if now_s - self._looked_s >= LOOK_EVERY_S:
            self._looked_s = now_s
            for job in list(self._shelf.jobs.values()):
                self._look_at(now_s, job)
        return self._take()

    def _look_at(self, now_s: float, job: BatchJob) -> None:
        if not job.all_shown:
            self._running.give_up(now_s, job)
        age_s = now_s - job.accepted_s
        kept_s = self._status_s + (FORGET_SLACK_S if job.end_lasts else LISTED_SLACK_S)
        if age_s > kept_s and (job.end_lasts or job.all_shown) and not job.forgetting:
            job.forgetting = True
            self._shelf.out.append(Forget(job.key))

    def _take(self) -> list[BookAction]:
        out, self._shelf.out = self._shelf.out, []
        return out
