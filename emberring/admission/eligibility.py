"""Whether a server may be sent a call now: places, connections, cold or unknown servers, those that failed.

A server that failed is avoided for a short time that grows with each failure in a row; after that single calls find
out how it is, until one is answered.
"""

from __future__ import annotations

from random import Random

from emberring.admission.server import ServerView
from emberring.admission.types import CallOutcome
from loadbalancer.balancer import COLD_SHARE

EJECTION_BASE_S = 0.15  # after the first failure that counts, doubled for each further one,
EJECTION_MAX_S = 3.0  # up to this
FULL_BACKOFF_S = 0.15  # a server that said it is full gets nothing for so long
TOLERATED_BREAKS = 1  # answers broken off in a row that may be an accident, while others go on there
RECENT_EVENT_S = 0.3
UNTESTED_SLOT_SHARE = (
    0.5  # of its share of places: what a server never heard from may be sent by this gateway
)
SILENCE_MIN_S = 0.3  # the least silence that is suspicious,
SILENCE_WAIT_FACTOR = 3.0  # and so many times the wait expected of the slowest call there
SILENCE_MAX_MS = 900.0

CERTAIN_FAILURES = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.SILENT})


def record_failure(now_s: float, server: ServerView, outcome: CallOutcome, random: Random) -> None:
    """An attempt there failed otherwise than by a whole answer."""
    server.last_failure = outcome
    server.consecutive_failures += 1 if outcome not in CERTAIN_FAILURES else TOLERATED_BREAKS + 1
    heard = now_s - server.last_received_s <= RECENT_EVENT_S
    if outcome not in CERTAIN_FAILURES and server.consecutive_failures <= TOLERATED_BREAKS and heard:
        return
    doubled = EJECTION_BASE_S * 2.0 ** min(server.consecutive_failures - 1, 6)
    server.ejected_until_s = now_s + min(EJECTION_MAX_S, doubled) * random.uniform(0.75, 1.25)


def failing(server: ServerView) -> bool:
    """Whether it failed so that it doesn't count as a place until it has answered again."""
    return server.consecutive_failures > TOLERATED_BREAKS


def record_full(now_s: float, server: ServerView, random: Random) -> None:
    """It turned a call away for want of room."""
    server.full_until_s = now_s + FULL_BACKOFF_S * random.uniform(0.5, 1.5)


def unresponsive(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Whether it has said nothing for longer than what is out there explains."""
    silence_s = server.seconds_without_event(now_s)
    if silence_s <= SILENCE_MIN_S:
        return False
    predicted_wait_ms = max(
        (placed.predicted_wait_ms for placed in server.awaiting_first_event()), default=0.0
    )
    allowed_ms = SILENCE_WAIT_FACTOR * max(predicted_wait_ms, usual_event_gap_ms)
    return silence_s * 1000.0 > min(SILENCE_MAX_MS, max(SILENCE_MIN_S * 1000.0, allowed_ms))


def eligible(now_s: float, server: ServerView, usual_event_gap_ms: float) -> bool:
    """Whether nothing speaks against the server itself."""
    return (
        not server.replaced
        and now_s >= server.ejected_until_s
        and not unresponsive(now_s, server, usual_event_gap_ms)
    )


def remaining_capacity(now_s: float, server: ServerView, share: float, gateways: int) -> float:
    """How many more calls may go there while all gateways together keep to this share of its places."""
    if now_s < server.full_until_s:
        return 0.0
    slots = server.capacity * share
    if server.record.cold_ms > 0.0 and now_s - server.known_since_s < server.record.cold_ms / 1000.0:
        slots *= COLD_SHARE
    left = min(slots - server.estimated_load(gateways), server.connections - len(server.calls))
    if failing(server):  # the way back: one call at a time
        return min(left, 1.0 - len(server.calls))
    if server.first_received_s is None:
        most = max(1.0, UNTESTED_SLOT_SHARE * slots / gateways)
        return min(left, most - len(server.calls))
    return left
