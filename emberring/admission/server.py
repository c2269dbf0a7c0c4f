"""What one gateway knows of one server: its own calls there, the others' as control told, what was heard."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from emberring.admission.failure_rate import FailureRate
from emberring.admission.prefix_cache import PrefixCacheEstimate
from emberring.admission.types import CallInfo, CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.registry.known_load import GATEWAYS_BY_WORD, USUAL_S

DEFAULT_CAPACITY = 16
SLOWDOWN_GAIN = 0.15  # smoothing of a server's waits over those expected
SLOWDOWN_DECAY_S = 5.0  # a server that is not heard drifts back to the others at this pace
SLOWDOWN_MAX = 8.0
SLOWDOWN_TOLERANCE = 3.0  # times the wait expected that chance explains
EVENT_GAP_GAIN = 0.4  # smoothing of the pauses between events, which tell of prompts being read
EVENT_GAP_DECAY_S = 0.3


def load_report_trust(gateways: int) -> float:
    """How far a gateway may go by what was just told of the others' calls at one server, from 0 to 1.

    Guard: word of them is up to a second old. Where many gateways went by it, all of them sent to the servers that
    had looked idle, by turns.
    """
    return min(1.0, GATEWAYS_BY_WORD / gateways)


@attrs.define(eq=False)
class PlacedCall:
    """A call of this gateway at a server. `expected_miss_tokens` are the prompt's tokens that the server is held to lack,
    `tokens_ahead` those that were before it when it came, `predicted_wait_ms` the wait that was foreseen, `free` whether it found
    a place at once."""

    call: CallInfo
    server: ServerView
    placed_s: float
    expected_miss_tokens: float
    tokens_ahead: float
    predicted_wait_ms: float
    had_free_slot: bool = True
    sent_s: float | None = None
    first_event_s: float | None = None
    exclusive_tokens: float = 0.0  # of the memory that it takes for itself
    latest_event_s: float | None = None  # when its latest event after the first came


@attrs.define(eq=False)
class ServerView:
    """One server's incarnation."""

    record: ServerRecord
    known_since_s: float
    connections: float = math.inf  # that this gateway may hold there
    kv_tokens: float = math.inf
    calls: dict[str, PlacedCall] = attrs.field(factory=dict)
    other_calls: float = 0.0
    smoothed_other_calls: float = 0.0  # the same, smoothed
    other_calls_updated_s: float = -math.inf  # when it was last told
    reported_calls: int = 0
    prefix_cache: PrefixCacheEstimate = attrs.field(factory=PrefixCacheEstimate)
    last_received_s: float = -math.inf
    first_received_s: float | None = None
    slowdown: float = 1.0
    slowdown_updated_s: float = -math.inf
    event_gap_ms: float = 0.0
    event_gap_updated_s: float = -math.inf
    consecutive_failures: int = 0  # in a row,
    last_failure: CallOutcome | None = None  # and how the last of them
    failure_rate: FailureRate = attrs.field(factory=FailureRate)
    ejected_until_s: float = -math.inf
    full_until_s: float = -math.inf
    replaced: bool = False  # another server answers at its address

    @property
    def capacity(self) -> int:
        """Requests that it works on at once."""
        return self.record.capacity or DEFAULT_CAPACITY

    def update_other_calls(self, now_s: float, calls: float, usual: float | None = None) -> None:
        """The others' calls there, as control told them; they are smoothed here unless what is usual was told."""
        if usual is not None:
            self.smoothed_other_calls = usual
        elif self.other_calls_updated_s == -math.inf:
            self.smoothed_other_calls = calls
        else:
            kept = math.exp((self.other_calls_updated_s - now_s) / USUAL_S)
            self.smoothed_other_calls = kept * self.smoothed_other_calls + (1.0 - kept) * calls
        self.other_calls = calls
        self.other_calls_updated_s = now_s

    def estimated_load(self, gateways: int) -> float:
        """Calls in flight there, all gateways' together, to go by for a single server: what is usual there changes
        slowly enough to be followed by many."""
        trust = load_report_trust(gateways)
        return len(self.calls) + trust * self.other_calls + (1.0 - trust) * self.smoothed_other_calls

    @property
    def load(self) -> float:
        """Calls in flight there, all gateways' together."""
        return len(self.calls) + self.other_calls

    def awaiting_first_event(self) -> Iterator[PlacedCall]:
        """This gateway's calls that have had no event yet."""
        return (placed for placed in self.calls.values() if placed.first_event_s is None)

    def waiting_tokens(self, now_s: float, ms_per_token: float) -> float:
        """Tokens of this gateway's prompts that the server has still to read: a call's own are read after those
        that were ahead of it, at the pool's pace."""
        total = 0.0
        for placed in self.awaiting_first_event():
            read = (now_s - placed.placed_s) * 1000.0 / ms_per_token - placed.tokens_ahead
            total += (
                placed.expected_miss_tokens if read <= 0.0 else max(0.0, placed.expected_miss_tokens - read)
            )
        return total

    def record_event(self, now_s: float) -> None:
        """Any event of the server's has come."""
        self.last_received_s = now_s
        if self.first_received_s is None:
            self.first_received_s = now_s

    def record_event_gap(self, now_s: float, event_gap_ms: float) -> None:
        """A later event has come so long after the one before it."""
        self.event_gap_ms = self.event_gap(now_s) + EVENT_GAP_GAIN * (event_gap_ms - self.event_gap(now_s))
        self.event_gap_updated_s = now_s

    def event_gap(self, now_s: float) -> float:
        """The recent pause between events in ms; it is forgotten quickly."""
        return (
            self.event_gap_ms * math.exp((self.event_gap_updated_s - now_s) / EVENT_GAP_DECAY_S)
            if self.event_gap_ms
            else 0.0
        )

    def record_wait_ratio(self, now_s: float, ratio: float) -> None:
        """A first event came after so many times the wait expected."""
        self.slowdown = self.slowdown_ratio(now_s)
        self.slowdown += SLOWDOWN_GAIN * (min(SLOWDOWN_MAX, ratio) - self.slowdown)
        self.slowdown_updated_s = now_s

    def slowdown_ratio(self, now_s: float) -> float:
        """Waits there over those expected: 1 as the others."""
        return 1.0 + (self.slowdown - 1.0) * math.exp((self.slowdown_updated_s - now_s) / SLOWDOWN_DECAY_S)

    def latency_penalty(self, now_s: float) -> float:
        """What its slowness makes of a wait there; small differences are chance."""
        return max(1.0, self.slowdown_ratio(now_s) / SLOWDOWN_TOLERANCE)

    def seconds_without_event(self, now_s: float) -> float:
        """Seconds since anything was heard while something was owed; 0 if nothing is out. A stream that has begun
        owes its next event only where later events are told at all."""
        oldest = math.inf
        for placed in self.calls.values():
            since = placed.sent_s if placed.first_event_s is None else placed.latest_event_s
            if since is not None:
                oldest = min(oldest, since)
        return max(0.0, now_s - max(oldest, self.last_received_s)) if oldest < math.inf else 0.0
