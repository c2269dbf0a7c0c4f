"""The HTTP interface of the emulated model server, and the invariant checker on its streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from emberring.emulator.engine import EngineSpec
from emberring.emulator.http_calls import CALL_ERRORS, call_once
from emberring.emulator.invariant_checker import check_stream
from emberring.emulator.live_client import StreamCall, StreamEnd, attempt_stream
from emberring.emulator.model_server import ModelServer, ServerSpec
from emberring.emulator.observations import Observations
from emberring.emulator.output import complete_output, event_bytes, event_text
from emberring.emulator.waiting import wait_until

STRIDE = 4
ENGINE = EngineSpec(capacity=2, queue_limit=1, kv_tokens=5000, stride=STRIDE, step_s=0.0005)
CALL = StreamCall("/explain/1", b"question", (("ab", 100), ("cd", 50)), 10)
GENERATION = {"Request-Id": "r1", "Token-Count": "150,10", "Prefix-Hash": "ab:100,cd:50"}


def with_server(play: Callable[[ModelServer, Observations], Awaitable[None]], spec: ServerSpec | None = None):
    async def run() -> None:
        observations = Observations()
        server = ModelServer(spec or ServerSpec("s", engine=ENGINE), observations)
        await server.start()
        try:
            async with asyncio.timeout(10):
                await play(server, observations)
        finally:
            server.stop()

    asyncio.run(run())


def test_a_stream_is_complete_signed_and_without_violations():
    async def play(server: ModelServer, observations: Observations) -> None:
        result = await attempt_stream(server.address, CALL, 5.0)
        assert result.end is StreamEnd.SERVED
        assert [event.id for event in result.events] == [1, 2, 3]
        assert observations.signatures[result.signature] == result.request_id
        assert check_stream(CALL, result, observations, STRIDE, retryable=False) == []

    with_server(play)


def test_a_stream_resumes_after_the_last_received_event():
    async def play(server: ModelServer, observations: Observations) -> None:
        headers = {**GENERATION, "Last-Event-Id": "2"}
        response = await call_once("POST", f"http://{server.address}/p", headers=headers, content=b"x")
        assert response.body == event_bytes(3, event_text("/p", b"x", 3))
        assert observations.runs["r1"][0].resume_after == 2

    with_server(play)


@pytest.mark.parametrize(
    ("headers", "path", "fault", "status", "not_executed"),
    [
        ({}, "/p", None, 400, True),
        ({"Request-Id": "r", "Prefix-Hash": "ab"}, "/p", None, 400, True),
        ({"Request-Id": "r", "Expected-Instance": "i-other"}, "/p", None, 421, True),
        (GENERATION, "/p", "overloaded", 503, True),
        ({"Request-Id": "r", "Token-Count": "9000,1", "Prefix-Hash": "ab:9000"}, "/p", None, 503, True),
        (GENERATION, "/impossible/1", None, 422, False),
        (GENERATION, "/p", "failed_responses", 500, False),
    ],
)
def test_rejections_report_whether_the_request_was_executed(headers, path, fault, status, not_executed):
    async def play(server: ModelServer, observations: Observations) -> None:
        if fault is not None:
            setattr(server.faults, fault, 1)
        response = await call_once("POST", f"http://{server.address}{path}", headers=headers, content=b"x")
        assert response.status == status
        assert ("not-executed" in response.headers) is not_executed
        assert ("response-signature" in response.headers) is not not_executed
        assert bool(observations.runs) is not not_executed
        assert response.headers.get("request-id") == headers.get("Request-Id")

    with_server(play)


@pytest.mark.parametrize(
    ("fault", "end"),
    [
        ("corrupt_responses", StreamEnd.BROKEN),
        ("truncated_responses", StreamEnd.BROKEN),
        ("failed_responses", StreamEnd.FAILED),
        ("surplus_responses", StreamEnd.SERVED),
    ],
)
def test_a_fault_affects_one_response(fault, end):
    async def play(server: ModelServer, observations: Observations) -> None:
        setattr(server.faults, fault, 1)
        assert (await attempt_stream(server.address, CALL, 5.0)).end is end
        assert (await attempt_stream(server.address, CALL, 5.0)).end is StreamEnd.SERVED

    with_server(play)


@pytest.mark.parametrize("fault", ["hanging", "unresponsive"])
def test_a_hanging_server_sends_nothing(fault):
    async def play(server: ModelServer, observations: Observations) -> None:
        if fault == "unresponsive":
            server.become_unresponsive()
        else:
            server.faults.hanging = True
        result = await attempt_stream(server.address, CALL, 0.1)
        assert result.end is StreamEnd.TIMED_OUT
        assert observations.runs == {}

    with_server(play)


def test_a_request_ends_at_its_deadline():
    async def play(server: ModelServer, observations: Observations) -> None:
        server.faults.step_factor = 10_000.0
        headers = {**GENERATION, "Deadline-Ms": "50"}
        response = await call_once("POST", f"http://{server.address}/p", headers=headers, content=b"x")
        assert response.status == 503
        assert "not-executed" in response.headers
        assert server.in_flight == 0

    with_server(play)


def test_a_request_is_dropped_once_its_connection_closes():
    async def play(server: ModelServer, observations: Observations) -> None:
        server.faults.step_factor = 10_000.0
        with pytest.raises(CALL_ERRORS):
            await call_once(
                "POST", f"http://{server.address}/p", headers=GENERATION, content=b"x", timeout_s=0.1
            )
        assert await wait_until(lambda: server.in_flight == 0, 5)
        assert server.engine.idle

    with_server(play)


def test_connections_beyond_the_limit_are_reset():
    async def play(server: ModelServer, observations: Observations) -> None:
        host, _, port = server.address.rpartition(":")
        first_reader, first_writer = await asyncio.open_connection(host, int(port))
        first_writer.write(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await first_reader.readline()).split()[1] == b"200"
        reader, writer = await asyncio.open_connection(host, int(port))
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        writer.close()
        first_writer.close()

    with_server(play, ServerSpec("s", engine=ENGINE, max_connections=1))


def test_a_draining_server_closes_and_is_not_healthy():
    async def play(server: ModelServer, observations: Observations) -> None:
        server.draining = True
        response = await call_once("GET", f"http://{server.address}/healthz")
        assert response.status == 503
        assert response.headers["connection"] == "close"
        assert response.headers["instance-id"] == server.id

    with_server(play)


def test_the_output_depends_on_path_and_body_alone():
    assert complete_output("/a", b"x", 3) == complete_output("/a", b"x", 3)
    different = {
        complete_output("/a", b"x", 3),
        complete_output("/b", b"x", 3),
        complete_output("/a", b"y", 3),
    }
    assert len(different) == 3
