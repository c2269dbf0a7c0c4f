"""What happens to a node of the register, and what it wants done. Times are seconds of the steady clock."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from emberring.errors import EmberringError
from emberring.register.messages import Answer, CommittedNotice, Request
from emberring.register.model import Member

Change = Callable[[bytes | None], bytes | None]
"""From the present value to the next; None leaves it; an `EmberringError` refuses.

May be called several times, and may then find its own effect, which another node finished: it should know it and
leave it (None). A refusal after an attempt that may have been taken reaches the caller as `UnknownOutcomeError`."""


@attrs.frozen
class Peer:
    """Another control node, as the tier's facts have it."""

    name: str
    member: Member
    zone: str = ""
    leaving: bool = False


@attrs.frozen
class Received:
    """A message from another node (or this one). A `Reply` with this number is wanted, except to `CommittedNotice`."""

    request: int
    message: Request


@attrs.frozen
class Replied:
    """The reply to a call; None where there was none in time."""

    call: int
    reply: object | None


@attrs.frozen
class AppendSynced:
    """A record is on the disk, and all before it."""

    append: int


@attrs.frozen
class AppendFailed:
    """A record is not, or perhaps not, on the disk."""

    append: int


@attrs.frozen
class ChangeRequested:
    """A change of the value is wanted."""

    operation: int
    change: Change
    deadline_s: float


@attrs.frozen
class ReadRequested:
    """The value is wanted, as a quorum has it from now on."""

    operation: int
    deadline_s: float


@attrs.frozen
class PeersChanged:
    """All other control nodes known at present."""

    peers: tuple[Peer, ...]


@attrs.frozen
class Tick:
    """Time has passed."""


Event = (
    Received | Replied | AppendSynced | AppendFailed | ChangeRequested | ReadRequested | PeersChanged | Tick
)


@attrs.frozen
class Call:
    """Send a message and report its reply, or None after the time-out, as `Replied`."""

    call: int
    address: str
    message: Request
    timeout_s: float


@attrs.frozen
class NotifyLearned:
    """Send a hint."""

    address: str
    message: CommittedNotice


@attrs.frozen
class Append:
    """Write a record, in order; report `AppendSynced` or `AppendFailed`."""

    append: int
    record: bytes


@attrs.frozen
class Reply:
    """Answer a message. A durable one waits for all appends so far, and is dropped if one of them fails."""

    request: int
    message: Answer
    durable: bool = False


@attrs.frozen
class Resolve:
    """A job is done: with the value, or with an error."""

    operation: int
    payload: bytes | None = None
    error: EmberringError | None = None


@attrs.frozen
class Learned:
    """A value is known to be chosen; each is newer than the ones before."""

    payload: bytes


Action = Call | NotifyLearned | Append | Reply | Resolve | Learned
