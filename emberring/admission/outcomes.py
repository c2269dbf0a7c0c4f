"""What a pool of servers learns from the outcomes of its calls: service rate, load, event gaps, failures of servers."""

from __future__ import annotations

from random import Random

from emberring.admission import eligibility
from emberring.admission.load_meter import LoadMeter
from emberring.admission.server import PlacedCall
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import AdmissionSettings, CallOutcome

EVENT_GAP_GAIN = 0.02  # smoothing of the usual time between events, over all servers
WAIT_RATIO_OFFSET_MS = 20.0  # added to both waits, so that the ratio of short waits stays near 1
# Outcomes after which the server itself is in doubt.
SERVER_FAILURES = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.BROKEN, CallOutcome.SILENT})
# Outcomes that count in the server's failure rate.
FAILURE_OUTCOMES = SERVER_FAILURES | {CallOutcome.FAILED}


class OutcomeRecorder:
    """Records each step of a pool's calls in the estimates of the pool and in the state of the call's server.

    Args:
        settings: assumed service rate before any outcome.
        random: source of the draws that randomize ejections.
    """

    def __init__(self, settings: AdmissionSettings, random: Random) -> None:
        self.meter = LoadMeter()
        self.service_rate = ServiceRateEstimator(settings.start_prefill_tokens_per_ms, settings.start_hold_s)
        self.usual_event_gap_ms = 0.0
        self._random = random

    def started(self, now_s: float, placed: PlacedCall) -> None:
        """Record that the request of a call has been sent."""
        placed.sent_s = now_s

    def first_event(self, now_s: float, placed: PlacedCall) -> None:
        """Record the first event of an answer: it updates the server's state and all estimates of the pool."""
        server = placed.server
        server.record_event(now_s)
        server.consecutive_failures = 0
        sent_s = placed.placed_s if placed.sent_s is None else placed.sent_s
        wait_ms = (now_s - sent_s) * 1000.0
        placed.first_event_s = now_s
        if placed.had_free_slot:
            self.service_rate.record_first_event(placed.tokens_ahead + placed.expected_miss_tokens, wait_ms)
        predicted_ms = placed.predicted_wait_ms + WAIT_RATIO_OFFSET_MS
        server.record_wait_ratio(now_s, (wait_ms + WAIT_RATIO_OFFSET_MS) / predicted_ms)
        own_ms = placed.expected_miss_tokens * self.service_rate.ms_per_token
        self.meter.record_wait((wait_ms - own_ms) / max(1.0, placed.call.latency_target_ms))

    def progress(self, now_s: float, placed: PlacedCall) -> None:
        """Record a later event of an answer."""
        last_s = placed.first_event_s if placed.latest_event_s is None else placed.latest_event_s
        event_gap_ms = (now_s - last_s) * 1000.0 if last_s is not None else 0.0
        placed.latest_event_s = now_s
        placed.server.record_event(now_s)
        placed.server.record_event_gap(now_s, event_gap_ms)
        self.usual_event_gap_ms += EVENT_GAP_GAIN * (event_gap_ms - self.usual_event_gap_ms)

    def finished(self, now_s: float, placed: PlacedCall, outcome: CallOutcome) -> None:
        """Record how an attempt ended, and release its slot."""
        server = placed.server
        server.calls.pop(placed.call.id, None)
        if outcome in FAILURE_OUTCOMES or outcome is CallOutcome.COMPLETED:
            server.failure_rate.record(now_s, outcome in FAILURE_OUTCOMES)
        if outcome in SERVER_FAILURES:
            eligibility.record_failure(now_s, server, outcome, self._random)
            server.prefix_cache.clear()
        elif outcome is CallOutcome.FULL:
            eligibility.record_full(now_s, server, self._random)
        elif outcome is CallOutcome.WRONG_SERVER:
            server.replaced = True
        elif outcome in (CallOutcome.COMPLETED, CallOutcome.FAILED):
            server.consecutive_failures = 0
            server.record_event(now_s)
            if placed.sent_s is not None:
                self.service_rate.record_completion(now_s - placed.sent_s)
        if outcome is not CallOutcome.NOT_SENT:
            self.meter.record_outcome(full=outcome is CallOutcome.FULL)
