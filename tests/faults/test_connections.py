"""Connections to servers that end, or are held up, in the moment in which a request goes out on them."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from loopback import (
    Caller,
    Peer,
    Scripted,
    ask,
    reply,
    request,
    running,
    targets,
    until,
)
from test_callers_that_leave import first_to, names

from loadbalancer import interface as api

BODY = b"x" * 60_000


def first_then(name):
    """Acts for a scripted module: the first server, then this one, whatever may have come of the first attempt."""

    def act(event):
        if isinstance(event, api.Request):
            return [api.Send(event.id, "s0")]
        if isinstance(event, api.Outcome) and not event.done:
            return [api.Send(event.id, name)] if event.result.never_ran else [api.Fail(event.id)]
        return []

    return act


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_new_connection_that_ends_before_the_request_goes_out_costs_the_request_nothing(how):
    """Guard: written to, it was reset, and what may not be repeated had failed that no server had seen."""

    async def main():
        second = Peer()
        with socket.create_server(("127.0.0.1", 0)) as first:
            await second.start()
            known = targets(
                s0=(f"127.0.0.1:{first.getsockname()[1]}", "Ready"), s1=(second.endpoint, "Ready")
            )
            async with running(known=known) as node:
                node.pool.balancer = scripted = Scripted(first_then("s1"))
                opened = node.back.open

                async def open_and_lose(endpoint):
                    connection = await opened(endpoint)
                    if endpoint[1] == first.getsockname()[1]:
                        # The crossing: the end is in the kernel, and no turn of the loop comes before the write.
                        lost, _ = first.accept()
                        if how == "reset":
                            lost.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        lost.close()
                    return connection

                node.back.open = open_and_lose
                assert (await ask(node, request("post"))).status == 200
                assert names(second) == ["q1"]
                assert [event.result for event in scripted.of(api.Outcome)] == [
                    api.Result.CONNECT_FAILED,
                    api.Result.OK,
                ]
            second.stop()

    asyncio.run(main())


class Stalled(Peer):
    """A server that reads nothing of what comes until it is released."""

    released = False

    async def start(self):
        narrow = socket.socket()
        narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        narrow.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=narrow)
        self.port = narrow.getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        if not self.released:
            writer.transport.pause_reading()
        await super()._serve(reader, writer)

    def release(self):
        self.released = True
        for writer in self._writers:
            if not writer.transport.is_closing():
                writer.transport.resume_reading()


def narrow(node):
    """Have little of a request fit into the kernel, so that it stays written in part."""
    made = node.back.connection

    def connection():
        found = made()
        connection_made = found.connection_made

        def narrowed(transport):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            connection_made(transport)

        found.connection_made = narrowed
        return found

    node.back.connection = connection


def in_part(node):
    """Attempts that have been written in part."""
    return [
        attempt
        for job in node.pool.requests.values()
        for attempt in job.attempts
        if attempt is not None and attempt._connection is not None and not attempt._connection.written
    ]


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_written_in_part_is_not_finished_for_a_caller_that_has_left(cancel):
    """Guard: a server begins a request with its last byte, which left after the caller had gone."""

    async def main():
        server = Stalled()
        async with running(server, bounds={"cancel": cancel}) as node:
            node.pool.balancer = scripted = Scripted(first_to("s0"))
            narrow(node)
            caller = await Caller.to(node)
            caller.writer.write(request("post", "q1", BODY))
            await until(lambda: in_part(node))
            caller.writer.close()
            await until(lambda: not node.server.connections)
            server.release()
            await until(lambda: not node.pool.requests)
            assert (await ask(node, request(name="last"))).status == 200
            assert names(server) == ["last"]
            ends = [event.result for event in scripted.of(api.Outcome) if event.id == "q1"]
            assert ends == [api.Result.MOOT]

    asyncio.run(main())


def test_a_keyed_repeat_written_in_part_when_its_key_is_forgotten_is_not_finished():
    async def main():
        async def script(message):
            return reply(500)

        first, second = Peer(script), Stalled()
        async with running(first, second) as node:

            def act(event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "s0")]
                if isinstance(event, api.Outcome) and event.result is api.Result.ERROR:
                    return [api.Send(event.id, "s1", begin_within_ms=300.0)]
                return [api.Fail(event.id)] if isinstance(event, api.Outcome) else []

            node.pool.balancer = scripted = Scripted(act)
            narrow(node)
            caller = await Caller.to(node)
            caller.writer.write(request("move", "q1", BODY, Idempotency_Key="k"))
            assert (await caller.answer()).status == 502
            ends = [event.result for event in scripted.of(api.Outcome)]
            assert ends == [api.Result.ERROR, api.Result.MOOT]  # by its window, not by its time
            second.release()
            await until(lambda: node.back.size == len(node.back._servers["s0"].idle))
            assert (names(first), names(second)) == (["q1"], [])
            caller.writer.close()

    asyncio.run(main())


def test_what_has_been_told_for_the_window_of_a_key_is_forgotten_with_its_attempt():
    """Guard: a timer as long as the servers' memory kept each repeat, its body too."""

    async def main():
        server = Peer()
        async with running(server) as node:

            def act(event):
                wanted = isinstance(event, api.Request)
                return [api.Send(event.id, "s0", begin_within_ms=3.6e6)] if wanted else []

            node.pool.balancer = Scripted(act)
            assert (await ask(node, request("move", Idempotency_Key="k"))).status == 200
            latest = node.loop.time() + 3000.0
            assert not [
                timer for timer in node.loop._scheduled if timer.when() > latest and not timer.cancelled()
            ]

    asyncio.run(main())


def test_a_server_whose_address_is_none_costs_its_attempt_alone():
    """Guard: the attempt hung until its time was over, and its task ended in a traceback."""

    async def main():
        server = await Peer().start()
        known = targets(s0=("a..b:80", "Ready"), s1=(server.endpoint, "Ready"))
        async with running(known=known, bounds={"connectTimeoutMs": 30000.0}) as node:
            node.pool.balancer = scripted = Scripted(first_then("s1"))
            assert (await ask(node, request("post"))).status == 200
            assert scripted.of(api.Outcome)[0].result is api.Result.CONNECT_FAILED
        server.stop()

    asyncio.run(main())


class AwayBetween:
    """A loop's clock on which the core is away for 5 s from an attempt's end to what is made of it."""

    def __init__(self, pool):
        self._loop, self._forget, self._away = pool.loop, pool._forget, 0.0
        pool.loop, pool._forget = self, self.forget

    def __getattr__(self, name):
        return getattr(self._loop, name)

    def forget(self, job):  # the first thing that is done with an attempt that has ended
        self._away = 5.0
        self._forget(job)

    def time(self):
        return self._loop.time() + self._away


def test_a_core_that_was_away_when_an_attempt_had_ended_is_no_slow_server():
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = Scripted(first_to("s0"))
            AwayBetween(node.pool)
            assert (await ask(node, request())).status == 200
            (outcome,) = scripted.of(api.Outcome)
            assert outcome.latency_ms < 5000.0 <= outcome.own_ms

    asyncio.run(main())
