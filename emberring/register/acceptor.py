"""The Paxos acceptor of one replica: its promises, its accepted proposal, and the records that restore them.

Sans-I/O: a durable reply may be sent only after its record and all records before it are persisted.
"""

from __future__ import annotations

import attrs
import orjson

from emberring.errors import CorruptRecordError
from emberring.register.messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Query,
    Rejected,
    StateReport,
    UnknownReplica,
)
from emberring.register.model import Proposal, ProposalNumber, State
from emberring.transport.messages import converter

AcceptorReply = Promise | Accepted | Rejected | UnknownReplica | StateReport


@attrs.frozen
class AcceptorResponse:
    """The reply, the record to persist (None if there is none), and whether the reply must wait for the disk."""

    reply: AcceptorReply
    record: bytes | None = None
    durable: bool = False


@attrs.frozen
class _RecordHeader:
    """The header of a record: everything except the bytes of the value. A field that is None is absent.

    The field names are keys of the records on disk.
    """

    identity: str | None = None
    promised: ProposalNumber | None = None
    accepted: ProposalNumber | None = None
    state: State | None = None
    has_payload: bool = False


class Acceptor:
    """The votes of one replica.

    Attributes:
        identity: identity of the replica; empty until it is restored.
        promised: the highest proposal number promised.
        accepted: the proposal accepted last.
    """

    def __init__(self, identity: str, accepted: Proposal | None = None) -> None:
        self.identity = identity
        self.promised: ProposalNumber | None = None if accepted is None else accepted.number
        self.accepted = accepted

    @property
    def accepted_number(self) -> ProposalNumber | None:
        """The number of the proposal accepted last."""
        return None if self.accepted is None else self.accepted.number

    def prepare(self, message: Prepare) -> AcceptorResponse:
        """Handle a prepare: promise, unless a higher proposal number was promised before."""
        if message.target != self.identity:
            return AcceptorResponse(UnknownReplica(self.identity))
        if self.promised is not None and message.number < self.promised:
            return AcceptorResponse(Rejected(self.identity, self.promised))
        record = None
        if self.promised != message.number:
            self.promised = message.number
            record = _encode(_RecordHeader(promised=message.number))
        number, state = self._report(message.known)
        return AcceptorResponse(Promise(self.identity, message.number, number, state), record, durable=True)

    def accept(self, message: Accept) -> AcceptorResponse:
        """Handle an accept: accept the state, unless a higher proposal number was promised before."""
        if message.target != self.identity:
            return AcceptorResponse(UnknownReplica(self.identity))
        if self.promised is not None and message.number < self.promised:
            return AcceptorResponse(Rejected(self.identity, self.promised))
        record = None
        if self.accepted_number != message.number:
            record = self._accept_proposal(Proposal(message.number, message.state))
        return AcceptorResponse(Accepted(self.identity, message.number), record, durable=True)

    def query(self, message: Query) -> AcceptorResponse:
        """Handle a query: report the proposal accepted last."""
        if message.target != self.identity:
            return AcceptorResponse(UnknownReplica(self.identity))
        number, state = self._report(message.known)
        return AcceptorResponse(StateReport(self.identity, number, state), durable=True)

    def install(self, committed: Proposal) -> bytes | None:
        """Install a committed proposal; return the record to write, or None if nothing changes.

        This is safe whatever this replica has promised since: the proposal is committed without its vote, and a replica
        may always report a is_newer proposal than the one that it accepted.
        """
        if self.accepted_number is not None and committed.number <= self.accepted_number:
            return None
        return self._accept_proposal(committed)

    def snapshot(self) -> bytes:
        """Return a record of the complete state."""
        return self._record(self.identity, self.accepted)

    def restore(self, payload: bytes) -> None:
        """Apply a record that was read at startup; records may be applied in any order. Raises `CorruptRecordError`."""
        header, value = _decode(payload)
        if header.identity is not None:
            self.identity = header.identity
        if header.promised is not None and (self.promised is None or header.promised > self.promised):
            self.promised = header.promised
        is_newer = self.accepted_number is None or (
            header.accepted is not None and header.accepted > self.accepted_number
        )
        if header.accepted is not None and header.state is not None and is_newer:
            state = attrs.evolve(header.state, payload=value if header.has_payload else None)
            self.accepted = Proposal(header.accepted, state)

    def _report(self, known: ProposalNumber | None) -> tuple[ProposalNumber | None, State | None]:
        if self.accepted is None:
            return None, None
        return self.accepted.number, None if self.accepted.number == known else self.accepted.state

    def _accept_proposal(self, proposal: Proposal) -> bytes:
        self.accepted = proposal
        if self.promised is None or proposal.number > self.promised:
            self.promised = proposal.number
        return self._record(None, proposal)

    def _record(self, identity: str | None, proposal: Proposal | None) -> bytes:
        if proposal is None:
            return _encode(_RecordHeader(identity=identity, promised=self.promised))
        payload = proposal.state.payload
        header = _RecordHeader(
            identity=identity,
            promised=self.promised,
            accepted=proposal.number,
            state=attrs.evolve(proposal.state, payload=None),
            has_payload=payload is not None,
        )
        return _encode(header, payload or b"")


def _encode(header: _RecordHeader, payload: bytes = b"") -> bytes:
    return orjson.dumps(converter.unstructure(header)) + b"\n" + payload


def _decode(record: bytes) -> tuple[_RecordHeader, bytes]:
    line, _, payload = record.partition(b"\n")
    try:
        fields = orjson.loads(line)
        if not isinstance(fields, dict):
            raise TypeError("the record header is not a JSON object")
        return converter.structure(fields, _RecordHeader), payload
    except Exception as error:
        raise CorruptRecordError(f"{type(error).__name__}: {error}"[:200]) from error
