"""A stand-in ledger box that speaks Thrift: keeps how often each posting ran, and misbehaves as told.

    python -m loadbalancer.emulator.thrift --port 0 --name box-1 --work-ms 4

prints `NAME listens on HOST:PORT` and serves until it is ended, or for `--seconds`. It takes any of the protocols and
transports, runs the calls of a connection one after another, and speaks `loadbalancer/examples/ledger.thrift`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, deque
from dataclasses import dataclass

from loadbalancer.emulator.listening import Counted, Counting, command, run
from loadbalancer.thrift.codec import Decoder, application_exception, encode, field_at, writer_of
from loadbalancer.thrift.types import I64, STRING, STRUCT, Form, Message, MessageKind, ProtocolError

POSTING = (1, 1)  # the path of a posting's id in the arguments
LIMIT = 16 * 1024 * 1024


@dataclass(slots=True)
class ThriftBehaviour:
    """How a box works from now on; changed while it runs. Numbers count the next replies that go wrong so."""

    work_ms: float = 0.0  # for each call
    slow: float = 1.0  # times the work
    hang: bool = False  # take calls and answer none
    decline: bool = False  # turn all away unrun, as a box that drains
    declared: int = 0  # an exception that the service declares
    error: int = 0  # an exception of the processor's own, after the work was done
    die_before: int = 0  # the connection ends before the work begins
    die_after: int = 0  # the connection ends after the work, with no reply
    die_mid_reply: int = 0  # the reply breaks off halfway, the connection with it
    stall_mid_reply: int = 0  # the reply breaks off halfway, the connection stays
    wrong_seqid: int = 0
    wrong_name: int = 0
    wrong_kind: int = 0  # a call in place of a reply
    wrong_body: int = 0  # a reply whose struct is none
    twice: int = 0  # the reply comes two times
    answer_oneway: int = 0  # a reply to a oneway call


class _Connection(Counted):
    def __init__(self, box: ThriftBox) -> None:
        super().__init__(box)
        self._box = box
        self._decoder = Decoder(LIMIT)
        self._calls: deque[Message] = deque()
        self._busy = False

    def data_received(self, data: bytes) -> None:
        for found in self._decoder.feed(data):
            if isinstance(found, ProtocolError):
                self._box.unreadable += 1
                self.transport.abort()
                return
            self._box.taken += 1
            self._calls.append(found)
        self._begin()

    def _begin(self) -> None:
        box = self._box
        how = box.behaviour
        while self._calls and not self._busy and not box.dead:
            call = self._calls.popleft()
            if _spend(how, "die_before"):
                self.transport.abort()
                return
            if how.decline:
                box.declined += 1
                self._write(call, MessageKind.EXCEPTION, application_exception(call.form, 11, "draining"))
                continue
            box.run(call)
            if how.hang:
                self._busy = True
            elif how.work_ms > 0.0:
                self._busy = True
                delay_s = how.work_ms * how.slow / 1000.0
                asyncio.get_running_loop().call_later(delay_s, self._worked, call)
            else:
                self._finish(call)

    def _worked(self, call: Message) -> None:
        if not self._box.behaviour.hang:  # else it began to hang while this was being worked on
            self._busy = False
            self._finish(call)
            self._begin()

    def _finish(self, call: Message) -> None:
        box, how = self._box, self._box.behaviour
        if self.transport.is_closing():
            return
        if _spend(how, "die_after"):
            self.transport.abort()
            return
        if call.kind is MessageKind.ONEWAY:
            box.served += 1
            if _spend(how, "answer_oneway"):
                self._write(call, MessageKind.REPLY, b"\0")
            return
        if _spend(how, "error"):
            self._write(
                call, MessageKind.EXCEPTION, application_exception(call.form, 6, "posted, then failed")
            )
            return
        declared = _spend(how, "declared")
        self._write(call, MessageKind.REPLY, box.declared(call) if declared else box.result(call))

    def _write(self, call: Message, kind: MessageKind, body: bytes) -> None:
        how, name, seqid = self._box.behaviour, call.name.rpartition(b":")[2], call.seqid
        if _spend(how, "wrong_seqid"):
            seqid = (seqid + 1) & 0x7FFFFFFF
        if _spend(how, "wrong_name"):
            name = b"another"
        if _spend(how, "wrong_kind"):
            kind = MessageKind.CALL
        if _spend(how, "wrong_body"):
            body = b"\x63\x00\x01\xff"
        data = encode(Message(call.form, kind, name, seqid, body), bool(self._decoder.framed))
        if _spend(how, "die_mid_reply"):
            self.transport.write(data[: len(data) // 2])
            self.transport.close()
        elif _spend(how, "stall_mid_reply"):
            self.transport.write(data[: len(data) // 2])
        else:
            self._box.served += call.kind is not MessageKind.ONEWAY
            self.transport.write(data * 2 if _spend(how, "twice") else data)


def _spend(how: ThriftBehaviour, key: str) -> bool:
    """Whether one of the counted misdeeds is due."""
    left: int = getattr(how, key)
    if left > 0:
        setattr(how, key, left - 1)
    return left > 0


class ThriftBox(Counting):
    """One box. `ran` counts, for each posting, how often its work was begun."""

    def __init__(self, name: str = "box", behaviour: ThriftBehaviour | None = None) -> None:
        super().__init__()
        self.name = name
        self.behaviour = behaviour or ThriftBehaviour()
        self.ran: Counter[str] = Counter()
        self.methods: Counter[str] = Counter()  # how many calls were begun
        self.taken = self.served = self.declined = self.unreadable = 0
        self.forms: set[tuple[Form, bytes]] = set()  # what it was spoken to in, and the names that were asked
        self.calls: deque[Message] = deque(maxlen=1000)
        self.dead = False

    async def start(self, port: int = 0) -> ThriftBox:
        loop = asyncio.get_running_loop()
        self.dead = False
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port, backlog=1024)
        return self

    def stop(self) -> None:
        """Die: the listener goes and all connections are reset."""
        self.dead = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def run(self, call: Message) -> None:
        """The work begins."""
        posting = field_at(call.body, call.form, POSTING)
        if isinstance(posting, bytes):
            self.ran[posting.decode()] += 1
        self.methods[call.name.decode().rpartition(":")[2]] += 1
        self.forms.add((call.form, call.name))
        self.calls.append(call)

    def result(self, call: Message) -> bytes:
        """The result's struct: field 0 is what the method returns."""
        writer = writer_of(call.form)
        writer.begin_struct()
        method = call.name.rpartition(b":")[2]
        posting = field_at(call.body, call.form, POSTING)
        if method == b"balance":
            writer.field(I64, 0)
            writer.value(I64, 120450)
        elif method == b"echo":
            text = field_at(call.body, call.form, (1,))
            writer.field(STRING, 0)
            writer.value(STRING, text if isinstance(text, bytes) else b"")
        elif isinstance(posting, bytes):
            writer.field(STRUCT, 0)
            writer.begin_struct()
            for number, value in ((1, posting), (2, self.name.encode())):
                writer.field(STRING, number)
                writer.value(STRING, value)
            writer.end_struct()
        writer.end_struct()
        return bytes(writer.out)

    def declared(self, call: Message) -> bytes:
        """The result's struct with the declared exception, field 1."""
        writer = writer_of(call.form)
        writer.begin_struct()
        writer.field(STRUCT, 1)
        writer.begin_struct()
        writer.field(STRING, 1)
        writer.value(STRING, b"the book is closed")
        writer.end_struct()
        writer.end_struct()
        return bytes(writer.out)


def main(argv: list[str] | None = None) -> int:
    parser = command("loadbalancer.emulator.thrift", "A stand-in box that speaks Thrift.")
    args = parser.parse_args(argv)
    return run(ThriftBox(args.name, ThriftBehaviour(work_ms=args.work_ms)), args)


if __name__ == "__main__":
    sys.exit(main())
