"""Attempts of several proposers over the replicas, every message delivered late, twice, in any order or never."""

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
class Flight:
    """A message under way: a call to a replica, or its reply."""

    attempt: ProposalAttempt
    send: Send
    reply: object | None = None


class AttemptsMachine(RuleBasedStateMachine):
    """Each attempt adds its counter to the value, or takes a step of a change of the set."""

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
        self.flights: list[Flight] = []
        self.attempts: list[ProposalAttempt] = []
        self.counter = 0
        self.known = initial
        self.committed: dict[ProposalNumber, Proposal] = {initial.number: initial}

    @rule(
        swap=st.sampled_from([None, ("a", "d"), ("b", "e"), ("c", "d"), ("d", "a"), ("e", "c")]),
        fresh=st.booleans(),
    )
    def propose(self, swap: tuple[str, str] | None, fresh: bool) -> None:
        self.counter += 1
        number = self.counter
        known = self.known if fresh else self.committed[min(self.committed)]

        def decide(found: Proposal, committed: bool) -> State:
            replicas = self.step(found.state.replicas, swap, committed)
            return State(replicas, (found.state.payload or b"") + b"%d " % number)

        attempt = ProposalAttempt(ProposalNumber(number, f"p{number}"), known, decide)
        self.attempts.append(attempt)
        self.launch(attempt, attempt.start(known.state.replicas.all_members))

    def step(self, replicas: ReplicaSet, swap: tuple[str, str] | None, committed: bool) -> ReplicaSet:
        if swap is None:
            return replicas
        if replicas.joining:
            return ReplicaSet(replicas.epoch + 1, replicas.joining) if committed else replicas
        out, into = self.members[swap[0]], self.members[swap[1]]
        if out not in replicas.members or into in replicas.members:
            return replicas
        joining = tuple(into if member == out else member for member in replicas.members)
        return ReplicaSet(replicas.epoch + 1, replicas.members, joining)

    def launch(self, attempt: ProposalAttempt, sends: list[Send]) -> None:
        self.flights += [Flight(attempt, send) for send in sends]

    @precondition(lambda self: self.flights)
    @rule(pick=st.integers(0, 10**6), again=st.booleans(), lost=st.integers(0, 9))
    def deliver(self, pick: int, again: bool, lost: int) -> None:
        index = pick % len(self.flights)
        flight = self.flights[index] if again else self.flights.pop(index)
        if lost == 0:
            return
        if flight.reply is None:
            self.flights.append(attrs.evolve(flight, reply=self.judge(flight.send)))
            return
        self.launch(flight.attempt, flight.attempt.on_reply(flight.send.member, flight.reply))
        self.take_outcome(flight.attempt)

    @precondition(lambda self: self.flights)
    @rule(picks=st.lists(st.integers(0, 10**6), min_size=5, max_size=20))
    def deliver_many(self, picks: list[int]) -> None:
        for pick in picks:
            if self.flights:
                self.deliver(pick, False, 1)

    def judge(self, send: Send) -> object:
        """The replica's answer; what it must keep is on its disk before that."""
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

    def take_outcome(self, attempt: ProposalAttempt) -> None:
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
        """Somebody tells a replica the newest committed proposal."""
        identity = self.members[address].identity
        record = self.acceptors[identity].install(self.known)
        if record is not None:
            self.durable[identity].append(record)

    @invariant()
    def committed_ones_are_one_history(self) -> None:
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
