"""Reloads: a new configuration is applied completely or not at all, and no request is lost."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from typing import Any

import orjson
import pytest
from beside import (
    CLASSES,
    ROUTES,
    admin_client,
    application,
    boxes,
    configuration,
    configuration_data,
    running,
)
from loopback import until

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.discovery import Discovery
from loadbalancer.runtime.sidecar import ReloadError


def listener(name: str, port: int = 0) -> dict[str, Any]:
    """Return a listener's data; with port 0 the listener is identified by its name and kept over reloads."""
    return {"name": name, "address": f"127.0.0.1:{port}"}


def test_reload_adds_and_removes_routes():
    async def main():
        (box,) = boxes(1)
        only = [{"class": "read", "path": "/a/**"}]
        async with running(box, classes=CLASSES[:1], routes=only) as sidecar:
            app = application(sidecar)
            assert [(await app.ask("GET", path)).status for path in ("/a/1", "/b/1")] == [200, 404]
            pool = sidecar.pools["boxes"]
            other = [{"class": "read", "path": "/b/**"}]
            await sidecar.reload(configuration(configuration_data(box, classes=CLASSES[:1], routes=other)))
            assert [(await app.ask("GET", path)).status for path in ("/a/1", "/b/1")] == [404, 200]
            assert sidecar.pools["boxes"] is pool  # the balancer and its state are kept
            assert box.accepted == 1

    asyncio.run(main())


def test_open_request_of_a_removed_route_class_and_pool_is_answered():
    async def main():
        old, new = boxes(2)
        await new.start()
        async with running(old) as sidecar:
            app = application(sidecar)
            old.behaviour.work_ms, old.behaviour.cores = 1.0, 0
            pending = asyncio.create_task(app.ask("POST", "/x", b"held"))
            await until(lambda: old.taken)
            pools = [
                {
                    "name": "other",
                    "list": {"source": "static", "servers": [{"id": "n", "address": new.endpoint}]},
                }
            ]
            kinds = [CLASSES[0] | {"pool": "other"}]
            await sidecar.reload(
                configuration(configuration_data(pools=pools, classes=kinds, routes=ROUTES[:1]))
            )
            assert list(sidecar.pools) == ["other"]
            assert (await app.ask("POST", "/x", b"late")).status == 404
            assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-1"
            old.behaviour.cores = 9
            old._begin()
            answer = await pending
            assert (answer.status, bytes(answer.body)) == (200, b"held")
            # The removed pool is closed once its requests have ended.
            await until(lambda: not old.connections)
        new.stop()

    asyncio.run(main())


def test_open_request_of_a_removed_listener_is_answered():
    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one")]) as sidecar:
            box.behaviour.work_ms, box.behaviour.cores = 1.0, 0
            app = application(sidecar, "one")
            pending = asyncio.create_task(app.ask("GET", "/x"))
            await until(lambda: box.taken)
            await sidecar.reload(configuration(configuration_data(box, listeners=[listener("two")])))
            box.behaviour.cores = 9
            box._begin()
            answer = await pending
            assert (answer.status, answer.headers[b"connection"]) == (200, b"close")
            assert (await application(sidecar, "two").ask("GET", "/x")).status == 200
            with pytest.raises(OSError, match=r"refused|Connect"):
                await app.ask("GET", "/x")

    asyncio.run(main())


def test_reload_with_an_address_in_use_changes_nothing():
    async def main():
        (box,) = boxes(1)
        with socket.create_server(("127.0.0.1", 0)) as taken:
            async with running(
                box, classes=CLASSES[:1], routes=[{"class": "read", "path": "/a/**"}]
            ) as sidecar:
                before, listeners, pool = sidecar.digest, sidecar.listeners, sidecar.pools["boxes"]
                wanted = [
                    listener("application"),
                    listener("more"),
                    listener("bad", taken.getsockname()[1]),
                ]
                new = configuration_data(box, listeners=wanted, rules={"max_attempts": 2})
                gc.collect()  # descriptors left by other tests must not be closed in between
                open_descriptors = len(os.listdir("/proc/self/fd"))
                with pytest.raises(OSError, match="in use"):
                    await sidecar.reload(configuration(new))
                # Sockets bound for the failed reload are closed.
                assert len(os.listdir("/proc/self/fd")) <= open_descriptors
                assert sidecar.digest == before
                assert sidecar.listeners is listeners
                assert sidecar.pools["boxes"] is pool
                assert (await application(sidecar).ask("GET", "/b/1")).status == 404
                assert (await application(sidecar).ask("GET", "/a/1")).status == 200

    asyncio.run(main())


def test_reload_with_another_name_is_rejected():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            with pytest.raises(ReloadError, match=r"name: 'else' can't replace 'beside'.*restart"):
                await sidecar.reload(configuration(configuration_data(box, name="else")))
            assert sidecar.configuration.name == "beside"

    asyncio.run(main())


def test_reload_of_limits_keeps_the_pool():
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            app, pool = application(sidecar), sidecar.pools["boxes"]
            assert (await app.ask("POST", "/x", b"y" * 500)).status == 200
            limits = {"max_body_bytes": 100, "max_open": 7, "descriptors": 128}
            await sidecar.reload(configuration(configuration_data(box, limits=limits)))
            assert sidecar.pools["boxes"] is pool
            assert sidecar.capacity.limit == 7
            assert (await application(sidecar).ask("POST", "/x", b"y" * 500)).status == 413

    asyncio.run(main())


def test_reload_of_rules_replaces_the_pool_and_keeps_its_servers():
    async def main():
        (box,) = boxes(1)
        discovery = await Discovery().start()
        source = {"source": "discovery", "address": discovery.endpoint}
        pools = [{"name": "boxes", "list": source}]
        async with running(box, pools=pools) as sidecar:
            discovery.tell(box)
            await until(lambda: sidecar.ready)
            old = sidecar.pools["boxes"]
            discovery.stop()  # no further update arrives
            await sidecar.reload(configuration(configuration_data(pools=pools, rules={"max_attempts": 1})))
            assert sidecar.pools["boxes"] is not old
            assert (await application(sidecar).ask("GET", "/x")).status == 200

    asyncio.run(main())


def test_reload_of_a_static_list_keeps_the_pool_and_drains_removed_servers():
    async def main():
        one, two = boxes(2)
        await two.start()
        async with running(one) as sidecar:
            app, pool = application(sidecar), sidecar.pools["boxes"]
            assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-0"
            await sidecar.reload(configuration(configuration_data(two)))
            assert sidecar.pools["boxes"] is pool
            for _ in range(5):
                assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-1"
        two.stop()

    asyncio.run(main())


def test_reload_changes_a_list_from_static_to_discovery_and_to_another_discovery():
    async def main():
        one, two, three = boxes(3)
        for box in (two, three):
            await box.start()
        first, second = await Discovery().start(), await Discovery().start()
        first.tell(two)
        second.revision = 7
        second.tell(three)

        def discovery_row(at: Discovery) -> dict[str, Any]:
            return configuration_data(
                pools=[
                    {"name": "boxes", "list": {"source": "discovery", "address": at.endpoint, "mode": "push"}}
                ]
            )

        async with running(one) as sidecar:
            app = application(sidecar)
            assert (await app.ask("GET", "/x")).headers[b"x-box"] == b"box-0"
            await sidecar.reload(configuration(discovery_row(first)))
            await until(lambda: sidecar.pools["boxes"].up == {"box-1"})
            await sidecar.reload(configuration(discovery_row(second)))
            await until(lambda: "box-2" in sidecar.pools["boxes"].up)
        for item in (first, second, two, three):
            item.stop()

    asyncio.run(main())


@pytest.mark.parametrize("change", ["rules", "listeners", "routes", "limits", "list"])
def test_reloads_under_load_lose_no_request_and_run_none_twice(change):
    async def main():
        all_boxes = boxes(3)
        for box in all_boxes:
            box.behaviour.work_ms = 3.0
        both = [listener("kept"), listener("comes-and-goes")]
        async with running(*all_boxes, listeners=both) as sidecar:
            variants = {
                "rules": [{"rules": {"max_attempts": at}} for at in (2, 3)],
                "listeners": [{"listeners": both[:1]}, {"listeners": both}],
                "routes": [
                    {"routes": [*ROUTES, {"class": "read", "path": "/new", "methods": ["PATCH"]}]},
                    {},
                ],
                "limits": [{"limits": {"max_open": at}} for at in (500, 600)],
                "list": [{}, {}],
            }[change]
            rows = [configuration_data(*all_boxes, listeners=both) | variant for variant in variants]
            if change == "list":
                rows = [
                    configuration_data(*all_boxes[:2], listeners=both),
                    configuration_data(*all_boxes, listeners=both),
                ]
            asked: list[str] = []
            answered: list[str] = []
            over = asyncio.Event()

            async def client(at: int) -> None:
                app = application(sidecar, "kept")
                number = 0
                while not over.is_set():
                    number += 1
                    name = f"{at}-{number}"
                    asked.append(name)
                    answer = await app.ask("POST", "/x", name.encode(), {"X-Posting": name})
                    assert answer.status in (200, 503)
                    if answer.status == 200:
                        assert bytes(answer.body) == name.encode()
                        answered.append(name)

            clients = [asyncio.create_task(client(at)) for at in range(8)]
            for at in range(12):
                seen = len(answered)
                await until(lambda seen=seen: len(answered) > seen + 20)
                await sidecar.reload(configuration(rows[at % 2]))
            over.set()
            await asyncio.gather(*clients)
            ran = sum((box.ran for box in all_boxes), start=type(all_boxes[0].ran)())
            assert all(ran[name] == 1 for name in answered)
            assert max(ran.values()) == 1
            assert len(answered) > 0.9 * len(asked)

    asyncio.run(main())


def test_idle_connection_of_a_removed_listener_is_closed():
    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one"), listener("two")]) as sidecar:
            app = application(sidecar, "two")
            assert (await app.ask("GET", "/x")).status == 200
            (kept,) = app.idle
            await sidecar.reload(configuration(configuration_data(box, listeners=[listener("one")])))
            await until(lambda: not kept.usable)
            with pytest.raises(OSError, match=r"refused|Connect|complete answer"):
                await app.ask("GET", "/x")

    asyncio.run(main())


# ------------------------------------------------------------------------------ admin


async def get(sidecar, path):
    answer = await admin_client(sidecar).ask("GET", path)
    return answer.status, (orjson.loads(answer.body) if answer.status == 200 and answer.body else None)


def test_admin_listener_shows_configuration_servers_and_requests():
    async def main():
        one, two = boxes(2)
        async with running(one, two) as sidecar:
            app = application(sidecar)
            one.behaviour.hang = two.behaviour.hang = True
            pending = asyncio.create_task(app.ask("POST", "/x", b"1"))
            await until(lambda: one.taken + two.taken)
            status, config = await get(sidecar, "/config")
            assert status == 200
            assert config["digest"] == sidecar.digest
            assert config["configuration"]["classes"][0]["name"] == "read"
            assert config["rejected"] is None
            status, servers = await get(sidecar, "/servers")
            assert [row["state"] for row in servers["boxes"]] == ["up", "up"]
            assert sorted(row["in_flight"] for row in servers["boxes"]) == [0.0, 1.0]
            # The busy server is ranked second.
            assert servers["boxes"][0]["rank"] < servers["boxes"][1]["rank"]
            assert servers["boxes"][1]["in_flight"] == 1.0
            assert await get(sidecar, "/requests") == (200, {"boxes": {"read": 0, "post": 1, "move": 0}})
            assert (await get(sidecar, "/up"))[0] == 200
            assert (await get(sidecar, "/else"))[0] == 404
            answer = await admin_client(sidecar).ask("POST", "/config")
            assert (answer.status, answer.headers[b"allow"]) == (405, b"GET, HEAD")
            sidecar.reject("a reason")
            assert (await get(sidecar, "/config"))[1]["rejected"]["why"] == "a reason"
            pending.cancel()

    asyncio.run(main())


def test_servers_page_draws_no_random_numbers():
    async def main():
        one, two = boxes(2)
        async with running(one, two) as sidecar:
            balancer = sidecar.pools["boxes"].balancer
            before = balancer.rng.getstate()
            await get(sidecar, "/servers")
            assert balancer.rng.getstate() == before

    asyncio.run(main())


def test_sidecar_is_not_ready_until_each_pool_has_a_server():
    async def main():
        box = await Box("b").start()
        discovery = await Discovery().start()
        pools = [{"name": "boxes", "list": {"source": "discovery", "address": discovery.endpoint}}]
        async with running(pools=pools) as sidecar:
            assert (await get(sidecar, "/up"))[0] == 503
            discovery.tell(box)
            await until(lambda: sidecar.ready)
            assert (await get(sidecar, "/up"))[0] == 200
        discovery.stop()
        box.stop()

    asyncio.run(main())
