"""A control node's whole part in the register: replica, proposer, learner, scrub and changes of the replica set.

Sans-I/O: `handle(now_s, event) -> actions`, seconds of the steady clock; `next_wake_s` says when to send a `Tick`.
"""

from __future__ import annotations

import random
from collections import deque

import attrs

from emberring.register.acceptor import Acceptor, Verdict
from emberring.register.contacts import PING_TIMEOUT_S, Contacts
from emberring.register.events import (
    Action,
    Call,
    ChangeRequested,
    DiskRefused,
    Event,
    Learned,
    NotifyLearned,
    PeersChanged,
    ReadRequested,
    Received,
    Replied,
    Reply,
    Synced,
)
from emberring.register.messages import (
    Accept,
    Chosen,
    Fetch,
    Fetched,
    Ping,
    Pong,
    Prepare,
    Query,
    Request,
)
from emberring.register.model import Member, Proposal, ProposalNumber, State
from emberring.register.pending_operations import Batch, PendingOperation, give_up
from emberring.register.persistence import Persistence
from emberring.register.proposer import Phase, ProposalAttempt, QuorumRead, Send
from emberring.register.replica_set_manager import (
    RECONFIGURATION_TIMEOUTS,
    ReconfigurationStep,
    ReconfigurationTimeouts,
    ReplicaSetManager,
)

CALL_TIMEOUT_S = 0.8
ROUND_TIMEOUT_S = 0.9
QUERY_TIMEOUT_S = 0.3
FETCH_TIMEOUT_S = 0.8
SCRUB_AFTER_S = 0.15
SCRUB_JITTER_S = 0.1
BACKOFF_FIRST_S = 0.01
BACKOFF_MOST_S = 0.2
IDLE_WAKE_S = 0.1
LOOK_EVERY_S = 0.04  # at the contacts and at the replica set


@attrs.frozen
class _RoundCall:
    round: ProposalAttempt
    member: Member


@attrs.frozen
class _QueryCall:
    query: QuorumRead
    member: Member


@attrs.frozen
class _PingCall:
    address: str


@attrs.frozen
class _FetchCall:
    address: str


_Purpose = _RoundCall | _QueryCall | _PingCall | _FetchCall


class RegisterNode:
    """One node. `proposer` must be new at each start; `wanted` is how many replicas there should be."""

    def __init__(
        self,
        me: Member,
        acceptor: Acceptor,
        proposer: str,
        seeds: tuple[str, ...],
        wanted: int,
        rng: random.Random,
        now_s: float,
        patience: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS,
    ) -> None:
        self.me = me
        self.acceptor = acceptor
        self.learned: Proposal | None = None
        self.contacts = Contacts(me, now_s, seeds)
        self._proposer = proposer
        self._rng = rng
        self._disk = Persistence(acceptor)
        self._out: list[Action] = []
        self._calls: dict[int, _Purpose] = {}
        self._numbers = 0
        self._look_at = now_s
        self._counter = 0
        self._jobs: deque[PendingOperation] = deque()
        self._reads: deque[PendingOperation] = deque()
        self._round: ProposalAttempt | None = None
        self._round_jobs: deque[PendingOperation] = deque()  # asked before the ballot under way began
        self._round_began = now_s
        self._batch: Batch | None = None
        self._query: QuorumRead | None = None
        self._query_began = now_s
        self._query_reads: deque[PendingOperation] = deque()
        self._confirm = False
        self._failures = 0
        self._retry_at = now_s
        self._told: bytes | None = None
        self._fetching = False
        self._scrub_at: float | None = now_s
        self.keeper = ReplicaSetManager(me, wanted, self.contacts, patience)
        self._step: ReconfigurationStep | None = None
        if acceptor.accepted is not None and acceptor.accepted.ballot.counter == 0:
            self.learned = acceptor.accepted

    # What others ask.

    @property
    def known(self) -> Proposal | None:
        """The newest proposal that this node has, chosen or not."""
        accepted = self.acceptor.accepted
        if accepted is None or (self.learned is not None and self.learned.ballot > accepted.ballot):
            return self.learned
        return accepted

    def majority_age_s(self, now_s: float) -> float:
        """How long ago a quorum was last in contact, in seconds."""
        if self.known is None:
            return float("inf")
        return self.contacts.quorum_age_s(now_s, self.known.state.replicas)

    def is_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum of the set that this node knows to be chosen."""
        return self.learned is not None and self.learned.state.replicas.has_quorum(identities)

    @property
    def _queues(self) -> tuple[deque[PendingOperation], ...]:
        """All jobs that wait, but those of the ballot that has decided."""
        return (self._jobs, self._round_jobs, self._reads, self._query_reads)

    def next_wake_s(self, now_s: float) -> float:
        """When to send the next `Tick` at the latest."""
        wake_s = now_s + IDLE_WAKE_S
        if self._jobs or self._confirm:
            wake_s = min(wake_s, self._retry_at)
        if self._scrub_at is not None:
            wake_s = min(wake_s, self._scrub_at)
        for jobs in self._queues:
            for job in jobs:
                wake_s = min(wake_s, job.deadline_s)
        return max(now_s + 0.001, wake_s)

    # Events.

    def handle(self, now_s: float, event: Event) -> list[Action]:
        """Take in an event; what is to be done now."""
        self._out = []
        self.contacts.look(now_s)
        match event:
            case Received():
                self._received(now_s, event.request, event.message)
            case Replied():
                self._replied(now_s, event.call, event.reply)
            case Synced():
                self._disk.synced(event.append)
            case DiskRefused():
                self._disk.refused(event.append)
            case ChangeRequested():
                self._jobs.append(PendingOperation(event.job, event.deadline_s, event.change))
            case ReadRequested():
                self._reads.append(PendingOperation(event.job, event.deadline_s))
            case PeersChanged():
                self.contacts.note(event.peers)
            case _:
                pass
        self._advance(now_s)
        return self._out

    def _advance(self, now_s: float) -> None:
        self.contacts.voting = self._disk.voting(now_s)
        self._expire(now_s)
        if now_s >= self._look_at:
            self._look_at = now_s + LOOK_EVERY_S
            self._out += self._disk.probe(now_s)
            self._ping(now_s)
            self._step = self.keeper.step(now_s, self.learned)
        self._scrub(now_s)
        self._start_query(now_s)
        self._start_round(now_s)

    def _received(self, now_s: float, request: int, message: Request) -> None:
        match message:
            case Prepare():
                self._judge(now_s, request, self.acceptor.prepare(message))
            case Accept():
                self._judge(now_s, request, self.acceptor.accept(message))
                self._note_unconfirmed(now_s)
            case Query():
                self._judge(now_s, request, self.acceptor.query(message))
            case Ping():
                mine = None if self.learned is None else self.learned.ballot
                self._out.append(Reply(request, Pong(self.me.identity, mine, self.contacts.voting)))
                self._hear_of(now_s, message.learned, message.address)
            case Fetch():
                self._out.append(Reply(request, Fetched(self.learned)))
            case Chosen():
                self._hear_of(now_s, message.ballot, message.address)

    def _judge(self, now_s: float, request: int, verdict: Verdict) -> None:
        if verdict.durable:
            self._out += self._disk.append(now_s, verdict.record)
        self._out.append(Reply(request, verdict.reply, verdict.durable))

    def _replied(self, now_s: float, call: int, reply: object | None) -> None:
        purpose = self._calls.pop(call, None)
        match purpose:
            case _RoundCall():
                if purpose.round is self._round:
                    self._send_round(purpose.round.on_reply(purpose.member, reply))
                    self._after_round(now_s)
            case _QueryCall():
                if purpose.query is self._query:
                    self._send_query(purpose.query.on_reply(purpose.member, reply))
                    self._after_query(now_s)
            case _PingCall():
                pong = reply if isinstance(reply, Pong) else None
                self.contacts.answered(purpose.address, pong)
                if pong is not None:
                    self._hear_of(now_s, pong.learned, purpose.address)
            case _FetchCall():
                self._fetching = False
                if isinstance(reply, Fetched) and reply.proposal is not None:
                    self._learn(now_s, reply.proposal)
            case _:
                pass

    # Learning what is chosen.

    def _hear_of(self, now_s: float, ballot: ProposalNumber | None, address: str) -> None:
        """Somebody knows the proposal of this ballot to be chosen."""
        if ballot is None or (self.learned is not None and ballot <= self.learned.ballot):
            return
        accepted = self.acceptor.accepted
        if accepted is not None and accepted.ballot == ballot:
            self._learn(now_s, accepted)
        elif not self._fetching:
            self._fetching = True
            self._call(address, Fetch(), FETCH_TIMEOUT_S, _FetchCall(address))

    def _learn(self, now_s: float, chosen: Proposal) -> None:
        if self.learned is not None and chosen.ballot <= self.learned.ballot:
            return
        self.learned = chosen
        record = self.acceptor.install(chosen)
        if record is not None:
            self._out += self._disk.append(now_s, record)
        self._note_unconfirmed(now_s)
        self._confirm = self._confirm and self._unconfirmed
        payload = chosen.state.payload
        if payload is not None and payload != self._told:
            self._told = payload
            self._out.append(Learned(payload))

    @property
    def _unconfirmed(self) -> bool:
        accepted = self.acceptor.accepted
        if accepted is None:
            return False
        return self.learned is None or accepted.ballot > self.learned.ballot

    def _note_unconfirmed(self, now_s: float) -> None:
        if not self._unconfirmed:
            self._scrub_at = None
        elif self._scrub_at is None:
            self._scrub_at = now_s + SCRUB_AFTER_S + self._rng.random() * SCRUB_JITTER_S

    def _scrub(self, now_s: float) -> None:
        """What was accepted and is not known to be chosen is asked after, and finished if need be."""
        if self._scrub_at is None or now_s < self._scrub_at:
            return
        self._scrub_at = None
        self._note_unconfirmed(now_s)
        if self._unconfirmed and self._query is None and self._round is None:
            self._begin_query(now_s)

    # Reads.

    def _start_query(self, now_s: float) -> None:
        if self._query is not None and now_s - self._query_began > QUERY_TIMEOUT_S:
            self._end_query()
        if self._reads and self._query is None:
            self._begin_query(now_s)

    def _begin_query(self, now_s: float) -> None:
        known = self.known
        if known is None:
            return
        self._query, self._query_began = QuorumRead(known), now_s
        self._query_reads, self._reads = self._reads, deque()
        self._send_query(self._query.start(known.state.replicas.everyone))

    def _send_query(self, sends: list[Send]) -> None:
        assert self._query is not None
        for send in sends:
            purpose = _QueryCall(self._query, send.member)
            self._call(self.contacts.address(send.member), send.message, QUERY_TIMEOUT_S, purpose)

    def _after_query(self, now_s: float) -> None:
        query = self._query
        if query is None or not query.finished:
            return
        if query.chosen is None:
            self._end_query()
            return
        self._query = None
        self._learn(now_s, query.chosen)
        payload = query.chosen.state.payload
        self._out += Batch(tuple(self._query_reads), payload).resolve()
        self._query_reads = deque()

    def _end_query(self) -> None:
        """The answers don't show what is chosen: a ballot has to find out."""
        assert self._query is not None
        self._see(self._query.highest)
        self._query = None
        self._confirm = self._confirm or self._unconfirmed
        self._jobs.extend(self._query_reads)
        self._query_reads = deque()

    # Ballots.

    def _see(self, ballot: ProposalNumber | None) -> None:
        if ballot is not None:
            self._counter = max(self._counter, ballot.counter)

    def _start_round(self, now_s: float) -> None:
        if self._round is not None and now_s - self._round_began > ROUND_TIMEOUT_S:
            self._fail_round(now_s)
        if self._round is not None or now_s < self._retry_at:
            return
        known = self.known
        if known is None or not (self._jobs or self._confirm or self._step):
            return
        self._see(self.acceptor.promised)
        self._see(known.ballot)
        self._counter += 1
        ballot = ProposalNumber(self._counter, self._proposer)
        self._round, self._round_began = ProposalAttempt(ballot, known, self._decide), now_s
        # Guard: a job that comes while promises are under way waits for the next ballot. What those promises show may
        # be older than a change that was acknowledged elsewhere before the job was asked.
        self._round_jobs, self._jobs = self._jobs, deque()
        self._send_round(self._round.start(known.state.replicas.everyone))

    def _decide(self, found: Proposal, chosen: bool) -> State:
        """What this ballot proposes on top of what it found."""
        self._batch = Batch(tuple(self._round_jobs), found.state.payload)
        self._round_jobs.clear()
        replicas = found.state.replicas
        if self._step is not None and self._step.previous == replicas and (chosen or not replicas.joining):
            replicas = self._step.following
        state = State(replicas, self._batch.payload)
        if not (chosen and state == found.state):
            self._batch.doubt()
        return state

    def _send_round(self, sends: list[Send]) -> None:
        assert self._round is not None
        for send in sends:
            purpose = _RoundCall(self._round, send.member)
            self._call(self.contacts.address(send.member), send.message, CALL_TIMEOUT_S, purpose)

    def _after_round(self, now_s: float) -> None:
        if self._round is None:
            return
        if self._round.phase is Phase.FAILED:
            self._fail_round(now_s)
        elif self._round.phase is Phase.CHOSEN:
            self._end_round(now_s, self._round)

    def _fail_round(self, now_s: float) -> None:
        assert self._round is not None
        self._see(self._round.refused_by)
        self._round = None
        jobs = self._batch.jobs if self._batch is not None else tuple(self._round_jobs)
        self._batch = None
        self._round_jobs.clear()
        self._jobs.extendleft(reversed(jobs))
        longest = min(BACKOFF_MOST_S, BACKOFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._retry_at = now_s + longest * self._rng.random()

    def _end_round(self, now_s: float, ended: ProposalAttempt) -> None:
        assert ended.outcome is not None
        self._round, self._failures, self._confirm, self._step = None, 0, False, None
        self._learn(now_s, ended.outcome)
        if self._batch is not None:
            self._out += self._batch.resolve()
            self._batch = None
        if ended.sent_accept:
            self._spread(ended.outcome)

    def _spread(self, chosen: Proposal) -> None:
        addresses = {self.contacts.address(member) for member in chosen.state.replicas.everyone}
        addresses |= {peer.member.address for peer in self.contacts.peers}
        for address in sorted(addresses - {self.me.address}):
            self._out.append(NotifyLearned(address, Chosen(chosen.ballot, self.me.address)))

    def _expire(self, now_s: float) -> None:
        for jobs in self._queues:
            if not jobs:
                continue
            for job in [job for job in jobs if job.deadline_s <= now_s]:
                jobs.remove(job)
                self._out.append(give_up(job))
        if self._batch is not None:
            self._out += self._batch.expire(now_s)

    # Calls.

    def _ping(self, now_s: float) -> None:
        mine = None if self.learned is None else self.learned.ballot
        replicas = None if self.known is None else self.known.state.replicas
        for address in self.contacts.due(now_s, replicas):
            message = Ping(self.me.identity, self.me.address, mine)
            self._call(address, message, PING_TIMEOUT_S, _PingCall(address))

    def _call(self, address: str, message: Request, timeout_s: float, purpose: _Purpose) -> None:
        self._numbers += 1
        self._calls[self._numbers] = purpose
        self._out.append(Call(self._numbers, address, message, timeout_s))
