"""The events that a `RegisterNode` takes in, and the actions that it returns. Times are seconds of the steady clock."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from emberring.errors import EmberringError
from emberring.register.messages import Answer, CommittedNotice, Request
from emberring.register.model import Member

Change = Callable[[bytes | None], bytes | None]
"""From the present value to the next; None leaves the value as it is; an `EmberringError` rejects the change.

The function may be called several times, and may then find its own effect, which another node committed: it should
recognize that and return None. A rejection after an attempt that may have committed reaches the caller as
`UnknownOutcomeError`."""


@attrs.frozen
class Peer:
    """Another control node, as the node records of the tier have it."""

    name: str
    member: Member
    zone: str = ""
    leaving: bool = False


@attrs.frozen
class Received:
    """A message from another node or this one. A `Reply` with this number answers it, except a `CommittedNotice`."""

    request: int
    message: Request


@attrs.frozen
class Replied:
    """The reply to a call; None where none came in time."""

    call: int
    reply: object | None


@attrs.frozen
class AppendSynced:
    """A record and all records before it are on the disk."""

    append: int


@attrs.frozen
class AppendFailed:
    """A record is not, or perhaps not, on the disk."""

    append: int


@attrs.frozen
class ChangeRequested:
    """A caller requests a change of the value."""

    operation: int
    change: Change
    deadline_s: float


@attrs.frozen
class ReadRequested:
    """A caller requests the value as a quorum has it, at least as new as now."""

    operation: int
    deadline_s: float


@attrs.frozen
class PeersChanged:
    """All other control nodes known at present; they replace those known before."""

    peers: tuple[Peer, ...]


@attrs.frozen
class Tick:
    """Time has passed; nothing else has happened."""


Event = (
    Received | Replied | AppendSynced | AppendFailed | ChangeRequested | ReadRequested | PeersChanged | Tick
)


@attrs.frozen
class Call:
    """Send a message, and report its reply, or None after the time-out, as `Replied`."""

    call: int
    address: str
    message: Request
    timeout_s: float


@attrs.frozen
class NotifyLearned:
    """Send a notice without an answer, which may be lost."""

    address: str
    message: CommittedNotice


@attrs.frozen
class Append:
    """Write a record, in order, and report `AppendSynced` or `AppendFailed`."""

    append: int
    record: bytes


@attrs.frozen
class Reply:
    """Answer a message. A durable answer waits for all appends so far, and is dropped if one of them fails."""

    request: int
    message: Answer
    durable: bool = False


@attrs.frozen
class Resolve:
    """An operation has ended: with the value, or with an error."""

    operation: int
    payload: bytes | None = None
    error: EmberringError | None = None


@attrs.frozen
class Learned:
    """Notify the subscribers of a committed value; each is newer than the ones before."""

    payload: bytes


Action = Call | NotifyLearned | Append | Reply | Resolve | Learned
