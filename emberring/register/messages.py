"""Messages between replicas and proposers of the register.

A message to a replica names the identity that it is meant for; a replica with another identity answers
`UnknownReplica`. A reply that would carry a state leaves it out where the caller named its number in `known`.
"""

from __future__ import annotations

import attrs

from emberring.register.model import Proposal, ProposalNumber, State
from emberring.transport.messages import message

_NUMBER_KEY = {"number": "ballot"}
"""The JSON key under which nodes of every version read and write the proposal number of a message."""


@message("register.prepare", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Prepare:
    """Ask for a promise to accept no lower proposal number, and for the proposal accepted last."""

    target: str
    number: ProposalNumber
    known: ProposalNumber | None = None


@message("register.promise", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Promise:
    """Promise, with the number and the state of the proposal accepted last."""

    identity: str
    number: ProposalNumber
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.accept", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Accept:
    """Ask to accept this state under this proposal number."""

    target: str
    number: ProposalNumber
    state: State


@message("register.accepted", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Accepted:
    """Confirm that the proposal is accepted and on this replica's disk."""

    identity: str
    number: ProposalNumber


@message("register.refuse")
@attrs.frozen
class Rejected:
    """Reject a prepare or an accept: this replica has promised a higher proposal number."""

    identity: str
    promised: ProposalNumber


@message("register.stranger")
@attrs.frozen
class UnknownReplica:
    """Answer that the replica at this address has another identity than the one that was meant."""

    identity: str


@message("register.query")
@attrs.frozen
class Query:
    """Ask for the proposal accepted last, without a promise."""

    target: str
    known: ProposalNumber | None = None


@message("register.held")
@attrs.frozen
class StateReport:
    """Answer a query: the number and the state of the proposal that the replica's disk holds."""

    identity: str
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.ping")
@attrs.frozen
class Ping:
    """Ask whether a node is alive. `learned` is the newest proposal number that the caller knows to be committed."""

    identity: str
    address: str
    learned: ProposalNumber | None = None


@message("register.pong")
@attrs.frozen
class Pong:
    """Answer a ping. `voting` is false while the disk fails or stalls."""

    identity: str
    learned: ProposalNumber | None = None
    voting: bool = True


@message("register.fetch")
@attrs.frozen
class FetchCommitted:
    """Ask for the newest proposal that the other node knows to be committed."""


@message("register.fetched")
@attrs.frozen
class CommittedProposal:
    """Answer `FetchCommitted`; None where the node knows of no committed proposal."""

    proposal: Proposal | None = None


@message("register.chosen", wire_keys=_NUMBER_KEY)
@attrs.frozen
class CommittedNotice:
    """Announce that the proposal of this number is committed; the node at `address` can send it."""

    number: ProposalNumber
    address: str


Request = Prepare | Accept | Query | Ping | FetchCommitted | CommittedNotice
"""What a node of the register may be sent."""

Answer = Promise | Accepted | Rejected | UnknownReplica | StateReport | Pong | CommittedProposal
"""What it may answer; a `CommittedNotice` has no answer."""
