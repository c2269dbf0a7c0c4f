"""The HTTP interface for batch jobs: submission, pages of results, bodies of items, cancellation."""

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
MAX_WAIT_MS = 2000.0  # long polling: longest wait for the next result
READ_MARGIN_S = 1.2  # added to the wait that the client requested; clients wait 1.5 s beyond it
CANCEL_TIMEOUT_S = 3.0  # timeout of cancelling a job

JSON_TYPE = b"application/json"
BYTES_TYPE = b"application/octet-stream"


class Jobs(Protocol):
    """Interface of the client of the store nodes.

    Methods raise the errors of `emberring.errors`. Unless the error guarantees that nothing was done, the outcome is
    unknown.
    """

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Submit a batch job; returns when it is durably stored."""

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """Return a page of results as JSON."""

    async def item(self, host: str, job: str, item: str) -> bytes:
        """Return the body of an item whose result is not listed yet."""

    async def end(self, host: str, job: str) -> None:
        """Cancel a batch job."""


class JobsApi:
    """Translates HTTP requests into calls of the client of the store nodes."""

    def __init__(self, jobs: Jobs) -> None:
        self._jobs = jobs

    def handles(self, request: ClientRequest, route: Route | None) -> bool:
        """Return whether a request belongs to this interface."""
        if route is not None and route.type is RouteType.BATCH and request.method == b"POST":
            return True
        # A route takes precedence over this interface only if its prefix begins with `OWN_PATHS`.
        in_own_paths = request.path.startswith((JOBS_PATH, ITEMS_PATH))
        return in_own_paths and (route is None or not route.path_prefix.startswith(OWN_PATHS))

    async def answer(
        self, request: ClientRequest, route: Route | None, response: ClientResponse
    ) -> GatewayResponse | None:
        """Execute a request and send its response, or return an error response for the caller to send.

        After a timeout, the outcome of a change is unknown (504). A query changes nothing, so it is refused (503).

        Raises:
            EmberringError: the request failed; the caller sends the error response.
        """
        try:
            if route is not None and route.type is RouteType.BATCH and request.method == b"POST":
                await self._submit(request, route)
                await response.send_complete(202, JSON_TYPE, b"{}")
            elif request.path.startswith(JOBS_PATH) and request.method == b"DELETE":
                await self._end(request)
                await response.send_complete(200, JSON_TYPE, b"{}")
            elif request.method == b"GET":
                content_type, body = await self._query_stores(request)
                await response.send_complete(200, content_type, body)
            else:
                return GatewayResponse(405, "GET or DELETE is wanted")
        except TimeoutError:
            raise UnknownOutcomeError("no clear end in time") from None
        return None

    async def _query_stores(self, request: ClientRequest) -> tuple[bytes, bytes]:
        try:
            if request.path.startswith(ITEMS_PATH):
                return BYTES_TYPE, await self._item(request)
            return JSON_TYPE, await self._read(request)
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
        start_text = _query_parameter(request, "StartAfter") or "0"
        if not start_text.isdigit():
            raise BadRequestError("StartAfter is no number")
        wait_ms = read_milliseconds(request.header(b"wait-ms")) or 0.0
        job = request.path[len(JOBS_PATH) :]
        wait_ms = min(wait_ms, MAX_WAIT_MS)
        async with asyncio.timeout(wait_ms / 1000.0 + READ_MARGIN_S):
            return await self._jobs.read(request.host_name, job, int(start_text), wait_ms)

    async def _item(self, request: ClientRequest) -> bytes:
        item = _query_parameter(request, "Id")
        if not item:
            raise BadRequestError("Id is missing")
        async with asyncio.timeout(READ_MARGIN_S):
            return await self._jobs.item(request.host_name, request.path[len(ITEMS_PATH) :], item)


def _query_parameter(request: ClientRequest, name: str) -> str:
    """Return the last value of a query parameter; empty if it is missing."""
    text = request.target.partition(b"?")[2].decode("latin-1")
    return parse_qs(text).get(name, [""])[-1]


class UnavailableJobs:
    """A client without store nodes: refuses all requests."""

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Refuse to submit a batch job."""
        raise NotReadyError("no store is known")

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """Refuse to return a page of results."""
        raise NotReadyError("no store is known")

    async def item(self, host: str, job: str, item: str) -> bytes:
        """Refuse to return the body of an item."""
        raise NotReadyError("no store is known")

    async def end(self, host: str, job: str) -> None:
        """Refuse to cancel a batch job."""
        raise NotReadyError("no store is known")
