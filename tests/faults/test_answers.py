"""Responses that belong to no request or to a finished one must not reach another request."""

from __future__ import annotations

import asyncio

from loopback import Caller, Peer, ask, reply, request, running, until

REUSE_DELAY_S = 3600.0  # longer than any test


def delayed_connections(node):
    """Connections that have delivered a response and may not be reused yet."""
    return [connection for _, _, connection in node.back._awaiting_reuse]


def test_a_late_second_response_is_not_delivered_to_the_next_request():
    async def main():
        async def script(message):
            if message.headers["req-id"] == "q2":
                # The race: the second response to the first request arrives after the second request was sent.
                server._writers[0].write(reply(200, b"one again"))
                await server._writers[0].drain()
            return reply(200, message.headers["req-id"].encode())

        server = Peer(script)
        async with running(server) as node:
            node.back._reuse_delay_s = REUSE_DELAY_S
            assert (await ask(node, request(name="q1"))).body == b"q1"
            assert (await ask(node, request(name="q2"))).body == b"q2"
            assert server.connections == 2

    asyncio.run(main())


def test_a_second_response_closes_only_the_connection_that_is_not_reusable_yet():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.back._reuse_delay_s = REUSE_DELAY_S
            assert (await ask(node, request(name="q1"))).status == 200
            (connection,) = delayed_connections(node)
            server._writers[0].write(reply(200, b"again"))
            await until(lambda: not connection.usable)
            await until(lambda: node.back.size == 0)
            node.back._reuse_timer.cancel()
            node.back._awaiting_reuse[0] = (0.0, *node.back._awaiting_reuse[0][1:])
            node.back._end_reuse_delays()  # the reuse delay is over
            assert node.back._servers["s0"].idle == []
            assert (await ask(node, request(name="q2"))).status == 200
            assert server.connections == 2

    asyncio.run(main())


def test_a_connection_is_reused_after_the_reuse_delay():
    async def main():
        server = Peer()
        async with running(server) as node:
            for name in ("q1", "q2", "q3"):
                assert (await ask(node, request(name=name))).status == 200
                await until(lambda: node.back._servers["s0"].idle)
            assert server.connections == 1

    asyncio.run(main())


def test_a_connection_that_delivered_surplus_bytes_is_not_reused():
    async def main():
        async def script(message):
            return reply(200, message.headers["req-id"].encode()) + reply(200, b"more")

        server = Peer(script)
        async with running(server) as node:
            node.back._reuse_delay_s = 0.0  # without a delay it would be reused at once
            for name in ("q1", "q2"):
                assert (await ask(node, request(name=name))).body == name.encode()
            assert server.connections == 2

    asyncio.run(main())


def test_an_incomplete_response_times_out_and_its_rest_reaches_no_other_request():
    async def main():
        ended = asyncio.Event()

        async def script(message):
            if message.headers["req-id"] != "q1":
                return reply(200, b"own")
            writer = server._writers[0]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnever")
            await writer.drain()
            await ended.wait()
            return b"ends"

        server = Peer(script)
        async with running(server) as node:
            caller = await Caller.to(node)
            first = await caller.ask(request("post", "q1", Req_Deadline_Ms="300"))
            assert first.status == 504
            ended.set()  # the rest is sent on a connection that the node has closed
            assert (await caller.ask(request("post", "q2"))).body == b"own"
            assert server.connections == 2
            caller.writer.close()

    asyncio.run(main())
