"""Messages between replicas and proposers of the register.

A message to a replica contains the identity of its target; a replica with another identity replies `UnknownReplica`.
A reply omits the state if its number is the one that the caller already has, which the call gives in `known`.
"""

from __future__ import annotations

import attrs

from emberring.register.model import Proposal, ProposalNumber, State
from emberring.transport.messages import message

_NUMBER_KEY = {"number": "ballot"}
"""The JSON key that nodes of every version use for the proposal number of a message."""


@message("register.prepare", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Prepare:
    """Request a promise to accept no lower proposal number, and the proposal accepted last."""

    target: str
    number: ProposalNumber
    known: ProposalNumber | None = None


@message("register.promise", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Promise:
    """The promise, with the number and the state of the proposal accepted last."""

    identity: str
    number: ProposalNumber
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.accept", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Accept:
    """Request the acceptance of this state with this proposal number."""

    target: str
    number: ProposalNumber
    state: State


@message("register.accepted", wire_keys=_NUMBER_KEY)
@attrs.frozen
class Accepted:
    """Confirm that the proposal is accepted and persisted on this replica's disk."""

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
    """Report that the replica at this address does not have the identity of the call's target."""

    identity: str


@message("register.query")
@attrs.frozen
class Query:
    """Request the proposal accepted last, without a promise."""

    target: str
    known: ProposalNumber | None = None


@message("register.held")
@attrs.frozen
class StateReport:
    """Reply to a query: the number and the state of the proposal accepted last, as persisted on the replica's disk."""

    identity: str
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.ping")
@attrs.frozen
class Ping:
    """Check that a node is alive. `learned` is the newest proposal number that the caller knows to be committed."""

    identity: str
    address: str
    learned: ProposalNumber | None = None


@message("register.pong")
@attrs.frozen
class Pong:
    """Reply to a ping. `voting` is false while the replica's disk fails or stalls."""

    identity: str
    learned: ProposalNumber | None = None
    voting: bool = True


@message("register.fetch")
@attrs.frozen
class FetchCommitted:
    """Request the newest proposal that the other node knows to be committed."""


@message("register.fetched")
@attrs.frozen
class CommittedProposal:
    """Reply to `FetchCommitted`; None if the node knows no committed proposal."""

    proposal: Proposal | None = None


@message("register.chosen", wire_keys=_NUMBER_KEY)
@attrs.frozen
class CommittedNotice:
    """Announce that the proposal with this number is committed and can be fetched from the node at `address`."""

    number: ProposalNumber
    address: str


Request = Prepare | Accept | Query | Ping | FetchCommitted | CommittedNotice
"""The messages that a node of the register handles."""

Answer = Promise | Accepted | Rejected | UnknownReplica | StateReport | Pong | CommittedProposal
"""The replies to these messages; a `CommittedNotice` has none."""
