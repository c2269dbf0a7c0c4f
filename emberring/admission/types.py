"""The inputs and outputs of admission. Seconds (`_s`) are of the monotonic clock."""

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
    """A live request or a batch item that asks for a server.

    Args:
        priority: the route's priority; 0 is the most urgent.
        batch: whether it is an item of a batch job.
        tokens_in: tokens of the prompt; 0 if unknown.
        tokens_out: tokens of the output at most; 0 if unknown.
        parts: the parts of `Prefix-Hash` in order; the last one is the request's own or its session's.
        latency_target_ms: time to the first event that earns the full value.
        deadline_s: when the caller gives up or, for an item, when it is due.
        target_s: time that an item's job had in all.
        excluded: ids of servers that were tried and must not be tried again.
        admitted: whether the table has admitted the call before (a retry, a resumed stream): it is not refused by the
            table again.
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
    """The call is taken and counts against this server until `Admission.finished` is called."""

    server_id: str


@attrs.frozen
class Refused:
    """The call is not taken now; it may come back after `retry_after_s` seconds (an item is held back)."""

    retry_after_s: float


@attrs.frozen
class NoServer:
    """No server of the service is known that was not tried before."""


Decision = Admitted | Refused | NoServer


class CallOutcome(Enum):
    """How an attempt at a server ended."""

    COMPLETED = "completed"  # a complete answer, 422 included
    FAILED = "failed"  # a complete answer that is a failure of an executed request (500, 504)
    FULL = "full"  # 503 or 429 with Not-Executed: the server is full
    WRONG_SERVER = "wrong_server"  # 421: another server has the address now
    CONNECT_FAILED = "connect_failed"  # no connection came up; nothing was sent
    BROKEN = "broken"  # reset, closed early, or not a valid answer
    SILENT = "silent"  # nothing came within the time-out
    CANCELLED = "cancelled"  # the caller disconnected, or the tier ended it for reasons of its own
    NOT_SENT = "not_sent"  # given up before any byte was sent, through no fault of the server


@attrs.frozen
class AdmissionSettings:
    """What a deployment may set.

    Args:
        period_s: period after which the load moves the table's cursor.
        live_queue_share: calls that may queue beyond the slots, as a share of the slots.
        start_prefill_tokens_per_ms: assumed prefill speed before any outcome.
        start_hold_s: assumed time for which a call holds its slot before any outcome.
        zone: the gateway's zone; servers of other zones cost a little more to use.
    """

    period_s: float = 0.05
    live_queue_share: float = 0.5
    start_prefill_tokens_per_ms: float = 100.0
    start_hold_s: float = 0.5
    zone: str = ""
