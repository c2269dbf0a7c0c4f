"""Behaviour that HTTP and Thrift share: the same cases for each protocol, and both protocols on one pool."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
from beside import application, configuration, configuration_data, running_sidecar, wait_for_open_requests
from loopback import until
from thrifty import Caller, address, box_of, posting, said, shape

from loadbalancer import interface as api
from loadbalancer.core.address import parse_address
from loadbalancer.emulator.box import Box
from loadbalancer.emulator.thrift import ThriftBox
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.thrift.types import MessageKind

LONG_TIMEOUTS = {"aim_ms": 20000, "give_up_ms": 30000}


class Http:
    """Sends requests over HTTP."""

    box = Box

    @staticmethod
    def data(*servers: Any, **more: Any) -> dict[str, Any]:
        return configuration_data(*servers, **more)

    @staticmethod
    async def ask(sidecar: Sidecar, name: str) -> str:
        app = application(sidecar)
        answer = await app.ask("POST", "/x", name.encode(), {"X-Posting": name})
        app.close()
        return "refused" if answer.status == 503 else answer.headers[b"x-box"].decode()


class Thrift:
    """Sends the same requests over Thrift."""

    box = ThriftBox

    @staticmethod
    def data(*servers: Any, **more: Any) -> dict[str, Any]:
        return shape(*servers, **more)

    @staticmethod
    async def ask(sidecar: Sidecar, name: str) -> str:
        async with Caller(address(sidecar)) as caller:
            reply = await caller.call("post", posting(name))
            if reply.kind is MessageKind.EXCEPTION:
                assert said(reply)[1].startswith("refused")
                return "refused"
            return box_of(reply)


PROTOCOLS = pytest.mark.parametrize("protocol", [Http, Thrift], ids=["http", "thrift"])


@contextlib.asynccontextmanager
async def serving(protocol: Any, count: int, **more: Any) -> AsyncIterator[tuple[Sidecar, list[Any]]]:
    servers = [protocol.box(f"box-{at}") for at in range(count)]
    async with running_sidecar(servers, lambda: protocol.data(*servers, **more)) as sidecar:
        yield sidecar, servers


@PROTOCOLS
def test_a_drained_server_gets_no_new_requests_and_finishes_those_in_flight(protocol):
    async def main():
        async with serving(protocol, 3) as (sidecar, servers):
            for box in servers:
                box.behaviour.work_ms = 5.0
            answers: list[str] = []
            stop = asyncio.Event()

            async def client(at: int) -> None:
                number = 0
                while not stop.is_set():
                    number += 1
                    answers.append(await protocol.ask(sidecar, f"{at}-{number}"))

            clients = [asyncio.create_task(client(at)) for at in range(6)]
            await until(lambda: all(box.served > 10 for box in servers))
            last = servers[-1]
            await sidecar.reload(configuration(protocol.data(*servers[:-1])))
            # The new list is active; requests sent to the server before may still begin there.
            await wait_for_open_requests(sidecar)
            taken_before, answered_before = last.taken, len(answers)
            await until(lambda: len(answers) > answered_before + 100)
            stop.set()
            await asyncio.gather(*clients)
            assert last.taken == taken_before
            assert {times for box in servers for times in box.ran.values()} == {1}
            assert "refused" not in answers
            assert sum(sum(box.ran.values()) for box in servers) == len(answers)

    asyncio.run(main())


@PROTOCOLS
def test_a_request_waiting_to_connect_to_a_drained_server_goes_to_another(protocol):
    async def main():
        async with serving(protocol, 1) as (sidecar, servers):
            # A listener whose backlog is full: connections to it are neither accepted nor rejected.
            with socket.socket() as full_listener:
                full_listener.bind(("127.0.0.1", 0))
                full_listener.listen(0)
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(full_listener.getsockname())
                endpoint = f"127.0.0.1:{full_listener.getsockname()[1]}"
                data = protocol.data(*servers)
                pool = data["pools"][0]
                data["pools"] = [pool | {"connect_timeout_ms": 20000}]
                listed = pool["list"]["servers"]
                only_full_listener = [{"id": "deaf", "address": endpoint}]
                data["pools"][0]["list"] = {"source": "static", "servers": only_full_listener}
                await sidecar.reload(configuration(data))
                request = asyncio.create_task(protocol.ask(sidecar, "p"))
                await until(lambda: sidecar.managed_pools["boxes"].back.size == 1)
                data["pools"][0]["list"] = {"source": "static", "servers": listed}
                await sidecar.reload(configuration(data))
                assert await request == "box-0"
                for filler in fillers:
                    filler.close()

    asyncio.run(main())


@PROTOCOLS
def test_upstream_connections_stay_within_their_share_of_the_descriptors(protocol):
    async def main():
        async with serving(protocol, 2, limits={"descriptors": 64}) as (sidecar, servers):
            back = sidecar.managed_pools["boxes"].back
            most = 0
            for box in servers:
                box.behaviour.work_ms = 20.0

            async def client(at: int) -> None:
                nonlocal most
                for number in range(4):
                    with contextlib.suppress(ConnectionError):
                        await protocol.ask(sidecar, f"{at}-{number}")
                    most = max(most, len(back._open))

            await asyncio.gather(*(client(at) for at in range(24)))
            assert 0 < most <= back.limit == int((64 - 16) * 0.35)
            assert {times for box in servers for times in box.ran.values()} == {1}

    asyncio.run(main())


@PROTOCOLS
def test_connections_over_the_limit_replace_idle_ones_and_none_is_leaked(protocol):
    async def main():
        async with serving(protocol, 1, limits={"descriptors": 64}) as (sidecar, _):
            server = sidecar.listeners["application"].front.server
            idle = [await asyncio.open_connection(*server.address) for _ in range(60)]
            await until(lambda: len(server.connections) <= server.limit)
            for _, writer in idle[:-10]:
                writer.close()
            assert await protocol.ask(sidecar, "p") == "box-0"
            for _, writer in idle:
                writer.close()
            await until(lambda: not server.connections)

    asyncio.run(main())


@PROTOCOLS
def test_a_cold_server_gets_fewer_requests_than_a_warm_one(protocol):
    async def main():
        rules = {"cold_from": 0.1, "cold_ms": 3_600_000}
        async with serving(protocol, 3, rules=rules) as (sidecar, servers):
            for box in servers:
                box.behaviour.work_ms = 3.0
            pool = sidecar.pools["boxes"]
            now = sidecar.clock.ms()
            listed_servers = tuple(
                api.Server(box.name, launched_ms=now if box is servers[2] else None) for box in servers
            )
            endpoints = {box.name: parse_address(box.endpoint) for box in servers}
            pool.on_server_list(api.ListForm.FULL, listed_servers, endpoints)

            async def client(at: int) -> None:
                for number in range(60):
                    await protocol.ask(sidecar, f"{at}-{number}")

            await asyncio.gather(*(client(at) for at in range(6)))
            warm = min(sum(box.ran.values()) for box in servers[:2])
            assert sum(servers[2].ran.values()) < 0.5 * warm

    asyncio.run(main())


# ----------------------------------------------------------------------------- both protocols on one pool


async def pair(name: str) -> tuple[Box, ThriftBox]:
    """A server with both protocols: its Thrift port is the one after its HTTP port."""
    for _ in range(50):
        http = await Box(name).start()
        try:
            return http, await ThriftBox(name).start(int(http.endpoint.rpartition(":")[2]) + 1)
        except (OSError, OverflowError):
            http.stop()
    raise AssertionError("no two ports beside one another are free")


def both(*servers: Box) -> dict[str, Any]:
    return configuration_data(
        *servers,
        listeners=[
            {"name": "application", "address": "127.0.0.1:0"},
            {"name": "thrift", "address": "127.0.0.1:0", "protocol": "thrift"},
        ],
        pools=[
            {
                "name": "boxes",
                "protocol": "both",
                "list": {
                    "source": "static",
                    "servers": [{"id": box.name, "address": box.endpoint} for box in servers],
                },
            }
        ],
        classes=[
            {"name": "balance-read", "pool": "boxes", "effect": "safe", "worth": 12} | LONG_TIMEOUTS,
            {"name": "journal-post", "pool": "boxes", "effect": "unsafe", "worth": 1} | LONG_TIMEOUTS,
        ],
        routes=[
            {"class": "balance-read", "path": "/balance/**"},
            {"class": "journal-post", "call": "post"},
        ],
    )


@contextlib.asynccontextmanager
async def together(count: int) -> AsyncIterator[tuple[Sidecar, list[tuple[Box, ThriftBox]]]]:
    pairs = [await pair(f"box-{at}") for at in range(count)]
    sidecar = Sidecar(configuration(both(*(http for http, _ in pairs))))
    await sidecar.start()
    try:
        yield sidecar, pairs
    finally:
        sidecar.close()
        for pair_of_servers in pairs:
            for box in pair_of_servers:
                box.stop()


def test_a_thrift_flood_of_low_worth_is_rejected_before_requests_of_higher_worth():
    """Both protocols share one pool, its load and its admission threshold."""

    async def main():
        async with together(2) as (sidecar, pairs):
            for _, thrift in pairs:
                thrift.behaviour.hang = True
            pool = sidecar.pools["boxes"]
            async with contextlib.AsyncExitStack() as stack:
                flood = 0
                while True:
                    caller = await stack.enter_async_context(Caller(address(sidecar, "thrift")))
                    caller.send("post", posting(f"p{flood}"))
                    flood += 1
                    answered = asyncio.create_task(caller.reply())
                    await until(lambda n=flood, a=answered: a.done() or len(pool.requests) == n)
                    if answered.done():
                        break
                    answered.cancel()
                assert said(answered.result())[1].startswith("refused; never ran")
                assert len(pool.requests) == flood - 1 > 0
                # A request of higher worth is still admitted while the flood counts against the same limit.
                answer = await application(sidecar).ask("GET", "/balance/x")
                assert answer.status == 200
                assert sum(http.taken for http, _ in pairs) == 1

    asyncio.run(main())


def test_a_drained_server_gets_no_new_requests_of_either_protocol():
    async def main():
        async with together(2) as (sidecar, pairs):
            app = application(sidecar)
            async with Caller(address(sidecar, "thrift")) as caller:
                for at in range(30):
                    assert (await app.ask("GET", "/balance/x")).status == 200
                    await caller.call("post", posting(f"a{at}"))
                drained, remaining = sorted(
                    pairs, key=lambda pair_of_servers: -sum(box.taken for box in pair_of_servers)
                )
                await sidecar.reload(configuration(both(remaining[0])))
                before = [box.taken for box in drained]
                assert sum(before) > 0
                for at in range(30):
                    answer = await app.ask("GET", "/balance/x")
                    assert answer.headers[b"x-box"] == remaining[0].name.encode()
                    assert box_of(await caller.call("post", posting(f"b{at}"))) == remaining[1].name
                assert [box.taken for box in drained] == before

    asyncio.run(main())
