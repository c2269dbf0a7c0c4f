"""Types of the calls between the simulated gateways and stores. A missing reply, after a time-out, is None."""

from __future__ import annotations

from collections.abc import Callable

from emberring.errors import EmberringError
from emberring.jobs.calls import (
    EndJob,
    FinishRun,
    LeaseItems,
    LeaseItemsReply,
    ReadItem,
    ReadJob,
    ReportRuns,
    ReportRunsReply,
    SubmitJob,
)
from emberring.jobs.job_table import JobReply
from emberring.jobs.messages import RenewLeases, RenewLeasesReply, ReplicaReply, ReplicaRequest

JobRequest = SubmitJob | ReadJob | ReadItem | EndJob | FinishRun
GatewayRequest = JobRequest | LeaseItems | ReportRuns
GatewayReply = JobReply | LeaseItemsReply | ReportRunsReply | EmberringError | None
OnGatewayReply = Callable[[GatewayReply], None]

StoreRequest = ReplicaRequest | RenewLeases
StoreReply = ReplicaReply | RenewLeasesReply | None
OnStoreReply = Callable[[StoreReply], None]


def is_error(reply: GatewayReply) -> bool:
    """Return whether a call of a gateway ended with an error or without a reply."""
    return reply is None or isinstance(reply, EmberringError)
