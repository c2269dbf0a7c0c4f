"""Attempts of batch items (request, events, outcome), and responses of the batch interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
import pytest
from gateway_world import (
    PATIENCE_S,
    ReceivedRequest,
    Script,
    ServerSide,
    World,
    chunk,
    event,
    head,
    play,
    request,
    route,
    stream_head,
)

from emberring.admission.types import Refused
from emberring.configuration.model import Route, RouteType
from emberring.errors import (
    EmberringError,
    NotFoundError,
    NotReadyError,
    PeerTimeoutError,
    QuotaExceededError,
    UnknownOutcomeError,
)
from emberring.gateway import execution, jobs_api
from emberring.gateway.response import ResponseTimeouts
from emberring.jobs.items import ItemCall, ItemEvent, OutcomeKind

ROUTE = route("/lots/", RouteType.BATCH)
SHORT_TIMEOUTS = ResponseTimeouts(0.1, 0.2)


def item(resume_after: int | None = None, allowed: Callable[[], bool] = lambda: True) -> ItemCall:
    return ItemCall(
        id="item1",
        host="bank.example",
        path="/lots/3/91c4?q=1",
        headers=(("Model", "m"), ("Token-Count", "5,6"), ("Prefix-Hash", "aa:3,bb:2")),
        body=b"\x00prompt",
        resume_after=resume_after,
        tokens=11,
        route=ROUTE,
        due_s=1e9,
        still_allowed=allowed,
    )


async def stream_to_three(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.stream(seen, range(int(seen.headers.get("last-event-id", "0")) + 1, 4))


async def close_after_two_events(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(stream_head(seen) + chunk(event(1) + event(2) + event(3)[:5]))
    side.close()


async def answer_500(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 500)


async def answer_422(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 422)


async def answer_504(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 504)


async def answer_404(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 404)


async def answer_without_stream(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 200, b"plain")


async def answer_503_not_executed(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503, Not_Executed="1")


async def answer_503_without_guarantee(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503)


async def send_invalid_bytes(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"\x01\x02\r\n\r\n")


async def send_nothing(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.wait_closed()


@pytest.mark.parametrize(
    ("script", "kind", "ids"),
    [
        (stream_to_three, OutcomeKind.COMPLETED, [1, 2, 3]),
        (close_after_two_events, OutcomeKind.BROKEN, [1, 2]),
        (answer_500, OutcomeKind.FAILED_500, []),
        (answer_422, OutcomeKind.IMPOSSIBLE_422, []),
        (answer_504, OutcomeKind.BROKEN, []),
        (answer_404, OutcomeKind.BROKEN, []),
        (answer_without_stream, OutcomeKind.BROKEN, []),
        (answer_503_without_guarantee, OutcomeKind.BROKEN, []),
        (send_invalid_bytes, OutcomeKind.BROKEN, []),
        (send_nothing, OutcomeKind.BROKEN, []),
        (answer_503_not_executed, OutcomeKind.NOT_RUN, []),
    ],
)
def test_the_outcome_of_an_attempt(
    script: Script, kind: OutcomeKind, ids: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Short timeouts only for the script that needs them, so that load does not fail the others.
    monkeypatch.setattr(
        execution,
        "ITEM_RESPONSE_TIMEOUTS",
        SHORT_TIMEOUTS if script is send_nothing else ResponseTimeouts(PATIENCE_S, PATIENCE_S),
    )

    async def scenario(world: World) -> None:
        first, second = await world.server(script), await world.server(stream_to_three)
        received: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(), received.extend)
        assert outcome.kind is kind
        assert received == [ItemEvent(number, f"text {number}") for number in ids]
        assert (len(first.seen), len(second.seen)) == (1, 0)
        assert world.admission.in_flight == 0

    play(scenario)


def test_the_request_of_an_item() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_to_three)
        await world.executor.run_item(item(), lambda events: None)
        (seen,) = server.seen
        assert seen.start == b"POST /lots/3/91c4?q=1 HTTP/1.1"
        assert seen.body == b"\x00prompt"
        names = ("request-id", "model", "host", "expected-instance", "last-event-id", "deadline-ms")
        assert [seen.headers.get(name) for name in names] == [
            "item1",
            "m",
            "bank.example",
            server.id,
            None,
            None,
        ]
        (info,) = world.admission.calls
        assert (info.batch, info.tokens_in, info.tokens_out, len(info.parts)) == (True, 5, 6, 2)

    play(scenario)


# Guards against an owner of an older version that leases an item whose header holds another request.
@pytest.mark.parametrize(
    "change",
    [
        {"headers": (("Note", "a\r\nContent-Length: 0\r\n\r\nPOST / HTTP/1.1"),)},
        {"headers": (("Note", "\u0416"),)},
        {"path": "/lots/\u0416"},
        {"id": "\u0416"},
    ],
)
def test_an_item_that_can_not_be_sent_is_impossible_and_reaches_no_server(change: dict[str, Any]) -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_to_three)
        outcome = await world.executor.run_item(attrs.evolve(item(), **change), lambda events: None)
        assert outcome.kind is OutcomeKind.IMPOSSIBLE_422
        assert not server.seen
        assert world.admission.in_flight == 0

    play(scenario)


def test_an_item_continues_after_the_stored_events() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_to_three)
        received: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(resume_after=2), received.extend)
        assert outcome.kind is OutcomeKind.COMPLETED
        assert [event.id for event in received] == [3]
        assert server.seen[0].headers["last-event-id"] == "2"

    play(scenario)


# Guards against the body of a failure in the text of a batch item that another server had begun.
@pytest.mark.parametrize(
    ("status", "kind"),
    [(404, OutcomeKind.BROKEN), (422, OutcomeKind.IMPOSSIBLE_422), (500, OutcomeKind.FAILED_500)],
)
def test_a_failure_response_adds_nothing_to_a_continued_item(status: int, kind: OutcomeKind) -> None:
    async def scenario(world: World) -> None:
        async def answer_with_events(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, status, event(3), Content_Type="text/event-stream")

        server = await world.server(answer_with_events)
        received: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(resume_after=2), received.extend)
        assert (outcome.kind, received) == (kind, [])
        assert server.seen[0].headers["last-event-id"] == "2"

    play(scenario)


def test_a_late_duplicate_of_a_failure_is_not_taken_for_the_next_attempt() -> None:
    async def scenario(world: World) -> None:
        async def answer_500_first(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 500)

        async def late_duplicate_first(side: ServerSide, seen: ReceivedRequest) -> None:
            if seen.connection == 1:
                await side.answer(seen, 500)
            await side.stream(seen, (1, 2, 3))

        await world.server(answer_500_first, late_duplicate_first)
        assert (await world.executor.run_item(item(), lambda events: None)).kind is OutcomeKind.FAILED_500
        assert (await world.executor.run_item(item(), lambda events: None)).kind is OutcomeKind.COMPLETED

    play(scenario)


def test_an_attempt_from_the_start_is_not_joined_to_stored_events() -> None:
    async def scenario(world: World) -> None:
        async def from_the_start(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.stream(seen, (1, 2, 3))

        await world.server(from_the_start)
        received: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(resume_after=2), received.extend)
        assert (outcome.kind, received) == (OutcomeKind.BROKEN, [])

    play(scenario)


async def answer_421(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 421, Not_Executed="1")


# Guards against items that no server can run for what their client sent, and which are run again at once and for ever.
@pytest.mark.parametrize(
    ("script", "kind", "declined"),
    [
        (answer_421, OutcomeKind.NOT_RUN, True),
        (answer_404, OutcomeKind.BROKEN, True),
        (answer_500, OutcomeKind.FAILED_500, False),
        (answer_504, OutcomeKind.BROKEN, False),
        (answer_503_not_executed, OutcomeKind.NOT_RUN, False),
        (close_after_two_events, OutcomeKind.BROKEN, False),
        (stream_to_three, OutcomeKind.COMPLETED, False),
    ],
)
def test_an_item_is_declined_by_a_server_that_could_run_others(
    script: Script, kind: OutcomeKind, declined: bool
) -> None:
    async def scenario(world: World) -> None:
        await world.server(script)
        outcome = await world.executor.run_item(item(), lambda events: None)
        assert (outcome.kind, outcome.declined) == (kind, declined)

    play(scenario)


def test_an_item_that_is_no_longer_allowed_is_not_sent() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_to_three)
        outcome = await world.executor.run_item(item(allowed=lambda: False), lambda events: None)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert not server.seen

    play(scenario)


def test_an_item_that_admission_refuses_was_not_executed() -> None:
    async def scenario(world: World) -> None:
        server = await world.server(stream_to_three)
        world.admission.script.append(Refused(0.1))
        outcome = await world.executor.run_item(item(), lambda events: None)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert not server.seen
        assert world.executor.batch_capacity() == {"s": world.admission.free}

    play(scenario)


def test_a_cancelled_item_ends_at_its_server() -> None:
    async def scenario(world: World) -> None:
        ended = asyncio.Event()

        async def stream_until_closed(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)))
            await side.wait_closed()
            ended.set()

        server = await world.server(stream_until_closed)
        task = asyncio.create_task(world.executor.run_item(item(), lambda events: None))
        await server.arrived.wait()
        task.cancel()
        await ended.wait()
        assert world.admission.outcomes == ["cancelled"]

    play(scenario)


# -------------------------------------------------------------------------- the batch interface


class FakeJobs:
    """A client of the store nodes that records its calls and fails or hangs if the test requests it."""

    def __init__(self, error: EmberringError | None = None, hang: bool = False) -> None:
        self.error, self.hang = error, hang
        self.calls: list[tuple[object, ...]] = []

    async def _record_call(self, *call: object) -> None:
        self.calls.append(call)
        if self.hang:
            await asyncio.Event().wait()
        if self.error is not None:
            raise self.error

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        await self._record_call("submit", host, route.name, job, body)

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        await self._record_call("read", host, job, start_after, wait_ms)
        return b'{"Total":0}'

    async def item(self, host: str, job: str, item: str) -> bytes:
        await self._record_call("item", host, job, item)
        return b"\x00bytes"

    async def end(self, host: str, job: str) -> None:
        await self._record_call("end", host, job)


def with_jobs(jobs: FakeJobs) -> Callable[[], World]:
    def new_world() -> World:
        world = World((route("/lots/", RouteType.BATCH, timeout_ms=300.0), route("/", RouteType.IDEMPOTENT)))
        world.jobs = jobs
        return world

    return new_world


HOST = "bank.example"
SUBMIT = request("/lots/7c", request_id="lot1", body=b'{"Requests":[]}')
READ = request("/v1/lots/lot1?StartAfter=12", method="GET", body=b"", Wait_Ms="1000")
ITEM = request("/v1/items/lot1?Id=e5b", method="GET", body=b"")
END = request("/v1/lots/lot1", method="DELETE", body=b"")


@pytest.mark.parametrize(
    ("data", "status", "body", "call"),
    [
        (SUBMIT, 202, b"{}", ("submit", HOST, "lots", "lot1", b'{"Requests":[]}')),
        (READ, 200, b'{"Total":0}', ("read", HOST, "lot1", 12, 1000.0)),
        (ITEM, 200, b"\x00bytes", ("item", HOST, "lot1", "e5b")),
        (END, 200, b"{}", ("end", HOST, "lot1")),
    ],
)
def test_calls_of_the_batch_interface(
    data: bytes, status: int, body: bytes, call: tuple[object, ...]
) -> None:
    jobs = FakeJobs()

    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(data)
        answer = await client.receive()
        assert (answer.status, answer.body) == (status, body)
        assert jobs.calls == [call]

    play(scenario, with_jobs(jobs))


@pytest.mark.parametrize(
    ("data", "error", "status", "retryable"),
    [
        (SUBMIT, QuotaExceededError(), 429, True),
        (SUBMIT, NotReadyError(), 503, True),
        (SUBMIT, UnknownOutcomeError(), 504, False),
        (SUBMIT, PeerTimeoutError(), 504, False),
        (READ, NotFoundError(), 404, False),
        (READ, UnknownOutcomeError(), 503, True),
        (READ, PeerTimeoutError(), 503, True),
        (ITEM, NotFoundError(), 404, False),
        (ITEM, NotReadyError(), 503, True),
        (END, NotFoundError(), 404, False),
        (END, UnknownOutcomeError(), 504, False),
        (END, NotReadyError(), 503, True),
    ],
)
def test_failures_of_the_batch_interface(
    data: bytes, error: EmberringError, status: int, retryable: bool
) -> None:
    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(data)
        answer = await client.receive()
        assert answer.status == status
        assert ("retry-after" in answer.headers) == retryable

    play(scenario, with_jobs(FakeJobs(error)))


@pytest.mark.parametrize(("data", "status"), [(SUBMIT, 504), (READ, 503), (ITEM, 503), (END, 504)])
def test_stores_that_never_answer(data: bytes, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("READ_MARGIN_S", "CANCEL_TIMEOUT_S"):
        monkeypatch.setattr(jobs_api, name, 0.1)
    monkeypatch.setattr(jobs_api, "MAX_WAIT_MS", 50.0)

    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == status

    play(scenario, with_jobs(FakeJobs(hang=True)))


@pytest.mark.parametrize(
    "data",
    [
        request("/v1/lots/lot1?StartAfter=x", method="GET", body=b""),
        request("/v1/items/lot1", method="GET", body=b""),
        request("/lots/7c", request_id=""),
    ],
)
def test_invalid_requests(data: bytes) -> None:
    jobs = FakeJobs()

    async def scenario(world: World) -> None:
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == 400
        assert not jobs.calls

    play(scenario, with_jobs(jobs))


def test_a_complete_response_without_events_completes_nothing() -> None:
    async def scenario(world: World) -> None:
        async def answer_without_body(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(head(seen, 200, 0))

        await world.server(answer_without_body)
        outcome = await world.executor.run_item(item(), lambda events: None)
        assert outcome.kind is OutcomeKind.BROKEN

    play(scenario)
