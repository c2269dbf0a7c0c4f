"""Graceful shutdown: all accepted requests are answered before the process exits, including late arrivals."""

from __future__ import annotations

import asyncio
import signal
import socket

import orjson
import pytest
from loopback import (
    BlockedServer,
    Caller,
    Discovery,
    Peer,
    config_row,
    read_message,
    reply,
    request,
    running,
    targets,
    until,
)
from test_main import start

from loadbalancer.core import listener, shutdown
from loadbalancer.node.config import parse_config

SHORT_DEADLINE = {
    "categories": [{"name": "post", "aimMs": 200.0, "giveUpMs": 200.0, "effect": "single_shot"}]
}


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    """Minimise the waits for events that do not happen, and give those that must happen ample time."""
    monkeypatch.setattr(shutdown, "STOP_OPEN_S", 0.0)
    monkeypatch.setattr(shutdown, "STOP_SLACK_S", 0.1)
    monkeypatch.setattr(shutdown, "STOP_LAST_S", 20.0)
    monkeypatch.setattr(listener, "NEW_CONNECTION_S", 20.0)


def run(main):
    """Run a test; it fails if an expected response does not arrive within 30 s."""
    asyncio.run(asyncio.wait_for(main, 30))


def split_request(name):
    """A request, split before its last two bytes."""
    data = request("post", name, b"body")
    return data[:-2], data[-2:]


def test_a_partly_received_request_is_rejected_at_the_end_of_shutdown():
    async def main():
        server = Peer()
        async with running(server, settings=SHORT_DEADLINE) as node:
            caller = await Caller.to(node)
            caller.writer.write(split_request("q1")[0])
            await until(lambda: node.server.connections and next(iter(node.server.connections))._partial)
            await node.stop()
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            assert server.seen == []

    run(main())


def test_a_request_completed_while_idle_connections_are_closed_is_served(monkeypatch):
    async def main():
        monkeypatch.setattr(shutdown, "STOP_SLACK_S", 20.0)
        async with running(Peer(), settings=SHORT_DEADLINE) as node:
            caller = await Caller.to(node)
            first, rest = split_request("q1")
            caller.writer.write(first)
            await until(lambda: node.server.connections and next(iter(node.server.connections))._partial)
            idle_closes = count_idle_closes(node)
            stopping = asyncio.create_task(node.stop())
            monkeypatch.setattr(shutdown, "STOP_FINISH_S", 30.0)
            await until(lambda: len(idle_closes) > 2)
            caller.writer.write(rest)
            assert (await caller.answer()).status == 200
            caller.writer.close()
            await stopping

    run(main())


def test_a_request_on_a_new_connection_is_served_while_idle_connections_are_closed(monkeypatch):
    async def main():
        monkeypatch.setattr(shutdown, "STOP_SLACK_S", 20.0)
        monkeypatch.setattr(shutdown, "STOP_FINISH_S", 30.0)
        async with running(BlockedServer(), settings=SHORT_DEADLINE) as node:
            caller = await Caller.to(node)
            await until(lambda: node.server.connections)
            idle_closes = count_idle_closes(node)
            stopping = asyncio.create_task(node.stop())
            await until(lambda: len(idle_closes) > 2)
            assert node.server.stopping
            caller.writer.write(request("post", "q1", Req_Deadline_Ms="1"))
            assert (await caller.answer()).headers["connection"] == "close"
            caller.writer.close()
            await stopping

    run(main())


def count_idle_closes(node):
    """A list that gets an entry each time the node closes idle connections."""
    idle_closes, close_idle = [], node.server.close_idle

    def counting():
        idle_closes.append(None)
        close_idle()

    node.server.close_idle = counting
    return idle_closes


def test_a_request_at_a_hanging_server_and_those_pipelined_behind_it_are_answered_at_the_end():
    async def main():
        server = BlockedServer()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request("post", "q1") + request("post", "q2") + request("read", "q3"))
            await until(lambda: server.seen)
            node.settings = parse_config(
                orjson.dumps(config_row("127.0.0.1:1", settings=SHORT_DEADLINE))
            ).settings
            await node.stop()  # within the longest deadline, which is shorter now
            answers = [await caller.answer() for _ in range(3)]
            assert [answer.status for answer in answers] == [504, 503, 503]
            assert [answer.headers.get("connection") for answer in answers] == [None, None, "close"]
            assert len(server.seen) == 1

    run(main())


def test_a_request_that_is_unread_in_the_kernel_at_the_end_is_rejected():
    async def main():
        server = Peer()
        async with running(server, settings=SHORT_DEADLINE) as node:
            give_up, raw = node._give_up, []

            def connect_then_give_up():
                raw.append(socket.create_connection(node.server.address))
                raw[0].sendall(request("post", "q1"))
                give_up()

            node._give_up = connect_then_give_up
            await node.stop()
            with raw[0]:
                assert raw[0].recv(12) == b"HTTP/1.1 503"
            assert server.seen == []

    run(main())


def test_shutdown_waits_until_a_slow_client_has_read_its_response():
    async def main():
        async def script(message):
            return reply(200, b"x" * 60000)

        async with running(Peer(script), settings=SHORT_DEADLINE) as node:
            with socket.socket() as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                raw.setblocking(False)
                await node.loop.sock_connect(raw, node.server.address)
                await until(lambda: node.server.connections)
                (connection,) = node.server.connections
                sock = connection._transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await node.loop.sock_sendall(raw, request("post", "q1", Req_Deadline_Ms="20000"))
                await until(lambda: not connection.flushed)
                stopping = asyncio.create_task(node.stop())
                await until(lambda: node.pool.capacity.limit == 0)
                assert not stopping.done()
                received = b""
                while not received.endswith(b"x" * 60000):
                    part = await node.loop.sock_recv(raw, 65536)
                    assert part
                    received += part
            await stopping

    run(main())


def test_further_signals_during_shutdown_have_no_effect(tmp_path):
    async def main():
        server, discovery = await BlockedServer().start(), await Discovery().start()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        row = config_row(
            discovery.endpoint, known=targets(s0=(server.endpoint, "Ready")), settings=SHORT_DEADLINE
        )
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(row | {"listen": f"{address[0]}:{address[1]}"}))
        program = start(path)

        async def readiness():
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            return answer.status

        async def until_readiness_is(status):
            async with asyncio.timeout(60):
                while True:
                    try:
                        if await readiness() == status:
                            return
                    except OSError:
                        await asyncio.sleep(0.02)

        try:
            await until_readiness_is(200)
            reader, writer = await asyncio.open_connection(*address)
            program.send_signal(signal.SIGTERM)
            await until_readiness_is(503)  # it shuts down
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            program.send_signal(signal.SIGTERM)
            writer.write(request("post", "q1"))
            assert (await read_message(reader)).status in (503, 504)
            assert await asyncio.to_thread(program.wait, 60) == 0
        finally:
            program.kill()
            program.communicate()
            server.stop()
            discovery.stop()

    run(main())


def test_a_request_after_the_last_response_on_a_connection_is_not_forwarded():
    async def main():
        server = Peer()
        async with running(server) as node:
            node.server.stopping = True
            caller = await Caller.to(node)
            assert (await caller.ask(request("post", "q1"))).headers["connection"] == "close"
            caller.writer.write(request("post", "q2"))
            assert await caller.reader.read() == b""
            assert [message.headers["req-id"] for message in server.seen] == ["q1"]
            caller.writer.close()

    run(main())


def test_a_connection_with_an_unread_request_in_the_kernel_is_not_closed_as_idle():
    async def main():
        async with running(Peer()) as node:
            with socket.create_connection(node.server.address) as raw:
                raw.setblocking(False)
                await node.loop.sock_sendall(raw, request("post", "q1"))
                assert (await node.loop.sock_recv(raw, 4096)).startswith(b"HTTP/1.1 200")
                await until(lambda: node.server.idle)
                raw.send(request("post", "q2"))  # the race: the event loop does not run in between
                node.server.close_idle()
                assert (await node.loop.sock_recv(raw, 4096)).startswith(b"HTTP/1.1 200")
            await until(lambda: not node.server.connections)

    run(main())
