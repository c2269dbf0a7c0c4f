"""The input events and output actions of a `RegisterNode`. Times are in seconds of the monotonic clock."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from emberring.errors import EmberringError
from emberring.register.messages import Answer, CommittedNotice, Request
from emberring.register.model import Member

Change = Callable[[bytes | None], bytes | None]
"""Maps the current value to the next one. None keeps the value; raising an `EmberringError` rejects the change.

The function may be called several times. It may then be given a value that contains its own effect, committed by
another node; it should detect this and return None. If it rejects after an attempt that may have committed, its caller
receives `UnknownOutcomeError`."""


@attrs.frozen
class Peer:
    """Another control node, according to the tier's node records."""

    name: str
    member: Member
    zone: str = ""
    leaving: bool = False


@attrs.frozen
class Received:
    """A message from another node or from this one; a `Reply` with this number follows, except to `CommittedNotice`."""

    request: int
    message: Request


@attrs.frozen
class Replied:
    """The reply to a call, or None after its timeout or failure."""

    call: int
    reply: object | None


@attrs.frozen
class AppendSynced:
    """A record and all records before it are persisted."""

    append: int


@attrs.frozen
class AppendFailed:
    """The append of a record failed; the record may or may not be persisted."""

    append: int


@attrs.frozen
class ChangeRequested:
    """A caller requests a change of the value."""

    operation: int
    change: Change
    deadline_s: float


@attrs.frozen
class ReadRequested:
    """A caller requests a linearizable read: a value at least as new as any acknowledged before the request."""

    operation: int
    deadline_s: float


@attrs.frozen
class PeersChanged:
    """The complete list of the other known control nodes; it replaces the previous one."""

    peers: tuple[Peer, ...]


@attrs.frozen
class Tick:
    """The timer has expired."""


Event = (
    Received | Replied | AppendSynced | AppendFailed | ChangeRequested | ReadRequested | PeersChanged | Tick
)


@attrs.frozen
class Call:
    """Send a message and report its reply, or None after a timeout, as `Replied`."""

    call: int
    address: str
    message: Request
    timeout_s: float


@attrs.frozen
class NotifyLearned:
    """Send a one-way notice, which may be lost."""

    address: str
    message: CommittedNotice


@attrs.frozen
class Append:
    """Append a record to the journal, in order, and report `AppendSynced` or `AppendFailed`."""

    append: int
    record: bytes


@attrs.frozen
class Reply:
    """Reply to a message. A durable reply waits for all appends so far and is dropped if one of them fails."""

    request: int
    message: Answer
    durable: bool = False


@attrs.frozen
class Resolve:
    """Complete an operation with the value or with an error."""

    operation: int
    payload: bytes | None = None
    error: EmberringError | None = None


@attrs.frozen
class Learned:
    """Notify the subscribers of a committed value, which is newer than all previous ones."""

    payload: bytes


Action = Call | NotifyLearned | Append | Reply | Resolve | Learned
