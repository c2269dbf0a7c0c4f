"""Nothing is written to a server once the node knows that it drains, whatever waited for a connection to it."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Caller, Held, Peer, Scripted, ask, request, running, until

from loadbalancer import interface as api
from loadbalancer.discovery.watcher import ServerListUpdate

MANY = 70  # more than are connected to one server at a time


def drain(node, port, state=api.ServerState.DRAINING):
    row = ServerListUpdate(9, False, (api.Server("s0", state=state),), {"s0": ("127.0.0.1", port)})
    node._on_list(api.ListForm.DELTA, row)


def first_then(*names):
    """Acts for a scripted module: the first of these servers, and after an attempt that never ran the next."""
    tries = {}

    def act(event):
        if isinstance(event, api.Request) or (isinstance(event, api.Outcome) and event.result.never_ran):
            at = tries[event.id] = tries.get(event.id, -1) + 1
            return [api.Send(event.id, names[at])] if at < len(names) else [api.Refuse(event.id)]
        return []

    return act


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.REMOVED])
def test_what_waits_to_connect_or_behind_those_goes_elsewhere(state):
    async def main():
        leaving, staying = Peer(), Peer()
        async with running(leaving, staying, bounds={"maxOpen": 1000}) as node:
            node.pool.balancer = Scripted(first_then("s0", "s1"))
            hold, opening = asyncio.Event(), node.back.open

            async def held(endpoint):
                if endpoint[1] == leaving.port:
                    await hold.wait()
                return await opening(endpoint)

            node.back.open = held
            asked = [asyncio.create_task(ask(node, request("post", f"q{at}"))) for at in range(MANY)]
            await until(lambda: len(node.back._servers["s0"].waiting) == MANY)
            drain(node, leaving.port, state)
            hold.set()  # the connections come up as the drain is told
            assert [answer.status for answer in await asyncio.gather(*asked)] == [200] * MANY
            await until(lambda: not node.back._opening)
            assert (leaving.seen, len(staying.seen)) == ([], MANY)

    asyncio.run(main())


def test_what_waits_in_the_queue_for_a_connection_goes_elsewhere():
    async def main():
        leaving, staying = Held(), Peer()
        async with running(leaving, staying) as node:
            node.back.limit = 1
            node.pool.balancer = Scripted(first_then("s0", "s1"))
            callers = [await Caller.to(node) for _ in range(6)]
            callers[0].writer.write(request("post", "q0"))
            await until(lambda: leaving.seen)
            for at, caller in enumerate(callers[1:], 1):
                caller.writer.write(request("post", f"q{at}"))
            await until(lambda: node.back.waiting == 5)
            drain(node, leaving.port)
            leaving.release.set()  # what is out is still answered, and its connection is free
            assert [(await caller.answer()).status for caller in callers] == [200] * 6
            assert (len(leaving.seen), len(staying.seen)) == (1, 5)

    asyncio.run(main())


def test_a_connection_that_rests_as_the_drain_is_reported_carries_nothing_more():
    async def main():
        leaving, staying = Peer(), Peer()
        async with running(leaving, staying) as node:
            node.pool.balancer = Scripted(first_then("s0", "s1"))
            assert (await ask(node, request("post", "q1"))).status == 200
            drain(node, leaving.port)
            assert (await ask(node, request("post", "q2"))).status == 200
            await until(lambda: not node.back._resting)
            assert (len(leaving.seen), len(staying.seen)) == (1, 1)
            await until(lambda: leaving.readers[0].at_eof())

    asyncio.run(main())


def test_a_server_that_is_back_at_once_is_not_sent_what_waited_for_it_before():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.pool.balancer = Scripted(first_then("s0"))
            hold, opening = asyncio.Event(), node.back.open

            async def held(endpoint):
                await hold.wait()
                return await opening(endpoint)

            node.back.open = held
            asked = asyncio.create_task(ask(node, request("post", "q1")))
            await until(lambda: node.back._opening)
            drain(node, server.port)
            drain(node, server.port, api.ServerState.UP)
            hold.set()
            assert (await asked).status == 503
            await until(lambda: not node.back._opening)
            assert server.seen == []

    asyncio.run(main())
