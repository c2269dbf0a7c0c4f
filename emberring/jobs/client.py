"""Client of the stores at a gateway: finds the owner of a shard, retries, and reports unknown outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

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

SUBMIT_TIMEOUT_S = 2.6  # for all attempts
END_TIMEOUT_S = 2.8  # for all attempts
READ_MARGIN_S = 1.1  # for all attempts, in addition to the wait that the client allows
ITEM_TIMEOUT_S = 1.1  # for all attempts
ATTEMPT_TIMEOUT_S = 0.8  # for the reply to one attempt, in addition to the wait that the client allows
RETRY_PAUSE_S = 0.04  # between attempts

Reply = TypeVar("Reply")
JobRequest = SubmitJob | ReadJob | ReadItem | EndJob

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
    """State of one call to the owner of a shard, across its attempts.

    `outcome_unknown`: an attempt that failed may have been carried out; `reason`: why the last attempt failed.
    """

    shard: int
    deadline_s: float
    attempt_timeout_s: float
    outcome_unknown: bool = False
    reason: str = ""


class JobClient:
    """Client for calls about batch jobs. Not thread-safe: used from one event loop."""

    def __init__(
        self, network: Network, knowledge: TierKnowledge, directory: OwnerDirectory | None = None
    ) -> None:
        self._network = network
        self._knowledge = knowledge
        self._directory = directory or OwnerDirectory(knowledge)

    async def submit(self, host: str, route: Route, job: str, body: bytes) -> None:
        """Submit a batch job; returns once it is durable.

        Raises `QuotaExceededError`, `OverloadedError` or `NotReadyError` only if nothing was written, and
        `UnknownOutcomeError` if that is not certain.
        """
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
        lookup = self._start_lookup(
            host, min(SUBMIT_TIMEOUT_S, 0.8 * route.timeout_ms / 1000), ATTEMPT_TIMEOUT_S
        )
        try:
            await self._call_owner(lookup, SubmitJob(host, job, terms, compress(body)), Ok)
        except (QuotaExceededError, OverloadedError, NotReadyError) as error:
            if lookup.outcome_unknown:
                raise UnknownOutcomeError(f"{lookup.reason}; then {error.detail}") from error
            raise

    async def read(self, host: str, job: str, start_after: int, wait_ms: float) -> bytes:
        """Return a page of results as JSON.

        Raises `NotFoundError` only if it is certain that there is no such batch job.
        """
        wait_s = wait_ms / 1000
        lookup = self._start_lookup(host, wait_s + READ_MARGIN_S, wait_s + ATTEMPT_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        wait_deadline_s = loop.time() + wait_s

        def message() -> ReadJob:
            return ReadJob(host, job, start_after, max(0, int((wait_deadline_s - loop.time()) * 1000)))

        return page_json(await self._call_owner(lookup, message, JobPage))

    async def item(self, host: str, job: str, item: str) -> bytes:
        """Return the body of an item.

        Raises `NotFoundError` only if it is certain that there is no such batch job or item.
        """
        lookup = self._start_lookup(host, ITEM_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        return (await self._call_owner(lookup, ReadItem(host, job, item), ItemBody)).body

    async def end(self, host: str, job: str) -> None:
        """End a batch job; returns once the end is durable."""
        lookup = self._start_lookup(host, END_TIMEOUT_S, ATTEMPT_TIMEOUT_S)
        try:
            await self._call_owner(lookup, EndJob(host, job), Ok)
        except NotReadyError as error:
            if lookup.outcome_unknown:
                raise UnknownOutcomeError(lookup.reason) from error
            raise

    def _start_lookup(self, host: str, timeout_s: float, attempt_timeout_s: float) -> _OwnerLookup:
        now_s = asyncio.get_running_loop().time()
        return _OwnerLookup(shard_of(host), now_s + timeout_s, attempt_timeout_s)

    async def _call_owner(
        self, lookup: _OwnerLookup, message: JobRequest | Callable[[], JobRequest], reply: type[Reply]
    ) -> Reply:
        """Call the owner of the shard, retrying at other stores; raises `NotReadyError` if none replied in time."""
        loop = asyncio.get_running_loop()
        while (remaining_s := lookup.deadline_s - loop.time()) > 0:
            address = self._directory.address(lookup.shard)
            if address is None:
                lookup.reason = "no store is known"
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            request = message() if callable(message) else message
            try:
                received = await self._network.call(
                    address, request, reply, min(remaining_s, lookup.attempt_timeout_s)
                )
            except EmberringError as error:
                if self._is_final(lookup, address, error):
                    raise
                if lookup.deadline_s - loop.time() > RETRY_PAUSE_S:
                    await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._directory.confirm(lookup.shard, address)
            return received
        raise NotReadyError(lookup.reason or "no owner answered in time")

    def _is_final(self, lookup: _OwnerLookup, address: str, error: EmberringError) -> bool:
        """Update the directory and the lookup after a failed attempt; return whether there is no further one."""
        if isinstance(error, NotOwnerError):
            self._directory.redirect(lookup.shard, address, error.detail)
        elif isinstance(error, _OUTCOME_UNKNOWN):
            lookup.outcome_unknown = True
            self._directory.forget(lookup.shard, address)
        elif isinstance(error, PeerUnavailableError):
            self._directory.forget(lookup.shard, address)
        elif not isinstance(error, NotReadyError):
            if not isinstance(error, NotFoundError):
                self._directory.confirm(lookup.shard, address)
            return True
        lookup.reason = f"{address}: {error.kind.value} {error.detail}"
        return False
