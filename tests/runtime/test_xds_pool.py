"""A sidecar's pool that follows an xDS cluster: drains of every form, on both kinds of stream, under load."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import orjson
import pytest
from beside import alongside, application, boxes, configuration, operator, row, what_is_open_ends
from envoy.config.endpoint.v3 import endpoint_pb2
from loopback import until

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.xds import CLUSTER, ENDPOINTS, ControlPlane, cluster, endpoints, packed
from loadbalancer.runtime.sidecar import Sidecar

WAYS = {
    "state": {"updates": "state"},
    "incremental": {"updates": "incremental"},
    "separate-state": {"transport": "separate", "updates": "state"},
    "separate-incremental": {"transport": "separate"},
    "rest": {"transport": "rest"},
}


def pools_of(plane: ControlPlane, way: str = "incremental", name: str = "ledger") -> list[dict[str, Any]]:
    address = plane.rest_endpoint if way == "rest" else plane.endpoint
    source = {"source": "xds", "address": address, "cluster": name} | WAYS[way]
    return [{"name": "boxes", "list": source}]


def rows_of(*around: Box) -> list[dict[str, Any]]:
    return [{"address": box.endpoint} for box in around]


@contextlib.asynccontextmanager
async def planned(
    around: Sequence[Box], told: Callable[[ControlPlane], dict[str, Any]]
) -> AsyncIterator[tuple[ControlPlane, Sidecar]]:
    """A control plane, boxes, and a sidecar that is ready; `told` fills the plane and gives the sidecar's data."""
    plane = await ControlPlane().start()
    try:
        async with alongside(around, lambda: told(plane)) as sidecar:
            await until(lambda: sidecar.ready)
            yield plane, sidecar
    finally:
        await plane.stop()


def following(
    updates: str, *around: Box, **more: Any
) -> contextlib.AbstractAsyncContextManager[tuple[ControlPlane, Sidecar]]:
    def told(plane: ControlPlane) -> dict[str, Any]:
        plane.put(cluster("ledger", **more), endpoints("ledger", *rows_of(*around)))
        return row(pools=pools_of(plane, updates))

    return planned(around, told)


GONE = {
    "draining": {"health_status": "DRAINING"},
    "unhealthy": {"health_status": "UNHEALTHY"},
    "timed-out": {"health_status": "TIMEOUT"},
    "weightless": {"load_balancing_weight": 0},
}


@pytest.mark.parametrize("updates", list(WAYS))
@pytest.mark.parametrize("form", [*GONE, "removed", "cluster-removed"])
def test_what_is_told_to_be_gone_gets_nothing_new_and_finishes_what_it_holds(form, updates):
    async def main():
        around = boxes(4)
        async with following(updates, *around) as (plane, sidecar):
            last = around[-1]
            for box in around:
                box.behaviour.work_ms = 5.0
            statuses: Counter[int] = Counter()
            over = asyncio.Event()

            async def client(at: int) -> None:
                app, number = application(sidecar), 0
                while not over.is_set():
                    number += 1
                    name = f"{at}-{number}"
                    answer = await app.ask("POST", "/x", name.encode(), {"X-Posting": name})
                    statuses[answer.status] += 1
                    assert answer.status != 200 or bytes(answer.body) == name.encode()

            clients = [asyncio.create_task(client(at)) for at in range(6)]
            await until(lambda: all(box.served > 10 for box in around))
            others = rows_of(*around[:-1])
            if form == "cluster-removed":
                plane.remove(CLUSTER, "ledger")
            elif form == "removed":
                plane.put(endpoints("ledger", *others))
            else:
                plane.put(endpoints("ledger", *others, {"address": last.endpoint} | GONE[form]))
            # What had left for the box before it came into force may still begin.
            await until(lambda: last.endpoint not in sidecar.pools["boxes"].up)
            await what_is_open_ends(sidecar)
            begun, told = last.taken, sum(statuses.values())
            await until(lambda: sum(statuses.values()) > told + 200)
            assert last.taken == begun
            over.set()
            await asyncio.gather(*clients)
            ran: Counter[str] = Counter()
            for box in around:
                ran.update(box.ran)
            assert max(ran.values()) == 1
            assert statuses.keys() <= ({200, 503} if form == "cluster-removed" else {200})
            assert sum(ran.values()) == statuses[200]

    asyncio.run(main())


def test_a_request_that_waits_for_a_connection_to_a_box_that_drains_goes_elsewhere():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            # A listener whose queue is full: connections to it neither come up nor fail.
            with socket.socket() as deaf:
                deaf.bind(("127.0.0.1", 0))
                deaf.listen(0)
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(deaf.getsockname())
                stuck = f"127.0.0.1:{deaf.getsockname()[1]}"
                heavy = {"address": stuck, "load_balancing_weight": 100_000}
                plane.put(endpoints("ledger", heavy, *rows_of(box)))
                await until(lambda: stuck in sidecar.pools["boxes"].up)
                peers = sidecar.pools["boxes"].balancer.peers
                peers[stuck].info.launched_ms = None  # it is not cold any more
                sidecar.pools["boxes"].back.connect_timeout_s = 60.0
                held = asyncio.create_task(application(sidecar).ask("POST", "/x", b"1"))
                await until(lambda: sidecar.pools["boxes"].requests)
                drained = {"address": stuck, "health_status": "DRAINING"}
                plane.put(endpoints("ledger", drained, *rows_of(box)))
                answer = await held
                assert (answer.status, answer.headers[b"x-box"]) == (200, b"box-0")
                for filler in fillers:
                    filler.close()

    asyncio.run(main())


def test_an_update_that_empties_the_pool_refuses_and_one_that_fills_it_serves_again():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            app = application(sidecar)
            assert (await app.ask("GET", "/x")).status == 200
            plane.put(endpoints("ledger"))
            await until(lambda: not sidecar.pools["boxes"].up)
            answer = await app.ask("POST", "/x", b"1")
            assert (answer.status, b"never ran" in answer.headers[b"proxy-status"]) == (503, True)
            plane.put(endpoints("ledger", *rows_of(box)))
            await until(lambda: sidecar.pools["boxes"].up)
            info = next(iter(sidecar.pools["boxes"].balancer.peers.values())).info
            assert info.launched_ms is not None  # it may be another process, so it is cold

    asyncio.run(main())


def test_limits_and_warm_up_of_a_cluster_hold_for_its_pool():
    async def main():
        (box,) = boxes(1)
        limits = {"thresholds": [{"max_requests": 1, "max_connections": 2}]}
        slow = {"slow_start_config": {"slow_start_window": "90s"}}
        more = {"circuit_breakers": limits, "round_robin_lb_config": slow}
        async with following("incremental", box, **more) as (_, sidecar):
            pool = sidecar.pools["boxes"]
            assert pool.balancer.cfg.cold_ms == 90_000.0
            assert sidecar.managed["boxes"].back.limit == 2
            box.behaviour.hang = True
            held = asyncio.create_task(application(sidecar).ask("POST", "/x", b"1"))
            await until(lambda: box.taken)
            answer = await application(sidecar).ask("POST", "/x", b"2")
            assert (answer.status, b"connection_limit" in answer.headers[b"proxy-status"]) == (503, True)
            held.cancel()

    asyncio.run(main())


def test_the_admin_listener_tells_versions_age_and_what_was_rejected():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            plane.put(
                endpoints("ledger", {"address": "127.0.0.1:7001", "health_status": "HEALTHY"}, priority=200)
            )
            await until(plane.errors)

            async def lists() -> dict[str, Any]:
                return orjson.loads((await operator(sidecar).ask("GET", "/lists")).body)["boxes"]

            found = await lists()
            assert found["connected"] is True
            assert 0 <= found["news_ms_ago"] < 60_000
            rows = {row["type"]: row for row in found["resources"]}
            assert rows["Cluster"]["rejected"] is None
            assert "endpoints[0].priority: 200 is over 128" in rows["ClusterLoadAssignment"]["rejected"]
            assert rows["ClusterLoadAssignment"]["version"] == "1"
            assert sidecar.pools["boxes"].up == {box.endpoint}

    asyncio.run(main())


def test_a_reload_moves_a_pool_to_another_cluster_and_to_a_static_list():
    async def main():
        one, two, three = boxes(3)
        await two.start()
        await three.start()
        async with following("incremental", one) as (plane, sidecar):
            app = application(sidecar)
            plane.put(cluster("other"), endpoints("other", *rows_of(two)))
            await sidecar.reload(configuration(row(pools=pools_of(plane, name="other"))))
            await until(lambda: sidecar.pools["boxes"].up == {two.endpoint})
            info = next(iter(sidecar.pools["boxes"].balancer.peers.values())).info
            assert info.launched_ms is not None  # the list before did not have it
            await sidecar.reload(configuration(row(three)))
            assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-2"
            assert sidecar.pools["boxes"].balancer.servers.levels is None
        two.stop()
        three.stop()

    asyncio.run(main())


def test_endpoints_of_which_nothing_is_heard_count_as_unhealthy_once_they_are_stale():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            message = endpoint_pb2.ClusterLoadAssignment.FromString(
                plane.resources[ENDPOINTS]["ledger"].value
            )
            message.policy.endpoint_stale_after.FromSeconds(3600)
            plane.put(packed(message))
            feed: Any = sidecar.managed["boxes"].watcher
            await until(lambda: feed.client.endpoints.held["ledger"].version == "2")
            now = sidecar.clock.ms()
            assert not feed.client.tick(now + 3_599_000)
            assert feed.client.tick(now + 3_700_000)
            states = [entry.server.state.value for entry in feed.client.served("ledger").entries]
            assert states == ["sick"]

    asyncio.run(main())
