"""Batch items at the servers: request, events and outcome of an attempt; responses of the batch interface."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
SHORT = ResponseTimeouts(0.1, 0.2)


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


async def three(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.stream(seen, range(int(seen.headers.get("last-event-id", "0")) + 1, 4))


async def two_and_a_break(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(stream_head(seen) + chunk(event(1) + event(2) + event(3)[:5]))
    side.close()


async def fail(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 500)


async def impossible(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 422)


async def out_of_time(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 504)


async def odd(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 404)


async def no_stream(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 200, b"plain")


async def full(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503, Not_Executed="1")


async def unpromised(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503)


async def garble(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.write(b"\x01\x02\r\n\r\n")


async def silent(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.gone()


@pytest.mark.parametrize(
    ("script", "kind", "ids"),
    [
        (three, OutcomeKind.COMPLETED, [1, 2, 3]),
        (two_and_a_break, OutcomeKind.BROKEN, [1, 2]),
        (fail, OutcomeKind.FAILED_500, []),
        (impossible, OutcomeKind.IMPOSSIBLE_422, []),
        (out_of_time, OutcomeKind.BROKEN, []),
        (odd, OutcomeKind.BROKEN, []),
        (no_stream, OutcomeKind.BROKEN, []),
        (unpromised, OutcomeKind.BROKEN, []),
        (garble, OutcomeKind.BROKEN, []),
        (silent, OutcomeKind.BROKEN, []),
        (full, OutcomeKind.NOT_RUN, []),
    ],
)
def test_the_outcome_of_an_attempt(
    script: Script, kind: OutcomeKind, ids: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Only silence is to be found out soon.
    monkeypatch.setattr(
        execution,
        "ITEM_RESPONSE_TIMEOUTS",
        SHORT if script is silent else ResponseTimeouts(PATIENCE_S, PATIENCE_S),
    )

    async def story(world: World) -> None:
        first, second = await world.server(script), await world.server(three)
        found: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(), found.extend)
        assert outcome.kind is kind
        assert found == [ItemEvent(number, f"text {number}") for number in ids]
        assert (len(first.seen), len(second.seen)) == (1, 0)
        assert world.admission.in_flight == 0

    play(story)


def test_the_request_of_an_item() -> None:
    async def story(world: World) -> None:
        server = await world.server(three)
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

    play(story)


def test_an_item_continues_after_the_stored_events() -> None:
    async def story(world: World) -> None:
        server = await world.server(three)
        found: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(resume_after=2), found.extend)
        assert outcome.kind is OutcomeKind.COMPLETED
        assert [event.id for event in found] == [3]
        assert server.seen[0].headers["last-event-id"] == "2"

    play(story)


def test_a_late_duplicate_of_a_failure_is_not_taken_for_the_next_attempt() -> None:
    async def story(world: World) -> None:
        async def fail_twice(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.answer(seen, 500)

        async def copy_first(side: ServerSide, seen: ReceivedRequest) -> None:
            if seen.connection == 1:
                await side.answer(seen, 500)
            await side.stream(seen, (1, 2, 3))

        await world.server(fail_twice, copy_first)
        assert (await world.executor.run_item(item(), lambda events: None)).kind is OutcomeKind.FAILED_500
        assert (await world.executor.run_item(item(), lambda events: None)).kind is OutcomeKind.COMPLETED

    play(story)


def test_an_attempt_from_the_start_is_not_joined_to_stored_events() -> None:
    async def story(world: World) -> None:
        async def from_the_start(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.stream(seen, (1, 2, 3))

        await world.server(from_the_start)
        found: list[ItemEvent] = []
        outcome = await world.executor.run_item(item(resume_after=2), found.extend)
        assert (outcome.kind, found) == (OutcomeKind.BROKEN, [])

    play(story)


def test_an_item_that_is_no_longer_allowed_is_not_sent() -> None:
    async def story(world: World) -> None:
        server = await world.server(three)
        outcome = await world.executor.run_item(item(allowed=lambda: False), lambda events: None)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert not server.seen

    play(story)


def test_an_item_that_admission_refuses_was_not_executed() -> None:
    async def story(world: World) -> None:
        server = await world.server(three)
        world.admission.script.append(Refused(0.1))
        outcome = await world.executor.run_item(item(), lambda events: None)
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert not server.seen
        assert world.executor.batch_room() == world.admission.batch_places

    play(story)


def test_a_cancelled_item_ends_at_its_server() -> None:
    async def story(world: World) -> None:
        ended = asyncio.Event()

        async def work(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(stream_head(seen) + chunk(event(1)))
            await side.gone()
            ended.set()

        server = await world.server(work)
        task = asyncio.create_task(world.executor.run_item(item(), lambda events: None))
        await server.arrived.wait()
        task.cancel()
        await ended.wait()
        assert world.admission.outcomes == ["cancelled"]

    play(story)


# -------------------------------------------------------------------------- the batch interface


class FakeJobs:
    """Does what a test says, and records its calls."""

    def __init__(self, error: EmberringError | None = None, hang: bool = False) -> None:
        self.error, self.hang = error, hang
        self.asked: list[tuple[object, ...]] = []

    async def _do(self, *asked: object) -> None:
        self.asked.append(asked)
        if self.hang:
            await asyncio.Event().wait()
        if self.error is not None:
            raise self.error

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        await self._do("submit", host, route.name, job, body)

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        await self._do("read", host, job, start_after, wait_ms)
        return b'{"Total":0}'

    async def item(self, host: str, job: str, item: str) -> bytes:
        await self._do("item", host, job, item)
        return b"\x00bytes"

    async def end(self, host: str, job: str) -> None:
        await self._do("end", host, job)


def with_jobs(jobs: FakeJobs) -> Callable[[], World]:
    def make() -> World:
        world = World((route("/lots/", RouteType.BATCH, timeout_ms=300.0), route("/", RouteType.IDEMPOTENT)))
        world.jobs = jobs
        return world

    return make


HOST = "bank.example"
SUBMIT = request("/lots/7c", request_id="lot1", body=b'{"Requests":[]}')
READ = request("/v1/lots/lot1?StartAfter=12", method="GET", body=b"", Wait_Ms="1000")
ITEM = request("/v1/items/lot1?Id=e5b", method="GET", body=b"")
END = request("/v1/lots/lot1", method="DELETE", body=b"")


@pytest.mark.parametrize(
    ("data", "status", "body", "asked"),
    [
        (SUBMIT, 202, b"{}", ("submit", HOST, "lots", "lot1", b'{"Requests":[]}')),
        (READ, 200, b'{"Total":0}', ("read", HOST, "lot1", 12, 1000.0)),
        (ITEM, 200, b"\x00bytes", ("item", HOST, "lot1", "e5b")),
        (END, 200, b"{}", ("end", HOST, "lot1")),
    ],
)
def test_calls_of_the_batch_interface(
    data: bytes, status: int, body: bytes, asked: tuple[object, ...]
) -> None:
    jobs = FakeJobs()

    async def story(world: World) -> None:
        client = await world.client()
        await client.send(data)
        answer = await client.receive()
        assert (answer.status, answer.body) == (status, body)
        assert jobs.asked == [asked]

    play(story, with_jobs(jobs))


@pytest.mark.parametrize(
    ("data", "error", "status", "again"),
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
    data: bytes, error: EmberringError, status: int, again: bool
) -> None:
    async def story(world: World) -> None:
        client = await world.client()
        await client.send(data)
        answer = await client.receive()
        assert answer.status == status
        assert ("retry-after" in answer.headers) == again

    play(story, with_jobs(FakeJobs(error)))


@pytest.mark.parametrize(("data", "status"), [(SUBMIT, 504), (READ, 503), (ITEM, 503), (END, 504)])
def test_stores_that_never_answer(data: bytes, status: int, monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("READ_MARGIN_S", "CANCEL_TIMEOUT_S"):
        monkeypatch.setattr(jobs_api, name, 0.1)
    monkeypatch.setattr(jobs_api, "MAX_WAIT_MS", 50.0)

    async def story(world: World) -> None:
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == status

    play(story, with_jobs(FakeJobs(hang=True)))


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

    async def story(world: World) -> None:
        client = await world.client()
        await client.send(data)
        assert (await client.receive()).status == 400
        assert not jobs.asked

    play(story, with_jobs(jobs))


def test_a_complete_response_without_events_completes_nothing() -> None:
    async def story(world: World) -> None:
        async def empty(side: ServerSide, seen: ReceivedRequest) -> None:
            await side.write(head(seen, 200, 0))

        await world.server(empty)
        outcome = await world.executor.run_item(item(), lambda events: None)
        assert outcome.kind is OutcomeKind.BROKEN

    play(story)
