"""An emulated client of batch jobs: submits a job, reads its results from any gateway, and ends it."""

from __future__ import annotations

import asyncio
import base64
import random
import secrets
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import attrs
import orjson

from emberring.emulator.configurations import HOST, JOB_PREFIX
from emberring.emulator.http_calls import CALL_ERRORS, HttpResponse, call_once

RESPONSE_TIMEOUT_S = 2.5
READ_INTERVAL_S = 0.1  # pause after a read without new results
RETRY_PAUSE_S = 0.1
REREAD_SHARE = 0.2  # share of reads that start at a known position, to check that its result is unchanged
WAIT_MS = 1000  # long poll: how long a gateway may delay a response while there are no new results


@attrs.frozen
class JobItem:
    """An item of a batch job."""

    id: str
    path: str
    body: bytes
    prompt_parts: tuple[tuple[str, int], ...]
    output_tokens: int

    @property
    def tokens(self) -> int:
        """The tokens of the prompt plus the maximum tokens of the output."""
        return sum(tokens for _, tokens in self.prompt_parts) + self.output_tokens

    def document(self) -> dict[str, Any]:
        """Return the item as the JSON object that is sent."""
        prompt = self.tokens - self.output_tokens
        headers = {
            "Model": "m",
            "Token-Count": f"{prompt},{self.output_tokens}",
            "Prefix-Hash": ",".join(f"{name}:{tokens}" for name, tokens in self.prompt_parts),
        }
        body = base64.b64encode(self.body).decode()
        return {
            "Id": self.id,
            "Path": self.path,
            "Headers": headers,
            "Body": body,
            "Tokens": self.tokens,
        }


@attrs.frozen
class BatchJob:
    """A batch job with its items in order."""

    id: str
    items: tuple[JobItem, ...]


@attrs.frozen
class JobResult:
    """The result at one position; `state` is `completed` or `dead_letter`."""

    item_id: str
    state: str
    message: str


@attrs.define
class JobHistory:
    """The responses that a client received about a batch job.

    `changed` lists the positions whose result differed between two reads.
    """

    job: BatchJob
    statuses: list[int] = attrs.field(factory=list)
    accepted_s: float = 0.0  # from the first send to the 202
    done_s: float = 0.0  # from the first send to the last result
    total: int = 0
    results: list[JobResult] = attrs.field(factory=list)
    changed: list[int] = attrs.field(factory=list)
    wrong_total_count: int = 0
    failed_reads: int = 0  # reads with status 404 or 410 after the job was accepted

    @property
    def accepted(self) -> bool:
        """Whether the job was accepted."""
        return 202 in self.statuses

    @property
    def complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.results) >= len(self.job.items)


def make_job(items: int, seed: int, output_tokens: int = 40) -> BatchJob:
    """Make a random batch job whose items share the first part of their prompts."""
    rng = random.Random(seed)
    job_items = []
    for _ in range(items):
        item_id = rng.randbytes(8).hex()
        parts = (("5eed01", 300), (item_id, rng.randint(50, 200)))
        path = f"{JOB_PREFIX}{item_id[:4]}"
        job_items.append(JobItem(item_id, path, rng.randbytes(24), parts, output_tokens))
    return BatchJob(secrets.token_hex(8), tuple(job_items))


class JobClient:
    """Submits batch jobs and reads their results. `frontends` returns the gateways' current addresses."""

    def __init__(self, frontends: Callable[[], Sequence[str]], seed: int) -> None:
        self._frontends = frontends
        self._random = random.Random(seed)

    async def submit(self, job: BatchJob, within_s: float = 6.0) -> JobHistory:
        """Submit a job, with retries at random gateways until it is accepted or rejected as invalid."""
        loop = asyncio.get_running_loop()
        history = JobHistory(job)
        started_s = loop.time()
        content = orjson.dumps({"Requests": [item.document() for item in job.items]})
        while loop.time() - started_s < within_s:
            response = await self._call("POST", f"{JOB_PREFIX}{job.id}", content, {"Request-Id": job.id})
            history.statuses.append(response.status if response else 0)
            if response is not None and response.status == 202:
                history.accepted_s = loop.time() - started_s
                break
            if response is not None and response.status in (400, 404, 413):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return history

    async def follow(self, history: JobHistory, within_s: float) -> JobHistory:
        """Read results until the job is complete or `within_s` seconds have passed."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not history.complete and loop.time() - started_s < within_s:
            start = len(history.results)
            if start and self._random.random() < REREAD_SHARE:
                start = self._random.randrange(start)
            known = len(history.results)
            await self.read(history, start)
            if len(history.results) == known:
                await asyncio.sleep(READ_INTERVAL_S)
        history.done_s = history.accepted_s + loop.time() - started_s
        return history

    async def read(self, history: JobHistory, start_after: int) -> bool:
        """Read one page of results into the history. Returns whether a page was received."""
        path = f"/v1/lots/{history.job.id}?StartAfter={start_after}"
        response = await self._call("GET", path, b"", {"Wait-Ms": str(WAIT_MS)})
        if response is None:
            return False
        if response.status != 200:
            history.failed_reads += response.status in (404, 410)
            return False
        _record_page(history, start_after, orjson.loads(response.body))
        return True

    async def read_body(self, job: BatchJob, item_id: str) -> HttpResponse | None:
        """Read the body of an item that has no result yet."""
        return await self._call("GET", f"/v1/items/{job.id}?Id={quote(item_id)}", b"", {})

    async def end(self, job: BatchJob, within_s: float = 6.0) -> bool:
        """End a job. Returns whether a gateway acknowledged it."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() - started_s < within_s:
            response = await self._call("DELETE", f"/v1/lots/{job.id}", b"", {})
            if response is not None and response.status == 200:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def _call(
        self, method: str, path: str, content: bytes, headers: dict[str, str]
    ) -> HttpResponse | None:
        addresses = self._frontends()
        if not addresses:
            return None
        url = f"http://{self._random.choice(list(addresses))}{path}"
        try:
            return await call_once(
                method, url, headers={"Host": HOST, **headers}, content=content, timeout_s=RESPONSE_TIMEOUT_S
            )
        except CALL_ERRORS:
            return None


def _record_page(history: JobHistory, start_after: int, page: dict[str, Any]) -> None:
    history.total = page["Total"]
    history.wrong_total_count += history.total != len(history.job.items)
    for offset, row in enumerate(page["Results"]):
        result = JobResult(row["Id"], row["State"], row.get("Message", ""))
        position = start_after + offset
        if position < len(history.results):
            if history.results[position] != result:
                history.changed.append(position)
        elif position == len(history.results):
            history.results.append(result)
