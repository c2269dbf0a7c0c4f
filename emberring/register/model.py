"""What the register is made of: ballots, replicas by identity, sets of replicas, the state that they keep."""

from __future__ import annotations

import attrs


@attrs.frozen(order=False)
class ProposalNumber:
    """A proposer's attempt. Counters order them; a proposer's name, new at each start, makes each one unique."""

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


GENESIS = ProposalNumber(0, "")


@attrs.frozen
class Member:
    """A replica by the identity that was born with its disk, and the internal address where it was last known."""

    identity: str
    address: str


@attrs.frozen
class ReplicaSet:
    """Who keeps the register. While `joining` is not empty, a change to that set is under way, and every quorum is
    a majority of `members` and one of `joining` too. The epoch rises with each step of a change."""

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
    def everyone(self) -> tuple[Member, ...]:
        """All replicas, those joining too, each once."""
        found = {member.identity: member for member in (*self.members, *self.joining)}
        return tuple(found.values())

    def names(self, identity: str) -> bool:
        """Whether this replica is one of them."""
        return any(member.identity == identity for member in self.everyone)

    def has_quorum(self, identities: frozenset[str]) -> bool:
        """Whether these replicas are a quorum."""
        return all(2 * len(group & identities) > len(group) for group in self.quorum_sets)


@attrs.frozen
class State:
    """What a replica accepts as a whole: who keeps the register, and its value (None before the first change)."""

    replicas: ReplicaSet
    payload: bytes | None = None


@attrs.frozen
class Proposal:
    """A state under the ballot of its proposer. No two proposals share a ballot."""

    ballot: ProposalNumber
    state: State


def founding_identity(address: str) -> str:
    """The identity of the founder at an internal address."""
    return f"founder:{address}"


def founding_proposal(addresses: tuple[str, ...]) -> Proposal:
    """The first proposal, which every founder holds from the start and which therefore counts as chosen."""
    members = tuple(Member(founding_identity(address), address) for address in dict.fromkeys(addresses))
    return Proposal(GENESIS, State(ReplicaSet(0, members)))
