"""Recognises requests that repeat a running or recent request, and deduplicates them where that is safe.

- Keyed class: the key identifies a repeat. It joins the running request or gets the stored response; nothing is sent.
- Safe class: a propagated id together with a retry mark identifies a repeat. Without the mark the application may be
  reading again what it has just changed, so nothing is joined.
- Unsafe class: nothing is ever joined, because no caller has promised that the two requests are the same.
- A request with the same content as one that has just failed at a server is assumed to be its repeat, a few times for
  each failure. This is a guess, since many callers may send equal requests. So the only consequence is that it is
  charged to the retry budget, and its own rejection does not make further requests look like repeats.

The form of a key follows the draft "The Idempotency-Key HTTP Header Field": the same key with another request is not
the same request.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import Any

from loadbalancer.interface import Earlier, Effect

# Header fields that may differ between two attempts of one request. Any other difference makes them two requests.
ATTEMPT_HEADERS = frozenset(
    b"baggage traceparent tracestate via forwarded x-forwarded-for x-request-id x-correlation-id date".split()
    + b"grpc-timeout x-envoy-expected-rq-timeout-ms x-envoy-attempt-count".split()
    + b"req-id req-retry req-deadline-ms connection keep-alive content-length transfer-encoding".split()
)
MAX_FAILURES = 4096  # recent failures that are remembered
REPEATS_PER_FAILURE = 3  # repeats that are expected after each failure


@dataclass(frozen=True)
class RequestIdentity:
    """What distinguishes a request from others."""

    service: str
    effect: Effect
    parts: tuple[bytes, ...]  # its content, including the tenant
    key: bytes | None = None  # of a keyed class
    carried: str | None = None  # the id given by an earlier node, if that node is trusted
    marked: bool = False  # it is marked as a retry
    fields: Sequence[tuple[bytes, bytes]] = ()  # its header fields

    @cached_property
    def content(self) -> bytes:
        """A digest of its content; computed on demand, since most requests are never repeated."""
        return digest(*self.parts)

    @cached_property
    def match_key(self) -> tuple[str, bytes, bytes | str] | None:
        """Equal for two requests that are certainly the same one; None if that can never be certain.

        Guard: it covers the header fields, because two users who chose the same key and body would otherwise share one
        response, to which only the first is entitled.
        """
        if self.effect is Effect.KEYED and self.key is not None:
            return self.service, self._exact_digest(), self.key
        if self.effect is Effect.SAFE and self.carried is not None:
            return self.service, self._exact_digest(), self.carried
        return None

    def _exact_digest(self) -> bytes:
        """A digest of its content and of the header fields that identify the user or select the representation."""
        fields = [
            part
            for name, value in self.fields
            if name.lower() not in ATTEMPT_HEADERS
            for part in (name, value)
        ]
        return digest(*self.parts, *fields)


def digest(*parts: bytes) -> bytes:
    """A digest of the parts in order; it depends on where each part ends."""
    state = hashlib.blake2b(digest_size=16)
    for part in parts:
        state.update(b"%d:" % len(part))
        state.update(part)
    return state.digest()


class RepeatKind(Enum):
    """The classification of an arriving request."""

    NEW = "new"
    REPEAT = "repeat"  # has to be sent, but is not a first attempt
    JOIN = "join"  # waits for the response of a running request
    REPLAY = "replay"  # gets the stored response of a finished request


@dataclass(slots=True, frozen=True)
class Verdict:
    kind: RepeatKind
    guessed: bool = False  # REPEAT is a guess, since many callers may send equal requests
    token: Any = None  # JOIN: the token passed to `begin`; REPLAY: the answer passed to `end`
    earlier: Earlier | None = None  # keyed REPEAT: where an earlier attempt may have run


@dataclass(slots=True)
class _Entry:
    token: Any = None
    running: bool = True
    answer: Any = None
    size: int = 0
    until_ms: float = 0.0
    earlier: Earlier | None = None


@dataclass(slots=True)
class RepeatTracker:
    """Tracks running requests and, for a limited time and within limits, finished ones."""

    keep_ms: float = 2000.0  # how long a stored response or a failure is kept
    max_answer_bytes: int = 1 << 20  # of stored responses
    max_entries: int = 4096
    counts: Counter[str] = field(default_factory=Counter)
    answer_bytes: int = 0  # bytes of stored responses
    _entries: OrderedDict[tuple[str, bytes, bytes | str], _Entry] = field(default_factory=OrderedDict)
    _ended: OrderedDict[tuple[str, bytes, bytes | str], None] = field(default_factory=OrderedDict)
    _failures: OrderedDict[tuple[str, bytes], tuple[int, float]] = field(default_factory=OrderedDict)

    def classify(self, now_ms: float, request: RequestIdentity) -> Verdict:
        """Classify an arriving request."""
        self._expire(now_ms)
        match_key = request.match_key
        entry = self._entries.get(match_key) if match_key is not None else None
        if entry is not None and (request.effect is Effect.KEYED or request.marked):
            if entry.running:
                self.counts["joined"] += 1
                return Verdict(RepeatKind.JOIN, token=entry.token)
            if entry.answer is not None:
                self.counts["replayed"] += 1
                return Verdict(RepeatKind.REPLAY, token=entry.answer)
        if entry is not None and entry.earlier is not None:
            return Verdict(RepeatKind.REPEAT, earlier=entry.earlier)
        failed = self._failures.get((request.service, request.content)) if self._failures else None
        if failed is not None and not request.marked:
            self.counts["taken for a repeat"] += 1
        if failed is not None:
            count, until = failed
            if count > 1:
                self._failures[request.service, request.content] = (count - 1, until)
            else:
                del self._failures[request.service, request.content]
        if request.marked:
            return Verdict(RepeatKind.REPEAT)
        return Verdict(RepeatKind.REPEAT, guessed=True) if failed is not None else Verdict(RepeatKind.NEW)

    def begin(self, request: RequestIdentity, token: Any) -> None:
        """Record that a request runs; requests that join it get this token."""
        match_key = request.match_key
        if match_key is None or len(self._entries) >= self.max_entries:
            return
        existing = self._entries.get(match_key)
        if existing is not None and existing.running:
            return
        self._drop(match_key)
        self._entries[match_key] = _Entry(token)

    def end(
        self,
        now_ms: float,
        request: RequestIdentity,
        token: Any,
        answer: Any = None,
        size: int = 0,
        earlier: Earlier | None = None,
        memory_ms: float = 0.0,
        sent: bool = True,
    ) -> None:
        """Record the end of a request: with an answer of `size` bytes that may be replayed, or without one.

        `earlier`: where it may have run without an answer; `memory_ms`: how long servers remember its key; `sent`:
        whether any attempt was made.
        """
        # Guard: rejections without an attempt do not count as failures. Otherwise, for a request that many callers
        # send, one rejection makes the next ones look like repeats; these are rejected for lack of budget and in turn
        # mark the next, so a healthy pool would reject them forever.
        if answer is None and sent:
            count, _ = self._failures.pop((request.service, request.content), (0, 0.0))
            self._failures[request.service, request.content] = (
                count + REPEATS_PER_FAILURE,
                now_ms + self.keep_ms,
            )
            while len(self._failures) > MAX_FAILURES:
                self._failures.popitem(last=False)
        match_key = request.match_key
        entry = self._entries.get(match_key) if match_key is not None else None
        if match_key is None or entry is None or entry.token is not token:
            return
        entry.running, entry.token = False, None
        entry.until_ms = now_ms + self.keep_ms
        if answer is not None and size <= self.max_answer_bytes:
            entry.answer, entry.size = answer, size
            self.answer_bytes += size
        elif earlier is not None:
            # A late repeat must still go to the group of servers that may remember its key, and to no other group.
            entry.earlier = earlier
            entry.until_ms = now_ms + 2.0 * memory_ms
        else:
            self._drop(match_key)
            return
        self._ended[match_key] = None
        while self.answer_bytes > self.max_answer_bytes:
            self._drop(next(key for key in self._ended if self._entries[key].size))

    def _drop(self, match_key: tuple[str, bytes, bytes | str]) -> None:
        entry = self._entries.pop(match_key, None)
        self._ended.pop(match_key, None)
        if entry is not None:
            self.answer_bytes -= entry.size

    def _expire(self, now_ms: float) -> None:
        """Remove expired entries.

        Guard: each call looks at no more than four finished entries, the oldest first, so that no request is delayed
        by the removal of many.
        """
        for _ in range(4):
            oldest = next(iter(self._ended), None)
            if oldest is None:
                break
            if self._entries[oldest].until_ms > now_ms:
                self._ended.move_to_end(oldest)
                continue
            self._drop(oldest)
        while self._failures:
            content, (_, until) = next(iter(self._failures.items()))
            if until > now_ms:
                break
            del self._failures[content]
