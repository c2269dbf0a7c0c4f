"""The batch interface for clients: submission of jobs, pages of results, bodies of items, cancellation."""

from __future__ import annotations

import asyncio
from typing import Protocol
from urllib.parse import parse_qs

from emberring.configuration.model import Route, RouteType
from emberring.errors import (
    BadRequestError,
    EmberringError,
    NotFoundError,
    NotReadyError,
    UnknownOutcomeError,
)
from emberring.gateway.calls import read_milliseconds
from emberring.gateway.client_response import ClientResponse
from emberring.gateway.messages import ClientRequest
from emberring.gateway.responses import GatewayResponse

JOBS_PATH = "/v1/lots/"
ITEMS_PATH = "/v1/items/"
OWN_PATHS = "/v1/"
MAX_WAIT_MS = 2000.0  # long poll: how long a page may wait for a result
READ_MARGIN_S = 1.2  # beyond the wait that the client allowed: clients wait 1.5 s
CANCEL_TIMEOUT_S = 3.0  # of ending a job

JSON = b"application/json"
BYTES = b"application/octet-stream"


class Jobs(Protocol):
    """The client of the store nodes.

    Errors are those of `emberring.errors`; after a failure without a guarantee the outcome is unknown.
    """

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Submit a batch job; returns once it is stored durably."""

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """Return a page of results as JSON."""

    async def item(self, host: str, job: str, item: str) -> bytes:
        """Return the body of an item that is not listed yet."""

    async def end(self, host: str, job: str) -> None:
        """End a batch job."""


class JobsApi:
    """Maps HTTP requests to the client of the store nodes."""

    def __init__(self, jobs: Jobs) -> None:
        self._jobs = jobs

    def handles(self, request: ClientRequest, route: Route | None) -> bool:
        """Return whether a request belongs to this interface."""
        if route is not None and route.type is RouteType.BATCH and request.method == b"POST":
            return True
        # A route below these paths takes precedence; one that covers the whole host does not hide them.
        own = request.path.startswith((JOBS_PATH, ITEMS_PATH))
        return own and (route is None or not route.path_prefix.startswith(OWN_PATHS))

    async def answer(
        self, request: ClientRequest, route: Route | None, response: ClientResponse
    ) -> GatewayResponse | None:
        """Execute a request and answer it.

        The outcome of a change that was not confirmed in its time is unknown (504); a query that was not answered in
        its time is refused (503), as it changed nothing.

        Raises:
            EmberringError: the failure, for the caller to answer.
        """
        try:
            if route is not None and route.type is RouteType.BATCH and request.method == b"POST":
                await self._submit(request, route)
                await response.send_complete(202, JSON, b"{}")
            elif request.path.startswith(JOBS_PATH) and request.method == b"DELETE":
                await self._end(request)
                await response.send_complete(200, JSON, b"{}")
            elif request.method == b"GET":
                kind, body = await self._look_up(request)
                await response.send_complete(200, kind, body)
            else:
                return GatewayResponse(405, "GET or DELETE is wanted")
        except TimeoutError:
            raise UnknownOutcomeError("no clear end in time") from None
        return None

    async def _look_up(self, request: ClientRequest) -> tuple[bytes, bytes]:
        try:
            if request.path.startswith(ITEMS_PATH):
                return BYTES, await self._item(request)
            return JSON, await self._read(request)
        except (NotFoundError, BadRequestError):
            raise
        except (EmberringError, TimeoutError) as error:
            raise NotReadyError(f"not certain: {error}") from error

    async def _submit(self, request: ClientRequest, route: Route) -> None:
        if not request.request_id:
            raise BadRequestError("a lot wants a Request-Id")
        job = request.request_id.decode("latin-1")
        async with asyncio.timeout_at(request.arrived_s + route.timeout_ms / 1000.0):
            await self._jobs.submit(request.host_name, route, job, request.body)

    async def _end(self, request: ClientRequest) -> None:
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            await self._jobs.end(request.host_name, request.path[len(JOBS_PATH) :])

    async def _read(self, request: ClientRequest) -> bytes:
        start_text = _query(request, "StartAfter") or "0"
        if not start_text.isdigit():
            raise BadRequestError("StartAfter is no number")
        wait_ms = read_milliseconds(request.header(b"wait-ms")) or 0.0
        job = request.path[len(JOBS_PATH) :]
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        async with asyncio.timeout(wait_ms / 1000.0 + READ_MARGIN_S):
            return await self._jobs.read(request.host_name, job, int(start_text), wait_ms)

    async def _item(self, request: ClientRequest) -> bytes:
        item = _query(request, "Id")
        if not item:
            raise BadRequestError("Id is missing")
        async with asyncio.timeout(READ_MARGIN_S):
            return await self._jobs.item(request.host_name, request.path[len(ITEMS_PATH) :], item)


def _query(request: ClientRequest, name: str) -> str:
    """Return the last value under this name in the query; empty if there is none."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    return parse_qs(text).get(name, [""])[-1]


class UnavailableJobs:
    """The client where no store node can be reached: everything is refused."""

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Refuse a batch job."""
        raise NotReadyError("no store is known")

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """Refuse: nothing is certain."""
        raise NotReadyError("no store is known")

    async def item(self, host: str, job: str, item: str) -> bytes:
        """Refuse: nothing is certain."""
        raise NotReadyError("no store is known")

    async def end(self, host: str, job: str) -> None:
        """Refuse: nothing was done."""
        raise NotReadyError("no store is known")
