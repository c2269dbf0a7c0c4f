"""Messages between gateways and the owner of a shard. A store that is not the owner replies with `NotOwnerError`."""

from __future__ import annotations

import attrs

from emberring.transport.messages import message, wire_record


@attrs.frozen
class JobTerms:
    """Settings of a batch job's route at the time of its submission; `version` is that of the configuration."""

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
    """Submit a batch job; `body` is the compressed request body."""

    host: str
    job: str
    terms: JobTerms
    body: bytes


@message("lots.read", wire_keys={"job": "lot"})
@attrs.frozen
class ReadJob:
    """Read results from position `start_after` on; the reply waits up to `wait_ms` for the first one."""

    host: str
    job: str
    start_after: int
    wait_ms: int


@message("lots.page")
@attrs.frozen
class JobPage:
    """Results from position `start` on, of a batch job of `total` items; `results` are their concatenated values."""

    total: int
    start: int
    results: bytes


@message("lots.item", wire_keys={"job": "lot"})
@attrs.frozen
class ReadItem:
    """Request the decoded body of an item."""

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
    """End a batch job, as its client requested."""

    host: str
    job: str


@attrs.frozen
class EventData:
    """One event of an item's response."""

    id: int
    data: str


@message(
    "lots.lease", wire_keys={"capacity": "room", "service_capacity": "rooms"}, optional=("service_capacity",)
)
@attrs.frozen
class LeaseItems:
    """Request up to `capacity` items from all shards that the store owns, for a gateway in `zone`.

    The reply waits up to `wait_ms` for the first item. `service_capacity` has the number of items by each service that
    has servers, as the gateway knows them; 0 requests none. Gateways of earlier versions do not send it, and get items
    of any service.
    """

    gateway: str
    capacity: int
    wait_ms: int
    zone: str = ""
    service_capacity: dict[str, int] | None = None


@wire_record({"job_path": "lot_path"})
@attrs.frozen
class Assignment:
    """An item to run under a ticket.

    `events` (packed) are those received in earlier runs: the run resumes after the last one. `due_ms`:
    milliseconds until the item is due.
    """

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

    @property
    def content_bytes(self) -> int:
        """The size of its body and events, which make up nearly all of its encoded form."""
        return len(self.body) + len(self.events)


@message("lots.leased")
@attrs.frozen
class LeaseItemsReply:
    """The items leased to the gateway."""

    items: tuple[Assignment, ...] = ()


@attrs.frozen
class RunProgress:
    """Progress of a run: the events (packed) that the owner lacks, beginning with number `start` (from 0)."""

    key: str
    index: int
    ticket: int
    start: int
    events: bytes = b""


@message("lots.report")
@attrs.frozen
class ReportRuns:
    """Renew the leases of the runs of one shard's items at a gateway, and report their progress."""

    gateway: str
    shard: int
    runs: tuple[RunProgress, ...]


@wire_record({"lease_renewed": "go_on", "events_received": "have"})
@attrs.frozen
class RunRenewal:
    """Result of the report of one run.

    `lease_renewed`: the run may continue. `events_received`: the number of its events that the owner has.
    """

    ticket: int
    lease_renewed: bool
    events_received: int


@message("lots.reported")
@attrs.frozen
class ReportRunsReply:
    """Results of `ReportRuns`, one for each run."""

    runs: tuple[RunRenewal, ...]


@message("lots.finish", optional=("declined",))
@attrs.frozen
class FinishRun:
    """Report the end of a run; `kind` is the value of an `OutcomeKind`.

    `events` (packed) are those from number `start` on, out of `total`. `declined`: the server could run other
    items, but not this one, at least for now.
    """

    gateway: str
    shard: int
    key: str
    index: int
    ticket: int
    kind: str
    start: int
    total: int
    events: bytes = b""
    declined: bool = False


@message("lots.finished", wire_keys={"acknowledged": "taken"})
@attrs.frozen
class FinishRunReply:
    """`acknowledged`: the owner needs no further report of the run. Otherwise send all its events again, from 0 on."""

    acknowledged: bool
