"""Servers with random faults and requests of all kinds: the rules of the responses always hold.

The source text of the tests seeds the random cases (derandomized Hypothesis): their names stay as they are.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
from gateway_world import (
    Received,
    ReceivedRequest,
    ScriptedServer,
    ServerSide,
    World,
    chunk,
    event,
    head,
    play,
    request,
    stream_head,
)
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

LAST = 4  # id of the last event of a complete stream
PATHS = ("/live/1", "/again/1", "/plain/1", "/once/1")
MAX_ATTEMPTS = 2


@attrs.frozen
class Behaviour:
    """What a server does with a request."""

    kind: str
    at: int = 0  # events before the connection is closed
    duplicate: bool = False  # a duplicate of the response follows later


KINDS = (
    "whole",
    "cut",
    "cut_inside",
    "reset",
    "reset_after_run",
    "full",
    "wrong",
    "error",
    "impossible",
    "not_found",
    "no_storage",
    "garble",
    "garble_inside",
    "unsigned",
    "bare_503",
    "close_after",
    "nothing",
)
NOT_RUN = frozenset(("full", "wrong"))
FAILURE_STATUSES = {"error": 500, "impossible": 422, "not_found": 404, "no_storage": 507}
FAILURE_BODY = b"this cannot be done"
BEHAVIOURS = st.builds(Behaviour, st.sampled_from(KINDS), st.integers(0, LAST), st.booleans())


def signature(server: str, seen: ReceivedRequest) -> str:
    return f"{server}/{seen.headers['request-id']}"


class Server:
    """A server that follows a list of behaviours and records the requests that it executes."""

    def __init__(self, name: str, behaviours: list[Behaviour], runs: list[tuple[str, str, int]]) -> None:
        self.name, self.behaviours, self.runs = name, behaviours, runs
        self.late: bytes = b""

    async def __call__(self, side: ServerSide, seen: ReceivedRequest) -> None:
        behaviour = self.behaviours.pop(0) if self.behaviours else Behaviour("whole")
        after = int(seen.headers.get("last-event-id", "0"))
        if behaviour.kind not in NOT_RUN:
            self.runs.append((seen.headers["request-id"], self.name, after))
        late, self.late = self.late, b""
        if late:
            await side.write(late)
        await self._follow(behaviour, side, seen, after)
        if behaviour.duplicate and behaviour.kind == "whole":
            self.late = await self._whole_bytes(seen, after)
        elif behaviour.duplicate and behaviour.kind in FAILURE_STATUSES:
            self.late = self._failure(behaviour.kind, seen)

    def _failure(self, kind: str, seen: ReceivedRequest) -> bytes:
        status, name = FAILURE_STATUSES[kind], signature(self.name, seen)
        return head(seen, status, len(FAILURE_BODY), Response_Signature=name) + FAILURE_BODY

    async def _whole_bytes(self, seen: ReceivedRequest, after: int) -> bytes:
        name = signature(self.name, seen)
        if b" /live" not in seen.start and b" /again" not in seen.start:
            body = b"body of " + seen.headers["request-id"].encode()
            return head(seen, 200, len(body), Response_Signature=name) + body
        data = b"".join(chunk(event(number)) for number in range(after + 1, LAST + 1))
        return stream_head(seen, Response_Signature=name) + data + b"0\r\n\r\n"

    async def _follow(
        self, behaviour: Behaviour, side: ServerSide, seen: ReceivedRequest, after: int
    ) -> None:
        whole = await self._whole_bytes(seen, after)
        head_bytes, _, rest = whole.partition(b"\r\n\r\n")
        part = head_bytes + b"\r\n\r\n" + rest[: len(rest) * behaviour.at // (LAST + 1)]
        match behaviour.kind:
            case "whole":
                await side.write(whole)
            case "close_after":
                await side.write(whole.replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
                side.close()
            case "cut":
                await side.write(part)
                side.close()
            case "cut_inside":
                await side.write(whole[: len(whole) - 7])
                side.close()
            case "reset" | "reset_after_run":
                side.reset()
            case "full":
                await side.write(head(seen, 503, 0, signed=False, Not_Executed="1"))
            case "wrong":
                await side.write(head(seen, 421, 0, signed=False, Instance_Id=self.name))
            case "error" | "impossible" | "not_found" | "no_storage":
                await side.write(self._failure(behaviour.kind, seen))
            case "garble":
                await side.write(b"\x16\x03\x01 junk\r\n\r\n")
                side.close()
            case "garble_inside":
                # Invalid bytes within `Content-Length` cannot be distinguished from a body; within chunks they can.
                await side.write(part + (b"zz\r\njunk" if b"chunked" in head_bytes else b""))
                side.close()
            case "unsigned":
                await side.write(head(seen, 200, 2, signed=False) + b"ok")
            case "bare_503":
                await side.write(head(seen, 503, 0, signed=False))
            case "nothing":
                side.close()


def check(path: str, request_id: str, answer: Received, runs: list[tuple[str, str, int]]) -> None:
    """Assert the rules for the response to one request."""
    own_runs = [run for run in runs if run[0] == request_id]
    idempotent = path.startswith(("/again", "/plain"))
    assert len(own_runs) <= (MAX_ATTEMPTS if idempotent else 1), "TWICE or BUDGET"
    if answer.status in (408, 421, 429, 503):
        assert answer.whole
        assert idempotent or not own_runs, "REFUSED"
        assert "response-signature" not in answer.headers
        return
    if answer.status == 200:
        server = answer.headers["response-signature"]
        assert server == f"{own_runs[0][1]}/{request_id}" or idempotent, "MIXED"
        assert server.endswith("/" + request_id), "MIXED"
        check_body(path, request_id, answer)
    elif answer.status in FAILURE_STATUSES.values():
        assert answer.headers["response-signature"].endswith("/" + request_id)
        assert (answer.body, answer.whole) == (FAILURE_BODY, True), "MIXED"
    else:
        assert answer.status == 502
        assert "response-signature" not in answer.headers


def check_body(path: str, request_id: str, answer: Received) -> None:
    if path.startswith(("/live", "/again")):
        event_count = answer.body.count(b"\n\n")
        assert answer.body == b"".join(event(number) for number in range(1, event_count + 1)), "ORDER"
        assert not answer.whole or event_count == LAST, "ORDER"
    else:
        whole = b"body of " + request_id.encode()
        assert answer.body == whole or (not answer.whole and whole.startswith(answer.body)), "MIXED"


@settings(max_examples=120, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.lists(BEHAVIOURS, max_size=12), min_size=1, max_size=3),
    st.lists(st.tuples(st.sampled_from(PATHS), st.integers(0, 1)), min_size=1, max_size=16),
)
def test_rules_hold_with_servers_that_misbehave(
    behaviours: list[list[Behaviour]], asked: list[tuple[str, int]]
) -> None:
    async def story(world: World) -> None:
        runs: list[tuple[str, str, int]] = []
        for number, todo in enumerate(behaviours):
            name = f"i-{number}"
            server: ScriptedServer = await world.server(Server(name, list(todo), runs), name=name)
            assert server.id == name
        clients = [await world.client(), await world.client()]
        for number, (path, at) in enumerate(asked):
            answer = await clients[at].ask(path, request_id=f"r{number}")
            if not answer.whole:
                clients[at].close()
                clients[at] = await world.client()
            check(path, f"r{number}", answer, runs)
        assert world.admission.in_flight == 0

    play(story)


@settings(max_examples=40, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(st.lists(BEHAVIOURS, max_size=12), min_size=2, max_size=3),
    st.lists(st.sampled_from(PATHS), max_size=10),
)
def test_rules_hold_for_requests_at_the_same_time(
    behaviours: list[list[Behaviour]], paths: list[str]
) -> None:
    async def story(world: World) -> None:
        runs: list[tuple[str, str, int]] = []
        for number, todo in enumerate(behaviours):
            await world.server(Server(f"i-{number}", list(todo), runs), name=f"i-{number}")
        clients = [await world.client() for _ in paths]
        for number, (client, path) in enumerate(zip(clients, paths, strict=True)):
            await client.send(request(path, request_id=f"r{number}"))
        answers = await asyncio.gather(*[client.receive() for client in clients])
        for number, (path, answer) in enumerate(zip(paths, answers, strict=True)):
            check(path, f"r{number}", answer, runs)
        assert Counter(run[0] for run in runs).keys() <= {f"r{number}" for number in range(len(paths))}
        assert world.admission.in_flight == 0

    play(story)
