"""Learns which proposals are committed, and runs the timer that resolves a proposal of unknown outcome."""

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
"""Timeout of fetching a committed proposal from the node that announced it, in seconds."""

SCRUB_AFTER_S = 0.15
"""Time after which an accepted proposal that is not known to be committed starts a quorum read, in seconds."""

SCRUB_JITTER_S = 0.1
"""Maximum random addition to `SCRUB_AFTER_S`, in seconds, so that the replicas do not all read at once."""


class CatchUp:
    """Tracks the newest committed proposal, and whether the accepted one is committed.

    A scrub is a quorum read of an accepted proposal that is not known to be committed.

    Attributes:
        learned: the newest proposal known to be committed; None before the first.
        confirmation_needed: whether a proposal attempt of this node must determine if the accepted one is committed.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        persistence: Persistence,
        calls: OutgoingCalls,
        actions: ActionQueue,
        rng: random.Random,
    ) -> None:
        self.learned: Proposal | None = None
        self.confirmation_needed = False
        self._acceptor = acceptor
        self._persistence = persistence
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
        """The newest proposal that this node has learned or accepted."""
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
        """When the scrub is due; infinite if the timer is not running."""
        return float("inf") if self._scrub_at_s is None else self._scrub_at_s

    def on_announced(self, now_s: float, number: ProposalNumber | None, address: str) -> None:
        """Learn a proposal that the node at this address knows to be committed; fetch it if it is missing here."""
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
        """Install and persist a committed proposal, and notify the subscribers if its value is new."""
        if self.learned is not None and committed.number <= self.learned.number:
            return
        self.learned = committed
        record = self._acceptor.install(committed)
        if record is not None:
            self._actions.extend(self._persistence.append(now_s, record))
        self.schedule_scrub(now_s)
        self.confirmation_needed = self.confirmation_needed and self.unconfirmed
        payload = committed.state.payload
        if payload is not None and payload != self._notified_payload:
            self._notified_payload = payload
            self._actions.add(Learned(payload))

    def require_confirmation(self) -> None:
        """Request a proposal attempt if a proposal is still unconfirmed after a quorum read."""
        self.confirmation_needed = self.confirmation_needed or self.unconfirmed

    def schedule_scrub(self, now_s: float) -> None:
        """Start the scrub timer if a proposal is unconfirmed and the timer is not running; stop it if none is."""
        if not self.unconfirmed:
            self._scrub_at_s = None
        elif self._scrub_at_s is None:
            self._scrub_at_s = now_s + SCRUB_AFTER_S + self._rng.random() * SCRUB_JITTER_S

    def take_due_scrub(self, now_s: float) -> bool:
        """Return whether a scrub is due and a proposal still unconfirmed; the timer then restarts."""
        if self._scrub_at_s is None or now_s < self._scrub_at_s:
            return False
        self._scrub_at_s = None
        self.schedule_scrub(now_s)
        return self.unconfirmed
