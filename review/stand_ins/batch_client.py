"""A client of batch jobs: submits them, reads their results, asks for bodies. It keeps to the pages."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import secrets
from collections import Counter
from typing import Any, NamedTuple

from stand_ins.http_client import Answer, Call, call
from stand_ins.scenario import BATCH_PREFIX, HOST, Setup

ACCEPTED = 202
WAIT_MS = 1000


class Item(NamedTuple):
    """An item of a batch job."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int

    def document(self) -> dict[str, Any]:
        """Return the item as it is submitted."""
        body = base64.b64encode(self.body).decode()
        return {
            "Id": self.id,
            "Path": self.path,
            "Headers": self.headers,
            "Body": body,
            "Tokens": self.tokens,
        }


def make_item(body: bytes, tokens_in: int = 700, tokens_out: int = 100) -> Item:
    """Return an item with an id of its own and the headers that the pages name."""
    item_id = secrets.token_hex(8)
    headers = {
        "Model": "m",
        "Token-Count": f"{tokens_in},{tokens_out}",
        "Prefix-Hash": f"{item_id}:{tokens_in}",
    }
    return Item(item_id, f"{BATCH_PREFIX}{item_id[:4]}", headers, body, tokens_in + tokens_out)


class BatchClient:
    """Sends each call to the next gateway, on a fresh connection."""

    def __init__(self, setup: Setup) -> None:
        self._setup = setup
        self._frontends = itertools.cycle(setup.tier.frontends)

    async def _call(self, request: Call) -> Answer:
        request = request._replace(headers={"Host": HOST, **request.headers})
        return await call(next(self._frontends), request)

    async def submit(self, job: str, items: list[Item], within_s: float = 30.0) -> bool:
        """Submit a batch job, again after a refusal or a silence, until it is accepted."""
        body = json.dumps({"Requests": [item.document() for item in items]}).encode()
        headers = {"Request-Id": job, "Content-Type": "application/json"}
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        while loop.time() < until_s:
            answer = await self._call(Call("POST", f"{BATCH_PREFIX}{job}", headers, body, 8.0))
            self._setup.note(
                f"batch job {job} of {len(items)} items, {len(body)} bytes: answer {answer.status}"
            )
            if answer.status == ACCEPTED:
                return True
            if 400 <= answer.status < 500 and answer.status != 429:
                return False
            await asyncio.sleep(0.3)
        return False

    async def read(self, job: str, start_after: int) -> Answer:
        """Read a page of results."""
        path = f"/v1/lots/{job}?StartAfter={start_after}"
        headers = {"Wait-Ms": str(WAIT_MS)}
        return await self._call(Call("GET", path, headers, timeout_s=WAIT_MS / 1000 + 1.5))

    async def results(self, job: str, count: int, within_s: float) -> list[dict[str, Any]]:
        """Read results until there are `count` of them or the time is over."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + within_s
        found: list[dict[str, Any]] = []
        statuses: Counter[int] = Counter()
        while len(found) < count and loop.time() < until_s:
            answer = await self.read(job, len(found))
            statuses[answer.status] += 1
            if answer.status == 200:
                found += json.loads(answer.body)["Results"]
            await asyncio.sleep(0.3)
        states = [f"{result['Id']} {result['State']}" for result in found]
        self._setup.note(f"batch job {job}: answers by status {dict(statuses)}")
        self._setup.note(f"batch job {job} lists {len(found)} of {count}: {', '.join(states)}")
        return found
