"""A server crashes while another one fails part of its requests. Every stream must end whole or broken off."""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins.http_client import Call, call
from stand_ins.model_server import EVENTS, event_text
from stand_ins.scenario import HOST, RESUMABLE_PREFIX, Setup, main

SERVERS = 7  # one of them is below the pages' share of 0.15
CLIENTS = 180
GREY_SHARE = 0.4  # of the requests of the server that fails; the pages' dose
ROUNDS = 7
ROUND_S = 5.0  # one server is down so long and one fails so long; then they are replaced and well again
LENGTH_S = (ROUNDS + 1) * ROUND_S
CLIENT_PAUSE_S = 0.05
DEADLINE_S = 5.0


def whole_body(request_id: str) -> bytes:
    """Return the body of a complete answer: all events in order."""
    events = (f"id: {number}\ndata: {event_text(request_id, number)}\n\n" for number in range(1, EVENTS + 1))
    return "".join(events).encode()


async def send_streams(setup: Setup, frontends: list[str], number: int) -> list[str]:
    """Send streams one after the other; return those that looked complete and were not."""
    wrong: list[str] = []
    loop = asyncio.get_running_loop()
    until_s = loop.time() + LENGTH_S
    for frontend in itertools.cycle(frontends[number % len(frontends) :] + frontends):
        if loop.time() >= until_s:
            return wrong
        request_id = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Model": "m",
            "Token-Count": "500,100",
            "Prefix-Hash": f"{request_id}:500",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        request = Call("POST", f"{RESUMABLE_PREFIX}{number}", headers, b"review", DEADLINE_S)
        answer = await call(frontend, request)
        if answer.status == 200 and answer.body != whole_body(request_id):
            setup.note(f"{request_id}: 200, ended as complete, body {answer.body!r}")
            wrong.append(request_id)
        await asyncio.sleep(random.uniform(0, CLIENT_PAUSE_S))
    return wrong


async def disturb(setup: Setup) -> None:
    """In each round let one server crash, and another one fail part of its requests from the same moment on."""
    for _ in range(ROUNDS):
        await asyncio.sleep(ROUND_S / 2)
        crashing, failing = setup.servers.pop(0), setup.servers[0]
        failing.failing_share = GREY_SHARE
        await crashing.stop()
        setup.note(f"{crashing.id} crashes, {failing.id} fails {GREY_SHARE} of its requests")
        await asyncio.sleep(ROUND_S / 2)
        failing.failing_share = 0.0
        await setup.add_servers(1)


async def scenario(setup: Setup, trouble: bool) -> bool:
    """Send streams of a resumable route through the disruption."""
    frontends = setup.tier.frontends
    clients = [asyncio.create_task(send_streams(setup, frontends, number)) for number in range(CLIENTS)]
    if trouble:
        await disturb(setup)
    parts = await asyncio.gather(*clients)
    wrong = [request_id for part in parts for request_id in part]
    setup.note(f"{len(setup.runs)} runs; {len(wrong)} streams ended as complete and were not")
    return not wrong


main(scenario, Path(__file__).resolve().parent, servers=SERVERS)
