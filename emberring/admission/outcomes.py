"""Updates the estimates of a pool (service rate, load, event gaps) and the state of its servers from call outcomes."""

from __future__ import annotations

from random import Random

from emberring.admission import eligibility
from emberring.admission.load_meter import LoadMeter
from emberring.admission.server import PlacedCall
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import AdmissionSettings, CallOutcome

EVENT_GAP_GAIN = 0.02  # smoothing factor of the usual time between events, over all servers
WAIT_RATIO_OFFSET_MS = 20.0  # added to both waits, so that short waits give a ratio close to 1
# Outcomes that indicate a fault of the server itself.
SERVER_FAILURES = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.BROKEN, CallOutcome.SILENT})
# Outcomes that count as failures in the server's failure rate.
FAILURE_OUTCOMES = SERVER_FAILURES | {CallOutcome.FAILED}
# Outcomes that say nothing about the server: what a client sends must not change which servers others get.
NOT_ABOUT_THE_SERVER = frozenset({CallOutcome.NOT_SENT, CallOutcome.DECLINED})


class OutcomeRecorder:
    """Updates the estimates of a pool and the state of its servers at each step of a call.

    Args:
        settings: assumed service rate before any outcome.
        random: random number generator that randomizes ejections.
    """

    def __init__(self, settings: AdmissionSettings, random: Random) -> None:
        self.meter = LoadMeter()
        self.service_rate = ServiceRateEstimator(
            settings.initial_prefill_tokens_per_ms, settings.initial_slot_time_s
        )
        self.usual_event_gap_ms = 0.0
        self._random = random

    def started(self, now_s: float, placed_call: PlacedCall) -> None:
        """Record that the request of a call has been sent."""
        placed_call.sent_s = now_s

    def first_event(self, now_s: float, placed_call: PlacedCall) -> None:
        """Record the first event of a response in the server's state and in the estimates of the pool."""
        server = placed_call.server
        server.record_event(now_s)
        server.consecutive_failures = 0
        sent_s = placed_call.placed_s if placed_call.sent_s is None else placed_call.sent_s
        wait_ms = (now_s - sent_s) * 1000.0
        placed_call.first_event_s = now_s
        if placed_call.had_free_slot:
            self.service_rate.record_first_event(
                placed_call.tokens_ahead + placed_call.expected_miss_tokens, wait_ms
            )
        predicted_ms = placed_call.predicted_wait_ms + WAIT_RATIO_OFFSET_MS
        server.record_wait_ratio(now_s, (wait_ms + WAIT_RATIO_OFFSET_MS) / predicted_ms)
        own_prompt_ms = placed_call.expected_miss_tokens * self.service_rate.ms_per_token
        self.meter.record_wait((wait_ms - own_prompt_ms) / max(1.0, placed_call.call.latency_target_ms))

    def progress(self, now_s: float, placed_call: PlacedCall) -> None:
        """Record a later event of a response."""
        previous_event_s = (
            placed_call.first_event_s if placed_call.latest_event_s is None else placed_call.latest_event_s
        )
        event_gap_ms = (now_s - previous_event_s) * 1000.0 if previous_event_s is not None else 0.0
        placed_call.latest_event_s = now_s
        placed_call.server.record_event(now_s)
        placed_call.server.record_event_gap(now_s, event_gap_ms)
        self.usual_event_gap_ms += EVENT_GAP_GAIN * (event_gap_ms - self.usual_event_gap_ms)

    def finished(self, now_s: float, placed_call: PlacedCall, outcome: CallOutcome) -> None:
        """Record how an attempt ended, and release its slot."""
        server = placed_call.server
        server.calls.pop(placed_call.call.id, None)
        if outcome in FAILURE_OUTCOMES or outcome is CallOutcome.COMPLETED:
            server.failure_rate.record(now_s, outcome in FAILURE_OUTCOMES)
        if outcome in SERVER_FAILURES:
            eligibility.record_failure(now_s, server, outcome, self._random)
            server.prefix_cache.clear()
        elif outcome is CallOutcome.FULL:
            eligibility.record_full(now_s, server, self._random)
        elif outcome in (CallOutcome.COMPLETED, CallOutcome.FAILED):
            server.consecutive_failures = 0
            server.record_event(now_s)
            if placed_call.sent_s is not None:
                self.service_rate.record_completion(now_s - placed_call.sent_s)
        if outcome not in NOT_ABOUT_THE_SERVER:
            self.meter.record_outcome(full=outcome is CallOutcome.FULL)
