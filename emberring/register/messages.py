"""What replicas and proposers of the register say to one another.

Calls to a replica name the identity that they mean; a replica with another identity answers `Stranger`.
"""

from __future__ import annotations

import attrs

from emberring.register.model import Proposal, ProposalNumber, State
from emberring.transport.messages import message


@message("register.prepare")
@attrs.frozen
class Prepare:
    """Promise to take no older ballot, and say what was accepted. `known` is a ballot whose state the caller has."""

    target: str
    ballot: ProposalNumber
    known: ProposalNumber | None = None


@message("register.promise")
@attrs.frozen
class Promise:
    """The promise, with the newest ballot accepted; its state is left out where the caller has it."""

    identity: str
    ballot: ProposalNumber
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.accept")
@attrs.frozen
class Accept:
    """Accept this state under this ballot."""

    target: str
    ballot: ProposalNumber
    state: State


@message("register.accepted")
@attrs.frozen
class Accepted:
    """It lies on this replica's disk."""

    identity: str
    ballot: ProposalNumber


@message("register.refuse")
@attrs.frozen
class Refuse:
    """A newer ballot has been promised here."""

    identity: str
    promised: ProposalNumber


@message("register.stranger")
@attrs.frozen
class Stranger:
    """The replica that was meant is not the one at this address."""

    identity: str


@message("register.query")
@attrs.frozen
class Query:
    """Say what was accepted, without a promise."""

    target: str
    known: ProposalNumber | None = None


@message("register.held")
@attrs.frozen
class Held:
    """What a replica's disk holds; its state is left out where the caller has it."""

    identity: str
    accepted: ProposalNumber | None = None
    state: State | None = None


@message("register.ping")
@attrs.frozen
class Ping:
    """Are you there? `learned` is the newest ballot that the caller knows to be chosen."""

    identity: str
    address: str
    learned: ProposalNumber | None = None


@message("register.pong")
@attrs.frozen
class Pong:
    """Yes. `voting` is false while the disk refuses or stalls."""

    identity: str
    learned: ProposalNumber | None = None
    voting: bool = True


@message("register.fetch")
@attrs.frozen
class Fetch:
    """Send the newest proposal that you know to be chosen."""


@message("register.fetched")
@attrs.frozen
class Fetched:
    """That proposal, or None."""

    proposal: Proposal | None = None


@message("register.chosen")
@attrs.frozen
class Chosen:
    """A hint that the proposal of this ballot is chosen; the sender's internal address has it."""

    ballot: ProposalNumber
    address: str


Request = Prepare | Accept | Query | Ping | Fetch | Chosen
Answer = Promise | Accepted | Refuse | Stranger | Held | Pong | Fetched
