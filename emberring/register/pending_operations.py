"""Changes and reads that wait for an attempt: applied to the value it found, resolved when it commits."""

from __future__ import annotations

from collections import deque

import attrs

from emberring.errors import EmberringError, InternalError, NoQuorumError, UnknownOutcomeError
from emberring.register.events import Change, Resolve

OUTCOME_UNKNOWN = "the change may or may not have been taken"
"""Text of the error of a change whose outcome is unknown; clients see it."""


@attrs.define(eq=False)
class PendingOperation:
    """One change or read (`change` is None).

    Attributes:
        number: by which its caller is found.
        deadline_s: when it expires (steady clock, seconds).
        outcome_unknown: whether a state made with it may have been accepted by a replica.
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
    """Operations applied one after another to the value that an attempt or a read found."""

    def __init__(self, operations: tuple[PendingOperation, ...], payload: bytes | None) -> None:
        self.payload = payload
        self._outcomes = [self._apply(operation) for operation in operations]

    def _apply(self, operation: PendingOperation) -> _Outcome:
        try:
            changed = None if operation.change is None else operation.change(self.payload)
        except EmberringError as error:
            return _Outcome(operation, error=_rejection(operation, error))
        except (
            Exception
        ) as error:  # the change function is the caller's; a fault in it must not stop the register
            return _Outcome(operation, error=InternalError(f"{type(error).__name__}: {error}"))
        if changed is not None:
            self.payload = changed
        return _Outcome(operation, self.payload, changed=changed is not None)

    def mark_outcome_unknown(self) -> None:
        """Mark the operations that changed the value: from here on a replica may accept it."""
        for outcome in self._outcomes:
            outcome.operation.outcome_unknown = outcome.operation.outcome_unknown or outcome.changed

    def expire(self, now_s: float) -> list[Resolve]:
        """Take out the operations whose deadline has passed, and return their outcomes."""
        late = [found for found in self._outcomes if found.operation.deadline_s <= now_s]
        self._outcomes = [found for found in self._outcomes if found.operation.deadline_s > now_s]
        return [timed_out(found.operation) for found in late]

    @property
    def operations(self) -> tuple[PendingOperation, ...]:
        """The operations in it."""
        return tuple(outcome.operation for outcome in self._outcomes)

    def resolve(self) -> list[Resolve]:
        """Return the outcomes of all operations: the attempt has committed."""
        return [Resolve(found.operation.number, found.payload, found.error) for found in self._outcomes]


def _rejection(operation: PendingOperation, refusal: EmberringError) -> EmberringError:
    """Return the error that the caller gets where its change function rejected.

    A rejection says that nothing was changed. An operation with an unknown outcome may have rejected its own effect,
    which another proposer finished.
    """
    return (
        UnknownOutcomeError(f"{OUTCOME_UNKNOWN}; now: {refusal.detail}")
        if operation.outcome_unknown
        else refusal
    )


def timed_out(operation: PendingOperation) -> Resolve:
    """Return the outcome of an operation whose deadline has passed."""
    if operation.outcome_unknown:
        return Resolve(operation.number, error=UnknownOutcomeError(OUTCOME_UNKNOWN))
    return Resolve(operation.number, error=NoQuorumError("too few replicas answered in time"))


def expire_queue(queue: deque[PendingOperation], now_s: float) -> list[Resolve]:
    """Take out of a queue the operations whose deadline has passed, and return their outcomes."""
    late = [operation for operation in queue if operation.deadline_s <= now_s]
    for operation in late:
        queue.remove(operation)
    return [timed_out(operation) for operation in late]
