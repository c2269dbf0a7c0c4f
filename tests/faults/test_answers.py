"""Answers that belong to no request, or to one that is over: none of them may reach another request."""

from __future__ import annotations

import asyncio

from loopback import Caller, Peer, ask, reply, request, running, until

REST = 3600.0  # a rest that does not end while a test runs


def resting(node):
    """Connections that have brought their answer and may not be used yet."""
    return [connection for _, _, connection in node.back._resting]


def test_a_second_answer_that_comes_late_is_not_the_next_requests_answer():
    async def main():
        async def script(message):
            if message.headers["req-id"] == "q2":
                # The crossing: the first request's second answer comes when the second request is out.
                server._writers[0].write(reply(200, b"one again"))
                await server._writers[0].drain()
            return reply(200, message.headers["req-id"].encode())

        server = Peer(script)
        async with running(server) as node:
            node.back._rest_s = REST
            assert (await ask(node, request(name="q1"))).body == b"q1"
            assert (await ask(node, request(name="q2"))).body == b"q2"
            assert server.connections == 2

    asyncio.run(main())


def test_a_second_answer_ends_the_connection_that_rests_and_nothing_else():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.back._rest_s = REST
            assert (await ask(node, request(name="q1"))).status == 200
            (connection,) = resting(node)
            server._writers[0].write(reply(200, b"again"))
            await until(lambda: not connection.usable)
            await until(lambda: node.back.size == 0)
            node.back._rest_timer.cancel()
            node.back._resting[0] = (0.0, *node.back._resting[0][1:])
            node.back._end_rests()  # its rest is over
            assert node.back._servers["s0"].idle == []
            assert (await ask(node, request(name="q2"))).status == 200
            assert server.connections == 2

    asyncio.run(main())


def test_a_connection_is_used_again_when_its_rest_is_over():
    async def main():
        server = Peer()
        async with running(server) as node:
            for name in ("q1", "q2", "q3"):
                assert (await ask(node, request(name=name))).status == 200
                await until(lambda: node.back._servers["s0"].idle)
            assert server.connections == 1

    asyncio.run(main())


def test_a_connection_that_brought_more_than_was_requested_carries_nothing_more():
    async def main():
        async def script(message):
            return reply(200, message.headers["req-id"].encode()) + reply(200, b"more")

        server = Peer(script)
        async with running(server) as node:
            node.back._rest_s = 0.0  # it would be used again at once
            for name in ("q1", "q2"):
                assert (await ask(node, request(name=name))).body == name.encode()
            assert server.connections == 2

    asyncio.run(main())


def test_an_answer_that_never_ends_is_given_up_and_its_end_reaches_nobody():
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
            ended.set()  # what is left of it goes out on a connection that the node has closed
            assert (await caller.ask(request("post", "q2"))).body == b"own"
            assert server.connections == 2
            caller.writer.close()

    asyncio.run(main())
