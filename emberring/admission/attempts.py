"""Which failures of an attempt allow another server, within the route's `MaxAttempts`."""

from __future__ import annotations

import attrs

from emberring.admission.types import CallOutcome

PROMISED = frozenset({CallOutcome.FULL, CallOutcome.WRONG_SERVER})
UNSENT = frozenset({CallOutcome.CONNECT_FAILED, CallOutcome.NOT_SENT})
REPEATABLE = frozenset({CallOutcome.BROKEN, CallOutcome.SILENT, CallOutcome.FAILED})
FREE_SENDS = 2  # sends beyond MaxAttempts that servers promised not to have run, or that never left


@attrs.frozen
class AttemptBudget:
    """The attempts of one try: how many servers may have run it, and how many certainly have not.

    `MaxAttempts` bounds the servers that may have run the request. A server that promised not to have run it, or
    to which no byte went, doesn't count, but there are at most `FREE_SENDS` of these.
    """

    max_attempts: int
    may_repeat: bool
    ran: int = 0
    free: int = 0

    def after(self, outcome: CallOutcome) -> AttemptBudget:
        """The budget once an attempt has ended so."""
        if outcome in PROMISED or outcome in UNSENT:
            return attrs.evolve(self, free=self.free + 1)
        return attrs.evolve(self, ran=self.ran + 1)

    def allows_another(self, outcome: CallOutcome) -> bool:
        """Whether, after an attempt that ended so and is already counted, another server may be tried."""
        if outcome in PROMISED or outcome in UNSENT:
            return self.ran < self.max_attempts and self.free <= FREE_SENDS
        if outcome not in REPEATABLE:
            return False
        return self.may_repeat and self.ran < self.max_attempts

    @property
    def certainly_not_run(self) -> bool:
        """Whether a refusal that promises "not run" is true."""
        return self.ran == 0
