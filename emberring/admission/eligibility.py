"""Whether a server may be sent a call now, by its slots, connections, warm-up and failures.

A server that failed is ejected for a short time that grows exponentially with consecutive failures. Afterwards it gets
one call at a time until one of them is answered.
"""

from __future__ import annotations

from random import Random

from emberring.admission.server import ServerView
from emberring.admission.types import CallOutcome
from emberring.backoff import doubled_wait_s
from loadbalancer.slow_start import COLD_SHARE

EJECTION_BASE_S = 0.15  # for a count of 1 consecutive failure; doubled with each further count
EJECTION_MAX_S = 3.0  # upper limit, before randomization
FULL_BACKOFF_S = 0.15  # mean time without new calls after a server rejected one as full
TOLERATED_BROKEN_RESPONSES = 1  # consecutive; they do not eject while other responses continue
RECENT_EVENT_S = 0.3  # an event within this time shows that other responses of the server continue
UNTESTED_SLOT_SHARE = 0.5  # of this gateway's even share of the slots, until the server's first response
SILENCE_MIN_S = 0.3  # shorter silences never count as unresponsive
SILENCE_WAIT_FACTOR = 3.0  # allowed silence as a multiple of the longest predicted wait
SILENCE_MAX_MS = 900.0  # longer silences always count as unresponsive

# Outcomes that eject a server at their first occurrence.
CERTAIN_FAILURES = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.SILENT})


def record_failure(now_s: float, server: ServerView, outcome: CallOutcome, random: Random) -> None:
    """Record an attempt that failed without a complete response; may eject the server."""
    server.last_failure = outcome
    server.consecutive_failures += 1 if outcome not in CERTAIN_FAILURES else TOLERATED_BROKEN_RESPONSES + 1
    other_responses_continue = now_s - server.last_received_s <= RECENT_EVENT_S
    if (
        outcome not in CERTAIN_FAILURES
        and server.consecutive_failures <= TOLERATED_BROKEN_RESPONSES
        and other_responses_continue
    ):
        return
    ejection_s = doubled_wait_s(EJECTION_BASE_S, EJECTION_MAX_S, server.consecutive_failures)
    server.ejected_until_s = now_s + ejection_s * random.uniform(0.75, 1.25)


def failing(server: ServerView) -> bool:
    """Return whether the server has failed too often; its slots are not counted until it answers again."""
    return server.consecutive_failures > TOLERATED_BROKEN_RESPONSES


def record_full(now_s: float, server: ServerView, random: Random) -> None:
    """Record that the server rejected a call as full; it gets no new calls for a short random time."""
    server.full_until_s = now_s + FULL_BACKOFF_S * random.uniform(0.5, 1.5)


def unresponsive(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Return whether the server has sent no event for longer than its pending calls explain."""
    silence_s = server.seconds_without_event(now_s)
    if silence_s <= SILENCE_MIN_S:
        return False
    longest_wait_ms = max((placed.predicted_wait_ms for placed in server.awaiting_first_event()), default=0.0)
    allowed_ms = SILENCE_WAIT_FACTOR * max(longest_wait_ms, usual_event_gap_ms)
    return silence_s * 1000.0 > min(SILENCE_MAX_MS, max(SILENCE_MIN_S * 1000.0, allowed_ms))


def eligible(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Return whether the server may be sent calls, regardless of its load."""
    return now_s >= server.ejected_until_s and not unresponsive(now_s, server, usual_event_gap_ms)


def remaining_capacity(now_s: float, server: ServerView, share: float, gateways: int) -> float:
    """Return how many more calls this gateway may send to the server.

    Args:
        now_s: the current time (monotonic clock).
        server: the server.
        share: share of the slots that all gateways together may occupy; above 1, calls queue at the server.
        gateways: number of live gateways.
    """
    if now_s < server.full_until_s:
        return 0.0
    slots = server.capacity * share
    if server.record.cold_ms > 0.0 and now_s - server.known_since_s < server.record.cold_ms / 1000.0:
        slots *= COLD_SHARE
    remaining = min(slots - server.estimated_load(gateways), server.connections - len(server.calls))
    if failing(server):  # until reinstatement: one call at a time
        return min(remaining, 1.0 - len(server.calls))
    if server.first_received_s is None:
        limit = max(1.0, UNTESTED_SLOT_SHARE * slots / gateways)
        return min(remaining, limit - len(server.calls))
    return remaining
