"""The inputs and outputs of admission. Times of events are seconds of the monotonic clock."""

from __future__ import annotations

from enum import Enum

import attrs


@attrs.frozen
class PrefixPart:
    """A part of a prompt that other requests may share: its hash and its length in tokens."""

    id: str
    tokens: int


@attrs.frozen
class CallInfo:
    """A live request or a batch item that needs a server.

    Args:
        priority: the route's priority; 0 is the most urgent.
        batch: whether it is an item of a batch job.
        tokens_in: tokens of the prompt; 0 if unknown.
        tokens_out: maximum tokens of the output; 0 if unknown.
        parts: the parts of `Prefix-Hash` in order; the last one is the request's own or its session's.
        latency_target_ms: target for the time to the first event.
        deadline_s: deadline of the caller or, for a batch item, when it is due.
        target_s: completion target of a batch item's job.
        excluded: ids of servers that must not be chosen, because earlier attempts used them.
        admitted: whether the call was admitted before (a retry, a resumed stream); the threshold table is then not
            applied again.
    """

    id: str
    service: str
    route: str
    priority: int = 0
    batch: bool = False
    tokens_in: int = 0
    tokens_out: int = 0
    parts: tuple[PrefixPart, ...] = ()
    latency_target_ms: float = 1000.0
    deadline_s: float = 0.0
    target_s: float = 0.0
    excluded: frozenset[str] = frozenset()
    admitted: bool = False


@attrs.frozen
class Admitted:
    """The call is admitted and counts against this server until `Admission.finished` is called."""

    server_id: str


@attrs.frozen
class Refused:
    """The call is not admitted; it may be retried after `retry_after_s` seconds."""

    retry_after_s: float


@attrs.frozen
class NoServer:
    """The service has no ready server, apart from excluded ones."""


Decision = Admitted | Refused | NoServer


class CallOutcome(Enum):
    """How an attempt at a server ended."""

    COMPLETED = "completed"  # a complete response, 422 included
    FAILED = "failed"  # a complete response that reports a failure of an executed request (500, 504)
    FULL = "full"  # 503 or 429 with Not-Executed: the server is full
    WRONG_SERVER = "wrong_server"  # 421 in the name of another server, which has taken over the address
    DECLINED = "declined"  # 421 of the server itself, which concerns this request alone
    CONNECT_FAILED = "connect_failed"  # no connection could be opened; nothing was sent
    BROKEN = "broken"  # connection reset or closed early, or an invalid response
    SILENT = "silent"  # nothing was received within the timeout
    CANCELLED = "cancelled"  # the caller disconnected, or the tier cancelled it itself
    NOT_SENT = "not_sent"  # abandoned before any byte was sent, without a fault of the server


@attrs.frozen
class AdmissionSettings:
    """Settings of a deployment.

    Args:
        period_s: measurement period, after which the load moves the table's cursor.
        live_queue_share: live calls that may queue beyond the slots, as a share of the slots.
        initial_prefill_tokens_per_ms: assumed prefill speed before any outcome.
        initial_slot_time_s: assumed time for which a call occupies its slot before any outcome.
        zone: the gateway's zone; servers in other zones have a higher cost.
    """

    period_s: float = 0.05
    live_queue_share: float = 0.5
    initial_prefill_tokens_per_ms: float = 100.0
    initial_slot_time_s: float = 0.5
    zone: str = ""
