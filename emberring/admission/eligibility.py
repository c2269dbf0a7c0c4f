"""Whether a server may be sent a call now: its slots, connections, warm-up, failures.

A server that failed is ejected for a short time that doubles with each consecutive failure; afterwards it is probed by
single calls until one of them is answered.
"""

from __future__ import annotations

from random import Random

from emberring.admission.server import ServerView
from emberring.admission.types import CallOutcome
from loadbalancer.slow_start import COLD_SHARE

EJECTION_BASE_S = 0.15  # ejection after the first failure that counts, doubled for each further one
EJECTION_MAX_S = 3.0  # longest ejection
FULL_BACKOFF_S = 0.15  # mean time without calls after a server said that it is full
TOLERATED_BREAKS = 1  # consecutive broken answers that may be an accident while others continue
RECENT_EVENT_S = 0.3  # an event within this time shows that the server's other answers continue
UNTESTED_SLOT_SHARE = 0.5  # of this gateway's part of the slots, for a server that has not answered yet
SILENCE_MIN_S = 0.3  # shorter silences are never suspicious
SILENCE_WAIT_FACTOR = 3.0  # allowed silence over the longest predicted wait of a call there
SILENCE_MAX_MS = 900.0  # longer silences are always suspicious

# Outcomes that eject a server at the first occurrence.
CERTAIN_FAILURES = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.SILENT})


def record_failure(now_s: float, server: ServerView, outcome: CallOutcome, random: Random) -> None:
    """Record an attempt that failed otherwise than by a complete answer; may eject the server."""
    server.last_failure = outcome
    server.consecutive_failures += 1 if outcome not in CERTAIN_FAILURES else TOLERATED_BREAKS + 1
    answering = now_s - server.last_received_s <= RECENT_EVENT_S
    if outcome not in CERTAIN_FAILURES and server.consecutive_failures <= TOLERATED_BREAKS and answering:
        return
    ejection_s = EJECTION_BASE_S * 2.0 ** min(server.consecutive_failures - 1, 6)
    server.ejected_until_s = now_s + min(EJECTION_MAX_S, ejection_s) * random.uniform(0.75, 1.25)


def failing(server: ServerView) -> bool:
    """Return whether the server failed so that its slots do not count until it has answered again."""
    return server.consecutive_failures > TOLERATED_BREAKS


def record_full(now_s: float, server: ServerView, random: Random) -> None:
    """Record that the server rejected a call for lack of capacity."""
    server.full_until_s = now_s + FULL_BACKOFF_S * random.uniform(0.5, 1.5)


def unresponsive(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Return whether the server has been silent for longer than its pending calls explain."""
    silence_s = server.seconds_without_event(now_s)
    if silence_s <= SILENCE_MIN_S:
        return False
    longest_wait_ms = max((placed.predicted_wait_ms for placed in server.awaiting_first_event()), default=0.0)
    allowed_ms = SILENCE_WAIT_FACTOR * max(longest_wait_ms, usual_event_gap_ms)
    return silence_s * 1000.0 > min(SILENCE_MAX_MS, max(SILENCE_MIN_S * 1000.0, allowed_ms))


def eligible(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Return whether nothing speaks against sending to the server, its load apart."""
    return (
        not server.replaced
        and now_s >= server.ejected_until_s
        and not unresponsive(now_s, server, usual_event_gap_ms)
    )


def remaining_capacity(now_s: float, server: ServerView, share: float, gateways: int) -> float:
    """Return how many more calls the server may get while all gateways together use this share of its slots.

    Args:
        now_s: the current time (monotonic clock).
        server: the server.
        share: share of the slots that may be used; above 1 calls may queue there.
        gateways: live gateways.
    """
    if now_s < server.full_until_s:
        return 0.0
    slots = server.capacity * share
    if server.record.cold_ms > 0.0 and now_s - server.known_since_s < server.record.cold_ms / 1000.0:
        slots *= COLD_SHARE
    remaining = min(slots - server.estimated_load(gateways), server.connections - len(server.calls))
    if failing(server):  # reinstatement: one call at a time
        return min(remaining, 1.0 - len(server.calls))
    if server.first_received_s is None:
        most = max(1.0, UNTESTED_SLOT_SHARE * slots / gateways)
        return min(remaining, most - len(server.calls))
    return remaining
