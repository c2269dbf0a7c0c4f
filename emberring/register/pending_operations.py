"""Changes and reads that wait for a ballot: applied to the value found, resolved when it is chosen."""

from __future__ import annotations

from collections import deque

import attrs

from emberring.errors import EmberringError, InternalError, NoQuorumError, UnknownOutcomeError
from emberring.register.events import Change, Resolve

IN_DOUBT = "the change may or may not have been taken"


@attrs.define(eq=False)
class PendingOperation:
    """One change or read. In doubt once a state made with it may have been accepted somewhere."""

    number: int
    deadline_s: float
    change: Change | None = None
    in_doubt: bool = False


@attrs.frozen
class _Judgement:
    """What comes of a job if the ballot is chosen."""

    job: PendingOperation
    payload: bytes | None = None
    error: EmberringError | None = None
    changed: bool = False


class Batch:
    """Jobs applied one after another to the value that a ballot found."""

    def __init__(self, jobs: tuple[PendingOperation, ...], payload: bytes | None) -> None:
        self.payload = payload
        self._judgements = [self._apply(job) for job in jobs]

    def _apply(self, job: PendingOperation) -> _Judgement:
        try:
            changed = None if job.change is None else job.change(self.payload)
        except EmberringError as error:
            return _Judgement(job, error=_certain(job, error))
        except Exception as error:  # a fault in the caller's function must not stop the register
            return _Judgement(job, error=InternalError(f"{type(error).__name__}: {error}"))
        if changed is not None:
            self.payload = changed
        return _Judgement(job, self.payload, changed=changed is not None)

    def doubt(self) -> None:
        """The value made may be accepted somewhere from here on."""
        for judgement in self._judgements:
            judgement.job.in_doubt = judgement.job.in_doubt or judgement.changed

    def expire(self, now_s: float) -> list[Resolve]:
        """Take out the jobs whose time has run out; what to tell their callers."""
        late = [found for found in self._judgements if found.job.deadline_s <= now_s]
        self._judgements = [found for found in self._judgements if found.job.deadline_s > now_s]
        return [give_up(found.job) for found in late]

    @property
    def jobs(self) -> tuple[PendingOperation, ...]:
        """The jobs in it."""
        return tuple(judgement.job for judgement in self._judgements)

    def resolve(self) -> list[Resolve]:
        """It is chosen: what to tell the callers."""
        return [Resolve(found.job.number, found.payload, found.error) for found in self._judgements]


def _certain(job: PendingOperation, refusal: EmberringError) -> EmberringError:
    """A refusal says that nothing was changed. A job in doubt may have refused its own effect, which another
    proposer finished."""
    return UnknownOutcomeError(f"{IN_DOUBT}; now: {refusal.detail}") if job.in_doubt else refusal


def give_up(job: PendingOperation) -> Resolve:
    """Its time has run out."""
    if job.in_doubt:
        return Resolve(job.number, error=UnknownOutcomeError(IN_DOUBT))
    return Resolve(job.number, error=NoQuorumError("too few replicas answered in time"))


def expire_queue(queue: deque[PendingOperation], now_s: float) -> list[Resolve]:
    """Take out of a queue the operations whose deadline has passed; what to tell their callers."""
    late = [operation for operation in queue if operation.deadline_s <= now_s]
    for operation in late:
        queue.remove(operation)
    return [give_up(operation) for operation in late]
