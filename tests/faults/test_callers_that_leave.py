"""A request whose caller has left while it waited is not sent on, whatever it waited for and whatever may be cancelled.

Each wait is forced: a connection that does not come up, an answer that is held back, bytes and end that are in the
kernel before the node has a turn. What was sent is counted by the servers.
"""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from beside import address, alongside, boxes, row
from loopback import Caller, Held, Peer, Scripted, ask, reply, request, running, until

from loadbalancer import interface as api
from loadbalancer.budget.repeats import Repeats
from loadbalancer.core import connection_pool

MANY = 70  # more than are connected to one server at a time, so that some stand behind those

both = pytest.mark.parametrize("cancel", [True, False])


def bounds(cancel):
    return {"cancel": cancel, "maxOpen": 1000}


def names(*peers):
    return [message.headers["req-id"] for peer in peers for message in peer.seen]


class Gate:
    """Has connections to some servers come up only when it is opened."""

    def __init__(self, node, *ports):
        self._open, self._ports = node.back.open, ports
        self._event = asyncio.Event()
        self.held = 0
        node.back.open = self

    async def __call__(self, endpoint):
        if endpoint[1] in self._ports:
            self.held += 1
            await self._event.wait()
        return await self._open(endpoint)

    def open(self):
        self._event.set()


def first_to(name):
    """Acts for a scripted module: each request goes there, once."""
    return lambda event: [api.Send(event.id, name)] if isinstance(event, api.Request) else []


async def callers(node, count, kind="read"):
    found = [await Caller.to(node) for _ in range(count)]
    for at, caller in enumerate(found):
        caller.writer.write(request(kind, f"q{at}"))
    return found


async def leave(node, found):
    for caller in found:
        caller.writer.close()
    await until(lambda: not node.server.connections)


@both
@pytest.mark.parametrize("kind", ["read", "post"])
def test_while_it_waits_to_connect_or_behind_those_that_connect(cancel, kind):
    async def main():
        server = Peer()
        async with running(server, bounds=bounds(cancel)) as node:
            node.pool.balancer = scripted = Scripted(first_to("s0"))
            gate = Gate(node, server.port)
            found = await callers(node, MANY, kind)
            await until(lambda: len(node.back._servers["s0"].waiting) == MANY)
            assert (gate.held, len(node.back._servers["s0"].queue)) == (
                connection_pool.MAX_OPENING,
                MANY - connection_pool.MAX_OPENING,
            )
            await leave(node, found)
            gate.open()
            assert (await ask(node, request(name="last"))).status == 200
            assert names(server) == ["last"]
            ends = [event.result for event in scripted.of(api.Outcome) if event.id != "last"]
            assert ends == [api.Result.MOOT] * MANY  # nothing is said of the server
            assert node.pool.requests == {}

    asyncio.run(main())


@both
def test_while_it_waits_in_the_queue_for_a_connection(cancel):
    async def main():
        server = Held()
        async with running(server, bounds=bounds(cancel)) as node:
            node.back.limit = 1
            first = asyncio.create_task(ask(node, request(name="first")))
            await until(lambda: server.seen)
            node.pool.balancer = Scripted(first_to("s0"))
            found = [await Caller.to(node) for _ in range(30)]
            for at, caller in enumerate(found):
                caller.writer.write(request(name=f"q{at}"))
            await until(lambda: node.back.waiting == 30)
            for caller in found:
                caller.writer.close()
            await until(lambda: len(node.server.connections) == 1)
            server.release.set()
            assert (await first).status == 200
            assert (await ask(node, request(name="last"))).status == 200
            assert names(server) == ["first", "last"]

    asyncio.run(main())


@both
@pytest.mark.parametrize("kind", ["read", "post", "move"])
def test_while_the_attempt_before_is_out_that_would_be_retried(cancel, kind):
    async def main():
        decline = asyncio.Event()

        async def script(message):
            await decline.wait()
            return reply(503, b"", Srv_Declined="1")

        first, second = Peer(script), Peer()
        headers = {"Idempotency_Key": "k"} if kind == "move" else {}
        async with running(first, second, bounds=bounds(cancel)) as node:
            node.pool.balancer = Scripted(again_at("s1"))
            found = [await Caller.to(node) for _ in range(20)]
            for at, caller in enumerate(found):
                caller.writer.write(request(kind, f"q{at}", **headers))
            await until(lambda: len(first.seen) == 20)
            await leave(node, found)
            decline.set()
            await until(lambda: not node.pool.requests)
            assert names(second) == []

    asyncio.run(main())


@both
def test_while_its_second_attempt_waits_to_connect(cancel):
    async def main():
        async def script(message):
            return reply(503, b"", Srv_Declined="1")

        first, second = Peer(script), Peer()
        async with running(first, second, bounds=bounds(cancel)) as node:
            gate = Gate(node, second.port)
            node.pool.balancer = Scripted(again_at("s1"))
            found = await callers(node, 20)
            await until(lambda: gate.held == 20)
            await leave(node, found)
            gate.open()
            node.pool.balancer = Scripted(first_to("s1"))
            assert (await ask(node, request(name="last"))).status == 200
            assert names(second) == ["last"]

    asyncio.run(main())


def again_at(name):
    """Acts for a scripted module: the first server first, and where it never ran, this one."""

    def act(event):
        if isinstance(event, api.Request):
            return [api.Send(event.id, "s0")]
        if isinstance(event, api.Outcome) and event.result is api.Result.FULL:
            return [api.Send(event.id, name)]
        return []

    return act


@both
def test_a_caller_that_has_sent_and_gone_before_it_is_read(cancel):
    """Guard: bytes and end are delivered one after the other, and the request was sent on between them."""

    async def main():
        server = Held()
        async with running(server, bounds=bounds(cancel)) as node:
            node.pool.balancer = Scripted(first_to("s0"))
            # A connection for each of them is up, so that nothing else would hold it back.
            ready = [asyncio.create_task(ask(node, request(name=f"r{at}"))) for at in range(20)]
            await until(lambda: len(server.seen) == 20)
            server.release.set()
            await asyncio.gather(*ready)
            await until(lambda: len(node.back._servers["s0"].idle) == 20)
            server.seen.clear()
            for at in range(20):  # the node has no turn of the loop while these come and go
                with socket.create_connection(node.server.address) as gone:
                    gone.sendall(b"".join(request("post", f"q{at}-{which}") for which in range(10)))
            assert (await ask(node, request(name="last"))).status == 200
            await until(lambda: not node.server.connections)
            assert names(server) == ["last"]

    asyncio.run(main())


@both
def test_what_waits_behind_another_request_of_a_caller_that_has_gone(cancel):
    async def main():
        server = Held()
        async with running(server, bounds=bounds(cancel)) as node:
            caller = await Caller.to(node)
            caller.writer.write(b"".join(request("post", f"q{at}") for at in range(5)))
            await until(lambda: server.seen)
            await leave(node, [caller])
            server.release.set()
            assert (await ask(node, request(name="last"))).status == 200
            assert names(server) == ["q0", "last"]

    asyncio.run(main())


def test_what_waits_behind_an_answer_that_its_caller_is_slow_to_read():
    """Guard: reading is paused then, so that the end was seen only after the next request had been sent on."""

    async def main():
        async def script(message):
            return reply(200, b"x" * 60000)

        server = Peer(script)
        async with running(server) as node:
            node.back._rest_s = 0.0  # a connection is there for the next one
            raw = socket.socket()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            raw.setblocking(False)
            await node.loop.sock_connect(raw, node.server.address)
            await until(lambda: node.server.connections)
            (connection,) = node.server.connections
            connection._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            connection._transport.set_write_buffer_limits(high=1)
            await node.loop.sock_sendall(raw, b"".join(request(name=f"q{at}") for at in range(20)))
            await until(lambda: connection._stuck and len(connection._calls) > 1)
            before = len(server.seen)
            raw.shutdown(socket.SHUT_WR)
            while await node.loop.sock_recv(raw, 65536):
                pass
            raw.close()
            assert (await ask(node, request(name="last"))).status == 200
            assert names(server) == [*(f"q{at}" for at in range(before)), "last"]

    asyncio.run(main())


def test_a_reset_that_comes_between_an_answer_and_the_next_request_is_no_fault_here():
    """Guard: there was no end to be written on it, and the callback that wrote one ended in a traceback."""

    async def main():
        server, faults = Held(), []
        async with running(server) as node:
            node.loop.set_exception_handler(lambda loop, context: faults.append(context))
            raw = socket.create_connection(node.server.address)
            raw.sendall(request("post", "q0") + request("post", "q1"))
            await until(lambda: server.seen)
            (connection,) = node.server.connections
            go_on = connection._next

            def crossing():
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                raw.close()
                go_on()

            connection._next = crossing
            server.release.set()
            await until(lambda: not node.server.connections)
            assert (names(server), faults) == (["q0"], [])

    asyncio.run(main())


def test_a_second_copy_that_waits_to_connect_when_the_first_has_answered():
    async def main():
        first, second = Held(), Peer()
        async with running(first, second, bounds={"cancel": False}) as node:
            gate = Gate(node, second.port)
            node.pool.balancer = Scripted(
                lambda event: (
                    [api.Send(event.id, "s0"), api.Send(event.id, "s1")]
                    if isinstance(event, api.Request)
                    else []
                )
            )
            asked = asyncio.create_task(ask(node, request()))
            await until(lambda: first.seen and gate.held)
            first.release.set()
            assert (await asked).status == 200
            gate.open()
            await until(lambda: not node.back._opening)
            assert (names(second), node.pool.requests) == ([], {})

    asyncio.run(main())


def test_a_keyed_repeat_that_waits_to_connect_until_its_key_is_forgotten_is_not_sent():
    """Guard: it was picked in time and written when the servers had forgotten the key: an effect twice."""

    async def main():
        async def script(message):
            return reply(500)

        first, second = Peer(script), Peer(script)
        window = {"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded"}
        async with running(
            first,
            second,
            bounds={"connectTimeoutMs": 30000.0},
            settings={"categories": [{**window, "memorySpanMs": 200.0}]},
        ) as node:
            gate = Gate(node, *(port for port in (first.port, second.port)))
            caller = await Caller.to(node)
            caller.writer.write(request("move", "q1", Idempotency_Key="k"))
            await until(lambda: gate.held == 1)
            gate.open()  # the first attempt goes out and may have run; the second one waits
            gate = Gate(node, *(port for port in (first.port, second.port)))
            await until(lambda: gate.held == 1)
            forgotten = node.clock.ms() + 250.0
            await until(lambda: node.clock.ms() > forgotten)
            gate.open()
            assert (await caller.answer()).status == 502
            await until(lambda: not node.back._opening)
            assert len(first.seen) + len(second.seen) == 1
            caller.writer.close()

    asyncio.run(main())


def test_a_keyed_request_that_never_left_binds_no_repeat_of_it(monkeypatch):
    """Guard: its second try was held to go where the first had only waited to connect."""
    ends, end = [], Repeats.end

    def told(self, *args, **more):
        ends.append(more["earlier"])
        end(self, *args, **more)

    monkeypatch.setattr(Repeats, "end", told)

    async def main():
        (box,) = boxes(1)
        budget = {"share": 0.5, "floor_per_s": 5.0}
        async with alongside((box,), lambda: row(box, budget=budget)) as sidecar:
            gate = Gate(sidecar.managed["boxes"], int(box.endpoint.rpartition(":")[2]))
            _, writer = await asyncio.open_connection(*address(sidecar))
            writer.write(request("move", "q1", Idempotency_Key="k"))
            await until(lambda: gate.held)
            writer.close()
            await until(lambda: ends)
            assert ends == [None]

    asyncio.run(main())
