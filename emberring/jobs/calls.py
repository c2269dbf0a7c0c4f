"""Messages between gateways and the owner of a shard. An owner that may not answer refuses with `NotOwnerError`."""

from __future__ import annotations

import attrs

from emberring.transport.messages import message, wire_record


@attrs.frozen
class JobTerms:
    """What a batch job's route said when the batch job was submitted. `version` is the configuration's; times
    as named."""

    route: str
    path: str
    version: int
    completion_ms: float
    retention_s: float
    max_attempts: int
    max_queued_tokens: int


@message("lots.submit", wire_keys={"job": "lot"})
@attrs.frozen
class SubmitJob:
    """A batch job is submitted: `body` as the client sent it, compressed."""

    host: str
    job: str
    terms: JobTerms
    body: bytes


@message("lots.read", wire_keys={"job": "lot"})
@attrs.frozen
class ReadJob:
    """Results from position `start_after` on; the answer may be held back up to `wait_ms` until there is one."""

    host: str
    job: str
    start_after: int
    wait_ms: int


@message("lots.page")
@attrs.frozen
class JobPage:
    """Results from position `start` on, of a batch job of `total` items: their values one behind the other."""

    total: int
    start: int
    results: bytes


@message("lots.item", wire_keys={"job": "lot"})
@attrs.frozen
class ReadItem:
    """The decoded body of an item."""

    host: str
    job: str
    item: str


@message("lots.body")
@attrs.frozen
class ItemBody:
    """An item's decoded body."""

    body: bytes


@message("lots.end", wire_keys={"job": "lot"})
@attrs.frozen
class EndJob:
    """The client ends a batch job."""

    host: str
    job: str


@attrs.frozen
class EventData:
    """One event of an item's answer."""

    id: int
    data: str


@message("lots.lease", wire_keys={"capacity": "room"})
@attrs.frozen
class LeaseItems:
    """A gateway in this zone asks for up to `capacity` items of any shard that the store owns; held back up to
    `wait_ms`."""

    gateway: str
    capacity: int
    wait_ms: int
    zone: str = ""


@wire_record({"job_path": "lot_path"})
@attrs.frozen
class Assignment:
    """An item to run under a ticket. `events` (packed) are those already held: the run goes on after the last."""

    shard: int
    key: str
    index: int
    ticket: int
    id: str
    host: str
    path: str
    route: str
    job_path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    due_ms: int
    events: bytes = b""


@message("lots.leased")
@attrs.frozen
class LeaseItemsReply:
    """The items to run."""

    items: tuple[Assignment, ...] = ()


@attrs.frozen
class RunProgress:
    """A run that goes on: its events (packed) from number `start` (counted from 0) on, which the owner lacks."""

    key: str
    index: int
    ticket: int
    start: int
    events: bytes = b""


@message("lots.report")
@attrs.frozen
class ReportRuns:
    """A gateway keeps the leases of its runs in a shard and tells how far they are."""

    gateway: str
    shard: int
    runs: tuple[RunProgress, ...]


@wire_record({"lease_renewed": "go_on", "events_received": "have"})
@attrs.frozen
class RunRenewal:
    """`lease_renewed`: the lease is renewed. `events_received`: how many events of this run the owner holds."""

    ticket: int
    lease_renewed: bool
    events_received: int


@message("lots.reported")
@attrs.frozen
class ReportRunsReply:
    """An answer for each run."""

    runs: tuple[RunRenewal, ...]


@message("lots.finish")
@attrs.frozen
class FinishRun:
    """A run has ended: `kind` is an `OutcomeKind`'s value. `events` (packed) from number `start` on, of
    `total` in all."""

    gateway: str
    shard: int
    key: str
    index: int
    ticket: int
    kind: str
    start: int
    total: int
    events: bytes = b""


@message("lots.finished", wire_keys={"acknowledged": "taken"})
@attrs.frozen
class FinishRunReply:
    """`acknowledged`: nothing more is to be said of this run. Otherwise all its events are wanted again, from 0 on."""

    acknowledged: bool
