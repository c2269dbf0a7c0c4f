"""State of one server: errors, latency, load reports, ejection and reinstatement.

Part of the decision module. A failed server is never excluded permanently: trial calls detect its recovery.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from loadbalancer.interface import Result, Server

SMOOTHING_GAIN = 0.2  # smoothing factor of a server's latency and error share, per outcome
PANIC_ERROR_SHARE = 0.5  # error share of the median server from which
PANIC_DECAY_MS = 5000.0  # error shares decay with this time constant
EJECT_FAILURES = 2  # consecutive failures from which a server is ejected
REINSTATE_KEEP = 0.5  # factor of the error share of a server in reinstatement, per success,
REINSTATED_ERROR_SHARE = 0.05  # until the share is below this and the server is ranked like any other
IDLE_BEFORE_TRIAL_MS = 15_000.0  # idle time after which a server with errors gets a trial call


@dataclass(slots=True, frozen=True)
class PendingCall:
    """A pending attempt at a server."""

    service_class: str
    sent_ms: float


@dataclass(slots=True)
class TrackedServer:
    """State of one server, from its first appearance in the server list until its removal or restart."""

    info: Server
    latency_factor: float | None = None  # smoothed latency over the mean of the class
    error_share: float = 0.0  # smoothed share of failed attempts
    latency_measured_ms: float = -math.inf  # time of the last latency measurement
    load: float = 0.0  # weight of our calls in flight, with abandoned ones that may still run
    # Abandoned calls: estimated end and weight of each.
    abandoned: deque[tuple[float, float]] = field(default_factory=deque)
    reported_queue: float = 0.0  # waiting requests
    reported_ms: float = -math.inf
    reported_utilisation: float | None = None
    consecutive_failures: int = 0
    may_have_restarted: bool = False  # one of the consecutive failures was without a response
    reinstating: bool = False  # it was ejected and has responded since
    last_sent_ms: float = -math.inf
    # Send time of the latest successful call; reset by a failure.
    last_success_sent_ms: float = -math.inf
    recovered_ms: float | None = None  # time of its recovery, if server lists have no start times
    # Pending calls by request id and attempt number, oldest first.
    pending: dict[tuple[str, int], PendingCall] = field(default_factory=dict)

    def record_report(self, now: float, report: dict[str, float]) -> None:
        """Store a load report of the server."""
        self.reported_queue, self.reported_ms = report.get("queue", 0.0), now
        self.reported_utilisation = report.get("util", self.reported_utilisation)

    def note_rejection(self, now: float) -> None:
        """Treat a rejection as a report of a queue as long as our calls in flight."""
        self.reported_queue, self.reported_ms = max(self.reported_queue, self.load), now

    def abandon(self, ends_ms: float, queue_weight: float) -> None:
        """Keep counting an abandoned call as load until its estimated end."""
        # Servers continue to process abandoned calls. If these did not count, servers that seem half idle
        # would be overloaded while callers disconnect early.
        self.abandoned.append((ends_ms, queue_weight))

    def remove_ended_abandoned(self, now: float) -> None:
        """Remove abandoned calls from the load after their estimated end."""
        while self.abandoned and self.abandoned[0][0] <= now:
            self.finish(self.abandoned.popleft()[1])

    def finish(self, queue_weight: float) -> None:
        """Remove an ended call from the load."""
        self.load = max(0.0, self.load - queue_weight)

    def note_failure(self, result: Result) -> None:
        """Count a failed attempt for ejection."""
        self.consecutive_failures += 1
        self.reinstating = False
        self.last_success_sent_ms = -math.inf
        self.may_have_restarted |= result not in (Result.ERROR, Result.FULL)

    def note_error_share(self, failed: bool) -> None:
        """Add an outcome to the smoothed error share."""
        self.error_share += SMOOTHING_GAIN * (failed - self.error_share)

    def note_latency(self, now: float, factor: float) -> None:
        """Add a latency, as a multiple of its class's mean, to the smoothed latency factor."""
        previous = self.latency_factor
        self.latency_factor = factor if previous is None else previous + SMOOTHING_GAIN * (factor - previous)
        self.latency_measured_ms = now

    def note_success(self, now: float, sent_ms: float, idle_ms: float, starts_are_listed: bool) -> None:
        """Start or continue reinstatement after a success; the server had been idle for `idle_ms`."""
        self.last_success_sent_ms = max(self.last_success_sent_ms, sent_ms)
        if self.error_share > 0.0 and (
            self.consecutive_failures >= EJECT_FAILURES or idle_ms >= IDLE_BEFORE_TRIAL_MS
        ):
            # Its earlier latency is no longer representative.
            self.reinstating, self.latency_factor = True, None
            # Only after failures without a response: a server that responded with errors did not restart.
            if self.may_have_restarted and not starts_are_listed:
                self.recovered_ms = now
        self.consecutive_failures, self.may_have_restarted = 0, False
        if self.reinstating:
            self.error_share *= REINSTATE_KEEP
            self.reinstating = self.error_share >= REINSTATED_ERROR_SHARE

    @property
    def ejected(self) -> bool:
        """Whether it has failed again after its ejection."""
        return self.consecutive_failures > EJECT_FAILURES

    def needs_trial(self, now: float) -> bool:
        """Whether it may get no calls by rank, so that only a trial call can detect its recovery."""
        if self.consecutive_failures >= EJECT_FAILURES or self.reinstating:
            return True
        return (
            self.error_share > REINSTATE_KEEP * SMOOTHING_GAIN
            and now - self.last_sent_ms >= IDLE_BEFORE_TRIAL_MS
        )


def decay_errors_in_panic(servers: list[TrackedServer], median_error_share: float, period_ms: float) -> None:
    """Let error shares decay with time while most servers fail."""
    # Otherwise, after a failure of all servers, the first to recover gets all calls, and the others none that
    # could clear their error share: 40% of requests were rejected at a third of the load, permanently.
    if median_error_share > PANIC_ERROR_SHARE:
        for server in servers:
            server.error_share *= math.exp(-period_ms / PANIC_DECAY_MS)
