"""Which servers may be picked while discovery fails; part of the decision module.

A server that has just answered a call well is not draining, or has begun to only lately (draining servers
took calls for 2 s more in traces of crowded discovery). A drain counts as notified 6 s after discovery had
it, whether or not it arrived (protocol page, "Figures"). So calls go to the servers that answered well last,
until discovery answers.
"""

from __future__ import annotations

import math

from loadbalancer.outlier_detection import TrackedServer

# Whoever answered a call sent since is a candidate: half of the time in which a drain may go unnoticed.
RECENT_MS = 3000.0
# Where these are fewer than the calls in flight, whoever answered a call sent since: 6 s and the 0.5 s of
# grace, less the 2 s for which draining servers took calls.
USABLE_MS = 4500.0
# However long ago they answered, so many are candidates: this, and one for so many calls in flight.
LEAST_CANDIDATES = 3
CALLS_PER_CANDIDATE = 2.0
CALLS_PER_ANSWERED = 4.0  # with more calls in flight for each that answered, every server is a candidate


def last_to_answer(now: float, ready: list[TrackedServer], in_flight: float) -> list[TrackedServer]:
    """Return the servers that answered well last: the recent ones, or as many as calls in flight.

    `now` is in milliseconds, `in_flight` the weight of the calls at the servers in use.
    """
    answered = [server for server in ready if server.answered_sent_ms > -math.inf]
    answered.sort(key=lambda server: -server.answered_sent_ms)
    recent = sum(now - server.answered_sent_ms < RECENT_MS for server in answered)
    usable = sum(now - server.answered_sent_ms < USABLE_MS for server in answered)
    calls = in_flight + 1.0
    if calls > CALLS_PER_ANSWERED * len(answered):
        return ready
    least = max(LEAST_CANDIDATES, math.ceil(calls / CALLS_PER_CANDIDATE))
    return answered[: max(least, recent, min(usable, math.ceil(calls)))]
