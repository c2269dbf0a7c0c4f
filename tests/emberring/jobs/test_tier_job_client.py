"""The gateway's client of batch jobs finds the owner and reports a definite outcome only if it is certain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ClassVar

import pytest

from emberring.configuration.model import Configuration, Route, RouteType, Share
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import (
    BadRequestError,
    DiskFailedError,
    EmberringError,
    NotFoundError,
    NotOwnerError,
    NotReadyError,
    OverloadedError,
    PeerTimeoutError,
    PeerUnavailableError,
    QuotaExceededError,
    UnknownOutcomeError,
)
from emberring.jobs.calls import JobPage, SubmitJob
from emberring.jobs.client import JobClient
from emberring.jobs.results import ResultState, encode_result
from emberring.placement.model import SHARDS, Group, Placement, StoreMember
from emberring.transport.messages import Ok

HOST = "lots.example"
ROUTE = Route("r", HOST, "/batch/", RouteType.BATCH, 1000.0, (Share("s", 1),), max_queued_tokens=9)
NAMES = ("a", "b", "c")


class TierKnowledge:
    """State of a tier with three stores, each a replica of every shard."""

    configuration: Configuration | None = Configuration(7, (ROUTE,), ())
    placement: Placement | None = Placement(
        1,
        {name: StoreMember(name, name, f"{name}:1") for name in NAMES},
        tuple(Group(shard, 1, NAMES) for shard in range(SHARDS)),
    )
    nodes: ClassVar = {name: NodeRecord(name, NodeRole.STORE, f"{name}:1", "", name) for name in NAMES}

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Do nothing, as the state never changes."""


class ScriptedNetwork:
    """Network that answers each call with the next entry of a script, and repeats the last one."""

    def __init__(self, *script: Any) -> None:
        self.script = list(script)
        self.calls: list[tuple[str, Any]] = []

    async def call(self, address: str, body: Any, reply: type[Any], timeout_s: float) -> Any:
        self.calls.append((address, body))
        outcome = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if isinstance(outcome, EmberringError):
            raise outcome
        if outcome == "owner is c":
            if address == "c:1":
                return Ok()
            raise NotOwnerError("c:1")
        return outcome


def submit(*script: Any) -> ScriptedNetwork:
    network = ScriptedNetwork(*script)
    client = JobClient(network, TierKnowledge())  # type: ignore[arg-type]
    asyncio.run(client.submit(HOST, ROUTE, "lot", b"{}"))
    return network


def test_a_submission_carries_the_settings_of_its_route() -> None:
    network = submit(Ok())
    ((_, message),) = network.calls
    assert isinstance(message, SubmitJob)
    assert (message.terms.version, message.terms.max_queued_tokens, message.terms.path) == (7, 9, "/batch/")


def test_the_owner_is_found_and_remembered() -> None:
    network = ScriptedNetwork("owner is c")
    client = JobClient(network, TierKnowledge())  # type: ignore[arg-type]

    async def scenario() -> None:
        await client.submit(HOST, ROUTE, "one", b"{}")
        before = len(network.calls)
        await client.submit(HOST, ROUTE, "two", b"{}")
        assert [address for address, _ in network.calls[before:]] == ["c:1"]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("script", "kind"),
    [
        ((QuotaExceededError(),), QuotaExceededError),
        ((PeerUnavailableError(), QuotaExceededError()), QuotaExceededError),
        ((NotOwnerError(), QuotaExceededError()), QuotaExceededError),
        ((OverloadedError(),), OverloadedError),
        ((PeerTimeoutError(), OverloadedError()), UnknownOutcomeError),
        ((NotOwnerError(),), NotReadyError),
        ((PeerUnavailableError(),), NotReadyError),
        ((PeerTimeoutError(), QuotaExceededError()), UnknownOutcomeError),
        ((UnknownOutcomeError(), QuotaExceededError()), UnknownOutcomeError),
        ((DiskFailedError(), NotOwnerError()), UnknownOutcomeError),
        ((PeerTimeoutError(),), UnknownOutcomeError),
        ((PeerTimeoutError(), BadRequestError()), BadRequestError),
    ],
)
def test_an_error_is_definite_only_if_nothing_can_have_been_written(
    script: tuple[Any, ...], kind: type[EmberringError]
) -> None:
    with pytest.raises(EmberringError) as caught:
        submit(*script)
    assert type(caught.value) is kind


@pytest.mark.parametrize(
    "script",
    [(PeerTimeoutError(), Ok()), (PeerUnavailableError(), Ok()), (NotOwnerError("b:1"), Ok())],
)
def test_a_submission_that_a_retry_delivers_is_accepted(script: tuple[Any, ...]) -> None:
    assert len(submit(*script).calls) == 2


def read(*script: Any) -> bytes:
    client = JobClient(ScriptedNetwork(*script), TierKnowledge())  # type: ignore[arg-type]
    return asyncio.run(client.read(HOST, "lot", 0, 0))


def test_reads_are_retried_until_the_reply_is_definite() -> None:
    page = JobPage(3, 2, encode_result(0, "i", ResultState.DEAD_LETTER, ""))
    expected = b'{"Total":3,"NextPageToken":3,"Results":[{"Id":"i","State":"dead_letter","Message":""}]}'
    assert read(NotReadyError(), PeerTimeoutError(), NotOwnerError("a:1"), page) == expected
    with pytest.raises(NotFoundError):
        read(PeerTimeoutError(), NotFoundError())
    with pytest.raises(NotReadyError):
        read(NotOwnerError())


@pytest.mark.parametrize(
    ("script", "kind"),
    [((NotFoundError(),), NotFoundError), ((PeerTimeoutError(), NotOwnerError()), UnknownOutcomeError)],
)
def test_errors_of_an_end(script: tuple[Any, ...], kind: type[EmberringError]) -> None:
    client = JobClient(ScriptedNetwork(*script), TierKnowledge())  # type: ignore[arg-type]
    with pytest.raises(EmberringError) as caught:
        asyncio.run(client.end(HOST, "lot"))
    assert type(caught.value) is kind


def test_without_a_known_store_a_submission_is_definitely_rejected() -> None:
    knowledge = TierKnowledge()
    knowledge.placement = None
    client = JobClient(ScriptedNetwork(Ok()), knowledge)  # type: ignore[arg-type]
    with pytest.raises(NotReadyError):
        asyncio.run(client.submit(HOST, ROUTE, "lot", b"{}"))
