"""A sidecar's pool that follows an xDS cluster: each way to drain a server, over each transport, under load."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import orjson
import pytest
from beside import (
    admin_client,
    application,
    boxes,
    configuration,
    configuration_data,
    running_sidecar,
    wait_for_open_requests,
)
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


def rows_of(*all_boxes: Box) -> list[dict[str, Any]]:
    return [{"address": box.endpoint} for box in all_boxes]


@contextlib.asynccontextmanager
async def with_control_plane(
    all_boxes: Sequence[Box], fill: Callable[[ControlPlane], dict[str, Any]]
) -> AsyncIterator[tuple[ControlPlane, Sidecar]]:
    """Start a control plane, servers and a sidecar; `fill` fills the plane and returns the sidecar's configuration."""
    plane = await ControlPlane().start()
    try:
        async with running_sidecar(all_boxes, lambda: fill(plane)) as sidecar:
            await until(lambda: sidecar.ready)
            yield plane, sidecar
    finally:
        await plane.stop()


def following(
    updates: str, *all_boxes: Box, **more: Any
) -> contextlib.AbstractAsyncContextManager[tuple[ControlPlane, Sidecar]]:
    def fill(plane: ControlPlane) -> dict[str, Any]:
        plane.put(cluster("ledger", **more), endpoints("ledger", *rows_of(*all_boxes)))
        return configuration_data(pools=pools_of(plane, updates))

    return with_control_plane(all_boxes, fill)


REMOVALS = {
    "draining": {"health_status": "DRAINING"},
    "unhealthy": {"health_status": "UNHEALTHY"},
    "timed-out": {"health_status": "TIMEOUT"},
    "weightless": {"load_balancing_weight": 0},
}


@pytest.mark.parametrize("updates", list(WAYS))
@pytest.mark.parametrize("form", [*REMOVALS, "removed", "cluster-removed"])
def test_removed_server_gets_no_new_request_and_finishes_its_open_ones(form, updates):
    async def main():
        all_boxes = boxes(4)
        async with following(updates, *all_boxes) as (plane, sidecar):
            last = all_boxes[-1]
            for box in all_boxes:
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
            await until(lambda: all(box.served > 10 for box in all_boxes))
            others = rows_of(*all_boxes[:-1])
            if form == "cluster-removed":
                plane.remove(CLUSTER, "ledger")
            elif form == "removed":
                plane.put(endpoints("ledger", *others))
            else:
                plane.put(endpoints("ledger", *others, {"address": last.endpoint} | REMOVALS[form]))
            # A request sent before the drain was applied may still start at the server.
            await until(lambda: last.endpoint not in sidecar.pools["boxes"].up)
            await wait_for_open_requests(sidecar)
            begun, answered_before = last.taken, sum(statuses.values())
            await until(lambda: sum(statuses.values()) > answered_before + 200)
            assert last.taken == begun
            over.set()
            await asyncio.gather(*clients)
            ran: Counter[str] = Counter()
            for box in all_boxes:
                ran.update(box.ran)
            assert max(ran.values()) == 1
            assert statuses.keys() <= ({200, 503} if form == "cluster-removed" else {200})
            assert sum(ran.values()) == statuses[200]

    asyncio.run(main())


def test_request_waiting_for_a_connection_to_a_draining_server_is_sent_to_another():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            # The listener's accept queue is full: connections to it are neither established nor refused.
            with socket.socket() as full_listener:
                full_listener.bind(("127.0.0.1", 0))
                full_listener.listen(0)
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex(full_listener.getsockname())
                stuck = f"127.0.0.1:{full_listener.getsockname()[1]}"
                heavy = {"address": stuck, "load_balancing_weight": 100_000}
                plane.put(endpoints("ledger", heavy, *rows_of(box)))
                await until(lambda: stuck in sidecar.pools["boxes"].up)
                peers = sidecar.pools["boxes"].balancer.servers_by_address
                peers[stuck].info.launched_ms = None  # the server is not cold any more
                sidecar.pools["boxes"].back.connect_timeout_s = 60.0
                pending = asyncio.create_task(application(sidecar).ask("POST", "/x", b"1"))
                await until(lambda: sidecar.pools["boxes"].requests)
                drained = {"address": stuck, "health_status": "DRAINING"}
                plane.put(endpoints("ledger", drained, *rows_of(box)))
                answer = await pending
                assert (answer.status, answer.headers[b"x-box"]) == (200, b"box-0")
                for filler in fillers:
                    filler.close()

    asyncio.run(main())


def test_empty_update_rejects_requests_until_the_next_update_adds_servers():
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
            info = next(iter(sidecar.pools["boxes"].balancer.servers_by_address.values())).info
            assert info.launched_ms is not None  # it may be a new process, so it is cold

    asyncio.run(main())


def test_limits_and_warm_up_of_a_cluster_apply_to_its_pool():
    async def main():
        (box,) = boxes(1)
        limits = {"thresholds": [{"max_requests": 1, "max_connections": 2}]}
        slow = {"slow_start_config": {"slow_start_window": "90s"}}
        more = {"circuit_breakers": limits, "round_robin_lb_config": slow}
        async with following("incremental", box, **more) as (_, sidecar):
            pool = sidecar.pools["boxes"]
            assert pool.balancer.cfg.cold_ms == 90_000.0
            assert sidecar.managed_pools["boxes"].back.limit == 2
            box.behaviour.hang = True
            pending = asyncio.create_task(application(sidecar).ask("POST", "/x", b"1"))
            await until(lambda: box.taken)
            answer = await application(sidecar).ask("POST", "/x", b"2")
            assert (answer.status, b"connection_limit" in answer.headers[b"proxy-status"]) == (503, True)
            pending.cancel()

    asyncio.run(main())


def test_admin_listener_shows_versions_age_and_rejections():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            plane.put(
                endpoints("ledger", {"address": "127.0.0.1:7001", "health_status": "HEALTHY"}, priority=200)
            )
            await until(plane.errors)

            async def lists() -> dict[str, Any]:
                return orjson.loads((await admin_client(sidecar).ask("GET", "/lists")).body)["boxes"]

            found = await lists()
            assert found["connected"] is True
            assert 0 <= found["news_ms_ago"] < 60_000
            rows = {row["type"]: row for row in found["resources"]}
            assert rows["Cluster"]["rejected"] is None
            assert "endpoints[0].priority: 200 is over 128" in rows["ClusterLoadAssignment"]["rejected"]
            assert rows["ClusterLoadAssignment"]["version"] == "1"
            assert sidecar.pools["boxes"].up == {box.endpoint}

    asyncio.run(main())


def test_reload_moves_a_pool_to_another_cluster_and_to_a_static_list():
    async def main():
        one, two, three = boxes(3)
        await two.start()
        await three.start()
        async with following("incremental", one) as (plane, sidecar):
            app = application(sidecar)
            plane.put(cluster("other"), endpoints("other", *rows_of(two)))
            await sidecar.reload(configuration(configuration_data(pools=pools_of(plane, name="other"))))
            await until(lambda: sidecar.pools["boxes"].up == {two.endpoint})
            info = next(iter(sidecar.pools["boxes"].balancer.servers_by_address.values())).info
            assert info.launched_ms is not None  # the previous list did not have it, so it is cold
            await sidecar.reload(configuration(configuration_data(three)))
            assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-2"
            assert sidecar.pools["boxes"].balancer.servers.levels is None
        two.stop()
        three.stop()

    asyncio.run(main())


def test_endpoints_without_updates_count_as_unhealthy_once_stale():
    async def main():
        (box,) = boxes(1)
        async with following("incremental", box) as (plane, sidecar):
            message = endpoint_pb2.ClusterLoadAssignment.FromString(
                plane.resources[ENDPOINTS]["ledger"].value
            )
            message.policy.endpoint_stale_after.FromSeconds(3600)
            plane.put(packed(message))
            watcher: Any = sidecar.managed_pools["boxes"].watcher
            await until(lambda: watcher.client.endpoints.states["ledger"].version == "2")
            now = sidecar.clock.ms()
            assert not watcher.client.tick(now + 3_599_000)
            assert watcher.client.tick(now + 3_700_000)
            states = [entry.server.state.value for entry in watcher.client.served("ledger").entries]
            assert states == ["sick"]

    asyncio.run(main())
