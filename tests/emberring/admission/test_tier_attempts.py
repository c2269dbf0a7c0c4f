"""The attempt budget: which failures allow a retry, within MaxAttempts."""

from __future__ import annotations

import pytest

from emberring.admission import AttemptBudget, CallOutcome
from emberring.admission.attempts import MAX_UNEXECUTED_SENDS


@pytest.mark.parametrize(
    ("outcome", "idempotent", "max_attempts", "allowed", "not_executed"),
    [
        (CallOutcome.FULL, False, 1, True, True),
        (CallOutcome.WRONG_SERVER, False, 1, True, True),
        (CallOutcome.DECLINED, False, 1, True, True),
        (CallOutcome.CONNECT_FAILED, False, 1, True, True),
        (CallOutcome.NOT_SENT, False, 1, True, True),
        (CallOutcome.BROKEN, False, 3, False, False),
        (CallOutcome.BROKEN, True, 1, False, False),
        (CallOutcome.BROKEN, True, 2, True, False),
        (CallOutcome.SILENT, True, 2, True, False),
        (CallOutcome.SILENT, False, 2, False, False),
        (CallOutcome.FAILED, True, 2, True, False),
        (CallOutcome.CANCELLED, True, 2, False, False),
        (CallOutcome.COMPLETED, True, 2, False, False),
    ],
)
def test_after_one_attempt(
    outcome: CallOutcome, idempotent: bool, max_attempts: int, allowed: bool, not_executed: bool
) -> None:
    budget = AttemptBudget(max_attempts, idempotent).after(outcome)
    assert budget.allows_another(outcome) is allowed
    assert budget.certainly_not_executed is not_executed


def test_attempts_that_were_not_executed_are_limited() -> None:
    budget = AttemptBudget(1, False)
    attempts = 1
    while budget.after(CallOutcome.FULL).allows_another(CallOutcome.FULL):
        budget, attempts = budget.after(CallOutcome.FULL), attempts + 1
    assert attempts == 1 + MAX_UNEXECUTED_SENDS


def test_no_more_servers_than_max_attempts_may_have_executed_it() -> None:
    budget = AttemptBudget(2, True).after(CallOutcome.BROKEN).after(CallOutcome.BROKEN)
    assert not budget.allows_another(CallOutcome.BROKEN)
    assert not budget.after(CallOutcome.FULL).allows_another(CallOutcome.FULL)
