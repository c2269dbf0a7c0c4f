"""In-memory batch jobs of one shard at its owner, and the actions that the job manager returns."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

from emberring.configuration.model import Configuration, Route, RouteType
from emberring.configuration.service_choice import UNKNOWN_SEGMENT, SplitSegment, split_segment
from emberring.errors import EmberringError, InternalError, NotReadyError
from emberring.jobs.batch_job import BatchJob, Item, ItemStatus
from emberring.jobs.calls import FinishRunReply, ItemBody, JobPage
from emberring.jobs.definition import ItemSpec, decode_items
from emberring.jobs.item_queues import ItemQueues
from emberring.jobs.loading import DecodeDefinition, DeferredCall, JobLoading
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.records import DEFINITION
from emberring.jobs.results import ResultState, encode_result
from emberring.jobs.schedule import QueuedItem
from emberring.transport.messages import Ok

MAX_CACHED_SPECS = 16  # batch jobs whose decoded items are cached

JobReply = Ok | JobPage | ItemBody | FinishRunReply


@attrs.frozen
class ProposeValue:
    """Write a value into a slot; `accepted_s` is when the batch job was accepted."""

    key: str
    slot: int
    value: bytes
    accepted_s: float


@attrs.frozen
class AnswerCall:
    """Answer the call with this number."""

    call: int
    body: JobReply


@attrs.frozen
class RejectCall:
    """Reject the call with this number."""

    call: int
    error: EmberringError


@attrs.frozen
class ForgetJob:
    """Delete a batch job from all replicas."""

    key: str


JobManagerAction = ProposeValue | AnswerCall | RejectCall | ForgetJob | DecodeDefinition


class JobTable:
    """All batch jobs, the queues of their items, the waiting tokens, and the actions not returned yet.

    `loading` has the batch jobs that are owned and not in `jobs` yet.
    """

    def __init__(self, records: OwnedRecords) -> None:
        self.records = records
        self.jobs: dict[str, BatchJob] = {}
        self.loading = JobLoading()
        self.queues = ItemQueues(self)
        self.configuration: Configuration | None = None
        self._route_names: frozenset[str] = frozenset()
        self.waiting_tokens: dict[str, int] = {}
        self.actions: list[JobManagerAction] = []
        self._cached_specs: OrderedDict[str, list[ItemSpec]] = OrderedDict()

    def configure(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        before = self.configuration
        self.configuration = configuration
        self._route_names = frozenset(route.name for route in configuration.routes)
        # An item whose route was not known may have one now, also where the routes are the same.
        if before is None or before.routes != configuration.routes or self.queues.has_unknown:
            self.queues.on_routes_changed()

    def clear(self) -> None:
        """Drop everything except the configuration and the actions."""
        self.jobs.clear()
        self.loading.clear()
        self.queues = ItemQueues(self)
        self.waiting_tokens.clear()
        self._cached_specs.clear()

    def route_of(self, job: BatchJob) -> Route | None:
        """Return the currently configured route of the batch job; None if there is none or no configuration yet."""
        route = self._matching_route(job)
        return route if route is not None and route.type is RouteType.BATCH else None

    def _matching_route(self, job: BatchJob) -> Route | None:
        """Return the route of any type that gateways find for the batch job."""
        if self.configuration is None:
            return None
        return self.configuration.route_for(job.host, job.terms.path)

    def route_gone(self, job: BatchJob) -> bool:
        """Whether the route was removed, by a configuration that is not older than that of the submission."""
        if self.configuration is None or self.configuration.version < job.terms.version:
            return False
        return job.terms.route not in self._route_names and self.route_of(job) is None

    def max_attempts(self, job: BatchJob) -> int:
        """Return the number of responses with status 500 after which an item becomes a dead letter."""
        route = self.route_of(job)
        return max(1, job.terms.max_attempts, route.max_attempts if route else 0)

    def retention_s(self, job: BatchJob) -> float:
        """Return the number of seconds after its acceptance for which the batch job's items are retained."""
        route = self.route_of(job)
        return max(job.terms.retention_s, route.retention_s if route else 0.0)

    def specs(self, job: BatchJob) -> list[ItemSpec]:
        """Return the items as submitted, decoded from the definition."""
        specs = self._cached_specs.get(job.key)
        if specs is None:
            owned = self.records.find(job.key, DEFINITION)
            if owned is None:
                raise InternalError(f"{job.key} has no definition")
            specs = decode_items(owned.value)
            self.cache_specs(job, specs)
        return specs

    def cache_specs(self, job: BatchJob, specs: list[ItemSpec]) -> None:
        """Keep the decoded items of a batch job; of more than `MAX_CACHED_SPECS` the oldest are dropped."""
        self._cached_specs[job.key] = specs
        while len(self._cached_specs) > MAX_CACHED_SPECS:
            self._cached_specs.popitem(last=False)

    def decode_next(self) -> None:
        """Order the decoding of the next definition, if one is due."""
        decoding = self.loading.next_decoding()
        if decoding is not None:
            self.actions.append(decoding)

    def defer_until_loaded(self, key: str, call: int, resume: Callable[[float], None]) -> None:
        """Keep a call about a batch job that is not loaded; `resume` is called with the time once it is."""
        if self.loading.is_damaged(key):
            self.actions.append(RejectCall(call, NotReadyError("the definition is damaged")))
            return
        self.loading.defer(key, DeferredCall(call, resume))
        self.decode_next()

    def add_waiting_tokens(self, job: BatchJob, item: Item) -> None:
        """Include the item's tokens in the waiting tokens of its route."""
        if not item.counted:
            item.counted = True
            route = job.terms.route
            self.waiting_tokens[route] = self.waiting_tokens.get(route, 0) + item.tokens

    def remove_waiting_tokens(self, job: BatchJob, item: Item) -> None:
        """Remove the item's tokens from the waiting tokens of its route."""
        if item.counted:
            item.counted = False
            self.waiting_tokens[job.terms.route] -= item.tokens

    def enqueue(self, job: BatchJob, index: int) -> None:
        """Add the item to its queue, where it waits for a server."""
        expires_s = job.accepted_s + self.retention_s(job)
        retry_at_s = job.items[index].retry_at_s
        self.queues.add(QueuedItem(job.due_s, expires_s, job.key, index, retry_at_s))

    def is_waiting(self, entry: QueuedItem) -> bool:
        """Return whether a queued item still waits for a server."""
        job = self.jobs.get(entry.key)
        return job is not None and not job.ended and job.items[entry.index].status is ItemStatus.WAITING

    def segment(self, entry: QueuedItem) -> SplitSegment | None:
        """Return the segment of its route's split that a queued item belongs to; None if it has no route.

        A gateway finds the route in the same way. If the batch job was submitted under a newer configuration, its
        route is not known here, and the gateways may run it all the same.
        """
        job = self.jobs[entry.key]
        if self.configuration is None or self.configuration.version < job.terms.version:
            return UNKNOWN_SEGMENT
        route = self._matching_route(job)
        # Guard: ids that an older version accepted, which no header can hold; they become dead letters when leased.
        key = job.items[entry.index].id.encode("latin-1", "replace")
        return split_segment(route, key) if route is not None else None

    def assign_position(self, job: BatchJob, index: int, state: ResultState, message: str) -> None:
        """Propose the item's result for the next free position."""
        item = job.items[index]
        position = job.free_position()
        job.positions[position] = index
        item.status, item.run, item.events = ItemStatus.RESULT_PENDING, None, ()
        self.remove_waiting_tokens(job, item)
        value = encode_result(index, item.id, state, message)
        self.actions.append(ProposeValue(job.key, position, value, job.accepted_s))
