"""Which servers may be picked while discovery fails; part of the decision module.

A server that has just answered a call well is not draining, or has begun to only lately (draining servers
took calls for 2 s more in traces of crowded discovery). A drain counts as notified 6 s after discovery had
it, whether or not it arrived (protocol page, "Figures"). So calls go to the servers that answered well last,
until discovery answers.
"""

from __future__ import annotations

import math

from loadbalancer.outlier_detection import TrackedServer

# Whoever answered a call sent since is a candidate: 6 s and the 0.5 s of grace, less the 2 s for which
# draining servers took calls. Longer ago counts only where fewer than the least are left.
USABLE_MS = 4500.0
LEAST_CANDIDATES = 3
CALLS_PER_ANSWERED = 4.0  # with more calls in flight for each that ever answered, every server is a candidate


def last_to_answer(now: float, ready: list[TrackedServer], in_flight: float) -> list[TrackedServer]:
    """Return the servers that answered well lately, or the last few that did.

    `now` is in milliseconds, `in_flight` the weight of the calls at the servers in use.
    """
    answered = [server for server in ready if server.answered_sent_ms > -math.inf]
    if in_flight + 1.0 > CALLS_PER_ANSWERED * len(answered):
        return ready
    answered.sort(key=lambda server: -server.answered_sent_ms)
    usable = sum(now - server.answered_sent_ms < USABLE_MS for server in answered)
    return answered[: max(LEAST_CANDIDATES, usable)]
