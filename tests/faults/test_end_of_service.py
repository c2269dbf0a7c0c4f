"""The end of service: whatever has been taken gets its answer before the process goes, what crosses the end too."""

from __future__ import annotations

import asyncio
import signal
import socket

import orjson
import pytest
from loopback import (
    Caller,
    Discovery,
    Held,
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

BRIEF = {"categories": [{"name": "post", "aimMs": 200.0, "giveUpMs": 200.0, "effect": "single_shot"}]}


@pytest.fixture(autouse=True)
def brief(monkeypatch):
    """Nothing is waited for that does not come about, and what has to come about has all the time it wants."""
    monkeypatch.setattr(shutdown, "STOP_OPEN_S", 0.0)
    monkeypatch.setattr(shutdown, "STOP_SLACK_S", 0.1)
    monkeypatch.setattr(shutdown, "STOP_LAST_S", 20.0)
    monkeypatch.setattr(listener, "NEW_CONNECTION_S", 20.0)


def run(main):
    """Fails where an answer is waited for in vain."""
    asyncio.run(asyncio.wait_for(main, 30))


def halves(name):
    whole = request("post", name, b"body")
    return whole[:-2], whole[-2:]


def test_a_request_that_has_come_in_part_is_refused_at_the_end():
    async def main():
        server = Peer()
        async with running(server, settings=BRIEF) as node:
            caller = await Caller.to(node)
            caller.writer.write(halves("q1")[0])
            await until(lambda: node.server.connections and next(iter(node.server.connections))._partial)
            await node.stop()
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            assert server.seen == []

    run(main())


def test_a_request_whose_rest_comes_while_connections_are_closed_is_served(monkeypatch):
    async def main():
        monkeypatch.setattr(shutdown, "STOP_SLACK_S", 20.0)
        async with running(Peer(), settings=BRIEF) as node:
            caller = await Caller.to(node)
            first, rest = halves("q1")
            caller.writer.write(first)
            await until(lambda: node.server.connections and next(iter(node.server.connections))._partial)
            passes = counted(node)
            ending = asyncio.create_task(node.stop())
            monkeypatch.setattr(shutdown, "STOP_FINISH_S", 30.0)
            await until(lambda: len(passes) > 2)
            caller.writer.write(rest)
            assert (await caller.answer()).status == 200
            caller.writer.close()
            await ending

    run(main())


def test_a_new_connection_whose_request_follows_is_served_while_connections_are_closed(monkeypatch):
    async def main():
        monkeypatch.setattr(shutdown, "STOP_SLACK_S", 20.0)
        monkeypatch.setattr(shutdown, "STOP_FINISH_S", 30.0)
        async with running(Held(), settings=BRIEF) as node:
            caller = await Caller.to(node)
            await until(lambda: node.server.connections)
            passes = counted(node)
            ending = asyncio.create_task(node.stop())
            await until(lambda: len(passes) > 2)
            assert node.server.stopping
            caller.writer.write(request("post", "q1", Req_Deadline_Ms="1"))
            assert (await caller.answer()).headers["connection"] == "close"
            caller.writer.close()
            await ending

    run(main())


def counted(node):
    """One entry for each time that idle connections are closed."""
    passes, close_idle = [], node.server.close_idle

    def counting():
        passes.append(None)
        close_idle()

    node.server.close_idle = counting
    return passes


def test_what_a_server_hangs_on_and_what_waits_behind_it_are_answered_at_the_end():
    async def main():
        server = Held()
        async with running(server) as node:
            caller = await Caller.to(node)
            caller.writer.write(request("post", "q1") + request("post", "q2") + request("read", "q3"))
            await until(lambda: server.seen)
            node.settings = parse_config(orjson.dumps(config_row("127.0.0.1:1", settings=BRIEF))).settings
            await node.stop()  # within what is the longest deadline now
            answers = [await caller.answer() for _ in range(3)]
            assert [answer.status for answer in answers] == [504, 503, 503]
            assert [answer.headers.get("connection") for answer in answers] == [None, None, "close"]
            assert len(server.seen) == 1

    run(main())


def test_what_is_unread_in_the_kernel_at_the_end_is_refused():
    async def main():
        server = Peer()
        async with running(server, settings=BRIEF) as node:
            give_up, raw = node._give_up, []

            def crossing():
                raw.append(socket.create_connection(node.server.address))
                raw[0].sendall(request("post", "q1"))
                give_up()

            node._give_up = crossing
            await node.stop()
            with raw[0]:
                assert raw[0].recv(12) == b"HTTP/1.1 503"
            assert server.seen == []

    run(main())


def test_the_process_stays_until_a_slow_reader_has_its_answer():
    async def main():
        async def script(message):
            return reply(200, b"x" * 60000)

        async with running(Peer(script), settings=BRIEF) as node:
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
                ending = asyncio.create_task(node.stop())
                await until(lambda: node.pool.capacity.limit == 0)
                assert not ending.done()
                got = b""
                while not got.endswith(b"x" * 60000):
                    part = await node.loop.sock_recv(raw, 65536)
                    assert part
                    got += part
            await ending

    run(main())


def test_signals_while_the_process_leaves_change_nothing(tmp_path):
    async def main():
        server, discovery = await Held().start(), await Discovery().start()
        with socket.create_server(("127.0.0.1", 0)) as free:
            address = free.getsockname()
        row = config_row(discovery.endpoint, known=targets(s0=(server.endpoint, "Ready")), settings=BRIEF)
        path = tmp_path / "config.json"
        path.write_bytes(orjson.dumps(row | {"listen": f"{address[0]}:{address[1]}"}))
        program = start(path)

        async def up():
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            return answer.status

        async def until_up_is(status):
            async with asyncio.timeout(60):
                while True:
                    try:
                        if await up() == status:
                            return
                    except OSError:
                        await asyncio.sleep(0.02)

        try:
            await until_up_is(200)
            reader, writer = await asyncio.open_connection(*address)
            program.send_signal(signal.SIGTERM)
            await until_up_is(503)  # it leaves
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


def test_a_request_on_a_connection_that_has_had_its_last_answer_is_not_sent_on():
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


def test_a_connection_with_a_request_in_the_kernel_is_not_closed_as_idle():
    async def main():
        async with running(Peer()) as node:
            with socket.create_connection(node.server.address) as raw:
                raw.setblocking(False)
                await node.loop.sock_sendall(raw, request("post", "q1"))
                assert (await node.loop.sock_recv(raw, 4096)).startswith(b"HTTP/1.1 200")
                await until(lambda: node.server.idle)
                raw.send(request("post", "q2"))  # the crossing: no turn of the loop comes in between
                node.server.close_idle()
                assert (await node.loop.sock_recv(raw, 4096)).startswith(b"HTTP/1.1 200")
            await until(lambda: not node.server.connections)

    run(main())
