"""The register's data: proposal numbers, replicas by identity, replica sets, and the replicated state."""

from __future__ import annotations

import attrs

from emberring.transport.messages import wire_record


@attrs.frozen(order=False)
class ProposalNumber:
    """The number of one attempt of a proposer.

    Counters order the numbers; the proposer's name, which is new at each start, makes each one unique.
    """

    counter: int
    proposer: str

    def __lt__(self, other: ProposalNumber) -> bool:
        if self.counter != other.counter:
            return self.counter < other.counter
        return self.proposer < other.proposer

    def __gt__(self, other: ProposalNumber) -> bool:
        return other < self

    def __le__(self, other: ProposalNumber) -> bool:
        return not other < self

    def __ge__(self, other: ProposalNumber) -> bool:
        return not self < other


INITIAL_NUMBER = ProposalNumber(0, "")
"""The number of the initial proposal, lower than that of any attempt."""


@attrs.frozen
class Member:
    """A replica: the identity created with its disk, and the internal address at which it was last known."""

    identity: str
    address: str


@attrs.frozen
class ReplicaSet:
    """The replicas of the register.

    While `joining` is not empty, a reconfiguration to that set is in progress, and every quorum is a majority of
    `members` and a majority of `joining`. The epoch rises with each step of a reconfiguration.
    """

    epoch: int
    members: tuple[Member, ...]
    joining: tuple[Member, ...] = ()

    @property
    def quorum_sets(self) -> tuple[frozenset[str], ...]:
        """The sets of identities of which a majority each is needed."""
        sets = [frozenset(member.identity for member in self.members)]
        if self.joining:
            sets.append(frozenset(member.identity for member in self.joining))
        return tuple(sets)

    @property
    def all_members(self) -> tuple[Member, ...]:
        """All replicas, the joining ones included, each once."""
        found = {member.identity: member for member in (*self.members, *self.joining)}
        return tuple(found.values())

    def includes(self, identity: str) -> bool:
        """Whether a replica with this identity is a member or joining."""
        return any(member.identity == identity for member in self.all_members)

    def has_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum."""
        return all(2 * len(group & identities) > len(group) for group in self.quorum_sets)


@attrs.frozen
class State:
    """What a replica accepts as one unit: the replica set and the value (None before the first change)."""

    replicas: ReplicaSet
    payload: bytes | None = None


@wire_record({"number": "ballot"})
@attrs.frozen
class Proposal:
    """A state under the number of the attempt that proposed it. No two proposals share a number."""

    number: ProposalNumber
    state: State


def initial_identity(address: str) -> str:
    """Return the identity of the initial replica at an internal address. Its text is part of records on disk."""
    return f"founder:{address}"


def initial_proposal(addresses: tuple[str, ...]) -> Proposal:
    """Return the first proposal: all initial replicas have it from the start, so it is committed."""
    members = tuple(Member(initial_identity(address), address) for address in dict.fromkeys(addresses))
    return Proposal(INITIAL_NUMBER, State(ReplicaSet(0, members)))
