"""The retry policy of a request: which failures allow another attempt, within the route's `MaxAttempts`."""

from __future__ import annotations

import attrs

from emberring.admission.types import CallOutcome

# Outcomes with which a server guarantees that it did not execute the request.
NOT_EXECUTED = frozenset({CallOutcome.FULL, CallOutcome.WRONG_SERVER, CallOutcome.DECLINED})
# Outcomes after which no byte of the request was sent.
NEVER_SENT = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.NOT_SENT})
# Outcomes after which an idempotent request may be retried.
RETRYABLE = frozenset({CallOutcome.BROKEN, CallOutcome.SILENT, CallOutcome.FAILED})
MAX_UNEXECUTED_SENDS = 2  # retries beyond MaxAttempts after attempts that were not executed


@attrs.frozen
class AttemptBudget:
    """Counts the attempts of one request and decides whether another one is allowed.

    `MaxAttempts` limits the attempts that may have executed the request. Attempts without execution (guaranteed by the
    server, or no byte was sent) are not counted, but at most `MAX_UNEXECUTED_SENDS` of them are retried.

    Args:
        max_attempts: limit of the attempts that may have executed the request.
        idempotent: whether the request may be executed more than once.
        executed: number of attempts that may have executed the request.
        not_executed: number of attempts that certainly did not execute it.
    """

    max_attempts: int
    idempotent: bool
    executed: int = 0
    not_executed: int = 0

    def after(self, outcome: CallOutcome) -> AttemptBudget:
        """Return the budget after an attempt that ended with this outcome."""
        if outcome in NOT_EXECUTED or outcome in NEVER_SENT:
            return attrs.evolve(self, not_executed=self.not_executed + 1)
        return attrs.evolve(self, executed=self.executed + 1)

    def allows_another(self, outcome: CallOutcome) -> bool:
        """Return whether another attempt is allowed after this outcome, which `after` has already counted."""
        if outcome in NOT_EXECUTED or outcome in NEVER_SENT:
            return self.executed < self.max_attempts and self.not_executed <= MAX_UNEXECUTED_SENDS
        if outcome not in RETRYABLE:
            return False
        return self.idempotent and self.executed < self.max_attempts

    @property
    def certainly_not_executed(self) -> bool:
        """Whether no attempt can have executed the request."""
        return self.executed == 0
