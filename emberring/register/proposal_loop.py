"""The proposal attempts of one node: one at a time, with a backoff after a failed attempt."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from functools import partial

from emberring.register.action_queue import ActionQueue
from emberring.register.catch_up import CatchUp
from emberring.register.contacts import Contacts
from emberring.register.events import NotifyLearned
from emberring.register.messages import CommittedNotice
from emberring.register.model import Member, Proposal, ProposalNumber, State
from emberring.register.outgoing_calls import OutgoingCalls
from emberring.register.pending_operations import Batch, PendingOperation, expire_queue
from emberring.register.proposer import Phase, ProposalAttempt, Send
from emberring.register.replica_set_manager import ReconfigurationStep

CALL_TIMEOUT_S = 0.8
"""Timeout of a prepare or accept call, in seconds."""

ATTEMPT_TIMEOUT_S = 0.9
"""Timeout of a complete attempt, in seconds; longer than `CALL_TIMEOUT_S`."""

BACKOFF_FIRST_S = 0.01
"""Maximum backoff after the first failed attempt, in seconds; it doubles with each consecutive failure."""

BACKOFF_MAX_S = 0.2
"""Maximum backoff after any number of failed attempts, in seconds."""

MAX_COUNTED_FAILURES = 10
"""Limit of the count of consecutive failures; the backoff reaches `BACKOFF_MAX_S` before it."""


class ProposalLoop:
    """Runs proposal attempts: for waiting operations, for a reconfiguration, or to commit the accepted proposal.

    Args:
        me: this replica.
        proposer: its proposer's name; unique to this start of the process.
        catch_up: the newest proposals that are committed or accepted.
        contacts: the addresses of the other nodes.
        calls, actions: the outputs for calls and for other actions.
        rng: source of the random backoff.
    """

    def __init__(
        self,
        me: Member,
        proposer: str,
        catch_up: CatchUp,
        contacts: Contacts,
        calls: OutgoingCalls,
        actions: ActionQueue,
        rng: random.Random,
    ) -> None:
        self._me = me
        self._proposer = proposer
        self._catch_up = catch_up
        self._contacts = contacts
        self._calls = calls
        self._actions = actions
        self._rng = rng
        self._counter = 0
        self._queued: deque[PendingOperation] = deque()
        self._in_attempt: deque[PendingOperation] = deque()  # requested before the attempt in flight began
        self._attempt: ProposalAttempt | None = None
        self._started_at_s = 0.0
        self._batch: Batch | None = None
        self._reconfiguration: ReconfigurationStep | None = None
        self._consecutive_failures = 0
        self._retry_at_s = float("-inf")

    @property
    def running(self) -> bool:
        """Whether an attempt is in flight."""
        return self._attempt is not None

    @property
    def next_wake_s(self) -> float:
        """When the next attempt may begin or an operation expires, whichever is earlier; infinite if neither."""
        wake_s = min(
            (operation.deadline_s for operation in (*self._queued, *self._in_attempt)), default=float("inf")
        )
        if self._queued or self._catch_up.confirmation_needed:
            wake_s = min(wake_s, self._retry_at_s)
        return wake_s

    def enqueue(self, operation: PendingOperation) -> None:
        """Add an operation; an attempt that begins later includes it."""
        self._queued.append(operation)

    def requeue(self, operations: Iterable[PendingOperation]) -> None:
        """Add operations that a quorum read could not serve."""
        self._queued.extend(operations)

    def set_reconfiguration(self, step: ReconfigurationStep | None) -> None:
        """Set the reconfiguration step that the next attempts should propose, or None."""
        self._reconfiguration = step

    def observe(self, number: ProposalNumber | None) -> None:
        """Record a proposal number in use, so that the next attempt uses a higher one."""
        if number is not None:
            self._counter = max(self._counter, number.counter)

    def expire_waiting(self, now_s: float) -> None:
        """Resolve the expired operations whose attempt has not decided what to propose yet."""
        self._actions.extend(expire_queue(self._queued, now_s))
        self._actions.extend(expire_queue(self._in_attempt, now_s))

    def expire_proposed(self, now_s: float) -> None:
        """Resolve the expired operations of an attempt that has decided what to propose."""
        if self._batch is not None:
            self._actions.extend(self._batch.expire(now_s))

    def advance(self, now_s: float) -> None:
        """Fail an attempt that timed out, and begin one if it is needed and the backoff is over."""
        if self._attempt is not None and now_s - self._started_at_s > ATTEMPT_TIMEOUT_S:
            self._fail(now_s, self._attempt)
        if self._attempt is not None or now_s < self._retry_at_s:
            return
        known = self._catch_up.known
        needed = self._queued or self._catch_up.confirmation_needed or self._reconfiguration
        if known is not None and needed:
            self._begin(now_s, known)

    def _begin(self, now_s: float, known: Proposal) -> None:
        self.observe(self._catch_up.promised)
        self.observe(known.number)
        self._counter += 1
        number = ProposalNumber(self._counter, self._proposer)
        attempt = ProposalAttempt(number, known, self._decide)
        self._attempt, self._started_at_s = attempt, now_s
        # An operation that is requested while promises are in flight waits for the next attempt: those promises may be
        # older than a change that another node acknowledged before the operation was requested.
        self._in_attempt, self._queued = self._queued, deque()
        self._send(attempt, attempt.start(known.state.replicas.all_members))

    def _decide(self, base: Proposal, committed: bool) -> State:
        """Return the state that this attempt proposes, based on the newest proposal that it found."""
        self._batch = Batch(tuple(self._in_attempt), base.state.payload)
        self._in_attempt.clear()
        replicas = base.state.replicas
        step = self._reconfiguration
        if step is not None and step.previous == replicas and (committed or not replicas.joining):
            replicas = step.following
        state = State(replicas, self._batch.payload)
        if not (committed and state == base.state):
            self._batch.mark_outcome_unknown()
        return state

    def _send(self, attempt: ProposalAttempt, sends: list[Send]) -> None:
        for send in sends:
            address = self._contacts.address(send.member)
            on_reply = partial(self._on_reply, attempt, send.member)
            self._calls.send(address, send.message, CALL_TIMEOUT_S, on_reply)

    def _on_reply(self, attempt: ProposalAttempt, member: Member, now_s: float, reply: object | None) -> None:
        if attempt is not self._attempt:
            return
        self._send(attempt, attempt.on_reply(member, reply))
        if attempt.phase is Phase.FAILED:
            self._fail(now_s, attempt)
        elif attempt.outcome is not None:
            self._succeed(now_s, attempt, attempt.outcome)

    def _fail(self, now_s: float, attempt: ProposalAttempt) -> None:
        """Return the operations to the head of the queue, and back off before the next attempt."""
        self.observe(attempt.rejected_by)
        self._attempt = None
        operations = self._batch.operations if self._batch is not None else tuple(self._in_attempt)
        self._batch = None
        self._in_attempt.clear()
        self._queued.extendleft(reversed(operations))
        max_backoff_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**self._consecutive_failures)
        self._consecutive_failures = min(self._consecutive_failures + 1, MAX_COUNTED_FAILURES)
        self._retry_at_s = now_s + max_backoff_s * self._rng.random()

    def _succeed(self, now_s: float, attempt: ProposalAttempt, committed: Proposal) -> None:
        self._attempt, self._consecutive_failures, self._reconfiguration = None, 0, None
        self._catch_up.confirmation_needed = False
        self._catch_up.learn(now_s, committed)
        if self._batch is not None:
            self._actions.extend(self._batch.resolve())
            self._batch = None
        if attempt.accept_sent:
            self._announce(committed)

    def _announce(self, committed: Proposal) -> None:
        """Send a notice of this committed proposal to all replicas and all other control nodes."""
        addresses = {self._contacts.address(member) for member in committed.state.replicas.all_members}
        addresses |= {peer.member.address for peer in self._contacts.peers}
        for address in sorted(addresses - {self._me.address}):
            self._actions.add(NotifyLearned(address, CommittedNotice(committed.number, self._me.address)))
