"""An emulated ledger server that speaks Thrift: counts how often each posting ran, and injects faults.

    python -m loadbalancer.emulator.thrift --port 0 --name box-1 --work-ms 4

prints `NAME listens on HOST:PORT` and serves until it is terminated, or for `--seconds`. It accepts all protocols
and transports, runs the calls of a connection one after another, and implements `loadbalancer/examples/ledger.thrift`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, deque
from dataclasses import dataclass

from loadbalancer.emulator.listening import Counted, Counting, command, run
from loadbalancer.thrift.codec import Decoder, application_exception, encode, field_at, writer_of
from loadbalancer.thrift.types import I64, STRING, STRUCT, Form, Message, MessageKind, ProtocolError

POSTING = (1, 1)  # field path of the posting's id in the arguments
LIMIT = 16 * 1024 * 1024


@dataclass(slots=True)
class ThriftBehaviour:
    """The behaviour and faults of an emulated server; may be changed while it runs. Each integer is the number of next
    calls or replies with that fault."""

    work_ms: float = 0.0  # service time of each call
    slow: float = 1.0  # multiplies the work
    hang: bool = False  # accept calls and never reply
    decline: bool = False  # reject all calls without running them, as a draining server does
    declared: int = 0  # reply with an exception that the service declares
    error: int = 0  # reply with an application exception, after the work was done
    die_before: int = 0  # the connection is aborted before the work starts
    die_after: int = 0  # the connection is aborted after the work, without a reply
    die_mid_reply: int = 0  # the reply is cut off halfway and the connection is closed
    stall_mid_reply: int = 0  # the reply is cut off halfway, the connection stays open
    wrong_seqid: int = 0
    wrong_name: int = 0
    wrong_kind: int = 0  # the reply has the message type CALL
    wrong_body: int = 0  # the reply's body is not a valid struct
    twice: int = 0  # the reply is sent twice
    answer_oneway: int = 0  # a reply is sent to a oneway call


class _Connection(Counted):
    def __init__(self, box: ThriftBox) -> None:
        super().__init__(box)
        self._box = box
        self._decoder = Decoder(LIMIT)
        self._calls: deque[Message] = deque()
        self._running = False

    def data_received(self, data: bytes) -> None:
        for found in self._decoder.feed(data):
            if isinstance(found, ProtocolError):
                self._box.unreadable += 1
                self.transport.abort()
                return
            self._box.taken += 1
            self._calls.append(found)
        self._run_queued()

    def _run_queued(self) -> None:
        box = self._box
        behaviour = box.behaviour
        while self._calls and not self._running and not box.dead:
            call = self._calls.popleft()
            if _inject(behaviour, "die_before"):
                self.transport.abort()
                return
            if behaviour.decline:
                box.declined += 1
                self._write(call, MessageKind.EXCEPTION, application_exception(call.form, 11, "draining"))
                continue
            box.run(call)
            if behaviour.hang:
                self._running = True
            elif behaviour.work_ms > 0.0:
                self._running = True
                delay_s = behaviour.work_ms * behaviour.slow / 1000.0
                asyncio.get_running_loop().call_later(delay_s, self._on_work_done, call)
            else:
                self._send_reply(call)

    def _on_work_done(self, call: Message) -> None:
        if not self._box.behaviour.hang:  # else the hang was set while this call was running
            self._running = False
            self._send_reply(call)
            self._run_queued()

    def _send_reply(self, call: Message) -> None:
        box, behaviour = self._box, self._box.behaviour
        if self.transport.is_closing():
            return
        if _inject(behaviour, "die_after"):
            self.transport.abort()
            return
        if call.kind is MessageKind.ONEWAY:
            box.served += 1
            if _inject(behaviour, "answer_oneway"):
                self._write(call, MessageKind.REPLY, b"\0")
            return
        if _inject(behaviour, "error"):
            self._write(
                call, MessageKind.EXCEPTION, application_exception(call.form, 6, "posted, then failed")
            )
            return
        declared = _inject(behaviour, "declared")
        self._write(call, MessageKind.REPLY, box.declared(call) if declared else box.result(call))

    def _write(self, call: Message, kind: MessageKind, body: bytes) -> None:
        behaviour, name, seqid = self._box.behaviour, call.name.rpartition(b":")[2], call.seqid
        if _inject(behaviour, "wrong_seqid"):
            seqid = (seqid + 1) & 0x7FFFFFFF
        if _inject(behaviour, "wrong_name"):
            name = b"another"
        if _inject(behaviour, "wrong_kind"):
            kind = MessageKind.CALL
        if _inject(behaviour, "wrong_body"):
            body = b"\x63\x00\x01\xff"
        data = encode(Message(call.form, kind, name, seqid, body), bool(self._decoder.framed))
        if _inject(behaviour, "die_mid_reply"):
            self.transport.write(data[: len(data) // 2])
            self.transport.close()
        elif _inject(behaviour, "stall_mid_reply"):
            self.transport.write(data[: len(data) // 2])
        else:
            self._box.served += call.kind is not MessageKind.ONEWAY
            self.transport.write(data * 2 if _inject(behaviour, "twice") else data)


def _inject(behaviour: ThriftBehaviour, key: str) -> bool:
    """Whether the fault of this name is to be injected now; decrements its count."""
    remaining: int = getattr(behaviour, key)
    if remaining > 0:
        setattr(behaviour, key, remaining - 1)
    return remaining > 0


class ThriftBox(Counting):
    """One emulated server. `ran` counts, for each posting, how often its work was started."""

    def __init__(self, name: str = "box", behaviour: ThriftBehaviour | None = None) -> None:
        super().__init__()
        self.name = name
        self.behaviour = behaviour or ThriftBehaviour()
        self.ran: Counter[str] = Counter()
        self.methods: Counter[str] = Counter()  # calls started, by method
        self.taken = self.served = self.declined = self.unreadable = 0
        self.forms: set[tuple[Form, bytes]] = set()  # protocols and method names of the calls received
        self.calls: deque[Message] = deque(maxlen=1000)
        self.dead = False

    async def start(self, port: int = 0) -> ThriftBox:
        loop = asyncio.get_running_loop()
        self.dead = False
        self._server = await loop.create_server(lambda: _Connection(self), "127.0.0.1", port, backlog=1024)
        return self

    def stop(self) -> None:
        """Crash: close the listener and reset all connections."""
        self.dead = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def run(self, call: Message) -> None:
        """Start the work of a call: record it."""
        posting = field_at(call.body, call.form, POSTING)
        if isinstance(posting, bytes):
            self.ran[posting.decode()] += 1
        self.methods[call.name.decode().rpartition(":")[2]] += 1
        self.forms.add((call.form, call.name))
        self.calls.append(call)

    def result(self, call: Message) -> bytes:
        """The result struct; field 0 is the return value."""
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
        """The result struct with the declared exception in field 1."""
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
    parser = command("loadbalancer.emulator.thrift", "An emulated server that speaks Thrift.")
    args = parser.parse_args(argv)
    return run(ThriftBox(args.name, ThriftBehaviour(work_ms=args.work_ms)), args)


if __name__ == "__main__":
    sys.exit(main())
