"""Unexpected exceptions don't stop updates, and a missing package doesn't leave a partial reload."""

from __future__ import annotations

import asyncio
import sys

import pytest
from beside import boxes, configuration, configuration_data, running
from loopback import until
from test_stream import addresses, xds_client

from loadbalancer.emulator.xds import ControlPlane, cluster, endpoints
from loadbalancer.runtime.sidecar import ReloadError
from loadbalancer.xds import protocol
from loadbalancer.xds.files import FileClient
from loadbalancer.xds.protocol import XdsClient


def test_an_exception_while_a_response_is_applied_ends_only_that_stream(monkeypatch):
    monkeypatch.setattr(protocol, "FIRST_BACKOFF_S", 0.02)
    original, faults = XdsClient.received, [RuntimeError("a fault"), RuntimeError("another")]

    def received(self, now_ms, response):
        if faults:
            raise faults.pop()
        return original(self, now_ms, response)

    monkeypatch.setattr(XdsClient, "received", received)

    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", {"address": "127.0.0.1:7001"}))
        async with xds_client(plane.endpoint, True) as client:
            await until(lambda: addresses(client) == ["127.0.0.1:7001"])
            assert faults == []
        await plane.stop()

    asyncio.run(main())


def test_an_exception_while_a_file_is_polled_does_not_stop_the_polling(monkeypatch, tmp_path):
    polls = []

    def poll(self):
        polls.append(1)
        raise RuntimeError("a fault")

    monkeypatch.setattr(FileClient, "poll", poll)
    monkeypatch.setattr("loadbalancer.xds.files.POLL_INTERVAL_S", 0.001)

    async def main():
        client = FileClient(str(tmp_path / "x.yaml"), "ledger", lambda: 0.0, lambda: None)
        client.start()
        await until(lambda: len(polls) > 3)
        client.close()

    asyncio.run(main())


def test_a_reload_to_a_list_whose_extra_is_not_installed_is_rejected(monkeypatch):
    async def main():
        (box,) = boxes(1)
        async with running(box) as sidecar:
            before = sidecar.pools["boxes"]
            monkeypatch.setitem(sys.modules, "loadbalancer.runtime.xds", None)
            source = {"source": "xds", "address": "127.0.0.1:1", "cluster": "ledger"}
            with pytest.raises(ReloadError, match=r"pip install 'emberring\[xds\]'"):
                await sidecar.reload(
                    configuration(configuration_data(pools=[{"name": "boxes", "list": source}]))
                )
            assert sidecar.pools["boxes"] is before
            assert sidecar.ready

    asyncio.run(main())
