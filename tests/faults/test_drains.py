"""After a server is reported as draining, the node sends it nothing more, not even queued requests."""

from __future__ import annotations

import asyncio

import pytest
from loopback import BlockedServer, Caller, Peer, ScriptedBalancer, ask, request, running, until

from loadbalancer import interface as api
from loadbalancer.discovery.watcher import ServerListUpdate

MANY_REQUESTS = 70  # more than the limit of concurrent connection attempts to one server


def drain(node, port, state=api.ServerState.DRAINING):
    row = ServerListUpdate(9, False, (api.Server("s0", state=state),), {"s0": ("127.0.0.1", port)})
    node._on_list(api.ListForm.DELTA, row)


def try_in_order(*names):
    """Return a decision function: try these servers in order while attempts were not processed by a server."""
    tries = {}

    def act(event):
        if isinstance(event, api.Request) or (isinstance(event, api.Outcome) and event.result.never_ran):
            at = tries[event.id] = tries.get(event.id, -1) + 1
            return [api.Send(event.id, names[at])] if at < len(names) else [api.Refuse(event.id)]
        return []

    return act


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.REMOVED])
def test_requests_that_wait_to_connect_are_sent_to_another_server(state):
    async def main():
        leaving, staying = Peer(), Peer()
        async with running(leaving, staying, bounds={"maxOpen": 1000}) as node:
            node.pool.balancer = ScriptedBalancer(try_in_order("s0", "s1"))
            may_open, opening = asyncio.Event(), node.back.open

            async def delayed_open(endpoint):
                if endpoint[1] == leaving.port:
                    await may_open.wait()
                return await opening(endpoint)

            node.back.open = delayed_open
            pending = [
                asyncio.create_task(ask(node, request("post", f"q{at}"))) for at in range(MANY_REQUESTS)
            ]
            await until(lambda: len(node.back._servers["s0"].waiting) == MANY_REQUESTS)
            drain(node, leaving.port, state)
            may_open.set()  # the connections are established just after the drain is reported
            assert [answer.status for answer in await asyncio.gather(*pending)] == [200] * MANY_REQUESTS
            await until(lambda: not node.back._opening)
            assert (leaving.seen, len(staying.seen)) == ([], MANY_REQUESTS)

    asyncio.run(main())


def test_requests_that_are_queued_for_a_connection_are_sent_to_another_server():
    async def main():
        leaving, staying = BlockedServer(), Peer()
        async with running(leaving, staying) as node:
            node.back.limit = 1
            node.pool.balancer = ScriptedBalancer(try_in_order("s0", "s1"))
            callers = [await Caller.to(node) for _ in range(6)]
            callers[0].writer.write(request("post", "q0"))
            await until(lambda: leaving.seen)
            for at, caller in enumerate(callers[1:], 1):
                caller.writer.write(request("post", f"q{at}"))
            await until(lambda: node.back.waiting == 5)
            drain(node, leaving.port)
            leaving.release.set()  # the request in progress is still answered, which frees its connection
            assert [(await caller.answer()).status for caller in callers] == [200] * 6
            assert (len(leaving.seen), len(staying.seen)) == (1, 5)

    asyncio.run(main())


def test_a_connection_in_its_reuse_delay_at_the_drain_is_not_reused():
    async def main():
        leaving, staying = Peer(), Peer()
        async with running(leaving, staying) as node:
            node.pool.balancer = ScriptedBalancer(try_in_order("s0", "s1"))
            assert (await ask(node, request("post", "q1"))).status == 200
            drain(node, leaving.port)
            assert (await ask(node, request("post", "q2"))).status == 200
            await until(lambda: not node.back._awaiting_reuse)
            assert (len(leaving.seen), len(staying.seen)) == (1, 1)
            await until(lambda: leaving.readers[0].at_eof())

    asyncio.run(main())


def test_a_server_that_returns_at_once_does_not_get_requests_queued_before():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.pool.balancer = ScriptedBalancer(try_in_order("s0"))
            may_open, opening = asyncio.Event(), node.back.open

            async def delayed_open(endpoint):
                await may_open.wait()
                return await opening(endpoint)

            node.back.open = delayed_open
            pending = asyncio.create_task(ask(node, request("post", "q1")))
            await until(lambda: node.back._opening)
            drain(node, server.port)
            drain(node, server.port, api.ServerState.UP)
            may_open.set()
            assert (await pending).status == 503
            await until(lambda: not node.back._opening)
            assert server.seen == []

    asyncio.run(main())
