"""What goes into admission and what comes out of it. Seconds (`_s`) are of the steady clock."""

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
    """A live request or an item of a lot that asks for a server.

    `priority` is the route's (0 is the most urgent), `parts` are those of `Prefix-Hash` in order (the last is the
    request's own or its session's), `latency_target_ms` is the time to the first event that earns full worth, `deadline_s`
    the moment at which the caller gives up or, for an item, is due, and `target_s` the time that an item's lot had in
    all; `excluded` are servers that were tried and must not be tried again. `admitted` marks a call that the table has
    let in before (a further attempt, a stream that is resumed): it is not refused by the table again.
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
    """The call is taken and counts against this server until `finished` is told."""

    server_id: str


@attrs.frozen
class Refused:
    """The call is not taken now; it may come back after `retry_after_s` seconds (for an item: it is held back)."""

    retry_after_s: float


@attrs.frozen
class NoServer:
    """No server of the service is known that was not tried before."""


Decision = Admitted | Refused | NoServer


class CallOutcome(Enum):
    """How an attempt at a server ended."""

    COMPLETED = "completed"  # a whole answer, 422 included
    FAILED = "failed"  # a whole answer that is a failure and has run (500, 504)
    FULL = "full"  # 503 or 429 with Not-Executed: the server is full
    WRONG_SERVER = "wrong_server"  # 421: another server has the address now
    CONNECT_FAILED = "connect_failed"  # no connection came up; nothing was sent
    BROKEN = "broken"  # reset, closed early, or bytes that are no answer
    SILENT = "silent"  # nothing came within the time allowed
    CANCELLED = "cancelled"  # the caller left, or the tier ended it for reasons of its own
    NOT_SENT = "not_sent"  # given up before any byte was sent, through no fault of the server


@attrs.frozen
class AdmissionSettings:
    """What a deployment may set. Shares are of 1; times are in the unit at the end of each name. `zone` is where
    this gateway stands; servers of other zones cost a little more to use."""

    period_s: float = 0.05
    live_queue_share: float = 0.5
    start_prefill_tokens_per_ms: float = 100.0
    start_hold_s: float = 0.5
    zone: str = ""
