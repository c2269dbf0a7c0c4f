"""Clients and servers that violate the protocol: resource limits, timeouts, and handling of malformed input."""

from __future__ import annotations

import asyncio
import gc
import random
import weakref

import pytest
from loopback import (
    BlockedServer,
    Caller,
    Peer,
    ScriptedBalancer,
    ask,
    read_message,
    reply,
    request,
    running,
    until,
)
from test_upstream import RawBytesWire

from loadbalancer import interface as api
from loadbalancer.http import server as server_module
from loadbalancer.http.connection_pool import HttpConnectionPool
from loadbalancer.interface import Result
from loadbalancer.settings import parse_load_report


@pytest.fixture
def short_request_timeout(monkeypatch):
    monkeypatch.setattr(server_module, "REQUEST_S", 0.2)


@pytest.mark.usefixtures("short_request_timeout")
def test_a_connection_without_a_request_is_closed():
    async def main():
        async with running(Peer()) as node:
            caller = await Caller.to(node)
            assert await caller.reader.read() == b""
            assert not node.server.connections

    asyncio.run(main())


@pytest.mark.usefixtures("short_request_timeout")
def test_a_slow_request_header_does_not_extend_its_timeout():
    async def main():
        async with running(Peer()) as node:
            caller = await Caller.to(node)

            async def trickle():
                caller.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Slow: ")
                while True:
                    caller.writer.write(b"y")
                    await asyncio.sleep(0.02)

            trickling = asyncio.create_task(trickle())
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (408, "close")
            trickling.cancel()
            caller.writer.close()

    asyncio.run(main())


def test_an_idle_connection_is_closed_after_the_idle_timeout(monkeypatch):
    monkeypatch.setattr(server_module, "IDLE_S", 0.1)

    async def main():
        async with running(Peer()) as node:
            caller = await Caller.to(node)
            assert (await caller.ask(request())).status == 200
            assert await caller.reader.read() == b""

    asyncio.run(main())


def test_connections_without_requests_are_closed_first_at_the_limit():
    async def main():
        async with running(Peer(), limits={"sockets": 132}) as node:
            good = await Caller.to(node)
            assert (await good.ask(request(name="q0"))).status == 200
            silent_callers = [await Caller.to(node) for _ in range(2 * node.server.limit)]
            for at, silent_caller in enumerate(silent_callers):
                if at % 2:
                    silent_caller.writer.write(b"GET /read/1 HTTP/1.1\r\n")
            await until(lambda: len(node.server.connections) == node.server.limit)
            # The connection that has already sent a request was not closed.
            assert (await good.ask(request(name="q1"))).status == 200
            assert (await ask(node, request(name="q2"))).status == 200
            assert node.pool.counts["over the limit"] == 0
            for caller in (good, *silent_callers):
                caller.writer.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 5\r\nReq-Id: other\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: 900\r\nReq-Deadline-Ms: 901\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: 1_0\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: 1e3\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: 10.5\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: 99999999999\r\n",
        "Content-Length: 5\r\nReq-Deadline-Ms: nan\r\n",
    ],
)
def test_ambiguous_requests_are_rejected(head):
    async def main():
        server = Peer()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(f"POST /post/1 HTTP/1.1\r\nReq-Id: q1\r\n{head}\r\n".encode() + b"0\r\n\r\n")
            assert (await caller.answer()).status == 400
            caller.writer.close()
            assert (server.seen, node.pool.requests) == ([], {})

    asyncio.run(main())


@pytest.mark.parametrize("name", ["a b", "q\xe9", "q" * 129])
def test_invalid_ids_are_rejected(name):
    async def main():
        server = Peer()
        async with running(server) as node:
            data = request("post", "NAME").replace(b"NAME", name.encode("latin-1"))
            assert (await ask(node, data)).status == 400
            assert server.seen == []

    asyncio.run(main())


def test_a_trailer_and_an_unexpected_body_are_rejected():
    async def main():
        server = Peer()
        async with running(server) as node:
            chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"
            trailer = b"3\r\nabc\r\n0\r\nIdempotency-Key: k\r\n\r\n"
            assert (await ask(node, chunked + trailer)).status == 400
            bodied = request().replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc")
            assert (await ask(node, bodied)).status == 400
            assert server.seen == []

    asyncio.run(main())


def test_only_known_headers_are_forwarded():
    async def main():
        server = Peer()
        async with running(server) as node:
            more = {"Connection": "Srv-Load", "Srv_Load": "TEXT queue=0", "Cookie": "c", "Req_Owner": "acme"}
            assert (await ask(node, request("post", "q1", b"ab", **more))).status == 200
            names = {"host", "req-id", "req-owner", "req-deadline-ms", "content-length"}
            assert set(server.seen[0].headers) == names

    asyncio.run(main())


def test_the_number_of_pipelined_requests_is_limited():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(b"".join(request("post", f"q{at}") for at in range(500)))
            await until(lambda: server.seen)
            (connection,) = node.server.connections
            assert len(connection._calls) == server_module.PIPELINE
            server.release.set()
            statuses = [(await caller.answer()).status for _ in range(server_module.PIPELINE + 1)]
            assert statuses == [200] * server_module.PIPELINE + [429]
            assert await caller.reader.read() == b""

    asyncio.run(main())


def test_a_disconnect_is_detected_while_pipelined_requests_wait():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request("post", "q1") + request("post", "q2"))
            await until(lambda: server.seen)
            caller.writer.close()
            await until(lambda: not node.pool.requests)
            assert len(server.seen) == 1

    asyncio.run(main())


def test_a_duplicate_id_does_not_affect_the_request_in_flight():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            node.pool.balancer = scripted = ScriptedBalancer(
                lambda event: [api.Send(event.id, "s0")] if isinstance(event, api.Request) else []
            )
            first = asyncio.create_task(ask(node, request("post", "q1")))
            await until(lambda: server.seen)
            assert (await ask(node, request("post", "q1"))).status == 400
            assert (len(node.pool.requests), len(scripted.of(api.Request)), scripted.of(api.Lapsed)) == (
                1,
                1,
                [],
            )
            server.release.set()
            assert (await first).status == 200

    asyncio.run(main())


# ------------------------------------------------------------------------- servers


async def outcome(answer: bytes, more: bytes = b"") -> tuple[Result, int]:
    """Answer one attempt with `answer`, then with `more` repeatedly; returns its result and the open connections."""

    async def serve(reader, writer):
        await read_message(reader)
        writer.write(answer)
        while more and not writer.transport.is_closing():
            writer.write(more)
            await asyncio.sleep(0)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    servers = HttpConnectionPool(10, 10.0, 20.0, RawBytesWire())
    servers.add("s", server.sockets[0].getsockname())
    done: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
    data = b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 0\r\n\r\n"
    servers.send("s", data, 20.0, lambda result, *_: done.set_result(result))
    result = await done
    await asyncio.sleep(0)
    open_connections = servers.size
    servers.close()
    server.close()
    return result, open_connections


OK_HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("answer", "more"),
    [
        (OK_HEAD + b"X-Endless: ", b"y" * 1000),
        (OK_HEAD, b"X-Pad: y\r\n"),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        (OK_HEAD + b"Content-Length: 3000000000\r\n\r\n", b""),
        (OK_HEAD + b"\r\n", b"until the end"),
        (OK_HEAD + b"Content-Length: 3\r\nContent-Length: 9\r\n\r\nabcdefghi", b""),
        (OK_HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", b""),
        (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n", b""),
        (OK_HEAD + b"no colon\r\nContent-Length: 0\r\n\r\n", b""),
    ],
)
def test_a_malformed_response_is_a_reset_at_once_and_closes_its_connection(answer, more):
    assert asyncio.run(outcome(answer, more)) == (Result.RESET, 0)


@pytest.mark.parametrize("extra", [reply(), random.Random(7).randbytes(40) + b"\r\n\r\n"])
def test_a_response_followed_by_extra_bytes_is_served_and_its_connection_closed(extra):
    assert asyncio.run(outcome(reply() + extra)) == (Result.OK, 0)


BAD_REPORTS = """{"
%%%
=,=
TEXT ?
TEXT
queue=3
TEXT queue=-1
TEXT queue=1_0
TEXT queue=nan
TEXT queue=1e9
TEXT queue=99999999
TEXT queue=3, util=x
TEXT queue= 3"""


@pytest.mark.parametrize("text", BAD_REPORTS.splitlines())
def test_a_malformed_report_is_ignored(text):
    assert parse_load_report(text, ("queue",)) is None
    assert parse_load_report("TEXT inflight=7, queue=3, util=0.61", ("queue",)) == {"queue": 3.0}


def test_a_response_with_a_malformed_report_is_still_a_success():
    async def main():
        server = Peer(lambda message: asyncio.sleep(0, reply(200, Srv_Load='{"')))
        async with running(server) as node:
            assert (await ask(node, request())).status == 200
            assert node.pool.balancer.servers_by_address["s0"].reported_queue == 0.0

    asyncio.run(main())


def test_closed_connections_leave_no_reference_cycles():
    async def main():
        async with running(Peer()) as node:
            caller = await Caller.to(node)
            assert (await caller.ask(request("post", "q1"))).status == 200
            (inbound,), (outbound,) = node.server.connections, node.back._open
            references = [weakref.ref(inbound), weakref.ref(outbound)]
            del inbound, outbound
            caller.writer.close()
            node.back.remove("s0")
            gc.disable()
            try:
                await until(lambda: [reference() for reference in references] == [None, None])
            finally:
                gc.enable()

    asyncio.run(main())
