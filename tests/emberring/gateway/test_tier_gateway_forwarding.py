"""Forwarding without faults: requests, responses and streams, on loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import (
    HOST,
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


async def stream_five_events(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.stream(seen, range(1, 6))


async def answer_ok(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 200, b"body of " + seen.headers["request-id"].encode())


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("path", ["/live/a?x=1&y=%20", "/again/b?", "/plain/c//d", "/once/%2e?q"])
def test_a_request_reaches_the_server_unchanged(path: str, chunked: bool) -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        answer = await client.ask(
            path, chunked=chunked, body=b"\x00\xffbody", Token_Count="3,4", Deadline_Ms="900"
        )
        assert (answer.status, answer.body, answer.whole) == (200, b"body of r1", True)
        assert answer.headers["response-signature"] == "sig-r1"
        (seen,) = server.seen
        assert seen.start == f"POST {path} HTTP/1.1".encode()
        assert seen.body == b"\x00\xffbody"
        assert seen.headers["host"] == HOST
        assert seen.headers["expected-instance"] == server.id
        assert seen.headers["token-count"] == "3,4"
        assert 0 < int(seen.headers["deadline-ms"]) <= 900
        assert "transfer-encoding" not in seen.headers

    play(scenario)


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        client = await world.client()
        await client.ask(
            Connection="keep-alive, X-Hop", X_Hop="1", Keep_Alive="5", Te="trailers", X_Stays="2"
        )
        (seen,) = server.seen
        assert seen.headers["x-stays"] == "2"
        assert not {"x-hop", "te", "keep-alive", "connection"} & set(seen.headers)

    play(scenario)


def test_a_stream_arrives_complete_and_the_connection_is_reused() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_five_events)
        client = await world.client()
        for number in range(3):
            answer = await client.ask(request_id=f"r{number}")
            assert (answer.status, answer.body, answer.whole) == (200, events(1, 2, 3, 4, 5), True)
            assert answer.headers["response-signature"] == f"sig-r{number}"
        assert server.connections == 1
        assert world.admission.outcomes == ["completed"] * 3
        assert world.admission.in_flight == 0

    play(scenario)


def test_each_event_is_forwarded_before_the_next_is_generated() -> None:
    async def scenario(world: World) -> None:
        may_continue = asyncio.Event()

        async def split_events(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)[:7]))
            await side.write(chunk(event(1)[7:] + event(2)[:3]))
            await may_continue.wait()
            await side.write(chunk(event(2)[3:]) + b"0\r\n\r\n")

        await world.server(split_events)
        client = await world.client()
        await client.send(request())
        raw = await client.reader.readuntil(event(1))
        assert raw.startswith(b"HTTP/1.1 200")
        assert [kind for kind, _ in world.admission.log] == ["started", "first_event"]
        may_continue.set()
        rest = await client.reader.readuntil(b"0\r\n\r\n")
        assert event(2) in rest
        await until(lambda: world.admission.in_flight == 0)
        kinds = [kind for kind, _ in world.admission.log]
        assert kinds == ["started", "first_event", "progress", "finished"]

    play(scenario)


def test_no_route_is_answered_404() -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        assert (await client.ask("/nowhere/1")).status == 404
        assert (await client.ask("/live")).status == 404

    play(scenario)


def test_before_a_configuration_is_known_a_request_is_guaranteed_not_executed() -> None:
    async def scenario(world: World) -> None:
        limits = world.limits()
        world.listener.limits = lambda: limits
        world.directory.configuration = None
        answer = await (await world.client()).ask()
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert "response-signature" not in answer.headers

    play(scenario)


@pytest.mark.parametrize("status", [500, 504, 422, 400, 404, 303])
def test_a_servers_own_failure_is_forwarded_unchanged(status: int) -> None:
    async def scenario(world: World) -> None:
        async def answer_failure(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, status, b"why")

        server = await world.server(answer_failure)
        answer = await (await world.client()).ask("/once/1")
        assert (answer.status, answer.body) == (status, b"why")
        assert answer.headers["response-signature"] == "sig-r1"
        assert len(server.seen) == 1

    play(scenario)
