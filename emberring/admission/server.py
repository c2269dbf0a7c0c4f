"""What one gateway knows of one server: its own calls, the reported calls of other gateways, observed events."""

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
SLOWDOWN_GAIN = 0.15  # smoothing of the ratio of observed to predicted waits
SLOWDOWN_DECAY_S = 5.0  # time constant by which the ratio returns to 1 without events
SLOWDOWN_MAX = 8.0  # a single ratio counts as no more
SLOWDOWN_TOLERANCE = 3.0  # ratio of waits that chance explains
EVENT_GAP_GAIN = 0.4  # smoothing of the time between events, which grows while prompts are computed
EVENT_GAP_DECAY_S = 0.3  # time constant by which it decays


def load_report_trust(gateways: int) -> float:
    """Return the weight, from 0 to 1, of the latest report of other gateways' calls at a single server.

    Reports are up to a second old. When many gateways relied on them fully, all of them sent their calls to the servers
    that had looked idle, and the load swung between servers.
    """
    return min(1.0, GATEWAYS_BY_WORD / gateways)


@attrs.define(eq=False)
class PlacedCall:
    """A call of this gateway that counts against a server.

    Args:
        expected_miss_tokens: tokens of the prompt that the server is expected to have to compute.
        tokens_ahead: prompt tokens queued at the server before the call's own when it was placed.
        predicted_wait_ms: predicted wait for the first event.
        had_free_slot: whether the server had a free slot when the call was placed.
        exclusive_tokens: KV-cache tokens that the call shares with no other.
        latest_event_s: when its latest event after the first one came.
    """

    call: CallInfo
    server: ServerView
    placed_s: float
    expected_miss_tokens: float
    tokens_ahead: float
    predicted_wait_ms: float
    had_free_slot: bool = True
    sent_s: float | None = None
    first_event_s: float | None = None
    exclusive_tokens: float = 0.0
    latest_event_s: float | None = None


@attrs.define(eq=False)
class ServerView:
    """One incarnation of a server as this gateway sees it. Times are of the monotonic clock, in seconds.

    Args:
        known_since_s: when this gateway first knew of the server.
        connections: connections that this gateway may hold to the server.
        kv_tokens: capacity of the server's KV cache in tokens.
        calls: this gateway's calls there, by id.
        other_calls: the other gateways' calls there, as last reported.
        smoothed_other_calls: the same, smoothed over `USUAL_S`.
        reported_calls: this gateway's calls there in its own latest report.
        slowdown: smoothed ratio of observed to predicted waits; 1 is as predicted.
        event_gap_ms: smoothed time between two events of a stream.
        last_failure: how the latest failed attempt ended.
        ejected_until_s: nothing is sent there before, after failures.
        full_until_s: nothing is sent there before, after the server said that it is full.
        replaced: whether another server answers at its address.
    """

    record: ServerRecord
    known_since_s: float
    connections: float = math.inf
    kv_tokens: float = math.inf
    calls: dict[str, PlacedCall] = attrs.field(factory=dict)
    other_calls: float = 0.0
    smoothed_other_calls: float = 0.0
    other_calls_updated_s: float = -math.inf
    reported_calls: int = 0
    prefix_cache: PrefixCacheEstimate = attrs.field(factory=PrefixCacheEstimate)
    last_received_s: float = -math.inf
    first_received_s: float | None = None
    slowdown: float = 1.0
    slowdown_updated_s: float = -math.inf
    event_gap_ms: float = 0.0
    event_gap_updated_s: float = -math.inf
    consecutive_failures: int = 0
    last_failure: CallOutcome | None = None
    failure_rate: FailureRate = attrs.field(factory=FailureRate)
    ejected_until_s: float = -math.inf
    full_until_s: float = -math.inf
    replaced: bool = False

    @property
    def capacity(self) -> int:
        """The requests that the server processes concurrently."""
        return self.record.capacity or DEFAULT_CAPACITY

    def update_other_calls(self, now_s: float, calls: float, usual: float | None = None) -> None:
        """Record the other gateways' calls there as reported.

        Args:
            now_s: the current time (monotonic clock).
            calls: their calls in flight.
            usual: the same, smoothed by the reporter; None: it is smoothed here.
        """
        if usual is not None:
            self.smoothed_other_calls = usual
        elif self.other_calls_updated_s == -math.inf:
            self.smoothed_other_calls = calls
        else:
            weight = math.exp((self.other_calls_updated_s - now_s) / USUAL_S)
            self.smoothed_other_calls = weight * self.smoothed_other_calls + (1.0 - weight) * calls
        self.other_calls = calls
        self.other_calls_updated_s = now_s

    def estimated_load(self, gateways: int) -> float:
        """Return the calls of all gateways there, weighted by how far a fresh report can be trusted.

        With many gateways the smoothed figure dominates, as it changes slowly enough to be followed by all of them.
        """
        trust = load_report_trust(gateways)
        return len(self.calls) + trust * self.other_calls + (1.0 - trust) * self.smoothed_other_calls

    @property
    def load(self) -> float:
        """The calls of all gateways in flight there, by the latest report."""
        return len(self.calls) + self.other_calls

    def awaiting_first_event(self) -> Iterator[PlacedCall]:
        """Iterate over this gateway's calls there that have had no event yet."""
        return (placed for placed in self.calls.values() if placed.first_event_s is None)

    def waiting_tokens(self, now_s: float, ms_per_token: float) -> float:
        """Return the tokens of this gateway's prompts that the server has still to compute.

        A call's own prompt is computed after those that were ahead of it, at the pool's rate of prefill.
        """
        total = 0.0
        for placed in self.awaiting_first_event():
            computed = (now_s - placed.placed_s) * 1000.0 / ms_per_token - placed.tokens_ahead
            total += (
                placed.expected_miss_tokens
                if computed <= 0.0
                else max(0.0, placed.expected_miss_tokens - computed)
            )
        return total

    def record_event(self, now_s: float) -> None:
        """Record that an event of any answer came from the server."""
        self.last_received_s = now_s
        if self.first_received_s is None:
            self.first_received_s = now_s

    def record_event_gap(self, now_s: float, event_gap_ms: float) -> None:
        """Record the time between an event of a stream and the one before it."""
        self.event_gap_ms = self.event_gap(now_s) + EVENT_GAP_GAIN * (event_gap_ms - self.event_gap(now_s))
        self.event_gap_updated_s = now_s

    def event_gap(self, now_s: float) -> float:
        """Return the recent time between events in milliseconds; it decays within `EVENT_GAP_DECAY_S`."""
        return (
            self.event_gap_ms * math.exp((self.event_gap_updated_s - now_s) / EVENT_GAP_DECAY_S)
            if self.event_gap_ms
            else 0.0
        )

    def record_wait_ratio(self, now_s: float, ratio: float) -> None:
        """Record the ratio of the observed to the predicted wait of a first event."""
        self.slowdown = self.slowdown_ratio(now_s)
        self.slowdown += SLOWDOWN_GAIN * (min(SLOWDOWN_MAX, ratio) - self.slowdown)
        self.slowdown_updated_s = now_s

    def slowdown_ratio(self, now_s: float) -> float:
        """Return the ratio of observed to predicted waits; it decays towards 1."""
        return 1.0 + (self.slowdown - 1.0) * math.exp((self.slowdown_updated_s - now_s) / SLOWDOWN_DECAY_S)

    def latency_penalty(self, now_s: float) -> float:
        """Return the factor on expected waits for a slow server; differences within chance give 1."""
        return max(1.0, self.slowdown_ratio(now_s) / SLOWDOWN_TOLERANCE)

    def seconds_without_event(self, now_s: float) -> float:
        """Return the seconds since the last event while an event was due; 0 if none is due.

        A call is due its first event from when it was sent on; a stream is due a next event only once a later event has
        been recorded.
        """
        oldest = math.inf
        for placed in self.calls.values():
            since = placed.sent_s if placed.first_event_s is None else placed.latest_event_s
            if since is not None:
                oldest = min(oldest, since)
        return max(0.0, now_s - max(oldest, self.last_received_s)) if oldest < math.inf else 0.0
