"""The cost of sending a call to a server, in milliseconds of the first event's delay.

It is what the call would wait there (prompts before it, its own prompt as far as the server is held to lack it, a
place, a server slower than the others, failures there) and what it takes from others: reading a shared part anew costs
everyone there its time, and costs the pool what it could do instead.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from emberring.admission.server import ServerView, trust_in_word
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import CallInfo, PrefixPart

UNTOLD_TOKENS = 200.0  # a prompt whose parts are not told
HOME_KEPT = 0.8  # the chance that a home keeps a part that this gateway did not send there lately,
NEXT_KEPT = 0.1  # and that the next home does
ANEW = 0.6  # what reading anew costs others, as a share of its own time
OTHERS_TRUSTED = 0.1
OVER_TRUSTED = 0.8
CROWD_MS = 2.0  # a call in flight slows the next by about this
PAUSE_WEIGHT = 0.6  # pauses between events there over the usual ones, that prompts of others explain
KV_FULL = 0.85  # share of the memory from which a call there may push others out
KV_MS = 60.0
CONNECT_MS = 8.0  # a connection that has to be made first: its time, and what it costs the server
FAR_MS = 3.0  # another zone: the way there and back, and bytes that are paid for


def tokens_to_read(call: CallInfo, server: ServerView, homes: Sequence[str], home_part: str | None) -> float:
    """Tokens of the prompt that the server is held to lack."""
    if not call.parts:
        return float(call.tokens_in or UNTOLD_TOKENS)
    known = server.memory.known(call.parts)
    kept = 0.0
    if homes and server.fact.id in homes[:2]:
        kept = HOME_KEPT if server.fact.id == homes[0] else NEXT_KEPT
    return _missing(call.parts, known, kept, home_part)


def own_tokens(call: CallInfo) -> float:
    """Tokens of memory that a call takes for itself: all that is not a shared part, and what it makes."""
    own = call.parts[-1].tokens if call.parts else call.tokens_in
    return float(own + call.tokens_out)


def _missing(parts: Sequence[PrefixPart], known: int, kept: float, home_part: str | None) -> float:
    missing = 0.0
    at_home = home_part is not None
    for part in parts[known:]:
        missing += part.tokens * (1.0 - kept) if at_home else part.tokens
        at_home = at_home and part.id != home_part
    return missing


@attrs.frozen
class RankingContext:
    """What a decision goes by besides the call and the server. `mean_others` are the others' calls at a server,
    `mean_waiting` the tokens that wait to be read for each call in flight; `zone` is the caller's, if it has one;
    `word_age_s` is how long ago word of the others' calls was true."""

    now_s: float
    pace: ServiceRateEstimator
    usual_pause_ms: float
    mean_others: float
    mean_waiting: float
    gateways: int
    zone: str = ""
    word_age_s: float = math.inf


def expected_wait_ms(around: RankingContext, server: ServerView, ahead: float, to_read: float) -> float:
    """The wait for the first event of a call with so many tokens to read, that many being ahead of it."""
    wait_ms = around.pace.wait_ms(ahead + to_read)
    likely = server.likely_load(around.gateways) - len(server.calls)
    others = OVER_TRUSTED * likely + (1.0 - OVER_TRUSTED) * around.mean_others
    over = len(server.calls) + others + 1.0 - server.capacity
    if over > 0.0:
        wait_ms += over * around.pace.hold_s * 1000.0 / server.capacity
    return wait_ms


def cost_ms(around: RankingContext, server: ServerView, ahead: float, to_read: float) -> float:
    """What ranks servers; less is better."""
    wait_ms = expected_wait_ms(around, server, ahead, to_read) * server.handicap(around.now_s)
    slower_ms = max(0.0, server.pause(around.now_s) - around.usual_pause_ms) * PAUSE_WEIGHT
    told = OTHERS_TRUSTED * trust_in_word(around.gateways) * server.others
    return (
        wait_ms
        + slower_ms
        + ANEW * to_read * around.pace.ms_per_token
        + CROWD_MS * (len(server.calls) + told)
        + _memory_ms(server)
        + server.failed.cost_ms(around.now_s)
        + (FAR_MS if around.zone and server.fact.zone != around.zone else 0.0)
    )


def _memory_ms(server: ServerView) -> float:
    """What a memory that is nearly full costs; shared parts are held once and counted nowhere here."""
    if server.kv_tokens == math.inf or not server.calls:
        return 0.0
    mine = sum(placed.own_tokens for placed in server.calls.values())
    share = mine / len(server.calls) * server.load / server.kv_tokens
    return KV_MS * max(0.0, share - KV_FULL) / (1.0 - KV_FULL)
