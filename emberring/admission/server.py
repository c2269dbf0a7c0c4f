"""What one gateway knows of one server: its own calls there, the others' as control told, what was heard."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from emberring.admission.failures import FailureShare
from emberring.admission.prefixes import PrefixMemory
from emberring.admission.types import CallInfo, CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.registry.known_load import GATEWAYS_BY_WORD, USUAL_S

DEFAULT_CAPACITY = 16
SLOW_GAIN = 0.15  # smoothing of a server's waits over those expected
SLOW_FORGET_S = 5.0  # a server that is not heard drifts back to the others at this pace
SLOW_MOST = 8.0
SLOW_CHANCE = 3.0  # times the wait expected that chance explains
GAP_GAIN = 0.4  # smoothing of the pauses between events, which tell of prompts being read
GAP_FORGET_S = 0.3


def trust_in_word(gateways: int) -> float:
    """How far a gateway may go by what was just told of the others' calls at one server, from 0 to 1.

    Guard: word of them is up to a second old. Where many gateways went by it, all of them sent to the servers that
    had looked idle, by turns.
    """
    return min(1.0, GATEWAYS_BY_WORD / gateways)


@attrs.define(eq=False)
class Placed:
    """A call of this gateway at a server. `to_read` are the prompt's tokens that the server is held to lack,
    `ahead` those that were before it when it came, `expected_ms` the wait that was foreseen, `free` whether it found
    a place at once."""

    call: CallInfo
    server: ServerView
    placed_s: float
    to_read: float
    ahead: float
    expected_ms: float
    free: bool = True
    sent_s: float | None = None
    first_s: float | None = None
    own_tokens: float = 0.0  # of the memory that it takes for itself
    later_s: float | None = None  # when its latest event after the first came


@attrs.define(eq=False)
class ServerView:
    """One server's incarnation."""

    fact: ServerRecord
    since_s: float
    connections: float = math.inf  # that this gateway may hold there
    kv_tokens: float = math.inf
    calls: dict[str, Placed] = attrs.field(factory=dict)
    others: float = 0.0
    others_usual: float = 0.0  # the same, smoothed
    others_s: float = -math.inf  # when it was last told
    reported: int = 0
    memory: PrefixMemory = attrs.field(factory=PrefixMemory)
    heard_s: float = -math.inf
    first_heard_s: float | None = None
    slow: float = 1.0
    slow_s: float = -math.inf
    pause_ms: float = 0.0
    pause_s: float = -math.inf
    failures: int = 0  # in a row,
    failed_by: CallOutcome | None = None  # and how the last of them
    failed: FailureShare = attrs.field(factory=FailureShare)
    avoid_until_s: float = -math.inf
    full_until_s: float = -math.inf
    gone: bool = False  # another server answers at its address

    @property
    def capacity(self) -> int:
        """Requests that it works on at once."""
        return self.fact.capacity or DEFAULT_CAPACITY

    def hear_others(self, now_s: float, calls: float, usual: float | None = None) -> None:
        """The others' calls there, as control told them; they are smoothed here unless what is usual was told."""
        if usual is not None:
            self.others_usual = usual
        elif self.others_s == -math.inf:
            self.others_usual = calls
        else:
            kept = math.exp((self.others_s - now_s) / USUAL_S)
            self.others_usual = kept * self.others_usual + (1.0 - kept) * calls
        self.others = calls
        self.others_s = now_s

    def likely_load(self, gateways: int) -> float:
        """Calls in flight there, all gateways' together, to go by for a single server: what is usual there changes
        slowly enough to be followed by many."""
        trust = trust_in_word(gateways)
        return len(self.calls) + trust * self.others + (1.0 - trust) * self.others_usual

    @property
    def load(self) -> float:
        """Calls in flight there, all gateways' together."""
        return len(self.calls) + self.others

    def unheard(self) -> Iterator[Placed]:
        """This gateway's calls that have had no event yet."""
        return (placed for placed in self.calls.values() if placed.first_s is None)

    def waiting_tokens(self, now_s: float, ms_per_token: float) -> float:
        """Tokens of this gateway's prompts that the server has still to read: a call's own are read after those
        that were ahead of it, at the pool's pace."""
        total = 0.0
        for placed in self.unheard():
            read = (now_s - placed.placed_s) * 1000.0 / ms_per_token - placed.ahead
            total += placed.to_read if read <= 0.0 else max(0.0, placed.to_read - read)
        return total

    def hear(self, now_s: float) -> None:
        """Any event of the server's has come."""
        self.heard_s = now_s
        if self.first_heard_s is None:
            self.first_heard_s = now_s

    def hear_pause(self, now_s: float, pause_ms: float) -> None:
        """A later event has come so long after the one before it."""
        self.pause_ms = self.pause(now_s) + GAP_GAIN * (pause_ms - self.pause(now_s))
        self.pause_s = now_s

    def pause(self, now_s: float) -> float:
        """The recent pause between events in ms; it is forgotten quickly."""
        return self.pause_ms * math.exp((self.pause_s - now_s) / GAP_FORGET_S) if self.pause_ms else 0.0

    def hear_wait(self, now_s: float, ratio: float) -> None:
        """A first event came after so many times the wait expected."""
        self.slow = self.slowness(now_s)
        self.slow += SLOW_GAIN * (min(SLOW_MOST, ratio) - self.slow)
        self.slow_s = now_s

    def slowness(self, now_s: float) -> float:
        """Waits there over those expected: 1 as the others."""
        return 1.0 + (self.slow - 1.0) * math.exp((self.slow_s - now_s) / SLOW_FORGET_S)

    def handicap(self, now_s: float) -> float:
        """What its slowness makes of a wait there; small differences are chance."""
        return max(1.0, self.slowness(now_s) / SLOW_CHANCE)

    def silent_for(self, now_s: float) -> float:
        """Seconds since anything was heard while something was owed; 0 if nothing is out. A stream that has begun
        owes its next event only where later events are told at all."""
        oldest = math.inf
        for placed in self.calls.values():
            since = placed.sent_s if placed.first_s is None else placed.later_s
            if since is not None:
                oldest = min(oldest, since)
        return max(0.0, now_s - max(oldest, self.heard_s)) if oldest < math.inf else 0.0
