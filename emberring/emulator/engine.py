"""An emulated inference engine without I/O: requests run in a batch, with chunked prefill between decode steps.

`submit` and `drop` add and remove requests, `step` executes one step and returns the events that it produced, and
`step_seconds` returns how long the next step takes. Times are seconds.
"""

from __future__ import annotations

from collections import deque

import attrs

from emberring.emulator.kv_cache import KvCache, PromptPart
from emberring.emulator.output import event_count


@attrs.frozen
class EngineSpec:
    """The properties of an engine.

    At most `capacity` requests run at once and `queue_limit` are queued. `kv_tokens` is the size of the KV cache.
    An event carries `stride` tokens. Prefill runs at `prefill_tokens_per_s`, at most `prefill_chunk` tokens per step.
    """

    capacity: int = 16
    queue_limit: int = 8
    kv_tokens: int = 120_000
    stride: int = 8
    step_s: float = 0.003
    batch_slowdown: float = 0.5  # additional duration of a step with a full batch, as a share of `step_s`
    prefill_tokens_per_s: float = 150_000.0
    prefill_chunk: int = 512


@attrs.define(eq=False)
class EngineRequest:
    """A request in the engine; an earlier execution has already produced its first `skip_events` events."""

    id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    skip_events: int = 0
    produced: int = 0
    pending_prefill_tokens: int = 0
    generated_tokens: int = 0  # tokens in the KV cache besides the prompt

    @property
    def prompt_tokens(self) -> int:
        """Total number of tokens in the prompt."""
        return sum(part.tokens for part in self.parts)


@attrs.frozen
class EventProduced:
    """A complete event of a request; `index` counts from 0, and `last` marks the last event of the response."""

    request: EngineRequest
    index: int
    last: bool


@attrs.frozen
class EngineReport:
    """The load of an engine: numbers of requests, and KV cache sizes in tokens."""

    queued: int
    active: int
    kv_used: int
    kv_capacity: int


class Engine:
    """A batch of running requests, a short queue, and the KV cache that they share."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.cache = KvCache(spec.kv_tokens)
        self.running: list[EngineRequest] = []
        self.queue: deque[EngineRequest] = deque()
        self.step_factor = 1.0  # multiplies the duration of each step

    @property
    def idle(self) -> bool:
        """Whether the engine has no requests."""
        return not self.running and not self.queue

    def report(self) -> EngineReport:
        """Return the current load."""
        return EngineReport(len(self.queue), len(self.running), self.cache.used, self.spec.kv_tokens)

    def submit(self, request: EngineRequest) -> bool:
        """Queue a request; returns False without queueing it if the engine is full or the KV cache too small for it."""
        if request.prompt_tokens + request.output_tokens > self.spec.kv_tokens:
            return False
        if len(self.running) + len(self.queue) >= self.spec.capacity + self.spec.queue_limit:
            return False
        request.produced = min(request.output_tokens - 1, request.skip_events * self.spec.stride)
        self.queue.append(request)
        return True

    def is_queued(self, request: EngineRequest) -> bool:
        """Return whether a request is queued and has not started yet."""
        return request in self.queue

    def drop(self, request: EngineRequest) -> None:
        """Remove a request whose caller has disconnected."""
        if request in self.queue:
            self.queue.remove(request)
        elif request in self.running:
            self._stop_running(request)

    def step_seconds(self) -> float:
        """Return the duration of the next step."""
        spec = self.spec
        prefill_tokens = min(
            spec.prefill_chunk, sum(request.pending_prefill_tokens for request in self.running)
        )
        slowdown = 1.0 + spec.batch_slowdown * len(self.running) / spec.capacity
        return self.step_factor * (spec.step_s * slowdown + prefill_tokens / spec.prefill_tokens_per_s)

    def step(self) -> list[EventProduced]:
        """Start the queued requests that fit, prefill one chunk, and decode a token for every prefilled request."""
        self._start_requests()
        self._prefill()
        produced_events: list[EventProduced] = []
        for request in list(self.running):
            if request.pending_prefill_tokens == 0 and request in self.running:
                produced_events.extend(self._decode_token(request))
        return produced_events

    def _start_requests(self) -> None:
        while self.queue and len(self.running) < self.spec.capacity:
            request = self.queue[0]
            if not self.cache.fits(request.parts, request.produced + 1):
                return
            self.queue.popleft()
            request.pending_prefill_tokens = (
                request.prompt_tokens - self.cache.cached_prefix_tokens(request.parts) + request.produced
            )
            self.cache.pin(request.parts)
            self._add_generated(request, request.produced)
            self.running.append(request)

    def _prefill(self) -> None:
        budget = self.spec.prefill_chunk
        for request in self.running:
            tokens = min(budget, request.pending_prefill_tokens)
            request.pending_prefill_tokens -= tokens
            budget -= tokens

    def _decode_token(self, request: EngineRequest) -> list[EventProduced]:
        self._add_generated(request, 1)
        while not self.cache.evict_unused():
            newest = self.running[-1]
            self._preempt(newest)
            if newest is request:
                return []
        request.produced += 1
        last = request.produced >= request.output_tokens
        if not last and request.produced % self.spec.stride:
            return []
        if last:
            self._stop_running(request)
        return [EventProduced(request, event_count(request.produced, self.spec.stride) - 1, last)]

    def _add_generated(self, request: EngineRequest, tokens: int) -> None:
        request.generated_tokens += tokens
        self.cache.generated += tokens

    def _stop_running(self, request: EngineRequest) -> None:
        self.running.remove(request)
        self.cache.release(request.parts, request.generated_tokens)
        request.generated_tokens = 0

    def _preempt(self, request: EngineRequest) -> None:
        self._stop_running(request)
        self.queue.appendleft(request)
