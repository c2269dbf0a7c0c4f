"""Connections to servers that close or stall just as a request is sent on them."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from loopback import (
    Caller,
    Peer,
    ScriptedBalancer,
    ask,
    reply,
    request,
    running,
    targets,
    until,
)
from test_callers_that_leave import first_to, request_ids

from loadbalancer import interface as api

BODY = b"x" * 60_000


def first_then(name):
    """Return a decision function: try s0, then this server if s0 did not process the request; else fail."""

    def act(event):
        if isinstance(event, api.Request):
            return [api.Send(event.id, "s0")]
        if isinstance(event, api.Outcome) and not event.done:
            return [api.Send(event.id, name)] if event.result.never_ran else [api.Fail(event.id)]
        return []

    return act


@pytest.mark.parametrize("how", ["end", "reset"])
def test_a_new_connection_that_closes_before_the_request_is_sent_does_not_fail_the_request(how):
    """Guard: writing to a closed connection resets it, which failed unsafe requests that no server had received."""

    async def main():
        second = Peer()
        with socket.create_server(("127.0.0.1", 0)) as first:
            await second.start()
            known = targets(
                s0=(f"127.0.0.1:{first.getsockname()[1]}", "Ready"), s1=(second.endpoint, "Ready")
            )
            async with running(known=known) as node:
                node.pool.balancer = scripted = ScriptedBalancer(first_then("s1"))
                opened = node.back.open

                async def open_and_lose(endpoint):
                    connection = await opened(endpoint)
                    if endpoint[1] == first.getsockname()[1]:
                        # The race: end of stream is in the kernel, and the event loop does not run before the write.
                        lost, _ = first.accept()
                        if how == "reset":
                            lost.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        lost.close()
                    return connection

                node.back.open = open_and_lose
                assert (await ask(node, request("post"))).status == 200
                assert request_ids(second) == ["q1"]
                assert [event.result for event in scripted.of(api.Outcome)] == [
                    api.Result.CONNECT_FAILED,
                    api.Result.OK,
                ]
            second.stop()

    asyncio.run(main())


class Stalled(Peer):
    """A server that reads nothing until it is released."""

    released = False

    async def start(self):
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listening)
        self.port = listening.getsockname()[1]
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


def shrink_send_buffers(node):
    """Make send buffers so small that a request is only partly written."""
    create_connection = node.back.connection

    def connection():
        found = create_connection()
        connection_made = found.connection_made

        def made_with_small_buffer(transport):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            connection_made(transport)

        found.connection_made = made_with_small_buffer
        return found

    node.back.connection = connection


def partly_written(node):
    """Attempts whose requests are only partly written."""
    return [
        attempt
        for job in node.pool.requests.values()
        for attempt in job.attempts
        if attempt is not None and attempt._connection is not None and not attempt._connection.written
    ]


@pytest.mark.parametrize("cancel", [True, False])
def test_the_rest_of_a_request_is_not_written_after_its_client_has_disconnected(cancel):
    """Guard: a server runs a request once it has the last byte, which was sent after the client had disconnected."""

    async def main():
        server = Stalled()
        async with running(server, bounds={"cancel": cancel}) as node:
            node.pool.balancer = scripted = ScriptedBalancer(first_to("s0"))
            shrink_send_buffers(node)
            caller = await Caller.to(node)
            caller.writer.write(request("post", "q1", BODY))
            await until(lambda: partly_written(node))
            caller.writer.close()
            await until(lambda: not node.server.connections)
            server.release()
            await until(lambda: not node.pool.requests)
            assert (await ask(node, request(name="last"))).status == 200
            assert request_ids(server) == ["last"]
            results = [event.result for event in scripted.of(api.Outcome) if event.id == "q1"]
            assert results == [api.Result.MOOT]

    asyncio.run(main())


def test_the_rest_of_a_keyed_retry_is_not_written_after_its_key_has_expired():
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

            node.pool.balancer = scripted = ScriptedBalancer(act)
            shrink_send_buffers(node)
            caller = await Caller.to(node)
            caller.writer.write(request("move", "q1", BODY, Idempotency_Key="k"))
            assert (await caller.answer()).status == 502
            results = [event.result for event in scripted.of(api.Outcome)]
            # The second attempt ended because the key expired, not because of a timeout.
            assert results == [api.Result.ERROR, api.Result.MOOT]
            second.release()
            await until(lambda: node.back.size == len(node.back._servers["s0"].idle))
            assert (request_ids(first), request_ids(second)) == (["q1"], [])
            caller.writer.close()

    asyncio.run(main())


def test_the_timer_for_the_expiry_of_a_key_ends_with_its_attempt():
    """Guard: a timer as long as the key's lifetime kept each retry, including its body, in memory."""

    async def main():
        server = Peer()
        async with running(server) as node:

            def act(event):
                is_request = isinstance(event, api.Request)
                return [api.Send(event.id, "s0", begin_within_ms=3.6e6)] if is_request else []

            node.pool.balancer = ScriptedBalancer(act)
            assert (await ask(node, request("move", Idempotency_Key="k"))).status == 200
            latest = node.loop.time() + 3000.0
            assert not [
                timer for timer in node.loop._scheduled if timer.when() > latest and not timer.cancelled()
            ]

    asyncio.run(main())


def test_an_invalid_server_address_fails_only_its_attempt():
    """Guard: the attempt hung until its timeout, and its task ended with an exception."""

    async def main():
        server = await Peer().start()
        known = targets(s0=("a..b:80", "Ready"), s1=(server.endpoint, "Ready"))
        async with running(known=known, bounds={"connectTimeoutMs": 30000.0}) as node:
            node.pool.balancer = scripted = ScriptedBalancer(first_then("s1"))
            assert (await ask(node, request("post"))).status == 200
            assert scripted.of(api.Outcome)[0].result is api.Result.CONNECT_FAILED
        server.stop()

    asyncio.run(main())


class PausedAfterAttempt:
    """A loop clock on which the CPU core is unavailable for 5 s between an attempt's end and its processing."""

    def __init__(self, pool):
        self._loop, self._forget, self._pause_s = pool.loop, pool._forget, 0.0
        pool.loop, pool._forget = self, self.forget

    def __getattr__(self, name):
        return getattr(self._loop, name)

    def forget(self, job):  # the first step after an attempt has ended
        self._pause_s = 5.0
        self._forget(job)

    def time(self):
        return self._loop.time() + self._pause_s


def test_a_pause_of_the_core_after_an_attempt_does_not_count_as_server_latency():
    async def main():
        async with running(Peer()) as node:
            node.pool.balancer = scripted = ScriptedBalancer(first_to("s0"))
            PausedAfterAttempt(node.pool)
            assert (await ask(node, request())).status == 200
            (outcome,) = scripted.of(api.Outcome)
            assert outcome.latency_ms < 5000.0 <= outcome.own_ms

    asyncio.run(main())
