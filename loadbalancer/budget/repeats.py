"""Requests that are asked again while they run or just after, and what may be done about it.

- Of a keyed class the key says so: the second one joins the first, or gets its answer, and nothing is sent.
- Of a safe class an id that was carried and a mark of a repeat say so. Without the mark an application may be reading
  anew what it has just changed, so nothing is joined.
- Of an unsafe class nothing is ever joined: no caller has promised that the two are one.
- What asks the same as one that has just failed at a server is taken for its repeat, a few times for each failure. It
  is a guess: many callers may ask one thing. So it may cost the budget of repeats and no more, and its own refusal
  makes nothing else look like a repeat.

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

# Fields that may differ between two tries of one request; any other that does makes them two.
VARYING = frozenset(
    b"baggage traceparent tracestate via forwarded x-forwarded-for x-request-id x-correlation-id date".split()
    + b"grpc-timeout x-envoy-expected-rq-timeout-ms x-envoy-attempt-count".split()
    + b"req-id req-retry req-deadline-ms connection keep-alive content-length transfer-encoding".split()
)
FAILURES = 4096  # of which the repeats are looked for
TRIES = 3  # repeats that are looked for after each


@dataclass(frozen=True)
class Identity:
    """What tells a request from others."""

    service: str
    effect: Effect
    parts: tuple[bytes, ...]  # all that it asks, tenant too
    key: bytes | None = None  # of a keyed class
    carried: str | None = None  # what a node before called it, where that is believed
    marked: bool = False  # somebody says that it is a repeat
    fields: Sequence[tuple[bytes, bytes]] = ()  # of its head

    @cached_property
    def asked(self) -> bytes:
        """A digest of all that it asks; made when it is needed, as most requests are never asked again."""
        return digest(*self.parts)

    @cached_property
    def same(self) -> tuple[str, bytes, bytes | str] | None:
        """Equal for two that are surely one; None if nothing can be sure.

        Guard: two users who chose one key for one body would have had one answer, which the first was entitled to.
        """
        if self.effect is Effect.KEYED and self.key is not None:
            return self.service, self._exact(), self.key
        if self.effect is Effect.SAFE and self.carried is not None:
            return self.service, self._exact(), self.carried
        return None

    def _exact(self) -> bytes:
        """A digest of what it asks and of the fields that tell on whose behalf and in which form."""
        fields = [
            part for name, value in self.fields if name.lower() not in VARYING for part in (name, value)
        ]
        return digest(*self.parts, *fields)


def digest(*parts: bytes) -> bytes:
    """Of parts in order, told apart."""
    found = hashlib.blake2b(digest_size=16)
    for part in parts:
        found.update(b"%d:" % len(part))
        found.update(part)
    return found.digest()


class Kind(Enum):
    """What a request that has come is."""

    NEW = "new"
    REPEAT = "repeat"  # new work, but not a first try
    JOIN = "join"  # waits for the answer of one that runs
    REPLAY = "replay"  # has the answer of one that has ended


@dataclass(slots=True, frozen=True)
class Verdict:
    kind: Kind
    guessed: bool = False  # that it is a repeat: many callers may ask the same
    token: Any = None  # of JOIN what was given to `begin`, of REPLAY the answer that was given to `end`
    earlier: Earlier | None = None  # of a repeat with a key: where an earlier copy may have run


@dataclass(slots=True)
class _Entry:
    token: Any = None
    running: bool = True
    answer: Any = None
    size: int = 0
    until_ms: float = 0.0
    earlier: Earlier | None = None


@dataclass(slots=True)
class Repeats:
    """Remembers what runs, and for a while what has ended, within bounds."""

    keep_ms: float = 2000.0  # an answer, and a failure
    most_bytes: int = 1 << 20  # of answers
    most_entries: int = 4096
    counts: Counter[str] = field(default_factory=Counter)
    held: int = 0  # bytes of answers
    _entries: OrderedDict[tuple[str, bytes, bytes | str], _Entry] = field(default_factory=OrderedDict)
    _ended: OrderedDict[tuple[str, bytes, bytes | str], None] = field(default_factory=OrderedDict)
    _failures: OrderedDict[tuple[str, bytes], tuple[int, float]] = field(default_factory=OrderedDict)

    def arrive(self, now_ms: float, who: Identity) -> Verdict:
        """What a request is that has come now."""
        self._forget(now_ms)
        same = who.same
        entry = self._entries.get(same) if same is not None else None
        if entry is not None and (who.effect is Effect.KEYED or who.marked):
            if entry.running:
                self.counts["joined"] += 1
                return Verdict(Kind.JOIN, token=entry.token)
            if entry.answer is not None:
                self.counts["replayed"] += 1
                return Verdict(Kind.REPLAY, token=entry.answer)
        if entry is not None and entry.earlier is not None:
            return Verdict(Kind.REPEAT, earlier=entry.earlier)
        failed = self._failures.get((who.service, who.asked)) if self._failures else None
        if failed is not None and not who.marked:
            self.counts["taken for a repeat"] += 1
        if failed is not None:
            count, until = failed
            if count > 1:
                self._failures[who.service, who.asked] = (count - 1, until)
            else:
                del self._failures[who.service, who.asked]
        if who.marked:
            return Verdict(Kind.REPEAT)
        return Verdict(Kind.REPEAT, guessed=True) if failed is not None else Verdict(Kind.NEW)

    def begin(self, who: Identity, token: Any) -> None:
        """It runs from now on; those that join it are told this token."""
        same = who.same
        if same is None or len(self._entries) >= self.most_entries:
            return
        known = self._entries.get(same)
        if known is not None and known.running:
            return
        self._drop(same)
        self._entries[same] = _Entry(token)

    def end(
        self,
        now_ms: float,
        who: Identity,
        token: Any,
        answer: Any = None,
        size: int = 0,
        earlier: Earlier | None = None,
        memory_ms: float = 0.0,
        sent: bool = True,
    ) -> None:
        """It has ended: with an answer that may be given again, of this many bytes, or without one.

        `earlier`: where it may have run all the same; `memory_ms`: for how long that matters; `sent`: whether any
        attempt was made.
        """
        # Guard: with refusals counted too, the first one of a thing that many ask had the next ones taken for its
        # repeats, and these, refused for lack of budget, the next: a healthy pool was shut for good.
        if answer is None and sent:
            count, _ = self._failures.pop((who.service, who.asked), (0, 0.0))
            self._failures[who.service, who.asked] = (count + TRIES, now_ms + self.keep_ms)
            while len(self._failures) > FAILURES:
                self._failures.popitem(last=False)
        same = who.same
        entry = self._entries.get(same) if same is not None else None
        if same is None or entry is None or entry.token is not token:
            return
        entry.running, entry.token = False, None
        entry.until_ms = now_ms + self.keep_ms
        if answer is not None and size <= self.most_bytes:
            entry.answer, entry.size = answer, size
            self.held += size
        elif earlier is not None:
            # A repeat long after must still find the group that may know its key, and not one that never did.
            entry.earlier = earlier
            entry.until_ms = now_ms + 2.0 * memory_ms
        else:
            self._drop(same)
            return
        self._ended[same] = None
        while self.held > self.most_bytes:
            self._drop(next(key for key in self._ended if self._entries[key].size))

    def _drop(self, same: tuple[str, bytes, bytes | str]) -> None:
        entry = self._entries.pop(same, None)
        self._ended.pop(same, None)
        if entry is not None:
            self.held -= entry.size

    def _forget(self, now_ms: float) -> None:
        """Guard: what is kept goes by its time, looked at from the oldest on, and no call pays for many."""
        for _ in range(4):
            oldest = next(iter(self._ended), None)
            if oldest is None:
                break
            if self._entries[oldest].until_ms > now_ms:
                self._ended.move_to_end(oldest)
                continue
            self._drop(oldest)
        while self._failures:
            asked, (_, until) = next(iter(self._failures.items()))
            if until > now_ms:
                break
            del self._failures[asked]
