"""The gateway's calls about batch jobs: finds the owner, tries again, and never promises what is not certain."""

from __future__ import annotations

import asyncio
from typing import Any, TypeVar

import attrs

from emberring.configuration.model import Route
from emberring.errors import (
    DiskFailedError,
    EmberringError,
    FencedError,
    InternalError,
    NoQuorumError,
    NotFoundError,
    NotOwnerError,
    NotReadyError,
    OverloadedError,
    PeerTimeoutError,
    PeerUnavailableError,
    ProtocolViolationError,
    QuotaExceededError,
    UnknownOutcomeError,
)
from emberring.jobs.calls import (
    EndJob,
    ItemBody,
    JobPage,
    JobTerms,
    ReadItem,
    ReadJob,
    SubmitJob,
)
from emberring.jobs.directory import OwnerDirectory, TierKnowledge
from emberring.jobs.packing import compress
from emberring.jobs.results import page_json
from emberring.placement.model import shard_of
from emberring.transport.messages import Ok
from emberring.transport.network import Network

SUBMIT_TIMEOUT_S = 2.6
END_TIMEOUT_S = 2.8
READ_MARGIN_S = 1.1
ITEM_TIMEOUT_S = 1.1
ATTEMPT_TIMEOUT_S = 0.8  # for one store's answer, beyond any wait that was allowed
RETRY_PAUSE_S = 0.04

Reply = TypeVar("Reply")

_OUTCOME_UNKNOWN = (
    PeerTimeoutError,
    UnknownOutcomeError,
    NoQuorumError,
    FencedError,
    DiskFailedError,
    ProtocolViolationError,
    InternalError,
)


@attrs.define
class _OwnerLookup:
    """One call on its way to the owner. `outcome_unknown`: an attempt may have been carried out."""

    shard: int
    until_s: float
    attempt_s: float
    outcome_unknown: bool = False
    reason: str = ""


class JobClient:
    """Calls about batch jobs. Used from one event loop."""

    def __init__(
        self, network: Network, knowledge: TierKnowledge, directory: OwnerDirectory | None = None
    ) -> None:
        self._network = network
        self._knowledge = knowledge
        self._directory = directory or OwnerDirectory(knowledge)

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Have a batch job taken; returns once it is kept. `QuotaExceededError`, `OverloadedError` and
        `NotReadyError` only where nothing was written; `UnknownOutcomeError` where that is not certain."""
        configuration = self._knowledge.configuration
        terms = JobTerms(
            route=route.name,
            path=route.path_prefix,
            version=configuration.version if configuration else 0,
            completion_ms=route.completion_target_ms,
            retention_s=route.retention_s,
            max_attempts=route.max_attempts,
            max_queued_tokens=route.max_queued_tokens,
        )
        search = self._lookup(host, min(SUBMIT_TIMEOUT_S, 0.8 * route.timeout_ms / 1000), ATTEMPT_TIMEOUT_S)
        try:
            await self._ask(search, SubmitJob(host, job, terms, compress(body)), Ok)
        except (QuotaExceededError, OverloadedError, NotReadyError) as error:
            if search.outcome_unknown:
                raise UnknownOutcomeError(f"{search.reason}; then {error.detail}") from error
            raise

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """A page of results as JSON. `NotFoundError` where there is certainly no such batch job."""
        wait_s = wait_ms / 1000
        search = self._lookup(host, wait_s + READ_MARGIN_S, wait_s + ATTEMPT_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        wait_until_s = loop.time() + wait_s

        def message() -> ReadJob:
            return ReadJob(host, job, start_after, max(0, int((wait_until_s - loop.time()) * 1000)))

        return page_json(await self._ask(search, message, JobPage))

    async def item(self, host: str, job: str, item: str) -> bytes:
        """The body of an item. `NotFoundError` where there is certainly no such batch job or item."""
        search = self._lookup(host, ITEM_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        return (await self._ask(search, ReadItem(host, job, item), ItemBody)).body

    async def end(self, host: str, job: str) -> None:
        """End a batch job; returns once the end lasts."""
        search = self._lookup(host, END_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        try:
            await self._ask(search, EndJob(host, job), Ok)
        except NotReadyError as error:
            if search.outcome_unknown:
                raise UnknownOutcomeError(search.reason) from error
            raise

    def _lookup(self, host: str, limit_s: float, attempt_s: float) -> _OwnerLookup:
        now_s = asyncio.get_running_loop().time()
        return _OwnerLookup(shard_of(host), now_s + limit_s, attempt_s)

    async def _ask(self, search: _OwnerLookup, message: Any, reply: type[Reply]) -> Reply:
        """Ask the owner, wherever it is. `NotReadyError` where none answered in time."""
        loop = asyncio.get_running_loop()
        while (left_s := search.until_s - loop.time()) > 0:
            address = self._directory.address(search.shard)
            if address is None:
                search.reason = "no store is known"
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            body = message() if callable(message) else message
            try:
                found = await self._network.call(address, body, reply, min(left_s, search.attempt_s))
            except EmberringError as error:
                self._note(search, address, error)
                if search.until_s - loop.time() > RETRY_PAUSE_S:
                    await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._directory.confirm(search.shard, address)
            return found
        raise NotReadyError(search.reason or "no owner answered in time")

    def _note(self, search: _OwnerLookup, address: str, error: EmberringError) -> None:
        """What a failed attempt means; an error that is an answer is raised."""
        if isinstance(error, NotOwnerError):
            self._directory.redirect(search.shard, address, error.detail)
        elif isinstance(error, _OUTCOME_UNKNOWN):
            search.outcome_unknown = True
            self._directory.forget(search.shard, address)
        elif isinstance(error, PeerUnavailableError):
            self._directory.forget(search.shard, address)
        elif not isinstance(error, NotReadyError):
            if not isinstance(error, NotFoundError):
                self._directory.confirm(search.shard, address)
            raise error
        search.reason = f"{address}: {error.kind.value} {error.detail}"
