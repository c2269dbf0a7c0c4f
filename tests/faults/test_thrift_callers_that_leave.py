"""Thrift callers that leave: what they wanted a reply to is not sent on, and what wanted none still runs.

Each crossing is forced: replies that a box holds back, bytes and end that are in the kernel before the node has a turn,
a reader that does not read.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import until
from thrifty import Caller, address, boxes, posting, running

from loadbalancer.thrift.codec import encode
from loadbalancer.thrift.server import PIPELINE
from loadbalancer.thrift.types import Form, Message, MessageKind

ONEWAY = MessageKind.ONEWAY


def call(name, method="post", kind=MessageKind.CALL):
    return encode(Message(Form.BINARY, kind, method.encode(), 1, posting(name)), True)


def release(box):
    """Have a box answer what it hung on."""
    box.behaviour.hang = False
    for connection in list(box.connections):
        connection._busy = False
        connection._finish(box.calls[-1])


async def nothing_open(sidecar):
    """Nobody is connected, and all that was asked for is over."""
    server = sidecar.listeners["application"].front.server
    await until(lambda: not server.connections and not sidecar.pools["boxes"].requests)


@pytest.mark.parametrize("behind", [5, PIPELINE + 8], ids=["read on", "no more is read"])
def test_what_waits_behind_another_call_of_a_caller_that_has_gone_is_not_sent_on(behind):
    """Guard: with so many calls waiting nothing more was read, the end neither, and all of them were sent on."""

    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.hang = True
            async with Caller(address(sidecar)) as caller:
                for at in range(behind):
                    caller.send("post", posting(f"p{at}"))
                await until(lambda: box.ran)
                (connection,) = sidecar.listeners["application"].front.server.connections
                await until(lambda: len(connection._calls) >= min(behind, PIPELINE))
            await asyncio.sleep(0)
            release(box)
            await nothing_open(sidecar)
            assert set(box.ran) == {"p0"}

    asyncio.run(main())


def test_a_caller_that_has_sent_and_gone_before_it_is_read_has_nothing_sent_on():
    """Guard: bytes and end are delivered one after the other, and the first call was sent on between them."""

    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            async with Caller(address(sidecar)) as ready:
                await ready.call("post", posting("ready"))  # a connection to the box is up
            for at in range(20):  # the node has no turn of the loop while these come and go
                with socket.create_connection(address(sidecar)) as gone:
                    gone.sendall(call(f"p{at}") + call(f"p{at}-more"))
            async with Caller(address(sidecar)) as last:
                await last.call("post", posting("last"))
            await nothing_open(sidecar)
            assert set(box.ran) == {"ready", "last"}

    asyncio.run(main())


def test_oneway_calls_of_a_caller_that_has_gone_are_run_and_the_others_are_not():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            with socket.create_connection(address(sidecar)) as gone:
                gone.sendall(
                    call("p0") + call("n0", "note", ONEWAY) + call("p1") + call("n1", "note", ONEWAY)
                )
            await until(lambda: len(box.ran) >= 2)
            await nothing_open(sidecar)
            assert set(box.ran) == {"n0", "n1"}

    asyncio.run(main())


def test_what_waits_behind_a_reply_that_its_caller_does_not_read_is_not_sent_on_when_it_goes():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            server = sidecar.listeners["application"].front.server
            with socket.socket() as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                raw.setblocking(False)
                await sidecar.loop.sock_connect(raw, address(sidecar))
                await until(lambda: server.connections)
                (connection,) = server.connections
                connection._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                long = posting("x" * 60_000)
                await sidecar.loop.sock_sendall(
                    raw,
                    encode(Message(Form.BINARY, MessageKind.CALL, b"post", 1, long), True)
                    + call("p1")
                    + call("n1", "note", ONEWAY),
                )
                await until(lambda: connection._stuck and len(connection._calls) == 2)
                raw.shutdown(socket.SHUT_WR)
                await until(lambda: connection._closing)
                while await sidecar.loop.sock_recv(raw, 65536):  # what had been answered still comes
                    pass
            await nothing_open(sidecar)
            assert {name[:4] for name in box.ran} == {"xxxx", "n1"}

    asyncio.run(main())
