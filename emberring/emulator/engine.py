"""An emulated engine, sans-I/O: requests run in a batch, prompts are read between the tokens of others.

`submit` and `drop` change what is there, `step` makes one step and tells which events are done, `step_seconds`
tells how long that step takes. Times are seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

from emberring.emulator.kv_cache import KvCache, PromptPart
from emberring.emulator.output import event_count


@attrs.frozen
class EngineSpec:
    """How an engine works. Tokens of prompts are read at `prefill_tokens_per_s`, at most `prefill_chunk` a step."""

    capacity: int = 16
    queue_limit: int = 8
    kv_tokens: int = 120_000
    stride: int = 8
    step_s: float = 0.003
    crowding: float = 0.5  # how much longer a step of a full batch is, as a share of `step_s`
    prefill_tokens_per_s: float = 150_000.0
    prefill_chunk: int = 512


@attrs.define(eq=False)
class Job:
    """A request in the engine. `skip_events` were made by an earlier run elsewhere."""

    id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    skip_events: int = 0
    produced: int = 0
    unread: int = 0
    held: int = 0  # tokens in the cache beside the prompt's parts

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)


@attrs.frozen
class Produced:
    """An event of a job is whole; `index` counts from 0, `last` ends the job."""

    job: Job
    index: int
    last: bool


@attrs.frozen
class EngineReport:
    """What an engine tells of itself."""

    queued: int
    active: int
    kv_used: int
    kv_capacity: int


class Engine:
    """A batch of running jobs, a short queue, and the memory that they share."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.cache = KvCache(spec.kv_tokens)
        self.running: list[Job] = []
        self.queue: deque[Job] = deque()
        self.slow = 1.0  # times the length of each step

    @property
    def idle(self) -> bool:
        """Whether a step would do nothing."""
        return not self.running and not self.queue

    def report(self) -> EngineReport:
        """The figures of this moment."""
        return EngineReport(len(self.queue), len(self.running), self.cache.used, self.spec.kv_tokens)

    def submit(self, job: Job) -> bool:
        """Take a job; False, with nothing done, if the engine is full or the job larger than its memory."""
        if job.prompt_tokens + job.output_tokens > self.spec.kv_tokens:
            return False
        if len(self.running) + len(self.queue) >= self.spec.capacity + self.spec.queue_limit:
            return False
        job.produced = min(job.output_tokens - 1, job.skip_events * self.spec.stride)
        self.queue.append(job)
        return True

    def is_queued(self, job: Job) -> bool:
        """Whether a job has not begun yet."""
        return job in self.queue

    def drop(self, job: Job) -> None:
        """Forget a job whose caller has gone."""
        if job in self.queue:
            self.queue.remove(job)
        elif job in self.running:
            self._stop(job)

    def step_seconds(self) -> float:
        """How long the next step takes."""
        spec = self.spec
        unread = min(spec.prefill_chunk, sum(job.unread for job in self.running))
        crowded = 1.0 + spec.crowding * len(self.running) / spec.capacity
        return self.slow * (spec.step_s * crowded + unread / spec.prefill_tokens_per_s)

    def step(self) -> list[Produced]:
        """Start what fits, read a chunk of prompts, make a token of every job that has been read."""
        self._start_jobs()
        self._read_prompts()
        done: list[Produced] = []
        for job in list(self.running):
            if job.unread == 0 and job in self.running:
                done.extend(self._make_token(job))
        return done

    def _start_jobs(self) -> None:
        while self.queue and len(self.running) < self.spec.capacity:
            job = self.queue[0]
            if not self.cache.fits(job.parts, job.produced + 1):
                return
            self.queue.popleft()
            job.unread = job.prompt_tokens - self.cache.known_tokens(job.parts) + job.produced
            self.cache.pin(job.parts)
            self._hold(job, job.produced)
            self.running.append(job)

    def _read_prompts(self) -> None:
        left = self.spec.prefill_chunk
        for job in self.running:
            read = min(left, job.unread)
            job.unread -= read
            left -= read

    def _make_token(self, job: Job) -> list[Produced]:
        self._hold(job, 1)
        while not self.cache.make_room():
            newest = self.running[-1]
            self._preempt(newest)
            if newest is job:
                return []
        job.produced += 1
        last = job.produced >= job.output_tokens
        if not last and job.produced % self.spec.stride:
            return []
        if last:
            self._stop(job)
        return [Produced(job, event_count(job.produced, self.spec.stride) - 1, last)]

    def _hold(self, job: Job, tokens: int) -> None:
        job.held += tokens
        self.cache.generated += tokens

    def _stop(self, job: Job) -> None:
        self.running.remove(job)
        self.cache.release(job.parts, job.held)
        job.held = 0

    def _preempt(self, job: Job) -> None:
        self._stop(job)
        self.queue.appendleft(job)
