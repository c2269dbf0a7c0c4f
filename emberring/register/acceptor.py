"""The acceptor: what one replica has promised and accepted, and the records by which it outlives a restart.

Sans-I/O: a verdict's reply may be sent only when its record, and all records before it, are on the disk.
"""

from __future__ import annotations

import attrs
import orjson

from emberring.errors import CorruptRecordError
from emberring.register.messages import Accept, Accepted, Held, Prepare, Promise, Query, Refuse, Stranger
from emberring.register.model import Proposal, ProposalNumber, State
from emberring.transport.messages import converter

Judgement = Promise | Accepted | Refuse | Stranger | Held


@attrs.frozen
class Verdict:
    """The reply, the record to write first (None: none), and whether the reply must wait for the disk."""

    reply: Judgement
    record: bytes | None = None
    durable: bool = False


@attrs.frozen
class _Head:
    """The head of a record: what is not bytes of the value. A field that is None says nothing."""

    identity: str | None = None
    promised: ProposalNumber | None = None
    accepted: ProposalNumber | None = None
    state: State | None = None
    has_payload: bool = False


class Acceptor:
    """One replica's part in every ballot."""

    def __init__(self, identity: str, accepted: Proposal | None = None) -> None:
        self.identity = identity
        self.promised: ProposalNumber | None = None if accepted is None else accepted.ballot
        self.accepted = accepted

    @property
    def accepted_ballot(self) -> ProposalNumber | None:
        """The ballot of what was accepted last."""
        return None if self.accepted is None else self.accepted.ballot

    def prepare(self, call: Prepare) -> Verdict:
        """Promise, unless a newer ballot has been promised."""
        if call.target != self.identity:
            return Verdict(Stranger(self.identity))
        if self.promised is not None and call.ballot < self.promised:
            return Verdict(Refuse(self.identity, self.promised))
        record = None
        if self.promised != call.ballot:
            self.promised = call.ballot
            record = _encode(_Head(promised=call.ballot))
        ballot, state = self._report(call.known)
        return Verdict(Promise(self.identity, call.ballot, ballot, state), record, durable=True)

    def accept(self, call: Accept) -> Verdict:
        """Accept, unless a newer ballot has been promised."""
        if call.target != self.identity:
            return Verdict(Stranger(self.identity))
        if self.promised is not None and call.ballot < self.promised:
            return Verdict(Refuse(self.identity, self.promised))
        record = None
        if self.accepted_ballot != call.ballot:
            record = self._take(Proposal(call.ballot, call.state))
        return Verdict(Accepted(self.identity, call.ballot), record, durable=True)

    def query(self, call: Query) -> Verdict:
        """What was accepted."""
        if call.target != self.identity:
            return Verdict(Stranger(self.identity))
        ballot, state = self._report(call.known)
        return Verdict(Held(self.identity, ballot, state), durable=True)

    def install(self, chosen: Proposal) -> bytes | None:
        """Take over a proposal that is known to be chosen; the record to write, or None where nothing changes.

        This is safe whatever was promised since: it is chosen without this replica, and a replica may always report
        a newer proposal than the one it accepted.
        """
        if self.accepted_ballot is not None and chosen.ballot <= self.accepted_ballot:
            return None
        return self._take(chosen)

    def snapshot(self) -> bytes:
        """A record of everything."""
        return self._record(self.identity, self.accepted)

    def restore(self, payload: bytes) -> None:
        """Take in a record found at a start, in any order; `CorruptRecordError` where it is none."""
        head, value = _decode(payload)
        if head.identity is not None:
            self.identity = head.identity
        if head.promised is not None and (self.promised is None or head.promised > self.promised):
            self.promised = head.promised
        newer = self.accepted_ballot is None or (
            head.accepted is not None and head.accepted > self.accepted_ballot
        )
        if head.accepted is not None and head.state is not None and newer:
            state = attrs.evolve(head.state, payload=value if head.has_payload else None)
            self.accepted = Proposal(head.accepted, state)

    def _report(self, known: ProposalNumber | None) -> tuple[ProposalNumber | None, State | None]:
        if self.accepted is None:
            return None, None
        return self.accepted.ballot, None if self.accepted.ballot == known else self.accepted.state

    def _take(self, proposal: Proposal) -> bytes:
        self.accepted = proposal
        if self.promised is None or proposal.ballot > self.promised:
            self.promised = proposal.ballot
        return self._record(None, proposal)

    def _record(self, identity: str | None, proposal: Proposal | None) -> bytes:
        if proposal is None:
            return _encode(_Head(identity=identity, promised=self.promised))
        payload = proposal.state.payload
        head = _Head(
            identity=identity,
            promised=self.promised,
            accepted=proposal.ballot,
            state=attrs.evolve(proposal.state, payload=None),
            has_payload=payload is not None,
        )
        return _encode(head, payload or b"")


def _encode(head: _Head, payload: bytes = b"") -> bytes:
    return orjson.dumps(converter.unstructure(head)) + b"\n" + payload


def _decode(record: bytes) -> tuple[_Head, bytes]:
    line, _, payload = record.partition(b"\n")
    try:
        fields = orjson.loads(line)
        if not isinstance(fields, dict):
            raise TypeError("no object")
        return converter.structure(fields, _Head), payload
    except Exception as error:
        raise CorruptRecordError(f"{type(error).__name__}: {error}"[:200]) from error
