"""Concurrent attempts of several proposers; messages are delayed, duplicated, reordered or lost."""

from __future__ import annotations

import itertools

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from emberring.register.acceptor import Acceptor, AcceptorResponse
from emberring.register.messages import Accept, Prepare, Query
from emberring.register.model import Member, Proposal, ProposalNumber, ReplicaSet, State, initial_proposal
from emberring.register.proposer import Phase, ProposalAttempt, Send

ADDRESSES = ("a", "b", "c")
SPARES = ("d", "e")


@attrs.frozen(eq=False)
class InFlightMessage:
    """A message in flight: a call to a replica, or its reply."""

    attempt: ProposalAttempt
    send: Send
    reply: object | None = None


class AttemptsMachine(RuleBasedStateMachine):
    """Each attempt appends its counter to the value, and may make a reconfiguration step."""

    @initialize()
    def begin(self) -> None:
        initial = initial_proposal(ADDRESSES)
        self.members = {member.address: member for member in initial.state.replicas.members}
        self.members.update({address: Member(address, address) for address in SPARES})
        self.acceptors = {
            member.identity: Acceptor(member.identity, initial if address in ADDRESSES else None)
            for address, member in self.members.items()
        }
        self.durable = {identity: [acceptor.snapshot()] for identity, acceptor in self.acceptors.items()}
        self.in_flight: list[InFlightMessage] = []
        self.attempts: list[ProposalAttempt] = []
        self.counter = 0
        self.known = initial
        self.committed: dict[ProposalNumber, Proposal] = {initial.number: initial}

    @rule(
        replacement=st.sampled_from([None, ("a", "d"), ("b", "e"), ("c", "d"), ("d", "a"), ("e", "c")]),
        fresh=st.booleans(),
    )
    def propose(self, replacement: tuple[str, str] | None, fresh: bool) -> None:
        self.counter += 1
        number = self.counter
        known = self.known if fresh else self.committed[min(self.committed)]

        def decide(found: Proposal, committed: bool) -> State:
            replicas = self.step(found.state.replicas, replacement, committed)
            return State(replicas, (found.state.payload or b"") + b"%d " % number)

        attempt = ProposalAttempt(ProposalNumber(number, f"p{number}"), known, decide)
        self.attempts.append(attempt)
        self.transmit(attempt, attempt.start(known.state.replicas.all_members))

    def step(self, replicas: ReplicaSet, replacement: tuple[str, str] | None, committed: bool) -> ReplicaSet:
        if replacement is None:
            return replicas
        if replicas.joining:
            return ReplicaSet(replicas.epoch + 1, replicas.joining) if committed else replicas
        outgoing, successor = self.members[replacement[0]], self.members[replacement[1]]
        if outgoing not in replicas.members or successor in replicas.members:
            return replicas
        joining = tuple(successor if member == outgoing else member for member in replicas.members)
        return ReplicaSet(replicas.epoch + 1, replicas.members, joining)

    def transmit(self, attempt: ProposalAttempt, sends: list[Send]) -> None:
        self.in_flight += [InFlightMessage(attempt, send) for send in sends]

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 10**6), duplicate=st.booleans(), lost=st.integers(0, 9))
    def deliver(self, pick: int, duplicate: bool, lost: int) -> None:
        index = pick % len(self.in_flight)
        message = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        if lost == 0:
            return
        if message.reply is None:
            self.in_flight.append(attrs.evolve(message, reply=self.reply_of(message.send)))
            return
        self.transmit(message.attempt, message.attempt.on_reply(message.send.member, message.reply))
        self.record_outcome(message.attempt)

    @precondition(lambda self: self.in_flight)
    @rule(picks=st.lists(st.integers(0, 10**6), min_size=5, max_size=20))
    def deliver_many(self, picks: list[int]) -> None:
        for pick in picks:
            if self.in_flight:
                self.deliver(pick, False, 1)

    def reply_of(self, send: Send) -> object:
        """Return the replica's reply after persisting its record."""
        acceptor = self.acceptors[send.member.identity]
        message = send.message
        response: AcceptorResponse
        match message:
            case Prepare():
                response = acceptor.prepare(message)
            case Accept():
                response = acceptor.accept(message)
            case Query():
                response = acceptor.query(message)
        if response.record is not None:
            self.durable[send.member.identity].append(response.record)
        return response.reply

    def record_outcome(self, attempt: ProposalAttempt) -> None:
        if attempt.phase is Phase.COMMITTED and attempt.outcome is not None:
            found = self.committed.setdefault(attempt.outcome.number, attempt.outcome)
            assert found == attempt.outcome
            self.known = max(self.known, attempt.outcome, key=lambda proposal: proposal.number)

    @rule(address=st.sampled_from([*ADDRESSES, *SPARES]))
    def restart(self, address: str) -> None:
        identity = self.members[address].identity
        acceptor = Acceptor("")
        for record in self.durable[identity]:
            acceptor.restore(record)
        assert acceptor.promised == self.acceptors[identity].promised
        assert acceptor.accepted == self.acceptors[identity].accepted
        self.acceptors[identity] = acceptor

    @rule(address=st.sampled_from([*ADDRESSES, *SPARES]))
    def learn(self, address: str) -> None:
        """Install the newest committed proposal at a replica."""
        identity = self.members[address].identity
        record = self.acceptors[identity].install(self.known)
        if record is not None:
            self.durable[identity].append(record)

    @invariant()
    def committed_proposals_form_one_history(self) -> None:
        if not hasattr(self, "committed"):
            return
        in_order = [self.committed[number] for number in sorted(self.committed)]
        for before, after in itertools.pairwise(in_order):
            assert (after.state.payload or b"").startswith(before.state.payload or b"")
            assert after.state.replicas.epoch >= before.state.replicas.epoch


AttemptsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, suppress_health_check=list(HealthCheck)
)
TestAttempts = AttemptsMachine.TestCase
