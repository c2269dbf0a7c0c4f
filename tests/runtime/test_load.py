"""A node that is the bottleneck itself, with lag and room that the tests inject: no timing decides anything here."""

from __future__ import annotations

import argparse
import asyncio
import socket

import orjson
import pytest
from beside import CLASSES, ROUTES, address, application, boxes, operator, raw, row, running
from loopback import until

from loadbalancer import interface as api
from loadbalancer.cli.sidecar import run
from loadbalancer.overload.turns import Turns
from loadbalancer.sidecar.toml import dumps

ASK = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
SHORT = [kind | {"aim_ms": 1000, "give_up_ms": 2500} for kind in CLASSES]


class Starved(Turns):
    """A core that was away: each turn takes `turn`, and what is handled has waited for `waited`."""

    def __init__(self, waited: float, turn: float) -> None:
        super().__init__()
        self.told, self.waited, self.turn_s = True, waited, turn

    def came(self, now: float) -> float:
        return now - self.waited

    def lag(self, now: float) -> float:
        return self.waited

    def so_far(self, now: float) -> float:
        return self.turn_s

    @property
    def spent_s(self) -> float:
        return asyncio.get_running_loop().time()


def starve(sidecar, waited: float, turn: float) -> None:
    turns = Starved(waited, turn)
    sidecar.admission.turns = turns
    for item in sidecar.listeners.values():
        item.front.server.turns = turns
    for pool in sidecar.pools.values():
        pool.turns = pool.back.turns = turns
    sidecar.admission.core.top_s = 1.0


async def load(sidecar):
    return orjson.loads((await operator(sidecar).ask("GET", "/load")).body)


def who(answer: bytes) -> bytes:
    return answer.split(b"error=")[1].split(b";")[0] if b"error=" in answer else b""


@pytest.mark.parametrize(
    ("what", "waited", "turn", "data", "status", "error"),
    [
        ("away for 200 ms, then given back: nobody was slow", 0.2, 0.0, ASK, 200, b""),
        ("longer turns than its time, unread", 0.5, 0.5, ASK, 503, b"proxy_internal_response"),
        (
            "the same with a body, read and not routed",
            0.5,
            0.5,
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1",
            503,
            b"proxy_internal_response",
        ),
        (
            "a long body is not waited for",
            0.5,
            0.5,
            b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n1",
            503,
            b"proxy_internal_response",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_core_that_is_late_refuses_what_would_be_late(what, waited, turn, data, status, error):
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT) as sidecar:
            starve(sidecar, waited, turn)
            answer = await raw(sidecar, data, until=b"\r\n\r\n")
            assert (int(answer[9:12]), who(answer)) == (status, error)
            assert box.taken == (status == 200)
            pool = sidecar.pools["boxes"]
            assert pool.balancer.table.cursor == 0
            # Operators are answered however late the loop is, and see whose limit it was.
            page = await load(sidecar)
            assert page["node"]["refused"].get("own core", 0) == (status == 503)
            assert "refused by nothing" in sidecar.admission.log_text([pool]) or status == 503

    asyncio.run(main())


def test_what_no_connection_can_be_had_for_waits_in_line_and_no_box_is_blamed():
    async def main():
        around = boxes(2)
        async with running(*around, limits={"descriptors": 64}) as sidecar:
            back = sidecar.pools["boxes"].back
            app = application(sidecar)
            for box in around:
                box.behaviour.hang = True
            asked = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(back.limit + 3)]
            await until(lambda: back.waiting == 3)
            assert sum(box.taken for box in around) <= back.limit
            page = (await load(sidecar))["pools"]["boxes"]
            assert (page["waiting_for_connection"], page["connections"]) == (3, back.limit)
            for box in around:
                box.behaviour.hang = False
                for connection in list(
                    box.connections
                ):  # what was held is served, and those in line come after
                    connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert {answer.status for answer in await asyncio.gather(*asked)} == {200}
            assert back.waiting == 0
            brain = sidecar.pools["boxes"].balancer
            assert [peer.error_share for peer in brain.ready] == [0.0, 0.0]
            assert sidecar.pools["boxes"].counts["connect_failed"] == 0

    asyncio.run(main())


def test_a_line_that_is_too_long_is_refused_at_once_as_the_nodes_own():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"descriptors": 64}) as sidecar:
            back = sidecar.pools["boxes"].back
            back.wait_queue.hold_s = 1e6  # as held by what takes for ever
            box.behaviour.hang = True
            app = application(sidecar)
            held = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(back.limit)]
            await until(lambda: box.taken == back.limit)
            answer = await app.ask("POST", "/x", b"1")
            assert answer.status == 503
            assert b"connection_limit_reached" in answer.headers[b"proxy-status"]
            assert (await load(sidecar))["refused"]["boxes"]["post"] == {"own descriptors": 1}
            for task in held:
                task.cancel()

    asyncio.run(main())


def test_callers_are_told_to_close_before_room_is_short_and_none_is_cut_off():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"descriptors": 64}) as sidecar:
            server = sidecar.listeners["application"].front.server
            kept = [await asyncio.open_connection(*address(sidecar)) for _ in range(server.limit - 4)]
            closing = 0
            for reader, writer in kept:
                writer.write(ASK)
                answer = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(answer.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
                assert answer.startswith(b"HTTP/1.1 200")
                closing += b"connection: close" in answer.lower()
            assert closing > 0
            # One that has no place waits in the kernel or is told; it is never closed without an answer.
            box.behaviour.hang = True
            more = [await asyncio.open_connection(*address(sidecar)) for _ in range(3 * server.limit)]
            for _, writer in more:
                writer.write(ASK)
            await until(lambda: server.active_requests >= int(server.limit * 0.75))
            told = [asyncio.create_task(reader.read(12)) for reader, _ in more]
            await until(lambda: sum(task.done() for task in told) >= 2 * server.limit)
            assert {task.result() for task in told if task.done()} == {b"HTTP/1.1 503"}
            assert len(server.connections) <= server.limit
            assert sidecar.admission.rejections.by_owner()["callers' connections"] >= 2 * server.limit
            for task in told:
                task.cancel()
            for _, writer in (*kept, *more):
                writer.close()

    asyncio.run(main())


def test_a_caller_that_asks_on_and_does_not_read_is_not_read_any_more():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            reader, writer = await asyncio.open_connection(*address(sidecar), limit=1024)
            writer.transport.pause_reading()
            server = sidecar.listeners["application"].front.server
            await until(lambda: server.connections)
            (connection,) = server.connections
            asked = 0
            while not connection._stuck:
                writer.write(b"GET /big/100000 HTTP/1.1\r\nHost: x\r\n\r\n")
                asked += 1
                await until(lambda n=asked: connection._stuck or box.served == n)
            assert not connection._transport.is_reading()
            writer.write(ASK * 20)
            served = box.served
            writer.transport.resume_reading()
            await until(lambda: box.served >= served + 20 or not connection._transport.is_reading())
            while box.served < served + 20:
                await reader.read(1 << 20)
            # Its place is not held for ever.
            box.behaviour.hang = True
            writer.write(ASK)
            await until(lambda: connection._calls)
            connection.pause_writing()
            connection.expire()
            assert not server.connections
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("place", ["listener 'application'", "admin"])
def test_an_address_that_is_taken_is_told_with_its_place(place, tmp_path, capsys):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        at = f"127.0.0.1:{taken.getsockname()[1]}"
        servers = [{"id": "b", "address": "127.0.0.1:9"}]
        data = row(pools=[{"name": "boxes", "list": {"source": "static", "servers": servers}}])
        (data["admin"] if place == "admin" else data["listeners"][0])["address"] = at
        path = tmp_path / "c.toml"
        path.write_text(dumps(data, {}))
        assert run(argparse.Namespace(configuration=str(path))) == 1
    assert f"{path}: {place}: address {at} can't be had" in capsys.readouterr().err


def test_the_servers_part_of_an_answer_is_learned_whatever_figures_are_told_meanwhile():
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT) as sidecar:
            starve(sidecar, 0.0, 0.0)
            admission, pool = sidecar.admission, sidecar.pools["boxes"]
            admission.update()
            app = application(sidecar)
            for at in range(40):
                assert (await app.ask("GET", f"/{at}")).status == 200
            admission.turns.busy_s += 1e6  # the core had nothing but work
            pool.server_ms += 40 * 100.0
            sidecar._stats()  # which begins the counts of attempts anew
            admission.update()
            assert 0.0 < admission.core.servers_s < 0.2

    asyncio.run(main())


def test_without_a_server_the_refusal_says_so():
    async def main():
        (box,) = boxes(1)
        async with running(box, routes=ROUTES) as sidecar:
            sidecar.pools["boxes"].on_server_list(api.ListForm.FULL)
            answer = await application(sidecar).ask("GET", "/a")
            assert b"no server is known" in answer.headers[b"proxy-status"]
            assert (await load(sidecar))["node"]["refused"] == {"no server": 1}

    asyncio.run(main())


def test_a_starved_sidecar_beside_one_that_is_not_holds_no_box_for_slow_and_takes_no_more_than_it_did():
    async def main():
        around = boxes(2)
        async with running(*around, classes=SHORT) as starved, running(*around, classes=SHORT) as other:
            starve(starved, 0.3, 0.1)
            for at in range(40):
                for sidecar in (starved, other):
                    assert (await application(sidecar).ask("GET", f"/{at}")).status == 200
            for sidecar in (starved, other):
                brain = sidecar.pools["boxes"].balancer
                await until(lambda brain=brain: brain.estimate.baseline is not None)
                assert (brain.table.cursor, [peer.error_share for peer in brain.ready]) == (0, [0.0, 0.0])
                assert brain.estimate.quiet
            assert all((peer.latency_factor or 1.0) < 2.0 for peer in starved.pools["boxes"].balancer.ready)
            # What the two think of the pool differs by what the boxes did, not by what one of them lacked.
            assert 2.0 * starved.pools["boxes"].server_ms < other.pools["boxes"].server_ms

    asyncio.run(main())


def test_long_bodies_beside_small_requests_are_neither_cut_off_nor_counted_as_a_slow_pool():
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT) as sidecar:
            starve(sidecar, 0.0, 0.0)
            app = application(sidecar)
            long = [asyncio.create_task(app.ask("POST", f"/long/{at}", b"x" * 900_000)) for at in range(6)]
            small = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(30)]
            assert {answer.status for answer in await asyncio.gather(*long, *small)} == {200}
            assert sidecar.pools["boxes"].balancer.table.cursor == 0
            assert (await load(sidecar))["node"]["refused"] == {}

    asyncio.run(main())
