"""A model of the engine of a model server for experiments with admission, without sockets and clock.

The engine works in steps. A step generates one token for each running request and prefills a chunk of the waiting
prompts, in the order of arrival; it takes longer with more running requests, longer contexts and a larger chunk. The
KV cache is shared by running requests and by prompt parts that are cached for others, which are evicted least
recently used first. When it is full, the newest running request is preempted and prefilled again later.
Times are in milliseconds, sizes in tokens.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

PAIRS_PER_M = 1e-6  # millions of token pairs
TOKENS_PER_K = 1e-3  # thousands of tokens


@attrs.frozen
class EngineParameters:
    """The speed and the sizes of an engine.

    Args:
        capacity: requests processed concurrently.
        queue: requests that may wait beyond these.
        kv_tokens: size of the KV cache.
        step_ms: fixed time of a step.
        step_ms_per_request: time of a step for each running request.
        context_ms_per_k: time of a step for each 1000 tokens of context.
        prefill_tokens_per_ms: speed of prefill.
        pairs_ms_per_m: time of prefill for each million pairs of tokens.
        stride: tokens in an event.
        chunk: tokens prefilled in a step at most.
        first_event_ms: additional delay of the first event.
    """

    capacity: int
    queue: int
    kv_tokens: int
    step_ms: float
    step_ms_per_request: float
    context_ms_per_k: float
    prefill_tokens_per_ms: float
    pairs_ms_per_m: float
    stride: int
    chunk: int = 1024
    first_event_ms: float = 0.0


@attrs.frozen
class PromptPart:
    """A part of a prompt; `shared`: other requests may have it too (used by the counters only)."""

    id: str
    tokens: int
    shared: bool


@attrs.define(eq=False)
class EngineCall:
    """A request at the engine. `on_event` gets the time and the number of an event, `on_end` the time."""

    id: str
    parts: tuple[PromptPart, ...]
    tokens_out: int
    on_event: Callable[[float, int], None]
    on_end: Callable[[float], None]
    prefill_tokens: int = 0
    context: int = 0
    generated: int = 0
    private_tokens: int = 0
    events: int = 0
    dropped: bool = False


@attrs.define
class EngineCounters:
    """Counters of the work of the engine."""

    busy_ms: float = 0.0
    prefilled: int = 0
    shared_prefilled: int = 0
    tokens_generated: int = 0
    calls: int = 0
    preempted: int = 0
    full: int = 0


class Engine:
    """One engine; `submit` offers a request, `step` runs the next step and returns when it ends."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.counters = EngineCounters()
        self._waiting: deque[EngineCall] = deque()
        self._prefilling: deque[EngineCall] = deque()
        self._running: list[EngineCall] = []
        self._cache: OrderedDict[str, int] = OrderedDict()  # chain of ids -> tokens of its last part
        self._users: dict[str, int] = {}  # chain of ids -> requests that use it
        self._private = 0
        self._cached_total = 0

    # ------------------------------------------------------------- state

    @property
    def active(self) -> int:
        """Requests in the batch."""
        return len(self._running) + len(self._prefilling)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not (self._waiting or self._prefilling or self._running)

    def backlog(self) -> int:
        """Return the prompt tokens still to be prefilled."""
        waiting = sum(self.missing(call.parts) for call in self._waiting)
        return waiting + sum(call.prefill_tokens for call in self._prefilling)

    def missing(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of this prompt that no cached part covers."""
        chain, missing, broken = "", 0, False
        for part in parts:
            chain = f"{chain}/{part.id}"
            broken = broken or chain not in self._cache
            missing += part.tokens if broken else 0
        return missing

    # ------------------------------------------------------------- requests

    def submit(self, call: EngineCall) -> bool:
        """Queue a request; False means that the queue is full and it will never run."""
        if len(self._waiting) >= self.parameters.queue:
            self.counters.full += 1
            return False
        self._waiting.append(call)
        return True

    def drop(self, call: EngineCall) -> None:
        """Remove a request whose connection was closed."""
        call.dropped = True
        if call in self._running:
            self._running.remove(call)
            self._release(call)
        elif call in self._prefilling:
            self._prefilling.remove(call)
            self._release(call)
        elif call in self._waiting:
            self._waiting.remove(call)

    def step(self, now_ms: float) -> float:
        """Run the step that begins now; return the time at which it ends, which callbacks get too."""
        self._admit()
        parameters = self.parameters
        chunk, pairs, done = self._prefill_chunk()
        running = list(self._running)
        context = sum(call.context for call in running)
        step_ms = parameters.step_ms + parameters.step_ms_per_request * len(running)
        step_ms += parameters.context_ms_per_k * context * TOKENS_PER_K
        step_ms += chunk / parameters.prefill_tokens_per_ms + parameters.pairs_ms_per_m * pairs * PAIRS_PER_M
        end_ms = now_ms + step_ms
        self.counters.busy_ms += step_ms
        self.counters.prefilled += chunk
        for call in running:
            if call in self._running:  # else it was preempted by another one of this step
                self._generate_token(call, end_ms)
        for call in done:
            self._prefilling.remove(call)
            self._running.append(call)
            self._generate_token(call, end_ms + parameters.first_event_ms)
        return end_ms

    # ------------------------------------------------------------- inside a step

    def _admit(self) -> None:
        while self._waiting and self.active < self.parameters.capacity:
            call = self._waiting[0]
            missing = self.missing(call.parts)
            self._pin(call)
            if not self._evict_until_free(missing + self.parameters.stride):
                self._unpin(call)
                if self.active == 0:  # larger than the KV cache: rejected as if the server were full
                    self._waiting.popleft()
                    call.on_end(-1.0)
                    continue
                return
            self._waiting.popleft()
            self._start_prefill(call, missing)

    def _start_prefill(self, call: EngineCall, missing: int) -> None:
        call.prefill_tokens = missing + call.generated
        call.context = sum(part.tokens for part in call.parts) - missing
        self.counters.calls += 1
        chain, broken = "", False
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            broken = broken or chain not in self._cache
            if broken:
                if chain in self._cache:  # cached but unusable, because an earlier part was evicted
                    self._evict(chain)
                self._cache[chain] = part.tokens
                self._cached_total += part.tokens
                self._users[chain] = 1
                if part.shared:
                    self.counters.shared_prefilled += part.tokens
            else:
                self._cache.move_to_end(chain)
        call.private_tokens = call.generated
        self._private += call.private_tokens
        self._prefilling.append(call)

    def _pin(self, call: EngineCall) -> None:
        chain = ""
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            if chain not in self._cache:
                return
            self._users[chain] = self._users.get(chain, 0) + 1

    def _unpin(self, call: EngineCall) -> None:
        chain = ""
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            if self._users.get(chain, 0) > 0:
                self._users[chain] -= 1

    def _release(self, call: EngineCall) -> None:
        self._private -= call.private_tokens
        call.private_tokens = 0
        self._unpin(call)

    def _evict_until_free(self, tokens: int) -> bool:
        """Evict unused parts, least recently used first, until this many tokens are free."""
        free = self.parameters.kv_tokens - self._private - self._cached_total
        if free >= tokens:
            return True
        for chain in list(self._cache):
            if self._users.get(chain, 0) > 0:
                continue
            free += self._evict(chain)
            if free >= tokens:
                return True
        return False

    def _evict(self, chain: str) -> int:
        tokens = self._cache.pop(chain)
        self._users.pop(chain, None)
        self._cached_total -= tokens
        return tokens

    def _prefill_chunk(self) -> tuple[int, float, list[EngineCall]]:
        remaining, pairs, done = self.parameters.chunk, 0.0, []
        for call in self._prefilling:
            count = min(remaining, call.prefill_tokens)
            pairs += count * (call.context + count / 2.0)
            call.prefill_tokens -= count
            call.context += count
            remaining -= count
            if call.prefill_tokens == 0:
                done.append(call)
            if remaining == 0:
                break
        return self.parameters.chunk - remaining, pairs, done

    def _generate_token(self, call: EngineCall, now_ms: float) -> None:
        if not self._evict_until_free(1):
            newest = self._running[-1]
            self._preempt(newest)
            if newest is call:
                return
        call.generated += 1
        call.private_tokens += 1
        call.context += 1
        self._private += 1
        self.counters.tokens_generated += 1
        if call.generated % self.parameters.stride == 0 or call.generated >= call.tokens_out:
            call.events += 1
            call.on_event(now_ms, call.events)
        if call.generated >= call.tokens_out and not call.dropped:
            self._running.remove(call)
            self._release(call)
            call.on_end(now_ms)

    def _preempt(self, call: EngineCall) -> None:
        self.counters.preempted += 1
        self._running.remove(call)
        self._release(call)
        self._waiting.appendleft(call)
