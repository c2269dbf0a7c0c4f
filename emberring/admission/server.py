"""The state of one server as known to one gateway: own calls, reported calls of other gateways, observed events."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from emberring.admission.failure_rate import FailureRate
from emberring.admission.prefix_cache import PrefixCacheEstimate
from emberring.admission.types import CallInfo, CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.registry.known_load import LOAD_SMOOTHING_S, MAX_GATEWAYS_FOR_EXACT_LOAD

DEFAULT_CAPACITY = 16
SLOWDOWN_GAIN = 0.15  # smoothing factor of the ratio of observed to predicted waits
SLOWDOWN_DECAY_S = 5.0  # time constant of the return of the ratio to 1 without events
SLOWDOWN_MAX = 8.0  # upper limit of a single ratio
SLOWDOWN_TOLERANCE = 3.0  # ratio of waits up to which a server does not count as slow
EVENT_GAP_GAIN = 0.4  # smoothing factor of the time between events, which prompts at the server lengthen
EVENT_GAP_DECAY_S = 0.3  # time constant of its decay


def load_report_trust(gateways: int) -> float:
    """Return the weight, from 0 to 1, of the latest report of other gateways' calls at a single server.

    Reports are up to a second old. If many gateways relied on them fully, all of them would send their calls to the
    same servers that were reported idle, and the load would oscillate between servers.
    """
    return min(1.0, MAX_GATEWAYS_FOR_EXACT_LOAD / gateways)


@attrs.define(eq=False)
class PlacedCall:
    """A call of this gateway that is in flight at a server.

    Args:
        expected_miss_tokens: expected tokens of the prompt that the server has not cached and must compute.
        tokens_ahead: prompt tokens queued at the server ahead of the call's own when it was placed.
        predicted_wait_ms: predicted wait for the first event.
        had_free_slot: whether the server had a free slot when the call was placed.
        exclusive_tokens: KV-cache tokens that the call does not share with other calls.
        latest_event_s: when the latest event after the first one was received.
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
    """One incarnation of a server as known to this gateway. Times are seconds of the monotonic clock.

    Args:
        known_since_s: when the server became known to this gateway.
        connections: limit of connections of this gateway to the server.
        kv_tokens: capacity of the server's KV cache in tokens.
        calls: this gateway's calls at the server, by id.
        other_calls: the other gateways' calls at the server in the latest report.
        smoothed_other_calls: `other_calls`, smoothed over `LOAD_SMOOTHING_S`.
        reported_calls: this gateway's calls at the server in the latest report that it sent.
        slowdown: smoothed ratio of observed to predicted waits; 1 if they are equal.
        event_gap_ms: smoothed time between two events of a stream.
        last_failure: outcome of the latest failed attempt.
        ejected_until_s: end of the ejection after failures; no calls are sent before.
        full_until_s: end of the backoff after the server rejected a call as full; no calls are sent before.
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

    @property
    def capacity(self) -> int:
        """How many requests the server processes concurrently."""
        return self.record.capacity or DEFAULT_CAPACITY

    def update_other_calls(self, now_s: float, calls: float, usual: float | None = None) -> None:
        """Record the reported calls of the other gateways at the server.

        Args:
            now_s: the current time (monotonic clock).
            calls: calls of the other gateways in flight.
            usual: the same value smoothed by the control node; if None, it is smoothed here.
        """
        if usual is not None:
            self.smoothed_other_calls = usual
        elif self.other_calls_updated_s == -math.inf:
            self.smoothed_other_calls = calls
        else:
            weight = math.exp((self.other_calls_updated_s - now_s) / LOAD_SMOOTHING_S)
            self.smoothed_other_calls = weight * self.smoothed_other_calls + (1.0 - weight) * calls
        self.other_calls = calls
        self.other_calls_updated_s = now_s

    def estimated_load(self, gateways: int) -> float:
        """Return the estimated calls of all gateways at the server.

        With many gateways the smoothed value dominates, because it changes slowly enough that gateways which all use
        it cause no oscillation.
        """
        trust = load_report_trust(gateways)
        return len(self.calls) + trust * self.other_calls + (1.0 - trust) * self.smoothed_other_calls

    @property
    def load(self) -> float:
        """The calls of all gateways in flight at the server, by the latest report."""
        return len(self.calls) + self.other_calls

    def awaiting_first_event(self) -> Iterator[PlacedCall]:
        """Iterate over this gateway's calls at the server that have received no event yet."""
        return (placed_call for placed_call in self.calls.values() if placed_call.first_event_s is None)

    def waiting_tokens(self, now_s: float, ms_per_token: float) -> float:
        """Return the tokens of this gateway's prompts that the server has not computed yet.

        Prompts are assumed to be computed in the order of arrival, at the prefill speed of the pool.
        """
        total = 0.0
        for placed_call in self.awaiting_first_event():
            computed = (now_s - placed_call.placed_s) * 1000.0 / ms_per_token - placed_call.tokens_ahead
            total += (
                placed_call.expected_miss_tokens
                if computed <= 0.0
                else max(0.0, placed_call.expected_miss_tokens - computed)
            )
        return total

    def record_event(self, now_s: float) -> None:
        """Record that an event of any response was received from the server."""
        self.last_received_s = now_s
        if self.first_received_s is None:
            self.first_received_s = now_s

    def record_event_gap(self, now_s: float, event_gap_ms: float) -> None:
        """Record the time between an event of a stream and the one before it."""
        self.event_gap_ms = self.event_gap(now_s) + EVENT_GAP_GAIN * (event_gap_ms - self.event_gap(now_s))
        self.event_gap_updated_s = now_s

    def event_gap(self, now_s: float) -> float:
        """Return the smoothed time between events in milliseconds; it decays with `EVENT_GAP_DECAY_S`."""
        return (
            self.event_gap_ms * math.exp((self.event_gap_updated_s - now_s) / EVENT_GAP_DECAY_S)
            if self.event_gap_ms
            else 0.0
        )

    def record_wait_ratio(self, now_s: float, ratio: float) -> None:
        """Record the ratio of the observed to the predicted wait for a first event."""
        self.slowdown = self.slowdown_ratio(now_s)
        self.slowdown += SLOWDOWN_GAIN * (min(SLOWDOWN_MAX, ratio) - self.slowdown)
        self.slowdown_updated_s = now_s

    def slowdown_ratio(self, now_s: float) -> float:
        """Return the ratio of observed to predicted waits; it decays towards 1."""
        return 1.0 + (self.slowdown - 1.0) * math.exp((self.slowdown_updated_s - now_s) / SLOWDOWN_DECAY_S)

    def latency_penalty(self, now_s: float) -> float:
        """Return the factor on expected waits for a slow server; 1 up to `SLOWDOWN_TOLERANCE`."""
        return max(1.0, self.slowdown_ratio(now_s) / SLOWDOWN_TOLERANCE)

    def seconds_without_event(self, now_s: float) -> float:
        """Return the seconds since the last event while events were expected; 0 if none is expected.

        A first event is expected from the time that the request was sent. Further events of a stream are expected only
        after its second event.
        """
        oldest_s = math.inf
        for placed_call in self.calls.values():
            expected_since_s = (
                placed_call.sent_s if placed_call.first_event_s is None else placed_call.latest_event_s
            )
            if expected_since_s is not None:
                oldest_s = min(oldest_s, expected_since_s)
        return max(0.0, now_s - max(oldest_s, self.last_received_s)) if oldest_s < math.inf else 0.0
