"""Which failures of an attempt allow another server, within the route's `MaxAttempts`."""

from __future__ import annotations

import attrs

from emberring.admission.types import CallOutcome

NOT_EXECUTED = frozenset({CallOutcome.FULL, CallOutcome.WRONG_SERVER})
NEVER_SENT = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.NOT_SENT})
RETRYABLE = frozenset({CallOutcome.BROKEN, CallOutcome.SILENT, CallOutcome.FAILED})
MAX_UNEXECUTED_SENDS = 2  # sends beyond MaxAttempts that servers promised not to have run, or that never left


@attrs.frozen
class AttemptBudget:
    """The attempts of one try: how many servers may have run it, and how many certainly have not.

    `MaxAttempts` bounds the servers that may have run the request. A server that promised not to have run it, or
    to which no byte went, doesn't count, but there are at most `MAX_UNEXECUTED_SENDS` of these.
    """

    max_attempts: int
    idempotent: bool
    executed: int = 0
    not_executed: int = 0

    def after(self, outcome: CallOutcome) -> AttemptBudget:
        """The budget once an attempt has ended so."""
        if outcome in NOT_EXECUTED or outcome in NEVER_SENT:
            return attrs.evolve(self, not_executed=self.not_executed + 1)
        return attrs.evolve(self, executed=self.executed + 1)

    def allows_another(self, outcome: CallOutcome) -> bool:
        """Whether, after an attempt that ended so and is already counted, another server may be tried."""
        if outcome in NOT_EXECUTED or outcome in NEVER_SENT:
            return self.executed < self.max_attempts and self.not_executed <= MAX_UNEXECUTED_SENDS
        if outcome not in RETRYABLE:
            return False
        return self.idempotent and self.executed < self.max_attempts

    @property
    def certainly_not_executed(self) -> bool:
        """Whether a refusal that promises "not run" is true."""
        return self.executed == 0
