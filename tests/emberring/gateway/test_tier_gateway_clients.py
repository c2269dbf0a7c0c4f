"""What clients may send and how long they may take; how a gateway shuts down."""

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


async def say_ok(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 200, b"ok")


def set_limits(world: World, **more: float) -> None:
    configuration = world.directory.configuration
    assert configuration is not None
    limits = attrs.evolve(configuration.limits, **more)
    world.directory.configuration = attrs.evolve(configuration, limits=limits)


@pytest.mark.parametrize("whole", [True, False])
def test_a_head_that_is_too_long(whole: bool) -> None:
    async def story(world: World) -> None:
        server = await world.server(say_ok)
        client = await world.client()
        data = request("/once/1", X_Long="y" * 2000)
        await client.send(data if whole else data[:1000])
        answer = await client.receive()
        assert (answer.status, answer.headers["connection"]) == (431, "close")
        assert await client.ended()
        assert not server.seen

    play(story, tight)


@pytest.mark.parametrize("chunked", [True, False])
def test_a_body_that_is_too_long(chunked: bool) -> None:
    async def story(world: World) -> None:
        server = await world.server(say_ok)
        client = await world.client()
        answer = await client.ask("/once/1", body=b"z" * 1001, chunked=chunked)
        assert (answer.status, answer.headers["connection"]) == (413, "close")
        assert await client.ended()
        assert not server.seen
        assert (await (await world.client()).ask("/once/1", body=b"z" * 1000, chunked=chunked)).status == 200

    play(story, tight)


def test_an_announced_body_that_is_too_long_is_refused_before_it_comes() -> None:
    async def story(world: World) -> None:
        client = await world.client()
        await client.send(f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 5000\r\n\r\n".encode())
        assert (await client.receive()).status == 413

    play(story, tight)


def test_a_head_that_comes_too_slowly() -> None:
    async def story(world: World) -> None:
        client = await world.client()
        await client.send(b"POST /once/1 HTTP/1.1\r\nHost:")
        assert (await client.receive()).status == 408
        assert await client.ended()

    play(story, tight)


def test_a_body_that_comes_too_slowly_was_not_executed() -> None:
    async def story(world: World) -> None:
        server = await world.server(say_ok)
        client = await world.client()
        await client.send(request("/short/1", body=b"0123456789")[:-1])
        answer = await client.receive()
        assert (answer.status, answer.headers["connection"]) == (408, "close")
        assert not server.seen

    play(story)


@pytest.mark.parametrize("used", [True, False])
def test_an_idle_connection_is_closed_in_time(used: bool) -> None:
    async def story(world: World) -> None:
        await world.server(say_ok)
        client = await world.client()
        if used:
            assert (await client.ask("/once/1")).status == 200
        began = asyncio.get_running_loop().time()
        assert await client.ended()
        assert 0.18 < asyncio.get_running_loop().time() - began < 1.0

    play(story, tight)


def test_the_idle_limit_changes_while_a_connection_is_idle() -> None:
    async def story(world: World) -> None:
        await world.server(say_ok)
        client = await world.client()
        assert (await client.ask("/once/1")).status == 200
        (connection,) = world.port.connections
        set_limits(world, idle_timeout_ms=60_000.0)
        connection.timeout_keep_alive_handler()  # the old limit is over
        assert not connection.transport.is_closing()
        assert (await client.ask("/once/1")).status == 200

    play(story, tight)


def test_a_request_that_arrives_as_its_connection_becomes_too_old_is_answered() -> None:
    async def story(world: World) -> None:
        await world.server(say_ok)
        client = await world.client()
        assert (await client.ask("/once/1")).status == 200
        (connection,) = world.port.connections
        set_limits(world, idle_timeout_ms=0.0)
        client.writer.write(request("/once/2"))
        connection.timeout_keep_alive_handler()  # before the loop has read what waits in the kernel
        assert (await client.receive()).status == 200

    play(story, tight)


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
def test_what_could_be_read_in_two_ways_is_refused(data: bytes) -> None:
    async def story(world: World) -> None:
        server = await world.server(say_ok)
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == 400
        assert not server.seen

    play(story)


def test_requests_that_come_at_once_are_answered_in_turn() -> None:
    async def story(world: World) -> None:
        server = await world.server(say_ok)
        client = await world.client()
        await client.send(b"".join(request("/once/1", request_id=f"r{number}") for number in range(5)))
        for number in range(5):
            assert (await client.receive()).headers["request-id"] == f"r{number}"
        assert [seen.headers["request-id"] for seen in server.seen] == [f"r{number}" for number in range(5)]

    play(story)


# ------------------------------------------------------------------------------------- the end


def test_during_shutdown_responses_say_close_and_streams_continue() -> None:
    async def story(world: World) -> None:
        told = asyncio.Event()

        async def slow(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)))
            await told.wait()
            await side.write(chunk(event(2)) + b"0\r\n\r\n")

        server = await world.server(slow, say_ok)
        streaming, resting, half = [await world.client() for _ in range(3)]
        await streaming.send(request("/live/1"))
        await server.arrived.wait()
        assert (await resting.ask("/once/1")).headers.get("connection") is None
        data = request("/once/2")
        await half.send(data[:30])
        world.port.shutting_down = True
        answer = await resting.ask("/once/3")
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        late = await world.client()
        await world.port.stop_listening()
        world.port.close_idle()
        await half.send(data[30:])
        assert (await half.receive()).status == 200
        assert await late.ended()
        told.set()
        answer = await streaming.receive()
        assert (answer.body, answer.whole) == (events(1, 2), True)
        await until(lambda: not world.port.busy)

    play(story)


def test_connections_in_the_accept_queue_are_answered() -> None:
    async def story(world: World) -> None:
        await world.server(say_ok)
        clients = [await Client.connect(world.port.port) for _ in range(20)]
        for client in clients:
            client.writer.write(request("/once/1"))
        world.port.shutting_down = True
        await world.port.stop_listening()
        world.port.close_idle()
        for client in clients:
            assert (await client.receive()).status == 200
            client.close()

    play(story)


@pytest.mark.parametrize(
    ("now_s", "seen", "stage"),
    [
        (0.0, Open(-9.0, 0, 0), Stage.SERVE),
        (2.3, Open(-9.0, 0, 0), Stage.SERVE),
        (2.4, Open(-9.0, 3, 1), Stage.STOP_LISTENING),
        (2.4, Open(2.2, 3, 1), Stage.SERVE),
        (4.0, Open(3.9, 3, 1), Stage.STOP_LISTENING),
        (7.3, Open(7.2, 3, 1), Stage.END),
    ],
)
def test_departure_first_step(now_s: float, seen: Open, stage: Stage) -> None:
    assert GracefulShutdown(0.0, 8.0).step(now_s, seen) is stage


@pytest.mark.parametrize(
    ("now_s", "seen", "stage"),
    [
        (2.5, Open(0.0, 2, 1), Stage.FINISH),
        (2.5, Open(0.0, 1, 0), Stage.FINISH),
        (2.5, Open(0.0, 0, 0), Stage.END),
        (7.2, Open(0.0, 2, 2), Stage.FINISH),
        (7.3, Open(0.0, 2, 2), Stage.END),
    ],
)
def test_departure_after_listening(now_s: float, seen: Open, stage: Stage) -> None:
    shutdown = GracefulShutdown(0.0, 8.0)
    assert shutdown.step(2.4, Open(0.0, 2, 1)) is Stage.STOP_LISTENING
    assert shutdown.step(now_s, seen) is stage
