"""A reload that removes a listener, crossed by what has connected to it, half a request, and the end of the process."""

from __future__ import annotations

import asyncio
import socket

import pytest
from beside import address, application, boxes, configuration, row, running
from loopback import until

from loadbalancer.core import shutdown

ASK = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


def listener(name):
    return {"name": name, "address": "127.0.0.1:0"}


def without(box, **more):
    """A configuration whose listener is another one."""
    return configuration(row(box, listeners=[listener("two")], **more))


@pytest.mark.parametrize("first", ["reload", "end"])
def test_what_is_open_on_a_removed_listener_is_answered_though_the_process_ends(monkeypatch, first):
    """Guard: only the listeners in force were waited for, and the request was given up at once."""
    monkeypatch.setattr(shutdown, "STOP_OPEN_S", 0.0)

    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one")]) as sidecar:
            box.behaviour.work_ms, box.behaviour.cores = 1.0, 0
            held = asyncio.create_task(application(sidecar, "one").ask("GET", "/x"))
            await until(lambda: box.taken)
            ending = asyncio.create_task(sidecar.stop()) if first == "end" else None
            await sidecar.reload(without(box))  # whole before the loop has another turn
            ending = ending or asyncio.create_task(sidecar.stop())
            await until(lambda: sidecar.leaving)
            for _ in range(20):  # as many turns as an end takes that waits for nothing
                await asyncio.sleep(0)
            assert not ending.done()
            box.behaviour.cores = 9
            box._begin()
            assert (await held).status == 200
            await ending

    asyncio.run(main())


def test_half_a_request_does_not_keep_a_removed_listener_for_good():
    async def main():
        (box,) = boxes(1)
        limits = {"request_ms": 100}
        async with running(box, listeners=[listener("one")], limits=limits) as sidecar:
            reader, writer = await asyncio.open_connection(*address(sidecar, "one"))
            writer.write(ASK[:-2])
            server = sidecar.listeners["one"].front.server
            await until(lambda: server.connections and next(iter(server.connections))._partial)
            await sidecar.reload(without(box, limits=limits))
            async with asyncio.timeout(20):
                assert (await reader.read()).startswith(b"HTTP/1.1 408")
            writer.close()
            await until(lambda: not sidecar._retired)
            assert sidecar._closed == []

    asyncio.run(main())


@pytest.mark.parametrize("taken", [False, True], ids=["in the kernel", "accepted"])
def test_a_connection_that_has_just_come_to_a_removed_listener_gets_its_answer(taken):
    async def main():
        (box,) = boxes(1)
        async with running(box, listeners=[listener("one")]) as sidecar:
            server = sidecar.listeners["one"].front.server
            with socket.create_connection(
                address(sidecar, "one")
            ) as raw:  # the loop has no turn from here on
                raw.sendall(ASK)
                if taken:
                    server._accept()  # its protocol is made in the next turn
                    assert server._accepted
                await sidecar.reload(without(box))
                raw.setblocking(False)
                async with asyncio.timeout(20):
                    answer = await sidecar.loop.sock_recv(raw, 4096)
                assert answer.startswith(b"HTTP/1.1 200")
                assert b"Connection: close" in answer

    asyncio.run(main())
