"""One attempt of a proposer, and one quorum read: their recipients, quorum checks and outcomes.

Sans-I/O. Quorum rule: the replica set of the newest proposal among the replies determines which majorities must have
replied, and a new state needs the majorities of its own replica set. A replica set may be dropped from the state only
if the state that contains it is known to be committed. `docs/design/register.md` has the proof.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum

import attrs

from emberring.register.messages import Accept, Accepted, Prepare, Promise, Query, Rejected, StateReport
from emberring.register.model import Member, Proposal, ProposalNumber, State


class Phase(Enum):
    """The phase of an attempt."""

    PREPARING = "preparing"
    ACCEPTING = "accepting"
    COMMITTED = "chosen"
    FAILED = "failed"


@attrs.frozen
class Send:
    """A message to send to a replica."""

    member: Member
    message: Prepare | Accept | Query


Decide = Callable[[Proposal, bool], State]
"""Maps the newest proposal found, and whether it is known to be committed, to the state to propose."""


class _QuorumReplies:
    """Collects replies: the proposal number that each replica reported, and the newest proposal among them."""

    def __init__(self, known: Proposal | None) -> None:
        self._known = known
        self.numbers: dict[str, ProposalNumber | None] = {}
        self.newest: Proposal | None = None

    @property
    def known_number(self) -> ProposalNumber | None:
        return None if self._known is None else self._known.number

    def add(self, identity: str, number: ProposalNumber | None, state: State | None) -> bool:
        """Add a replica's reply; an omitted state (None) is that of the known proposal.

        Return False, without adding it, if the omitted state is not the known one.
        """
        if number is not None:
            if state is None:
                if self._known is None or self._known.number != number:
                    return False
                state = self._known.state
            if self.newest is None or number > self.newest.number:
                self.newest = Proposal(number, state)
        self.numbers[identity] = number
        return True

    @property
    def complete(self) -> bool:
        """Whether a quorum has replied, by the replica set of the newest proposal among the replies."""
        return self.newest is not None and self.newest.state.replicas.has_quorum(frozenset(self.numbers))

    @property
    def committed(self) -> bool:
        """Whether a quorum has accepted the newest proposal among the replies."""
        if self.newest is None:
            return False
        accepted_by = frozenset(name for name, number in self.numbers.items() if number == self.newest.number)
        return self.newest.state.replicas.has_quorum(accepted_by)


class _Recipients:
    """The replicas that a message was sent to, and those from which no useful reply can arrive any more."""

    def __init__(self) -> None:
        self.sent: dict[str, Member] = {}
        self.failed: set[str] = set()

    def add(self, members: Iterable[Member]) -> list[Member]:
        """Mark replicas as sent to, and return those that were not sent to before."""
        unsent = [member for member in members if member.identity not in self.sent]
        self.sent.update((member.identity, member) for member in unsent)
        return unsent

    def cannot_reach_quorum(self, state: State) -> bool:
        """Whether the replicas that have not failed are too few for a quorum of this state's replica set."""
        all_members = frozenset(member.identity for member in state.replicas.all_members)
        return not state.replicas.has_quorum(all_members - self.failed)


class ProposalAttempt:
    """One attempt to commit a state: prepare, decide, accept.

    Attributes:
        number: its proposal number.
        phase: its current phase.
        outcome: the committed proposal, in phase `COMMITTED`.
        proposed: the new state in the accept messages; None if there are none.
        rejected_by: the highest promised proposal number among the rejections of this attempt.
    """

    def __init__(self, number: ProposalNumber, known: Proposal | None, decide: Decide) -> None:
        self.number = number
        self.phase = Phase.PREPARING
        self.outcome: Proposal | None = None
        self.rejected_by: ProposalNumber | None = None
        self._known = known
        self._decide = decide
        self._replies = _QuorumReplies(known)
        self._recipients = _Recipients()
        self._accepted: set[str] = set()
        self.proposed: State | None = None

    @property
    def accept_sent(self) -> bool:
        """Whether accept messages were sent, so that a replica may have accepted the new state."""
        return self.proposed is not None

    def start(self, members: Iterable[Member]) -> list[Send]:
        """Return the prepare messages to send to these replicas."""
        return [self._prepare(member) for member in self._recipients.add(members)]

    def on_reply(self, member: Member, reply: object) -> list[Send]:
        """Handle a replica's reply (None if there was none), and return the messages to send next.

        Any reply other than a promise or an acceptance counts as a failure of that replica.
        """
        if isinstance(reply, Promise) and reply.identity == member.identity and reply.number == self.number:
            if self.phase is not Phase.PREPARING:
                return []
            if self._replies.add(reply.identity, reply.accepted, reply.state):
                return self._on_promise()
        if isinstance(reply, Accepted) and reply.identity == member.identity and reply.number == self.number:
            self._on_accepted(reply)
            return []
        if isinstance(reply, Rejected) and (self.rejected_by is None or reply.promised > self.rejected_by):
            self.rejected_by = reply.promised
        if self.phase in (Phase.PREPARING, Phase.ACCEPTING):
            self._on_failure(member)
        return []

    def _prepare(self, member: Member) -> Send:
        return Send(member, Prepare(member.identity, self.number, self._replies.known_number))

    def _on_promise(self) -> list[Send]:
        newest = self._replies.newest
        if newest is None:
            return []
        if not self._replies.complete:
            return [
                self._prepare(member) for member in self._recipients.add(newest.state.replicas.all_members)
            ]
        return self._propose(newest)

    def _propose(self, base: Proposal) -> list[Send]:
        committed = self._replies.committed
        state = self._decide(base, committed)
        if committed and state == base.state:
            self.phase, self.outcome = Phase.COMMITTED, base
            return []
        if not committed and not set(state.replicas.quorum_sets) >= set(base.state.replicas.quorum_sets):
            raise AssertionError(
                "the proposal drops a replica set of a state that is not known to be committed"
            )
        self.phase, self.proposed = Phase.ACCEPTING, state
        self._recipients.failed.clear()
        return [
            Send(member, Accept(member.identity, self.number, state)) for member in state.replicas.all_members
        ]

    def _on_accepted(self, reply: Accepted) -> None:
        self._accepted.add(reply.identity)
        if self.phase is not Phase.ACCEPTING or self.proposed is None:
            return
        if self.proposed.replicas.has_quorum(frozenset(self._accepted)):
            self.phase, self.outcome = Phase.COMMITTED, Proposal(self.number, self.proposed)

    def _on_failure(self, member: Member) -> None:
        self._recipients.failed.add(member.identity)
        if self.phase is Phase.PREPARING:
            basis = self._replies.newest or self._known
            all_failed = set(self._recipients.sent) <= self._recipients.failed
            if all_failed or (basis is not None and self._recipients.cannot_reach_quorum(basis.state)):
                self.phase = Phase.FAILED
        elif self.proposed is not None and self._recipients.cannot_reach_quorum(self.proposed):
            self.phase = Phase.FAILED


class QuorumRead:
    """A read without a proposal: it succeeds if the replies of a quorum show which proposal is committed."""

    def __init__(self, known: Proposal | None) -> None:
        self._known = known
        self._replies = _QuorumReplies(known)
        self._recipients = _Recipients()
        self.finished = False

    @property
    def committed(self) -> Proposal | None:
        """The committed proposal, or None if the replies so far do not show it."""
        return self._replies.newest if self._replies.complete and self._replies.committed else None

    @property
    def highest(self) -> ProposalNumber | None:
        """The highest proposal number among the replies."""
        return None if self._replies.newest is None else self._replies.newest.number

    def start(self, members: Iterable[Member]) -> list[Send]:
        """Return the queries to send to these replicas."""
        return [self._query(member) for member in self._recipients.add(members)]

    def on_reply(self, member: Member, reply: object) -> list[Send]:
        """Handle a replica's reply (None if there was none), and return the queries to send next."""
        if not self._add_report(member, reply):
            self._recipients.failed.add(member.identity)
        newest = self._replies.newest
        sends = [] if newest is None else self.start(newest.state.replicas.all_members)
        resolved = set(self._replies.numbers) | self._recipients.failed
        self.finished = self.committed is not None or resolved >= set(self._recipients.sent)
        return sends

    def _add_report(self, member: Member, reply: object) -> bool:
        if not isinstance(reply, StateReport) or reply.identity != member.identity:
            return False
        return self._replies.add(reply.identity, reply.accepted, reply.state)

    def _query(self, member: Member) -> Send:
        return Send(member, Query(member.identity, self._replies.known_number))
