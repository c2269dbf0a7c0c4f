"""Requests that failed, and those whose clients left, are released at once, and not by a garbage collection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import pytest
from gateway_world import ReceivedRequest, Script, ServerSide, World, play, request, until
from released_objects import released_at_once

from emberring.admission.types import Refused
from emberring.gateway.attempt import UpstreamCall
from emberring.gateway.messages import ClientRequest

REPEATS = 10
BODY = b"x" * 300_000  # more than the listener buffers


async def close_at_once(side: ServerSide, seen: ReceivedRequest) -> None:
    side.close()


async def answer_500(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 500)


async def answer_503(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.answer(seen, 503, Not_Executed="1")


async def send_nothing(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.wait_closed()


async def ask(world: World, path: str) -> None:
    client = await world.client()
    await client.ask(path, body=BODY)
    client.close()


async def be_refused(world: World, path: str) -> None:
    world.admission.script.append(Refused(0.1))
    await ask(world, path)


async def leave_while_sending(world: World, path: str) -> None:
    client = await world.client()
    accepted = world.listener.accepted
    await client.send(request(path, body=BODY)[: len(BODY) // 2])
    await until(lambda: world.listener.accepted >= accepted)
    client.close()


async def leave_while_waiting(world: World, path: str) -> None:
    client = await world.client()
    began = world.admission.in_flight
    await client.send(request(path, body=BODY))
    await until(lambda: world.admission.in_flight > began)
    client.close()
    await until(lambda: world.admission.in_flight == began)


# Guards against bodies of failed requests that stay in memory until the process is over its limit.
@pytest.mark.parametrize(
    ("fail", "path", "script"),
    [
        (be_refused, "/live/1", answer_500),
        (ask, "/live/1", close_at_once),
        (ask, "/plain/1", close_at_once),
        (ask, "/live/1", answer_500),
        (ask, "/live/1", answer_503),
        (ask, "/short/1", send_nothing),
        (ask, "/lots/1", answer_500),
        (leave_while_sending, "/live/1", answer_500),
        (leave_while_sending, "/lots/1", answer_500),
        (leave_while_waiting, "/live/1", send_nothing),
    ],
)
def test_a_failed_request_is_not_in_memory(
    fail: Callable[[World, str], Awaitable[None]], path: str, script: Script
) -> None:
    async def scenario(world: World) -> None:
        await world.server(*[script] * REPEATS)
        await world.server(*[script] * REPEATS)
        async with released_at_once(ClientRequest, UpstreamCall):
            for _ in range(REPEATS):
                await fail(world, path)
            await until(lambda: not world.listener.connections)

    play(scenario)
