"""The register's state machine on a control node: dispatches events to the replica, the reads and the proposals.

Sans-I/O: `handle(now_s, event)` returns actions; times are in seconds of the monotonic clock. `next_wake_s` returns the
time of the next `Tick`.
"""

from __future__ import annotations

import random
from functools import partial

from emberring.register.acceptor import Acceptor, AcceptorResponse
from emberring.register.action_queue import ActionQueue
from emberring.register.catch_up import CatchUp
from emberring.register.contacts import PING_TIMEOUT_S, Contacts
from emberring.register.events import (
    Action,
    AppendFailed,
    AppendSynced,
    ChangeRequested,
    Event,
    PeersChanged,
    ReadRequested,
    Received,
    Replied,
    Reply,
    Tick,
)
from emberring.register.messages import (
    Accept,
    CommittedNotice,
    CommittedProposal,
    FetchCommitted,
    Ping,
    Pong,
    Prepare,
    Query,
    Request,
)
from emberring.register.model import Member, Proposal
from emberring.register.outgoing_calls import OutgoingCalls
from emberring.register.pending_operations import PendingOperation
from emberring.register.persistence import Persistence
from emberring.register.proposal_loop import ProposalLoop
from emberring.register.quorum_reads import QuorumReads
from emberring.register.replica_set_manager import (
    RECONFIGURATION_TIMEOUTS,
    ReconfigurationTimeouts,
    ReplicaSetManager,
)

IDLE_WAKE_S = 0.1
"""Maximum time between two `Tick` events, in seconds."""

MIN_WAKE_S = 0.001
"""Minimum time until the next `Tick`, in seconds."""

CHECK_INTERVAL_S = 0.04
"""Interval of the checks of the disk, the contacts and the replica set, in seconds."""


class RegisterNode:
    """One control node's replica, proposer and learner.

    Args:
        me: this replica.
        acceptor: its acceptor, as restored from its journal.
        proposer: its proposer's name; must be new at each start.
        seeds: internal addresses to ping before any other node is known.
        target_size: the number of replicas that there should be.
        rng: source of the backoff of attempts and the jitter of scrubs.
        now_s: the current time, in seconds of the monotonic clock.
        timeouts: when an unreachable replica is replaced.

    Attributes:
        me, acceptor: the arguments.
        contacts: the liveness of the other control nodes.
        replica_set_manager: plans changes of the replica set.
    """

    def __init__(
        self,
        me: Member,
        acceptor: Acceptor,
        proposer: str,
        seeds: tuple[str, ...],
        target_size: int,
        rng: random.Random,
        now_s: float,
        timeouts: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS,
    ) -> None:
        self.me = me
        self.acceptor = acceptor
        self.contacts = Contacts(me, now_s, seeds)
        self.replica_set_manager = ReplicaSetManager(me, target_size, self.contacts, timeouts)
        self._persistence = Persistence(acceptor)
        self._actions = ActionQueue()
        self._calls = OutgoingCalls(self._actions)
        self._catch_up = CatchUp(acceptor, self._persistence, self._calls, self._actions, rng)
        self._proposals = ProposalLoop(
            me, proposer, self._catch_up, self.contacts, self._calls, self._actions, rng
        )
        self._reads = QuorumReads(self._catch_up, self.contacts, self._proposals, self._calls, self._actions)
        self._next_check_s = now_s

    # Queries.

    @property
    def learned(self) -> Proposal | None:
        """The newest proposal that this node knows to be committed."""
        return self._catch_up.learned

    @property
    def known(self) -> Proposal | None:
        """The newest proposal that this node has learned or accepted."""
        return self._catch_up.known

    def majority_age_s(self, now_s: float) -> float:
        """Return the time since a quorum was last in contact, in seconds; infinite if no replica set is known."""
        if self.known is None:
            return float("inf")
        return self.contacts.quorum_age_s(now_s, self.known.state.replicas)

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Return whether these replicas are a quorum of the replica set that this node knows to be committed."""
        return self.learned is not None and self.learned.state.replicas.has_quorum(identities)

    def next_wake_s(self, now_s: float) -> float:
        """Return the latest time at which the next `Tick` is due."""
        wake_s = min(
            now_s + IDLE_WAKE_S,
            self._catch_up.next_wake_s,
            self._reads.next_wake_s,
            self._proposals.next_wake_s,
        )
        return max(now_s + MIN_WAKE_S, wake_s)

    # Events.

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Handle an event and return the actions to execute now, in order."""
        self._actions.clear()
        self.contacts.detect_pause(now_s)
        self._dispatch(now_s, event)
        self._advance(now_s)
        return self._actions.collected()

    def _dispatch(self, now_s: float, event: Event) -> None:
        match event:
            case Received():
                self._on_message(now_s, event.request, event.message)
            case Replied():
                self._calls.on_replied(now_s, event.call, event.reply)
            case AppendSynced():
                self._persistence.on_synced(event.append)
            case AppendFailed():
                self._persistence.on_failed(event.append)
            case ChangeRequested():
                self._proposals.enqueue(PendingOperation(event.operation, event.deadline_s, event.change))
            case ReadRequested():
                self._reads.enqueue(PendingOperation(event.operation, event.deadline_s))
            case PeersChanged():
                self.contacts.set_peers(event.peers)
            case Tick():
                pass

    def _on_message(self, now_s: float, request: int, message: Request) -> None:
        match message:
            case Prepare():
                self._respond(now_s, request, self.acceptor.prepare(message))
            case Accept():
                self._respond(now_s, request, self.acceptor.accept(message))
                self._catch_up.schedule_scrub(now_s)
            case Query():
                self._respond(now_s, request, self.acceptor.query(message))
            case Ping():
                pong = Pong(self.me.identity, self._catch_up.learned_number, self.contacts.voting)
                self._actions.add(Reply(request, pong))
                self._catch_up.on_announced(now_s, message.learned, message.address)
            case FetchCommitted():
                self._actions.add(Reply(request, CommittedProposal(self.learned)))
            case CommittedNotice():
                self._catch_up.on_announced(now_s, message.number, message.address)

    def _respond(self, now_s: float, request: int, response: AcceptorResponse) -> None:
        if response.durable:
            self._actions.extend(self._persistence.append(now_s, response.record))
        self._actions.add(Reply(request, response.reply, response.durable))

    def _advance(self, now_s: float) -> None:
        """Run everything that is due; called after every event."""
        self.contacts.voting = self._persistence.is_writable(now_s)
        self._proposals.expire_waiting(now_s)
        self._reads.expire(now_s)
        self._proposals.expire_proposed(now_s)
        if now_s >= self._next_check_s:
            self._next_check_s = now_s + CHECK_INTERVAL_S
            self._check(now_s)
        if self._catch_up.take_due_scrub(now_s) and not (self._reads.running or self._proposals.running):
            self._reads.begin(now_s)
        self._reads.advance(now_s)
        self._proposals.advance(now_s)

    def _check(self, now_s: float) -> None:
        """Probe a failed disk, send the pings that are due, and plan a reconfiguration step."""
        self._actions.extend(self._persistence.probe(now_s))
        self._send_pings(now_s)
        self._proposals.set_reconfiguration(self.replica_set_manager.step(now_s, self.learned))

    def _send_pings(self, now_s: float) -> None:
        replicas = None if self.known is None else self.known.state.replicas
        for address in self.contacts.take_due_pings(now_s, replicas):
            message = Ping(self.me.identity, self.me.address, self._catch_up.learned_number)
            self._calls.send(address, message, PING_TIMEOUT_S, partial(self._on_pong, address))

    def _on_pong(self, address: str, now_s: float, reply: object | None) -> None:
        pong = reply if isinstance(reply, Pong) else None
        self.contacts.on_pong(address, pong)
        if pong is not None:
            self._catch_up.on_announced(now_s, pong.learned, address)
