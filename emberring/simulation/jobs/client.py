"""Simulated clients of batch jobs: they submit with retries, read and reread results, and end some jobs early."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from emberring.errors import NotFoundError
from emberring.jobs.calls import EndJob, JobPage, ReadJob, SubmitJob
from emberring.jobs.packing import compress
from emberring.jobs.results import page_json
from emberring.simulation.jobs.gateway import SimulatedGateway
from emberring.simulation.jobs.history import History, ItemRecord, JobRecord, SubmissionOutcome
from emberring.simulation.jobs.messages import GatewayReply, is_error
from emberring.simulation.jobs.services import HOST, LOST, LOST_JOB_INTERVAL_S, SOUND, terms_of
from emberring.simulation.jobs.world import World

MAX_ATTEMPTS_TO_SUBMIT = 5


class Clients:
    """All clients. `on_submitted` is called after each accepted submission, `on_result_read` after each new result."""

    def __init__(self, world: World, history: History, gateways: list[SimulatedGateway]) -> None:
        self.world = world
        self.history = history
        self.gateways = gateways
        self.on_submitted: Callable[[], None] = lambda: None
        self.on_result_read: Callable[[], None] = lambda: None
        self.stopping = False

    def submit_lost_jobs(self) -> None:
        """Submit batch jobs of the service without servers, again and again."""
        self.submit_job(LOST)
        if not self.stopping:
            self.world.after(LOST_JOB_INTERVAL_S, self.submit_lost_jobs)

    def submit_job(self, service: str = SOUND) -> None:
        """Submit a new batch job of this service."""
        rng = self.world.rng
        job_id = f"lot{len(self.history.jobs)}"
        items = {
            f"{job_id}-{number}": ItemRecord(rng.randint(5, 15), rng.randint(1, 5), rng.random() < 0.04)
            for number in range(rng.randint(1, 12))
        }
        job = JobRecord(job_id, items, self.world.now_s, runnable=service == SOUND)
        self.history.submitted(self.world.now_s, job)
        listed = [
            {"Id": name, "Path": "/batch/x", "Headers": {}, "Body": "", "Tokens": item.tokens}
            for name, item in items.items()
        ]
        self._attempt_submission(
            job, SubmitJob(HOST, job_id, terms_of(service), compress(orjson.dumps({"Requests": listed})))
        )

    def _gateway(self) -> SimulatedGateway:
        running = [gateway for gateway in self.gateways if gateway.running] or self.gateways
        return self.world.rng.choice(running)

    def _attempt_submission(self, job: JobRecord, message: SubmitJob) -> None:
        gateway = self._gateway()
        resolved = [False]

        def done(outcome: SubmissionOutcome) -> None:
            if resolved[0]:
                return
            resolved[0] = True
            self.history.submission_attempted(self.world.now_s, job, outcome)
            if outcome is SubmissionOutcome.ACCEPTED:
                self.on_submitted()
                self._schedule_reads(job)
            elif len(job.attempts) < MAX_ATTEMPTS_TO_SUBMIT and not self.stopping:
                self.world.after(0.1 + self.world.rng.random() * 0.5, self._attempt_submission, job, message)

        self.world.after(3.5, done, SubmissionOutcome.UNKNOWN)  # the gateway ended or is frozen
        gateway.when_awake(gateway.incarnation, gateway.submit, message, done)

    def _schedule_reads(self, job: JobRecord) -> None:
        if not job.runnable:
            return
        self.world.after(0.2, self._read_next, job)
        if self.world.rng.random() < 0.2:
            self.world.after(self.world.rng.random() * 2.0, self._end_job, job)

    def _read_next(self, job: JobRecord) -> None:
        complete = len(job.visible) == len(job.items)
        reread = self.world.rng.random() < 0.2
        start = self.world.rng.randint(0, len(job.visible)) if reread or complete else len(job.visible)
        self.read(job, start, 400)
        if not self.stopping:
            self.world.after(0.3 + self.world.rng.random() * 0.5, self._read_next, job)

    def read(self, job: JobRecord, start: int, wait_ms: int) -> None:
        """Read a page; results that were visible when the request was sent must be in the response."""
        gateway, sent_s = self._gateway(), self.world.now_s
        known = dict(job.visible)

        def done(body: GatewayReply, outcome_unknown: bool) -> None:
            if isinstance(body, NotFoundError):
                self.history.not_found(self.world.now_s, job, sent_s)
            elif isinstance(body, JobPage) and (start in known or body.results):
                self.history.read(self.world.now_s, job, start, page_json(body))
                if len(job.visible) > len(known):
                    self.on_result_read()

        message = ReadJob(HOST, job.id, start, wait_ms)
        limit_s = wait_ms / 1000 + 1.1
        gateway.when_awake(
            gateway.incarnation, gateway.call_with_retries, message, limit_s, wait_ms / 1000 + 0.8, done
        )

    def _end_job(self, job: JobRecord) -> None:
        if job.end_requested_s is None:
            job.end_requested_s = self.world.now_s
        gateway = self._gateway()
        resolved = [False]

        def done(body: GatewayReply, outcome_unknown: bool) -> None:
            if resolved[0]:
                return
            resolved[0] = True
            if isinstance(body, NotFoundError):
                self.history.not_found(self.world.now_s, job, self.world.now_s)
            elif body is not None and not is_error(body):
                if job.end_acknowledged_s is None:
                    job.end_acknowledged_s = self.world.now_s
            else:
                self.world.after(0.3, self._end_job, job)

        self.world.after(4.0, done, None, True)
        gateway.when_awake(
            gateway.incarnation, gateway.call_with_retries, EndJob(HOST, job.id), 2.8, 0.8, done
        )
