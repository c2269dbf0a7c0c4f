"""State of a request and its attempts, and whether more are allowed. Part of the decision module."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from loadbalancer.interface import Effect, Request, Result, Scope, ServiceClass, Settings
from loadbalancer.outlier_detection import TrackedServer

ReplicaGroup = tuple[str, int]  # zone and cell of servers that deduplicate keyed requests


def replica_group(kind: ServiceClass, server: TrackedServer) -> ReplicaGroup:
    """Return the group of this server within which requests of this keyed class are deduplicated."""
    zone = "" if kind.scope is Scope.ALL else server.info.zone
    return zone, server.info.cell if kind.scope is Scope.CELL else 0


@dataclass(slots=True)
class Attempt:
    """One call to a server; `result` is None while it is pending."""

    server: TrackedServer
    sent_ms: float
    idle_ms: float  # time since the previous call to the server
    result: Result | None = None


@dataclass(slots=True)
class RequestState:
    """One request and its attempts, until its response is sent and no attempt is pending."""

    request: Request
    kind: ServiceClass
    received_ms: float
    queue_weight: float  # weight with which it counts in the queue
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False  # the response is being streamed: no other attempt may replace it
    in_flight_at_start: float = 0.0  # weight of the calls in flight when it was admitted, including it
    retry_scheduled: bool = False  # its next attempt waits for a backoff, already charged to the budget

    def pending(self) -> int:
        """Return the number of pending attempts."""
        return sum(1 for attempt in self.attempts if attempt.result is None)

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have been executed."""
        return [item for item in self.attempts if item.result is None or not item.result.never_ran]

    def first_sent_ms(self, ran: list[Attempt]) -> float:
        """Return the send time of the first attempt that may have run, also of an earlier request."""
        first_ms = ran[0].sent_ms if ran else math.inf
        return first_ms if self.request.earlier is None else min(first_ms, self.request.earlier.sent_ms)

    def dedup_time_left_ms(self, now: float) -> float:
        """Return how long servers still deduplicate a next attempt; 0: none can have been executed yet."""
        ran = self.may_have_run()
        if self.kind.effect is not Effect.KEYED or not (ran or self.request.earlier):
            return 0.0
        return self.first_sent_ms(ran) + self.kind.memory_ms - now

    def max_attempts(self, settings: Settings) -> int:
        """Return the limit of attempts of its class."""
        return min(settings.max_attempts, self.kind.max_attempts or settings.max_attempts)

    def attempts_used_up(self, settings: Settings) -> bool:
        """Whether no further attempt is allowed."""
        # A request limited to one attempt may still move to another server if it was never sent to the first
        # one, for example because that one began to drain.
        counted = sum(1 for attempt in self.attempts if attempt.result is not Result.CONNECT_FAILED)
        return len(self.attempts) >= self.max_attempts(settings) or 0 < self.request.attempts <= counted

    def may_be_retried(self, settings: Settings) -> bool:
        """Whether another attempt may follow if the first one fails."""
        safe = self.kind.effect is Effect.SAFE
        return safe and self.max_attempts(settings) > 1 and self.request.attempts != 1
