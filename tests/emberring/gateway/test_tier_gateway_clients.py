"""Limits on the size and the time of client requests, and graceful shutdown."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from gateway_world import (
    HOST,
    Client,
    ReceivedRequest,
    ServerSide,
    World,
    chunk,
    event,
    events,
    play,
    request,
    stream_head,
    until,
)

from emberring.configuration.model import ClientLimits
from emberring.gateway.graceful_shutdown import GracefulShutdown, Stage
from emberring.gateway.graceful_shutdown import OpenConnections as Open

TIGHT = ClientLimits(
    max_header_bytes=400, max_body_bytes=1000, header_timeout_ms=150.0, idle_timeout_ms=200.0
)


def tight() -> World:
    return World(limits=TIGHT)


async def answer_ok(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 200, b"ok")


def set_limits(world: World, **changes: float) -> None:
    configuration = world.directory.configuration
    assert configuration is not None
    limits = attrs.evolve(configuration.limits, **changes)
    world.directory.configuration = attrs.evolve(configuration, limits=limits)


@pytest.mark.parametrize("whole", [True, False])
def test_a_head_that_is_too_long(whole: bool) -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        data = request("/once/1", X_Long="y" * 2000)
        await client.send(data if whole else data[:1000])
        answer = await client.receive()
        assert (answer.status, answer.headers["connection"]) == (431, "close")
        assert await client.ended()
        assert not server.seen

    play(scenario, tight)


@pytest.mark.parametrize("chunked", [True, False])
def test_a_body_that_is_too_long(chunked: bool) -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        answer = await client.ask("/once/1", body=b"z" * 1001, chunked=chunked)
        assert (answer.status, answer.headers["connection"]) == (413, "close")
        assert await client.ended()
        assert not server.seen
        assert (await (await world.client()).ask("/once/1", body=b"z" * 1000, chunked=chunked)).status == 200

    play(scenario, tight)


def test_a_content_length_over_the_limit_is_rejected_without_the_body() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5000\r\n\r\n".encode())
        assert (await client.receive()).status == 413

    play(scenario, tight)


def test_a_head_that_arrives_too_slowly() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(b"POST /once/1 HTTP/1.1\r\nHost:")
        assert (await client.receive()).status == 408
        assert await client.ended()

    play(scenario, tight)


def test_a_request_whose_body_arrives_too_slowly_is_not_executed() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        await client.send(request("/short/1", body=b"0123456789")[:-1])
        answer = await client.receive()
        assert (answer.status, answer.headers["connection"]) == (408, "close")
        assert not server.seen

    play(scenario)


@pytest.mark.parametrize("used", [True, False])
def test_an_idle_connection_is_closed_at_the_idle_timeout(used: bool) -> None:
    async def scenario(world: World) -> None:
        await world.server(answer_ok)
        client = await world.client()
        if used:
            assert (await client.ask("/once/1")).status == 200
        began = asyncio.get_running_loop().time()
        assert await client.ended()
        assert 0.18 < asyncio.get_running_loop().time() - began < 1.0

    play(scenario, tight)


def test_the_idle_limit_changes_while_a_connection_is_idle() -> None:
    async def scenario(world: World) -> None:
        await world.server(answer_ok)
        client = await world.client()
        assert (await client.ask("/once/1")).status == 200
        (connection,) = world.listener.connections
        set_limits(world, idle_timeout_ms=60_000.0)
        connection.timeout_keep_alive_handler()  # the previous limit has passed
        assert not connection.transport.is_closing()
        assert (await client.ask("/once/1")).status == 200

    play(scenario, tight)


def test_a_request_that_arrives_at_the_idle_timeout_is_answered() -> None:
    async def scenario(world: World) -> None:
        await world.server(answer_ok)
        client = await world.client()
        assert (await client.ask("/once/1")).status == 200
        (connection,) = world.listener.connections
        set_limits(world, idle_timeout_ms=0.0)
        client.writer.write(request("/once/2"))
        connection.timeout_keep_alive_handler()  # before the event loop has read the received bytes
        assert (await client.receive()).status == 200

    play(scenario, tight)


@pytest.mark.parametrize(
    "data",
    [
        b"nonsense\r\n\r\n",
        b"POST /once/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"POST /once/1 HTTP/1.1\r\n\r\n",
        b"POST /once/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        b"POST /once/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ],
)
def test_invalid_and_ambiguous_requests_are_rejected(data: bytes) -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == 400
        assert not server.seen

    play(scenario)


def test_requests_that_come_at_once_are_answered_in_turn() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        await client.send(b"".join(request("/once/1", request_id=f"r{number}") for number in range(5)))
        for number in range(5):
            assert (await client.receive()).headers["request-id"] == f"r{number}"
        assert [seen.headers["request-id"] for seen in server.seen] == [f"r{number}" for number in range(5)]

    play(scenario)


# ------------------------------------------------------------------------------------ shutdown


def test_during_shutdown_responses_say_close_and_streams_continue() -> None:
    async def scenario(world: World) -> None:
        may_continue = asyncio.Event()

        async def slow(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)))
            await may_continue.wait()
            await side.write(chunk(event(2)) + b"0\r\n\r\n")

        server = await world.server(slow, answer_ok)
        streaming, idle, partial = [await world.client() for _ in range(3)]
        await streaming.send(request("/live/1"))
        await server.arrived.wait()
        assert (await idle.ask("/once/1")).headers.get("connection") is None
        data = request("/once/2")
        await partial.send(data[:30])
        world.listener.shutting_down = True
        answer = await idle.ask("/once/3")
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        in_accept_queue = await world.client()
        await world.listener.stop_listening()
        world.listener.close_idle()
        await partial.send(data[30:])
        assert (await partial.receive()).status == 200
        assert await in_accept_queue.ended()
        may_continue.set()
        answer = await streaming.receive()
        assert (answer.body, answer.whole) == (events(1, 2), True)
        await until(lambda: not world.listener.busy)

    play(scenario)


def test_connections_in_the_accept_queue_are_answered() -> None:
    async def scenario(world: World) -> None:
        await world.server(answer_ok)
        clients = [await Client.connect(world.listener.port) for _ in range(20)]
        for client in clients:
            client.writer.write(request("/once/1"))
        world.listener.shutting_down = True
        await world.listener.stop_listening()
        world.listener.close_idle()
        for client in clients:
            assert (await client.receive()).status == 200
            client.close()

    play(scenario)


@pytest.mark.parametrize(
    ("now_s", "open_connections", "stage"),
    [
        (0.0, Open(-9.0, 0, 0), Stage.SERVE),
        (2.3, Open(-9.0, 0, 0), Stage.SERVE),
        (2.4, Open(-9.0, 3, 1), Stage.STOP_LISTENING),
        (2.4, Open(2.2, 3, 1), Stage.SERVE),
        (4.0, Open(3.9, 3, 1), Stage.STOP_LISTENING),
        (7.3, Open(7.2, 3, 1), Stage.END),
    ],
)
def test_the_first_stage_of_a_shutdown(now_s: float, open_connections: Open, stage: Stage) -> None:
    assert GracefulShutdown(0.0, 8.0).step(now_s, open_connections) is stage


@pytest.mark.parametrize(
    ("now_s", "open_connections", "stage"),
    [
        (2.5, Open(0.0, 2, 1), Stage.FINISH),
        (2.5, Open(0.0, 1, 0), Stage.FINISH),
        (2.5, Open(0.0, 0, 0), Stage.END),
        (7.2, Open(0.0, 2, 2), Stage.FINISH),
        (7.3, Open(0.0, 2, 2), Stage.END),
    ],
)
def test_the_stage_after_listening_has_stopped(now_s: float, open_connections: Open, stage: Stage) -> None:
    shutdown = GracefulShutdown(0.0, 8.0)
    assert shutdown.step(2.4, Open(0.0, 2, 1)) is Stage.STOP_LISTENING
    assert shutdown.step(now_s, open_connections) is stage
