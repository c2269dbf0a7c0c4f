"""A reload removes a listener at the same time as a new connection, a partial request or the end of the process."""

from __future__ import annotations

import asyncio
import socket

import pytest
from beside import address, application, boxes, configuration, configuration_data, running
from loopback import until

from loadbalancer.core import shutdown

REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


def listener(name):
    return {"name": name, "address": "127.0.0.1:0"}


def without(box, **more):
    """A configuration with a different listener."""
    return configuration(configuration_data(box, listeners=[listener("two")], **more))


@pytest.mark.parametrize("first", ["reload", "end"])
def test_an_open_request_of_a_removed_listener_is_answered_before_the_process_ends(monkeypatch, first):
    """Guard: if the shutdown waits for current listeners only, the request is abandoned at once."""
    monkeypatch.setattr(shutdown, "STOP_OPEN_S", 0.0)

    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one")]) as sidecar:
            box.behaviour.work_ms, box.behaviour.cores = 1.0, 0
            pending = asyncio.create_task(application(sidecar, "one").ask("GET", "/x"))
            await until(lambda: box.taken)
            stopping = asyncio.create_task(sidecar.stop()) if first == "end" else None
            await sidecar.reload(without(box))  # it finishes before the event loop runs again
            stopping = stopping or asyncio.create_task(sidecar.stop())
            await until(lambda: sidecar.leaving)
            for _ in range(20):  # as many loop turns as a shutdown takes that waits for nothing
                await asyncio.sleep(0)
            assert not stopping.done()
            box.behaviour.cores = 9
            box._begin()
            assert (await pending).status == 200
            await stopping

    asyncio.run(main())


def test_a_partial_request_does_not_keep_a_removed_listener_open_forever():
    async def main():
        (box,) = boxes(1)
        limits = {"request_ms": 100}
        async with running(box, listeners=[listener("one")], limits=limits) as sidecar:
            reader, writer = await asyncio.open_connection(*address(sidecar, "one"))
            writer.write(REQUEST[:-2])
            server = sidecar.listeners["one"].front.server
            await until(lambda: server.connections and next(iter(server.connections))._partial)
            await sidecar.reload(without(box, limits=limits))
            async with asyncio.timeout(20):
                assert (await reader.read()).startswith(b"HTTP/1.1 408")
            writer.close()
            await until(lambda: not sidecar._retired)
            assert sidecar._closed == []

    asyncio.run(main())


@pytest.mark.parametrize("accepted", [False, True], ids=["in the kernel", "accepted"])
def test_a_request_on_a_new_connection_to_a_removed_listener_is_answered(accepted):
    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one")]) as sidecar:
            server = sidecar.listeners["one"].front.server
            # From here until the reload is complete, the event loop does not run.
            with socket.create_connection(address(sidecar, "one")) as raw:
                raw.sendall(REQUEST)
                if accepted:
                    server._accept()  # its protocol is created in the next turn
                    assert server._accepted
                await sidecar.reload(without(box))
                raw.setblocking(False)
                async with asyncio.timeout(20):
                    answer = await sidecar.loop.sock_recv(raw, 4096)
                assert answer.startswith(b"HTTP/1.1 200")
                assert b"Connection: close" in answer

    asyncio.run(main())
