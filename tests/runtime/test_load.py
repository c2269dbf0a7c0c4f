"""A sidecar that is overloaded itself, with injected loop lag and connection limits: results depend on no timing."""

from __future__ import annotations

import argparse
import asyncio
import socket

import orjson
import pytest
from beside import (
    CLASSES,
    ROUTES,
    address,
    admin_client,
    application,
    boxes,
    configuration_data,
    running,
    send_raw,
)
from loopback import until

from loadbalancer import interface as api
from loadbalancer.cli.sidecar import run
from loadbalancer.overload.turns import Turns
from loadbalancer.sidecar.toml import dumps

REQUEST = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
SHORT_CLASSES = [kind | {"aim_ms": 1000, "give_up_ms": 2500} for kind in CLASSES]


class StarvedTurns(Turns):
    """Loop statistics of a process without CPU time: iterations take `turn`, and events have waited for `waited`."""

    def __init__(self, waited: float, turn: float) -> None:
        super().__init__()
        self.has_polls, self.waited, self.turn_s = True, waited, turn

    def came(self, now: float) -> float:
        return now - self.waited

    def lag(self, now: float) -> float:
        return self.waited

    def turn_length(self, now: float) -> float:
        return self.turn_s

    @property
    def own_time_s(self) -> float:
        return asyncio.get_running_loop().time()


def starve(sidecar, waited: float, turn: float) -> None:
    turns = StarvedTurns(waited, turn)
    sidecar.admission.turns = turns
    for item in sidecar.listeners.values():
        item.front.server.turns = turns
    for pool in sidecar.pools.values():
        pool.turns = pool.back.turns = turns
    sidecar.admission.core.top_s = 1.0


async def load_page(sidecar):
    return orjson.loads((await admin_client(sidecar).ask("GET", "/load")).body)


def error_type(answer: bytes) -> bytes:
    return answer.split(b"error=")[1].split(b";")[0] if b"error=" in answer else b""


@pytest.mark.parametrize(
    ("what", "waited", "turn", "data", "status", "error"),
    [
        ("away for 200 ms, then given back: nobody was slow", 0.2, 0.0, REQUEST, 200, b""),
        ("longer turns than its time, unread", 0.5, 0.5, REQUEST, 503, b"proxy_internal_response"),
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
def test_requests_that_would_be_late_are_rejected_under_cpu_overload(what, waited, turn, data, status, error):
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT_CLASSES) as sidecar:
            starve(sidecar, waited, turn)
            answer = await send_raw(sidecar, data, until=b"\r\n\r\n")
            assert (int(answer[9:12]), error_type(answer)) == (status, error)
            assert box.taken == (status == 200)
            pool = sidecar.pools["boxes"]
            assert pool.balancer.table.cursor == 0
            # The admin listener answers however late the loop is, and shows which limit rejected the request.
            page = await load_page(sidecar)
            assert page["node"]["refused"].get("own core", 0) == (status == 503)
            assert "refused by nothing" in sidecar.admission.log_text([pool]) or status == 503

    asyncio.run(main())


def test_attempts_queue_for_connections_without_counting_as_server_errors():
    async def main():
        all_boxes = boxes(2)
        async with running(*all_boxes, limits={"descriptors": 64}) as sidecar:
            back = sidecar.pools["boxes"].back
            app = application(sidecar)
            for box in all_boxes:
                box.behaviour.hang = True
            tasks = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(back.limit + 3)]
            await until(lambda: back.waiting == 3)
            assert sum(box.taken for box in all_boxes) <= back.limit
            page = (await load_page(sidecar))["pools"]["boxes"]
            assert (page["waiting_for_connection"], page["connections"]) == (3, back.limit)
            for box in all_boxes:
                box.behaviour.hang = False
                for connection in list(
                    box.connections
                ):  # the open requests are answered, then the queued ones are sent
                    connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert {answer.status for answer in await asyncio.gather(*tasks)} == {200}
            assert back.waiting == 0
            balancer = sidecar.pools["boxes"].balancer
            assert [peer.error_share for peer in balancer.ready] == [0.0, 0.0]
            assert sidecar.pools["boxes"].counts["connect_failed"] == 0

    asyncio.run(main())


def test_overlong_connection_queue_rejects_at_once_as_the_nodes_own_limit():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"descriptors": 64}) as sidecar:
            back = sidecar.pools["boxes"].back
            back.wait_queue.hold_s = 1e6  # as if each request used its connection almost forever
            box.behaviour.hang = True
            app = application(sidecar)
            pending = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(back.limit)]
            await until(lambda: box.taken == back.limit)
            answer = await app.ask("POST", "/x", b"1")
            assert answer.status == 503
            assert b"connection_limit_reached" in answer.headers[b"proxy-status"]
            assert (await load_page(sidecar))["refused"]["boxes"]["post"] == {"own descriptors": 1}
            for task in pending:
                task.cancel()

    asyncio.run(main())


def test_connections_close_with_their_answers_near_the_limit_and_none_is_cut_off():
    async def main():
        (box,) = boxes(1)
        async with running(box, limits={"descriptors": 64}) as sidecar:
            server = sidecar.listeners["application"].front.server
            kept = [await asyncio.open_connection(*address(sidecar)) for _ in range(server.limit - 4)]
            closing = 0
            for reader, writer in kept:
                writer.write(REQUEST)
                answer = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(answer.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
                assert answer.startswith(b"HTTP/1.1 200")
                closing += b"connection: close" in answer.lower()
            assert closing > 0
            # A connection beyond the limit waits in the kernel or gets a 503; none is closed without an answer.
            box.behaviour.hang = True
            extra_connections = [
                await asyncio.open_connection(*address(sidecar)) for _ in range(3 * server.limit)
            ]
            for _, writer in extra_connections:
                writer.write(REQUEST)
            await until(lambda: server.active_requests >= int(server.limit * 0.75))
            answers = [asyncio.create_task(reader.read(12)) for reader, _ in extra_connections]
            await until(lambda: sum(task.done() for task in answers) >= 2 * server.limit)
            assert {task.result() for task in answers if task.done()} == {b"HTTP/1.1 503"}
            assert len(server.connections) <= server.limit
            assert sidecar.admission.rejections.by_source()["callers' connections"] >= 2 * server.limit
            for task in answers:
                task.cancel()
            for _, writer in (*kept, *extra_connections):
                writer.close()

    asyncio.run(main())


def test_reading_stops_for_a_caller_that_does_not_read_its_answers():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            reader, writer = await asyncio.open_connection(*address(sidecar), limit=1024)
            writer.transport.pause_reading()
            server = sidecar.listeners["application"].front.server
            await until(lambda: server.connections)
            (connection,) = server.connections
            sent_requests = 0
            while not connection._write_buffer_full:
                writer.write(b"GET /big/100000 HTTP/1.1\r\nHost: x\r\n\r\n")
                sent_requests += 1
                await until(lambda n=sent_requests: connection._write_buffer_full or box.served == n)
            assert not connection._transport.is_reading()
            writer.write(REQUEST * 20)
            served = box.served
            writer.transport.resume_reading()
            await until(lambda: box.served >= served + 20 or not connection._transport.is_reading())
            while box.served < served + 20:
                await reader.read(1 << 20)
            # Its connection does not stay open forever.
            box.behaviour.hang = True
            writer.write(REQUEST)
            await until(lambda: connection._calls)
            connection.pause_writing()
            connection.expire()
            assert not server.connections
            writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("place", ["listener 'application'", "admin"])
def test_address_in_use_is_reported_with_its_configured_place(place, tmp_path, capsys):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        at = f"127.0.0.1:{taken.getsockname()[1]}"
        servers = [{"id": "b", "address": "127.0.0.1:9"}]
        data = configuration_data(pools=[{"name": "boxes", "list": {"source": "static", "servers": servers}}])
        (data["admin"] if place == "admin" else data["listeners"][0])["address"] = at
        path = tmp_path / "c.toml"
        path.write_text(dumps(data, {}))
        assert run(argparse.Namespace(configuration=str(path))) == 1
    assert f"{path}: {place}: address {at} can't be bound" in capsys.readouterr().err


def test_mean_server_time_is_learned_despite_periodic_log_resets():
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT_CLASSES) as sidecar:
            starve(sidecar, 0.0, 0.0)
            admission, pool = sidecar.admission, sidecar.pools["boxes"]
            admission.update()
            app = application(sidecar)
            for at in range(40):
                assert (await app.ask("GET", f"/{at}")).status == 200
            admission.turns.busy_s += 1e6  # as if the CPU had been busy all the time
            pool.server_ms += 40 * 100.0
            sidecar._stats()  # resets the counts of attempts
            admission.update()
            assert 0.0 < admission.core.server_latency_s < 0.2

    asyncio.run(main())


def test_rejection_without_any_server_states_so():
    async def main():
        (box,) = boxes(1)
        async with running(box, routes=ROUTES) as sidecar:
            sidecar.pools["boxes"].on_server_list(api.ListForm.FULL)
            answer = await application(sidecar).ask("GET", "/a")
            assert b"no server is known" in answer.headers[b"proxy-status"]
            assert (await load_page(sidecar))["node"]["refused"] == {"no server": 1}

    asyncio.run(main())


def test_cpu_starvation_of_one_sidecar_does_not_count_as_slow_servers():
    async def main():
        all_boxes = boxes(2)
        async with (
            running(*all_boxes, classes=SHORT_CLASSES) as starved,
            running(*all_boxes, classes=SHORT_CLASSES) as other,
        ):
            starve(starved, 0.3, 0.1)
            for at in range(40):
                for sidecar in (starved, other):
                    assert (await application(sidecar).ask("GET", f"/{at}")).status == 200
            for sidecar in (starved, other):
                balancer = sidecar.pools["boxes"].balancer
                await until(lambda balancer=balancer: balancer.estimate.baseline is not None)
                assert (balancer.table.cursor, [peer.error_share for peer in balancer.ready]) == (
                    0,
                    [0.0, 0.0],
                )
                assert balancer.estimate.quiet
            assert all((peer.latency_factor or 1.0) < 2.0 for peer in starved.pools["boxes"].balancer.ready)
            # The injected lag is not counted as server time.
            assert 2.0 * starved.pools["boxes"].server_ms < other.pools["boxes"].server_ms

    asyncio.run(main())


def test_long_bodies_beside_small_requests_do_not_count_as_a_slow_pool():
    async def main():
        (box,) = boxes(1)
        async with running(box, classes=SHORT_CLASSES) as sidecar:
            starve(sidecar, 0.0, 0.0)
            app = application(sidecar)
            long = [asyncio.create_task(app.ask("POST", f"/long/{at}", b"x" * 900_000)) for at in range(6)]
            small = [asyncio.create_task(app.ask("GET", f"/{at}")) for at in range(30)]
            assert {answer.status for answer in await asyncio.gather(*long, *small)} == {200}
            assert sidecar.pools["boxes"].balancer.table.cursor == 0
            assert (await load_page(sidecar))["node"]["refused"] == {}

    asyncio.run(main())
