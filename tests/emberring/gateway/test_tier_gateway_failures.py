"""Server failures: which requests are retried, how they are answered, and that responses are never mixed up."""

from __future__ import annotations

import asyncio
import socket

import pytest
from gateway_world import (
    OWN_CONNECT_TIMEOUT_S,
    ReceivedRequest,
    Script,
    ServerSide,
    World,
    chunk,
    event,
    events,
    head,
    play,
    request,
    route,
    stream_head,
    until,
)

from emberring.admission.types import Refused
from emberring.configuration.model import RouteType
from emberring.distribution.records import ServerState
from emberring.gateway import attempt, connection_pool, execution
from emberring.gateway.response import ResponseTimeouts

IDEMPOTENT_PATHS = ("/again/1", "/plain/1")
NON_IDEMPOTENT_PATHS = ("/live/1", "/once/1")


async def answer_ok(side: ServerSide, seen: ReceivedRequest) -> None:
    if seen.start.startswith((b"POST /live", b"POST /again")):
        await side.stream(seen, (1, 2))
    else:
        await side.answer(seen, 200, events(1, 2))


async def reset(side: ServerSide, seen: ReceivedRequest) -> None:
    side.reset()


async def close(side: ServerSide, seen: ReceivedRequest) -> None:
    side.close()


async def send_invalid_bytes(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"\x00\x01 this is no answer\r\n\r\n")
    await side.wait_closed()


async def send_partial_head(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"HTTP/1.1 200 OK\r\nRequest-Id: " + seen.headers["request-id"].encode())
    side.close()


async def send_head_only(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(stream_head(seen))
    side.close()


async def answer_without_signature(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(head(seen, 200, 2, signed=False) + b"ok")


async def answer_with_content_encoding(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(head(seen, 200, 2, Content_Encoding="gzip") + b"ok")


async def answer_without_request_id(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"HTTP/1.1 200 OK\r\nResponse-Signature: x\r\nContent-Length: 2\r\n\r\nok")


async def answer_without_length(side: ServerSide, seen: ReceivedRequest) -> None:
    """Send a body whose only end is the end of the connection."""
    await side.write(head(seen, 200, None) + b"looks whole")
    side.close()


async def send_truncated_body(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(head(seen, 200, 100) + b"not all")
    side.close()


async def answer_503_without_guarantee(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503)


async def answer_503_not_executed(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")


async def answer_429_not_executed(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 429, Not_Executed="1", Retry_After="0.7")


async def answer_421_of_other_server(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"HTTP/1.1 421 X\r\nInstance-Id: i-other\r\nContent-Length: 0\r\n\r\n")


POSSIBLY_EXECUTED = (
    reset,
    close,
    send_invalid_bytes,
    send_partial_head,
    send_head_only,
    answer_without_signature,
    answer_with_content_encoding,
    answer_without_request_id,
    answer_without_length,
    send_truncated_body,
    answer_503_without_guarantee,
)
CERTAINLY_NOT_EXECUTED = (answer_503_not_executed, answer_429_not_executed, answer_421_of_other_server)


@pytest.mark.parametrize("script", POSSIBLY_EXECUTED)
@pytest.mark.parametrize("path", NON_IDEMPOTENT_PATHS)
def test_a_request_that_may_have_been_executed_is_not_sent_again(path: str, script: Script) -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(script), await world.server(answer_ok)
        answer = await (await world.client()).ask(path)
        assert answer.status == 502
        assert answer.whole
        assert "response-signature" not in answer.headers
        assert (len(first.seen), len(second.seen)) == (1, 0)
        assert world.admission.in_flight == 0

    play(scenario)


@pytest.mark.parametrize("script", POSSIBLY_EXECUTED)
@pytest.mark.parametrize("path", IDEMPOTENT_PATHS)
def test_an_idempotent_request_is_retried_at_another_server(path: str, script: Script) -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(script), await world.server(answer_ok)
        answer = await (await world.client()).ask(path)
        assert (answer.status, answer.body, answer.whole) == (200, events(1, 2), True)
        assert (len(first.seen), len(second.seen)) == (1, 1)

    play(scenario)


@pytest.mark.parametrize("script", POSSIBLY_EXECUTED)
def test_no_more_servers_than_max_attempts_may_execute_it(script: Script) -> None:
    async def scenario(world: World) -> None:
        servers = [await world.server(script) for _ in range(4)]
        answer = await (await world.client()).ask("/plain/1")
        assert answer.status == 502
        assert sum(len(server.seen) for server in servers) == 2

    play(scenario)


@pytest.mark.parametrize("script", CERTAINLY_NOT_EXECUTED)
@pytest.mark.parametrize("path", [*NON_IDEMPOTENT_PATHS, *IDEMPOTENT_PATHS])
def test_a_guarantee_of_not_executed_allows_another_server(path: str, script: Script) -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(script), await world.server(answer_ok)
        answer = await (await world.client()).ask(path)
        assert (answer.status, answer.body) == (200, events(1, 2))
        assert (len(first.seen), len(second.seen)) == (1, 1)

    play(scenario)


@pytest.mark.parametrize("script", CERTAINLY_NOT_EXECUTED)
@pytest.mark.parametrize("path", [*NON_IDEMPOTENT_PATHS, *IDEMPOTENT_PATHS])
def test_a_request_that_no_server_took_is_refused_with_a_retry_delay(path: str, script: Script) -> None:
    async def scenario(world: World) -> None:
        await world.server(script)
        answer = await (await world.client()).ask(path)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) == (0.7 if script is answer_429_not_executed else 0.2)
        assert "response-signature" not in answer.headers

    play(scenario)


def test_after_a_broken_attempt_a_full_server_guarantees_nothing() -> None:
    async def scenario(world: World) -> None:
        await world.server(reset)
        await world.server(answer_503_not_executed)
        assert (await (await world.client()).ask("/plain/1")).status == 502

    play(scenario)


def test_a_refusal_by_admission_is_answered_at_once() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)
        world.admission.script.append(Refused(0.35))
        answer = await (await world.client()).ask()
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.350")
        assert not server.seen

    play(scenario)


def test_a_server_whose_address_another_server_has_gets_no_more_requests() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(answer_421_of_other_server), await world.server(answer_ok)
        client = await world.client()
        for number in range(3):
            assert (await client.ask(request_id=f"r{number}")).status == 200
        assert (len(first.seen), len(second.seen)) == (1, 3)
        assert world.routable_servers.routable(first.id) is None
        assert world.pool.size(first.id) == 0

    play(scenario)


# Guards against a client whose requests sound servers decline, and which takes these servers from all other clients.
@pytest.mark.parametrize("named", [{"Instance_Id": "i-1"}, {}])
def test_a_421_of_the_server_itself_concerns_this_request_alone(named: dict[str, str]) -> None:
    async def scenario(world: World) -> None:
        async def other_version(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 421, **named)

        await world.server(other_version, answer_ok)
        await world.server(answer_ok)
        assert (await (await world.client()).ask()).status == 200
        assert world.routable_servers.routable("i-1") is not None
        assert world.admission.outcomes == ["declined", "completed"]

    play(scenario)


@pytest.mark.parametrize("path", [*NON_IDEMPOTENT_PATHS, *IDEMPOTENT_PATHS])
def test_a_server_that_refuses_connections_was_sent_nothing(path: str) -> None:
    async def scenario(world: World) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
        world.set_server_record("i-dead", f"127.0.0.1:{port}")
        second = await world.server(answer_ok)
        assert (await (await world.client()).ask(path)).status == 200
        assert len(second.seen) == 1
        assert world.admission.outcomes == ["connect_failed", "completed"]

    play(scenario)


def test_opening_a_connection_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "CONNECT_TIMEOUT_S", OWN_CONNECT_TIMEOUT_S)

    async def scenario(world: World) -> None:
        with socket.socket() as full_listener:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            port = full_listener.getsockname()[1]
            queued_sockets = [socket.socket() for _ in range(4)]
            for queued_socket in queued_sockets:
                queued_socket.setblocking(False)
                queued_socket.connect_ex(("127.0.0.1", port))
            world.set_server_record("i-dark", f"127.0.0.1:{port}")
            await world.server(answer_ok)
            began = asyncio.get_running_loop().time()
            answer = await (await world.client()).ask("/once/1")
            assert answer.status == 200
            assert 0.25 < asyncio.get_running_loop().time() - began < 1.0
            for queued_socket in queued_sockets:
                queued_socket.close()

    play(scenario)


def test_a_draining_server_gets_nothing_even_when_it_was_chosen() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(answer_ok), await world.server(answer_ok)
        world.set_server_record(first.id, first.address, ServerState.DRAINING)
        assert (await (await world.client()).ask()).status == 200
        assert (len(first.seen), len(second.seen)) == (0, 1)
        assert world.admission.outcomes == ["not_sent", "completed"]

    play(scenario)


def test_a_drain_that_begins_while_a_connection_opens_is_respected() -> None:
    async def scenario(world: World) -> None:
        first, second = await world.server(answer_ok), await world.server(answer_ok)
        acquire = world.pool.acquire

        async def acquire_and_drain(server_id: str, address: str, request_id: bytes, verify: bool):  # type: ignore[no-untyped-def]
            connection = await acquire(server_id, address, request_id, verify)
            if server_id == first.id:
                world.set_server_record(first.id, first.address, ServerState.DRAINING)
            return connection

        world.pool.acquire = acquire_and_drain  # type: ignore[method-assign]
        assert (await (await world.client()).ask()).status == 200
        assert (len(first.seen), len(second.seen)) == (0, 1)

    play(scenario)


@pytest.mark.parametrize("path", NON_IDEMPOTENT_PATHS)
def test_a_connection_that_is_reset_when_opened_was_sent_nothing(path: str) -> None:
    async def scenario(world: World) -> None:
        async def reset_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        full_server = await asyncio.start_server(reset_connection, "127.0.0.1", 0)
        world.set_server_record("i-crowded", f"127.0.0.1:{full_server.sockets[0].getsockname()[1]}")
        second = await world.server(answer_ok)
        client = await world.client()
        for number in range(5):
            assert (await client.ask(path, request_id=f"r{number}")).status == 200
        assert len(second.seen) == 5
        full_server.close()

    play(scenario)


def test_a_timeout_at_an_unresponsive_server_is_recorded_as_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(attempt, "SILENT_AFTER_S", 0.05)

    async def scenario(world: World) -> None:
        async def silent(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.wait_closed()

        await world.server(silent)
        answer = await (await world.client()).ask("/short/1")
        assert answer.status == 504
        assert world.admission.outcomes == ["silent"]

    play(scenario)


# ---------------------------------------------------------- responses to other requests


def test_a_surplus_response_instead_of_the_next_is_skipped() -> None:
    async def scenario(world: World) -> None:
        async def late_duplicate_first(side: ServerSide, seen: ReceivedRequest) -> None:
            other = ReceivedRequest(b"", {"request-id": "r0"}, b"", 0)
            await side.write(head(other, 200, 5) + b"other")
            await side.write(head(other, 500, 0))
            await side.stream(seen, (1, 2))

        server = await world.server(late_duplicate_first)
        client = await world.client()
        answer = await client.ask(request_id="r1")
        assert (answer.status, answer.body) == (200, events(1, 2))
        assert answer.headers["response-signature"] == "sig-r1"
        assert (await client.ask(request_id="r2")).whole
        assert server.connections == 1

    play(scenario)


def test_bytes_after_a_complete_response_close_the_connection() -> None:
    async def scenario(world: World) -> None:
        async def answer_twice(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(2 * (head(seen, 200, 5) + b"first"))

        server = await world.server(answer_twice, answer_ok)
        client = await world.client()
        assert (await client.ask("/once/1", request_id="r1")).body == b"first"
        assert (await client.ask("/once/2", request_id="r2")).body == events(1, 2)
        assert server.connections == 2

    play(scenario)


def test_a_surplus_response_on_an_idle_connection_closes_it() -> None:
    async def scenario(world: World) -> None:
        may_continue = asyncio.Event()

        async def late_duplicate(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 200, b"first")
            await may_continue.wait()
            await side.answer(seen, 200, b"again")
            await side.wait_closed()

        server = await world.server(late_duplicate, answer_ok)
        client = await world.client()
        assert (await client.ask("/once/1", request_id="r1")).body == b"first"
        may_continue.set()
        await until(lambda: world.pool.size(server.id) == 0)
        assert (await client.ask("/once/2", request_id="r2")).body == events(1, 2)
        assert server.connections == 2

    play(scenario)


# ---------------------------------------------------------------------------- idle connections


def test_a_closed_idle_connection_is_detected_before_use() -> None:
    async def scenario(world: World) -> None:
        async def answer_and_close(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 200, b"done")
            side.close()

        server = await world.server(answer_and_close)
        client = await world.client()
        for number in range(4):
            assert (await client.ask("/once/1", request_id=f"r{number}")).status == 200
        assert server.connections == 4

    play(scenario)


@pytest.mark.parametrize(("path", "status"), [("/once/1", 502), ("/plain/1", 200)])
def test_an_idle_connection_that_closes_as_a_request_is_sent(path: str, status: int) -> None:
    async def scenario(world: World) -> None:
        first = await world.server(answer_ok, close)
        second = await world.server(answer_ok)
        client = await world.client()
        assert (await client.ask("/once/0", request_id="r0")).status == 200
        assert (await client.ask(path)).status == status
        assert (len(first.seen), len(second.seen)) == (2, int(status == 200))

    play(scenario)


def test_has_idle_until_the_connection_is_in_use() -> None:
    async def scenario(world: World) -> None:
        idle_while_in_use: list[bool] = []

        async def check_and_answer(side: ServerSide, seen: ReceivedRequest) -> None:
            idle_while_in_use.append(world.pool.has_idle(server.id))
            await side.answer(seen, 200, b"done")

        server = await world.server(check_and_answer)
        client = await world.client()
        assert not world.pool.has_idle(server.id)
        for number in range(2):
            assert (await client.ask("/once/1", request_id=f"r{number}")).status == 200
            assert world.pool.has_idle(server.id)
        assert idle_while_in_use == [False, False]
        assert server.connections == 1

    play(scenario)


def test_keep_alive_limits_the_idle_time_of_a_connection() -> None:
    async def scenario(world: World) -> None:
        async def grant_no_idle_time(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 200, b"done", Keep_Alive="timeout=0")

        server = await world.server(grant_no_idle_time)
        client = await world.client()
        for number in range(2):
            assert (await client.ask("/once/1", request_id=f"r{number}")).status == 200
        assert server.connections == 2

    play(scenario)


# --------------------------------------------------------------------------- broken streams


async def close_inside_an_event(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(stream_head(seen) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:8]))
    side.close()


async def close_in_the_stream(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(stream_head(seen) + chunk(event(1) + event(2)))
    await asyncio.sleep(0)
    await side.wait_closed() if seen.headers.get("never") else side.close()


async def continue_stream(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.stream(
        seen, range(int(seen.headers.get("last-event-id", "0")) + 1, 6), Response_Signature="later"
    )


@pytest.mark.parametrize("script", [close_inside_an_event, close_in_the_stream])
def test_a_broken_stream_has_complete_events_only_and_does_not_look_complete(script: Script) -> None:
    async def scenario(world: World) -> None:
        await world.server(script)
        second = await world.server(continue_stream)
        answer = await (await world.client()).ask("/live/1")
        assert (answer.status, answer.body, answer.whole) == (200, events(1, 2), False)
        assert not second.seen

    play(scenario)


@pytest.mark.parametrize("script", [close_inside_an_event, close_in_the_stream])
def test_a_resumable_stream_continues_in_one_response(script: Script) -> None:
    async def scenario(world: World) -> None:
        await world.server(script)
        second = await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.status, answer.body, answer.whole) == (200, events(1, 2, 3, 4, 5), True)
        assert answer.headers["response-signature"] == "sig-r1"
        (seen,) = second.seen
        assert seen.headers["last-event-id"] == "2"
        assert seen.headers["request-id"] == "r1"

    play(scenario)


@pytest.mark.parametrize("ids", [(1, 2, 3), (2, 3), (4, 5)])
def test_an_attempt_that_does_not_continue_at_the_requested_event_is_not_joined(ids: tuple[int, ...]) -> None:
    async def scenario(world: World) -> None:
        async def stream_wrong_events(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.stream(seen, ids)

        await world.server(close_inside_an_event)
        await world.server(stream_wrong_events)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.body, answer.whole) == (events(1, 2), False)

    play(scenario)


@pytest.mark.parametrize(
    "script",
    [
        answer_503_without_guarantee,
        answer_without_signature,
        answer_without_request_id,
        reset,
        answer_503_not_executed,
    ],
)
def test_a_stream_that_cannot_be_resumed_never_looks_complete(script: Script) -> None:
    async def scenario(world: World) -> None:
        await world.server(close_inside_an_event)
        await world.server(script)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.status, answer.body, answer.whole) == (200, events(1, 2), False)
        assert world.admission.in_flight == 0

    play(scenario)


# Guards against review case 2: the body of a failure response joined to the events of another server.
@pytest.mark.parametrize("status", [304, 400, 404, 410, 422, 451, 501, 507])
def test_a_failure_response_never_continues_a_stream(status: int) -> None:
    async def scenario(world: World) -> None:
        async def answer_failure(side: ServerSide, seen: ReceivedRequest) -> None:
            body = b"" if status == 304 else b"this cannot be done"
            await side.answer(seen, status, body)

        await world.server(close_inside_an_event)
        second, third = await world.server(answer_failure), await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.status, answer.body, answer.whole) == (200, events(1, 2), False)
        assert answer.headers["response-signature"] == "sig-r1"
        assert (len(second.seen), len(third.seen)) == (1, 0)
        assert second.seen[0].headers["last-event-id"] == "2"
        assert world.admission.outcomes == ["broken", "completed"]
        assert world.listener.responses["broken_off"] == 1

    play(scenario)


@pytest.mark.parametrize("status", [304, 404, 422, 507])
def test_a_failure_response_is_forwarded_unchanged_if_nothing_was_forwarded_before(status: int) -> None:
    async def scenario(world: World) -> None:
        body = b"" if status == 304 else b"this cannot be done"

        async def answer_failure(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, status, body)

        await world.server(send_head_only)
        await world.server(answer_failure)
        client = await world.client()
        await client.send(request("/again/1"))
        raw_head = await client.reader.readuntil(b"\r\n\r\n")
        assert raw_head.startswith(b"HTTP/1.1 %d " % status)
        assert b"response-signature: sig-r1" in raw_head.lower()
        assert await client.reader.readexactly(len(body)) == body

    play(scenario)


def test_a_stream_resumed_by_the_client_continues_from_there() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1", Last_Event_Id="3")
        assert (answer.body, answer.whole) == (events(4, 5), True)
        assert server.seen[0].headers["last-event-id"] == "3"

    play(scenario)


# Guards against events joined to a body that is no stream, when the client itself had sent `Last-Event-Id`.
@pytest.mark.parametrize("length_known", [False, True])
def test_a_partly_forwarded_body_is_never_continued_by_a_stream(length_known: bool) -> None:
    async def scenario(world: World) -> None:
        body = b"x" * (attempt.BUFFERED_BODY_BYTES + 1)

        async def cut_long_body(side: ServerSide, seen: ReceivedRequest) -> None:
            if length_known:
                await side.write(head(seen, 200, len(body) + 100) + body)
            else:
                await side.write(head(seen, 200, None, Transfer_Encoding="chunked") + chunk(body))
            side.close()

        await world.server(cut_long_body)
        second = await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1", Last_Event_Id="3")
        assert (answer.status, answer.body, answer.whole) == (200, body, False)
        assert not second.seen

    play(scenario)


# Guards against a stream that is continued from an older position than that of its last event.
def test_a_stream_is_not_continued_after_an_event_without_an_id() -> None:
    async def scenario(world: World) -> None:
        async def cut_after_an_event_without_id(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1) + b"data: text 2\n\n"))
            side.close()

        await world.server(cut_after_an_event_without_id)
        second = await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.body, answer.whole) == (event(1) + b"data: text 2\n\n", False)
        assert not second.seen

    play(scenario)


def test_a_stream_is_continued_after_a_comment() -> None:
    async def scenario(world: World) -> None:
        async def cut_after_a_comment(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1) + b": still here\n\n"))
            side.close()

        await world.server(cut_after_a_comment)
        await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.body, answer.whole) == (event(1) + b": still here\n\n" + events(2, 3, 4, 5), True)

    play(scenario)


def test_a_duplicate_event_breaks_the_stream() -> None:
    async def scenario(world: World) -> None:
        async def duplicate_event(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.stream(seen, (1, 2, 2, 3))

        await world.server(duplicate_event)
        answer = await (await world.client()).ask("/live/1")
        assert (answer.body, answer.whole) == (events(1, 2), False)

    play(scenario)


# ------------------------------------------------------------------- clients and deadlines


@pytest.mark.parametrize("path", ["/live/1", "/plain/1"])
def test_a_client_that_disconnects_ends_the_servers_work(path: str) -> None:
    async def scenario(world: World) -> None:
        ended = asyncio.Event()

        async def stream_until_closed(side: ServerSide, seen: ReceivedRequest) -> None:
            if path == "/live/1":
                await side.write(stream_head(seen) + chunk(event(1)))
            await side.wait_closed()
            ended.set()

        server = await world.server(stream_until_closed)
        client = await world.client()
        await client.send(request(path))
        await server.arrived.wait()
        client.close()
        await ended.wait()
        await until(lambda: world.admission.outcomes == ["cancelled"])
        await until(lambda: world.pool.size(server.id) == 0)

    play(scenario)


def test_a_slow_reader_blocks_its_own_server_only() -> None:
    async def scenario(world: World) -> None:
        text = b"x" * 20_000
        chunks_sent = 0

        async def flood(side: ServerSide, seen: ReceivedRequest) -> None:
            nonlocal chunks_sent
            await side.write(stream_head(seen))
            for number in range(1, 2001):
                await side.write(chunk(b"id: %d\ndata: " % number + text + b"\n\n"))
                chunks_sent = number
            await side.write(b"0\r\n\r\n")

        await world.server(flood, answer_ok)
        slow, quick = await world.client(), await world.client()
        await slow.send(request("/long/1"))
        await until(lambda: chunks_sent > 10)
        seen_last = -1
        while seen_last != chunks_sent:
            seen_last = chunks_sent
            assert (await quick.ask("/live/2", request_id="r2")).whole
        assert chunks_sent < 2000
        answer = await slow.receive()
        assert answer.whole
        assert len(answer.body) > 2000 * len(text)

    routes = (
        route("/long/", RouteType.STREAMING, timeout_ms=20_000.0),
        route("/live/", RouteType.STREAMING),
    )
    play(scenario, lambda: World(routes))


@pytest.mark.parametrize("headers", [{}, {"Deadline_Ms": "150"}])
def test_a_request_in_progress_is_cancelled_at_its_deadline(headers: dict[str, str]) -> None:
    async def scenario(world: World) -> None:
        async def silent(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.wait_closed()

        await world.server(silent)
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await (await world.client()).ask("/short/1", **headers)
        assert answer.status == 504
        assert 0.14 < loop.time() - began < 0.45
        assert world.admission.outcomes == ["cancelled"]

    play(scenario)


def test_a_stream_in_progress_is_aborted_at_its_deadline() -> None:
    async def scenario(world: World) -> None:
        async def send_first_event(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)))
            await side.wait_closed()

        await world.server(send_first_event)
        answer = await (await world.client()).ask(Deadline_Ms="150")
        assert (answer.status, answer.body, answer.whole) == (200, events(1), False)

    play(scenario)


def test_a_deadline_before_anything_was_sent_guarantees_not_executed() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(answer_ok)

        async def never(server_id: str, address: str, request_id: bytes, verify: bool) -> None:
            await asyncio.Event().wait()

        world.pool.acquire = never  # type: ignore[method-assign, assignment]
        answer = await (await world.client()).ask("/short/1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert not server.seen

    play(scenario)


@pytest.mark.parametrize("path", IDEMPOTENT_PATHS)
def test_a_request_at_an_unresponsive_server_is_retried_at_another(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(execution, "LIVE_RESPONSE_TIMEOUTS", ResponseTimeouts(0.1, 0.2))

    async def scenario(world: World) -> None:
        async def silent(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.wait_closed()

        await world.server(silent)
        await world.server(answer_ok)
        answer = await (await world.client()).ask(path)
        assert (answer.status, answer.body) == (200, events(1, 2))
        assert world.admission.outcomes == ["silent", "completed"]

    play(scenario)


def test_a_silent_stream_continues_at_another_server(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(execution, "LIVE_RESPONSE_TIMEOUTS", ResponseTimeouts(0.1, 0.2))

    async def scenario(world: World) -> None:
        async def send_first_event(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1) + event(2)))
            await side.wait_closed()

        await world.server(send_first_event)
        await world.server(continue_stream)
        answer = await (await world.client()).ask("/again/1")
        assert (answer.body, answer.whole) == (events(1, 2, 3, 4, 5), True)

    play(scenario)


def test_a_server_has_no_more_connections_than_this_gateways_limit() -> None:
    async def scenario(world: World) -> None:
        may_continue = asyncio.Event()

        async def wait_and_stream(side: ServerSide, seen: ReceivedRequest) -> None:
            await may_continue.wait()
            await side.stream(seen, (1,))

        world.directory.gateway_count = 40  # of 100 connections, two per gateway
        first, second = await world.server(wait_and_stream), await world.server(answer_ok)
        clients = [await world.client() for _ in range(4)]
        for number, client in enumerate(clients):
            await client.send(request(request_id=f"r{number}"))
        await until(lambda: len(second.seen) == 2)
        assert first.connections == 2
        may_continue.set()
        answers = [await client.receive() for client in clients]
        assert all(answer.whole for answer in answers)

    play(scenario)
