"""Over real sockets: while discovery fails, requests are not sent to servers that may have left in the meantime."""

from __future__ import annotations

import asyncio

import pytest
from loopback import BlockedServer, Discovery, Peer, ask, listing, reply, request, running, until

from loadbalancer.discovery import watcher as lists

POLLED_DISCOVERY = {"registryMode": "ask"}
EXPIRES_S = lists.MAX_NOTIFICATION_DELAY_S


def advance(node, seconds):
    """Advance the node's clock, instead of waiting."""
    node.clock._anchor += seconds


class Failing(Discovery):
    """Answers with the given responses, and then always with 503."""

    async def _next(self, message):
        return await super()._next(message) if self.news else reply(503)


async def until_failed(node):
    """Wait until the node has recorded a failure of discovery."""
    await until(lambda: node.pool.counts["list failed"])


def test_requests_are_rejected_at_once_when_the_list_has_expired():
    async def main():
        server = Peer()
        async with running(server, discovery=Failing(), settings=POLLED_DISCOVERY) as node:
            await until_failed(node)
            # The process has just started, so the cached list is used.
            assert (await ask(node, request("read", "q1"))).status == 200
            advance(node, EXPIRES_S)
            assert (await ask(node, request("read", "q2"))).status == 503
            assert (await ask(node, request("post", "q3"))).status == 503
            assert [seen.headers["req-id"] for seen in server.seen] == ["q1"]

    asyncio.run(main())


def test_a_server_that_accepted_a_request_recently_stays_in_use_and_the_others_do_not():
    async def main():
        servers = [Peer() for _ in range(4)]
        async with running(*servers, discovery=Failing(), settings=POLLED_DISCOVERY) as node:
            await until_failed(node)
            advance(node, EXPIRES_S - 1.0)
            assert (await ask(node, request("read", "q1"))).status == 200
            advance(node, 1.0)
            for at in range(2, 12):
                assert (await ask(node, request("read", f"q{at}"))).status == 200
            assert sorted(len(server.seen) for server in servers) == [0, 0, 0, 11]

    asyncio.run(main())


def test_no_retry_is_made_after_the_list_expired_during_an_attempt():
    async def main():
        first, others = BlockedServer(), Peer()
        async with running(
            first, others, discovery=Failing(), settings=POLLED_DISCOVERY, bounds={"maxAttempts": 3}
        ) as node:
            await until_failed(node)
            # The first attempt goes to the server that delays its response.
            node.pool.balancer.servers_by_address["s1"].info.weight = 1e-9
            advance(node, EXPIRES_S - 0.1)
            pending = asyncio.create_task(ask(node, request("read", "q1")))
            await until(lambda: first.seen)
            advance(node, 0.1)
            first.stop()  # resets the attempt, which would be retried with a valid list
            assert (await pending).status == 503
            assert others.seen == []

    asyncio.run(main())


def test_a_response_of_discovery_makes_all_servers_usable_again():
    async def main():
        class Recovering(Discovery):
            recovered = False

            async def _next(self, message):
                return listing(9, False) if self.recovered else reply(503)

        server, discovery = Peer(), Recovering()
        async with running(server, discovery=discovery, settings=POLLED_DISCOVERY) as node:
            await until_failed(node)
            advance(node, EXPIRES_S)
            assert (await ask(node, request("read", "q1"))).status == 503
            discovery.recovered = True
            await until(lambda: node.pool.counts["list delta"])
            assert (await ask(node, request("read", "q2"))).status == 200

    asyncio.run(main())


def test_a_watch_established_after_failures_confirms_the_list(monkeypatch):
    monkeypatch.setattr(lists, "WATCH_ESTABLISHED_S", 0.05)

    async def main():
        class Watching(Discovery):
            async def _next(self, message):
                if len(self.seen) == 1:
                    return reply(503)
                await asyncio.Event().wait()

        server = Peer()
        async with running(server, discovery=Watching(), settings=POLLED_DISCOVERY) as node:
            await until_failed(node)
            advance(node, EXPIRES_S)
            await until(lambda: node.pool.counts["list delta"])
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


def test_lists_pushed_by_a_local_agent_do_not_expire():
    async def main():
        server = Peer()
        async with running(server, discovery=Failing(), settings={"registryMode": "push"}) as node:
            await until_failed(node)
            advance(node, 10 * EXPIRES_S)
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


def test_a_response_confirms_the_list_until_a_missed_change_would_count_as_notified():
    async def main():
        server, discovery = Peer(), Failing(listing(5, False))
        async with running(server, discovery=discovery, settings=POLLED_DISCOVERY) as node:
            advance(node, EXPIRES_S)  # past the time after the start in which a cached list is used
            await until_failed(node)
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("ending", [reply(503), None], ids=["rejected", "reset"])
def test_the_end_of_a_watch_does_not_confirm_the_list(ending):
    """Discovery may have stopped responding before, so changes may have been missed since then."""

    async def main():
        class Ending(Discovery):
            async def _next(self, message):
                if len(self.seen) == 1:
                    return listing(5, False)
                await ended.wait()
                return ending

        ended, server, discovery = asyncio.Event(), Peer(), Ending()
        async with running(server, discovery=discovery, settings=POLLED_DISCOVERY) as node:
            await until(lambda: len(discovery.seen) == 2)
            advance(node, EXPIRES_S)  # past the time after the start in which a cached list is used,
            node.watcher.confirmed_s -= EXPIRES_S  # and the watch has lasted for that long
            ended.set()
            await until_failed(node)
            assert (
                await ask(node, request("read", "q1"))
            ).status == 503  # the list expired with the end of the watch
            assert server.seen == []

    asyncio.run(main())
