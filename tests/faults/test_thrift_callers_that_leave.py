"""Thrift clients that disconnect: calls that expect a reply are not forwarded, and oneway calls still run.

The tests force each race: a server that delays its replies, data and end of stream that are both in the kernel before
the node's event loop runs, or a client that does not read.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import until
from thrifty import Caller, address, boxes, posting, running

from loadbalancer.thrift.codec import encode
from loadbalancer.thrift.server import MAX_PIPELINED_CALLS
from loadbalancer.thrift.types import Form, Message, MessageKind

ONEWAY = MessageKind.ONEWAY


def call(name, method="post", kind=MessageKind.CALL):
    return encode(Message(Form.BINARY, kind, method.encode(), 1, posting(name)), True)


def release(box):
    """Make a box answer the calls that it has delayed."""
    box.behaviour.hang = False
    for connection in list(box.connections):
        connection._busy = False
        connection._send_reply(box.calls[-1])


async def until_nothing_is_open(sidecar):
    """Wait until no client is connected and no call is open."""
    server = sidecar.listeners["application"].front.server
    await until(lambda: not server.connections and not sidecar.pools["boxes"].requests)


@pytest.mark.parametrize(
    "waiting_calls", [5, MAX_PIPELINED_CALLS + 8], ids=["still reading", "reading paused"]
)
def test_disconnect_while_pipelined_calls_wait_for_an_earlier_one(waiting_calls):
    """Guard: with many calls waiting, reading stops; the end of stream went unnoticed, and all calls were forwarded."""

    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            box.behaviour.hang = True
            async with Caller(address(sidecar)) as caller:
                for at in range(waiting_calls):
                    caller.send("post", posting(f"p{at}"))
                await until(lambda: box.ran)
                (connection,) = sidecar.listeners["application"].front.server.connections
                await until(lambda: len(connection._calls) >= min(waiting_calls, MAX_PIPELINED_CALLS))
            await asyncio.sleep(0)
            release(box)
            await until_nothing_is_open(sidecar)
            assert set(box.ran) == {"p0"}

    asyncio.run(main())


def test_disconnect_before_the_calls_are_read():
    """Guard: data and end of stream are delivered separately, so the first call could be forwarded between them."""

    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            async with Caller(address(sidecar)) as ready:
                await ready.call("post", posting("ready"))  # a connection to the box is established
            for at in range(20):  # the node's event loop does not run between connect and close
                with socket.create_connection(address(sidecar)) as client:
                    client.sendall(call(f"p{at}") + call(f"p{at}-more"))
            async with Caller(address(sidecar)) as last:
                await last.call("post", posting("last"))
            await until_nothing_is_open(sidecar)
            assert set(box.ran) == {"ready", "last"}

    asyncio.run(main())


def test_oneway_calls_of_a_disconnected_client_are_run_and_the_others_are_not():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            with socket.create_connection(address(sidecar)) as client:
                client.sendall(
                    call("p0") + call("n0", "note", ONEWAY) + call("p1") + call("n1", "note", ONEWAY)
                )
            await until(lambda: len(box.ran) >= 2)
            await until_nothing_is_open(sidecar)
            assert set(box.ran) == {"n0", "n1"}

    asyncio.run(main())


def test_disconnect_while_calls_wait_for_the_client_to_read_a_reply():
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
                await until(lambda: connection._write_buffer_full and len(connection._calls) == 2)
                raw.shutdown(socket.SHUT_WR)
                await until(lambda: connection._closing)
                while await sidecar.loop.sock_recv(
                    raw, 65536
                ):  # the reply that was already written still arrives
                    pass
            await until_nothing_is_open(sidecar)
            assert {name[:4] for name in box.ran} == {"xxxx", "n1"}

    asyncio.run(main())
