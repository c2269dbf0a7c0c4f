"""What holds of HTTP holds of Thrift: one list of cases for both, and both at once on one pool."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest
from beside import alongside, application, configuration, row, what_is_open_ends
from loopback import until
from thrifty import Caller, address, box_of, posting, said, shape

from loadbalancer import interface as api
from loadbalancer.core.address import parse_address
from loadbalancer.emulator.box import Box
from loadbalancer.emulator.thrift import ThriftBox
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.thrift.types import MessageKind

LONG = {"aim_ms": 20000, "give_up_ms": 30000}


class Http:
    """A post over HTTP."""

    box = Box

    @staticmethod
    def data(*around: Any, **more: Any) -> dict[str, Any]:
        return row(*around, **more)

    @staticmethod
    async def ask(sidecar: Sidecar, name: str) -> str:
        app = application(sidecar)
        answer = await app.ask("POST", "/x", name.encode(), {"X-Posting": name})
        app.close()
        return "refused" if answer.status == 503 else answer.headers[b"x-box"].decode()


class Thrift:
    """The same over Thrift."""

    box = ThriftBox

    @staticmethod
    def data(*around: Any, **more: Any) -> dict[str, Any]:
        return shape(*around, **more)

    @staticmethod
    async def ask(sidecar: Sidecar, name: str) -> str:
        async with Caller(address(sidecar)) as caller:
            reply = await caller.call("post", posting(name))
            if reply.kind is MessageKind.EXCEPTION:
                assert said(reply)[1].startswith("refused")
                return "refused"
            return box_of(reply)


SPOKEN = pytest.mark.parametrize("spoken", [Http, Thrift], ids=["http", "thrift"])


@contextlib.asynccontextmanager
async def serving(spoken: Any, count: int, **more: Any) -> AsyncIterator[tuple[Sidecar, list[Any]]]:
    around = [spoken.box(f"box-{at}") for at in range(count)]
    async with alongside(around, lambda: spoken.data(*around, **more)) as sidecar:
        yield sidecar, around


@SPOKEN
def test_a_drained_box_gets_nothing_new_and_finishes_what_it_holds(spoken):
    async def main():
        async with serving(spoken, 3) as (sidecar, around):
            for box in around:
                box.behaviour.work_ms = 5.0
            heard: list[str] = []
            over = asyncio.Event()

            async def client(at: int) -> None:
                number = 0
                while not over.is_set():
                    number += 1
                    heard.append(await spoken.ask(sidecar, f"{at}-{number}"))

            clients = [asyncio.create_task(client(at)) for at in range(6)]
            await until(lambda: all(box.served > 10 for box in around))
            last = around[-1]
            await sidecar.reload(configuration(spoken.data(*around[:-1])))
            # The list is in force: what had left for the box before may still begin.
            await what_is_open_ends(sidecar)
            taken, told = last.taken, len(heard)
            await until(lambda: len(heard) > told + 100)
            over.set()
            await asyncio.gather(*clients)
            assert last.taken == taken
            assert {times for box in around for times in box.ran.values()} == {1}
            assert "refused" not in heard
            assert sum(sum(box.ran.values()) for box in around) == len(heard)

    asyncio.run(main())


@SPOKEN
def test_a_call_that_waits_for_a_connection_to_a_drained_box_goes_elsewhere(spoken):
    async def main():
        async with serving(spoken, 1) as (sidecar, around):
            # A listener whose queue is full: connections to it neither come up nor fail.
            with socket.socket() as deaf:
                deaf.bind(("127.0.0.1", 0))
                deaf.listen(0)
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(deaf.getsockname())
                where = f"127.0.0.1:{deaf.getsockname()[1]}"
                data = spoken.data(*around)
                pool = data["pools"][0]
                data["pools"] = [pool | {"connect_timeout_ms": 20000}]
                listed = pool["list"]["servers"]
                deaf_only = [{"id": "deaf", "address": where}]
                data["pools"][0]["list"] = {"source": "static", "servers": deaf_only}
                await sidecar.reload(configuration(data))
                asking = asyncio.create_task(spoken.ask(sidecar, "p"))
                await until(lambda: sidecar.managed["boxes"].back.size == 1)
                data["pools"][0]["list"] = {"source": "static", "servers": listed}
                await sidecar.reload(configuration(data))
                assert await asking == "box-0"
                for filler in fillers:
                    filler.close()

    asyncio.run(main())


@SPOKEN
def test_connections_to_boxes_stay_within_their_share_of_the_descriptors(spoken):
    async def main():
        async with serving(spoken, 2, limits={"descriptors": 64}) as (sidecar, around):
            back = sidecar.managed["boxes"].back
            most = 0
            for box in around:
                box.behaviour.work_ms = 20.0

            async def client(at: int) -> None:
                nonlocal most
                for number in range(4):
                    with contextlib.suppress(ConnectionError):
                        await spoken.ask(sidecar, f"{at}-{number}")
                    most = max(most, len(back._open))

            await asyncio.gather(*(client(at) for at in range(24)))
            assert 0 < most <= back.limit == int((64 - 16) * 0.35)
            assert {times for box in around for times in box.ran.values()} == {1}

    asyncio.run(main())


@SPOKEN
def test_callers_beyond_the_limit_make_room_and_leave_no_connection_behind(spoken):
    async def main():
        async with serving(spoken, 1, limits={"descriptors": 64}) as (sidecar, _):
            server = sidecar.listeners["application"].front.server
            idle = [await asyncio.open_connection(*server.address) for _ in range(60)]
            await until(lambda: len(server.connections) <= server.limit)
            for _, writer in idle[:-10]:
                writer.close()
            assert await spoken.ask(sidecar, "p") == "box-0"
            for _, writer in idle:
                writer.close()
            await until(lambda: not server.connections)

    asyncio.run(main())


@SPOKEN
def test_a_cold_box_gets_less_than_a_warm_one(spoken):
    async def main():
        rules = {"cold_from": 0.1, "cold_ms": 3_600_000}
        async with serving(spoken, 3, rules=rules) as (sidecar, around):
            for box in around:
                box.behaviour.work_ms = 3.0
            pool = sidecar.pools["boxes"]
            now = sidecar.clock.ms()
            servers = tuple(
                api.Server(box.name, launched_ms=now if box is around[2] else None) for box in around
            )
            endpoints = {box.name: parse_address(box.endpoint) for box in around}
            pool.on_server_list(api.ListForm.FULL, servers, endpoints)

            async def client(at: int) -> None:
                for number in range(60):
                    await spoken.ask(sidecar, f"{at}-{number}")

            await asyncio.gather(*(client(at) for at in range(6)))
            warm = min(sum(box.ran.values()) for box in around[:2])
            assert sum(around[2].ran.values()) < 0.5 * warm

    asyncio.run(main())


# ----------------------------------------------------------------------------- both at once


async def pair(name: str) -> tuple[Box, ThriftBox]:
    """A box that speaks both: its Thrift port is the one after its HTTP port."""
    for _ in range(50):
        http = await Box(name).start()
        try:
            return http, await ThriftBox(name).start(int(http.endpoint.rpartition(":")[2]) + 1)
        except (OSError, OverflowError):
            http.stop()
    raise AssertionError("no two ports beside one another are free")


def both(*around: Box) -> dict[str, Any]:
    return row(
        *around,
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
                    "servers": [{"id": box.name, "address": box.endpoint} for box in around],
                },
            }
        ],
        classes=[
            {"name": "balance-read", "pool": "boxes", "effect": "safe", "worth": 12} | LONG,
            {"name": "journal-post", "pool": "boxes", "effect": "unsafe", "worth": 1} | LONG,
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
        for one in pairs:
            for box in one:
                box.stop()


def test_a_thrift_flood_of_low_worth_is_refused_before_a_balance_is():
    """The same pool, the same load, the same cursor."""

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
                # What is worth more still comes through, counted beside the flood.
                answer = await application(sidecar).ask("GET", "/balance/x")
                assert answer.status == 200
                assert sum(http.taken for http, _ in pairs) == 1

    asyncio.run(main())


def test_a_drain_takes_a_box_away_from_both():
    async def main():
        async with together(2) as (sidecar, pairs):
            app = application(sidecar)
            async with Caller(address(sidecar, "thrift")) as caller:
                for at in range(30):
                    assert (await app.ask("GET", "/balance/x")).status == 200
                    await caller.call("post", posting(f"a{at}"))
                gone, stays = sorted(pairs, key=lambda one: -sum(box.taken for box in one))
                await sidecar.reload(configuration(both(stays[0])))
                before = [box.taken for box in gone]
                assert sum(before) > 0
                for at in range(30):
                    answer = await app.ask("GET", "/balance/x")
                    assert answer.headers[b"x-box"] == stays[0].name.encode()
                    assert box_of(await caller.call("post", posting(f"b{at}"))) == stays[1].name
                assert [box.taken for box in gone] == before

    asyncio.run(main())
