"""Helpers: a sidecar in the test process with Thrift listeners and emulated servers, and a pipelining caller."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from beside import address, configuration_data, running_sidecar
from random_thrift_values import body_of

from loadbalancer.emulator.thrift import ThriftBox
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.thrift import types as t
from loadbalancer.thrift.codec import Decoder, encode, field_at, read_exception
from loadbalancer.thrift.types import Form, Message, MessageKind, ProtocolError

__all__ = ["address"]  # re-exported for the tests

LONG = {"aim_ms": 20000, "give_up_ms": 30000}
CLASSES = [
    {"name": "read", "pool": "boxes", "effect": "safe", "worth": 12} | LONG,
    {"name": "post", "pool": "boxes", "effect": "unsafe", "oneway_ms": 20} | LONG,
    {"name": "move", "pool": "boxes", "effect": "keyed", "memory_ms": 9000, "key_field": "1.1"} | LONG,
]
ROUTES = [
    {"class": "read", "call": "balance"},
    {"class": "read", "call": "echo"},
    {"class": "read", "call": "Ledger:balance"},
    {"class": "move", "call": "record"},
    {"class": "post", "call": "post*"},
    {"class": "post", "call": "note"},
    {"class": "post", "call": "Ledger:*"},
]


def shape(*servers: ThriftBox, thrift: dict[str, Any] | None = None, **more: Any) -> dict[str, Any]:
    """The configuration of a sidecar as plain data; `more` replaces top-level parts."""
    server_rows = [{"id": box.name, "address": box.endpoint} for box in servers]
    pool = {
        "name": "boxes",
        "protocol": "thrift",
        "connect_timeout_ms": 20000,  # long enough that a slow machine causes no timeout
        "list": {"source": "static", "servers": server_rows},
    }
    data = configuration_data(
        listeners=[{"name": "application", "address": "127.0.0.1:0", "protocol": "thrift"}],
        pools=[pool | ({"thrift": thrift} if thrift else {})],
        classes=CLASSES,
        routes=ROUTES,
    )
    return data | more


def boxes(count: int) -> list[ThriftBox]:
    return [ThriftBox(f"box-{at}") for at in range(count)]


def running(*servers: ThriftBox, **more: Any) -> contextlib.AbstractAsyncContextManager[Sidecar]:
    return running_sidecar(servers, lambda: shape(*servers, **more))


def posting(name: str, form: Form = Form.BINARY, tenant: str = "") -> bytes:
    """The encoded arguments of `post`, `record` and `note`."""
    inner = [(1, t.STRING, name.encode()), (2, t.STRING, b"book"), (3, t.STRING, tenant.encode())]
    return body_of(form, [(1, t.STRUCT, inner)])


class Caller:
    """A Thrift client with one connection, which can send calls while replies are pending."""

    def __init__(self, where: tuple[str, int], form: Form = Form.BINARY, framed: bool = True) -> None:
        self.where, self.form, self.framed = where, form, framed
        self.seqid = 0
        self._decoder = Decoder(16 * 1024 * 1024)
        self._received: list[Message | ProtocolError] = []

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection(*self.where)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.writer.close()

    def send(
        self,
        name: str,
        body: bytes = b"\0",
        kind: MessageKind = MessageKind.CALL,
        seqid: int | None = None,
    ) -> int:
        """Send a call without waiting for the reply; returns its sequence id."""
        self.seqid += 1
        number = self.seqid if seqid is None else seqid
        self.writer.write(encode(Message(self.form, kind, name.encode(), number, body), self.framed))
        return number

    async def reply(self) -> Message:
        """The next reply; ConnectionError if the connection is closed instead."""
        async with asyncio.timeout(20):
            while not self._received:
                data = await self.reader.read(65536)
                if not data:
                    raise ConnectionError("ended")
                self._received += self._decoder.feed(data)
        message = self._received.pop(0)
        assert isinstance(message, Message), message
        return message

    async def call(self, name: str, body: bytes = b"\0") -> Message:
        number = self.send(name, body)
        message = await self.reply()
        assert message.seqid == number
        return message

    async def ended(self) -> bool:
        """Wait for the connection to be closed; whether no further message arrived before."""
        async with asyncio.timeout(20):
            return not self._received and not await self.reader.read()


def said(reply: Message) -> tuple[int, str]:
    """Type and message of a `TApplicationException` reply."""
    assert reply.kind is MessageKind.EXCEPTION
    return read_exception(reply.body, reply.form)


def box_of(reply: Message) -> str:
    """The name of the server in a receipt."""
    assert reply.kind is MessageKind.REPLY
    message = field_at(reply.body, reply.form, (0, 2))
    assert isinstance(message, bytes)
    return message.decode()
