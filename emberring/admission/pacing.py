"""Whether a server may be sent a call now: places, connections, cold or unknown servers, those that failed.

A server that failed is avoided for a short time that grows with each failure in a row; after that single calls find
out how it is, until one is answered.
"""

from __future__ import annotations

from random import Random

from emberring.admission.server import ServerView
from emberring.admission.types import CallOutcome
from loadbalancer.slow_start import COLD_SHARE

AVOID_S = 0.15  # after the first failure that counts, doubled for each further one,
AVOID_MOST_S = 3.0  # up to this
FULL_S = 0.15  # a server that said it is full gets nothing for so long
BREAKS_BORNE = 1  # answers broken off in a row that may be an accident, while others go on there
HEARD_RECENTLY_S = 0.3
FIRST_SHARE = 0.5  # of its share of places: what a server never heard from may be sent by this gateway
SILENCE_S = 0.3  # the least silence that is suspicious,
SILENCE_WAITS = 3.0  # and so many times the wait expected of the slowest call there
SILENCE_MS_MOST = 900.0

CERTAIN = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.SILENT})


def note_failure(now_s: float, server: ServerView, outcome: CallOutcome, random: Random) -> None:
    """An attempt there failed otherwise than by a whole answer."""
    server.failed_by = outcome
    server.failures += 1 if outcome not in CERTAIN else BREAKS_BORNE + 1
    heard = now_s - server.heard_s <= HEARD_RECENTLY_S
    if outcome not in CERTAIN and server.failures <= BREAKS_BORNE and heard:
        return
    doubled = AVOID_S * 2.0 ** min(server.failures - 1, 6)
    server.avoid_until_s = now_s + min(AVOID_MOST_S, doubled) * random.uniform(0.75, 1.25)


def failing(server: ServerView) -> bool:
    """Whether it failed so that it doesn't count as a place until it has answered again."""
    return server.failures > BREAKS_BORNE


def note_full(now_s: float, server: ServerView, random: Random) -> None:
    """It turned a call away for want of room."""
    server.full_until_s = now_s + FULL_S * random.uniform(0.5, 1.5)


def silent(now_s: float, server: ServerView, usual_pause_ms: float) -> bool:
    """Whether it has said nothing for longer than what is out there explains."""
    silence_s = server.silent_for(now_s)
    if silence_s <= SILENCE_S:
        return False
    expected_ms = max((placed.expected_ms for placed in server.unheard()), default=0.0)
    allowed_ms = SILENCE_WAITS * max(expected_ms, usual_pause_ms)
    return silence_s * 1000.0 > min(SILENCE_MS_MOST, max(SILENCE_S * 1000.0, allowed_ms))


def sound(now_s: float, server: ServerView, usual_pause_ms: float) -> bool:
    """Whether nothing speaks against the server itself."""
    return not server.gone and now_s >= server.avoid_until_s and not silent(now_s, server, usual_pause_ms)


def room(now_s: float, server: ServerView, share: float, gateways: int) -> float:
    """How many more calls may go there while all gateways together keep to this share of its places."""
    if now_s < server.full_until_s:
        return 0.0
    places = server.capacity * share
    if server.fact.cold_ms > 0.0 and now_s - server.since_s < server.fact.cold_ms / 1000.0:
        places *= COLD_SHARE
    left = min(places - server.likely_load(gateways), server.connections - len(server.calls))
    if failing(server):  # the way back: one call at a time
        return min(left, 1.0 - len(server.calls))
    if server.first_heard_s is None:
        most = max(1.0, FIRST_SHARE * places / gateways)
        return min(left, most - len(server.calls))
    return left
