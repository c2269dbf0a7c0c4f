"""A request whose client disconnects while it waits is not forwarded, whatever it waits for, with and without `cancel`.

The tests force each wait: a connection that is not established, a response that is delayed, or data and end of stream
that are both in the kernel before the node's event loop runs. The servers record the requests that they receive.
"""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from beside import address, boxes, configuration_data, running_sidecar
from loopback import BlockedServer, Caller, Peer, ScriptedBalancer, ask, reply, request, running, until

from loadbalancer import interface as api
from loadbalancer.budget.repeats import RepeatTracker
from loadbalancer.core import connection_pool

# More than the limit of concurrent connection attempts to one server, so that some are queued.
MANY_REQUESTS = 70

with_and_without_cancel = pytest.mark.parametrize("cancel", [True, False])


def bounds(cancel):
    return {"cancel": cancel, "maxOpen": 1000}


def request_ids(*peers):
    """Ids of the requests that these servers have received, in order."""
    return [message.headers["req-id"] for peer in peers for message in peer.seen]


class Gate:
    """Delays the connections to some servers until it is opened."""

    def __init__(self, node, *ports):
        self._open, self._ports = node.back.open, ports
        self._event = asyncio.Event()
        self.delayed = 0
        node.back.open = self

    async def __call__(self, endpoint):
        if endpoint[1] in self._ports:
            self.delayed += 1
            await self._event.wait()
        return await self._open(endpoint)

    def open(self):
        self._event.set()


def first_to(name):
    """Return a decision function: send each request to this server, once."""
    return lambda event: [api.Send(event.id, name)] if isinstance(event, api.Request) else []


async def callers(node, count, kind="read"):
    """Connect `count` clients, each with one request."""
    clients = [await Caller.to(node) for _ in range(count)]
    for at, caller in enumerate(clients):
        caller.writer.write(request(kind, f"q{at}"))
    return clients


async def disconnect(node, clients):
    """Disconnect clients, and wait until the node has noticed."""
    for caller in clients:
        caller.writer.close()
    await until(lambda: not node.server.connections)


@with_and_without_cancel
@pytest.mark.parametrize("kind", ["read", "post"])
def test_disconnect_while_the_request_waits_to_connect_or_is_queued_for_that(cancel, kind):
    async def main():
        server = Peer()
        async with running(server, bounds=bounds(cancel)) as node:
            node.pool.balancer = scripted = ScriptedBalancer(first_to("s0"))
            gate = Gate(node, server.port)
            clients = await callers(node, MANY_REQUESTS, kind)
            await until(lambda: len(node.back._servers["s0"].waiting) == MANY_REQUESTS)
            assert (gate.delayed, len(node.back._servers["s0"].queue)) == (
                connection_pool.MAX_OPENING,
                MANY_REQUESTS - connection_pool.MAX_OPENING,
            )
            await disconnect(node, clients)
            gate.open()
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(server) == ["last"]
            results = [event.result for event in scripted.of(api.Outcome) if event.id != "last"]
            assert results == [api.Result.MOOT] * MANY_REQUESTS  # the server is not blamed
            assert node.pool.requests == {}

    asyncio.run(main())


@with_and_without_cancel
def test_disconnect_while_the_request_is_queued_for_a_connection(cancel):
    async def main():
        server = BlockedServer()
        async with running(server, bounds=bounds(cancel)) as node:
            node.back.limit = 1
            first = asyncio.create_task(ask(node, request(name="first")))
            await until(lambda: server.seen)
            node.pool.balancer = ScriptedBalancer(first_to("s0"))
            clients = [await Caller.to(node) for _ in range(30)]
            for at, caller in enumerate(clients):
                caller.writer.write(request(name=f"q{at}"))
            await until(lambda: node.back.waiting == 30)
            for caller in clients:
                caller.writer.close()
            await until(lambda: len(node.server.connections) == 1)
            server.release.set()
            assert (await first).status == 200
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(server) == ["first", "last"]

    asyncio.run(main())


@with_and_without_cancel
@pytest.mark.parametrize("kind", ["read", "post", "move"])
def test_disconnect_during_an_attempt_that_would_be_retried(cancel, kind):
    async def main():
        decline = asyncio.Event()

        async def script(message):
            await decline.wait()
            return reply(503, b"", Srv_Declined="1")

        first, second = Peer(script), Peer()
        headers = {"Idempotency_Key": "k"} if kind == "move" else {}
        async with running(first, second, bounds=bounds(cancel)) as node:
            node.pool.balancer = ScriptedBalancer(retry_at("s1"))
            clients = [await Caller.to(node) for _ in range(20)]
            for at, caller in enumerate(clients):
                caller.writer.write(request(kind, f"q{at}", **headers))
            await until(lambda: len(first.seen) == 20)
            await disconnect(node, clients)
            decline.set()
            await until(lambda: not node.pool.requests)
            assert request_ids(second) == []

    asyncio.run(main())


@with_and_without_cancel
def test_disconnect_while_the_second_attempt_waits_to_connect(cancel):
    async def main():
        async def script(message):
            return reply(503, b"", Srv_Declined="1")

        first, second = Peer(script), Peer()
        async with running(first, second, bounds=bounds(cancel)) as node:
            gate = Gate(node, second.port)
            node.pool.balancer = ScriptedBalancer(retry_at("s1"))
            clients = await callers(node, 20)
            await until(lambda: gate.delayed == 20)
            await disconnect(node, clients)
            gate.open()
            node.pool.balancer = ScriptedBalancer(first_to("s1"))
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(second) == ["last"]

    asyncio.run(main())


def retry_at(name):
    """Return a decision function: try server s0, and then this server if s0 rejected the request."""

    def act(event):
        if isinstance(event, api.Request):
            return [api.Send(event.id, "s0")]
        if isinstance(event, api.Outcome) and event.result is api.Result.FULL:
            return [api.Send(event.id, name)]
        return []

    return act


@with_and_without_cancel
def test_disconnect_before_the_request_is_read(cancel):
    """Guard: data and end of stream are delivered separately, so the request could be forwarded between them."""

    async def main():
        server = BlockedServer()
        async with running(server, bounds=bounds(cancel)) as node:
            node.pool.balancer = ScriptedBalancer(first_to("s0"))
            # Establish a connection for each request, so that nothing else delays it.
            ready = [asyncio.create_task(ask(node, request(name=f"r{at}"))) for at in range(20)]
            await until(lambda: len(server.seen) == 20)
            server.release.set()
            await asyncio.gather(*ready)
            await until(lambda: len(node.back._servers["s0"].idle) == 20)
            server.seen.clear()
            for at in range(20):  # the node's event loop does not run between connect and close
                with socket.create_connection(node.server.address) as client:
                    client.sendall(b"".join(request("post", f"q{at}-{which}") for which in range(10)))
            assert (await ask(node, request(name="last"))).status == 200
            await until(lambda: not node.server.connections)
            assert request_ids(server) == ["last"]

    asyncio.run(main())


@with_and_without_cancel
def test_disconnect_while_pipelined_requests_wait_for_an_earlier_one(cancel):
    async def main():
        server = BlockedServer()
        async with running(server, bounds=bounds(cancel)) as node:
            caller = await Caller.to(node)
            caller.writer.write(b"".join(request("post", f"q{at}") for at in range(5)))
            await until(lambda: server.seen)
            await disconnect(node, [caller])
            server.release.set()
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(server) == ["q0", "last"]

    asyncio.run(main())


def test_disconnect_while_requests_wait_for_the_client_to_read_a_response():
    """Guard: reading is paused then, so the end of stream would be noticed only after the next request was sent."""

    async def main():
        async def script(message):
            return reply(200, b"x" * 60000)

        server = Peer(script)
        async with running(server) as node:
            node.back._reuse_delay_s = 0.0  # a connection is available for the next request
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
            await until(lambda: connection._write_buffer_full and len(connection._calls) > 1)
            before = len(server.seen)
            raw.shutdown(socket.SHUT_WR)
            while await node.loop.sock_recv(raw, 65536):
                pass
            raw.close()
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(server) == [*(f"q{at}" for at in range(before)), "last"]

    asyncio.run(main())


def test_a_reset_between_a_response_and_the_next_request_raises_no_error():
    """Guard: end of stream can't be written after a reset, and the callback that tried raised an exception."""

    async def main():
        server, errors = BlockedServer(), []
        async with running(server) as node:
            node.loop.set_exception_handler(lambda loop, context: errors.append(context))
            raw = socket.create_connection(node.server.address)
            raw.sendall(request("post", "q0") + request("post", "q1"))
            await until(lambda: server.seen)
            (connection,) = node.server.connections
            serve_next = connection._next

            def reset_then_continue():
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                raw.close()
                serve_next()

            connection._next = reset_then_continue
            server.release.set()
            await until(lambda: not node.server.connections)
            assert (request_ids(server), errors) == (["q0"], [])

    asyncio.run(main())


def test_a_hedged_attempt_that_waits_to_connect_is_not_sent_after_the_first_was_answered():
    async def main():
        first, second = BlockedServer(), Peer()
        async with running(first, second, bounds={"cancel": False}) as node:
            gate = Gate(node, second.port)
            node.pool.balancer = ScriptedBalancer(
                lambda event: (
                    [api.Send(event.id, "s0"), api.Send(event.id, "s1")]
                    if isinstance(event, api.Request)
                    else []
                )
            )
            pending = asyncio.create_task(ask(node, request()))
            await until(lambda: first.seen and gate.delayed)
            first.release.set()
            assert (await pending).status == 200
            gate.open()
            await until(lambda: not node.back._opening)
            assert (request_ids(second), node.pool.requests) == ([], {})

    asyncio.run(main())


def test_a_keyed_retry_that_waits_to_connect_until_its_key_has_expired_is_not_sent():
    """Guard: sent after the servers have forgotten the idempotency key, the retry would take effect a second time."""

    async def main():
        async def script(message):
            return reply(500)

        first, second = Peer(script), Peer(script)
        keyed_class = {"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded"}
        async with running(
            first,
            second,
            bounds={"connectTimeoutMs": 30000.0},
            settings={"categories": [{**keyed_class, "memorySpanMs": 200.0}]},
        ) as node:
            gate = Gate(node, *(port for port in (first.port, second.port)))
            caller = await Caller.to(node)
            caller.writer.write(request("move", "q1", Idempotency_Key="k"))
            await until(lambda: gate.delayed == 1)
            gate.open()  # the first attempt is sent and may take effect; the second one waits
            gate = Gate(node, *(port for port in (first.port, second.port)))
            await until(lambda: gate.delayed == 1)
            expired_ms = node.clock.ms() + 250.0
            await until(lambda: node.clock.ms() > expired_ms)
            gate.open()
            assert (await caller.answer()).status == 502
            await until(lambda: not node.back._opening)
            assert len(first.seen) + len(second.seen) == 1
            caller.writer.close()

    asyncio.run(main())


def test_a_keyed_request_that_was_never_sent_does_not_bind_its_retry_to_a_server(monkeypatch):
    """Guard: the retry had to go to a server to which the first attempt had only waited to connect."""
    earlier_servers, end = [], RepeatTracker.end

    def recording_end(self, *args, **more):
        earlier_servers.append(more["earlier"])
        end(self, *args, **more)

    monkeypatch.setattr(RepeatTracker, "end", recording_end)

    async def main():
        (box,) = boxes(1)
        budget = {"share": 0.5, "floor_per_s": 5.0}
        async with running_sidecar((box,), lambda: configuration_data(box, budget=budget)) as sidecar:
            gate = Gate(sidecar.managed_pools["boxes"], int(box.endpoint.rpartition(":")[2]))
            _, writer = await asyncio.open_connection(*address(sidecar))
            writer.write(request("move", "q1", Idempotency_Key="k"))
            await until(lambda: gate.delayed)
            writer.close()
            await until(lambda: earlier_servers)
            assert earlier_servers == [None]

    asyncio.run(main())
