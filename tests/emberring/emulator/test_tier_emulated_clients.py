"""The emulated operator and heartbeats against a scripted control node, and the parsing of events."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
import pytest

from emberring.emulator.connection import ServerConnection
from emberring.emulator.events import EventReader, StreamEvent
from emberring.emulator.heartbeats import Heartbeats
from emberring.emulator.model_server import ModelServer, ServerSpec
from emberring.emulator.observations import Observations
from emberring.emulator.operator import Operator
from emberring.emulator.waiting import wait_until
from emberring.emulator.wire import ServerRequest, complete_response


class ScriptedControl:
    """Sends the given responses in order and repeats the last one; None resets the connection."""

    def __init__(self, *responses: tuple[int, dict[str, str], bytes] | None) -> None:
        self.responses = list(responses)
        self.requests: list[ServerRequest] = []
        self.address = ""
        self.request_received = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def on_connection_opened(self, connection: ServerConnection) -> bool:
        return True

    def on_connection_closed(self, connection: ServerConnection) -> None:
        pass

    def handle_request(self, connection: ServerConnection, request: ServerRequest) -> None:
        self.requests.append(request)
        self.request_received.set()
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        if response is None:
            connection.abort()
        else:
            status, headers, body = response
            connection.write(complete_response(status, headers, body))
            connection.finish()


def with_controls(controls: list[ScriptedControl], play: Callable[[list[str]], Awaitable[None]]):
    async def run() -> None:
        for control in controls:
            await control.start()
        async with asyncio.timeout(10):
            await play([control.address for control in controls])
        for control in controls:
            control.server.close()

    asyncio.run(run())


def empty_response(status: int):
    return (status, {}, b"")


@pytest.mark.parametrize(
    ("responses", "status", "attempts"),
    [
        ([empty_response(200)], 200, 1),
        ([empty_response(503), empty_response(200)], 200, 2),
        ([None, empty_response(200)], 200, 2),
        ([empty_response(504), None, empty_response(200)], 200, 3),
        ([empty_response(412)], 412, 1),
        ([empty_response(400)], 400, 1),
        ([empty_response(408), empty_response(429), empty_response(200)], 200, 3),
        ([empty_response(404)], 404, 3),
    ],
)
def test_a_request_is_retried_until_its_outcome_is_known(responses, status, attempts):
    async def run() -> None:
        control = ScriptedControl(*responses)
        await control.start()
        outcome = await Operator([control.address]).put_configuration({"Version": 3}, 2, within_s=5.0)
        assert (outcome.status, outcome.attempts) == (status, attempts)
        assert {request.headers["if-match"] for request in control.requests} == {"2"}
        assert {request.body for request in control.requests} == {b'{"Version":3}'}
        control.server.close()

    asyncio.run(run())


def test_a_request_without_a_known_outcome_ends_at_its_time_limit():
    async def run() -> None:
        control = ScriptedControl(empty_response(503))
        await control.start()
        outcome = await Operator([control.address]).retire("store-1", 10, within_s=0.2)
        assert outcome.status == 0
        assert not outcome.acknowledged
        control.server.close()

    asyncio.run(run())


def test_a_request_follows_redirects_to_another_node():
    async def run() -> None:
        target = ScriptedControl(empty_response(200))
        await target.start()
        redirecting = ScriptedControl((307, {"Location": f"http://{target.address}/v1/config"}, b""))
        await redirecting.start()
        outcome = await Operator([redirecting.address]).patch_configuration({"Version": 3}, 2)
        assert outcome.acknowledged
        assert target.requests[0].method == "PATCH"
        redirecting.server.close()
        target.server.close()

    asyncio.run(run())


def heartbeats_of(control: ScriptedControl) -> tuple[ModelServer, Heartbeats]:
    server = ModelServer(ServerSpec("s"), Observations())
    return server, Heartbeats(server, lambda: [control.address], interval_s=30.0)


def test_a_drain_and_a_deregistration_are_sent_until_they_are_acknowledged():
    async def run() -> None:
        control = ScriptedControl(empty_response(503), empty_response(200))
        await control.start()
        server, heartbeats = heartbeats_of(control)
        assert await heartbeats.drain()
        assert await heartbeats.deregister()
        sent = [(request.method, request.path) for request in control.requests]
        path = f"/v1/instances/{server.id}"
        assert sent == [("PUT", path), ("PUT", path), ("DELETE", path)]
        bodies = [orjson.loads(request.body) for request in control.requests[:2]]
        assert [body["State"] for body in bodies] == ["draining", "draining"]
        assert [body["Sequence"] for body in bodies] == [1, 2]
        control.server.close()

    asyncio.run(run())


def test_later_heartbeats_go_to_the_address_in_the_response():
    async def run() -> None:
        target = ScriptedControl(empty_response(200))
        await target.start()
        body = orjson.dumps({"HeartbeatUrl": target.address})
        first = ScriptedControl((200, {}, body))
        await first.start()
        _, heartbeats = heartbeats_of(first)
        heartbeats.start()
        await asyncio.wait_for(first.request_received.wait(), 5)
        assert await wait_until(lambda: heartbeats.acknowledged > 0, 5)
        assert await heartbeats.drain()
        assert len(first.requests) == 1
        assert len(target.requests) == 1
        await heartbeats.stop()
        first.server.close()
        target.server.close()

    asyncio.run(run())


STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nversion: 2\nid: 3\ndata: d\n\nid: 4\nda"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_events_are_read_however_their_bytes_arrive(size):
    reader = EventReader()
    events = []
    for start in range(0, len(STREAM), size):
        events += reader.feed(STREAM[start : start + size])
    assert events == [StreamEvent(1, "a"), StreamEvent(2, "b\nc"), StreamEvent(3, "d")]
    assert reader.rest == b"id: 4\nda"
