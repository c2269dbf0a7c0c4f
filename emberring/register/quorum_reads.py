"""Quorum reads of the committed value, one at a time, and the operations that wait for them."""

from __future__ import annotations

from collections import deque
from functools import partial

from emberring.register.action_queue import ActionQueue
from emberring.register.catch_up import CatchUp
from emberring.register.contacts import Contacts
from emberring.register.model import Member
from emberring.register.outgoing_calls import OutgoingCalls
from emberring.register.pending_operations import Batch, PendingOperation, expire_queue
from emberring.register.proposal_loop import ProposalLoop
from emberring.register.proposer import QuorumRead, Send

READ_TIMEOUT_S = 0.3
"""Timeout of a quorum read and of each of its calls, in seconds; a proposal attempt follows."""


class QuorumReads:
    """Runs quorum reads. A read that does not show what is committed passes its operations to the proposal loop."""

    def __init__(
        self,
        catch_up: CatchUp,
        contacts: Contacts,
        proposals: ProposalLoop,
        calls: OutgoingCalls,
        actions: ActionQueue,
    ) -> None:
        self._catch_up = catch_up
        self._contacts = contacts
        self._proposals = proposals
        self._calls = calls
        self._actions = actions
        self._read: QuorumRead | None = None
        self._started_at_s = 0.0
        self._queued: deque[PendingOperation] = deque()
        self._in_read: deque[PendingOperation] = deque()

    @property
    def running(self) -> bool:
        """Whether a quorum read is in flight."""
        return self._read is not None

    @property
    def next_wake_s(self) -> float:
        """The earliest deadline of a waiting operation; infinite if there is none."""
        return min(
            (operation.deadline_s for operation in (*self._queued, *self._in_read)), default=float("inf")
        )

    def enqueue(self, operation: PendingOperation) -> None:
        """Add an operation; a quorum read that begins later serves it."""
        self._queued.append(operation)

    def expire(self, now_s: float) -> None:
        """Resolve the operations whose deadline has passed."""
        self._actions.extend(expire_queue(self._queued, now_s))
        self._actions.extend(expire_queue(self._in_read, now_s))

    def advance(self, now_s: float) -> None:
        """Abort a read that timed out, and begin one if operations wait."""
        if self._read is not None and now_s - self._started_at_s > READ_TIMEOUT_S:
            self._fail(self._read)
        if self._queued and self._read is None:
            self.begin(now_s)

    def begin(self, now_s: float) -> None:
        """Begin a read, unless this node does not know a replica set yet."""
        known = self._catch_up.known
        if known is None:
            return
        self._read, self._started_at_s = QuorumRead(known), now_s
        self._in_read, self._queued = self._queued, deque()
        self._send(self._read, self._read.start(known.state.replicas.all_members))

    def _send(self, read: QuorumRead, sends: list[Send]) -> None:
        for send in sends:
            address = self._contacts.address(send.member)
            self._calls.send(
                address, send.message, READ_TIMEOUT_S, partial(self._on_reply, read, send.member)
            )

    def _on_reply(self, read: QuorumRead, member: Member, now_s: float, reply: object | None) -> None:
        if read is not self._read:
            return
        self._send(read, read.on_reply(member, reply))
        if not read.finished:
            return
        if read.committed is None:
            self._fail(read)
            return
        self._read = None
        self._catch_up.learn(now_s, read.committed)
        self._actions.extend(Batch(tuple(self._in_read), read.committed.state.payload).resolve())
        self._in_read = deque()

    def _fail(self, read: QuorumRead) -> None:
        """Abort the read, whose replies do not show what is committed, and let a proposal attempt determine it."""
        self._proposals.observe(read.highest)
        self._read = None
        self._catch_up.require_confirmation()
        self._proposals.requeue(self._in_read)
        self._in_read = deque()
