"""Over real sockets: while discovery fails, no request reaches a server that may have drained for too long."""

from __future__ import annotations

import asyncio

import pytest
from loopback import Discovery, Held, Peer, ask, listing, reply, request, running, until

from loadbalancer.discovery import watcher as lists

ASKED = {"registryMode": "ask"}
EXPIRES_S = lists.MAX_NOTIFICATION_DELAY_S


def advance(node, seconds):
    """Let the node's clock go ahead, instead of waiting."""
    node.clock._anchor += seconds


class Failing(Discovery):
    """Answers what it is given, then 503 for good."""

    async def _next(self, message):
        return await super()._next(message) if self.news else reply(503)


async def failed(node):
    await until(lambda: node.pool.counts["list failed"])


def test_a_request_is_rejected_at_once_and_sent_nowhere_when_the_list_has_expired():
    async def main():
        server = Peer()
        async with running(server, discovery=Failing(), settings=ASKED) as node:
            await failed(node)
            assert (
                await ask(node, request("read", "q1"))
            ).status == 200  # just started: the cached list is used
            advance(node, EXPIRES_S)
            assert (await ask(node, request("read", "q2"))).status == 503
            assert (await ask(node, request("post", "q3"))).status == 503
            assert [seen.headers["req-id"] for seen in server.seen] == ["q1"]

    asyncio.run(main())


def test_the_server_that_accepted_a_call_lately_serves_on_and_the_others_get_nothing():
    async def main():
        servers = [Peer() for _ in range(4)]
        async with running(*servers, discovery=Failing(), settings=ASKED) as node:
            await failed(node)
            advance(node, EXPIRES_S - 1.0)
            assert (await ask(node, request("read", "q1"))).status == 200
            advance(node, 1.0)
            for at in range(2, 12):
                assert (await ask(node, request("read", f"q{at}"))).status == 200
            assert sorted(len(server.seen) for server in servers) == [0, 0, 0, 11]

    asyncio.run(main())


def test_a_list_that_expires_while_an_attempt_is_out_ends_its_retries():
    async def main():
        first, others = Held(), Peer()
        async with running(
            first, others, discovery=Failing(), settings=ASKED, bounds={"maxAttempts": 3}
        ) as node:
            await failed(node)
            node.pool.balancer.peers[
                "s1"
            ].info.weight = 1e-9  # so that the first attempt goes to the one that holds it
            advance(node, EXPIRES_S - 0.1)
            asked = asyncio.create_task(ask(node, request("read", "q1")))
            await until(lambda: first.seen)
            advance(node, 0.1)
            first.stop()  # resets the attempt: a retry would be allowed, but for the list
            assert (await asked).status == 503
            assert others.seen == []

    asyncio.run(main())


def test_an_answer_of_discovery_makes_every_server_usable_again():
    async def main():
        class Returning(Discovery):
            back = False

            async def _next(self, message):
                return listing(9, False) if self.back else reply(503)

        server, discovery = Peer(), Returning()
        async with running(server, discovery=discovery, settings=ASKED) as node:
            await failed(node)
            advance(node, EXPIRES_S)
            assert (await ask(node, request("read", "q1"))).status == 503
            discovery.back = True
            await until(lambda: node.pool.counts["list delta"])
            assert (await ask(node, request("read", "q2"))).status == 200

    asyncio.run(main())


def test_a_call_that_discovery_holds_after_failures_confirms_the_list(monkeypatch):
    monkeypatch.setattr(lists, "WATCH_ESTABLISHED_S", 0.05)

    async def main():
        class Holding(Discovery):
            async def _next(self, message):
                if len(self.seen) == 1:
                    return reply(503)
                await asyncio.Event().wait()

        server = Peer()
        async with running(server, discovery=Holding(), settings=ASKED) as node:
            await failed(node)
            advance(node, EXPIRES_S)
            await until(lambda: node.pool.counts["list delta"])
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


def test_where_lists_are_pushed_they_do_not_expire():
    async def main():
        server = Peer()
        async with running(server, discovery=Failing(), settings={"registryMode": "push"}) as node:
            await failed(node)
            advance(node, 10 * EXPIRES_S)
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


def test_an_answer_confirms_the_list_for_as_long_as_a_change_may_go_unnoticed():
    async def main():
        server, discovery = Peer(), Failing(listing(5, False))
        async with running(server, discovery=discovery, settings=ASKED) as node:
            advance(node, EXPIRES_S)  # the process is no longer a new one
            await failed(node)
            assert (await ask(node, request("read", "q1"))).status == 200

    asyncio.run(main())


@pytest.mark.parametrize("ending", [reply(503), None], ids=["rejected", "reset"])
def test_a_watch_that_discovery_ends_does_not_confirm_the_list(ending):
    """It may have fallen silent before; what it missed since counts from then on."""

    async def main():
        class Ending(Discovery):
            async def _next(self, message):
                if len(self.seen) == 1:
                    return listing(5, False)
                await ended.wait()
                return ending

        ended, server, discovery = asyncio.Event(), Peer(), Ending()
        async with running(server, discovery=discovery, settings=ASKED) as node:
            await until(lambda: len(discovery.seen) == 2)
            advance(node, EXPIRES_S)  # the process is no longer a new one,
            node.watcher.confirmed_s -= EXPIRES_S  # and the watch was held for so long
            ended.set()
            await failed(node)
            assert (await ask(node, request("read", "q1"))).status == 503  # expired with its end
            assert server.seen == []

    asyncio.run(main())
