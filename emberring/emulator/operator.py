"""An emulated operator: sends requests to the control nodes in turn until the outcome is known."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import orjson

from emberring.emulator.http_calls import CALL_ERRORS, HttpResponse, call_once

READ_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_REDIRECTS = 2
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})
RETRYABLE_STATUSES = frozenset({408, 429})


@attrs.frozen
class RequestOutcome:
    """The outcome of a request. `status` is 0 if it is unknown; `took_s` is the time since the first attempt (s)."""

    status: int
    body: bytes
    attempts: int
    took_s: float
    node: str = ""

    @property
    def acknowledged(self) -> bool:
        """Whether the request was acknowledged."""
        return 200 <= self.status < 300


class Operator:
    """Sends requests for the operator's tools. `controls` are the control plane's addresses (`ip:port`)."""

    def __init__(self, controls: Sequence[str]) -> None:
        self._controls = list(controls)
        self._next_index: Iterator[int] = itertools.count()

    async def put_configuration(
        self, document: Mapping[str, Any], builds_on: int, within_s: float = 10.0
    ) -> RequestOutcome:
        """Send a complete configuration; `builds_on` is the version that it replaces, 0 for the first one."""
        return await self._configure("PUT", document, builds_on, within_s)

    async def patch_configuration(
        self, document: Mapping[str, Any], builds_on: int, within_s: float = 10.0
    ) -> RequestOutcome:
        """Send a patch that changes named items of the configuration."""
        return await self._configure("PATCH", document, builds_on, within_s)

    async def _configure(
        self, method: str, document: Mapping[str, Any], builds_on: int, within_s: float
    ) -> RequestOutcome:
        headers = {"If-Match": str(builds_on)}
        return await self.send_request(method, "/v1/config", orjson.dumps(document), headers, within_s)

    async def read_configuration(self, within_s: float = 5.0) -> dict[str, Any] | None:
        """Read the newest configuration. Returns None if no control node sent it in time."""
        outcome = await self.send_request("GET", "/v1/config", b"", {}, within_s)
        if not outcome.acknowledged:
            return None
        document = orjson.loads(outcome.body)
        return document if isinstance(document, dict) else None

    async def retire(self, node: str, duration_s: float, within_s: float = 4.0) -> RequestOutcome:
        """Request the retirement of a store."""
        body = orjson.dumps({"DurationS": duration_s})
        return await self.send_request("POST", f"/v1/retire/{node}", body, {}, within_s)

    async def retirement_state(self, node: str, within_s: float = 4.0) -> RequestOutcome:
        """Read the state of a store's retirement."""
        return await self.send_request("GET", f"/v1/retire/{node}", b"", {}, within_s)

    async def send_request(
        self, method: str, path: str, content: bytes, headers: Mapping[str, str], within_s: float
    ) -> RequestOutcome:
        """Send a request with retries until its outcome is known or `within_s` seconds have passed."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        backoff_s, attempts, other_client_errors = INITIAL_BACKOFF_S, 0, 0
        last = HttpResponse(0, {}, b"")
        while loop.time() - started_s < within_s:
            node = self._controls[next(self._next_index) % len(self._controls)]
            attempts += 1
            response = await self._send_once(method, node, path, content, headers)
            if response is not None:
                last = response
                other_client_errors += _is_other_client_error(response.status)
                if _is_final(response.status) or other_client_errors >= 3:
                    return RequestOutcome(
                        response.status, response.body, attempts, loop.time() - started_s, node
                    )
            await asyncio.sleep(min(backoff_s, max(0.0, started_s + within_s - loop.time())))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        return RequestOutcome(0, last.body, attempts, loop.time() - started_s)

    async def _send_once(
        self, method: str, node: str, path: str, content: bytes, headers: Mapping[str, str]
    ) -> HttpResponse | None:
        url = f"http://{node}{path}"
        try:
            for _ in range(MAX_REDIRECTS + 1):
                response = await call_once(
                    method, url, headers=headers, content=content, timeout_s=READ_TIMEOUT_S
                )
                if response.status != 307 or "location" not in response.headers:
                    return response
                url = response.headers["location"]
        except CALL_ERRORS:
            return None
        return None


def _is_final(status: int) -> bool:
    return 200 <= status < 300 or status in FINAL_STATUSES


def _is_other_client_error(status: int) -> bool:
    return 400 <= status < 500 and status not in FINAL_STATUSES and status not in RETRYABLE_STATUSES
