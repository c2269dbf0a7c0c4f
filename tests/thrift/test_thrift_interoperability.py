"""Interoperability: Apache Thrift's library and thriftpy2 as callers of the sidecar and as its upstream servers."""

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


# ------------------------------------------------------------------ Apache's library as a caller


class ApacheCaller:
    """A client like those that Apache's compiler generates, with the methods that the tests use."""

    def __init__(self, protocol: Any) -> None:
        self._protocol = protocol
        self._seqid = 0

    def _send(self, name: str, kind: int, write: Callable[[Any], None]) -> None:
        self._seqid += 1
        output_protocol = self._protocol
        output_protocol.writeMessageBegin(name, kind, self._seqid)
        output_protocol.writeStructBegin("args")
        write(output_protocol)
        output_protocol.writeFieldStop()
        output_protocol.writeStructEnd()
        output_protocol.writeMessageEnd()
        output_protocol.trans.flush()

    def _receive(self, read: Callable[[Any, int, int], Any]) -> Any:
        input_protocol = self._protocol
        _, kind, seqid = input_protocol.readMessageBegin()
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            error.read(input_protocol)
            input_protocol.readMessageEnd()
            raise error
        assert (kind, seqid) == (TMessageType.REPLY, self._seqid)
        result = None
        input_protocol.readStructBegin()
        while True:
            _, field_type, number = input_protocol.readFieldBegin()
            if field_type == TType.STOP:
                break
            result = read(input_protocol, field_type, number)
            input_protocol.readFieldEnd()
        input_protocol.readStructEnd()
        input_protocol.readMessageEnd()
        return result

    @staticmethod
    def _posting(output_protocol: Any, name: str) -> None:
        output_protocol.writeFieldBegin("posting", TType.STRUCT, 1)
        output_protocol.writeStructBegin("Posting")
        for number, (field_type, value) in enumerate(
            ((TType.STRING, name), (TType.STRING, "book"), (TType.STRING, ""), (TType.I64, -5)), 1
        ):
            output_protocol.writeFieldBegin("f", field_type, number)
            (output_protocol.writeString if field_type == TType.STRING else output_protocol.writeI64)(value)
            output_protocol.writeFieldEnd()
        output_protocol.writeFieldStop()
        output_protocol.writeStructEnd()
        output_protocol.writeFieldEnd()

    def post(self, name: str) -> tuple[str, ...]:
        self._send("post", TMessageType.CALL, lambda output_protocol: self._posting(output_protocol, name))

        def read(input_protocol: Any, field_type: int, number: int) -> Any:
            assert field_type == TType.STRUCT
            strings = []
            input_protocol.readStructBegin()
            while True:
                _, inner, _ = input_protocol.readFieldBegin()
                if inner == TType.STOP:
                    break
                strings.append(input_protocol.readString())
                input_protocol.readFieldEnd()
            input_protocol.readStructEnd()
            return (*strings, number)

        result: tuple[str, ...] = self._receive(read)
        return result

    def note(self, name: str) -> None:
        self._send("note", TMessageType.ONEWAY, lambda output_protocol: self._posting(output_protocol, name))

    def balance(self) -> int:
        def write(output_protocol: Any) -> None:
            output_protocol.writeFieldBegin("book", TType.STRING, 1)
            output_protocol.writeString("book")
            output_protocol.writeFieldEnd()

        self._send("balance", TMessageType.CALL, write)
        result: int = self._receive(lambda input_protocol, field_type, number: input_protocol.readI64())
        return result

    def missing(self) -> None:
        self._send("missing", TMessageType.CALL, lambda output_protocol: None)
        self._receive(lambda input_protocol, field_type, number: None)


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
def test_callers_of_apaches_library_are_served(protocol, transport, multiplexed):
    def run_caller(server_address: tuple[str, int]) -> None:
        socket = TSocket(*server_address)
        socket.setTimeout(20_000)
        trans = TRANSPORTS[transport](socket)
        trans.open()
        proto = PROTOCOLS[protocol](trans)
        caller = ApacheCaller(TMultiplexedProtocol(proto, "Ledger") if multiplexed else proto)
        assert caller.post("a1") == ("a1", "box-0", 0)
        caller.note("a2")
        assert caller.balance() == 120450
        assert caller.post("a3")[-1] == 0  # the field of the result
        if not multiplexed:
            with pytest.raises(
                TApplicationException, match="bad call; never ran; no route takes missing"
            ) as error_info:
                caller.missing()
            assert error_info.value.type == TApplicationException.UNKNOWN_METHOD
        assert caller.post("a4")[0] == "a4"
        trans.close()

    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar:
            await asyncio.to_thread(run_caller, address(sidecar))
            assert servers[0].ran == {"a1": 1, "a2": 1, "a3": 1, "a4": 1}

    asyncio.run(main())


def test_apaches_caller_receives_the_declared_exception_of_its_service():
    def run_caller(server_address: tuple[str, int]) -> None:
        trans = TFramedTransport(TSocket(*server_address))
        trans.open()
        assert ApacheCaller(TBinaryProtocol(trans)).post("x") == ("the book is closed", 1)
        trans.close()

    async def main():
        servers = boxes(1)
        servers[0].behaviour.declared = 1
        async with running(*servers) as sidecar:
            await asyncio.to_thread(run_caller, address(sidecar))

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


@pytest.mark.parametrize("variant", list(PY))
def test_callers_of_thriftpy2_are_served(variant):
    protocol, transport = PY[variant]

    def run_caller(server_address: tuple[str, int]) -> None:
        host, port = server_address
        client = make_client(
            LEDGER.Ledger, host, port, proto_factory=protocol, trans_factory=transport, timeout=20_000
        )
        receipt = client.post(LEDGER.Posting(id="t1", book="b", tenant="", cents=5))
        assert (receipt.id, receipt.box) == ("t1", "box-0")
        client.note(LEDGER.Posting(id="t2"))
        assert client.balance("book") == 120450
        if variant != "multiplexed":
            assert client.record(LEDGER.Posting(id="t3")).id == "t3"
            with pytest.raises(PyApplicationException, match="class move needs its key"):
                client.record(LEDGER.Posting())
        with pytest.raises(LEDGER.Declined, match="the book is closed"):
            client.post(LEDGER.Posting(id="t4"))
        client.close()

    async def main():
        servers = boxes(1)
        async with running(*servers) as sidecar:
            box, usual = servers[0], servers[0].result

            def result(call: Message) -> bytes:
                closed = field_at(call.body, call.form, (1, 1)) == b"t4"
                return box.declared(call) if closed else usual(call)

            box.result = result  # type: ignore[method-assign]
            await asyncio.to_thread(run_caller, address(sidecar))
            assert set(servers[0].ran.values()) == {1}

    asyncio.run(main())


# ------------------------------------------------------------------ both libraries as upstream servers


class ApacheProcessor(TProcessor):  # type: ignore[misc]
    """A processor like those that Apache's compiler generates, for `balance`, `post` and `note`."""

    def __init__(self) -> None:
        self.ran: list[tuple[str, int]] = []

    def process(self, input_protocol: Any, output_protocol: Any) -> bool:
        name, kind, seqid = input_protocol.readMessageBegin()
        input_protocol.skip(TType.STRUCT)
        input_protocol.readMessageEnd()
        self.ran.append((name, kind))
        if kind == TMessageType.ONEWAY:
            return True
        if name not in ("balance", "post"):
            output_protocol.writeMessageBegin(name, TMessageType.EXCEPTION, seqid)
            TApplicationException(TApplicationException.UNKNOWN_METHOD, "unknown " + name).write(
                output_protocol
            )
        else:
            output_protocol.writeMessageBegin(name, TMessageType.REPLY, seqid)
            output_protocol.writeStructBegin("result")
            output_protocol.writeFieldBegin("success", TType.I64, 0)
            output_protocol.writeI64(-77)
            output_protocol.writeFieldEnd()
            output_protocol.writeFieldStop()
            output_protocol.writeStructEnd()
        output_protocol.writeMessageEnd()
        output_protocol.trans.flush()
        return True


class ClosingSocket(TServerSocket):
    """A server socket that ends its accept loop once it has been closed."""

    def accept(self) -> Any:
        try:
            return super().accept()
        except (OSError, AttributeError):
            # Guard: the library's server loop logs any Exception and accepts again without end, which occupies a core
            # and floods the log during the rest of the test run; SystemExit ends its thread.
            raise SystemExit from None


class ApacheServer:
    """Apache's threaded server on a free port."""

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


def configuration_with(endpoint: str, form: str, transport: str) -> dict[str, Any]:
    data = shape(thrift={"form": form, "transport": transport})
    data["pools"][0]["list"]["servers"] = [{"id": "stranger", "address": endpoint}]
    return data


@pytest.mark.parametrize("form", ["binary", "compact"])
@pytest.mark.parametrize("transport", ["framed", "unframed"])
@pytest.mark.parametrize("multiplexed", [False, True], ids=["plain", "multiplexed"])
def test_calls_are_served_by_apaches_processor(form, transport, multiplexed):
    box = ApacheServer(form, transport, multiplexed)
    prefix = "Ledger:" if multiplexed else ""

    async def main():
        sidecar = Sidecar(configuration(configuration_with(box.endpoint, form, transport)))
        await sidecar.start()
        async with Caller(address(sidecar), Form.COMPACT) as caller:
            for at in range(5):
                reply = await caller.call(prefix + "post", posting(f"p{at}", Form.COMPACT))
                assert field_at(reply.body, reply.form, (0,)) == -77
            caller.send(prefix + "note", posting("n", Form.COMPACT), MessageKind.ONEWAY)
            reply = await caller.call(prefix + "balance", posting("q", Form.COMPACT))
            assert field_at(reply.body, reply.form, (0,)) == -77
            if not multiplexed:
                assert said(await caller.call("echo"))[0] == 1  # the exception comes from the server itself
        await until(lambda: len(box.processor.ran) >= 7)
        sidecar.close()

    asyncio.run(main())
    names = [name.rpartition(":")[2] for name, _ in box.processor.ran]
    assert names.count("post") == 5
    assert names.count("note") == 1
    box.socket.close()


@pytest.mark.parametrize(
    "variant", ["binary framed", "compact framed", "accelerated framed", "binary unframed"]
)
def test_calls_are_served_by_thriftpy2s_processor(variant):
    protocol, transport = PY[variant]
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
        form = "compact" if variant.startswith("compact") else "binary"
        data = configuration_with(
            f"127.0.0.1:{port}", form, "unframed" if variant.endswith("unframed") else "framed"
        )
        sidecar = Sidecar(configuration(data))
        await sidecar.start()
        async with Caller(address(sidecar), Form.BINARY) as caller:
            for at in range(5):
                assert box_of(await caller.call("post", posting(f"p{at}"))) == "stranger"
        sidecar.close()

    asyncio.run(main())
    assert ran == [f"p{at}" for at in range(5)]
    server.close()
