"""The client traffic of a trial: streams at random intervals and periodic batch jobs, with checks of all responses."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable

import attrs

from emberring.emulator.configurations import ADDED_PREFIX, EXPLAIN_PREFIX, REVIEW_PREFIX
from emberring.emulator.invariant_checker import Violation, check_job, check_stream, check_unsent
from emberring.emulator.job_client import JobClient, JobHistory, make_job
from emberring.emulator.live_client import LiveClient, StreamCall, StreamEnd
from emberring.emulator.observations import Observations

SHARED_PARTS = (("5eed02", 400), ("5eed03", 400))
OUTPUT_TOKENS = 40
JOB_ITEMS = 20
RESUMABLE_SHARE = 0.4


@attrs.frozen
class TrafficPlan:
    """The amount of traffic: streams per second, the interval of batch jobs and the timeout of a job (seconds)."""

    streams_per_s: float = 20.0
    job_every_s: float = 3.0
    job_timeout_s: float = 30.0
    stride: int = 8


@attrs.define
class Tally:
    """The outcomes of the calls of one route. Delays are seconds from the first attempt to the first event."""

    sent: int = 0
    served: int = 0
    attempts: int = 0
    failures: Counter[str] = attrs.field(factory=Counter)  # calls that were not served, by outcome
    first_event_delays_s: list[float] = attrs.field(factory=list)

    def delay_s(self, share: float) -> float:
        """Return the quantile `share` of the delays until the first event (seconds)."""
        if not self.first_event_delays_s:
            return 0.0
        sorted_delays_s = sorted(self.first_event_delays_s)
        return sorted_delays_s[min(len(sorted_delays_s) - 1, int(share * len(sorted_delays_s)))]


class Traffic:
    """Sends streams and batch jobs until it is stopped; `violations` is complete after `stop`."""

    def __init__(
        self, frontends: Callable[[], list[str]], observations: Observations, plan: TrafficPlan, seed: int = 1
    ) -> None:
        self.tallies: dict[str, Tally] = {"explain": Tally(), "review": Tally()}
        self.jobs: list[JobHistory] = []
        self.violations: list[Violation] = []
        self.added_route = False
        self._observations = observations
        self._plan = plan
        self._random = random.Random(seed)
        self._client = LiveClient(frontends, seed, retries=2)
        self._job_client = JobClient(frontends, seed)
        self._sent_ids: set[str] = set()
        self._calls: set[asyncio.Task[None]] = set()
        self._sources: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start sending."""
        loop = asyncio.get_running_loop()
        self._sources = [loop.create_task(self._streams()), loop.create_task(self._jobs())]

    async def stop(self, within_s: float) -> None:
        """Stop sending, wait up to `within_s` seconds for the calls in progress, and check the batch jobs."""
        for source in self._sources:
            source.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await source
        if self._calls:
            await asyncio.wait(self._calls, timeout=within_s)
        for call in self._calls:
            call.cancel()
        for history in self.jobs:
            self.violations += check_job(history, self._observations, self._plan.stride)
        self.violations += check_unsent(self._sent_ids, self._observations)

    def _spawn(self, task: asyncio.Task[None]) -> None:
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _streams(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._spawn(loop.create_task(self._one_stream()))
            await asyncio.sleep(self._random.expovariate(self._plan.streams_per_s))

    async def _jobs(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._spawn(loop.create_task(self._one_job()))
            await asyncio.sleep(self._plan.job_every_s)

    def _make_call(self) -> tuple[str, StreamCall]:
        name, prefix = "explain", EXPLAIN_PREFIX
        drawn = self._random.random()
        if drawn < RESUMABLE_SHARE:
            name, prefix = "review", REVIEW_PREFIX
        elif self.added_route and drawn > 0.8:
            name, prefix = "added", ADDED_PREFIX
        unique_id = self._random.randbytes(4).hex()
        parts = (self._random.choice(SHARED_PARTS), (unique_id, self._random.randint(50, 300)))
        return name, StreamCall(f"{prefix}{unique_id}", self._random.randbytes(32), parts, OUTPUT_TOKENS)

    async def _one_stream(self) -> None:
        name, call = self._make_call()
        tally = self.tallies.setdefault(name, Tally())
        tally.sent += 1
        results = await self._client.ask(call)
        tally.attempts += len(results)
        for result in results:
            self._sent_ids.add(result.request_id)
            self.violations += check_stream(
                call, result, self._observations, self._plan.stride, retryable=name == "review"
            )
        if results and results[-1].end is StreamEnd.SERVED:
            tally.served += 1
            tally.first_event_delays_s.append(
                results[-1].started_s - results[0].started_s + results[-1].first_s
            )
        else:
            tally.failures[results[-1].end.value if results else "no gateway"] += 1

    async def _one_job(self) -> None:
        job = make_job(JOB_ITEMS, self._random.getrandbits(32), OUTPUT_TOKENS)
        self._sent_ids.update(item.id for item in job.items)
        history = await self._job_client.submit(job)
        self.jobs.append(history)
        if history.accepted:
            await self._job_client.follow(history, self._plan.job_timeout_s)
