"""A model of a model server's engine, for experiments with admission: no sockets, no clock of its own.

The engine works in steps. A step gives one token to each running request and reads a piece of the prompts that
wait to be prefilled, in the order of arrival; it takes longer with more running requests, longer contexts and a
larger piece. Memory is shared by running requests and by parts of prompts that are kept for others, the longest
unused of which give way. When memory runs out, the newest running request is preempted and read anew.
Times are in milliseconds, sizes in tokens.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

PAIRS_PER_M = 1e-6
TOKENS_PER_K = 1e-3


@attrs.frozen
class EngineFigures:
    """What an engine can do; the figures of a site."""

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
    first_ms: float = 0.0


@attrs.frozen
class Part:
    """A part of a prompt; `shared` tells whether other requests may have it too (for the accounts only)."""

    id: str
    tokens: int
    shared: bool


@attrs.define(eq=False)
class EngineCall:
    """A request at the engine. `on_event` is told the moment and the event's number, `on_end` the moment."""

    id: str
    parts: tuple[Part, ...]
    tokens_out: int
    on_event: Callable[[float, int], None]
    on_end: Callable[[float], None]
    to_read: int = 0
    context: int = 0
    made: int = 0
    held: int = 0
    events: int = 0
    gone: bool = False


@attrs.define
class EngineAccounts:
    """What the engine has done so far."""

    busy_ms: float = 0.0
    prefilled: int = 0
    shared_prefilled: int = 0
    tokens_made: int = 0
    calls: int = 0
    preempted: int = 0
    full: int = 0


class Engine:
    """One engine; `submit` offers a request, `step` plays the next step and returns when it ends."""

    def __init__(self, figures: EngineFigures) -> None:
        self.figures = figures
        self.accounts = EngineAccounts()
        self._waiting: deque[EngineCall] = deque()
        self._prefilling: deque[EngineCall] = deque()
        self._running: list[EngineCall] = []
        self._cache: OrderedDict[str, int] = OrderedDict()  # chain of ids -> tokens of its last part
        self._users: dict[str, int] = {}  # chain of ids -> requests that hold it
        self._private = 0
        self._cached_total = 0

    # ------------------------------------------------------------- what others see

    @property
    def active(self) -> int:
        """Requests in the batch."""
        return len(self._running) + len(self._prefilling)

    @property
    def queued(self) -> int:
        """Requests that wait for a place."""
        return len(self._waiting)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not (self._waiting or self._prefilling or self._running)

    def backlog(self) -> int:
        """Tokens of prompts that are still to be read, for an all-knowing pick."""
        waiting = sum(self.missing(call.parts) for call in self._waiting)
        return waiting + sum(call.to_read for call in self._prefilling)

    def missing(self, parts: tuple[Part, ...]) -> int:
        """Tokens of this prompt that no kept part covers."""
        chain, missing, broken = "", 0, False
        for part in parts:
            chain = f"{chain}/{part.id}"
            broken = broken or chain not in self._cache
            missing += part.tokens if broken else 0
        return missing

    # ------------------------------------------------------------- requests

    def submit(self, call: EngineCall) -> bool:
        """Take a request; False means that the queue is full and it will never run."""
        if len(self._waiting) >= self.figures.queue:
            self.accounts.full += 1
            return False
        self._waiting.append(call)
        return True

    def drop(self, call: EngineCall) -> None:
        """The connection of this request has closed."""
        call.gone = True
        if call in self._running:
            self._running.remove(call)
            self._release(call)
        elif call in self._prefilling:
            self._prefilling.remove(call)
            self._release(call)
        elif call in self._waiting:
            self._waiting.remove(call)

    def step(self, now_ms: float) -> float:
        """Play the step that begins now; returns the moment at which it ends. Callbacks are told that moment."""
        self._admit()
        figures = self.figures
        piece, pairs, done = self._read_piece()
        running = list(self._running)
        context = sum(call.context for call in running)
        took = figures.step_ms + figures.step_ms_per_request * len(running)
        took += figures.context_ms_per_k * context * TOKENS_PER_K
        took += piece / figures.prefill_tokens_per_ms + figures.pairs_ms_per_m * pairs * PAIRS_PER_M
        end_ms = now_ms + took
        self.accounts.busy_ms += took
        self.accounts.prefilled += piece
        for call in running:
            if call in self._running:  # else it was preempted by another one of this step
                self._make_token(call, end_ms)
        for call in done:
            self._prefilling.remove(call)
            self._running.append(call)
            self._make_token(call, end_ms + figures.first_ms)
        return end_ms

    # ------------------------------------------------------------- inside a step

    def _admit(self) -> None:
        while self._waiting and self.active < self.figures.capacity:
            call = self._waiting[0]
            missing = self.missing(call.parts)
            self._hold(call)
            if not self._make_room(missing + self.figures.stride):
                self._unhold(call)
                if self.active == 0:  # larger than the memory: rejected as if the server were full
                    self._waiting.popleft()
                    call.on_end(-1.0)
                    continue
                return
            self._waiting.popleft()
            self._take(call, missing)

    def _take(self, call: EngineCall, missing: int) -> None:
        call.to_read = missing + call.made
        call.context = sum(part.tokens for part in call.parts) - missing
        self.accounts.calls += 1
        chain, broken = "", False
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            broken = broken or chain not in self._cache
            if broken:
                if chain in self._cache:  # kept, but of no use since a part before it has given way
                    self._forget(chain)
                self._cache[chain] = part.tokens
                self._cached_total += part.tokens
                self._users[chain] = 1
                if part.shared:
                    self.accounts.shared_prefilled += part.tokens
            else:
                self._cache.move_to_end(chain)
        call.held = call.made
        self._private += call.held
        self._prefilling.append(call)

    def _hold(self, call: EngineCall) -> None:
        chain = ""
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            if chain not in self._cache:
                return
            self._users[chain] = self._users.get(chain, 0) + 1

    def _unhold(self, call: EngineCall) -> None:
        chain = ""
        for part in call.parts:
            chain = f"{chain}/{part.id}"
            if self._users.get(chain, 0) > 0:
                self._users[chain] -= 1

    def _release(self, call: EngineCall) -> None:
        self._private -= call.held
        call.held = 0
        self._unhold(call)

    def _make_room(self, tokens: int) -> bool:
        """Let the longest unused parts give way until so many tokens fit."""
        room = self.figures.kv_tokens - self._private - self._cached_total
        if room >= tokens:
            return True
        for chain in list(self._cache):
            if self._users.get(chain, 0) > 0:
                continue
            room += self._forget(chain)
            if room >= tokens:
                return True
        return False

    def _forget(self, chain: str) -> int:
        tokens = self._cache.pop(chain)
        self._users.pop(chain, None)
        self._cached_total -= tokens
        return tokens

    def _read_piece(self) -> tuple[int, float, list[EngineCall]]:
        left, pairs, done = self.figures.chunk, 0.0, []
        for call in self._prefilling:
            take = min(left, call.to_read)
            pairs += take * (call.context + take / 2.0)
            call.to_read -= take
            call.context += take
            left -= take
            if call.to_read == 0:
                done.append(call)
            if left == 0:
                break
        return self.figures.chunk - left, pairs, done

    def _make_token(self, call: EngineCall, now_ms: float) -> None:
        if not self._make_room(1):
            newest = self._running[-1]
            self._preempt(newest)
            if newest is call:
                return
        call.made += 1
        call.held += 1
        call.context += 1
        self._private += 1
        self.accounts.tokens_made += 1
        if call.made % self.figures.stride == 0 or call.made >= call.tokens_out:
            call.events += 1
            call.on_event(now_ms, call.events)
        if call.made >= call.tokens_out and not call.gone:
            self._running.remove(call)
            self._release(call)
            call.on_end(now_ms)

    def _preempt(self, call: EngineCall) -> None:
        self.accounts.preempted += 1
        self._running.remove(call)
        self._release(call)
        self._waiting.appendleft(call)
