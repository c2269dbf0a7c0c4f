"""The register's data types: proposal numbers, replicas, replica sets, and the replicated state."""

from __future__ import annotations

import attrs

from emberring.transport.messages import wire_record


@attrs.frozen(order=False)
class ProposalNumber:
    """The number of one attempt of a proposer.

    Numbers are ordered by counter, then by proposer. A proposer's name is new at each start, so numbers are unique.
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
    """A replica: the identity that was created with its journal, and its last known internal address."""

    identity: str
    address: str


@attrs.frozen
class ReplicaSet:
    """The replicas of the register.

    While `joining` is not empty, a reconfiguration to that set is in progress, and a quorum needs both a majority of
    `members` and a majority of `joining`. Each step of a reconfiguration increases the epoch.
    """

    epoch: int
    members: tuple[Member, ...]
    joining: tuple[Member, ...] = ()

    @property
    def quorum_sets(self) -> tuple[frozenset[str], ...]:
        """The sets of identities; a quorum needs a majority of each."""
        sets = [frozenset(member.identity for member in self.members)]
        if self.joining:
            sets.append(frozenset(member.identity for member in self.joining))
        return tuple(sets)

    @property
    def all_members(self) -> tuple[Member, ...]:
        """All replicas, including the joining ones, without duplicates."""
        member_by_identity = {member.identity: member for member in (*self.members, *self.joining)}
        return tuple(member_by_identity.values())

    def includes(self, identity: str) -> bool:
        """Whether a replica with this identity is a member or joining."""
        return any(member.identity == identity for member in self.all_members)

    def has_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum."""
        return all(2 * len(group & identities) > len(group) for group in self.quorum_sets)


@attrs.frozen
class State:
    """The state that replicas accept atomically: the replica set and the value (None before the first change)."""

    replicas: ReplicaSet
    payload: bytes | None = None


@wire_record({"number": "ballot"})
@attrs.frozen
class Proposal:
    """A state and the number of the attempt that proposed it. Each proposal has a unique number."""

    number: ProposalNumber
    state: State


def initial_identity(address: str) -> str:
    """Return the identity of the initial replica at an internal address. Records on disk contain this string."""
    return f"founder:{address}"


def initial_proposal(addresses: tuple[str, ...]) -> Proposal:
    """Return the initial proposal. It counts as committed, because all initial replicas start with it."""
    members = tuple(Member(initial_identity(address), address) for address in dict.fromkeys(addresses))
    return Proposal(INITIAL_NUMBER, State(ReplicaSet(0, members)))
