"""A request and its attempts: what may follow, where, and until when; part of the decision module."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from loadbalancer.interface import Effect, Request, Result, Scope, ServiceClass, Settings
from loadbalancer.outlier_detection import TrackedServer

ReplicaGroup = tuple[str, int]  # zone and cell of servers among which a keyed repeat is dropped


def replica_group(kind: ServiceClass, server: TrackedServer) -> ReplicaGroup:
    """Return the group of this server that drops repeats of this keyed class."""
    zone = "" if kind.scope is Scope.ALL else server.info.zone
    return zone, server.info.cell if kind.scope is Scope.CELL else 0


@dataclass(slots=True)
class Attempt:
    """One call to a server; `result` is None while it is pending."""

    server: TrackedServer
    sent_ms: float
    idle_ms: float  # since the server was last sent a call
    result: Result | None = None


@dataclass(slots=True)
class RequestState:
    """One request and its attempts, until it is answered and none is pending."""

    request: Request
    kind: ServiceClass
    taken_ms: float
    units: float  # its weight in the queue
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    streaming: bool = False  # an answer has begun, so that its attempt belongs to the client
    in_flight_at_start: float = 0.0  # weight of the calls in flight when it was taken, with it
    retry_scheduled: bool = False  # it waits for the moment of its next attempt, which the budget has given

    def pending(self) -> int:
        """Return the number of pending attempts."""
        return sum(1 for attempt in self.attempts if attempt.result is None)

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have had an effect."""
        return [item for item in self.attempts if item.result is None or not item.result.never_ran]

    def first_sent_ms(self, ran: list[Attempt]) -> float:
        """Return when the first attempt that may have run was sent, that of an earlier copy too."""
        since = ran[0].sent_ms if ran else math.inf
        return since if self.request.earlier is None else min(since, self.request.earlier.sent_ms)

    def remembered_for_ms(self, now: float) -> float:
        """Return how long servers still drop a next attempt as a repeat; 0: no attempt may have run."""
        ran = self.may_have_run()
        if self.kind.effect is not Effect.KEYED or not (ran or self.request.earlier):
            return 0.0
        return self.first_sent_ms(ran) + self.kind.memory_ms - now

    def max_attempts(self, settings: Settings) -> int:
        """Return how many attempts its class may have."""
        return min(settings.max_attempts, self.kind.max_attempts or settings.max_attempts)

    def attempts_used_up(self, settings: Settings) -> bool:
        """Whether it has had all its attempts."""
        # A request that brings one attempt was refused when a drain came before its first byte left.
        reached = sum(1 for attempt in self.attempts if attempt.result is not Result.CONNECT_FAILED)
        return len(self.attempts) >= self.max_attempts(settings) or 0 < self.request.attempts <= reached

    def may_be_retried(self, settings: Settings) -> bool:
        """Whether a first attempt may fail and another one follow."""
        safe = self.kind.effect is Effect.SAFE
        return safe and self.max_attempts(settings) > 1 and self.request.attempts != 1
