"""Learning which proposals are committed, and the timer that repairs one whose outcome this node does not know."""

from __future__ import annotations

import random

from emberring.register.acceptor import Acceptor
from emberring.register.action_queue import ActionQueue
from emberring.register.events import Learned
from emberring.register.messages import CommittedProposal, FetchCommitted
from emberring.register.model import Proposal, ProposalNumber
from emberring.register.outgoing_calls import OutgoingCalls
from emberring.register.persistence import Persistence

FETCH_TIMEOUT_S = 0.8
"""How long the node that announced a committed proposal has to send it, in seconds."""

SCRUB_AFTER_S = 0.15
"""How long an accepted proposal may stay unconfirmed before this node reads from a quorum, in seconds."""

SCRUB_JITTER_S = 0.1
"""Random addition to `SCRUB_AFTER_S`, in seconds, so that replicas do not all read at once."""


class CatchUp:
    """What this node knows to be committed, and what it has accepted without knowing whether it is.

    Attributes:
        learned: the newest proposal known to be committed; None before the first.
        confirmation_needed: whether an attempt of this node has to find out if the accepted proposal is committed.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        disk: Persistence,
        calls: OutgoingCalls,
        actions: ActionQueue,
        rng: random.Random,
    ) -> None:
        self.learned: Proposal | None = None
        self.confirmation_needed = False
        self._acceptor = acceptor
        self._disk = disk
        self._calls = calls
        self._actions = actions
        self._rng = rng
        self._fetching = False
        self._notified_payload: bytes | None = None
        self._scrub_at_s: float | None = float("-inf")  # due at the first event
        if acceptor.accepted is not None and acceptor.accepted.number.counter == 0:
            self.learned = acceptor.accepted

    @property
    def known(self) -> Proposal | None:
        """The newest proposal that this node has, committed or not."""
        accepted = self._acceptor.accepted
        if accepted is None or (self.learned is not None and self.learned.number > accepted.number):
            return self.learned
        return accepted

    @property
    def learned_number(self) -> ProposalNumber | None:
        """The number of the newest proposal known to be committed."""
        return None if self.learned is None else self.learned.number

    @property
    def promised(self) -> ProposalNumber | None:
        """The highest proposal number that this node's acceptor has promised."""
        return self._acceptor.promised

    @property
    def unconfirmed(self) -> bool:
        """Whether this replica has accepted a proposal newer than any that it knows to be committed."""
        accepted = self._acceptor.accepted
        if accepted is None:
            return False
        return self.learned is None or accepted.number > self.learned.number

    @property
    def next_wake_s(self) -> float:
        """When the scrub is due; infinite where nothing is unconfirmed."""
        return float("inf") if self._scrub_at_s is None else self._scrub_at_s

    def on_announced(self, now_s: float, number: ProposalNumber | None, address: str) -> None:
        """Learn or fetch a proposal that the node at this address knows to be committed."""
        if number is None or (self.learned is not None and number <= self.learned.number):
            return
        accepted = self._acceptor.accepted
        if accepted is not None and accepted.number == number:
            self.learn(now_s, accepted)
        elif not self._fetching:
            self._fetching = True
            self._calls.send(address, FetchCommitted(), FETCH_TIMEOUT_S, self._on_fetched)

    def _on_fetched(self, now_s: float, reply: object | None) -> None:
        self._fetching = False
        if isinstance(reply, CommittedProposal) and reply.proposal is not None:
            self.learn(now_s, reply.proposal)

    def learn(self, now_s: float, committed: Proposal) -> None:
        """Take over a committed proposal, write it down, and notify of its value where that is new."""
        if self.learned is not None and committed.number <= self.learned.number:
            return
        self.learned = committed
        record = self._acceptor.install(committed)
        if record is not None:
            self._actions.extend(self._disk.append(now_s, record))
        self.schedule_scrub(now_s)
        self.confirmation_needed = self.confirmation_needed and self.unconfirmed
        payload = committed.state.payload
        if payload is not None and payload != self._notified_payload:
            self._notified_payload = payload
            self._actions.add(Learned(payload))

    def require_confirmation(self) -> None:
        """Have an attempt find out what is committed, if anything is unconfirmed; a quorum read did not show it."""
        self.confirmation_needed = self.confirmation_needed or self.unconfirmed

    def schedule_scrub(self, now_s: float) -> None:
        """Set the scrub timer where a proposal is unconfirmed and it is not running; stop it where none is."""
        if not self.unconfirmed:
            self._scrub_at_s = None
        elif self._scrub_at_s is None:
            self._scrub_at_s = now_s + SCRUB_AFTER_S + self._rng.random() * SCRUB_JITTER_S

    def take_due_scrub(self, now_s: float) -> bool:
        """Whether the scrub is due and something is still unconfirmed; the timer then starts anew."""
        if self._scrub_at_s is None or now_s < self._scrub_at_s:
            return False
        self._scrub_at_s = None
        self.schedule_scrub(now_s)
        return self.unconfirmed
