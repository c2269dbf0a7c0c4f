"""A sidecar in this process that takes Thrift, beside stand-in boxes, and a caller of our own that pipelines."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from beside import address, alongside, row
from trees import body_of

from loadbalancer.emulator.thrift import ThriftBox
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.thrift import types as t
from loadbalancer.thrift.codec import Decoder, encode, field_at, read_exception
from loadbalancer.thrift.types import Form, Message, MessageKind, ProtocolError

__all__ = ["address"]  # for those that import it from here

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


def shape(*around: ThriftBox, thrift: dict[str, Any] | None = None, **more: Any) -> dict[str, Any]:
    """A configuration's plain data, with parts replaced."""
    servers = [{"id": box.name, "address": box.endpoint} for box in around]
    pool = {
        "name": "boxes",
        "protocol": "thrift",
        "connect_timeout_ms": 20000,  # nothing is given up because this machine is slow
        "list": {"source": "static", "servers": servers},
    }
    data = row(
        listeners=[{"name": "application", "address": "127.0.0.1:0", "protocol": "thrift"}],
        pools=[pool | ({"thrift": thrift} if thrift else {})],
        classes=CLASSES,
        routes=ROUTES,
    )
    return data | more


def boxes(count: int) -> list[ThriftBox]:
    return [ThriftBox(f"box-{at}") for at in range(count)]


def running(*around: ThriftBox, **more: Any) -> contextlib.AbstractAsyncContextManager[Sidecar]:
    return alongside(around, lambda: shape(*around, **more))


def posting(name: str, form: Form = Form.BINARY, tenant: str = "") -> bytes:
    """The arguments of `post`, `record` and `note`."""
    inner = [(1, t.STRING, name.encode()), (2, t.STRING, b"book"), (3, t.STRING, tenant.encode())]
    return body_of(form, [(1, t.STRUCT, inner)])


class Caller:
    """One connection; calls go out as they are told to, whatever is still owed."""

    def __init__(self, where: tuple[str, int], form: Form = Form.BINARY, framed: bool = True) -> None:
        self.where, self.form, self.framed = where, form, framed
        self.seqid = 0
        self._decoder = Decoder(16 * 1024 * 1024)
        self._found: list[Message | ProtocolError] = []

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
        """Returns the call's sequence id."""
        self.seqid += 1
        number = self.seqid if seqid is None else seqid
        self.writer.write(encode(Message(self.form, kind, name.encode(), number, body), self.framed))
        return number

    async def reply(self) -> Message:
        """The next reply; ConnectionError where the connection ends instead."""
        async with asyncio.timeout(20):
            while not self._found:
                data = await self.reader.read(65536)
                if not data:
                    raise ConnectionError("ended")
                self._found += self._decoder.feed(data)
        found = self._found.pop(0)
        assert isinstance(found, Message), found
        return found

    async def call(self, name: str, body: bytes = b"\0") -> Message:
        number = self.send(name, body)
        found = await self.reply()
        assert found.seqid == number
        return found

    async def ended(self) -> bool:
        """Whether the connection ends with nothing more on it."""
        async with asyncio.timeout(20):
            return not self._found and not await self.reader.read()


def said(reply: Message) -> tuple[int, str]:
    """Type and message of an exception."""
    assert reply.kind is MessageKind.EXCEPTION
    return read_exception(reply.body, reply.form)


def box_of(reply: Message) -> str:
    """The box that a receipt names."""
    assert reply.kind is MessageKind.REPLY
    found = field_at(reply.body, reply.form, (0, 2))
    assert isinstance(found, bytes)
    return found.decode()
