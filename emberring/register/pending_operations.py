"""Changes and reads that wait for a proposal attempt: applied to the value it finds, resolved when it commits."""

from __future__ import annotations

from collections import deque

import attrs

from emberring.errors import EmberringError, InternalError, NoQuorumError, UnknownOutcomeError
from emberring.register.events import Change, Resolve

OUTCOME_UNKNOWN = "the change may or may not have been taken"
"""Error text of a change with an unknown outcome; clients receive it."""


@attrs.define(eq=False)
class PendingOperation:
    """One change, or one read if `change` is None.

    Attributes:
        number: the operation's number, which identifies its caller.
        deadline_s: when it expires, in seconds of the monotonic clock.
        outcome_unknown: whether a replica may have accepted a state that includes it.
    """

    number: int
    deadline_s: float
    change: Change | None = None
    outcome_unknown: bool = False


@attrs.frozen
class _Outcome:
    """The outcome of an operation if the attempt commits."""

    operation: PendingOperation
    payload: bytes | None = None
    error: EmberringError | None = None
    changed: bool = False


class Batch:
    """Operations that are applied in order to the value that an attempt or a read found."""

    def __init__(self, operations: tuple[PendingOperation, ...], payload: bytes | None) -> None:
        self.payload = payload
        self._outcomes = [self._apply(operation) for operation in operations]

    def _apply(self, operation: PendingOperation) -> _Outcome:
        try:
            changed = None if operation.change is None else operation.change(self.payload)
        except EmberringError as error:
            return _Outcome(operation, error=_rejection(operation, error))
        except Exception as error:  # an error in the caller's change function must not stop the register
            return _Outcome(operation, error=InternalError(f"{type(error).__name__}: {error}"))
        if changed is not None:
            self.payload = changed
        return _Outcome(operation, self.payload, changed=changed is not None)

    def mark_outcome_unknown(self) -> None:
        """Mark the operations that changed the value, because a replica may accept the new value from now on."""
        for outcome in self._outcomes:
            outcome.operation.outcome_unknown = outcome.operation.outcome_unknown or outcome.changed

    def expire(self, now_s: float) -> list[Resolve]:
        """Remove the operations whose deadline has passed, and return their outcomes."""
        expired = [outcome for outcome in self._outcomes if outcome.operation.deadline_s <= now_s]
        self._outcomes = [outcome for outcome in self._outcomes if outcome.operation.deadline_s > now_s]
        return [timed_out(outcome.operation) for outcome in expired]

    @property
    def operations(self) -> tuple[PendingOperation, ...]:
        """The operations of this batch."""
        return tuple(outcome.operation for outcome in self._outcomes)

    def resolve(self) -> list[Resolve]:
        """Return the outcomes of all operations after the attempt has committed."""
        return [
            Resolve(outcome.operation.number, outcome.payload, outcome.error) for outcome in self._outcomes
        ]


def _rejection(operation: PendingOperation, rejection: EmberringError) -> EmberringError:
    """Return the caller's error if its change function rejected the value.

    A plain rejection means that nothing was changed. An operation with an unknown outcome may have rejected its own
    effect, which another proposer committed, so its caller receives `UnknownOutcomeError`.
    """
    return (
        UnknownOutcomeError(f"{OUTCOME_UNKNOWN}; now: {rejection.detail}")
        if operation.outcome_unknown
        else rejection
    )


def timed_out(operation: PendingOperation) -> Resolve:
    """Return the outcome of an operation whose deadline has passed."""
    if operation.outcome_unknown:
        return Resolve(operation.number, error=UnknownOutcomeError(OUTCOME_UNKNOWN))
    return Resolve(operation.number, error=NoQuorumError("too few replicas answered in time"))


def expire_queue(queue: deque[PendingOperation], now_s: float) -> list[Resolve]:
    """Remove the operations whose deadline has passed from a queue, and return their outcomes."""
    expired = [operation for operation in queue if operation.deadline_s <= now_s]
    for operation in expired:
        queue.remove(operation)
    return [timed_out(operation) for operation in expired]
