"""One ballot of a proposer, and one query: who is asked, when a quorum has answered, what was found.

Sans-I/O. The rule of quorums: what was found (the newest proposal among the answers) says by its own replica set
which majorities must have answered; a new state needs the majorities of its own set. A set may leave the state only
if the state that it leaves is known to be chosen. `docs/design/register.md` has the proof.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

import attrs

from emberring.register.messages import Accept, Accepted, Held, Prepare, Promise, Query, Refuse
from emberring.register.model import Member, Proposal, ProposalNumber, State


class Phase(Enum):
    """Where a ballot stands."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    CHOSEN = "chosen"
    FAILED = "failed"


@attrs.frozen
class Send:
    """A call to a replica."""

    member: Member
    message: Prepare | Accept | Query


Decide = Callable[[Proposal, bool], State]
"""From the proposal found, and whether it is known to be chosen, to the state to propose."""


class _Answers:
    """The newest proposal among answers, and who answered with what."""

    def __init__(self, known: Proposal | None) -> None:
        self._known = known
        self.ballots: dict[str, ProposalNumber | None] = {}
        self.newest: Proposal | None = None

    @property
    def known_ballot(self) -> ProposalNumber | None:
        return None if self._known is None else self._known.ballot

    def take(self, identity: str, ballot: ProposalNumber | None, state: State | None) -> None:
        """Take in an answer; a state that was left out is the one known."""
        if ballot is not None:
            if state is None:
                assert self._known is not None
                assert self._known.ballot == ballot
                state = self._known.state
            if self.newest is None or ballot > self.newest.ballot:
                self.newest = Proposal(ballot, state)
        self.ballots[identity] = ballot

    @property
    def complete(self) -> bool:
        """Whether those who answered are a quorum of what they hold."""
        return self.newest is not None and self.newest.state.replicas.has_quorum(frozenset(self.ballots))

    @property
    def chosen(self) -> bool:
        """Whether a quorum holds the newest one."""
        if self.newest is None:
            return False
        holders = frozenset(name for name, ballot in self.ballots.items() if ballot == self.newest.ballot)
        return self.newest.state.replicas.has_quorum(holders)


class _Asking:
    """Whom a round has asked, and who can answer no more."""

    def __init__(self) -> None:
        self.asked: dict[str, Member] = {}
        self.lost: set[str] = set()

    def more(self, members: Iterable[Member]) -> list[Member]:
        """Those not asked yet, who count as asked from here on."""
        fresh = [member for member in members if member.identity not in self.asked]
        self.asked.update((member.identity, member) for member in fresh)
        return fresh

    def hopeless(self, state: State) -> bool:
        """Whether those left are no quorum of this state's replicas."""
        everyone = frozenset(member.identity for member in state.replicas.everyone)
        return not state.replicas.has_quorum(everyone - self.lost)


class ProposalAttempt:
    """One ballot: prepare, decide, accept. `outcome` is what was chosen, once the phase says so."""

    def __init__(self, ballot: ProposalNumber, known: Proposal | None, decide: Decide) -> None:
        self.ballot = ballot
        self.phase = Phase.PREPARING
        self.outcome: Proposal | None = None
        self.refused_by: ProposalNumber | None = None
        self._known = known
        self._decide = decide
        self._answers = _Answers(known)
        self._asking = _Asking()
        self._accepted: set[str] = set()
        self._proposed: State | None = None

    @property
    def sent_accept(self) -> bool:
        """Whether a new state may have been accepted somewhere."""
        return self._proposed is not None

    def start(self, members: Iterable[Member]) -> list[Send]:
        """Ask these replicas for promises."""
        return [self._prepare(member) for member in self._asking.more(members)]

    def on_reply(self, member: Member, reply: object) -> list[Send]:
        """Take in a replica's reply; anything but a promise or an acceptance (None: no reply) loses it."""
        if isinstance(reply, Promise) and reply.identity == member.identity and reply.ballot == self.ballot:
            return self._promised(reply) if self.phase is Phase.PREPARING else []
        if isinstance(reply, Accepted) and reply.identity == member.identity and reply.ballot == self.ballot:
            self._take_accepted(reply)
            return []
        if isinstance(reply, Refuse) and (self.refused_by is None or reply.promised > self.refused_by):
            self.refused_by = reply.promised
        if self.phase in (Phase.PREPARING, Phase.ACCEPTING):
            self._lose(member)
        return []

    def _prepare(self, member: Member) -> Send:
        return Send(member, Prepare(member.identity, self.ballot, self._answers.known_ballot))

    def _promised(self, promise: Promise) -> list[Send]:
        self._answers.take(promise.identity, promise.accepted, promise.state)
        newest = self._answers.newest
        if newest is None:
            return []
        if not self._answers.complete:
            return [self._prepare(member) for member in self._asking.more(newest.state.replicas.everyone)]
        return self._propose(newest)

    def _propose(self, found: Proposal) -> list[Send]:
        chosen = self._answers.chosen
        state = self._decide(found, chosen)
        if chosen and state == found.state:
            self.phase, self.outcome = Phase.CHOSEN, found
            return []
        if not chosen and not set(state.replicas.quorum_sets) >= set(found.state.replicas.quorum_sets):
            raise AssertionError("a set of replicas left a state that is not known to be chosen")
        self.phase, self._proposed = Phase.ACCEPTING, state
        self._asking.lost.clear()
        return [
            Send(member, Accept(member.identity, self.ballot, state)) for member in state.replicas.everyone
        ]

    def _take_accepted(self, reply: Accepted) -> None:
        self._accepted.add(reply.identity)
        if self.phase is not Phase.ACCEPTING or self._proposed is None:
            return
        if self._proposed.replicas.has_quorum(frozenset(self._accepted)):
            self.phase, self.outcome = Phase.CHOSEN, Proposal(self.ballot, self._proposed)

    def _lose(self, member: Member) -> None:
        self._asking.lost.add(member.identity)
        if self.phase is Phase.PREPARING:
            basis = self._answers.newest or self._known
            nobody_left = set(self._asking.asked) <= self._asking.lost
            if nobody_left or (basis is not None and self._asking.hopeless(basis.state)):
                self.phase = Phase.FAILED
        elif self._proposed is not None and self._asking.hopeless(self._proposed):
            self.phase = Phase.FAILED


class QuorumRead:
    """A read without a ballot: `chosen` is what a quorum holds, or None while, or where, that is not plain."""

    def __init__(self, known: Proposal | None) -> None:
        self._known = known
        self._answers = _Answers(known)
        self._asking = _Asking()
        self.finished = False

    @property
    def chosen(self) -> Proposal | None:
        """What a quorum holds, if its answers show it."""
        return self._answers.newest if self._answers.complete and self._answers.chosen else None

    @property
    def highest(self) -> ProposalNumber | None:
        """The newest ballot seen."""
        return None if self._answers.newest is None else self._answers.newest.ballot

    def start(self, members: Iterable[Member]) -> list[Send]:
        """Ask these replicas."""
        return [self._query(member) for member in self._asking.more(members)]

    def on_reply(self, member: Member, reply: object) -> list[Send]:
        """Take in a replica's reply (None: no reply)."""
        if not isinstance(reply, Held) or reply.identity != member.identity:
            self._asking.lost.add(member.identity)
        else:
            self._answers.take(reply.identity, reply.accepted, reply.state)
        newest = self._answers.newest
        sends = [] if newest is None else self.start(newest.state.replicas.everyone)
        heard = set(self._answers.ballots) | self._asking.lost
        self.finished = self.chosen is not None or heard >= set(self._asking.asked)
        return sends

    def _query(self, member: Member) -> Send:
        return Send(member, Query(member.identity, self._answers.known_ballot))
