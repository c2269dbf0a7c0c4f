"""Pools whose clusters come from one control plane share its stream."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest
from beside import LONG, boxes, configuration, configuration_data
from loopback import until
from test_xds_pool import WAYS, rows_of, with_control_plane

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.xds import CLUSTER, ControlPlane, cluster, endpoints
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.runtime.xds import XdsWatcher

POOLS = ("ledger", "reports")


def shape(plane: ControlPlane, way: str, **clusters: str) -> dict[str, Any]:
    """Return the data of a configuration in which each pool follows a cluster."""
    address = plane.rest_endpoint if way == "rest" else plane.endpoint
    source = {"source": "xds", "address": address} | WAYS[way]
    return configuration_data(
        pools=[{"name": name, "list": source | {"cluster": found}} for name, found in clusters.items()],
        classes=[{"name": f"read-{name}", "pool": name, "effect": "safe"} | LONG for name in clusters],
        routes=[{"class": f"read-{name}", "path": f"/{name}/**"} for name in clusters],
    )


def following(
    way: str, *all_boxes: Box, **clusters: str
) -> contextlib.AbstractAsyncContextManager[tuple[ControlPlane, Sidecar]]:
    """Start a control plane with one cluster per server, named after it, and a sidecar that follows `clusters`."""

    def fill(plane: ControlPlane) -> dict[str, Any]:
        for box in all_boxes:
            plane.put(cluster(box.name), endpoints(box.name, *rows_of(box)))
        return shape(plane, way, **clusters)

    return with_control_plane(all_boxes, fill)


def up(sidecar: Sidecar, name: str) -> set[str]:
    return sidecar.pools[name].up


@pytest.mark.parametrize("way", list(WAYS))
def test_pools_of_one_control_plane_share_its_stream(way):
    async def main():
        one, two, three = boxes(3)
        async with following(way, one, two, three, ledger="box-0", reports="box-1") as (plane, sidecar):
            assert (up(sidecar, "ledger"), up(sidecar, "reports")) == ({one.endpoint}, {two.endpoint})
            streams = {asked.stream for asked in plane.asked}
            assert len(streams) == (2 if way.startswith("separate") else 1)
            plane.remove(CLUSTER, "box-1")
            await until(lambda: not up(sidecar, "reports"))
            assert up(sidecar, "ledger") == {one.endpoint}
            # A pool's new cluster is requested on the existing stream.
            await sidecar.reload(configuration(shape(plane, way, ledger="box-0", reports="box-2")))
            await until(lambda: up(sidecar, "reports") == {three.endpoint})
            assert up(sidecar, "ledger") == {one.endpoint}
            assert {asked.stream for asked in plane.asked} == streams
            last = [asked.request for asked in plane.asked if asked.request.type_url == CLUSTER]
            if hasattr(last[-1], "resource_names"):
                await until(
                    lambda: (
                        [
                            list(asked.request.resource_names)
                            for asked in plane.asked
                            if asked.request.type_url == CLUSTER
                        ][-1]
                        == ["box-0", "box-2"]
                    )
                )
            else:
                gone = [name for request in last for name in request.resource_names_unsubscribe]
                assert gone == ["box-1"]

    asyncio.run(main())


def test_cluster_of_two_pools_is_followed_until_the_last_one_is_removed():
    async def main():
        one, two = boxes(2)
        async with following("incremental", one, two, ledger="box-0", reports="box-0") as (plane, sidecar):
            assert up(sidecar, "ledger") == up(sidecar, "reports") == {one.endpoint}
            await sidecar.reload(configuration(shape(plane, "incremental", ledger="box-0")))
            plane.put(endpoints("box-0", *rows_of(two)))
            await until(lambda: up(sidecar, "ledger") == {two.endpoint})
            servers = [{"id": "s", "address": one.endpoint}]
            static = shape(plane, "incremental", ledger="box-0")
            static["pools"] = [{"name": "ledger", "list": {"source": "static", "servers": servers}}]
            await sidecar.reload(configuration(static))
            await until(lambda: not plane.streams)

    asyncio.run(main())


def test_replaced_pool_has_its_servers_at_once_without_an_update():
    async def main():
        (one,) = boxes(1)
        async with following("incremental", one, ledger="box-0") as (plane, sidecar):
            plane.silent.update(plane.resources)
            before = sidecar.pools["ledger"]
            data = shape(plane, "incremental", ledger="box-0")
            data["pools"][0]["siblings"] = 7
            await sidecar.reload(configuration(data))
            assert sidecar.pools["ledger"] is not before
            assert up(sidecar, "ledger") == {one.endpoint}
            # The new pool takes over the previous one's list, so the server is not cold.
            assert [
                peer.info.launched_ms for peer in sidecar.pools["ledger"].balancer.servers_by_address.values()
            ] == [None]

    asyncio.run(main())


def test_exception_in_one_pool_does_not_keep_updates_from_the_others(monkeypatch):
    real = XdsWatcher.on_change

    def on_change(self: XdsWatcher) -> None:
        if self.cluster == "box-0" and self.endpoint_list.entries:
            raise RuntimeError("a fault")
        real(self)

    monkeypatch.setattr(XdsWatcher, "on_change", on_change)

    async def main():
        one, two = boxes(2)
        async with following("incremental", one, two, ledger="box-0", reports="box-1") as (plane, sidecar):
            plane.put(endpoints("box-0", *rows_of(two)))
            plane.remove(CLUSTER, "box-1")
            await until(lambda: not up(sidecar, "reports"))
            assert up(sidecar, "ledger") == {one.endpoint}

    asyncio.run(main())
