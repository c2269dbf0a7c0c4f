"""Strangers: Apache's library and thriftpy2 as callers through the sidecar, and as boxes behind it."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import thriftpy2
from beside import configuration
from loopback import until
from thrift.protocol.TBinaryProtocol import TBinaryProtocol, TBinaryProtocolAccelerated
from thrift.protocol.TCompactProtocol import TCompactProtocol, TCompactProtocolAccelerated
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TApplicationException, TMessageType, TProcessor, TType
from thrift.TMultiplexedProcessor import TMultiplexedProcessor
from thrift.transport.TSocket import TServerSocket, TSocket
from thrift.transport.TTransport import (
    TBufferedTransport,
    TBufferedTransportFactory,
    TFramedTransport,
    TFramedTransportFactory,
)
from thriftpy2.protocol import (
    TBinaryProtocolFactory as PyBinaryFactory,
)
from thriftpy2.protocol import (
    TCompactProtocolFactory as PyCompactFactory,
)
from thriftpy2.protocol import (
    TCyBinaryProtocolFactory,
)
from thriftpy2.protocol import (
    TMultiplexedProtocolFactory as PyMultiplexedFactory,
)
from thriftpy2.rpc import make_client
from thriftpy2.server import TThreadedServer as PyThreadedServer
from thriftpy2.thrift import TApplicationException as PyApplicationException
from thriftpy2.thrift import TProcessor as PyProcessor
from thriftpy2.transport import (
    TBufferedTransportFactory as PyBufferedFactory,
)
from thriftpy2.transport import (
    TCyBufferedTransportFactory,
    TCyFramedTransportFactory,
)
from thriftpy2.transport import (
    TFramedTransportFactory as PyFramedFactory,
)
from thriftpy2.transport import (
    TServerSocket as PyServerSocket,
)
from thrifty import Caller, address, box_of, boxes, posting, running, said, shape

from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.thrift.codec import field_at
from loadbalancer.thrift.types import Form, Message, MessageKind

LEDGER = thriftpy2.load(
    str(Path(__file__).parents[2] / "loadbalancer" / "examples" / "ledger.thrift"),
    module_name="ledger_thrift",
)


# ------------------------------------------------------------------ Apache's as a caller


class ApacheCaller:
    """As its compiler writes a client, for the few methods that are used."""

    def __init__(self, protocol: Any) -> None:
        self._protocol = protocol
        self._seqid = 0

    def _send(self, name: str, kind: int, write: Callable[[Any], None]) -> None:
        self._seqid += 1
        out = self._protocol
        out.writeMessageBegin(name, kind, self._seqid)
        out.writeStructBegin("args")
        write(out)
        out.writeFieldStop()
        out.writeStructEnd()
        out.writeMessageEnd()
        out.trans.flush()

    def _receive(self, read: Callable[[Any, int, int], Any]) -> Any:
        found = self._protocol
        _, kind, seqid = found.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            error.read(found)
            found.readMessageEnd()
            raise error
        assert (kind, seqid) == (TMessageType.REPLY, self._seqid)
        result = None
        found.readStructBegin()
        while True:
            _, of, number = found.readFieldBegin()
            if of == TType.STOP:
                break
            result = read(found, of, number)
            found.readFieldEnd()
        found.readStructEnd()
        found.readMessageEnd()
        return result

    @staticmethod
    def _posting(out: Any, name: str) -> None:
        out.writeFieldBegin("posting", TType.STRUCT, 1)
        out.writeStructBegin("Posting")
        for number, (of, value) in enumerate(
            ((TType.STRING, name), (TType.STRING, "book"), (TType.STRING, ""), (TType.I64, -5)), 1
        ):
            out.writeFieldBegin("f", of, number)
            (out.writeString if of == TType.STRING else out.writeI64)(value)
            out.writeFieldEnd()
        out.writeFieldStop()
        out.writeStructEnd()
        out.writeFieldEnd()

    def post(self, name: str) -> tuple[str, ...]:
        self._send("post", TMessageType.CALL, lambda out: self._posting(out, name))

        def read(found: Any, of: int, number: int) -> Any:
            assert of == TType.STRUCT
            words = []
            found.readStructBegin()
            while True:
                _, inner, _ = found.readFieldBegin()
                if inner == TType.STOP:
                    break
                words.append(found.readString())
                found.readFieldEnd()
            found.readStructEnd()
            return (*words, number)

        result: tuple[str, ...] = self._receive(read)
        return result

    def note(self, name: str) -> None:
        self._send("note", TMessageType.ONEWAY, lambda out: self._posting(out, name))

    def balance(self) -> int:
        def write(out: Any) -> None:
            out.writeFieldBegin("book", TType.STRING, 1)
            out.writeString("book")
            out.writeFieldEnd()

        self._send("balance", TMessageType.CALL, write)
        result: int = self._receive(lambda found, of, number: found.readI64())
        return result

    def missing(self) -> None:
        self._send("missing", TMessageType.CALL, lambda out: None)
        self._receive(lambda found, of, number: None)


PROTOCOLS = {
    "binary": TBinaryProtocol,
    "old binary": lambda trans: TBinaryProtocol(trans, strictWrite=False),
    "binary accelerated": lambda trans: TBinaryProtocolAccelerated(trans, fallback=True),
    "compact": TCompactProtocol,
    "compact accelerated": lambda trans: TCompactProtocolAccelerated(trans, fallback=True),
}
TRANSPORTS = {"framed": TFramedTransport, "unframed": TBufferedTransport}


@pytest.mark.parametrize("transport", list(TRANSPORTS))
@pytest.mark.parametrize("protocol", list(PROTOCOLS))
@pytest.mark.parametrize("multiplexed", [False, True], ids=["plain", "multiplexed"])
def test_apaches_callers_are_served(protocol, transport, multiplexed):
    def talk(where: tuple[str, int]) -> None:
        socket = TSocket(*where)
        socket.setTimeout(20_000)
        trans = TRANSPORTS[transport](socket)
        trans.open()
        proto = PROTOCOLS[protocol](trans)
        caller = ApacheCaller(TMultiplexedProtocol(proto, "Ledger") if multiplexed else proto)
        assert caller.post("a1") == ("a1", "box-0", 0)
        caller.note("a2")
        assert caller.balance() == 120450
        assert caller.post("a3")[-1] == 0  # the result's field
        if not multiplexed:
            with pytest.raises(
                TApplicationException, match="bad call; never ran; no route takes missing"
            ) as told:
                caller.missing()
            assert told.value.type == TApplicationException.UNKNOWN_METHOD
        assert caller.post("a4")[0] == "a4"
        trans.close()

    async def main():
        around = boxes(1)
        async with running(*around) as sidecar:
            await asyncio.to_thread(talk, address(sidecar))
            assert around[0].ran == {"a1": 1, "a2": 1, "a3": 1, "a4": 1}

    asyncio.run(main())


def test_apaches_caller_hears_a_declared_exception_as_its_services():
    def talk(where: tuple[str, int]) -> None:
        trans = TFramedTransport(TSocket(*where))
        trans.open()
        assert ApacheCaller(TBinaryProtocol(trans)).post("x") == ("the book is closed", 1)
        trans.close()

    async def main():
        around = boxes(1)
        around[0].behaviour.declared = 1
        async with running(*around) as sidecar:
            await asyncio.to_thread(talk, address(sidecar))

    asyncio.run(main())


# ------------------------------------------------------------------ thriftpy2 as a caller

PY = {
    "binary framed": (PyBinaryFactory(), PyFramedFactory()),
    "binary unframed": (PyBinaryFactory(), PyBufferedFactory()),
    "compact framed": (PyCompactFactory(), PyFramedFactory()),
    "compact unframed": (PyCompactFactory(), PyBufferedFactory()),
    "accelerated framed": (TCyBinaryProtocolFactory(), TCyFramedTransportFactory()),
    "accelerated unframed": (TCyBinaryProtocolFactory(), TCyBufferedTransportFactory()),
    "multiplexed": (PyMultiplexedFactory(PyBinaryFactory(), "Ledger"), PyFramedFactory()),
}


@pytest.mark.parametrize("way", list(PY))
def test_thriftpy2s_callers_are_served(way):
    protocol, transport = PY[way]

    def talk(where: tuple[str, int]) -> None:
        host, port = where
        client = make_client(
            LEDGER.Ledger, host, port, proto_factory=protocol, trans_factory=transport, timeout=20_000
        )
        receipt = client.post(LEDGER.Posting(id="t1", book="b", tenant="", cents=5))
        assert (receipt.id, receipt.box) == ("t1", "box-0")
        client.note(LEDGER.Posting(id="t2"))
        assert client.balance("book") == 120450
        if way != "multiplexed":
            assert client.record(LEDGER.Posting(id="t3")).id == "t3"
            with pytest.raises(PyApplicationException, match="class move needs its key"):
                client.record(LEDGER.Posting())
        with pytest.raises(LEDGER.Declined, match="the book is closed"):
            client.post(LEDGER.Posting(id="t4"))
        client.close()

    async def main():
        around = boxes(1)
        async with running(*around) as sidecar:
            box, usual = around[0], around[0].result

            def result(call: Message) -> bytes:
                closed = field_at(call.body, call.form, (1, 1)) == b"t4"
                return box.declared(call) if closed else usual(call)

            box.result = result  # type: ignore[method-assign]
            await asyncio.to_thread(talk, address(sidecar))
            assert set(around[0].ran.values()) == {1}

    asyncio.run(main())


# --------------------------------------------------------------------- strangers as boxes


class ApacheProcessor(TProcessor):  # type: ignore[misc]
    """As its compiler writes one, for `balance`, `post` and `note`."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, int]] = []

    def process(self, found: Any, out: Any) -> bool:
        name, kind, seqid = found.readMessageBegin()
        found.skip(TType.STRUCT)
        found.readMessageEnd()
        self.ran.append((name, kind))
        if kind == TMessageType.ONEWAY:
            return True
        if name not in ("balance", "post"):
            out.writeMessageBegin(name, TMessageType.EXCEPTION, seqid)
            TApplicationException(TApplicationException.UNKNOWN_METHOD, "unknown " + name).write(out)
        else:
            out.writeMessageBegin(name, TMessageType.REPLY, seqid)
            out.writeStructBegin("result")
            out.writeFieldBegin("success", TType.I64, 0)
            out.writeI64(-77)
            out.writeFieldEnd()
            out.writeFieldStop()
            out.writeStructEnd()
        out.writeMessageEnd()
        out.trans.flush()
        return True


class ClosingSocket(TServerSocket):
    """Ends the server that accepts from it when it has been closed."""

    def accept(self) -> Any:
        try:
            return super().accept()
        except (OSError, AttributeError):
            # Guard: the library's server takes any Exception for a caller's and accepts again, without end: it took
            # the rest of the suite its core, and wrote until the interpreter's own parser failed beside it.
            raise SystemExit from None


class ApacheBox:
    """Its own threaded server, on a free port, until the end of the test."""

    def __init__(self, form: str, transport: str, multiplexed: bool) -> None:
        self.processor = ApacheProcessor()
        served: Any = self.processor
        if multiplexed:
            served = TMultiplexedProcessor()
            served.registerProcessor("Ledger", self.processor)
        self.socket = ClosingSocket("127.0.0.1", 0)
        self.socket.listen()
        factory = TFramedTransportFactory() if transport == "framed" else TBufferedTransportFactory()
        kind = TCompactProtocol if form == "compact" else TBinaryProtocol

        class Protocols:
            def getProtocol(self, trans: Any) -> Any:  # noqa: N802 - the library's own name
                return kind(trans)

        self.server = TThreadedServer(served, self.socket, factory, Protocols(), daemon=True)
        self.socket.listen = lambda: None
        threading.Thread(target=self.server.serve, daemon=True).start()

    @property
    def endpoint(self) -> str:
        host, port = self.socket.handle.getsockname()[:2]
        return f"{host}:{port}"


def on_top_of(endpoint: str, form: str, transport: str) -> dict[str, Any]:
    data = shape(thrift={"form": form, "transport": transport})
    data["pools"][0]["list"]["servers"] = [{"id": "stranger", "address": endpoint}]
    return data


@pytest.mark.parametrize("form", ["binary", "compact"])
@pytest.mark.parametrize("transport", ["framed", "unframed"])
@pytest.mark.parametrize("multiplexed", [False, True], ids=["plain", "multiplexed"])
def test_our_back_is_served_by_apaches_processor(form, transport, multiplexed):
    box = ApacheBox(form, transport, multiplexed)
    prefix = "Ledger:" if multiplexed else ""

    async def main():
        sidecar = Sidecar(configuration(on_top_of(box.endpoint, form, transport)))
        await sidecar.start()
        async with Caller(address(sidecar), Form.COMPACT) as caller:
            for at in range(5):
                reply = await caller.call(prefix + "post", posting(f"p{at}", Form.COMPACT))
                assert field_at(reply.body, reply.form, (0,)) == -77
            caller.send(prefix + "note", posting("n", Form.COMPACT), MessageKind.ONEWAY)
            reply = await caller.call(prefix + "balance", posting("q", Form.COMPACT))
            assert field_at(reply.body, reply.form, (0,)) == -77
            if not multiplexed:
                assert said(await caller.call("echo"))[0] == 1  # the box's own word
        await until(lambda: len(box.processor.ran) >= 7)
        sidecar.close()

    asyncio.run(main())
    names = [name.rpartition(":")[2] for name, _ in box.processor.ran]
    assert names.count("post") == 5
    assert names.count("note") == 1
    box.socket.close()


@pytest.mark.parametrize("way", ["binary framed", "compact framed", "accelerated framed", "binary unframed"])
def test_our_back_is_served_by_thriftpy2s_processor(way):
    protocol, transport = PY[way]
    ran: list[str] = []

    class Handler:
        def post(self, posting: Any) -> Any:
            ran.append(posting.id)
            return LEDGER.Receipt(id=posting.id, box="stranger")

        def note(self, posting: Any) -> None:
            ran.append(posting.id)

    socket = PyServerSocket(host="127.0.0.1", port=1)
    socket.port = 0
    socket.listen()
    port = socket.sock.getsockname()[1]
    socket.listen = lambda: None
    server = PyThreadedServer(
        PyProcessor(LEDGER.Ledger, Handler()),
        socket,
        iprot_factory=protocol,
        itrans_factory=transport,
        daemon=True,
    )
    threading.Thread(target=server.serve, daemon=True).start()

    async def main():
        form = "compact" if way.startswith("compact") else "binary"
        data = on_top_of(f"127.0.0.1:{port}", form, "unframed" if way.endswith("unframed") else "framed")
        sidecar = Sidecar(configuration(data))
        await sidecar.start()
        async with Caller(address(sidecar), Form.BINARY) as caller:
            for at in range(5):
                assert box_of(await caller.call("post", posting(f"p{at}"))) == "stranger"
        sidecar.close()

    asyncio.run(main())
    assert ran == [f"p{at}" for at in range(5)]
    server.close()
